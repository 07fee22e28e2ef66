/** A mean in which an observation loses half of its weight in each half-life. */

/** Decaying mean of observations that arrive in groups. */
export class DecayedMean {
  private sum = 0;
  private total = 0;
  private atMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly halfLifeMs: number) {}

  /** Adds `count` observations whose mean is `value`. */
  add(value: number, count: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += value * count;
    this.total += count;
  }

  /** Remaining weight, in observations. */
  weight(nowMs: number): number {
    this.decay(nowMs);
    return this.total;
  }

  /** Keeps only this ratio of the weight. */
  discount(ratio: number): void {
    this.sum *= ratio;
    this.total *= ratio;
  }

  /** The mean; undefined without observations. */
  get mean(): number | undefined {
    return this.total > 0 ? this.sum / this.total : undefined;
  }

  private decay(nowMs: number): void {
    if (nowMs <= this.atMs) return;
    const factor = this.total > 0 ? 0.5 ** ((nowMs - this.atMs) / this.halfLifeMs) : 0;
    this.sum *= factor;
    this.total *= factor;
    this.atMs = nowMs;
  }
}
