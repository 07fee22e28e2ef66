/**
 * Decides whether a request is sent to its engine now, waits on this node, or is refused. Answers load beyond
 * what the engines of a model can read: sent all at once, every prompt is read a piece at a time, all first
 * tokens come after their callers have left, and the work on all of them is lost. Held back here, those that
 * are sent come in time, the more urgent ones first, and the others can still be refused without having run.
 */
import { willMissDeadline } from "./sendRules.ts";

/** A request is sent if the first token of one that needs no reading is expected within this part of its target. */
const targetPart = 0.9;
/** The same as a part of the time that the caller still waits, for targets that are already missed. */
const leftPart = 0.3;
/** How much earlier than the next rank a more urgent route's requests are sent. */
const rankStep = 0.25;
/**
 * Part of an engine's slots that each rank below the most urgent leaves free. Guards "a stream pauses midway": where
 * every slot is taken a more urgent request takes that of a less urgent one, whose prompt is then read anew.
 */
const slotsLeftPerRank = 0.06;
/** Requests beyond an engine's slots that the most urgent may have sent, as a part of them: some end at any moment. */
const overbookedPart = 0.05;
/**
 * Part of its slots that requests past their target leave free: where not all can come in time those that still can
 * go first.
 */
const slotsLeftByLate = 0.08;
/** Longest time a request is held back here, as a part of its caller's patience: later it is refused. */
const heldPart = 0.35;

/** What decides. */
export interface AdmissionView {
  /** Until the first token, by what is ahead of the request at the engine, ms. */
  readonly queueMs: number;
  /** The same with the reading of the request itself. */
  readonly expectedFirstByteMs: number;
  /** Until the caller leaves without a first byte, ms; and the whole of that time. */
  readonly remainingMs: number;
  readonly callerTimeoutMs: number;
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests in flight at the engine, and its slots. */
  readonly requests: number;
  readonly slots: number;
}

/** `refuse` names when the engines should have caught up. */
export type Admission =
  | { readonly kind: "send" }
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** What to do with the request now. */
export function admit(view: AdmissionView): Admission {
  const { queueMs, expectedFirstByteMs: expectedMs, remainingMs: leftMs } = view;
  if (willMissDeadline(expectedMs, leftMs)) return { kind: "refuse", retryAfterMs: expectedMs - leftMs };
  const limitMs =
    Math.max(targetPart * view.targetMs, leftPart * leftMs) / (1 + rankStep * Math.max(0, view.priority));
  if (queueMs <= limitMs && hasSlot(view)) return { kind: "send" };
  if (view.callerTimeoutMs - leftMs < heldPart * view.callerTimeoutMs) return { kind: "wait" };
  return { kind: "refuse", retryAfterMs: queueMs };
}

/** Is there a slot for the request, beside those kept for others? */
function hasSlot({
  priority,
  requests,
  slots,
  callerTimeoutMs: patienceMs,
  remainingMs: leftMs,
  targetMs,
}: AdmissionView): boolean {
  const late = patienceMs - leftMs > targetMs ? slotsLeftByLate : 0;
  return requests < slots * (1 + overbookedPart - slotsLeftPerRank * Math.max(0, priority) - late);
}
