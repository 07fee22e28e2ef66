/**
 * Estimates the decoding speed of engines from observed streams, and how much engine time a request takes.
 * Covers long outputs as well as long prompts: judged by prompts alone, an engine that decodes in every slot
 * looks half idle. Other engine types decode several times faster or slower, so all initial values here
 * adapt.
 */

/**
 * Prompt tokens that an engine prefills per ms at prefill factor 1; faster and slower engines show in the
 * factors of their models.
 */
export const prefillTokensPerMs = 38.7;
/** Initial duration of one decoding step, which gives every running request a token, ms. */
const initialStepMs = 5.3;
/** Initial time for which a request occupies its slot, ms. */
const initialSlotTimeMs = 1_500;
/**
 * Weights of a shorter and of a longer observation: other work of the engine only makes steps longer, so the
 * estimate follows the fastest tenth of the streams.
 */
const fasterWeight = 0.3;
const slowerWeight = 0.03;
/** Weight of the newest stream in the mean slot time. */
const slotTimeWeight = 0.05;
/** Minimum number of events for a stream to measure the intervals between them. */
const minEvents = 4;

/** Timing of one completed stream. */
export interface StreamTiming {
  /** From the send to the last event, ms. */
  readonly totalMs: number;
  /** From the first event to the last, ms. */
  readonly eventsMs: number;
  readonly events: number;
}

/** Decoding speed of engines as observed by one node. */
export class EngineSpeed {
  private decodeStepMs = initialStepMs;
  private slotTimeMs = initialSlotTimeMs;

  /** Applies the timing of a complete stream; an event holds `tokensPerEvent` tokens. */
  observe({ totalMs, eventsMs, events }: StreamTiming, tokensPerEvent: number): void {
    this.slotTimeMs += (totalMs - this.slotTimeMs) * slotTimeWeight;
    if (events < minEvents) return;
    const stepMs = eventsMs / (events - 1) / Math.max(1, tokensPerEvent);
    this.decodeStepMs +=
      (stepMs - this.decodeStepMs) * (stepMs < this.decodeStepMs ? fasterWeight : slowerWeight);
  }

  /** Duration of one decoding step on an engine that does nothing else, ms. */
  get stepMs(): number {
    return this.decodeStepMs;
  }

  /** Expected wait for a slot of an engine with `requests` in flight, ms. */
  slotWaitMs(requests: number, slots: number): number {
    return (Math.max(0, requests + 1 - slots) * this.slotTimeMs) / Math.max(1, slots);
  }
}

/** Ratio of the shared prompt parts that are prefilled again, on other engines or after their eviction. */
const sharedMissRatio = 0.3;
/**
 * Prefill time under load relative to an idle engine: chunks alternate with decoding steps, and attention to a long
 * prompt takes longer. Without it the planner gives busy models too few replicas.
 */
const loadedPrefillFactor = 1.3;

/** Inputs of the work estimate for a request. */
export interface RequestSize {
  readonly promptTokens: number;
  /** Prompt tokens that are not shared with other requests. */
  readonly ownTokens: number;
  readonly outputTokens: number;
  /** Prefill factor of its model. */
  readonly prefillFactor: number;
}

/**
 * Engine time of a request, ms: its prefill, which excludes all other work, and its share of the decoding
 * steps, which serve all slots at once. An engine whose full time is requested has no free slot left.
 */
export function engineWorkMs(size: RequestSize, stepMs: number, slots: number): number {
  const missedTokens = size.ownTokens + sharedMissRatio * (size.promptTokens - size.ownTokens);
  const prefillMs = (missedTokens / prefillTokensPerMs) * size.prefillFactor;
  return loadedPrefillFactor * prefillMs + (size.outputTokens * stepMs) / Math.max(1, slots);
}
