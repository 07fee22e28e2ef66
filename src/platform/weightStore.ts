/** The weight store stand-in: fetches of model weights, limited in rate and concurrency. */
import { Failure } from "../common/errors.ts";
import { TokenBucket } from "../common/tokenBucket.ts";

/** Options of a `WeightStore`. */
export interface WeightStoreOptions {
  /** Average rate of fetches per second (token bucket refill). */
  readonly loadsPerSecond?: number;
  /** Maximum number of concurrent fetches. */
  readonly concurrent?: number;
  /** Simulated transfer rate of each fetch, in MB per second. */
  readonly mbPerSecond?: number;
}

const defaults = { loadsPerSecond: 1, concurrent: 5, mbPerSecond: 20_000 };

/** Serves weights within its limits; rejects fetches above them with `rate-limited` at once. */
export class WeightStore {
  private readonly options: Required<WeightStoreOptions>;
  private readonly tokens: TokenBucket;
  private lastRefill = Date.now();
  private running = 0;
  /** Number of completed fetches. */
  fetches = 0;

  constructor(options: WeightStoreOptions = {}) {
    this.options = { ...defaults, ...options };
    this.tokens = new TokenBucket(Math.max(1, this.options.concurrent));
  }

  /** Fetches `sizeMb` of weights; resolves when the transfer is complete. */
  async fetch(sizeMb: number): Promise<void> {
    this.refill();
    if (this.running >= this.options.concurrent || !this.tokens.take()) {
      throw new Failure("rate-limited", "weight store is at its limit; retry after the advised delay");
    }
    this.running += 1;
    try {
      await new Promise((resolve) => setTimeout(resolve, (sizeMb / this.options.mbPerSecond) * 1000));
      this.fetches += 1;
    } finally {
      this.running -= 1;
    }
  }

  private refill(): void {
    const now = Date.now();
    this.tokens.add(((now - this.lastRefill) / 1000) * this.options.loadsPerSecond);
    this.lastRefill = now;
  }
}
