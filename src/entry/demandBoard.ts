/** The lease holder's view of demand: every entry node's last report, summed by model. */
import type { DemandReport, ModelDemand } from "./demandReport.ts";

interface NodeDemand {
  at: number;
  readonly models: Map<string, ModelDemand>;
}

/** Options of a `DemandBoard`. */
export interface DemandBoardOptions {
  /** A node silent this long no longer counts, in ms. Nodes report at least every `fullEvery` periods. */
  readonly staleMs?: number;
}

const defaults = { staleMs: 30_000 };

/** Gathers demand reports; a node's silence (it died, or nothing changes) is told apart by `staleMs`. */
export class DemandBoard {
  private readonly nodes = new Map<string, NodeDemand>();
  private readonly staleMs: number;

  constructor(options: DemandBoardOptions = {}) {
    this.staleMs = options.staleMs ?? defaults.staleMs;
  }

  /** Takes one node's report; true asks for a full one (this was a partial report of a node not yet known). */
  record(report: DemandReport): boolean {
    const known = this.nodes.get(report.node);
    const models = (report.full ? undefined : known?.models) ?? new Map<string, ModelDemand>();
    for (const model of report.models) models.set(model.model, model);
    this.nodes.set(report.node, { at: Date.now(), models });
    return known === undefined && !report.full;
  }

  /** Demand of every model, summed over the nodes heard from lately. */
  totals(): Map<string, ModelDemand> {
    const horizon = Date.now() - this.staleMs;
    const totals = new Map<string, ModelDemand>();
    for (const [node, { at, models }] of this.nodes) {
      if (at < horizon) {
        this.nodes.delete(node);
        continue;
      }
      for (const [model, demand] of models) totals.set(model, added(totals.get(model), demand));
    }
    return totals;
  }
}

function added(total: ModelDemand | undefined, demand: ModelDemand): ModelDemand {
  if (total === undefined) return demand;
  return {
    model: demand.model,
    demand: total.demand + demand.demand,
    usual: total.usual + demand.usual,
    waiting: total.waiting + demand.waiting,
    lastUsed: Math.max(total.lastUsed, demand.lastUsed),
  };
}
