/**
 * Requests that a server ran to their end lately: whatever ends under them ends for another reason. Without it, a page
 * that many ask for is held back when a rack fails, as it was running on each of its servers.
 */

/** A request is remembered for this long after it was served, ms. */
const rememberedMs = 60_000;
/** Requests remembered: those that many ask for are served again and again, and stay among them. */
const mostSurvivors = 4_000;

/** Fingerprints of requests served lately. */
export class Survivors {
  /** When each was served last, ms, in that order. */
  private readonly servedMs = new Map<string, number>();

  get size(): number {
    return this.servedMs.size;
  }

  add(fingerprint: string, nowMs: number): void {
    this.servedMs.delete(fingerprint);
    this.servedMs.set(fingerprint, nowMs);
    if (this.servedMs.size <= mostSurvivors) return;
    const [oldest] = this.servedMs.keys();
    if (oldest !== undefined) this.servedMs.delete(oldest);
  }

  has(fingerprint: string, nowMs: number): boolean {
    const servedMs = this.servedMs.get(fingerprint);
    return servedMs !== undefined && nowMs - servedMs < rememberedMs;
  }
}
