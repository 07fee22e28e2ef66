/**
 * Demand for models: engine time asked for per second, as a fast and a slow moving average. The fast one
 * answers demand that jumps to another model within seconds, the slow one keeps copies from being moved
 * at every lull, and what the fast one is ahead of it tells where the demand is going.
 */
import { prefillTokensPerMs } from "./serverChoice.ts";

/** Time constants of the averages, ms. */
const fastMs = 2_500;
const slowMs = 8_000;
/**
 * How much of the averages' distance a rise is taken to go on by: two seconds into a jump the level then
 * shows four fifths of it instead of half, and a load that takes five seconds begins two seconds sooner.
 */
const riseAhead = 0.6;
/** Part of the slow average that demand is taken not to fall below. */
const lullPart = 0.6;
/** Below this the demand counts as none: one short request in the slow window, engine ms per s. */
export const negligible = 2;

interface Average {
  fast: number;
  slow: number;
  atMs: number;
}

/** Moving averages of work per key. */
export class DemandMeter {
  private readonly averages = new Map<string, Average>();

  /** Work of `engineMs` was asked for. */
  add(key: string, engineMs: number, nowMs: number): void {
    const average = this.decayed(key, nowMs);
    average.fast += (engineMs * 1000) / fastMs;
    average.slow += (engineMs * 1000) / slowMs;
  }

  /** Engine time asked for per second, ms, as expected for the next seconds. */
  level(key: string, nowMs: number): number {
    if (!this.averages.has(key)) return 0;
    const { fast, slow } = this.decayed(key, nowMs);
    return Math.max(fast + riseAhead * Math.max(0, fast - slow), lullPart * slow);
  }

  /** Levels of all keys asked for lately; the rest is dropped. */
  levels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const key of [...this.averages.keys()]) {
      const level = Math.round(this.level(key, nowMs));
      if (level >= negligible) levels[key] = level;
      else this.averages.delete(key);
    }
    return levels;
  }

  private decayed(key: string, nowMs: number): Average {
    const known = this.averages.get(key) ?? { fast: 0, slow: 0, atMs: nowMs };
    const passed = Math.max(0, nowMs - known.atMs);
    known.fast *= Math.exp(-passed / fastMs);
    known.slow *= Math.exp(-passed / slowMs);
    known.atMs = nowMs;
    this.averages.set(key, known);
    return known;
  }
}

/** Making one token of many streams at once takes an engine this long, ms. */
const outputTokenMs = 0.06;

/**
 * Part of the separate times of its requests that an engine takes for all: it reads prompts while it decodes.
 * Sixteen requests a second that add up to 1.2 s got their first tokens within 190 ms (median).
 */
const overlap = 0.65;

/** Engine time a request takes, ms: reading the prompt that is its own, and its share of the decoding. */
export function engineWorkMs(ownTokens: number, outputTokens: number, pace: number): number {
  return (ownTokens / prefillTokensPerMs + outputTokens * outputTokenMs) * pace * overlap;
}
