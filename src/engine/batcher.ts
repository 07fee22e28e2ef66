/**
 * Continuous batching of the engine stand-in: every tick, up to `maxBatch` streams each get one token,
 * highest priority first; a prompt whose prefix is cached skips most of its prefill.
 */
import type { Priority } from "../common/template.ts";

/** One generation in progress. */
export interface Stream {
  readonly requestId: string;
  readonly priority: Priority;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Called with each token as it is made. */
  readonly onToken: (token: string, index: number) => void;
  /** Called once when done or cancelled. */
  readonly onEnd: (reason: "stop" | "length" | "cancelled") => void;
  produced: number;
  prefillTicks: number;
  cancelled: boolean;
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

/** Runs streams in ticks; owns its timer and its queue. */
export class Batcher {
  private readonly options: typeof defaults;
  private readonly streams: Stream[] = [];
  private readonly prefixes = new Map<string, true>();
  private timer: NodeJS.Timeout | undefined;

  constructor(options: BatcherOptions = {}) {
    this.options = { ...defaults, ...options };
  }

  /** Streams admitted and not finished. */
  get inFlight(): number {
    return this.streams.length;
  }

  /** Admits a stream; it starts in the next tick that has room. */
  add(stream: Omit<Stream, "produced" | "prefillTicks" | "cancelled">): Stream {
    const prefix = stream.prompt.slice(0, prefixChars);
    const cached = this.prefixes.has(prefix);
    this.remember(prefix);
    const admitted: Stream = {
      ...stream,
      produced: 0,
      prefillTicks: cached ? 1 : this.options.prefillTicks,
      cancelled: false,
    };
    this.streams.push(admitted);
    this.timer ??= setInterval(() => {
      this.tick();
    }, this.options.tokenMs);
    return admitted;
  }

  /** Stops every stream and the timer. */
  dispose(): void {
    for (const stream of this.streams.splice(0)) stream.onEnd("cancelled");
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private tick(): void {
    const order = [...this.streams].sort((a, b) => priorityRank[a.priority] - priorityRank[b.priority]);
    for (const stream of order.slice(0, this.options.maxBatch)) this.step(stream);
    if (this.streams.length === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }

  private step(stream: Stream): void {
    if (stream.cancelled) {
      this.finish(stream, "cancelled");
      return;
    }
    if (stream.prefillTicks > 0) {
      stream.prefillTicks -= 1;
      return;
    }
    stream.onToken(tokenFor(stream, stream.produced), stream.produced);
    stream.produced += 1;
    if (stream.produced >= stream.maxTokens) this.finish(stream, "length");
  }

  private finish(stream: Stream, reason: "stop" | "length" | "cancelled"): void {
    const index = this.streams.indexOf(stream);
    if (index >= 0) this.streams.splice(index, 1);
    stream.onEnd(reason);
  }

  private remember(prefix: string): void {
    this.prefixes.delete(prefix);
    this.prefixes.set(prefix, true);
    if (this.prefixes.size > this.options.prefixCacheEntries) {
      const oldest = this.prefixes.keys().next().value;
      if (oldest !== undefined) this.prefixes.delete(oldest);
    }
  }
}

/** The stand-in's output: words of the prompt in turn, so a caller can check the answer is its own. */
function tokenFor(stream: Stream, index: number): string {
  const words = stream.prompt.split(/\s+/).filter((word) => word.length > 0);
  const word = words.length === 0 ? "ok" : (words[index % words.length] ?? "ok");
  return `${index === 0 ? "" : " "}${word}`;
}
