/**
 * What a placement of models costs its callers, as one number to compare placements by. Answers demand that
 * moves between models within seconds: a count of copies per model alone would put two busy models on one
 * engine beside an idle one, or take a copy from a model whose other copies are already full.
 */
import { heldBy, type EngineView, type ModelDemand, type PlacementView } from "./placementView.ts";

/** Part of an engine's time up to which requests hardly wait for one another. */
const easyLoad = 0.4;
/** Cost of an engine's load squared, and of what lies beyond the easy part: waiting grows faster than load. */
const loadCost = 0.3;
const crowdCost = 10;
const fullLoad = 0.75;
const overloadCost = 7.5;
/** A model in no engine: per engine second asked of it, and per request that waits for it up to a few. */
const missingCost = 15;
const waitingCost = 0.25;
const mostWaiting = 8;
/**
 * A model in no engine that nobody asks for: its next caller waits for a load, and if demand moves to it, many
 * do. A load from an engine's own copy is several times as fast. Models asked for lately are asked for again
 * soon, so their cost is higher and fades, ms.
 */
const unreachableCost = 0.2;
const farCost = 0.5;
const lateUseCost = 0.6;
const lateUseFadeMs = 20_000;
/** Each adapter in use beyond the places that a model's copies have, up to a few. */
const adapterCost = 0.1;
const mostAdapters = 5;

/** A model as the costs see it. */
interface ModelState {
  readonly demand: ModelDemand | undefined;
  /** Engine time asked for per second, s. */
  readonly asked: number;
  /** Indexes of the engines that hold it. */
  readonly holders: number[];
  /** Engines that hold it or have its weights: one may load it without the weight store. */
  near: number;
}

/** A change to weigh: one engine gets a model and others make way for it. */
export interface Swap {
  readonly engine: number;
  readonly added: string;
  readonly evicted: readonly string[];
}

/**
 * Which engines hold which models, and what that costs. Weighing a change takes time in proportion to the copies in
 * all, not to engines times models: 82 engines and 141 models took 0.7 s a plan when each change was weighed by
 * building the placement anew, and the host that plans answered nobody meanwhile.
 */
export class Placement {
  private readonly models: ModelState[] = [];
  private readonly indexes = new Map<string, number>();
  /** Models in demand, those with the fewest copies first: they have no choice, and the others fill in around them. */
  private readonly order: number[] = [];
  private readonly loads: Float64Array;
  /** The holders of one model, lowest load first; kept to spare an allocation for each. */
  private readonly sorted: number[] = [];
  /** Cost of models by what they lack, without that of engines. */
  private modelCosts = 0;

  constructor(private readonly view: PlacementView) {
    this.loads = new Float64Array(view.engines.length);
    for (const { name } of view.models) this.addModel(name);
    view.engines.forEach((engine, index) => {
      for (const name of heldBy(engine)) this.model(name)?.holders.push(index);
      for (const name of nearTo(engine)) this.changeNear(name, 1);
    });
    for (let index = 0; index < this.models.length; index += 1) {
      if ((this.models[index]?.asked ?? 0) > 0) this.order.push(index);
      this.modelCosts += this.modelCost(index);
    }
  }

  /** The cost as it stands. */
  cost(): number {
    this.pourAll();
    let cost = this.modelCosts;
    for (const load of this.loads) cost += crowding(load);
    return cost;
  }

  /** The cost if the change were made. */
  costAfter({ engine, added, evicted }: Swap): number {
    const dropped = evicted.filter((name) => this.change(name, engine, false));
    const gained = this.change(added, engine, true);
    const cost = this.cost();
    if (gained) this.change(added, engine, false);
    for (const name of dropped) this.change(name, engine, true);
    return cost;
  }

  /**
   * Load per engine, 1 being all of its time, if each model's requests go where they are served soonest: each
   * model's demand poured over its copies so that they end level.
   */
  engineLoads(): readonly number[] {
    this.pourAll();
    return [...this.loads];
  }

  /** Engines that hold the model, by index. */
  holders(model: string): readonly number[] {
    return this.model(model)?.holders ?? [];
  }

