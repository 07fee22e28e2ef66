/**
 * Continuous batching of the engine stand-in: in every tick, up to `maxBatch` streams get one token each,
 * highest priority first. A prompt whose prefix is cached skips most of its prefill.
 */
import type { FinishReason } from "../common/openai.ts";
import type { Priority } from "../common/template.ts";

/** One generation in progress. */
export interface Stream {
  readonly requestId: string;
  readonly priority: Priority;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Tokens that the caller of a resumed stream already has; generation continues after them. */
  readonly resume: number;
  /** Called with each generated token. */
  readonly onToken: (token: string, index: number) => void;
  /** Called once when the stream is complete or cancelled. */
  readonly onEnd: (reason: FinishReason) => void;
  /** Called about once a second while the stream waits for its first token. */
  readonly onWaiting: () => void;
  produced: number;
  prefillTicks: number;
  waitedTicks: number;
}

/** Options of a `Batcher`. */
export interface BatcherOptions {
  readonly tokenMs?: number;
  readonly maxBatch?: number;
  readonly prefillTicks?: number;
  readonly prefixCacheEntries?: number;
}

const defaults = { tokenMs: 5, maxBatch: 16, prefillTicks: 6, prefixCacheEntries: 64 };
const priorityRank: Readonly<Record<Priority, number>> = { high: 0, normal: 1, low: 2 };
const prefixChars = 64;

/** Runs streams in ticks; owns the timer and the queue. */
export class Batcher {
  private readonly options: typeof defaults;
  private readonly streams: Stream[] = [];
  private readonly prefixCache = new Map<string, true>();
  private timer: NodeJS.Timeout | undefined;

  constructor(options: BatcherOptions = {}) {
    this.options = { ...defaults, ...options };
  }

  /** Streams admitted and not yet finished. */
  get inFlight(): number {
    return this.streams.length;
  }

  /** Maximum number of concurrently running streams. */
  get maxBatch(): number {
    return this.options.maxBatch;
  }

  /** Admits a stream; it starts in the next tick with a free batch slot. */
  add(stream: Omit<Stream, "produced" | "prefillTicks" | "waitedTicks">): Stream {
    const prefix = `${stream.model}\n${stream.prompt.slice(0, prefixChars)}`;
    const cached = this.prefixCache.has(prefix);
    this.cachePrefix(prefix);
    const admitted: Stream = {
      ...stream,
      produced: stream.resume,
      prefillTicks: cached ? 1 : this.options.prefillTicks,
      waitedTicks: 0,
    };
    this.streams.push(admitted);
    this.timer ??= setInterval(() => {
      this.tick();
    }, this.options.tokenMs);
    return admitted;
  }

  /** Cancels a running or queued stream whose caller has disconnected, and frees its batch slot. */
  cancel(stream: Stream): void {
    if (this.streams.includes(stream)) this.finish(stream, "cancelled");
  }

  /** Cancels all streams and stops the timer. */
  dispose(): void {
    for (const stream of this.streams.splice(0)) stream.onEnd("cancelled");
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private tick(): void {
    const order = [...this.streams].sort((a, b) => priorityRank[a.priority] - priorityRank[b.priority]);
    for (const stream of order.slice(0, this.options.maxBatch)) this.step(stream);
    for (const stream of order) this.notifyIfWaiting(stream);
    if (this.streams.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }

  private step(stream: Stream): void {
    if (stream.prefillTicks > 0) {
      stream.prefillTicks -= 1;
      return;
    }
    if (stream.produced < stream.maxTokens) {
      stream.onToken(tokenFor(stream, stream.produced), stream.produced);
      stream.produced += 1;
    }
    if (stream.produced >= stream.maxTokens) this.finish(stream, "length");
  }

  /** Calls `onWaiting` about once a second for a stream without a first token, so that its connection doesn't time out. */
  private notifyIfWaiting(stream: Stream): void {
    if (stream.produced > stream.resume) return;
    stream.waitedTicks += 1;
    if (stream.waitedTicks % Math.ceil(1000 / this.options.tokenMs) === 0) stream.onWaiting();
  }

  private finish(stream: Stream, reason: FinishReason): void {
    const index = this.streams.indexOf(stream);
    if (index >= 0) this.streams.splice(index, 1);
    stream.onEnd(reason);
  }

  private cachePrefix(prefix: string): void {
    this.prefixCache.delete(prefix);
    this.prefixCache.set(prefix, true);
    if (this.prefixCache.size > this.options.prefixCacheEntries) {
      const oldest = this.prefixCache.keys().next().value;
      if (oldest !== undefined) this.prefixCache.delete(oldest);
    }
  }
}

/** Output of the stand-in: the prompt's words in a cycle, so that a caller can verify that the response is its own. */
function tokenFor(stream: Stream, index: number): string {
  const words = stream.prompt.split(/\s+/).filter((word) => word.length > 0);
  const word = words.length === 0 ? "ok" : (words[index % words.length] ?? "ok");
  return `${index === 0 ? "" : " "}${word}`;
}
