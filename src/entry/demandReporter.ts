/** The task that sends this node's demand reports to the holder of the placement lease. */
import type { Log } from "../common/log.ts";
import { RpcClient, type RpcTraffic } from "../common/rpc.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { DemandMeter } from "./demandMeter.ts";
import { DemandReceipt, type DemandReport } from "./demandReport.ts";
import type { Lease } from "./lease.ts";

/** Options of a `DemandReporter`. */
export interface DemandReporterOptions {
  readonly meter: DemandMeter;
  /** Handles the report locally while this node holds the lease. */
  readonly handleReport: (report: DemandReport) => DemandReceipt;
  readonly lease: Lease;
  readonly log: Log;
  readonly everyMs?: number;
  readonly traffic?: RpcTraffic;
}

const defaults = { everyMs: 500 };
/** How long the lease holder's list of pending loads stays valid, in ms. */
const receiptValidMs = 1000;

/** Sends a report every period; demand is soft state, so the next full report makes up for a lost one. */
export class DemandReporter extends PeriodicTask {
  private receipt: { at: number; coming: ReadonlySet<string> } | undefined;
  private holder: { address: string; rpc: RpcClient } | undefined;

  constructor(private readonly options: DemandReporterOptions) {
    super("demand-reporter", options.everyMs ?? defaults.everyMs, options.log);
  }

  /** Whether a first replica of `model` is pending, by the lease holder's last receipt; undefined if that is out of date. */
  expectsReplica(model: string): boolean | undefined {
    const { receipt } = this;
    if (receipt === undefined || Date.now() - receipt.at > receiptValidMs) return undefined;
    return receipt.coming.has(model);
  }

  protected async step(): Promise<void> {
    const { meter, handleReport, lease } = this.options;
    const report = meter.report();
    if (report === undefined) return;
    try {
      const receipt = lease.held() ? handleReport(report) : await this.send(report, lease.holderAddress);
      if (receipt.wantsFull) meter.requestFullReport();
      else this.receipt = { at: Date.now(), coming: new Set(receipt.coming) };
    } catch (error) {
      // The changes in this report are lost, so the next report is a full one; otherwise a new lease holder would
      // plan without them.
      meter.requestFullReport();
      throw error;
    }
  }

  private async send(report: DemandReport, address: string | undefined): Promise<DemandReceipt> {
    if (address === undefined) return { wantsFull: true, coming: [] };
    if (this.holder?.address !== address) {
      this.holder = { address, rpc: new RpcClient({ url: address, traffic: this.options.traffic }) };
    }
    return this.holder.rpc.call("placement.demand", report, DemandReceipt);
  }
}
