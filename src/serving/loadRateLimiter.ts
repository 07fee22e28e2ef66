/** Keeps loads from the weight store under its ceiling over all engines, also while orders are lost. */

/** The ceiling: `perS` x `windowS` x `overage` + `extra` loads may begin in any window. */
export interface LoadCeilingOptions {
  readonly windowMs: number;
  readonly overage: number;
}

/** Loads allowed beyond the rate; one fewer than the store allows, as a lost order may begin a load later. */
const extra = 2;

/** Counts loads begun in a sliding window. */
export class LoadRateLimiter {
  private begun: number[] = [];

  constructor(private readonly options: LoadCeilingOptions) {}

  /** Loads that may begin now. */
  remaining(perS: number, nowMs: number): number {
    this.begun = this.begun.filter((at) => nowMs - at < this.options.windowMs);
    const most = Math.floor((perS * this.options.windowMs * this.options.overage) / 1000) + extra;
    return Math.max(0, most - this.begun.length);
  }

  /** A load began, or may begin. */
  record(nowMs: number): void {
    this.begun.push(nowMs);
  }
}
