/** CPU utilization of this process: the fraction of time in which its event loop was busy. */
import { performance, type EventLoopUtilization } from "node:perf_hooks";

/** Window of the recent value, ms: longer than a slow callback, shorter than a burst of requests. */
const recentWindowMs = 500;
/** Window of the steady value, ms: longer than the pauses between bursts. */
const steadyWindowMs = 5_000;
/** Time after a start that isn't measured, ms: the work of starting isn't caller load. */
const settlingMs = 1_000;
/** Minimum time between two samples, ms. */
const minSampleIntervalMs = 200;
const decimals = 2;

/** Takes samples when it is read. */
export class Utilization {
  /** Oldest first; the first is at least as old as the steady window, once there is such a sample. */
  private samples: EventLoopUtilization[] = [];
  private measuredFromMs = settlingMs;

  constructor(
    private readonly measure: () => EventLoopUtilization = () => performance.eventLoopUtilization(),
  ) {}

  /** Fraction of the recent window in which the event loop was busy, from 0 to 1. */
  get recent(): number {
    return this.busyRatio(recentWindowMs);
  }

  /** The same over the steady window, several seconds. */
  get steady(): number {
    return this.busyRatio(steadyWindowMs);
  }

  /** Discards all samples and skips the settling time, as a different kind of work starts now. */
  reset(): void {
    this.samples = [];
    this.measuredFromMs = timeOf(this.measure()) + settlingMs;
  }

  private busyRatio(windowMs: number): number {
    const end = this.measure();
    const endMs = timeOf(end);
    this.addSample(end);
    const from = this.samples.findLast((sample) => endMs - timeOf(sample) >= windowMs) ?? this.samples[0];
    if (from === undefined || endMs - timeOf(from) < recentWindowMs) return 0;
    return Number(((end.active - from.active) / (endMs - timeOf(from))).toFixed(decimals));
  }

  private addSample(sample: EventLoopUtilization): void {
    const now = timeOf(sample);
    const last = this.samples.at(-1);
    if (now < this.measuredFromMs || (last !== undefined && now - timeOf(last) < minSampleIntervalMs)) return;
    this.samples.push(sample);
    while (this.samples[1] !== undefined && now - timeOf(this.samples[1]) >= steadyWindowMs)
      this.samples.shift();
  }
}

/** Time since the event loop started, ms. */
function timeOf({ active, idle }: EventLoopUtilization): number {
  return active + idle;
}
