/**
 * Decides whether a request is sent to its engine now, waits on this node, or is refused. Answers load beyond
 * what the engines of a model can read: sent all at once, every prompt is read a piece at a time, all first
 * tokens come after their callers have left, and the work on all of them is lost. Held back here, those that
 * are sent come in time, the more urgent ones first, and the others can still be refused without having run.
 */
import { isHopeless } from "./sendRules.ts";

/** A request is sent if the first token of one that needs no reading is expected within this part of its target. */
const targetPart = 0.9;
/** The same as a part of the time that the caller still waits, for targets that are already missed. */
const leftPart = 0.3;
/** How much earlier than the next rank a more urgent route's requests are sent. */
const rankStep = 0.25;
/** Longest time a request is held back here, as a part of its caller's patience: later it is refused. */
const heldPart = 0.35;

/** What decides. */
export interface AdmissionView {
  /** Until the first token, by what is ahead of the request at the engine, ms. */
  readonly queueMs: number;
  /** The same with the reading of the request itself. */
  readonly expectedMs: number;
  /** Until the caller leaves without a first byte, ms; and the whole of that time. */
  readonly leftMs: number;
  readonly patienceMs: number;
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** `refuse` names when the engines should have caught up. */
export type Admission =
  | { readonly kind: "send" }
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** What to do with the request now. */
export function admit(view: AdmissionView): Admission {
  const { queueMs, expectedMs, leftMs } = view;
  if (isHopeless(expectedMs, leftMs)) return { kind: "refuse", retryAfterMs: expectedMs - leftMs };
  const limitMs =
    Math.max(targetPart * view.targetMs, leftPart * leftMs) / (1 + rankStep * Math.max(0, view.priority));
  if (queueMs <= limitMs) return { kind: "send" };
  if (view.patienceMs - leftMs < heldPart * view.patienceMs) return { kind: "wait" };
  return { kind: "refuse", retryAfterMs: queueMs };
}
