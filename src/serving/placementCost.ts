/**
 * The cost of a placement of models to callers, as a single number for comparing placements. Handles demand
 * that moves between models within seconds: counting replicas per model would put two busy models on one
 * engine beside an idle engine, or evict a replica of a model whose other replicas are already saturated.
 */
import { ZoneCoverage } from "./zones/zoneCoverage.ts";
import { heldBy, type EngineView, type ModelDemand, type PlacementView } from "./placementView.ts";

/** Utilization of an engine up to which requests hardly queue. */
const uncongestedLoad = 0.4;
/**
 * Cost per squared load of an engine, and per squared load beyond the uncongested part: queueing grows faster
 * than load.
 */
const loadCost = 0.3;
const congestionCost = 10;
/** Utilization beyond which the cost of an engine grows linearly, and that cost per unit of load. */
const fullLoad = 0.75;
const overloadCost = 7.5;
/** A model in no engine: cost per requested engine second, and per waiting request up to a limit. */
const missingCost = 15;
const waitingCost = 0.25;
const maxWaiting = 8;
/**
 * A model in no engine without current demand: its next caller waits for a load, and many callers do if
 * demand moves to it. Loading cached weights is several times as fast as the weight store. A model used
 * recently is likely to be used again soon, so its cost starts higher and decays with this time constant, ms.
 */
const unservedCost = 0.2;
const uncachedCost = 0.5;
const recentUseCost = 0.6;
const recentUseDecayMs = 20_000;
/** Each adapter in use beyond the adapter slots of a model's replicas, up to a limit. */
const adapterCost = 0.1;
const maxAdapters = 5;

/** Cost inputs of one model. */
interface ModelState {
  readonly name: string;
  readonly demand: ModelDemand | undefined;
  /** Requested engine time per second, s. */
  readonly demandS: number;
  /** Indexes of the engines that hold it. */
  readonly holders: number[];
  /** Number of engines that hold it or have its weights cached, and so can load it without the weight store. */
  cachedCount: number;
}

/** A change to evaluate: one engine gets a model and evicts others for it. */
export interface PlacementChange {
  readonly engine: number;
  readonly added: string;
  readonly evicted: readonly string[];
}

/**
 * Which engines hold which models, and the cost of that. Evaluating a change takes time in proportion to the
 * number of replicas rather than engines times models: rebuilding the placement for each change took 0.7 s
 * per plan with 82 engines and 141 models, and the planning host served no requests meanwhile.
 */
export class Placement {
  private readonly models: ModelState[] = [];
  private readonly indexes = new Map<string, number>();
  /**
   * Models in demand, fewest replicas first: these have the least choice of engines, so the others fill in
   * around them.
   */
  private readonly fillOrder: number[] = [];
  private readonly loads: Float64Array;
  /** Buffer for the holders of one model, lowest load first; reused to avoid allocations. */
  private readonly sortedHolders: number[] = [];
  private readonly coverage: ZoneCoverage;
  /** Cost of missing replicas, crossed zones and adapter slots of all models, without the cost of engine load. */
  private modelCosts = 0;

  constructor(private readonly view: PlacementView) {
    this.loads = new Float64Array(view.engines.length);
    this.coverage = new ZoneCoverage(view.engines, view.demand);
    for (const { name } of view.models) this.addModel(name);
    view.engines.forEach((engine, index) => {
      for (const name of heldBy(engine)) this.model(name)?.holders.push(index);
      for (const name of cachedOrLoaded(engine)) this.changeCachedCount(name, 1);
    });
    for (let index = 0; index < this.models.length; index += 1) {
      if ((this.models[index]?.demandS ?? 0) > 0) this.fillOrder.push(index);
      this.modelCosts += this.modelCost(index);
    }
  }

  /** The current cost. */
  cost(): number {
    this.distributeAll();
    let cost = this.modelCosts;
    for (const load of this.loads) cost += congestion(load);
    return cost;
  }

  /** The cost after the given change. */
  costAfter({ engine, added, evicted }: PlacementChange): number {
    const dropped = evicted.filter((name) => this.setHolder(name, engine, false));
    const gained = this.setHolder(added, engine, true);
    const cost = this.cost();
    if (gained) this.setHolder(added, engine, false);
    for (const name of dropped) this.setHolder(name, engine, true);
    return cost;
  }

  /**
   * Load per engine (1 is full utilization) if each model's demand is spread over its replicas so that their
   * loads become as equal as possible.
   */
  engineLoads(): readonly number[] {
    this.distributeAll();
    return [...this.loads];
  }

  /** Indexes of the engines that hold the model. */
  holders(model: string): readonly number[] {
    return this.model(model)?.holders ?? [];
  }

  /** Requested engine time per second for the model in zones without a copy, s. */
  uncoveredDemandS(model: string): number {
    return this.coverage.uncoveredDemandS(model, this.holders(model));
  }

  /** Whether the engine is in a zone that asks for the model and has no copy. */
  lacksCopy(engine: number, model: string): boolean {
    return this.coverage.lacksCopy(engine, model, this.holders(model));
  }

