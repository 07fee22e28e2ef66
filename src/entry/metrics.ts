/** The entry node's metrics (prom-client), in their own registry so that several nodes can share a process. */
import * as prom from "prom-client";

/** Counters and histograms of one entry node. */
export class EntryMetrics {
  readonly registry = new prom.Registry();
  /** Requests by customer, model or service, and outcome (`ok` or an error kind). */
  readonly requests = new prom.Counter({
    name: "parsleynotch_requests_total",
    help: "Requests answered, by customer, target and outcome",
    labelNames: ["customer", "target", "outcome"],
    registers: [this.registry],
  });
  /** Completions within or past their deadline, per engine (accelerator); rejected or failed ones under "none". */
  readonly deadlines = new prom.Counter({
    name: "parsleynotch_deadline_total",
    help: "Completions by engine (none: refused or failed) and whether they met their deadline",
    labelNames: ["engine", "met"],
    registers: [this.registry],
  });
  /** Placement moves: loads and unloads ordered. */
  readonly moves = new prom.Counter({
    name: "parsleynotch_moves_total",
    help: "Model loads and unloads ordered by this node",
    labelNames: ["kind"],
    registers: [this.registry],
  });
  /** Request latency through this node, in seconds. */
  readonly latency = new prom.Histogram({
    name: "parsleynotch_request_seconds",
    help: "Time from request to last byte, in seconds",
    labelNames: ["kind"],
    buckets: [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10],
    registers: [this.registry],
  });
  /** Table revision of this node's configuration. */
  readonly configRevision = new prom.Gauge({
    name: "parsleynotch_config_revision",
    help: "Table revision up to which configuration is applied",
    registers: [this.registry],
  });

  /** Share of requests within deadline, per engine: met / (met + missed). */
  async attainment(): Promise<Record<string, number>> {
    const metric = await this.deadlines.get();
    const totals = new Map<string, { met: number; all: number }>();
    for (const value of metric.values) {
      const engine = String(value.labels.engine);
      const total = totals.get(engine) ?? { met: 0, all: 0 };
      total.all += value.value;
      if (value.labels.met === "true") total.met += value.value;
      totals.set(engine, total);
    }
    return Object.fromEntries([...totals].map(([engine, t]) => [engine, t.all === 0 ? 1 : t.met / t.all]));
  }
}
