/** Keeps placement within the weight store's limits: loads started per second, and concurrent loads. */

import { TokenBucket } from "../common/tokenBucket.ts";

/** Options of a `LoadBudget`. */
export interface LoadBudgetOptions {
  readonly loadsPerSecond?: number;
  readonly loadsAtOnce?: number;
}

const defaults = { loadsPerSecond: 1, loadsAtOnce: 5 };

/** A token bucket of loads; its capacity is the number of concurrent loads allowed. */
export class LoadBudget {
  private readonly options: Required<LoadBudgetOptions>;
  private readonly tokens: TokenBucket;
  private refilledAt = Date.now();

  constructor(options: LoadBudgetOptions = {}) {
    this.options = { ...defaults, ...options };
    this.tokens = new TokenBucket(this.options.loadsAtOnce);
  }

  /** Loads that may start now, with `running` already in progress. */
  available(running: number): number {
    const now = Date.now();
    this.tokens.add(((now - this.refilledAt) / 1000) * this.options.loadsPerSecond);
    this.refilledAt = now;
    return Math.max(0, Math.min(this.tokens.availableTokens, this.options.loadsAtOnce - running));
  }

  /** Takes the token of one load. */
  take(): void {
    this.tokens.take();
  }
}
