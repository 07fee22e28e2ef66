/**
 * Limits retries to a ratio of the requests, so that a failing pool isn't overloaded by retries. The limit is
 * fleet-wide: each node takes an equal share of the burst without asking the others, or one retry if there are more
 * nodes than retries.
 */
import { TokenBucket } from "../common/tokenBucket.ts";

/** How many nodes share a budget, and the rank of this one. */
export interface BudgetShare {
  readonly count: number;
  /** Starts at 0. */
  readonly rank: number;
  /** Fraction of the budget that these nodes share, from 0 to 1. */
  readonly fraction: number;
}

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries earned per request. */
  readonly ratio?: number;
  /** Retries that may accumulate, over all nodes. */
  readonly burst?: number;
  /** The nodes that share the burst now, this one included. */
  readonly budgetShare?: () => BudgetShare;
  /**
   * Initial fill of the bucket, as a ratio of this node's share. A restarted node has forgotten what it used within
   * the window; if all nodes were killed and started with a full share, almost twice the burst would be allowed.
   */
  readonly initialFillRatio?: number;
}

const defaults = {
  ratio: 0.2,
  burst: 20,
  budgetShare: (): BudgetShare => ({ count: 1, rank: 0, fraction: 1 }),
  initialFillRatio: 1,
};

/** Ratio of the burst that is divided between the nodes; the rest is slack for nodes that restart. */
const sharedRatio = 0.9;

/** A token bucket that requests fill and retries drain. */
export class RetryBudget {
  private readonly options: Required<RetryBudgetOptions>;
  private readonly tokens: TokenBucket;

  constructor(options: RetryBudgetOptions = {}) {
    this.options = { ...defaults, ...options };
    this.tokens = new TokenBucket(this.share, this.share * this.options.initialFillRatio);
  }

  /** Counts a request, which earns a fraction of a retry. */
  deposit(): void {
    // The number of nodes changes, and a node that has just started knows of none.
    this.tokens.resize(this.share);
    this.tokens.add(this.options.ratio);
  }

  /** Takes one retry; false if the budget is exhausted. */
  tryWithdraw(): boolean {
    return this.tokens.take();
  }

  private get share(): number {
    const { burst, budgetShare } = this.options;
    const { count, rank, fraction } = budgetShare();
    const shared = burst * sharedRatio * fraction;
    if (shared >= count) return shared / count;
    // Fractions of a retry are useless, and rounding them up on each node would exceed the burst.
    return rank < Math.floor(shared) ? 1 : 0;
  }
}