  /** Takes in that an order was given to the engine. */
  replace(index: number, before: EngineView, after: EngineView): void {
    const [had, has] = [heldBy(before), heldBy(after)];
    for (const name of has) this.change(name, index, true);
    for (const name of had) if (!has.has(name)) this.change(name, index, false);
    for (const name of nearTo(before)) this.changeNear(name, -1);
    for (const name of nearTo(after)) this.changeNear(name, 1);
  }

  private addModel(name: string): void {
    const demand = this.view.demand.get(name);
    this.indexes.set(name, this.models.length);
    this.models.push({ demand, asked: (demand?.engineMs ?? 0) / 1000, holders: [], near: 0 });
  }

  private model(name: string): ModelState | undefined {
    const index = this.indexes.get(name);
    return index === undefined ? undefined : this.models[index];
  }

  /** Makes the engine a holder of the model or not; false if it is so already. */
  private change(name: string, engine: number, present: boolean): boolean {
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

  private changeNear(name: string, by: number): void {
    const index = this.indexes.get(name);
    const state = this.model(name);
    if (index === undefined || state === undefined) return;
    this.modelCosts -= this.modelCost(index);
    state.near += by;
    this.modelCosts += this.modelCost(index);
  }

  private modelCost(index: number): number {
    const state = this.models[index];
    if (state === undefined) return 0;
    const { demand, holders, near } = state;
    if (holders.length === 0) return missing(demand) + (near > 0 ? 0 : farCost);
    const lacking = (demand?.adapters ?? 0) - holders.length * this.view.adapterSlots;
    return adapterCost * Math.min(mostAdapters, Math.max(0, lacking));
  }

  private pourAll(): void {
    this.sortOrder();
    this.loads.fill(0);
    for (const index of this.order) {
      const state = this.models[index];
      if (state !== undefined) this.pour(state.holders, state.asked);
    }
  }

  /** Insertion sort: a change moves one or two models by a place or so. */
  private sortOrder(): void {
    const { order } = this;
    for (let end = 1; end < order.length; end += 1) {
      const index = order[end] ?? 0;
      let at = end;
      while (at > 0 && this.goesBefore(index, order[at - 1] ?? 0)) {
        order[at] = order[at - 1] ?? 0;
        at -= 1;
      }
      order[at] = index;
    }
  }

  private goesBefore(a: number, b: number): boolean {
    const fewer = this.copies(a) - this.copies(b);
    return fewer === 0 ? a < b : fewer < 0;
  }

  private copies(index: number): number {
    return this.models[index]?.holders.length ?? 0;
  }

  /** Raises the lowest of the holders' loads to a common level by `amount` in all. */
  private pour(holders: readonly number[], amount: number): void {
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
    const { sorted, loads } = this;
    sorted.length = 0;
    for (const engine of holders) {
      const load = loads[engine] ?? 0;
      let at = sorted.length;
      while (at > 0 && (loads[sorted[at - 1] ?? 0] ?? 0) > load) {
        sorted[at] = sorted[at - 1] ?? 0;
        at -= 1;
      }
      sorted[at] = engine;
    }
    return sorted;
  }
}

/** Models that the engine holds or could load without the weight store. */
function nearTo(engine: EngineView): Set<string> {
  return new Set([...engine.cachedModels, ...engine.models]);
}

/**
 * Past the full load the cost grows no faster than that of requests without any engine. Guards "the last copy of
 * a busy model goes to a busier one": one overloaded model would outweigh all requests of another.
 */
function crowding(load: number): number {
  const within = Math.min(load, fullLoad);
  const crowd = Math.max(0, within - easyLoad);
  return loadCost * within * within + crowdCost * crowd * crowd + overloadCost * (load - within);
}

function missing(demand: ModelDemand | undefined): number {
  if (demand === undefined) return unreachableCost;
  const lately = lateUseCost * Math.exp(-demand.idleMs / lateUseFadeMs);
  const asked = (missingCost * demand.engineMs) / 1000;
  return unreachableCost + lately + asked + waitingCost * Math.min(mostWaiting, demand.waiting);
}
