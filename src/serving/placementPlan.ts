/**
 * Decides which engine loads or unloads which model next. Handles demand that moves from one model to another
 * within seconds, rarely used models that no engine holds, engines that shut down, and orders with an unknown
 * outcome. Pure: the same view gives the same moves.
 */
import type { Model } from "./configuration.ts";
import { Placement } from "./placementCost.ts";
import { hasDemand, type EngineView, type Move, type PlacementView } from "./placementView.ts";

/**
 * Cost of a load, in the units of `Placement.cost`: from the weight store, and from weights cached on the
 * engine's host.
 */
const weightStoreLoadCost = 0.03;
const cachedLoadCost = 0.01;
/** Additional cost of each evicted model. */
const evictionCost = 0.02;
/**
 * An unload waits for running requests. Until it completes (seconds, ten or more under load) the engine takes
 * no other order and refuses new requests for the model, so a replica in use is evicted only for a large gain.
 */
const drainCost = 0.15;
const drainRequestCost = 0.04;
const maxDrainingRequests = 10;
/**
 * While an engine loads or unloads a model it takes no adapter, so each request that waits there for an
 * adapter adds to the cost of a move.
 */
const adapterWaitCost = 0.1;
const maxAdapterWaits = 8;
/** Minimum gain of a move; below it the move is not worth the churn. */
const minGain = 0.01;
/**
 * Engines evaluated per wanted model, least loaded first: bounds the time of a round with hundreds of
 * engines.
 */
const maxEngines = 16;
/** Models of one engine considered for eviction; the number of combinations doubles with each. */
const maxEvictable = 8;
/**
 * Models in no engine that are evaluated per move, those with waiting callers first. With hundreds of models
 * most have no demand, and each evaluation takes CPU time from the callers of the planning host.
 */
const maxMissing = 16;
/** Weight of a waiting caller when ranking models in no engine, as engine ms per second. */
const waitingWeightMs = 1_000;
/** Further models evaluated: those on the most loaded engines. */
const maxOverloaded = 6;

/**
 * Gains are discounted by the delay of the move: halved after this time, s. Callers of a busy model wait two
 * to three seconds, so a load from cached weights (1 s) serves callers that a load from the weight store
 * (6 s) loses.
 */
const gainHalfLifeS = 2;
/** Duration of a load from cached weights, and of an unload while requests run, s. */
const cachedLoadS = 0.8;
const drainS = 3;

/** A model to load on an engine, with the models to evict for it. */
interface Option {
  /** Index of the engine. */
  readonly engine: number;
  readonly model: Model;
  readonly evicted: readonly string[];
  /** Gain less cost, in the units of `Placement.cost`. */
  readonly netGain: number;
}

/** The orders to send now, at most one per engine. */
export function planMoves(view: PlacementView): Move[] {
  return [...new PlacementPlan(view).steps()].filter((step) => step !== undefined);
}

/** One planning round, split into steps that are short enough to serve callers between them. */
export class PlacementPlan {
  private readonly engines: EngineView[];
  private readonly placement: Placement;
  private readonly sizesMb: ReadonlyMap<string, number>;
  private loadsLeft: number;
  /** Whether callers ask for any model. */
  private readonly isInDemand: boolean;

  constructor(private readonly view: PlacementView) {
    this.engines = [...view.engines];
    this.placement = new Placement(view);
    this.sizesMb = new Map(view.models.map((model) => [model.name, model.sizeMb]));
    this.loadsLeft = view.loadsLeft;
    this.isInDemand = hasDemand(view.demand);
  }

  /**
   * Yields the moves, each planned after the ones before it, and `undefined` wherever the caller may pause. A
   * step evaluates one model (about 60 changes), which bounds how long the planning host serves nobody.
   */
  *steps(): Generator<Move | undefined, void> {
    for (let index = 0; index < this.engines.length; index += 1) {
      const move = this.reservedMove(index);
      if (move !== undefined) yield this.applyMove(index, move);
    }
    // Each move makes its engine busy, which bounds the number of rounds by the number of engines.
    while (this.engines.some((engine) => !engine.busy)) {
      const best = yield* this.bestOption();
      if (best === undefined) return;
      yield this.applyMove(best.engine, this.moveOf(best));
    }
  }

  /** The change that lowers the cost of the placement most; undefined if none is worth it. */
  private *bestOption(): Generator<undefined, Option | undefined> {
    const before = this.placement.cost();
    const loads = this.placement.engineLoads();
    let best: Option | undefined;
    let highest = minGain;
    for (const model of this.candidateModels(loads)) {
      for (const engine of this.enginesFor(model, loads)) {
        for (const option of this.optionsOn(before, engine, model)) {
          if (option.netGain <= highest) continue;
          highest = option.netGain;
          best = option;
        }
      }
      yield undefined;
    }
    return best;
  }

