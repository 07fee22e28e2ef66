/** The task that sends this node's demand reports to the holder of the placement lease. */
import type { Log } from "../common/log.ts";
import { RpcClient, type Traffic } from "../common/rpc.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { DemandBoard } from "./demandBoard.ts";
import type { DemandMeter } from "./demandMeter.ts";
import { DemandReceipt, type DemandReport } from "./demandReport.ts";
import type { Lease } from "./lease.ts";

/** Options of a `DemandReporter`. */
export interface DemandReporterOptions {
  readonly meter: DemandMeter;
  /** This node's own board, used while it holds the lease itself. */
  readonly board: DemandBoard;
  readonly lease: Lease;
  readonly log: Log;
  readonly everyMs?: number;
  readonly traffic?: Traffic;
}

const defaults = { everyMs: 500 };

/** Reports every period; demand is soft state, so a lost report is made good by the next full one. */
export class DemandReporter extends PeriodicTask {
  private holder: { address: string; rpc: RpcClient } | undefined;

  constructor(private readonly options: DemandReporterOptions) {
    super("demand-reporter", options.everyMs ?? defaults.everyMs, options.log);
  }

  protected async step(): Promise<void> {
    const { meter, board, lease } = this.options;
    const report = meter.report();
    if (report === undefined) return;
    if (lease.held()) {
      board.record(report);
      return;
    }
    try {
      const receipt = await this.send(report, lease.holderAddress);
      if (receipt.wantsFull) meter.reportAll();
    } catch (error) {
      // Guards "a new lease holder plans blind": what this report said is lost with it, so the next says all.
      meter.reportAll();
      throw error;
    }
  }

  private async send(report: DemandReport, address: string | undefined): Promise<DemandReceipt> {
    if (address === undefined) return { wantsFull: true };
    if (this.holder?.address !== address) {
      this.holder = { address, rpc: new RpcClient({ url: address, traffic: this.options.traffic }) };
    }
    return this.holder.rpc.call("placement.demand", report, DemandReceipt);
  }
}
