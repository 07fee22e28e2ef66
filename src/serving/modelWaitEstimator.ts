/**
 * Estimates how long it takes until a model that no engine holds is loaded. Handles rarely used models and
 * demand that moves between models: a request that would time out during the load is refused at once with a
 * Retry-After time rather than held.
 */
import type { BackendServer } from "./backendServer.ts";
import type { Model } from "./configuration.ts";

/** Time from the first request to the order, plus the time from the end of the load until all nodes know, ms. */
const orderOverheadMs = 1_200;
/** Time from the end of a load until all nodes know, ms: a heartbeat, a read and a message. */
const propagationMs = 600;
/** Duration of a load from the engine's own memory or disk, ms, including the unload that frees memory for it. */
const cachedLoadMs = 800;
/** Minimum estimate, ms: an overdue model may become available at any moment. */
const minWaitMs = 300;
/** A model that was not requested for this long counts as newly missed, ms. */
const missingTtlMs = 10_000;
/** The lease holder's announcement of loads is valid for this long, ms: several periods of its messages. */
const announcementTtlMs = 1_500;

/** Expected time to load the model on the server, ms. */
export function expectedLoadMs(loadS: number, server: BackendServer, model: string): number {
  return server.atHand.includes(model) ? cachedLoadMs : loadS * 1000;
}

/** Tracks which models are missing on this node and which are being loaded. */
export class ModelWaitEstimator {
  private readonly missing = new Map<string, { sinceMs: number; lastMs: number }>();
  private announced: { readonly due: Readonly<Record<string, number>>; readonly atMs: number } = {
    due: {},
    atMs: Number.NEGATIVE_INFINITY,
  };

  /**
   * Applies an announcement of the placement lease holder: the models being loaded, and in how many ms each
   * is due.
   */
  setAnnouncedLoads(due: Readonly<Record<string, number>>, nowMs: number): void {
    this.announced = { due, atMs: nowMs };
  }

  /** Expected time until the model is available, ms; to be called when a request finds it missing. */
  estimateMs(key: string, model: Model, servers: readonly BackendServer[], nowMs: number): number {
    const known = this.missing.get(key);
    const sinceMs = known === undefined || nowMs - known.lastMs > missingTtlMs ? nowMs : known.sinceMs;
    this.missing.set(key, { sinceMs, lastMs: nowMs });
    const isCached = servers.some((server) => server.atHand.includes(model.name));
    const fullMs = orderOverheadMs + (isCached ? cachedLoadMs : model.loadS * 1000);
    const { due, atMs } = this.announced;
    if (nowMs - atMs > announcementTtlMs) return Math.max(minWaitMs, fullMs - (nowMs - sinceMs));
    const dueMs = due[key];
    if (dueMs !== undefined) return Math.max(minWaitMs, dueMs - (nowMs - atMs) + propagationMs);
    // Prevents requests from being held for a model that is not coming: one that is overdue and was not
    // ordered needs the full time.
    return nowMs - sinceMs > orderOverheadMs ? fullMs : Math.max(minWaitMs, fullMs - (nowMs - sinceMs));
  }

  /** The model is available. */
  markAvailable(key: string): void {
    this.missing.delete(key);
  }
}
