/**
 * Bounds the log lines of each event. Answers load at its worst, when every request fails with a line of its own
 * and the log would cost the processor time that requests need. What is left out is counted, and warnings and
 * errors always pass.
 */
import { TokenBucket } from "./tokenBucket.ts";

/** Options of a `LineLimit`. */
export interface LogRateLimiterOptions {
  /** Lines per second of one event in the long run: a node's share of 1,000 requests a second, all failing. */
  readonly perS?: number;
  /** Lines of one event that may come at once. */
  readonly burst?: number;
}

const defaults = { perS: 40, burst: 200 };

interface EventLines {
  readonly bucket: TokenBucket;
  atMs: number;
  suppressed: number;
}

/** Decides which lines are written. */
export class LogRateLimiter {
  private readonly options: Required<LogRateLimiterOptions>;
  private readonly events = new Map<string, EventLines>();

  constructor(options: LogRateLimiterOptions = {}) {
    this.options = { ...defaults, ...options };
  }

  /** Lines of the event left out since the last one that passed; undefined if this one is left out too. */
  pass(event: string, nowMs: number): number | undefined {
    const lines = this.linesOf(event, nowMs);
    lines.bucket.add(((nowMs - lines.atMs) / 1000) * this.options.perS);
    lines.atMs = nowMs;
    if (!lines.bucket.take()) {
      lines.suppressed += 1;
      return undefined;
    }
    const { suppressed } = lines;
    lines.suppressed = 0;
    return suppressed;
  }

  private linesOf(event: string, nowMs: number): EventLines {
    const known = this.events.get(event);
    if (known !== undefined) return known;
    const lines = { bucket: new TokenBucket(this.options.burst), atMs: nowMs, suppressed: 0 };
    this.events.set(event, lines);
    return lines;
  }
}
