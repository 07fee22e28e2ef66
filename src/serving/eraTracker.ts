/**
 * The era (epoch) of the store: grows each time the store is restored from a backup and has lost its newest
 * writes.
 */
import { Emitter } from "../common/emitter.ts";

/** The store was restored from a backup. */
export interface EraChange {
  /** Undefined if no era was known. */
  readonly from: number | undefined;
  readonly to: number;
}

/** The newest era known to a node, from responses of the store and from its peers. */
export class EraTracker {
  /** Fired before any data read in the new era is used. */
  readonly changed = new Emitter<EraChange>();
  private era: number | undefined;
  private eraSinceMs = Number.NEGATIVE_INFINITY;

  /** Undefined until the first response or peer message. */
  get current(): number | undefined {
    return this.era;
  }

  /** When this node learned of the era, ms on the monotonic clock. */
  get sinceMs(): number {
    return this.eraSinceMs;
  }

  /** Applies an era named by a response or a peer; an era that is not newer changes nothing. */
  observe(era: number): void {
    const from = this.era;
    if (from !== undefined && era <= from) return;
    this.era = era;
    this.eraSinceMs = performance.now();
    this.changed.fire({ from, to: era });
  }
}
