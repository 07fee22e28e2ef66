/**
 * Measures, on one entry node, how many streams of each model its callers want at once: their rate times
 * the time one takes on an engine with a place free. Streams in flight would not do: a queue counts too
 * much and refused requests too little. The averages live here and not at the lease holder, so a new
 * holder starts from full knowledge after one round of reports.
 */
import type { DemandReport, ModelDemand } from "./demandReport.ts";

/** Options of a `DemandMeter`. */
export interface DemandMeterOptions {
  readonly node: string;
  /** The time one request for a model takes on an engine with a place free, in ms; 0 if not known. */
  readonly serviceMs: (model: string) => number;
  /** Half-lives of the averages, in ms: demand when rising, when falling, and the usual demand. */
  readonly riseMs?: number;
  readonly fallMs?: number;
  readonly usualMs?: number;
  /** Every this many reports, all models are reported. */
  readonly fullEvery?: number;
}

const defaults = { riseMs: 1500, fallMs: 4000, usualMs: 60_000, fullEvery: 30 };
/** A change of demand smaller than this part (and than this many streams) is not worth a report. */
const reportedChange = { part: 0.1, streams: 0.1 };
/** Least part of its window for which the long average is scaled up. */
const leastKnown = 0.05;
/** Usual demand below which an idle model is forgotten, in streams. */
const forgotten = 0.0005;

interface Gauge {
  inFlight: number;
  waiting: number;
  /** Requests that arrived since the averages were last brought up to date. */
  arrivals: number;
  demand: number;
  usual: number;
  lastUsed: number;
  reported: ModelDemand | undefined;
}

/** Counts streams by model and turns them into reports. */
export class DemandMeter {
  private readonly gauges = new Map<string, Gauge>();
  private readonly options: DemandMeterOptions & typeof defaults;
  private readonly startedAt = Date.now();
  private averagedAt = this.startedAt;
  private reports = 0;
  private fullNext = true;

  constructor(options: DemandMeterOptions) {
    this.options = { ...defaults, ...options };
  }

  /** A request for `model` has arrived; call the result once when it is answered. */
  begin(model: string): () => void {
    const gauge = this.gauge(model);
    gauge.inFlight += 1;
    gauge.arrivals += 1;
    gauge.lastUsed = Date.now();
    return () => {
      gauge.inFlight -= 1;
    };
  }

  /** A request starts waiting for a first copy of `model`; call the result once when it stops waiting. */
  wait(model: string): () => void {
    const gauge = this.gauge(model);
    gauge.waiting += 1;
    return () => {
      gauge.waiting -= 1;
    };
  }

  /** Asks that the next report names every model (the receiver has just taken over). */
  reportAll(): void {
    this.fullNext = true;
  }

  /** The next report, or undefined if nothing changed enough to be worth one. */
  report(now = Date.now()): DemandReport | undefined {
    this.average(now);
    const full = this.fullNext || this.reports % this.options.fullEvery === 0;
    const models: ModelDemand[] = [];
    for (const [model, gauge] of this.gauges) {
      const current = this.demandOf(model, gauge, now);
      if (!full && !differs(gauge.reported, current)) continue;
      gauge.reported = current;
      models.push(current);
    }
    this.reports += 1;
    if (!full && models.length === 0) return undefined;
    this.fullNext = false;
    return { node: this.options.node, full, models };
  }

  private gauge(model: string): Gauge {
    const known = this.gauges.get(model);
    if (known !== undefined) return known;
    const gauge: Gauge = {
      inFlight: 0,
      waiting: 0,
      arrivals: 0,
      demand: 0,
      usual: 0,
      lastUsed: Date.now(),
      reported: undefined,
    };
    this.gauges.set(model, gauge);
    return gauge;
  }

  private demandOf(model: string, gauge: Gauge, now: number): ModelDemand {
    const { waiting, lastUsed } = gauge;
    // The long average starts from nothing; what of its window this node has not lived through is left out.
    const known = Math.max(leastKnown, 1 - 0.5 ** ((now - this.startedAt) / this.options.usualMs));
    return {
      model,
      demand: rounded(gauge.demand),
      usual: rounded(gauge.usual / known),
      waiting,
      lastUsed,
    };
  }

  private average(now: number): void {
    const elapsed = now - this.averagedAt;
    if (elapsed <= 0) return;
    this.averagedAt = now;
    for (const [model, gauge] of this.gauges) {
      const serviceMs = this.options.serviceMs(model);
      const streams = serviceMs > 0 ? (gauge.arrivals * serviceMs) / elapsed : gauge.inFlight;
      gauge.arrivals = 0;
      const halfLife = streams > gauge.demand ? this.options.riseMs : this.options.fallMs;
      gauge.demand = decay(gauge.demand, streams, elapsed, halfLife);
      gauge.usual = decay(gauge.usual, streams, elapsed, this.options.usualMs);
      if (gauge.inFlight === 0 && gauge.usual < forgotten && gauge.demand < forgotten)
        this.gauges.delete(model);
    }
  }
}

function decay(from: number, to: number, elapsedMs: number, halfLifeMs: number): number {
  return to + (from - to) * 0.5 ** (elapsedMs / halfLifeMs);
}

function differs(reported: ModelDemand | undefined, current: ModelDemand): boolean {
  if (reported?.waiting !== current.waiting || current.waiting > 0) return true;
  const change = Math.abs(current.demand - reported.demand);
  return change > reportedChange.streams && change > reportedChange.part * reported.demand;
}

function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
