/**
 * Requests that were completed recently. They aren't quarantined when servers crash: a page in high demand is running
 * on every server of a rack that fails.
 */

/** How long a served request is remembered, ms. */
const retentionMs = 60_000;
/**
 * Maximum number of requests remembered; those in high demand are served again and again, and so are never the
 * oldest.
 */
const maxEntries = 4_000;

/** Fingerprints of recently served requests. */
export class RecentSuccesses {
  /** When each was last served, ms, in that order. */
  private readonly servedAtMs = new Map<string, number>();

  get size(): number {
    return this.servedAtMs.size;
  }

  add(fingerprint: string, nowMs: number): void {
    this.servedAtMs.delete(fingerprint);
    this.servedAtMs.set(fingerprint, nowMs);
    if (this.servedAtMs.size <= maxEntries) return;
    const [oldest] = this.servedAtMs.keys();
    if (oldest !== undefined) this.servedAtMs.delete(oldest);
  }

  has(fingerprint: string, nowMs: number): boolean {
    const servedAtMs = this.servedAtMs.get(fingerprint);
    return servedAtMs !== undefined && nowMs - servedAtMs < retentionMs;
  }
}
