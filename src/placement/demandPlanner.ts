/**
 * The planner the system runs with: every model keeps its copies while they fit; copies beyond that
 * follow measured demand, and a copy is moved only when what it is expected to gain over the planning
 * horizon outweighs the cost of the moves. What is evicted is what is least worth keeping (usual demand
 * per MB), not what was used least recently: a rare model asked for once does not push out a common one.
 */
import { Draft, type DraftAccelerator } from "./draft.ts";
import type { Copy, Load, Move, Need, Planner, Snapshot, Unload } from "./snapshot.ts";
import { apply, retirements, swap, unload } from "./upkeep.ts";

/** Tuning of the demand planner; figures in docs/design/002-placement-policy.md. */
export interface DemandPlannerOptions {
  /** Part of an engine's slots that expected load may fill before a further copy is considered. */
  readonly targetUse?: number;
  /** Time over which a further copy must pay for its moves, in seconds. */
  readonly horizonSeconds?: number;
  /** What serving one waiting request is worth, in stream-seconds. */
  readonly requestSeconds?: number;
  /**
   * A model asked for in vain this long is loaded for its next request whatever it costs, in ms, at
   * moveWeight 0 and more of it per unit of moveWeight.
   */
  readonly reachMs?: number;
  readonly reachMsPerWeight?: number;
  /** Cost of one move in stream-seconds, at moveWeight 0 and what its square adds. */
  readonly moveCost?: number;
  readonly moveCostPerWeight?: number;
  /** A copy younger than this is not evicted, in ms. */
  readonly minStayMs?: number;
}

const defaults = {
  targetUse: 0.75,
  horizonSeconds: 15,
  requestSeconds: 0.3,
  reachMs: 15_000,
  reachMsPerWeight: 90_000,
  moveCost: 0.05,
  moveCostPerWeight: 6,
  minStayMs: 4000,
};
type Options = typeof defaults;

/** What one request adds to the short average of demand when it arrives, in streams. */
const requestDemand = 0.15;

/** Models, and engines, that one step of planning weighs against each other, the neediest and freest first. */
const mostConsidered = 24;

/** Makes a demand planner. */
export function demandPlanner(options: DemandPlannerOptions = {}): Planner {
  const tuned: Options = { ...defaults, ...options };
  return (snapshot) => plan(snapshot, tuned);
}

function plan(snapshot: Snapshot, options: Options): Move[] {
  const draft = new Draft(snapshot);
  const moves: Move[] = retirements(draft);
  let loads = snapshot.loads;
  const take = (load: Load | undefined): boolean => {
    if (load === undefined) return false;
    apply(draft, load);
    moves.push(load);
    loads -= 1;
    return true;
  };
  const missing = byUrgency(snapshot.needs).filter((need) => draft.copies(need.model) === 0);
  for (const need of missing) {
    if (loads <= 0) return moves;
    take(roomFor(draft, need, "first-copy"));
  }
  for (const need of snapshot.needs)
    while (loads > 0 && draft.current(need) < need.replicas)
      if (!take(roomFor(draft, need, "keep-replicas") ?? swap(draft, need))) break;
  while (loads > 0 && take(bestTrade(draft, missing, options)));
  return moves;
}

/** A load in place of other copies, and what it gains over them, in weighted stream-seconds. */
interface Trade {
  readonly load: Load;
  readonly net: number;
}

/** The trade that gains most: the first copy of a missing model, or a further copy of a crowded one. */
function bestTrade(draft: Draft, missing: readonly Need[], options: Options): Load | undefined {
  const trades = missing
    .filter((need) => draft.copies(need.model) === 0)
    .map((need) => firstCopy(draft, need, options));
  return [...trades, furtherCopy(draft, options)]
    .flatMap((trade) => trade ?? [])
    .reduce<Trade | undefined>((best, trade) => (trade.net > (best?.net ?? 0) ? trade : best), undefined)
    ?.load;
}

