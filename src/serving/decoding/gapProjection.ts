/**
 * Projects the longest gap between two events of the streams that run on an engine. Each of an event's tokens waits for
 * one decoding step and, while prompts are pending, for one chunk of prefill, so the gap is bounded by the prefill in one
 * window and by one chunk per token.
 */

/** Prefill between two decoding steps, and such a step, at typical speed, ms, as the interface of the engines states. */
export const typicalChunkMs = 100;
const typicalStepMs = 5.3;
/**
 * Limits of the ratio of real to estimated prefill relative to that of real to typical step times. First events are also
 * late because of prompts of other nodes that weren't known yet; taken for slowness, this made a fast engine look twice
 * as slow as it is.
 */
const minRatioBySteps = 0.8;
const maxRatioBySteps = 1.6;
/** Ratio of the gap limit that is planned with for prompts with time to spare: reports are up to 300 ms old. */
const sparedRatio = 0.65;
/** The same for a prompt that misses its target if it isn't sent now. */
const dueRatio = 0.95;
/**
 * The same for a prompt that misses its target anyway. If those went before the ones that can still be served in time, an
 * overloaded engine would serve all of them late.
 */
const lateRatio = 0.8;
/** Ratio of an event's time that may be spent on prefill for streams to end before their deadlines. */
const deadlineRatio = 0.9;
/**
 * Share of an engine's time in prefill that is never limited for deadlines: a stream that has time for it catches up
 * afterwards. Limited from the start, fast engines stayed idle in bursts that no stream needed to be protected from.
 */
const freeShare = 0.83;
/** Windows over which the mean event interval is compared with what deadlines need. */
export const meanWindows = 4;
/** A prompt of at most this ratio of the gap limit changes no gap noticeably and never waits for streams. */
const smallPromptRatio = 0.1;
/** Steps of needed intervals, as binary logarithm of their ratio. */
const intervalStep = 0.5;
/** Cost per running stream of a delay of its tokens, as a ratio of the delay; only over the limit does it cost in full. */
const delayCostRatio = 0.02;

/** What is known of an engine's prefill and streams; prefill times are corrected by observation. */
export interface EnginePrefill {
  /** Real prefill time of all pending prompts, ms. */
  readonly pendingMs: number;
  /** Real prefill time of the prompts sent there in the last window, and in the last `meanWindows`, ms. */
  readonly startedMs: number;
  readonly startedLongMs: number;
  /** Mean event interval that the running streams need to end before their deadlines, ms; 0 if none run. */
  readonly intervalMs: number;
  /** Ratio of real to estimated prefill time. */
  readonly ratio: number;
  /** Longest recently observed gap between two events, ms; 0 if none is known. */
  readonly longestGapMs: number;
  /** Duration of a decoding step there, ms; undefined if it wasn't observed. */
  readonly stepMs: number | undefined;
}

/** What the streams of a service need. */
export interface StreamNeeds {
  /** Strictest gap limit of the service's routes, ms. */
  readonly gapLimitMs: number;
  readonly tokensPerEvent: number;
  /** Duration of a decoding step, ms. */
  readonly stepMs: number;
}

/** Decoding time of one event, and its longest time in prefill, ms. */
function eventTimes(
  engine: EnginePrefill,
  { tokensPerEvent, stepMs }: StreamNeeds,
): { readonly decodingMs: number; readonly chunksMs: number } {
  const engineStepMs = engine.stepMs ?? stepMs;
  const decodingMs = tokensPerEvent * engineStepMs;
  const chunkMs = (typicalChunkMs * engineStepMs) / typicalStepMs;
  return { decodingMs, chunksMs: Math.max(tokensPerEvent * chunkMs, engine.longestGapMs - decodingMs) };
}

/** Whether no backlog can make a gap too long, as one chunk of prefill per token is within the limit. */
export function isBounded(engine: EnginePrefill, needs: StreamNeeds): boolean {
  const { decodingMs, chunksMs } = eventTimes(engine, needs);
  return decodingMs + chunksMs <= dueRatio * needs.gapLimitMs;
}

/** Projected event gap, ms, if a prompt with this estimated prefill is sent to the engine now. */
export function projectedGapMs(engine: EnginePrefill, needs: StreamNeeds, prefillMs: number): number {
  const { gapLimitMs } = needs;
  const { decodingMs, chunksMs } = eventTimes(engine, needs);
  const addedMs = prefillMs * engine.ratio;
  const burstMs = Math.max(engine.pendingMs, engine.startedMs) + addedMs;
  const gapMs = decodingMs + (isBounded(engine, needs) ? 0 : Math.min(burstMs, chunksMs));
  if (engine.intervalMs <= 0) return gapMs;
  // The mean interval at the present share of prefill, scaled so that the needed interval is at the gap limit.
  const neededMs = deadlineRatio * engine.intervalMs;
  if (neededMs * (1 - freeShare) >= decodingMs) return gapMs;
  const share = Math.min(0.99, (engine.startedLongMs + addedMs) / (meanWindows * gapLimitMs));
  const meanMs = Math.min(decodingMs / (1 - share), decodingMs + chunksMs);
  return Math.max(gapMs, (meanMs / neededMs) * gapLimitMs);
}

/** The ratio of real to estimated prefill time, within the limits that the ratio of the step times sets. */
export function boundedRatio(ratio: number, stepRatio: number): number {
  return Math.min(maxRatioBySteps * stepRatio, Math.max(minRatioBySteps * stepRatio, ratio));
}

/** Largest projected gap with which a prompt is sent, ms; it grows until the prompt has to be sent for its target. */
export function allowedGapMs({ gapLimitMs }: Pick<StreamNeeds, "gapLimitMs">, spareMs: number): number {
  if (spareMs < 0) return lateRatio * gapLimitMs;
  const dueness = 1 - Math.min(1, Math.max(0, spareMs / (2 * gapLimitMs)));
  return gapLimitMs * (sparedRatio + (dueRatio - sparedRatio) * dueness);
}

/** Whether the prompt is too small to be held back for streams. */
export function isSmallPrompt(
  engine: EnginePrefill,
  { gapLimitMs }: StreamNeeds,
  prefillMs: number,
): boolean {
  return prefillMs * engine.ratio <= smallPromptRatio * gapLimitMs;
}

/**
 * Mean event interval that a stream with this many events left needs to end in time, ms: its gap limit, or less in steps,
 * as each change is reported to all nodes.
 */
export function neededIntervalMs(gapLimitMs: number, timeLeftMs: number, eventsLeft: number): number {
  const intervalMs = Math.max(1, timeLeftMs / Math.max(1, eventsLeft));
  const steps = Math.ceil(Math.max(0, Math.log2(gapLimitMs / intervalMs)) / intervalStep);
  return gapLimitMs * 2 ** (-steps * intervalStep);
}

/** Cost of the delay that the prefill causes to this many streams, ms; includes that of the prompt's own stream. */
export function delayCostMs(
  engine: EnginePrefill,
  needs: StreamNeeds,
  prefillMs: number,
  streams: number,
): number {
  const excessMs = projectedGapMs(engine, needs, prefillMs) - sparedRatio * needs.gapLimitMs;
  return streams * delayCostRatio * prefillMs * engine.ratio + Math.max(0, excessMs);
}
