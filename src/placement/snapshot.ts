/** What a placement planner sees of the pool, and the moves it answers with. Plain data, no I/O. */

/** A model copy on an engine; `planned` is ordered or about to be, and not yet reported by the engine. */
export interface Copy {
  readonly model: string;
  readonly version: string;
  /** Accelerator memory of the model and its adapters, in MB. */
  readonly sizeMb: number;
  readonly state: "planned" | "loading" | "ready" | "unloading";
  /** When this copy was first seen, epoch ms. */
  readonly since: number;
}

/** One engine's accelerator. */
export interface Accelerator {
  /** Address of its engine. */
  readonly address: string;
  readonly capacityMb: number;
  /** Streams it runs at once. */
  readonly slots: number;
  /** False while it should get no new copy (it failed an order lately). */
  readonly loadable: boolean;
  readonly copies: readonly Copy[];
}

/** One model that templates name, with its measured demand. Demand is in streams wanted at once. */
export interface Need {
  readonly model: string;
  readonly version: string;
  readonly sizeMb: number;
  /** Copies asked for by templates: kept while they fit. */
  readonly replicas: number;
  /** Weight of a stream of this model, from the priority of the customers that use it. */
  readonly weight: number;
  /** In [0, 1], from the template: 0 favours attainment, 1 favours few moves. */
  readonly moveWeight: number;
  /** Demand now (seconds). */
  readonly demand: number;
  /** Demand over the last minutes: what a copy is worth keeping for. */
  readonly usual: number;
  /** Requests waiting for a first copy. */
  readonly waiting: number;
  /** When it was last asked for, epoch ms; 0 if never. */
  readonly lastUsed: number;
  /** Since when it is asked for without having any copy, epoch ms; 0 if it is not. */
  readonly unmetSince: number;
}

/** Everything a planner decides from. */
export interface Snapshot {
  readonly now: number;
  readonly accelerators: readonly Accelerator[];
  readonly needs: readonly Need[];
  /** Loads that may be started now without passing the weight store's limits. */
  readonly loads: number;
}

/** A model to drop from an engine. */
export interface Unload {
  readonly kind: "unload";
  readonly address: string;
  readonly model: string;
  readonly version: string;
  readonly reason: string;
}

/** A model to load onto an engine once the `evict`ed ones have left it. */
export interface Load {
  readonly kind: "load";
  readonly address: string;
  readonly need: Need;
  readonly evict: readonly Unload[];
  readonly reason: string;
}

/** One decision of a planner. */
export type Move = Load | Unload;

/** Decides moves from a snapshot; a pure function, so a decision can be replayed and tested. */
export type Planner = (snapshot: Snapshot) => Move[];
