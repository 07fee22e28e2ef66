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
  /** Takes reports while this node holds the lease itself. */
  readonly receive: (report: DemandReport) => DemandReceipt;
  readonly lease: Lease;
  readonly log: Log;
  readonly everyMs?: number;
  readonly traffic?: RpcTraffic;
}

const defaults = { everyMs: 500 };
/** How long the holder's word on what is coming is relied on, in ms. */
const receiptMs = 1000;

/** Reports every period; demand is soft state, so a lost report is made good by the next full one. */
export class DemandReporter extends PeriodicTask {
  private receipt: { at: number; coming: ReadonlySet<string> } | undefined;
  private holder: { address: string; rpc: RpcClient } | undefined;

  constructor(private readonly options: DemandReporterOptions) {
    super("demand-reporter", options.everyMs ?? defaults.everyMs, options.log);
  }

  /** Whether a first copy of `model` is on its way, by what the lease holder said lately; undefined if not known. */
  expects(model: string): boolean | undefined {
    const { receipt } = this;
    if (receipt === undefined || Date.now() - receipt.at > receiptMs) return undefined;
    return receipt.coming.has(model);
  }

  protected async step(): Promise<void> {
    const { meter, receive, lease } = this.options;
    const report = meter.report();
    if (report === undefined) return;
    try {
      const receipt = lease.held() ? receive(report) : await this.send(report, lease.holderAddress);
      if (receipt.wantsFull) meter.reportAll();
      else this.receipt = { at: Date.now(), coming: new Set(receipt.coming) };
    } catch (error) {
      // Guards "a new lease holder plans blind": what this report said is lost with it, so the next says all.
      meter.reportAll();
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
