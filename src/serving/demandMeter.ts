/**
 * Measures demand for models: requested engine time per second, as a fast and a slow moving average. The fast
 * one follows demand that moves to another model within seconds. The slow one keeps replicas from being moved
 * at every lull, to the extent that requests are too few for a lull to be significant.
 */

/** Time constants of the averages, ms. */
const fastTimeConstantMs = 2_500;
const slowTimeConstantMs = 8_000;
/** Expected requests per `fastTimeConstantMs` at which a lull counts as half significant. */
const significantRequests = 8;
/**
 * How far a change is extrapolated, as a ratio of the difference between an average and the next longer one:
 * demand moves between models over several seconds, and a load takes a second or more.
 */
const riseExtrapolation = 0.6;
const fallExtrapolation = 0.3;
/** Lower limit of the estimate as a ratio of the slow average, where few requests are expected. */
const lullFloorRatio = 0.6;
/** Demand below this counts as none, engine ms per s: one short request within `slowTimeConstantMs`. */
export const negligibleDemand = 2;

interface Average {
  /** Requested engine time per second, ms. */
  fast: number;
  slow: number;
  /** Requests per second, from the slow average. */
  requests: number;
  atMs: number;
}

/** Options of a `DemandMeter`. */
export interface DemandMeterOptions {
  /** Number of nodes that see a part of the demand each, including this one; their measurements are added up. */
  readonly nodeCount?: () => number;
}

/** Moving averages of work per key. */
export class DemandMeter {
  private readonly averages = new Map<string, Average>();
  private readonly nodeCount: () => number;

  constructor({ nodeCount = () => 1 }: DemandMeterOptions = {}) {
    this.nodeCount = nodeCount;
  }

  /** Records a request for `engineMs` of work. */
  add(key: string, engineMs: number, nowMs: number): void {
    const average = this.decayed(key, nowMs);
    average.fast += (engineMs * 1000) / fastTimeConstantMs;
    average.slow += (engineMs * 1000) / slowTimeConstantMs;
    average.requests += 1000 / slowTimeConstantMs;
  }

  /** Requested engine time per second, ms, extrapolated to the next seconds. */
  level(key: string, nowMs: number): number {
    if (!this.averages.has(key)) return 0;
    const { fast, slow, requests } = this.decayed(key, nowMs);
    const expected = (requests * this.nodeCount() * fastTimeConstantMs) / 1000;
    const lullDoubt = significantRequests / (significantRequests + expected);
    return Math.max(0, extrapolated(fast, slow), lullFloorRatio * lullDoubt * slow);
  }

  /** Levels of all keys with recent demand; the others are dropped. */
  levels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const [key, { slow }] of [...this.averages]) {
      const level = Math.round(this.level(key, nowMs));
      if (level >= negligibleDemand) levels[key] = level;
      else if (slow < negligibleDemand) this.averages.delete(key);
    }
    return levels;
  }

  private decayed(key: string, nowMs: number): Average {
    const known = this.averages.get(key) ?? { fast: 0, slow: 0, requests: 0, atMs: nowMs };
    const passed = Math.max(0, nowMs - known.atMs);
    known.fast *= Math.exp(-passed / fastTimeConstantMs);
    known.slow *= Math.exp(-passed / slowTimeConstantMs);
    known.requests *= Math.exp(-passed / slowTimeConstantMs);
    known.atMs = nowMs;
    this.averages.set(key, known);
    return known;
  }
}

/** Extrapolates an average by its difference from the next longer one, which lags behind it. */
function extrapolated(average: number, longer: number): number {
  const change = average - longer;
  return average + (change > 0 ? riseExtrapolation : fallExtrapolation) * change;
}
