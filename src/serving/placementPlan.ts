/**
 * Decides which engine loads or unloads which model next. Answers demand that moves from one model to
 * another within seconds, rare models that nobody holds, engines that leave, and orders whose outcome is
 * unknown. Pure: the same view gives the same moves.
 */
import type { Model } from "./configuration.ts";
import { engineLoads, placementCost, type Placement } from "./placementCost.ts";
import { heldBy, type EngineView, type Move, type PlacementView } from "./placementView.ts";

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
/** Models weighed in a round besides those that no engine holds: the most loaded ones. */
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
  readonly engine: EngineView;
  readonly model: Model;
  readonly evicted: readonly string[];
  /** What the move gains, less what it costs, in the units of `placementCost`. */
  readonly worth: number;
}

/** The orders to give now, at most one per engine. */
export function planMoves(view: PlacementView): Move[] {
  const moves: Move[] = [];
  let current = view;
  const give = (move: Move | undefined): boolean => {
    if (move === undefined) return false;
    moves.push(move);
    current = afterMove(current, move);
    return true;
  };
  for (const engine of view.engines) give(reservedMove(view, engine));
  while (give(bestMove(current))) {
    // Each move makes its engine busy, so there are no more rounds than engines.
  }
  return moves;
}

/** The move that lowers the placement's cost most; undefined if none pays. */
function bestMove(view: PlacementView): Move | undefined {
  if (view.engines.every((engine) => engine.busy)) return undefined;
  const placement = placementOf(view);
  const loads = engineLoads(view, placement);
  let best: Option | undefined;
  const before = placementCost(view, placement);
  let highest = leastGain;
  for (const model of wanted(view, placement, loads)) {
    for (const engine of enginesFor(view, model, loads)) {
      for (const option of optionsAt(view, placement, before, engine, model)) {
        if (option.worth <= highest) continue;
        highest = option.worth;
        best = option;
      }
    }
  }
  return best === undefined ? undefined : moveOf(view, placement, best);
}

function placementOf(view: PlacementView): Placement {
  return new Map(view.engines.map((engine) => [engine.id, heldBy(engine)]));
}

/** Models that another copy could help: those in no engine, and those on the most loaded engines. */
function wanted(view: PlacementView, placement: Placement, loads: ReadonlyMap<string, number>): Model[] {
  const held = new Set([...placement.values()].flatMap((models) => [...models]));
  const missing = view.models.filter((model) => !held.has(model.name));
  const pressure = (name: string): number => {
    const holders = [...placement].filter(([, models]) => models.has(name));
    const lowest = Math.min(...holders.map(([id]) => loads.get(id) ?? 0));
    const demand = view.demand.get(name);
    const places = (demand?.adapters ?? 0) / (holders.length * Math.max(1, view.adapterSlots));
    return Math.max(Math.min(lowest, (demand?.engineMs ?? 0) / 1000), places > 1 ? places : 0);
  };
  const crowded = view.models
    .filter((model) => held.has(model.name))
    .map((model) => ({ model, pressure: pressure(model.name) }))
    .filter((entry) => entry.pressure > 0)
    .sort((a, b) => b.pressure - a.pressure)
    .slice(0, mostCrowded)
    .map((entry) => entry.model);
  return [...missing, ...crowded];
}

/** Engines that could be given the model now, least loaded first. */
function enginesFor(
  view: PlacementView,
  model: Model,
  loads: ReadonlyMap<string, number>,
): readonly EngineView[] {
  return view.engines
    .filter((engine) => !engine.busy && lacks(engine, model.name))
    .filter((engine) => view.loadsLeft >= 1 || engine.atHand.has(model.name))
    .sort((a, b) => (loads.get(a.id) ?? 0) - (loads.get(b.id) ?? 0))
    .slice(0, mostEngines);
}

/** Is the engine one that could be given the model? */
function lacks(engine: EngineView, model: string): boolean {
  if (engine.roomFor !== undefined) return false;
  return !engine.models.has(model) && !engine.coming.has(model) && !engine.unsettled.has(model);
}

function optionsAt(
  view: PlacementView,
  placement: Placement,
  before: number,
  engine: EngineView,
  model: Model,
): Option[] {
  const atHand = engine.atHand.has(model.name);
  const loadCost = atHand ? atHandLoadCost : storeLoadCost;
  const loadS = atHand ? atHandLoadS : model.loadS;
  return evictionsFor(view, engine, model).map((evicted) => {
    const held = new Set(placement.get(engine.id));
    for (const name of evicted) held.delete(name);
    held.add(model.name);
    const after = new Map(placement).set(engine.id, held);
    const drains = evicted.reduce((sum, name) => sum + evictionCost + draining(engine, name), 0);
    const gain = before - placementCost(view, after);
    const delayS = loadS + (evicted.some((name) => engine.running.has(name)) ? drainS : 0);
    const worth = gain / (1 + delayS / halfWorthS) - loadCost - drains - adapterWaits(view, engine);
    return { engine, model, evicted, worth };
  });
}