  /** Applies an order that was sent to the engine. */
  replace(index: number, before: EngineView, after: EngineView): void {
    const [had, has] = [heldBy(before), heldBy(after)];
    for (const name of has) this.setHolder(name, index, true);
    for (const name of had) if (!has.has(name)) this.setHolder(name, index, false);
    for (const name of cachedOrLoaded(before)) this.changeCachedCount(name, -1);
    for (const name of cachedOrLoaded(after)) this.changeCachedCount(name, 1);
  }

  private addModel(name: string): void {
    const demand = this.view.demand.get(name);
    this.indexes.set(name, this.models.length);
    this.models.push({ name, demand, demandS: (demand?.engineMs ?? 0) / 1000, holders: [], cachedCount: 0 });
  }

  private model(name: string): ModelState | undefined {
    const index = this.indexes.get(name);
    return index === undefined ? undefined : this.models[index];
  }

  /** Adds or removes the engine as a holder of the model; false if nothing changes. */
  private setHolder(name: string, engine: number, present: boolean): boolean {
    const index = this.indexes.get(name);
    const state = this.model(name);
    if (index === undefined || state === undefined) return false;
    const at = state.holders.indexOf(engine);
    if (at >= 0 === present) return false;
    this.modelCosts -= this.modelCost(index);
    if (present) state.holders.push(engine);
    else state.holders.splice(at, 1);
    this.modelCosts += this.modelCost(index);
    return true;
  }

  private changeCachedCount(name: string, by: number): void {
    const index = this.indexes.get(name);
    const state = this.model(name);
    if (index === undefined || state === undefined) return;
    this.modelCosts -= this.modelCost(index);
    state.cachedCount += by;
    this.modelCosts += this.modelCost(index);
  }

  private modelCost(index: number): number {
    const state = this.models[index];
    if (state === undefined) return 0;
    const { name, demand, holders, cachedCount } = state;
    if (holders.length === 0) return unservedModelCost(demand) + (cachedCount > 0 ? 0 : uncachedCost);
    const lacking = (demand?.adapters ?? 0) - holders.length * this.view.adapterSlots;
    return adapterCost * Math.min(maxAdapters, Math.max(0, lacking)) + this.coverage.cost(name, holders);
  }

  private distributeAll(): void {
    this.sortFillOrder();
    this.loads.fill(0);
    for (const index of this.fillOrder) {
      const state = this.models[index];
      if (state !== undefined) this.distribute(state.holders, state.demandS);
    }
  }

  /** Insertion sort, as a change moves one or two models by about one position. */
  private sortFillOrder(): void {
    const { fillOrder } = this;
    for (let end = 1; end < fillOrder.length; end += 1) {
      const index = fillOrder[end] ?? 0;
      let at = end;
      while (at > 0 && this.precedes(index, fillOrder[at - 1] ?? 0)) {
        fillOrder[at] = fillOrder[at - 1] ?? 0;
        at -= 1;
      }
      fillOrder[at] = index;
    }
  }

  private precedes(a: number, b: number): boolean {
    const fewer = this.replicaCount(a) - this.replicaCount(b);
    return fewer === 0 ? a < b : fewer < 0;
  }

  private replicaCount(index: number): number {
    return this.models[index]?.holders.length ?? 0;
  }

  /** Water-filling: raises the lowest loads of the holders to a common level, by `amount` in total. */
  private distribute(holders: readonly number[], amount: number): void {
    const { loads } = this;
    const lowestFirst = this.lowestFirst(holders);
    let sum = amount;
    let filled = 0;
    let level = 0;
    for (const engine of lowestFirst) {
      const load = loads[engine] ?? 0;
      if (filled > 0 && load >= level) break;
      sum += load;
      filled += 1;
      level = sum / filled;
    }
    for (let i = 0; i < filled; i += 1) loads[lowestFirst[i] ?? 0] = level;
  }

  private lowestFirst(holders: readonly number[]): readonly number[] {
    const { sortedHolders, loads } = this;
    sortedHolders.length = 0;
    for (const engine of holders) {
      const load = loads[engine] ?? 0;
      let at = sortedHolders.length;
      while (at > 0 && (loads[sortedHolders[at - 1] ?? 0] ?? 0) > load) {
        sortedHolders[at] = sortedHolders[at - 1] ?? 0;
        at -= 1;
      }
      sortedHolders[at] = engine;
    }
    return sortedHolders;
  }
}

/** Models that the engine holds or can load without the weight store. */
function cachedOrLoaded(engine: EngineView): Set<string> {
  return new Set([...engine.cachedModels, ...engine.models]);
}

/**
 * Beyond full load the cost grows no faster than that of requests without any engine. Prevents the last
 * replica of a busy model from being evicted for a busier one: one overloaded model would outweigh all
 * requests of another.
 */
function congestion(load: number): number {
  const within = Math.min(load, fullLoad);
  const excess = Math.max(0, within - uncongestedLoad);
  return loadCost * within * within + congestionCost * excess * excess + overloadCost * (load - within);
}

function unservedModelCost(demand: ModelDemand | undefined): number {
  if (demand === undefined) return unservedCost;
  const recentUse = recentUseCost * Math.exp(-demand.idleMs / recentUseDecayMs);
  const demandCost = (missingCost * demand.engineMs) / 1000;
  return unservedCost + recentUse + demandCost + waitingCost * Math.min(maxWaiting, demand.waiting);
}
