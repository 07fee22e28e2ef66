/** Input and output of placement planning. */
import type { Model } from "./configuration.ts";

/** State of one engine for planning. */
export interface EngineView {
  readonly id: string;
  /** Its availability zone. */
  readonly zone?: string | undefined;
  /** Models in memory that are not being unloaded. */
  readonly models: ReadonlySet<string>;
  /** Models whose load was ordered and is not confirmed yet. */
  readonly pendingLoads: ReadonlySet<string>;
  /** The model for which another one was unloaded here. */
  readonly reservedFor: string | undefined;
  /** Requests in flight by model. */
  readonly running: ReadonlyMap<string, number>;
  /** Models loaded or unloaded so recently that the engine's registration may not show it yet. */
  readonly recentlyChanged: ReadonlySet<string>;
  /** Memory left if every load in progress succeeds and every unload in progress fails, MB. */
  readonly freeMb: number;
  /** An order is in progress, so no other one is taken. */
  readonly busy: boolean;
  /** Models it can load without the weight store. */
  readonly cachedModels: ReadonlySet<string>;
}

/** Demand for one model. */
export interface ModelDemand {
  /** Requested engine time per second, ms. */
  readonly engineMs: number;
  /** The same by the zone of the node that was asked; absent if zones are to make no difference. */
  readonly engineMsByZone?: ReadonlyMap<string, number> | undefined;
  /** Requests that wait for the model as no engine holds it. */
  readonly waiting: number;
  /** Time since the last request for the model, ms. */
  readonly idleMs: number;
  /** Number of different adapters of it that were requested recently. */
  readonly adapters: number;
}

/** Requested engine time per second from which models count as in demand, ms: one request with a long prompt. */
const minDemandMs = 50;

/**
 * Whether callers ask for any model. Before their first requests, as after a start of all nodes, the replicas that
 * exist say more about the demand to come than its absence: evicting those of a busy model for models that nobody
 * asks for has the first callers wait until they are loaded again.
 */
export function hasDemand(demand: ReadonlyMap<string, ModelDemand>): boolean {
  return [...demand.values()].some(({ engineMs, waiting }) => engineMs >= minDemandMs || waiting > 0);
}

/** Input of the planner. */
export interface PlacementView {
  readonly models: readonly Model[];
  readonly engines: readonly EngineView[];
  readonly demand: ReadonlyMap<string, ModelDemand>;
  /** Adapter slots per engine. */
  readonly adapterSlots: number;
  /** Whether demand is known well enough to evict models. */
  readonly mayEvict: boolean;
  /**
   * Until callers ask for any model, replicas are evicted only for models whose load takes longer than this, s: callers
   * of the others can wait for the load.
   */
  readonly callerWaitS: number;
  /** Loads from the weight store that may still start now. */
  readonly loadsLeft: number;
}

/** One order to send. */
export interface Move {
  readonly engineId: string;
  readonly action: "load" | "unload";
  readonly model: string;
  /** Why the model is wanted, or for an unload the model that replaces it. */
  readonly reason: "waiting" | "demand" | "reachable";
  /** The model that replaces an unloaded one. */
  readonly inFavourOf?: string | undefined;
  /** Requested engine time for the model per second, ms, and its replicas before the move. */
  readonly demandMs: number;
  readonly copies: number;
}

/** Models that the engine holds, is loading, or has memory reserved for. */
export function heldBy(engine: EngineView): Set<string> {
  const held = new Set([...engine.models, ...engine.pendingLoads]);
  if (engine.reservedFor !== undefined) held.add(engine.reservedFor);
  return held;
}
