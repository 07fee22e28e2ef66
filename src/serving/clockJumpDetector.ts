/**
 * Detects that the host was suspended. The monotonic clock stops while a host is suspended and the wall clock goes
 * on, so a gap between the two shows a suspension, after which earlier knowledge, above all a lease, may be outdated.
 */

/** Smaller gaps are drift and late timers, ms. */
const minJumpMs = 300;

/** Readings of both clocks, ms. */
export interface ClockReadings {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Compares the clocks at each check. */
export class ClockJumpDetector {
  private offsetMs: number | undefined;

  /** True if the wall clock moved against the monotonic clock since the last check, in either direction. */
  detectJump(clocks: ClockReadings): boolean {
    const offsetMs = clocks.wallMs - clocks.monotonicMs;
    const previousMs = this.offsetMs;
    this.offsetMs = offsetMs;
    return previousMs !== undefined && Math.abs(offsetMs - previousMs) > minJumpMs;
  }
}

/** Reads both clocks of this process. */
export function readClocks(): ClockReadings {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}