  /** Models that may need another replica: those in no engine, and those on the most loaded engines. */
  private candidateModels(loads: readonly number[]): Model[] {
    const { models } = this.view;
    const missing = models.filter((model) => this.placement.holders(model.name).length === 0);
    const overloaded = models
      .map((model) => ({ model, pressure: this.pressure(model.name, loads) }))
      .filter((entry) => entry.pressure > 0)
      .sort((a, b) => b.pressure - a.pressure)
      .slice(0, maxOverloaded)
      .map((entry) => entry.model);
    return [...this.mostDemanded(missing), ...overloaded];
  }

  private mostDemanded(missing: readonly Model[]): readonly Model[] {
    if (missing.length <= maxMissing) return missing;
    const { demand } = this.view;
    const priority = ({ name }: Model): number => {
      const modelDemand = demand.get(name);
      return modelDemand === undefined
        ? 0
        : modelDemand.waiting * waitingWeightMs + modelDemand.engineMs - modelDemand.idleMs / 1000;
    };
    return [...missing].sort((a, b) => priority(b) - priority(a)).slice(0, maxMissing);
  }

  private pressure(name: string, loads: readonly number[]): number {
    const holders = this.placement.holders(name);
    if (holders.length === 0) return 0;
    const lowest = Math.min(...holders.map((index) => loads[index] ?? 0));
    const demand = this.view.demand.get(name);
    const slotUsage = (demand?.adapters ?? 0) / (holders.length * Math.max(1, this.view.adapterSlots));
    return Math.max(
      Math.min(lowest, (demand?.engineMs ?? 0) / 1000),
      slotUsage > 1 ? slotUsage : 0,
      this.placement.uncoveredDemandS(name),
    );
  }

  /** Engines that can take the model now, least loaded first; half of them in zones that lack a copy, if there are any. */
  private enginesFor(model: Model, loads: readonly number[]): number[] {
    const able = [...this.engines.keys()]
      .filter((index) => this.canTake(index, model))
      .sort((a, b) => (loads[a] ?? 0) - (loads[b] ?? 0));
    const lacking = able.filter((index) => this.placement.lacksCopy(index, model.name));
    return [...new Set([...lacking.slice(0, maxEngines / 2), ...able])].slice(0, maxEngines);
  }

  private canTake(index: number, { name }: Model): boolean {
    const engine = this.engines[index];
    if (engine === undefined || engine.busy || !isAssignable(engine, name)) return false;
    return this.loadsLeft >= 1 || engine.cachedModels.has(name);
  }

  private optionsOn(before: number, index: number, model: Model): Option[] {
    const engine = this.engines[index];
    if (engine === undefined) return [];
    const isCached = engine.cachedModels.has(model.name);
    const loadCost = isCached ? cachedLoadCost : weightStoreLoadCost;
    const loadS = isCached ? cachedLoadS : model.loadS;
    const adapters = this.adapterCost(engine);
    return this.evictionsFor(engine, model).map((evicted) => {
      const drains = evicted.reduce((sum, name) => sum + evictionCost + drainPenalty(engine, name), 0);
      const after = this.placement.costAfter({ engine: index, added: model.name, evicted });
      const delayS = loadS + (evicted.some((name) => engine.running.has(name)) ? drainS : 0);
      const netGain = (before - after) / (1 + delayS / gainHalfLifeS) - loadCost - drains - adapters;
      return { engine: index, model, evicted, netGain };
    });
  }

  /** A request that waits for a model which the engine already holds waits for one of its adapters. */
  private adapterCost(engine: EngineView): number {
    let waiting = 0;
    for (const name of engine.models) waiting += this.view.demand.get(name)?.waiting ?? 0;
    return adapterWaitCost * Math.min(maxAdapterWaits, waiting);
  }

