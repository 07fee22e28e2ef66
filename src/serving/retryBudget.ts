/**
 * Bounds retries to a part of the requests, so that a failing pool is not buried under its own retries. The
 * bound is on all nodes together; each takes an equal part of the burst without asking the others, or one retry where
 * there are more nodes than retries.
 */
import { TokenBucket } from "../common/tokenBucket.ts";

/** The nodes that share a budget, and this one's place among them. */
export interface BudgetShare {
  readonly count: number;
  /** From 0. */
  readonly rank: number;
  /** Part of the budget that they share, from 0 to 1. */
  readonly fraction: number;
}

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries earned by each request. */
  readonly ratio?: number;
  /** Retries that may be saved up, over all nodes. */
  readonly burst?: number;
  /** Nodes that share the burst now, this one included. */
  readonly budgetShare?: () => BudgetShare;
  /**
   * What a node begins with, as a part of its share. Guards "the bound is exceeded when all nodes are killed":
   * each forgets what it has used of the window, and a full share each would allow almost twice the burst.
   */
  readonly initialFillRatio?: number;
}

const defaults = {
  ratio: 0.2,
  burst: 20,
  budgetShare: (): BudgetShare => ({ count: 1, rank: 0, fraction: 1 }),
  initialFillRatio: 1,
};

/** Part of the burst that the nodes share out; the rest is slack for those that start anew. */
const sharedPart = 0.9;
/** A bucket that requests fill and retries empty. */
export class RetryBudget {
  private readonly options: Required<RetryBudgetOptions>;
  private readonly tokens: TokenBucket;

  constructor(options: RetryBudgetOptions = {}) {
    this.options = { ...defaults, ...options };
    this.tokens = new TokenBucket(this.share, this.share * this.options.initialFillRatio);
  }

  /** Counts a request, which earns part of a retry. */
  deposit(): void {
    // Nodes come and go, and a node that has just started knows of none.
    this.tokens.resize(this.share);
    this.tokens.add(this.options.ratio);
  }

  /** Takes one retry; false if the budget is used up. */
  tryWithdraw(): boolean {
    return this.tokens.take();
  }

  private get share(): number {
    const { burst, budgetShare: sharers } = this.options;
    const { count, rank, fraction: part } = sharers();
    const shared = burst * sharedPart * part;
    if (shared >= count) return shared / count;
    // Parts of a retry are of no use, and rounded up they would exceed the burst.
    return rank < Math.floor(shared) ? 1 : 0;
  }
}
