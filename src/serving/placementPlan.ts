/**
 * Decides which engine loads or unloads which model next. Answers demand that moves from one model to
 * another within seconds, rare models that nobody holds, engines that leave, and orders whose outcome is
 * unknown. Pure: the same view gives the same moves.
 */
import type { Model } from "./configuration.ts";
import { Placement } from "./placementCost.ts";
import type { EngineView, Move, PlacementView } from "./placementView.ts";

/** What a load costs, in the units of `placementCost`: from the weight store, and from the engine's own copies. */
const storeLoadCost = 0.03;
const atHandLoadCost = 0.01;
/** What each model that makes way costs besides. */
const evictionCost = 0.02;
/**
 * An unload waits for the requests that run, and until then the engine takes no other order and refuses new
 * requests for the model: seconds, ten and more under load. So a copy in use goes only if much is gained.
 */
const drainCost = 0.15;
const drainRequestCost = 0.04;
const mostDraining = 10;
/**
 * While a model is on its way in or out an engine takes no adapter, so each request that waits for one there adds
 * to what a move costs.
 */
const adapterWaitCost = 0.1;
const mostAdapterWaits = 8;
/** A move that gains less isn't worth the churn. */
const leastGain = 0.01;
/** Engines weighed per wanted model, least loaded first: bounds a round where there are hundreds. */
const mostEngines = 16;
/** Models of one engine weighed as ways to make room; the choices double with each. */
const mostEvictable = 8;
/**
 * Models in no engine weighed for one move, those that callers wait for first: where there are hundreds, most are
 * asked for by nobody, and each weighed takes the planning host's time from its callers.
 */
const mostMissing = 16;
/** What a waiting caller counts for among models in no engine, in engine ms asked for per second. */
const waitingNeed = 1_000;
/** Models weighed besides: those on the most loaded engines. */
const mostCrowded = 6;

/**
 * A gain that comes later is worth less: halved after this time, s. A busy model's callers wait two to three
 * seconds, so a load of one second from an engine's own copies serves those that one of six seconds loses.
 */
const halfWorthS = 2;
/** Time of a load from an engine's own copies, and of an unload while requests run, s. */
const atHandLoadS = 0.8;
const drainS = 3;

/** A model for an engine, and those that make way for it. */
interface Option {
  /** Index of the engine. */
  readonly engine: number;
  readonly model: Model;
  readonly evicted: readonly string[];
  /** What the move gains, less what it costs, in the units of a placement's cost. */
  readonly worth: number;
}

/** The orders to give now, at most one per engine. */
export function planMoves(view: PlacementView): Move[] {
  return [...new PlacementPlan(view).steps()].filter((step) => step !== undefined);
}

/** One round of planning, in steps short enough for callers to be served between them. */
export class PlacementPlan {
  private readonly engines: EngineView[];
  private readonly placement: Placement;
  private readonly sizesMb: ReadonlyMap<string, number>;
  private loadsLeft: number;

  constructor(private readonly view: PlacementView) {
    this.engines = [...view.engines];
    this.placement = new Placement(view);
    this.sizesMb = new Map(view.models.map((model) => [model.name, model.sizeMb]));
    this.loadsLeft = view.loadsLeft;
  }

  /**
   * The moves, each seeing those before it; `undefined` between them wherever a pause may be made. Pausing after
   * each bounds how long the planning host answers nobody: a step weighs one model, some 60 changes.
   */
  *steps(): Generator<Move | undefined, void> {
    for (let index = 0; index < this.engines.length; index += 1) {
      const move = this.reservedMove(index);
      if (move !== undefined) yield this.take(index, move);
    }
    // Each move makes its engine busy, so there are no more rounds than engines.
    while (this.engines.some((engine) => !engine.busy)) {
      const best = yield* this.bestOption();
      if (best === undefined) return;
      yield this.take(best.engine, this.moveOf(best));
    }
  }