  /**
   * The smallest sets of models whose eviction frees enough memory; one empty set if there is enough already.
   * Prevents evictions that free too little: models differ in size, and evicting a small one for a large one
   * loses a replica without any gain.
   */
  private evictionsFor(engine: EngineView, model: Model): readonly string[][] {
    const missingMb = model.sizeMb - engine.freeMb;
    if (missingMb <= 0) return [[]];
    if (!this.mayEvictFor(model)) return [];
    const names = [...engine.models]
      .filter((name) => !engine.recentlyChanged.has(name) && name !== model.name)
      .slice(0, maxEvictable);
    const sizes = names.map((name) => this.sizesMb.get(name) ?? 0);
    const found: string[][] = [];
    for (let choice = 1; choice < 1 << names.length; choice += 1) {
      const picked = names.map((_, index) => index).filter((index) => (choice & (1 << index)) !== 0);
      const sizeMb = picked.reduce((sum, index) => sum + (sizes[index] ?? 0), 0);
      const smallest = Math.min(...picked.map((index) => sizes[index] ?? 0));
      // Not minimal if the set without its smallest model is enough.
      if (sizeMb < missingMb || sizeMb - smallest >= missingMb) continue;
      found.push(picked.flatMap((index) => names[index] ?? []));
    }
    return found;
  }

  private mayEvictFor({ loadS }: Model): boolean {
    return this.view.mayEvict && (this.isInDemand || loadS > this.view.callerWaitS);
  }

  private moveOf(option: Option): Move {
    const { model, evicted } = option;
    const engine = this.engines[option.engine];
    const demand = this.view.demand.get(model.name);
    const missing = this.placement.holders(model.name).length === 0;
    const isWaitedFor = missing && (demand?.waiting ?? 0) > 0;
    const isIdle = missing && (demand?.engineMs ?? 0) === 0;
    const reason = isWaitedFor ? "waiting" : isIdle ? "reachable" : "demand";
    const engineId = engine?.id ?? "";
    const first = engine === undefined ? undefined : cheapestToDrain(engine, evicted);
    if (first === undefined) return { engineId, action: "load", reason, ...this.modelInfo(model.name) };
    return { engineId, action: "unload", reason, inFavourOf: model.name, ...this.modelInfo(first) };
  }

  /**
   * Loads the model that memory was freed for, as soon as it is free. Prevents another model from taking this
   * memory: the first one would cause an eviction elsewhere again, and replicas would be evicted in turn.
   */
  private reservedMove(index: number): Move | undefined {
    const engine = this.engines[index];
    const model = this.view.models.find((m) => m.name === engine?.reservedFor);
    if (engine === undefined || model === undefined || engine.busy) return undefined;
    if (engine.freeMb < model.sizeMb) return this.nextEviction(index, model);
    if (this.loadsLeft < 1 && !engine.cachedModels.has(model.name)) return undefined;
    return { engineId: engine.id, action: "load", reason: "demand", ...this.modelInfo(model.name) };
  }

  private nextEviction(index: number, model: Model): Move | undefined {
    const [best] = this.optionsOn(0, index, model).sort((a, b) => b.netGain - a.netGain);
    if (best === undefined) return undefined;
    return { ...this.moveOf(best), reason: "demand" };
  }

  /** Records the move as ordered, so that later moves of the round take it into account. */
  private applyMove(index: number, move: Move): Move {
    const before = this.engines[index];
    if (before === undefined) return move;
    const after = engineAfter(before, move);
    this.engines[index] = after;
    this.placement.replace(index, before, after);
    if (move.action === "load" && !before.cachedModels.has(move.model)) this.loadsLeft -= 1;
    return move;
  }

  /** Demand and replicas of the model before a move. */
  private modelInfo(model: string): Pick<Move, "model" | "demandMs" | "copies"> {
    const demandMs = this.view.demand.get(model)?.engineMs ?? 0;
    return { model, demandMs, copies: this.placement.holders(model).length };
  }
}

/** Whether the model can be assigned to the engine. */
function isAssignable(engine: EngineView, model: string): boolean {
  if (engine.reservedFor !== undefined) return false;
  return !engine.models.has(model) && !engine.pendingLoads.has(model) && !engine.recentlyChanged.has(model);
}

function drainPenalty(engine: EngineView, name: string): number {
  const running = engine.running.get(name) ?? 0;
  return running === 0 ? 0 : drainCost + drainRequestCost * Math.min(maxDrainingRequests, running);
}

function cheapestToDrain(engine: EngineView, names: readonly string[]): string | undefined {
  return [...names].sort((a, b) => drainPenalty(engine, a) - drainPenalty(engine, b))[0];
}

function engineAfter(engine: EngineView, move: Move): EngineView {
  const models = new Set(engine.models);
  const pendingLoads = new Set(engine.pendingLoads);
  if (move.action === "load") pendingLoads.add(move.model);
  else models.delete(move.model);
  return { ...engine, models, pendingLoads, busy: true, reservedFor: move.inFavourOf };
}
