/**
 * Requests completed recently. They are not quarantined when a server crashes: a page that many ask for runs on every
 * server of a rack that fails.
 */

/** A request is remembered for this long after it was served, ms. */
const rememberedMs = 60_000;
/** Requests remembered: those that many ask for are served again and again, and stay among them. */
const mostRemembered = 4_000;

/** Fingerprints of requests served lately. */
export class RecentSuccesses {
  /** When each was served last, ms, in that order. */
  private readonly servedMs = new Map<string, number>();

  get size(): number {
    return this.servedMs.size;
  }

  add(fingerprint: string, nowMs: number): void {
    this.servedMs.delete(fingerprint);
    this.servedMs.set(fingerprint, nowMs);
    if (this.servedMs.size <= mostRemembered) return;
    const [oldest] = this.servedMs.keys();
    if (oldest !== undefined) this.servedMs.delete(oldest);
  }

  has(fingerprint: string, nowMs: number): boolean {
    const servedMs = this.servedMs.get(fingerprint);
    return servedMs !== undefined && nowMs - servedMs < rememberedMs;
  }
}
