/** Bounds retries to a part of the requests, so that a failing pool is not buried under its own retries. */

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
  private tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.options = { ...defaults, ...options };
    this.tokens = this.options.burst;
  }

  /** Counts a request, which earns part of a retry. */
  earn(): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.ratio);
  }

  /** Takes one retry; false if the budget is used up. */
  spend(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
