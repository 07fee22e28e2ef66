/**
 * Lets a suspected request run in one copy at a time over all nodes. Copies from a caller's repeats gather while servers
 * are missing; sent at once they would crash as many servers before any outcome is known.
 */

/** A turn that its node doesn't ask for again within this time has ended, ms: the node may have died. */
const turnMs = 1_200;

/** The turns that one node gives out. */
export class Turns {
  /** Whose turn it is, by fingerprint. */
  private readonly holders = new Map<string, { readonly node: string; readonly untilMs: number }>();

  /** A node asks for the turn, or to keep it; true if it has it. */
  ask(fingerprint: string, node: string, nowMs: number): boolean {
    const holder = this.holders.get(fingerprint);
    if (holder !== undefined && holder.node !== node && nowMs < holder.untilMs) return false;
    this.holders.set(fingerprint, { node, untilMs: nowMs + turnMs });
    return true;
  }

  /** The node's turn is over. */
  done(fingerprint: string, node: string): void {
    if (this.holders.get(fingerprint)?.node === node) this.holders.delete(fingerprint);
  }

  /** Drops turns that have ended by themselves. */
  expire(nowMs: number): void {
    for (const [fingerprint, { untilMs }] of this.holders)
      if (nowMs >= untilMs) this.holders.delete(fingerprint);
  }
}
