/**
 * Decides whether this node has more to do than its processor time allows, and which requests it then sheds. Without it
 * all requests are served late, most of them for callers that have left, and the work on them makes the next ones later.
 */

/** A turn of the event loop that takes longer than this is a long one, ms: requests wait for two of them at least. */
const longTurnMs = 50;
/** Time constant of the mean over turns, ms. */
const windowMs = 500;
/** A single turn counts as this much time at most, ms: one stall is no overload. */
const longestStepMs = 250;
/** The node is overloaded from this part of its time spent in long turns, and recovered below the other. */
const overloadedPart = 0.8;
const recoveredPart = 0.3;
/** Requests are shed from this part of their caller's patience on, and not below an age that says nothing, ms. */
const patiencePart = 0.3;
const vagueAgeMs = 60;
/** The same as a part of the route's target while the node is overloaded, and at least this, ms. */
const targetPart = 0.5;
const leastAgeMs = 100;

/** Follows the turns of the event loop. */
export class OverloadDetector {
  private longPart = 0;
  private lastMs: number | undefined;
  private isOverloaded = false;

  /** Does the node have more to do than it can? */
  get overloaded(): boolean {
    return this.isOverloaded;
  }

  /** Takes a turn that ended at `nowMs`; true if the state changed. */
  recordTurn(tookMs: number, nowMs: number): boolean {
    const stepMs = Math.min(longestStepMs, nowMs - (this.lastMs ?? nowMs));
    this.lastMs = nowMs;
    const long = tookMs > longTurnMs ? 1 : 0;
    this.longPart += (long - this.longPart) * (1 - Math.exp(-stepMs / windowMs));
    const before = this.isOverloaded;
    this.isOverloaded = this.longPart > (before ? recoveredPart : overloadedPart);
    return before !== this.isOverloaded;
  }
}

/** What decides whether a request is shed. */
export interface SheddingView {
  /** For how long the request may have been waiting, ms. */
  readonly ageMs: number;
  /** How long its caller waits for a first byte, ms. */
  readonly callerTimeoutMs: number;
  readonly targetMs: number;
  readonly overloaded: boolean;
}

/**
 * Is the request too old to begin? While the node is overloaded those that can still be answered in time go first, and
 * what is begun in one turn is bounded by their age.
 */
export function shouldShed({
  ageMs,
  callerTimeoutMs: patienceMs,
  targetMs,
  overloaded,
}: SheddingView): boolean {
  const limitMs = Math.max(vagueAgeMs, patiencePart * patienceMs);
  return ageMs > (overloaded ? Math.min(limitMs, Math.max(leastAgeMs, targetPart * targetMs)) : limitMs);
}
