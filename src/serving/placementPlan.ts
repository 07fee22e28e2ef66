/**
 * Decides which engine loads or unloads which model next. Answers demand that moves from one model to
 * another within seconds, rare models that nobody holds, engines that leave, and orders whose outcome is
 * unknown. Pure: the same view gives the same moves.
 */
import type { Model } from "./configuration.ts";

/** An engine as placement sees it. */
export interface EngineView {
  readonly id: string;
  readonly zone: string;
  /** Models in memory that are to stay. */
  readonly models: ReadonlySet<string>;
  /** Models ordered whose load is not confirmed. */
  readonly coming: ReadonlySet<string>;
  /** The model for which another was unloaded here. */
  readonly roomFor: string | undefined;
  /** Models that came or went so lately that the engine's registration may not show it. */
  readonly unsettled: ReadonlySet<string>;
  /** Memory left if every load under way succeeds and no unload has, MB. */
  readonly freeMb: number;
  /** An order is under way, so that no other is taken. */
  readonly busy: boolean;
  /** Models it can load without the weight store. */
  readonly atHand: ReadonlySet<string>;
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
  readonly inFavourOf?: string;
  /** What decided: engine time asked of the model per second, ms, and its copies before the move. */
  readonly demandMs: number;
  readonly copies: number;
}

/**
 * Engine time per second that one copy should carry, ms. A third of an engine leaves room for its other
 * models, for bursts, and for shared prompts that are not yet cached.
 */
const copyLoadMs = 350;
/** A copy is surplus only if the others would carry this part of `copyLoadMs`: keeps moves from alternating. */
const surplusLoad = 0.7;
/** Past this each copy's engine is overloaded and answers late, ms per s; no copy is taken from such a model. */
const overloadMs = 700;
/** A model nobody asked for in this time may give way, ms. */
const idleMs = 3_000;
/** What a model that no engine holds counts beyond its demand: all its requests wait, not only some, ms per s. */
const missingMs = 60;
/** What each request waiting for it adds, ms per s. */
const waitingMs = 50;
/** Base costs of an eviction, in the same unit, so that the cheapest kind is chosen first. */
const evictionCosts = { idle: 300, needed: 1_000, tooSmall: 500, cold: 200 };
/** An idle model's cost falls from twice the base to the base with this time constant, ms. */
const idleFadeMs = 10_000;

interface Want {
  readonly model: Model;
  readonly reason: "waiting" | "demand" | "reachable";
  /** Engine time per second that goes unserved or comes late for want of this copy, ms. */
  readonly urgency: number;
}

/** The orders to give now, at most one per engine. */
export function planMoves(view: PlacementView): Move[] {
  const moves: Move[] = [];
  let current = view;
  for (const engine of view.engines) {
    const move = reservedMove(view, engine);
    if (move === undefined) continue;
    moves.push(move);
    current = afterMove(current, move);
  }
  for (const want of wants(current)) {
    const move = moveFor(current, want);
    if (move === undefined) continue;
    moves.push(move);
    current = afterMove(current, move);
  }
  return moves;
}

/**
 * The view once a move is ordered. Guards "all copies of a model go at once": several wants of one round
 * would each drop another surplus copy of the same model, if they didn't see each other's moves.
 */
function afterMove(view: PlacementView, move: Move): PlacementView {
  const engines = view.engines.map((engine) => (engine.id === move.engineId ? engineAfter(engine, move) : engine));
  const engine = view.engines.find((e) => e.id === move.engineId);
  const fromStore = move.action === "load" && engine?.atHand.has(move.model) !== true;
  return { ...view, engines, loadsLeft: view.loadsLeft - (fromStore ? 1 : 0) };
}

/**
 * Loads the model for which room was made, once it is free. Guards "room is made for one model and taken by
 * another": the first would be evicted for again elsewhere, and copies would go in turn.
 */
function reservedMove(view: PlacementView, engine: EngineView): Move | undefined {
  const model = view.models.find((m) => m.name === engine.roomFor);
  if (model === undefined || engine.busy || engine.freeMb < model.sizeMb) return undefined;
  if (view.loadsLeft < 1 && !engine.atHand.has(model.name)) return undefined;
  return { engineId: engine.id, action: "load", reason: "demand", ...standing(view, model.name) };
}

function engineAfter(engine: EngineView, move: Move): EngineView {
  const models = new Set(engine.models);
  const coming = new Set(engine.coming);
  if (move.action === "load") coming.add(move.model);
  else models.delete(move.model);
  return { ...engine, models, coming, busy: true, roomFor: move.inFavourOf };
}

/** Copies of the model in memory, on their way, or with room being made for them. */
export function copiesOf(view: PlacementView, model: string): number {
  return view.engines.filter((e) => e.models.has(model) || e.coming.has(model) || e.roomFor === model).length;
}

function wants(view: PlacementView): Want[] {
  const found: Want[] = [];
  for (const model of view.models) {
    const copies = copiesOf(view, model.name);
    const demand = view.demand.get(model.name);
    const load = demand?.engineMs ?? 0;
    const waiting = demand?.waiting ?? 0;
    if (copies === 0) {
      const reason = waiting > 0 ? "waiting" : load > 0 ? "demand" : "reachable";
      const urgency = reason === "reachable" ? 0 : load + missingMs + waiting * waitingMs;
      found.push({ model, reason, urgency });
    } else if (copies < copiesWanted(view, demand)) {
      found.push({ model, reason: "demand", urgency: Math.max(1, load - copies * copyLoadMs) });
    }
  }
  return found.sort((a, b) => b.urgency - a.urgency || a.model.name.localeCompare(b.model.name));
}

