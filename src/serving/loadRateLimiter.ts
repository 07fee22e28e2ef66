/** Keeps loads from the weight store within its rate limit over all engines, even if orders are lost. */

/** Limit of loads that start within any window: `perS` x `windowMs` / 1000 x `overage` + `extraLoads`. */
export interface LoadRateLimiterOptions {
  readonly windowMs: number;
  readonly overage: number;
}

/** Loads allowed beyond the rate; one fewer than the store allows, as a lost order may start a load later. */
const extraLoads = 2;

/** Counts load starts in a sliding window. */
export class LoadRateLimiter {
  private startsMs: number[] = [];

  constructor(private readonly options: LoadRateLimiterOptions) {}

  /** Number of loads that may start now. */
  remaining(perS: number, nowMs: number): number {
    this.startsMs = this.startsMs.filter((at) => nowMs - at < this.options.windowMs);
    const limit = Math.floor((perS * this.options.windowMs * this.options.overage) / 1000) + extraLoads;
    return Math.max(0, limit - this.startsMs.length);
  }

  /** Records a load that started or may start. */
  record(nowMs: number): void {
    this.startsMs.push(nowMs);
  }
}
