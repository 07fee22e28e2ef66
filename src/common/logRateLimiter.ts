/**
 * Limits the rate of log lines per event. When every request fails under overload and logs a line of its own, logging
 * would take the CPU time that requests need. Suppressed lines are counted; warnings and errors bypass the limit.
 */
import { TokenBucket } from "./tokenBucket.ts";

/** Options of a `LogRateLimiter`. */
export interface LogRateLimiterOptions {
  /** Sustained lines per second of one event: a node's share of 1,000 requests per second, all failing. */
  readonly perS?: number;
  /** Burst size: lines of one event that may be written at once. */
  readonly burst?: number;
}

const defaults = { perS: 40, burst: 200 };

interface EventState {
  readonly bucket: TokenBucket;
  refilledAtMs: number;
  suppressed: number;
}

/** Decides which log lines are written, with a token bucket per event. */
export class LogRateLimiter {
  private readonly options: Required<LogRateLimiterOptions>;
  private readonly events = new Map<string, EventState>();

  constructor(options: LogRateLimiterOptions = {}) {
    this.options = { ...defaults, ...options };
  }

  /** Number of lines of the event suppressed since the last admitted one; undefined if this one is suppressed too. */
  admit(event: string, nowMs: number): number | undefined {
    const state = this.stateOf(event, nowMs);
    state.bucket.add(((nowMs - state.refilledAtMs) / 1000) * this.options.perS);
    state.refilledAtMs = nowMs;
    if (!state.bucket.take()) {
      state.suppressed += 1;
      return undefined;
    }
    const { suppressed } = state;
    state.suppressed = 0;
    return suppressed;
  }

  private stateOf(event: string, nowMs: number): EventState {
    const known = this.events.get(event);
    if (known !== undefined) return known;
    const state = { bucket: new TokenBucket(this.options.burst), refilledAtMs: nowMs, suppressed: 0 };
    this.events.set(event, state);
    return state;
  }
}