/** Models by what they are worth, requests waiting for them included. */
function byUrgency(needs: readonly Need[]): Need[] {
  const urgency = (need: Need): number => worth(need) + need.weight * need.waiting;
  return [...needs].sort((a, b) => urgency(b) - urgency(a));
}

/** A first copy in place of spare copies, else of those least worth keeping. */
function firstCopy(draft: Draft, need: Need, options: Options): Trade | undefined {
  const gain = worth(need) * options.horizonSeconds + need.weight * need.waiting * options.requestSeconds;
  const due = overdue(draft, need, options);
  if (gain <= movesCost(need, 2, options) && !due) return undefined;
  const choices = draft
    .loadable(need)
    .map((accelerator) => ({ accelerator, evicted: victims(draft, accelerator, need, options, true) }))
    .flatMap(({ accelerator, evicted }) => (evicted === undefined ? [] : [{ accelerator, evicted }]))
    .map((choice) => ({ ...choice, cost: tradeCost(draft, need, choice.evicted, options) }))
    .sort((a, b) => a.cost - b.cost);
  const best = choices[0];
  if (best === undefined) return undefined;
  const load = replacing(best.accelerator, need, best.evicted, "first-copy");
  return { load, net: due ? Number.POSITIVE_INFINITY : gain - best.cost };
}

/**
 * Whether a model has been asked for in vain for too long. Guards "a rare model is never reachable": it
 * is never worth the moves by its demand alone, so its next request gets it loaded whatever it costs.
 */
function overdue(draft: Draft, need: Need, options: Options): boolean {
  const reachMs = options.reachMs + options.reachMsPerWeight * need.moveWeight;
  const unmetMs = need.unmetSince > 0 ? draft.snapshot.now - need.unmetSince : 0;
  return need.waiting > 0 && unmetMs >= reachMs;
}

/** The engine with room for `need` that expects the least load per slot. */
function roomFor(draft: Draft, need: Need, reason: string): Load | undefined {
  const roomy = draft.loadable(need).filter((accelerator) => draft.free(accelerator) >= need.sizeMb);
  if (roomy.length === 0) return undefined;
  const loads = draft.expectedLoads();
  const fits = roomy.sort((a, b) => use(a, loads) - use(b, loads) || draft.free(b) - draft.free(a));
  return fits[0] === undefined ? undefined : replacing(fits[0], need, [], reason);
}

/** One more copy of a model that has an engine over its target, on an engine that is not. */
function furtherCopy(draft: Draft, options: Options): Trade | undefined {
  const loads = draft.expectedLoads();
  // Guards "a further copy of one model makes another unreachable": last copies are left alone while the
  // pool can hold every model. Where it cannot, models share it over time by what they are worth.
  const last = draft.crowded;
  let best: Trade | undefined;
  const crowded = draft.snapshot.needs
    .filter((need) => draft.holders(need.model).some((h) => use(h, loads) >= options.targetUse))
    .sort((a, b) => b.weight * b.demand - a.weight * a.demand)
    .slice(0, mostConsidered);
  const free = draft.accelerators
    .filter((accelerator) => accelerator.loadable && use(accelerator, loads) < options.targetUse)
    .sort((a, b) => use(a, loads) - use(b, loads))
    .slice(0, mostConsidered);
  for (const need of crowded) {
    for (const accelerator of free) {
      if (accelerator.copies.some((copy) => copy.model === need.model)) continue;
      const evicted = victims(draft, accelerator, need, options, last);
      if (evicted === undefined) continue;
      const load = replacing(accelerator, need, evicted, "demand");
      const gain = need.weight * relief(draft, loads, accelerator, need, evicted, options);
      const net = gain * options.horizonSeconds - tradeCost(draft, need, evicted, options);
      if (net > (best?.net ?? 0)) best = { load, net };
    }
  }
  return best;
}

/** What a load costs: its moves, and what the evicted copies were worth over the horizon. */
function tradeCost(draft: Draft, need: Need, evicted: readonly Copy[], options: Options): number {
  const kept = sum(evicted, (copy) => keepValue(draft, copy));
  return movesCost(need, 1 + evicted.length, options) + kept * options.horizonSeconds;
}

