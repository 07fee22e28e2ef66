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
  /** It will take an order again within a round or two. */
  readonly soonFree: boolean;
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
/**
 * Base costs of an eviction, in the same unit, so that the cheapest kind is chosen first. `variants` is a
 * factor for models with adapters: many customers' variants hang on them, so demand comes back in force.
 */
const evictionCosts = { idle: 300, needed: 1_000, cold: 200, variants: 1.5 };
/** An eviction this much cheaper is worth a round's wait. */
const worthWaiting = 150;
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
  const engines = view.engines.map((engine) =>
    engine.id === move.engineId ? engineAfter(engine, move) : engine,
  );
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
  if (model === undefined || engine.busy) return undefined;
  if (engine.freeMb < model.sizeMb) {
    const more = cheapestEvictions(view, model, engine);
    return more === undefined ? undefined : evictionMove(view, model, "demand", more);
  }
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

/** Copies in memory or on their way, without those that room is only being made for. */
function servingCopies(view: PlacementView, model: string): number {
  return view.engines.filter((e) => e.models.has(model) || e.coming.has(model)).length;
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
  const lacking = view.engines.filter((engine) => lacks(engine, want.model.name));
  const affordable = lacking.filter((e) => !e.busy && (view.loadsLeft >= 1 || e.atHand.has(want.model.name)));
  const withRoom = affordable.filter((e) => e.freeMb >= want.model.sizeMb);
  const target = best(withRoom, (e) => loadCost(view, e, want.model));
  if (target !== undefined) {
    return { engineId: target.id, action: "load", reason: want.reason, ...standing(view, want.model.name) };
  }
  if (want.reason === "reachable") return undefined;
  const soon = lacking.filter((engine) => engine.busy && engine.soonFree);
  return makeRoom(view, want, affordable, soon);
}

/** Is the engine one that could be given the model? */
function lacks(engine: EngineView, model: string): boolean {
  if (engine.roomFor !== undefined) return false;
  return !engine.models.has(model) && !engine.coming.has(model) && !engine.unsettled.has(model);
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

/** Evicts where it costs least; waits a round if an engine that is free then offers far better. */
function makeRoom(
  view: PlacementView,
  want: Want,
  open: readonly EngineView[],
  soon: readonly EngineView[],
): Move | undefined {
  const cheapest = (engines: readonly EngineView[]): Evictions | undefined =>
    best(
      engines.flatMap((engine) => cheapestEvictions(view, want.model, engine) ?? []),
      (option) => option.cost,
    );
  const now = cheapest(open);
  const later = cheapest(soon);
  if (now === undefined) return undefined;
  if (later !== undefined && later.cost + worthWaiting < now.cost) return undefined;
  return evictionMove(view, want.model, want.reason, now);
}

function evictionMove(view: PlacementView, wanted: Model, reason: Move["reason"], eviction: Evictions): Move {
  const { engineId, first } = eviction;
  return { engineId, action: "unload", reason, inFavourOf: wanted.name, ...standing(view, first) };
}

/** How a model stands before a move. */
function standing(view: PlacementView, model: string): { model: string; demandMs: number; copies: number } {
  const demandMs = view.demand.get(model)?.engineMs ?? 0;
  return { model, demandMs, copies: copiesOf(view, model) };
}

/** The models of one engine that make room together, at the lowest cost. */
interface Evictions {
  readonly engineId: string;
  /** The one to unload first; the others follow while the room is kept. */
  readonly first: string;
  readonly cost: number;
}

/**
 * Guards "room is made that is too small": models differ in size, and dropping a small one for a large one
 * leaves a copy fewer and nothing gained. An engine holds few models, so every choice of them is weighed.
 */
function cheapestEvictions(view: PlacementView, wanted: Model, engine: EngineView): Evictions | undefined {
  const missingMb = wanted.sizeMb - engine.freeMb;
  const options = evictable(view, wanted, engine);
  const base = engine.atHand.has(wanted.name) ? 0 : evictionCosts.cold;
  let found: Evictions | undefined;
  for (let choice = 1; choice < 1 << options.length; choice += 1) {
    const chosen = options.filter((_, index) => (choice & (1 << index)) !== 0);
    const sizeMb = chosen.reduce((sum, option) => sum + option.sizeMb, 0);
    const cost = base + chosen.reduce((sum, option) => sum + option.cost, 0);
    const first = best(chosen, (option) => option.cost);
    if (sizeMb < missingMb || first === undefined || (found !== undefined && cost >= found.cost)) continue;
    found = { engineId: engine.id, first: first.model, cost };
  }
  return found;
}

/** Models of the engine that may make way, with what that costs; at most ten, as choices double with each. */
function evictable(
  view: PlacementView,
  wanted: Model,
  engine: EngineView,
): { model: string; sizeMb: number; cost: number }[] {
  return [...engine.models]
    .filter((name) => !engine.unsettled.has(name))
    .flatMap((name) => {
      const cost = evictionCost(view, name, wanted);
      const sizeMb = view.models.find((m) => m.name === name)?.sizeMb ?? 0;
      return cost === undefined ? [] : [{ model: name, sizeMb, cost }];
    })
    .slice(0, 10);
}

/** What dropping one copy costs; undefined where it may not be dropped for this want. */
function evictionCost(view: PlacementView, name: string, wantedModel: Model): number | undefined {
  const copies = copiesOf(view, name);
  const demand = view.demand.get(name);
  const idle = demand === undefined || (demand.idleMs > idleMs && demand.waiting === 0);
  if (copies > 1) {
    const forAdapters = Math.ceil((demand?.adapters ?? 0) / Math.max(1, view.adapterSlots));
    const afterwards = (demand?.engineMs ?? 0) / (copies - 1);
    if (afterwards <= copyLoadMs * surplusLoad && copies > forAdapters) return afterwards;
    // A model nobody can reach is worse off than one whose copies get fuller, unless they get too full.
    const reachesNobody = servingCopies(view, wantedModel.name) === 0;
    return reachesNobody && afterwards < overloadMs ? evictionCosts.needed + afterwards : undefined;
  }
  // The last copy goes only if nobody asked for it lately; it comes back from the engine's own disk.
  const wanted = servingCopies(view, wantedModel.name);
  const load = view.demand.get(wantedModel.name)?.engineMs ?? 0;
  const pressing = wanted === 0 || load / wanted >= overloadMs;
  if (!idle || !pressing) return undefined;
  const adapters = view.models.find((m) => m.name === name)?.adapters ?? 0;
  const variants = adapters > 0 ? evictionCosts.variants : 1;
  return evictionCosts.idle * variants * (1 + Math.exp(-(demand?.idleMs ?? 0) / idleFadeMs));
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
