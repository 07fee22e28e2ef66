/** History of a count of requests in flight, as far as it is needed to tell for how long it has been at least how high. */

interface Level {
  readonly count: number;
  /** Since when the count hasn't been lower, ms. */
  readonly sinceMs: number;
}

/** A count that changes over time. */
export class SustainedLevel {
  /** In ascending order of both members. */
  private readonly levels: Level[] = [];

  /** Sets the present count. */
  set(count: number, nowMs: number): void {
    let sinceMs = nowMs;
    for (let top = this.levels.at(-1); top !== undefined && top.count >= count; top = this.levels.at(-1)) {
      ({ sinceMs } = top);
      this.levels.pop();
    }
    if (count > 0) this.levels.push({ count, sinceMs });
  }

  /** The lowest count since that time; 0 if nothing is known from before it. */
  lowestSince(sinceMs: number): number {
    for (let i = this.levels.length - 1; i >= 0; i -= 1) {
      const level = this.levels[i];
      if (level !== undefined && level.sinceMs <= sinceMs) return level.count;
    }
    return 0;
  }
}