/** A request that waits for a model which the engine holds waits for an adapter of it. */
function adapterWaits(view: PlacementView, engine: EngineView): number {
  let waiting = 0;
  for (const name of engine.models) waiting += view.demand.get(name)?.waiting ?? 0;
  return adapterWaitCost * Math.min(mostAdapterWaits, waiting);
}

function draining(engine: EngineView, name: string): number {
  const running = engine.running.get(name) ?? 0;
  return running === 0 ? 0 : drainCost + drainRequestCost * Math.min(mostDraining, running);
}

/**
 * The smallest sets of models that make room together; one empty set where there is room already. Guards
 * "room is made that is too small": models differ in size, and dropping a small one for a large one leaves a
 * copy fewer and nothing gained.
 */
function evictionsFor(view: PlacementView, engine: EngineView, model: Model): readonly string[][] {
  const missingMb = model.sizeMb - engine.freeMb;
  if (missingMb <= 0) return [[]];
  if (!view.mayEvict) return [];
  const names = [...engine.models]
    .filter((name) => !engine.unsettled.has(name) && name !== model.name)
    .slice(0, mostEvictable);
  const sizes = names.map((name) => view.models.find((m) => m.name === name)?.sizeMb ?? 0);
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

function moveOf(view: PlacementView, placement: Placement, option: Option): Move {
  const { engine, model, evicted } = option;
  const waiting = view.demand.get(model.name)?.waiting ?? 0;
  const asked = view.demand.get(model.name)?.engineMs ?? 0;
  const missing = [...placement.values()].every((models) => !models.has(model.name));
  const reason = missing && waiting > 0 ? "waiting" : missing && asked === 0 ? "reachable" : "demand";
  const [first] = [...evicted].sort((a, b) => draining(engine, a) - draining(engine, b));
  if (first === undefined)
    return { engineId: engine.id, action: "load", reason, ...standing(view, model.name) };
  return {
    engineId: engine.id,
    action: "unload",
    reason,
    inFavourOf: model.name,
    ...standing(view, first),
  };
}

/**
 * Loads the model for which room was made, once it is free. Guards "room is made for one model and taken by
 * another": the first would be evicted for again elsewhere, and copies would go in turn.
 */
function reservedMove(view: PlacementView, engine: EngineView): Move | undefined {
  const model = view.models.find((m) => m.name === engine.roomFor);
  if (model === undefined || engine.busy) return undefined;
  if (engine.freeMb < model.sizeMb) return furtherEviction(view, engine, model);
  if (view.loadsLeft < 1 && !engine.atHand.has(model.name)) return undefined;
  return { engineId: engine.id, action: "load", reason: "demand", ...standing(view, model.name) };
}

function furtherEviction(view: PlacementView, engine: EngineView, model: Model): Move | undefined {
  const placement = placementOf(view);
  const [best] = optionsAt(view, placement, 0, engine, model).sort((a, b) => b.worth - a.worth);
  if (best === undefined) return undefined;
  return { ...moveOf(view, placement, best), reason: "demand" };
}

/** The view once a move is ordered, so that the moves of one round see each other. */
function afterMove(view: PlacementView, move: Move): PlacementView {
  const engines = view.engines.map((engine) =>
    engine.id === move.engineId ? engineAfter(engine, move) : engine,
  );
  const engine = view.engines.find((e) => e.id === move.engineId);
  const fromStore = move.action === "load" && engine?.atHand.has(move.model) !== true;
  return { ...view, engines, loadsLeft: view.loadsLeft - (fromStore ? 1 : 0) };
}

function engineAfter(engine: EngineView, move: Move): EngineView {
  const models = new Set(engine.models);
  const coming = new Set(engine.coming);
  if (move.action === "load") coming.add(move.model);
  else models.delete(move.model);
  return { ...engine, models, coming, busy: true, roomFor: move.inFavourOf };
}

/** Copies of the model in memory, on their way, or with room being made for them. */
function copiesOf(view: PlacementView, model: string): number {
  return view.engines.filter((engine) => heldBy(engine).has(model)).length;
}

/** How a model stands before a move. */
function standing(view: PlacementView, model: string): Pick<Move, "model" | "demandMs" | "copies"> {
  return { model, demandMs: view.demand.get(model)?.engineMs ?? 0, copies: copiesOf(view, model) };
}
