/** The era of the store: it grows each time the store comes back from a copy and has lost its newest writes. */
import { Emitter } from "../common/emitter.ts";

/** The store came back from a copy. */
export interface EraChange {
  /** Undefined where no era was known. */
  readonly from: number | undefined;
  readonly to: number;
}

/** The newest era that a node knows of, from answers of the store and from its peers. */
export class EraTracker {
  /** Fired before anything that was read in the new era is used. */
  readonly changed = new Emitter<EraChange>();
  private known: number | undefined;
  private knownSinceMs = Number.NEGATIVE_INFINITY;

  /** Undefined until the first answer or word of a peer. */
  get current(): number | undefined {
    return this.known;
  }

  /** When this node came to know of the era, on the steady clock, ms. */
  get sinceMs(): number {
    return this.knownSinceMs;
  }

  /** Takes an era that an answer or a peer names; one that isn't later than the known one changes nothing. */
  observe(era: number): void {
    const from = this.known;
    if (from !== undefined && era <= from) return;
    this.known = era;
    this.knownSinceMs = performance.now();
    this.changed.fire({ from, to: era });
  }
}
