/**
 * How fast engines decode, learned from the streams they give, and how much of an engine a request takes. Answers load
 * of long answers as well as of long prompts: counted by prompts alone, an engine whose every slot decodes looks half
 * idle. Engines of another make decode several times faster or slower, so nothing here stays at its first value.
 */

/** Prompt tokens an engine reads per ms at pace 1; faster and slower ones show in the pace of their models. */
export const prefillTokensPerMs = 38.7;
/** One decoding step, in which every running request gets a token, ms, before any stream was seen. */
const initialStepMs = 5.3;
/** Time for which a request keeps its slot, ms, before any stream was seen. */
const initialHoldMs = 1_500;
/**
 * Steps towards a shorter and towards a longer observation: what else an engine does only makes its steps longer, so
 * a step is what the fastest tenth of the streams show.
 */
const fasterStep = 0.3;
const slowerStep = 0.03;
/** Weight of the newest stream in the mean time for which requests keep their slots. */
const newestHold = 0.05;
/** Streams of fewer events say little of the pauses between them. */
const leastEvents = 4;

/** A stream as it came. */
export interface StreamTiming {
  /** From the send to the last event, ms. */
  readonly totalMs: number;
  /** From the first event to the last, ms. */
  readonly eventsMs: number;
  readonly events: number;
}

/** What one node has learned of the decoding of engines. */
export class EngineSpeed {
  private step = initialStepMs;
  private hold = initialHoldMs;

  /** A stream was given whole; an event holds `tokensPerEvent` tokens. */
  observe({ totalMs: wholeMs, eventsMs, events }: StreamTiming, tokensPerEvent: number): void {
    this.hold += (wholeMs - this.hold) * newestHold;
    if (events < leastEvents) return;
    const stepMs = eventsMs / (events - 1) / Math.max(1, tokensPerEvent);
    this.step += (stepMs - this.step) * (stepMs < this.step ? fasterStep : slowerStep);
  }

  /** One decoding step of an engine that does nothing else, ms. */
  get stepMs(): number {
    return this.step;
  }

  /** Until a request gets a slot of an engine that has `requests`, ms. */
  slotWaitMs(requests: number, slots: number): number {
    return (Math.max(0, requests + 1 - slots) * this.hold) / Math.max(1, slots);
  }
}

/** What decides how much work a request is. */
export interface RequestSize {
  /** Tokens of the prompt that no other request shares. */
  readonly ownTokens: number;
  readonly outputTokens: number;
  /** Pace at which its model reads. */
  readonly prefillFactor: number;
}

/**
 * Engine time that a request takes, ms: the reading of its prompt, during which nothing else is done, and its share
 * of the decoding steps, which serve all slots at once. An engine that is asked for all of its time has no slot left.
 */
export function engineWorkMs(size: RequestSize, stepMs: number, slots: number): number {
  const readingMs = (size.ownTokens / prefillTokensPerMs) * size.prefillFactor;
  return readingMs + (size.outputTokens * stepMs) / Math.max(1, slots);
}
