/**
 * Notices that the host stood still. The steady clock stops while a host is frozen and the time of day
 * goes on, so a gap between them is a freeze; what was believed before it, a lease above all, is suspect.
 */

/** Smaller gaps are drift and late timers, ms. */
const freezeMs = 300;

/** Readings of both clocks, ms. */
export interface Clocks {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Compares the clocks at each look. */
export class ClockJumpDetector {
  private offset: number | undefined;

  /** True if the time of day moved against the steady clock since the last look, in either direction. */
  detectJump(clocks: Clocks): boolean {
    const offset = clocks.wallMs - clocks.monotonicMs;
    const previous = this.offset;
    this.offset = offset;
    return previous !== undefined && Math.abs(offset - previous) > freezeMs;
  }
}

/** Reads both clocks of this process. */
export function readClocks(): Clocks {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}
