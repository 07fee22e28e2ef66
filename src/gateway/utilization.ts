/** How busy this process is: the part of the time in which its event loop had work. */
import { performance, type EventLoopUtilization } from "node:perf_hooks";

/** Period over which it is measured, ms: longer than a burst of requests, shorter than a rise of traffic. */
const windowMs = 2_000;
const decimals = 2;

/** Measures when it is read. */
export class Utilization {
  private start: EventLoopUtilization = performance.eventLoopUtilization();
  private startMs = performance.now();
  private last = 0;

  /** Part of the last window in which the event loop was busy, from 0 to 1. */
  get value(): number {
    const now = performance.now();
    if (now - this.startMs >= windowMs) {
      const end = performance.eventLoopUtilization();
      this.last = Number(performance.eventLoopUtilization(end, this.start).utilization.toFixed(decimals));
      this.start = end;
      this.startMs = now;
    }
    return this.last;
  }
}
