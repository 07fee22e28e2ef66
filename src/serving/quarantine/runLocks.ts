/**
 * Locks that let a suspected request run in one copy at a time over all nodes. Copies from a caller's repeats gather while
 * servers are missing; sent at once they would crash as many servers before any outcome is known.
 */

/** A lock that its node doesn't renew within this time is free, ms: the node may have died. */
const lockMs = 1_200;

/** The locks that one node gives out. */
export class RunLocks {
  /** Who holds each lock, by fingerprint. */
  private readonly holders = new Map<string, { readonly node: string; readonly untilMs: number }>();

  /** A node asks for the lock, or renews it; true if it holds it. */
  acquire(fingerprint: string, node: string, nowMs: number): boolean {
    const holder = this.holders.get(fingerprint);
    if (holder !== undefined && holder.node !== node && nowMs < holder.untilMs) return false;
    this.holders.set(fingerprint, { node, untilMs: nowMs + lockMs });
    return true;
  }

  /** The node gives the lock back. */
  release(fingerprint: string, node: string): void {
    if (this.holders.get(fingerprint)?.node === node) this.holders.delete(fingerprint);
  }

  /** Drops locks that weren't renewed. */
  expire(nowMs: number): void {
    for (const [fingerprint, { untilMs }] of this.holders)
      if (nowMs >= untilMs) this.holders.delete(fingerprint);
  }
}
