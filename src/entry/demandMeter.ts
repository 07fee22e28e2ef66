/**
 * Measures, on one entry node, the concurrent streams of each model that its callers demand: their arrival
 * rate times the service time on an engine with a free slot. Streams in flight would overcount queued and
 * undercount rejected requests. The averages are kept here and not at the lease holder, so a new holder has
 * complete averages after one round of reports.
 */
import type { DemandReport, ModelDemand } from "./demandReport.ts";

/** Options of a `DemandMeter`. */
export interface DemandMeterOptions {
  readonly node: string;
  /** Service time of one request for a model on an engine with a free slot, in ms; 0 if not known. */
  readonly serviceMs: (model: string) => number;
  /** Half-lives of the averages, in ms: short-term demand when rising and when falling, and long-term demand. */
  readonly riseHalfLifeMs?: number;
  readonly fallHalfLifeMs?: number;
  readonly usualHalfLifeMs?: number;
  /** Every this many reports, all models are included. */
  readonly fullReportEvery?: number;
}

const defaults = { riseHalfLifeMs: 1500, fallHalfLifeMs: 4000, usualHalfLifeMs: 60_000, fullReportEvery: 30 };
/** A change of demand is reported if it exceeds both this ratio and this many streams. */
const reportedChange = { ratio: 0.1, streams: 0.1 };
/** Lower limit of the elapsed window fraction by which the long-term average is divided. */
const minWindowRatio = 0.05;
/** Demand below which an idle model's counters are removed, in streams. */
const negligibleStreams = 0.0005;

interface ModelCounters {
  inFlight: number;
  waiting: number;
  /** Requests that arrived since the averages were last updated. */
  arrivals: number;
  demand: number;
  usual: number;
  lastUsed: number;
  reported: ModelDemand | undefined;
}

/** Counts streams by model and turns them into reports. */
export class DemandMeter {
  private readonly countersByModel = new Map<string, ModelCounters>();
  private readonly options: DemandMeterOptions & typeof defaults;
  private readonly startedAt = Date.now();
  private averagedAt = this.startedAt;
  private reports = 0;
  private nextIsFull = true;

  constructor(options: DemandMeterOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Counts a request for `model` that has arrived; call the returned function once when it completes. */
  startRequest(model: string): () => void {
    const counters = this.counters(model);
    counters.inFlight += 1;
    counters.arrivals += 1;
    counters.lastUsed = Date.now();
    return () => {
      counters.inFlight -= 1;
    };
  }

  /** Counts a request waiting for a first replica of `model`; call the returned function once when it stops waiting. */
  startWaiting(model: string): () => void {
    const counters = this.counters(model);
    counters.waiting += 1;
    return () => {
      counters.waiting -= 1;
    };
  }

  /** Makes the next report include every model (the receiver has just become lease holder). */
  requestFullReport(): void {
    this.nextIsFull = true;
  }

  /** The next report, or undefined if no model's demand changed enough. */
  report(now = Date.now()): DemandReport | undefined {
    this.updateAverages(now);
    const full = this.nextIsFull || this.reports % this.options.fullReportEvery === 0;
    const models: ModelDemand[] = [];
    for (const [model, counters] of this.countersByModel) {
      const current = this.demandOf(model, counters, now);
      if (!full && !changedEnough(counters.reported, current)) continue;
      counters.reported = current;
      models.push(current);
    }
    this.reports += 1;
    if (!full && models.length === 0) return undefined;
    this.nextIsFull = false;
    return { node: this.options.node, full, models };
  }

  private counters(model: string): ModelCounters {
    const known = this.countersByModel.get(model);
    if (known !== undefined) return known;
    const counters: ModelCounters = {
      inFlight: 0,
      waiting: 0,
      arrivals: 0,
      demand: 0,
      usual: 0,
      lastUsed: Date.now(),
      reported: undefined,
    };
    this.countersByModel.set(model, counters);
    return counters;
  }

  private demandOf(model: string, counters: ModelCounters, now: number): ModelDemand {
    const { waiting, lastUsed } = counters;
    // The long-term average starts from 0; dividing by the elapsed fraction of its window corrects for that.
    const windowRatio = Math.max(
      minWindowRatio,
      1 - 0.5 ** ((now - this.startedAt) / this.options.usualHalfLifeMs),
    );
    return {
      model,
      demand: rounded(counters.demand),
      usual: rounded(counters.usual / windowRatio),
      waiting,
      lastUsed,
    };
  }

  private updateAverages(now: number): void {
    const elapsed = now - this.averagedAt;
    if (elapsed <= 0) return;
    this.averagedAt = now;
    for (const [model, counters] of this.countersByModel) {
      const serviceMs = this.options.serviceMs(model);
      const streams = serviceMs > 0 ? (counters.arrivals * serviceMs) / elapsed : counters.inFlight;
      counters.arrivals = 0;
      const halfLife = streams > counters.demand ? this.options.riseHalfLifeMs : this.options.fallHalfLifeMs;
      counters.demand = decay(counters.demand, streams, elapsed, halfLife);
      counters.usual = decay(counters.usual, streams, elapsed, this.options.usualHalfLifeMs);
      if (
        counters.inFlight === 0 &&
        counters.usual < negligibleStreams &&
        counters.demand < negligibleStreams
      )
        this.countersByModel.delete(model);
    }
  }
}

function decay(from: number, to: number, elapsedMs: number, halfLifeMs: number): number {
  return to + (from - to) * 0.5 ** (elapsedMs / halfLifeMs);
}

function changedEnough(reported: ModelDemand | undefined, current: ModelDemand): boolean {
  if (reported?.waiting !== current.waiting || current.waiting > 0) return true;
  const change = Math.abs(current.demand - reported.demand);
  return change > reportedChange.streams && change > reportedChange.ratio * reported.demand;
}

function rounded(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
