/**
 * Estimates each model's prefill factor from the times to first byte. Larger models prefill and decode
 * several times more slowly, and no setting says by how much; an underestimated factor gives a model too few
 * replicas and makes engines that hold it look less busy than they are. Models of the same size behave alike,
 * so they share an estimate, and nodes exchange their estimates because each sees too few requests on its
 * own.
 */
import type { Model } from "./configuration.ts";

/** Initial factor, and limits that keep a few outliers from dominating. */
const initialFactor = 0.8;
const minFactor = 0.05;
const maxFactor = 4;
/**
 * Weights of a faster and of a slower observation. Other work of the engine only makes a request slower, so
 * the estimate follows the fastest tenth of the observations.
 */
const fasterWeight = 0.3;
const slowerWeight = 0.03;
/** Initial minimum time to first token without the prefill, ms: network both ways and one decoding step. */
const initialOverheadMs = 8;
/** Shorter prefills say little about the factor, ms at factor 1. */
const minPrefillMs = 10;
/** Maximum weight of a node's estimate in the average over nodes, in observations. */
const maxObservations = 20;
/** Weight of the initial factor, in observations. */
const initialWeight = 1;

/** A factor estimated from `count` observations. */
interface FactorEstimate {
  factor: number;
  count: number;
}

/** Estimates of one node, by kind of model: factor and number of observations. */
export type PeerPrefillFactors = Readonly<Record<string, readonly [number, number]>>;

/** Prefill factor per kind of model: prefill time relative to the reference speed. */
export class PrefillFactors {
  private readonly own = new Map<string, FactorEstimate>();
  private overheadEstimateMs = initialOverheadMs;
  private readonly peers = new Map<string, PeerPrefillFactors>();

  /** The factor of a model; near `initialFactor` while its kind has few observations. */
  factorOf(model: Model | undefined): number {
    if (model === undefined) return 1;
    const kind = kindOf(model);
    let sum = initialFactor * initialWeight;
    let count = initialWeight;
    const mine = this.own.get(kind);
    if (mine !== undefined) {
      sum += mine.factor * mine.count;
      count += mine.count;
    }
    for (const factors of this.peers.values()) {
      const [factor, observed] = factors[kind] ?? [0, 0];
      sum += factor * observed;
      count += observed;
    }
    return sum / count;
  }

  /** Minimum time to first token without the prefill, ms. */
  get overheadMs(): number {
    return this.overheadEstimateMs;
  }

  /**
   * Applies a first byte that came after `observedMs` while, as far as known, no other prompt was being
   * prefilled; its own prefill takes `prefillMs` at factor 1.
   */
  observe(model: Model, observedMs: number, prefillMs: number): void {
    if (prefillMs < minPrefillMs) {
      const withoutPrefillMs = Math.max(1, observedMs - prefillMs * this.factorOf(model));
      this.overheadEstimateMs +=
        (withoutPrefillMs - this.overheadEstimateMs) *
        (withoutPrefillMs < this.overheadEstimateMs ? fasterWeight : slowerWeight);
      return;
    }
    const ratio = Math.min(
      maxFactor,
      Math.max(minFactor, (observedMs - this.overheadEstimateMs) / prefillMs),
    );
    const kind = kindOf(model);
    const known = this.own.get(kind) ?? { factor: ratio, count: 0 };
    known.count = Math.min(maxObservations, known.count + 1);
    known.factor += (ratio - known.factor) * (ratio < known.factor ? fasterWeight : slowerWeight);
    this.own.set(kind, known);
  }

  /** This node's estimates, to send to peers. */
  snapshot(): PeerPrefillFactors {
    return Object.fromEntries(
      [...this.own].map(([kind, a]) => [kind, [Number(a.factor.toFixed(2)), a.count]]),
    );
  }

  /** Applies the estimates of a peer. */
  applyPeerFactors(peer: string, factors: PeerPrefillFactors): void {
    this.peers.set(peer, factors);
  }
}

function kindOf(model: Model): string {
  return String(Math.round(model.sizeMb));
}
