/**
 * Locks that let only one duplicate of a suspected request run at a time over all nodes. Duplicates from a caller's
 * retries pile up while servers are missing; if they were all sent at once, they would crash as many servers before
 * any outcome is known.
 */

/** A lock that isn't renewed for this long is released, ms: its node may have died. */
const lockTtlMs = 1_200;

/** The locks granted by one node. */
export class RunLocks {
  /** Current holder of each lock, by fingerprint. */
  private readonly holders = new Map<string, { readonly node: string; readonly untilMs: number }>();

  /** Acquires or renews the lock for a node; returns whether the node holds it. */
  acquire(fingerprint: string, node: string, nowMs: number): boolean {
    const holder = this.holders.get(fingerprint);
    if (holder !== undefined && holder.node !== node && nowMs < holder.untilMs) return false;
    this.holders.set(fingerprint, { node, untilMs: nowMs + lockTtlMs });
    return true;
  }

  /** Releases the lock if the node holds it. */
  release(fingerprint: string, node: string): void {
    if (this.holders.get(fingerprint)?.node === node) this.holders.delete(fingerprint);
  }

  /** Drops locks that weren't renewed. */
  expire(nowMs: number): void {
    for (const [fingerprint, { untilMs }] of this.holders)
      if (nowMs >= untilMs) this.holders.delete(fingerprint);
  }
}
