/** Aggregates demand at the lease holder: the last report of every entry node, summed by model. */
import type { DemandReport, ModelDemand } from "./demandReport.ts";

interface NodeDemand {
  receivedAt: number;
  readonly models: Map<string, ModelDemand>;
}

/** Options of a `DemandAggregator`. */
export interface DemandAggregatorOptions {
  /** A node without a report for this long isn't counted, in ms. Nodes report at least every `fullReportEvery` periods. */
  readonly staleMs?: number;
}

const defaults = { staleMs: 30_000 };

/** Collects demand reports; `staleMs` tells a dead node from one whose demand doesn't change. */
export class DemandAggregator {
  private readonly nodes = new Map<string, NodeDemand>();
  private readonly staleMs: number;

  constructor(options: DemandAggregatorOptions = {}) {
    this.staleMs = options.staleMs ?? defaults.staleMs;
  }

  /** Records a node's report; true if a full one is needed (this was a partial report of an unknown node). */
  record(report: DemandReport): boolean {
    const known = this.nodes.get(report.node);
    const models = (report.full ? undefined : known?.models) ?? new Map<string, ModelDemand>();
    for (const model of report.models) models.set(model.model, model);
    this.nodes.set(report.node, { receivedAt: Date.now(), models });
    return known === undefined && !report.full;
  }

  /** Demand of every model, summed over the nodes that reported recently. */
  totals(): Map<string, ModelDemand> {
    const oldestCounted = Date.now() - this.staleMs;
    const totals = new Map<string, ModelDemand>();
    for (const [node, { receivedAt, models }] of this.nodes) {
      if (receivedAt < oldestCounted) {
        this.nodes.delete(node);
        continue;
      }
      for (const [model, demand] of models) totals.set(model, sumOf(totals.get(model), demand));
    }
    return totals;
  }
}

function sumOf(total: ModelDemand | undefined, demand: ModelDemand): ModelDemand {
  if (total === undefined) return demand;
  return {
    model: demand.model,
    demand: total.demand + demand.demand,
    usual: total.usual + demand.usual,
    waiting: total.waiting + demand.waiting,
    lastUsed: Math.max(total.lastUsed, demand.lastUsed),
  };
}
