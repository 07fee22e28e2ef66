/**
 * Input of a placement planner, and the moves it returns. Plain data, no I/O. These planners place models for entry
 * nodes; gateway nodes have their own in `src/serving`.
 */

/** A model replica on an engine; a `planned` one is ordered or about to be, and not yet reported by the engine. */
export interface Replica {
  readonly model: string;
  readonly version: string;
  /** Accelerator memory of the model and its adapters, in MB. */
  readonly sizeMb: number;
  readonly state: "planned" | "loading" | "ready" | "unloading";
  /** When this replica was first reported, epoch ms. */
  readonly since: number;
}

/** One engine's accelerator. */
export interface Accelerator {
  /** Address of its engine. */
  readonly address: string;
  readonly capacityMb: number;
  /** Concurrent streams it can run. */
  readonly slots: number;
  /** False while it should get no new replica (it failed an order recently). */
  readonly loadable: boolean;
  readonly residents: readonly Replica[];
}

/** One model that templates name, with its measured demand in concurrent streams. */
export interface Need {
  readonly model: string;
  readonly version: string;
  readonly sizeMb: number;
  /** Replicas requested by templates, which are kept while they fit. */
  readonly replicas: number;
  /** Weight of a stream of this model, from the priority of the customers that use it. */
  readonly weight: number;
  /** In [0, 1], from the template: 0 favours deadline attainment, 1 favours few moves. */
  readonly moveWeight: number;
  /** Short-term demand, over the last seconds. */
  readonly demand: number;
  /** Long-term demand, over the last minutes, which decides the value of keeping a replica. */
  readonly usual: number;
  /** Requests waiting for a first replica. */
  readonly waiting: number;
  /** Time of the last request, epoch ms; 0 if never. */
  readonly lastUsed: number;
  /** Since when it has been requested without having any replica, epoch ms; 0 if it isn't. */
  readonly unmetSince: number;
}

/** All input of a planner. */
export interface Snapshot {
  readonly now: number;
  readonly accelerators: readonly Accelerator[];
  readonly needs: readonly Need[];
  /** Maximum number of loads that may start now, within the weight store's limits. */
  readonly maxLoads: number;
}

/** A model to unload from an engine. */
export interface Unload {
  readonly kind: "unload";
  readonly address: string;
  readonly model: string;
  readonly version: string;
  readonly reason: string;
}

/** A model to load onto an engine once the `evict` ones are unloaded. */
export interface Load {
  readonly kind: "load";
  readonly address: string;
  readonly need: Need;
  readonly evict: readonly Unload[];
  readonly reason: string;
}

/** One decision of a planner. */
export type Move = Load | Unload;

/** Plans moves from a snapshot; a pure function, so that a decision can be replayed and tested. */
export type Planner = (snapshot: Snapshot) => Move[];