/**
 * Copies to evict from an engine so that `need` fits, the least worth keeping first; undefined if none
 * will do. Copies that templates ask for are taken only if `last` allows it.
 */
function victims(
  draft: Draft,
  accelerator: DraftAccelerator,
  need: Need,
  options: Options,
  last: boolean,
): Copy[] | undefined {
  const candidates = accelerator.copies
    .filter((copy) => copy.state === "ready" && draft.snapshot.now - copy.since >= options.minStayMs)
    .filter((copy) => last || spare(draft, copy))
    .sort((a, b) => keepValue(draft, a) / a.sizeMb - keepValue(draft, b) / b.sizeMb);
  return draft.makeRoom(accelerator, need, candidates);
}

/** Whether the model keeps its asked-for copies without this one. */
function spare(draft: Draft, copy: Copy): boolean {
  const need = draft.need(copy.model);
  return need === undefined || draft.copies(copy.model) > need.replicas;
}

/** What keeping this copy is worth, in weighted streams at once. */
function keepValue(draft: Draft, copy: Copy): number {
  const need = draft.need(copy.model);
  if (need === undefined) return 0;
  const holders = draft.copies(copy.model);
  return holders > 1 ? worth(need) / (holders * holders) : worth(need);
}

/**
 * What serving a model is worth, in weighted streams at once. One request raises the short average as if
 * many came; taking off its spread (arrivals are random) leaves only what several requests bear out.
 */
function worth(need: Need): number {
  const borneOut = need.demand - Math.sqrt(need.demand * requestDemand);
  return need.weight * Math.max(borneOut, need.usual);
}

function movesCost(need: Need, moves: number, options: Options): number {
  return moves * (options.moveCost + options.moveCostPerWeight * need.moveWeight ** 2);
}

/** Streams past an engine's target: they wait, or slow the others down. */
function lossOf(accelerator: DraftAccelerator, load: number, options: Options): number {
  return Math.max(0, load - options.targetUse * accelerator.slots);
}

/**
 * How many streams fewer would be past the targets with one more copy of `need` on `accelerator` in place
 * of `evicted`. Only the engines whose load changes are looked at, so the cost does not grow with the pool.
 */
function relief(
  draft: Draft,
  loads: ReadonlyMap<DraftAccelerator, number>,
  accelerator: DraftAccelerator,
  need: Need,
  evicted: readonly Copy[],
  options: Options,
): number {
  const change = new Map<DraftAccelerator, number>();
  const shift = (on: DraftAccelerator, by: number): void => void change.set(on, (change.get(on) ?? 0) + by);
  const copies = draft.copies(need.model);
  const share = need.demand / (copies + 1);
  shift(accelerator, share);
  for (const holder of draft.holders(need.model)) shift(holder, share - need.demand / copies);
  for (const copy of evicted) {
    const demand = draft.need(copy.model)?.demand ?? 0;
    const before = draft.copies(copy.model);
    shift(accelerator, -demand / before);
    for (const holder of draft.holders(copy.model))
      if (holder !== accelerator) shift(holder, demand / (before - 1) - demand / before);
  }
  return sum([...change], ([on, by]) => {
    const load = loads.get(on) ?? 0;
    return lossOf(on, load, options) - lossOf(on, load + by, options);
  });
}

function use(accelerator: DraftAccelerator, loads: ReadonlyMap<DraftAccelerator, number>): number {
  return (loads.get(accelerator) ?? 0) / accelerator.slots;
}

function replacing(
  accelerator: DraftAccelerator,
  need: Need,
  victimsOf: readonly Copy[],
  reason: string,
): Load {
  const evict: Unload[] = victimsOf.map((copy) => unload(accelerator, copy, `make-room:${reason}`));
  return { kind: "load", address: accelerator.address, need, evict, reason };
}

function sum<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
