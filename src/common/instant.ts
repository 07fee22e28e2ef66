/** Points in time that account for suspension of the host, during which the monotonic clock stops. */

/** A larger difference between monotonic and wall clock means that the host was suspended; a smaller one is drift, ms. */
const suspendThresholdMs = 300;

/** A point in time on both clocks of this host, ms. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** The present, or a time `agoMs` before it. */
export function takeInstant(agoMs = 0): Instant {
  return { monotonicMs: performance.now() - agoMs, wallMs: Date.now() - agoMs };
}

/** Time from one instant to another, by default to the present, including the time for which the host was suspended, ms. */
export function elapsedMsSince({ monotonicMs, wallMs }: Instant, now = takeInstant()): number {
  const elapsedMs = now.monotonicMs - monotonicMs;
  const suspendedMs = now.wallMs - wallMs - elapsedMs;
  return suspendedMs > suspendThresholdMs ? elapsedMs + suspendedMs : elapsedMs;
}