  /** The change that lowers the placement's cost most; undefined if none pays. */
  private *bestOption(): Generator<undefined, Option | undefined> {
    const before = this.placement.cost();
    const loads = this.placement.engineLoads();
    let best: Option | undefined;
    let highest = leastGain;
    for (const model of this.wanted(loads)) {
      for (const engine of this.enginesFor(model, loads)) {
        for (const option of this.optionsAt(before, engine, model)) {
          if (option.worth <= highest) continue;
          highest = option.worth;
          best = option;
        }
      }
      yield undefined;
    }
    return best;
  }

  /** Models that another copy could help: those in no engine, and those on the most loaded engines. */
  private wanted(loads: readonly number[]): Model[] {
    const { models } = this.view;
    const missing = models.filter((model) => this.placement.holders(model.name).length === 0);
    const crowded = models
      .map((model) => ({ model, pressure: this.pressure(model.name, loads) }))
      .filter((entry) => entry.pressure > 0)
      .sort((a, b) => b.pressure - a.pressure)
      .slice(0, mostCrowded)
      .map((entry) => entry.model);
    return [...this.mostAsked(missing), ...crowded];
  }

  private mostAsked(missing: readonly Model[]): readonly Model[] {
    if (missing.length <= mostMissing) return missing;
    const { demand } = this.view;
    const need = ({ name }: Model): number => {
      const asked = demand.get(name);
      return asked === undefined ? 0 : asked.waiting * waitingNeed + asked.engineMs - asked.idleMs / 1000;
    };
    return [...missing].sort((a, b) => need(b) - need(a)).slice(0, mostMissing);
  }

  private pressure(name: string, loads: readonly number[]): number {
    const holders = this.placement.holders(name);
    if (holders.length === 0) return 0;
    const lowest = Math.min(...holders.map((index) => loads[index] ?? 0));
    const demand = this.view.demand.get(name);
    const places = (demand?.adapters ?? 0) / (holders.length * Math.max(1, this.view.adapterSlots));
    return Math.max(Math.min(lowest, (demand?.engineMs ?? 0) / 1000), places > 1 ? places : 0);
  }

  /** Engines that could be given the model now, least loaded first. */
  private enginesFor(model: Model, loads: readonly number[]): number[] {
    return [...this.engines.keys()]
      .filter((index) => this.couldTake(index, model))
      .sort((a, b) => (loads[a] ?? 0) - (loads[b] ?? 0))
      .slice(0, mostEngines);
  }

  private couldTake(index: number, { name }: Model): boolean {
    const engine = this.engines[index];
    if (engine === undefined || engine.busy || !lacks(engine, name)) return false;
    return this.loadsLeft >= 1 || engine.cachedModels.has(name);
  }

  private optionsAt(before: number, index: number, model: Model): Option[] {
    const engine = this.engines[index];
    if (engine === undefined) return [];
    const atHand = engine.cachedModels.has(model.name);
    const loadCost = atHand ? atHandLoadCost : storeLoadCost;
    const loadS = atHand ? atHandLoadS : model.loadS;
    const adapters = this.adapterWaits(engine);
    return this.evictionsFor(engine, model).map((evicted) => {
      const drains = evicted.reduce((sum, name) => sum + evictionCost + draining(engine, name), 0);
      const after = this.placement.costAfter({ engine: index, added: model.name, evicted });
      const delayS = loadS + (evicted.some((name) => engine.running.has(name)) ? drainS : 0);
      const worth = (before - after) / (1 + delayS / halfWorthS) - loadCost - drains - adapters;
      return { engine: index, model, evicted, worth };
    });
  }

  /** A request that waits for a model which the engine holds waits for an adapter of it. */
  private adapterWaits(engine: EngineView): number {
    let waiting = 0;
    for (const name of engine.models) waiting += this.view.demand.get(name)?.waiting ?? 0;
    return adapterWaitCost * Math.min(mostAdapterWaits, waiting);
  }

