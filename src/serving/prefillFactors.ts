/**
 * How fast each model runs, learned from first bytes. Larger models read and make tokens several times more
 * slowly, and nobody says by how much; a model taken for faster than it is gets too few copies, and engines
 * that hold it look less busy than they are. Models of one size are of one kind and run alike, so they are
 * learned together, and nodes tell each other what they learned: each alone sees too few requests.
 */
import type { Model } from "./configuration.ts";

/** Before anything was observed, and the bounds that keep a few odd answers from deciding. */
const initial = 0.8;
const lowest = 0.05;
const highest = 4;
/**
 * Steps towards a faster and towards a slower observation. What else an engine does at the moment only makes it
 * slower, so its pace is what the fastest tenth of the observations show.
 */
const fasterStep = 0.3;
const slowerStep = 0.03;
/** Least time of a first token beside the reading: the way there, one step, the way back; as first taken, ms. */
const initialOverheadMs = 8;
/** Shorter readings say little of a pace, ms at pace 1. */
const leastReadingMs = 10;
/** Observations that count at most when nodes' paces are averaged. */
const mostObservations = 20;
/** What the initial pace counts for, in observations. */
const initialWeight = 1;

/** A pace learned from `count` observations. */
interface Learned {
  pace: number;
  count: number;
}

/** What one node has learned, by kind: pace and observations. */
export type PeerPrefillFactors = Readonly<Record<string, readonly [number, number]>>;

/** Pace per kind of model: time taken over time expected at the reference speed. */
export class PrefillFactors {
  private readonly own = new Map<string, Learned>();
  private overhead = initialOverheadMs;
  private readonly peers = new Map<string, PeerPrefillFactors>();

  /** The pace of a model; a middling one before its kind is known. */
  factorOf(model: Model | undefined): number {
    if (model === undefined) return 1;
    const kind = kindOf(model);
    let sum = initial * initialWeight;
    let count = initialWeight;
    const mine = this.own.get(kind);
    if (mine !== undefined) {
      sum += mine.pace * mine.count;
      count += mine.count;
    }
    for (const paces of this.peers.values()) {
      const [pace, observed] = paces[kind] ?? [0, 0];
      sum += pace * observed;
      count += observed;
    }
    return sum / count;
  }

  /** Least time to a first token beside the reading of the prompt, ms. */
  get overheadMs(): number {
    return this.overhead;
  }

  /**
   * The first byte came after `observedMs` while, as far as is known, no other prompt was read; reading its own takes
   * `readingMs` at pace 1.
   */
  observe(model: Model, observedMs: number, readingMs: number): void {
    if (readingMs < leastReadingMs) {
      const beside = Math.max(1, observedMs - readingMs * this.factorOf(model));
      this.overhead += (beside - this.overhead) * (beside < this.overhead ? fasterStep : slowerStep);
      return;
    }
    const ratio = Math.min(highest, Math.max(lowest, (observedMs - this.overhead) / readingMs));
    const kind = kindOf(model);
    const known = this.own.get(kind) ?? { pace: ratio, count: 0 };
    known.count = Math.min(mostObservations, known.count + 1);
    known.pace += (ratio - known.pace) * (ratio < known.pace ? fasterStep : slowerStep);
    this.own.set(kind, known);
  }

  /** What this node has learned, to tell peers. */
  snapshot(): PeerPrefillFactors {
    return Object.fromEntries([...this.own].map(([kind, a]) => [kind, [Number(a.pace.toFixed(2)), a.count]]));
  }

  /** Takes what a peer has learned. */
  applyPeerFactors(peer: string, paces: PeerPrefillFactors): void {
    this.peers.set(peer, paces);
  }
}

function kindOf(model: Model): string {
  return String(Math.round(model.sizeMb));
}
