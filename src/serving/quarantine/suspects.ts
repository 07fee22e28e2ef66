/**
 * Which requests were running when servers ended, and on how many. One server that ends makes suspects of all that ran
 * on it, and only one of them may be the cause; that one is there again when the next server ends.
 */

/** A suspicion to which no other end was added for this long is dropped, ms: callers that repeat do so in minutes. */
const suspicionMs = 600_000;
/** Requests remembered: what was running on some thirty servers of sixty slots. Past it the oldest are dropped. */
const mostSuspects = 2_000;

/** What was cut when one incarnation of a server ended, or seemed to. */
interface End {
  /** Of the latest cut. */
  atMs: number;
  readonly fingerprints: Set<string>;
}

/** Requests by fingerprint, with the incarnations that ended under them. */
export class Suspects {
  /** In the order of their latest cut. */
  private readonly cuts = new Map<string, Map<string, number>>();
  private readonly ends = new Map<string, End>();

  get size(): number {
    return this.cuts.size;
  }

  has(fingerprint: string): boolean {
    return this.cuts.has(fingerprint);
  }

  /** Incarnations that ended under the request. */
  endsUnder(fingerprint: string): number {
    return this.cuts.get(fingerprint)?.size ?? 0;
  }

  /** The incarnations that ended under the request. */
  endedUnder(fingerprint: string): readonly string[] {
    return [...(this.cuts.get(fingerprint)?.keys() ?? [])];
  }

  /** Is the request suspected to have ended the incarnation? */
  isUnder(fingerprint: string, incarnation: string): boolean {
    return this.cuts.get(fingerprint)?.has(incarnation) ?? false;
  }

  /** An incarnation ended while it ran the request. Gives back how many did so far. */
  add(fingerprint: string, incarnation: string, nowMs: number): number {
    const under = this.cuts.get(fingerprint) ?? new Map<string, number>();
    under.set(incarnation, nowMs);
    this.cuts.delete(fingerprint);
    this.cuts.set(fingerprint, under);
    const end = this.ends.get(incarnation) ?? { atMs: nowMs, fingerprints: new Set() };
    end.atMs = nowMs;
    end.fingerprints.add(fingerprint);
    this.ends.set(incarnation, end);
    if (this.cuts.size > mostSuspects) this.dropOldest();
    return under.size;
  }

  /** When the incarnation was last seen to cut a request, ms; undefined if it never was. */
  endedAtMs(incarnation: string): number | undefined {
    return this.ends.get(incarnation)?.atMs;
  }

  /** The incarnation lives: what it cut was not cut by its end. Gives back those requests. */
  clearCrash(incarnation: string): readonly string[] {
    const fingerprints = [...(this.ends.get(incarnation)?.fingerprints ?? [])];
    this.ends.delete(incarnation);
    for (const fingerprint of fingerprints) {
      const under = this.cuts.get(fingerprint);
      under?.delete(incarnation);
      if (under?.size === 0) this.cuts.delete(fingerprint);
    }
    return fingerprints;
  }

  /** Drops the request from suspicion. */
  clear(fingerprint: string): void {
    for (const incarnation of this.cuts.get(fingerprint)?.keys() ?? []) {
      const end = this.ends.get(incarnation);
      end?.fingerprints.delete(fingerprint);
      if (end?.fingerprints.size === 0) this.ends.delete(incarnation);
    }
    this.cuts.delete(fingerprint);
  }

  /** Drops suspicions that are too old. */
  expire(nowMs: number): void {
    for (const [fingerprint, under] of this.cuts) {
      if (nowMs - Math.max(...under.values()) < suspicionMs) return;
      this.clear(fingerprint);
    }
  }

  private dropOldest(): void {
    const [oldest] = this.cuts.keys();
    if (oldest !== undefined) this.clear(oldest);
  }
}
