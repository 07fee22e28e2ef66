/** What placement decides from, and what it decides. */
import type { Model } from "./configuration.ts";

/** An engine as placement sees it. */
export interface EngineView {
  readonly id: string;
  /** Models in memory that are to stay. */
  readonly models: ReadonlySet<string>;
  /** Models ordered whose load is not confirmed. */
  readonly pendingLoads: ReadonlySet<string>;
  /** The model for which another was unloaded here. */
  readonly reservedFor: string | undefined;
  /** Requests in flight by model. */
  readonly running: ReadonlyMap<string, number>;
  /** Models that came or went so lately that the engine's registration may not show it. */
  readonly recentlyChanged: ReadonlySet<string>;
  /** Memory left if every load under way succeeds and no unload has, MB. */
  readonly freeMb: number;
  /** An order is under way, so that no other is taken. */
  readonly busy: boolean;
  /** Models it can load without the weight store. */
  readonly cachedModels: ReadonlySet<string>;
}

/** Demand for one model. */
export interface ModelDemand {
  /** Engine time asked for per second, ms. */
  readonly engineMs: number;
  /** Requests that wait for the model with no engine to go to. */
  readonly waiting: number;
  /** Since the model was last asked for, ms. */
  readonly idleMs: number;
  /** Different adapters of it asked for lately. */
  readonly adapters: number;
}

/** What the plan is made from. */
export interface PlacementView {
  readonly models: readonly Model[];
  readonly engines: readonly EngineView[];
  readonly demand: ReadonlyMap<string, ModelDemand>;
  /** Places for adapters of one engine. */
  readonly adapterSlots: number;
  /** Demand is known well enough to let models make way for others. */
  readonly mayEvict: boolean;
  /** Loads that may still begin from the weight store now. */
  readonly loadsLeft: number;
}

/** One order to give. */
export interface Move {
  readonly engineId: string;
  readonly action: "load" | "unload";
  readonly model: string;
  /** Why the model is wanted, or why another one that takes its place is. */
  readonly reason: "waiting" | "demand" | "reachable";
  /** The model that is to take the place of an unloaded one. */
  readonly inFavourOf?: string | undefined;
  /** Engine time asked of the model per second, ms, and its copies before the move. */
  readonly demandMs: number;
  readonly copies: number;
}

/** Models that the engine holds, is being given, or keeps room for. */
export function heldBy(engine: EngineView): Set<string> {
  const held = new Set([...engine.models, ...engine.pendingLoads]);
  if (engine.reservedFor !== undefined) held.add(engine.reservedFor);
  return held;
}
