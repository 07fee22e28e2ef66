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
  /** Models that came or went so lately that the engine's registration may not show it. */
  readonly unsettled: ReadonlySet<string>;
  /** Memory left if every load under way succeeds and no unload has, MB. */
  readonly freeMb: number;
  /** An order is under way, so that no other is taken. */
  readonly busy: boolean;
  /** Models it can load without the weight store. */
  readonly atHand: ReadonlySet<string>;
  /** Requests in flight there, by model. */
  readonly requests: ReadonlyMap<string, number>;
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
  readonly reason: "waiting" | "demand" | "reachable" | "make-room";
}

/**
 * Engine time per second that one copy should carry, ms. Half of an engine leaves room for bursts of half
 * as much again, while shared prompts are not yet cached.
 */
const copyLoadMs = 350;
/** A copy is surplus only if the others would carry this part of `copyLoadMs`: keeps moves from alternating. */
const surplusLoad = 0.7;
/** A model nobody asked for in this time gives way to one that callers wait for, ms. */
const idleMs = 3_000;

interface Want {
  readonly model: Model;
  readonly reason: "waiting" | "demand" | "reachable";
  /** Copies missing weigh by what each would carry. */
  readonly urgency: number;
}

/** The orders to give now, at most one per engine. */
export function planMoves(view: PlacementView): Move[] {
  const moves: Move[] = [];
  let current = view;
  for (const want of wants(view)) {
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

function engineAfter(engine: EngineView, move: Move): EngineView {
  const models = new Set(engine.models);
  const coming = new Set(engine.coming);
  if (move.action === "load") coming.add(move.model);
  else models.delete(move.model);
  return { ...engine, models, coming, busy: true };
}

/** Copies of the model in memory or on their way. */
export function copiesOf(view: PlacementView, model: string): number {
  return view.engines.filter((e) => e.models.has(model) || e.coming.has(model)).length;
}

function wants(view: PlacementView): Want[] {
  const found: Want[] = [];
  for (const model of view.models) {
    const copies = copiesOf(view, model.name);
    const demand = view.demand.get(model.name);
    const load = demand?.engineMs ?? 0;
    if (copies === 0) {
      const reason = (demand?.waiting ?? 0) > 0 ? "waiting" : load > 0 ? "demand" : "reachable";
      found.push({ model, reason, urgency: urgencies[reason] + load });
    } else if (copies < copiesWanted(view, demand)) {
      found.push({ model, reason: "demand", urgency: load / copies });
    }
  }
  return found.sort((a, b) => b.urgency - a.urgency || a.model.name.localeCompare(b.model.name));
}

/** A model that no engine holds goes before another copy of any, one that callers wait for first of all. */
const urgencies = { waiting: 2_000_000, demand: 1_000_000, reachable: 0 };

/** Copies to carry the load, and to have a place for each adapter in use. */
function copiesWanted(view: PlacementView, demand: ModelDemand | undefined): number {
  if (demand === undefined) return 1;
  const forLoad = Math.ceil(demand.engineMs / copyLoadMs);
  const forAdapters = Math.ceil(demand.adapters / Math.max(1, view.adapterSlots));
  return Math.min(view.engines.length, Math.max(1, forLoad, forAdapters));
}

function moveFor(view: PlacementView, want: Want): Move | undefined {
  const open = view.engines.filter(
    (e) => !e.busy && !e.models.has(want.model.name) && !e.coming.has(want.model.name) && !e.unsettled.has(want.model.name),
  );
  const affordable = open.filter((e) => view.loadsLeft >= 1 || e.atHand.has(want.model.name));
  const withRoom = affordable.filter((e) => e.freeMb >= want.model.sizeMb);
  const target = best(withRoom, (e) => loadCost(view, e, want.model));
  if (target !== undefined) {
    return { engineId: target.id, action: "load", model: want.model.name, reason: want.reason };
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
  return { engineId: chosen.engineId, action: "unload", model: chosen.model, reason: "make-room" };
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
    const enough = (model?.sizeMb ?? 0) >= missing ? 0 : 500;
    const running = 20 * (engine.requests.get(name) ?? 0);
    const cold = engine.atHand.has(want.model.name) ? 0 : 200;
    found.push({ engineId: engine.id, model: name, cost: cost + enough + running + cold });
  }
  return found;
}

/** What dropping one copy costs; undefined where it may not be dropped for this want. */
function evictionCost(view: PlacementView, name: string, want: Want): number | undefined {
  const copies = copiesOf(view, name);
  const demand = view.demand.get(name);
  const load = demand?.engineMs ?? 0;
  const idle = demand === undefined || (demand.idleMs > idleMs && demand.waiting === 0);
  if (copies > 1) {
    const forAdapters = Math.ceil((demand?.adapters ?? 0) / Math.max(1, view.adapterSlots));
    const afterwards = load / (copies - 1);
    if (afterwards <= copyLoadMs * surplusLoad && copies > forAdapters) return afterwards;
    // A model nobody can reach is worse off than one whose copies get fuller.
    return want.urgency >= urgencies.demand ? 1_000 + afterwards : undefined;
  }
  // The last copy goes only if nobody asked for it lately and callers wait for the other.
  if (!idle || want.urgency < urgencies.demand) return undefined;
  return 5_000 - Math.min(4_000, (demand?.idleMs ?? 4_000) / 10);
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
