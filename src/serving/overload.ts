/**
 * Detects that this node has more work than its CPU time allows, and decides which requests to shed then. Otherwise
 * all requests would be served late, most of them for callers that have disconnected, and the work on them would
 * delay the next ones further.
 */

/** Event-loop iterations longer than this are long, ms: a request waits for at least two iterations. */
const longIterationMs = 50;
/** Time constant of the moving average over iterations, ms. */
const windowMs = 500;
/** A single iteration is weighted by at most this time, ms: one stall is no overload. */
const maxStepMs = 250;
/**
 * The node becomes overloaded above the first ratio of time spent in long iterations, and recovers below the second.
 */
const overloadEnterRatio = 0.8;
const overloadExitRatio = 0.3;
/**
 * Requests older than this ratio of their caller's timeout are shed, but none below the minimum age, ms: the age is an
 * upper bound, so a low one says nothing.
 */
const shedTimeoutRatio = 0.3;
const minShedAgeMs = 60;
/** While the node is overloaded: the same as a ratio of the route's target, and the minimum age, ms. */
const targetRatio = 0.5;
const overloadAgeMs = 100;

/** Tracks the duration of event-loop iterations. */
export class OverloadDetector {
  private longIterationRatio = 0;
  private lastMs: number | undefined;
  private isOverloaded = false;

  /** Whether the node has more work than it can do. */
  get overloaded(): boolean {
    return this.isOverloaded;
  }

  /** Records an iteration that ended at `nowMs`; returns whether the state changed. */
  recordIteration(tookMs: number, nowMs: number): boolean {
    const stepMs = Math.min(maxStepMs, nowMs - (this.lastMs ?? nowMs));
    this.lastMs = nowMs;
    const long = tookMs > longIterationMs ? 1 : 0;
    this.longIterationRatio += (long - this.longIterationRatio) * (1 - Math.exp(-stepMs / windowMs));
    const before = this.isOverloaded;
    this.isOverloaded = this.longIterationRatio > (before ? overloadExitRatio : overloadEnterRatio);
    return before !== this.isOverloaded;
  }
}

/** What the shedding decision is based on. */
export interface SheddingView {
  /** How long the request may have been waiting, ms. */
  readonly ageMs: number;
  /** How long the caller waits for the first byte, ms. */
  readonly callerTimeoutMs: number;
  readonly targetMs: number;
  readonly overloaded: boolean;
}

/**
 * Whether the request is too old to start. An overloaded node gives priority to requests that can still be served in
 * time; the age limit also bounds what is started in one event-loop iteration.
 */
export function shouldShed({ ageMs, callerTimeoutMs, targetMs, overloaded }: SheddingView): boolean {
  const limitMs = Math.max(minShedAgeMs, shedTimeoutRatio * callerTimeoutMs);
  return ageMs > (overloaded ? Math.min(limitMs, Math.max(overloadAgeMs, targetRatio * targetMs)) : limitMs);
}
