/** Bounds retries to a part of the requests, so that a failing pool is not buried under its own retries. */

import { TokenBucket } from "../common/tokenBucket.ts";

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries earned by each request. */
  readonly ratio?: number;
  /** Retries that may be saved up. */
  readonly burst?: number;
}

const defaults = { ratio: 0.2, burst: 20 };

/** A bucket that requests fill and retries empty. */
export class RetryBudget {
  private readonly options: Required<RetryBudgetOptions>;
  private readonly tokens: TokenBucket;

  constructor(options: RetryBudgetOptions = {}) {
    this.options = { ...defaults, ...options };
    this.tokens = new TokenBucket(this.options.burst);
  }

  /** Counts a request, which earns part of a retry. */
  earn(): void {
    this.tokens.add(this.options.ratio);
  }

  /** Takes one retry; false if the budget is used up. */
  spend(): boolean {
    return this.tokens.take();
  }
}