/** Copies to carry the load, and to have a place for each adapter in use. */
function copiesWanted(view: PlacementView, demand: ModelDemand | undefined): number {
  if (demand === undefined) return 1;
  const forLoad = Math.ceil(demand.engineMs / copyLoadMs);
  const forAdapters = Math.ceil(demand.adapters / Math.max(1, view.adapterSlots));
  return Math.min(view.engines.length, Math.max(1, forLoad, forAdapters));
}

function moveFor(view: PlacementView, want: Want): Move | undefined {
  const open = view.engines.filter(
    (e) => !e.busy && e.roomFor === undefined && !e.models.has(want.model.name) && !e.coming.has(want.model.name) && !e.unsettled.has(want.model.name),
  );
  const affordable = open.filter((e) => view.loadsLeft >= 1 || e.atHand.has(want.model.name));
  const withRoom = affordable.filter((e) => e.freeMb >= want.model.sizeMb);
  const target = best(withRoom, (e) => loadCost(view, e, want.model));
  if (target !== undefined) {
    return { engineId: target.id, action: "load", reason: want.reason, ...standing(view, want.model.name) };
  }
  if (want.reason === "reachable") return undefined;
  return makeRoom(view, want, affordable);
}

/** Lower is better: at hand first, then the engine whose models ask for least, then the tightest fit. */
function loadCost(view: PlacementView, engine: EngineView, model: Model): number {
  const slow = engine.atHand.has(model.name) ? 0 : 1_000;
  return slow + engineLoad(view, engine) + (engine.freeMb - model.sizeMb) / 1_000;
}

/** Engine time per second asked of the engine, if the demand of each model is spread over its copies. */
function engineLoad(view: PlacementView, engine: EngineView): number {
  let load = 0;
  for (const model of engine.models) {
    load += (view.demand.get(model)?.engineMs ?? 0) / Math.max(1, copiesOf(view, model));
  }
  return load;
}

function makeRoom(view: PlacementView, want: Want, engines: readonly EngineView[]): Move | undefined {
  const options = engines
    // Room on its way: an engine that is to make room for one model does so for that one only.
    .filter((engine) => engine.coming.size === 0)
    .flatMap((engine) => evictions(view, want, engine));
  const chosen = best(options, (option) => option.cost);
  if (chosen === undefined) return undefined;
  const { engineId, model } = chosen;
  const inFavourOf = want.model.name;
  return { engineId, action: "unload", reason: want.reason, inFavourOf, ...standing(view, model) };
}

/** How a model stands before a move. */
function standing(view: PlacementView, model: string): { model: string; demandMs: number; copies: number } {
  const demandMs = view.demand.get(model)?.engineMs ?? 0;
  return { model, demandMs, copies: copiesOf(view, model) };
}

interface Eviction {
  readonly engineId: string;
  readonly model: string;
  readonly cost: number;
}

function evictions(view: PlacementView, want: Want, engine: EngineView): Eviction[] {
  const missing = want.model.sizeMb - engine.freeMb;
  const found: Eviction[] = [];
  for (const name of engine.models) {
    if (engine.unsettled.has(name)) continue;
    const model = view.models.find((m) => m.name === name);
    const cost = evictionCost(view, name, want);
    if (cost === undefined) continue;
    const enough = (model?.sizeMb ?? 0) >= missing ? 0 : evictionCosts.tooSmall;
    const cold = engine.atHand.has(want.model.name) ? 0 : evictionCosts.cold;
    found.push({ engineId: engine.id, model: name, cost: cost + enough + cold });
  }
  return found;
}

/** What dropping one copy costs; undefined where it may not be dropped for this want. */
function evictionCost(view: PlacementView, name: string, want: Want): number | undefined {
  const copies = copiesOf(view, name);
  const demand = view.demand.get(name);
  const idle = demand === undefined || (demand.idleMs > idleMs && demand.waiting === 0);
  if (copies > 1) {
    const forAdapters = Math.ceil((demand?.adapters ?? 0) / Math.max(1, view.adapterSlots));
    const afterwards = (demand?.engineMs ?? 0) / (copies - 1);
    if (afterwards <= copyLoadMs * surplusLoad && copies > forAdapters) return afterwards;
    // A model nobody can reach is worse off than one whose copies get fuller, unless they get too full.
    const reachesNobody = copiesOf(view, want.model.name) === 0;
    return reachesNobody && afterwards < overloadMs ? evictionCosts.needed + afterwards : undefined;
  }
  // The last copy goes only if nobody asked for it lately; it comes back from the engine's own disk.
  const wanted = copiesOf(view, want.model.name);
  const load = view.demand.get(want.model.name)?.engineMs ?? 0;
  const pressing = wanted === 0 || load / wanted >= overloadMs;
  if (!idle || !pressing) return undefined;
  return evictionCosts.idle * (1 + Math.exp(-(demand?.idleMs ?? 0) / idleFadeMs));
}

function best<T>(items: readonly T[], cost: (item: T) => number): T | undefined {
  let found: T | undefined;
  let lowest = Number.POSITIVE_INFINITY;
  for (const item of items) {
    const value = cost(item);
    if (value >= lowest) continue;
    lowest = value;
    found = item;
  }
  return found;
}