  /**
   * The smallest sets of models that make room together; one empty set where there is room already. Guards
   * "room is made that is too small": models differ in size, and dropping a small one for a large one leaves a
   * copy fewer and nothing gained.
   */
  private evictionsFor(engine: EngineView, model: Model): readonly string[][] {
    const missingMb = model.sizeMb - engine.freeMb;
    if (missingMb <= 0) return [[]];
    if (!this.view.mayEvict) return [];
    const names = [...engine.models]
      .filter((name) => !engine.recentlyChanged.has(name) && name !== model.name)
      .slice(0, mostEvictable);
    const sizes = names.map((name) => this.sizesMb.get(name) ?? 0);
    const found: string[][] = [];
    for (let choice = 1; choice < 1 << names.length; choice += 1) {
      const picked = names.map((_, index) => index).filter((index) => (choice & (1 << index)) !== 0);
      const sizeMb = picked.reduce((sum, index) => sum + (sizes[index] ?? 0), 0);
      const smallest = Math.min(...picked.map((index) => sizes[index] ?? 0));
      // One that still makes room without its smallest model is no smallest set.
      if (sizeMb < missingMb || sizeMb - smallest >= missingMb) continue;
      found.push(picked.flatMap((index) => names[index] ?? []));
    }
    return found;
  }

  private moveOf(option: Option): Move {
    const { model, evicted } = option;
    const engine = this.engines[option.engine];
    const demand = this.view.demand.get(model.name);
    const missing = this.placement.holders(model.name).length === 0;
    const waits = missing && (demand?.waiting ?? 0) > 0;
    const idle = missing && (demand?.engineMs ?? 0) === 0;
    const reason = waits ? "waiting" : idle ? "reachable" : "demand";
    const engineId = engine?.id ?? "";
    const first = engine === undefined ? undefined : leastDraining(engine, evicted);
    if (first === undefined) return { engineId, action: "load", reason, ...this.standing(model.name) };
    return { engineId, action: "unload", reason, inFavourOf: model.name, ...this.standing(first) };
  }

  /**
   * Loads the model for which room was made, once it is free. Guards "room is made for one model and taken by
   * another": the first would be evicted for again elsewhere, and copies would go in turn.
   */
  private reservedMove(index: number): Move | undefined {
    const engine = this.engines[index];
    const model = this.view.models.find((m) => m.name === engine?.reservedFor);
    if (engine === undefined || model === undefined || engine.busy) return undefined;
    if (engine.freeMb < model.sizeMb) return this.furtherEviction(index, model);
    if (this.loadsLeft < 1 && !engine.cachedModels.has(model.name)) return undefined;
    return { engineId: engine.id, action: "load", reason: "demand", ...this.standing(model.name) };
  }

  private furtherEviction(index: number, model: Model): Move | undefined {
    const [best] = this.optionsAt(0, index, model).sort((a, b) => b.worth - a.worth);
    if (best === undefined) return undefined;
    return { ...this.moveOf(best), reason: "demand" };
  }

  /** Notes the move as ordered, so that the moves of one round see each other. */
  private take(index: number, move: Move): Move {
    const before = this.engines[index];
    if (before === undefined) return move;
    const after = engineAfter(before, move);
    this.engines[index] = after;
    this.placement.replace(index, before, after);
    if (move.action === "load" && !before.cachedModels.has(move.model)) this.loadsLeft -= 1;
    return move;
  }

  /** How a model stands before a move. */
  private standing(model: string): Pick<Move, "model" | "demandMs" | "copies"> {
    const demandMs = this.view.demand.get(model)?.engineMs ?? 0;
    return { model, demandMs, copies: this.placement.holders(model).length };
  }
}

/** Is the engine one that could be given the model? */
function lacks(engine: EngineView, model: string): boolean {
  if (engine.reservedFor !== undefined) return false;
  return !engine.models.has(model) && !engine.pendingLoads.has(model) && !engine.recentlyChanged.has(model);
}

function draining(engine: EngineView, name: string): number {
  const running = engine.running.get(name) ?? 0;
  return running === 0 ? 0 : drainCost + drainRequestCost * Math.min(mostDraining, running);
}

function leastDraining(engine: EngineView, names: readonly string[]): string | undefined {
  return [...names].sort((a, b) => draining(engine, a) - draining(engine, b))[0];
}

function engineAfter(engine: EngineView, move: Move): EngineView {
  const models = new Set(engine.models);
  const coming = new Set(engine.pendingLoads);
  if (move.action === "load") coming.add(move.model);
  else models.delete(move.model);
  return { ...engine, models, pendingLoads: coming, busy: true, reservedFor: move.inFavourOf };
}
