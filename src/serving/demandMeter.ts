/**
 * Demand for models: engine time asked for per second, as a fast and a slow moving average. The fast one answers
 * demand that jumps to another model within seconds; the slow one keeps copies from being moved at every lull, as far
 * as so few requests are expected that a lull says little.
 */

/** Time constants of the averages, ms. */
const fastMs = 2_500;
const slowMs = 8_000;
/** Requests expected within the fast average at which a lull is believed as far as not. */
const tellingRequests = 8;
/**
 * How far a change is taken to go on, as a part of the distance between an average and the next longer one: demand
 * moves from one model to another over some seconds, and a load takes one and more.
 */
const riseAhead = 0.6;
const fallAhead = 0.3;
/** Part of the slow average that demand is taken not to fall below, where few requests are expected. */
const lullPart = 0.6;
/** Below this the demand counts as none: one short request in the slow window, engine ms per s. */
export const negligibleDemand = 2;

interface Average {
  fast: number;
  slow: number;
  /** Requests per second, by the slow average. */
  requests: number;
  atMs: number;
}

/** Options of a `DemandMeter`. */
export interface DemandMeterOptions {
  /** Nodes that see a part of the demand each, this one included: what they measure is added up. */
  readonly nodeCount?: () => number;
}

/** Moving averages of work per key. */
export class DemandMeter {
  private readonly averages = new Map<string, Average>();
  private readonly nodes: () => number;

  constructor({ nodeCount: nodes = () => 1 }: DemandMeterOptions = {}) {
    this.nodes = nodes;
  }

  /** Work of `engineMs` was asked for. */
  add(key: string, engineMs: number, nowMs: number): void {
    const average = this.decayed(key, nowMs);
    average.fast += (engineMs * 1000) / fastMs;
    average.slow += (engineMs * 1000) / slowMs;
    average.requests += 1000 / slowMs;
  }

  /** Engine time asked for per second, ms, as expected for the next seconds. */
  level(key: string, nowMs: number): number {
    if (!this.averages.has(key)) return 0;
    const { fast, slow, requests } = this.decayed(key, nowMs);
    const expected = (requests * this.nodes() * fastMs) / 1000;
    const doubt = tellingRequests / (tellingRequests + expected);
    return Math.max(0, goingOn(fast, slow), lullPart * doubt * slow);
  }

  /** Levels of all keys asked for lately; the rest is dropped. */
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
    known.fast *= Math.exp(-passed / fastMs);
    known.slow *= Math.exp(-passed / slowMs);
    known.requests *= Math.exp(-passed / slowMs);
    known.atMs = nowMs;
    this.averages.set(key, known);
    return known;
  }
}

/** Where an average is going, by the next longer one that lags behind it. */
function goingOn(average: number, longer: number): number {
  const change = average - longer;
  return average + (change > 0 ? riseAhead : fallAhead) * change;
}
