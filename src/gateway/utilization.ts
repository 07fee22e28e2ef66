/** How busy this process is: the part of the time in which its event loop had work. */
import { performance, type EventLoopUtilization } from "node:perf_hooks";

/** Window of the recent value, ms: longer than a slow callback, shorter than a burst of requests. */
const recentMs = 500;
/** Window of the steady value, ms: longer than the pauses between bursts. */
const steadyMs = 5_000;
/** Not measured after a start, ms: the work of starting isn't that of callers. */
const settleMs = 1_000;
/** Shortest time between two samples, ms. */
const sampleMs = 200;
const decimals = 2;

/** Measures when it is read. */
export class Utilization {
  /** Ascending; the first is as old as the steady window, if there is one so old. */
  private samples: EventLoopUtilization[] = [];
  private settledMs = settleMs;

  constructor(
    private readonly measure: () => EventLoopUtilization = () => performance.eventLoopUtilization(),
  ) {}

  /** Part of the time in which the event loop was busy lately, from 0 to 1. */
  get recent(): number {
    return this.over(recentMs);
  }

  /** The same over several seconds. */
  get steady(): number {
    return this.over(steadyMs);
  }

  /** Another kind of work begins: what was measured before says nothing of it, nor does its beginning. */
  reset(): void {
    this.samples = [];
    this.settledMs = timeOf(this.measure()) + settleMs;
  }

  private over(windowMs: number): number {
    const end = this.measure();
    const endMs = timeOf(end);
    this.take(end);
    const from = this.samples.findLast((sample) => endMs - timeOf(sample) >= windowMs) ?? this.samples[0];
    if (from === undefined || endMs - timeOf(from) < recentMs) return 0;
    return Number(((end.active - from.active) / (endMs - timeOf(from))).toFixed(decimals));
  }

  private take(sample: EventLoopUtilization): void {
    const now = timeOf(sample);
    const last = this.samples.at(-1);
    if (now < this.settledMs || (last !== undefined && now - timeOf(last) < sampleMs)) return;
    this.samples.push(sample);
    while (this.samples[1] !== undefined && now - timeOf(this.samples[1]) >= steadyMs) this.samples.shift();
  }
}

/** Time since the event loop began, ms. */
function timeOf({ active, idle }: EventLoopUtilization): number {
  return active + idle;
}
