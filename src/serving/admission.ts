/**
 * Decides whether a request is sent to its engine now, waits on this node, or is refused. If the load exceeds the
 * prefill capacity of a model's engines and all requests are sent at once, every prompt is processed a little at a
 * time, all first tokens come after their callers have disconnected, and all of that work is lost. With requests
 * queued here, those that are sent are served in time, the more urgent ones first, and the others can still be
 * refused without having run. Prompts that would delay the running streams of an engine beyond their gap limit wait here
 * too, those with the most time to spare first.
 */
import { allowedGapMs } from "./decoding/gapProjection.ts";
import { willMissDeadline } from "./sendRules.ts";

/** A request is sent if the queue at its engine delays the first token by at most this ratio of its target. */
const targetRatio = 0.9;
/** The same as a ratio of the caller's remaining time, for targets that are already missed. */
const remainingRatio = 0.3;
/** How much earlier requests of a route are sent than those of the next lower priority. */
const priorityStepRatio = 0.25;
/**
 * Ratio of an engine's slots that each priority below the most urgent leaves free. If every slot were taken, a more
 * urgent request would evict a less urgent one, whose stream would pause midway while its prompt is processed again.
 */
const priorityReserveRatio = 0.06;
/**
 * Requests of the highest priority that may be sent beyond an engine's slots, as a ratio of the slots: some running
 * requests end at any moment.
 */
const overbookRatio = 0.05;
/**
 * Ratio of the slots that requests past their target leave free: if not all can be served in time, those that still
 * can go first.
 */
const lateReserveRatio = 0.08;
/** Longest time a request waits here, as a ratio of its caller's timeout; after that it is refused. */
const maxWaitRatio = 0.35;

/** What the decision is based on. */
export interface AdmissionView {
  /** Expected time until the first token due to the queue at the engine, ms. */
  readonly queueMs: number;
  /** The same including the prefill of the request itself. */
  readonly expectedFirstByteMs: number;
  /** Time until the caller disconnects without a first byte, ms, and its whole timeout for that. */
  readonly timeLeftMs: number;
  readonly callerTimeoutMs: number;
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Requests in flight at the engine, and its slots. */
  readonly requests: number;
  readonly slots: number;
  /** Effect on the streams that run there; absent if the service has no gap limit. */
  readonly decoding?: DecodingEffect | undefined;
}

/** How a prompt affects the streams at the engine, and what its own stream needs. */
export interface DecodingEffect {
  readonly gapLimitMs: number;
  /** Projected event gap if the prompt is sent now, and if the engine had no other prefill, ms. */
  readonly gapMs: number;
  readonly aloneGapMs: number;
  /** The prompt is too small to be held back. */
  readonly isSmall: boolean;
  /** Shortest time from the first event to the last of its own stream, and time left for the whole response, ms. */
  readonly streamMs: number;
  readonly responseLeftMs: number;
}

/** `refuse` states when the engines should have caught up. */
export type Admission =
  | { readonly kind: "send" }
  /** `forStreams`: because of the streams that run there. */
  | { readonly kind: "wait"; readonly forStreams: boolean }
  | { readonly kind: "refuse"; readonly retryAfterMs: number };

/** Decides what to do with the request now. */
export function admit(view: AdmissionView): Admission {
  const { queueMs, expectedFirstByteMs, timeLeftMs, decoding } = view;
  if (willMissDeadline(expectedFirstByteMs, timeLeftMs))
    return { kind: "refuse", retryAfterMs: expectedFirstByteMs - timeLeftMs };
  if (decoding !== undefined && expectedFirstByteMs + decoding.streamMs >= decoding.responseLeftMs)
    return { kind: "refuse", retryAfterMs: Math.max(0, queueMs) };
  const limitMs =
    Math.max(targetRatio * view.targetMs, remainingRatio * timeLeftMs) /
    (1 + priorityStepRatio * Math.max(0, view.priority));
  const mayStart = queueMs <= limitMs && hasSlot(view);
  const forStreams = mayStart && delaysStreams(view);
  if (mayStart && !forStreams) return { kind: "send" };
  const waitedMs = view.callerTimeoutMs - timeLeftMs;
  // A prompt that waits for streams may do so for as long as its target can still be met.
  const isInTime = forStreams && spareMsOf(view) > 0;
  if (isInTime || waitedMs < maxWaitRatio * view.callerTimeoutMs) return { kind: "wait", forStreams };
  return { kind: "refuse", retryAfterMs: queueMs };
}

/** Time until the prompt has to be sent to meet its target, ms. */
function spareMsOf({ targetMs, callerTimeoutMs, timeLeftMs, expectedFirstByteMs }: AdmissionView): number {
  return targetMs - (callerTimeoutMs - timeLeftMs) - expectedFirstByteMs;
}

/**
 * Whether the prompt would delay the streams at the engine too much. One that alone takes longer than their gap limit is
 * sent once its target requires it and nothing else is pending there: no later time is better.
 */
function delaysStreams(view: AdmissionView): boolean {
  const { decoding } = view;
  if (decoding === undefined || decoding.isSmall || view.requests === 0) return false;
  const spareMs = spareMsOf(view);
  const aloneMs = spareMs <= 0 ? decoding.aloneGapMs : 0;
  return decoding.gapMs > Math.max(allowedGapMs(decoding, spareMs), aloneMs);
}

/** Whether there is a slot for the request, besides those reserved for others. */
function hasSlot({
  priority,
  requests,
  slots,
  callerTimeoutMs,
  timeLeftMs,
  targetMs,
}: AdmissionView): boolean {
  const lateReserve = callerTimeoutMs - timeLeftMs > targetMs ? lateReserveRatio : 0;
  return requests < slots * (1 + overbookRatio - priorityReserveRatio * Math.max(0, priority) - lateReserve);
}
