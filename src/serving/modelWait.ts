/**
 * How long a model that no engine holds is still away. Answers callers of rare models and demand that moves:
 * a request that can't outlast the load is refused at once and told when to come back, rather than held.
 */
import type { BackendServer } from "./backendServer.ts";
import type { Model } from "./configuration.ts";

/** From the first request to the order, and from the end of the load until all nodes know, ms. */
const overheadMs = 1_200;
/** A load from an engine's own memory or disk, ms, with the unload that makes room for it. */
const atHandMs = 800;
/** A model may come at any moment once it is due, ms. */
const leastMs = 300;
/** A model not missed for this long starts anew, ms. */
const forgetMs = 10_000;

/** Since when each model is missed on this node. */
export class ModelWaits {
  private readonly missed = new Map<string, { sinceMs: number; lastMs: number }>();

  /** Expected time until the model is there, ms; call when a request finds it missing. */
  expect(key: string, model: Model, servers: readonly BackendServer[], nowMs: number): number {
    const known = this.missed.get(key);
    const started = known === undefined || nowMs - known.lastMs > forgetMs ? nowMs : known.sinceMs;
    this.missed.set(key, { sinceMs: started, lastMs: nowMs });
    const atHand = servers.some((server) => server.atHand.includes(model.name));
    const wholeMs = overheadMs + (atHand ? atHandMs : model.loadS * 1000);
    return Math.max(leastMs, wholeMs - (nowMs - started));
  }

  /** The model is there. */
  found(key: string): void {
    this.missed.delete(key);
  }
}
