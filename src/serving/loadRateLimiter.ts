/** Keeps loads from the weight store within its rate limit over all engines, even if orders are lost or executed late. */

/** Limit of loads that start within any window: `perS` x `windowMs` / 1000 x `overage` + `extraLoads`. */
export interface LoadRateLimiterOptions {
  readonly windowMs: number;
  readonly overage: number;
}

/** Loads allowed beyond the rate; one fewer than the store allows, as a lost order may start a load later. */
const extraLoads = 2;
/** An order without a response was either executed within this time or never will be, ms; late orders took up to 12 s. */
const orderExpiryMs = 15_000;

/** Counts load starts in a sliding window, and the orders that may start a load at any time. */
export class LoadRateLimiter {
  private startsMs: number[] = [];
  /** When orders whose outcome isn't known were sent first, ms, by engine and model. */
  private readonly unsettled = new Map<string, number>();

  constructor(private readonly options: LoadRateLimiterOptions) {}

  /** Number of loads that may start now. */
  remaining(perS: number, nowMs: number): number {
    this.startsMs = this.startsMs.filter((at) => nowMs - at < this.options.windowMs);
    for (const [key, sentMs] of this.unsettled)
      if (nowMs - sentMs >= orderExpiryMs) this.unsettled.delete(key);
    const limit = Math.floor((perS * this.options.windowMs * this.options.overage) / 1000) + extraLoads;
    return Math.max(0, limit - this.startsMs.length - this.unsettled.size);
  }

  /** Records a load that started. */
  record(nowMs: number): void {
    this.startsMs.push(nowMs);
  }

  /** An order is sent that may start a load at any time until it is settled; at most one of its resends takes effect. */
  expect(key: string, nowMs: number): void {
    if (!this.unsettled.has(key)) this.unsettled.set(key, nowMs);
  }

  /** Whether a load may still start because of the order. */
  isExpected(key: string): boolean {
    return this.unsettled.has(key);
  }

  /**
   * The outcome of the order is known. The load counts from now if it started: if it counted from the first send, the loads
   * of orders that were resent for seconds would start within the window of newer ones.
   */
  settle(key: string, started: boolean, nowMs: number): void {
    const sentMs = this.unsettled.get(key);
    if (sentMs === undefined) return;
    this.unsettled.delete(key);
    this.record(started ? nowMs : sentMs);
  }
}
