/**
 * What a placement of models costs its callers, as one number to compare placements by. Answers demand that
 * moves between models within seconds: a count of copies per model alone would put two busy models on one
 * engine beside an idle one, or take a copy from a model whose other copies are already full.
 */
import type { ModelDemand, PlacementView } from "./placementView.ts";

/** Models by engine id. */
export type Placement = ReadonlyMap<string, ReadonlySet<string>>;

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

/** The cost of the placement under the view's demand. */
export function placementCost(view: PlacementView, placement: Placement): number {
  const loads = engineLoads(view, placement);
  let cost = 0;
  for (const load of loads.values()) cost += crowding(load);
  const copies = copyCounts(placement);
  for (const model of view.models) {
    const count = copies.get(model.name) ?? 0;
    const demand = view.demand.get(model.name);
    if (count === 0) cost += missing(demand) + (isAtHand(view, model.name) ? 0 : farCost);
    else cost += adapterCost * Math.min(mostAdapters, lackingPlaces(view, demand, count));
  }
  return cost;
}

/**
 * Load per engine, 1 being all of its time, if each model's requests go where they are served soonest: the
 * busiest models first, each one's demand poured over its copies so that they end level.
 */
export function engineLoads(view: PlacementView, placement: Placement): Map<string, number> {
  const loads = new Map<string, number>();
  for (const id of placement.keys()) loads.set(id, 0);
  const order = [...view.demand].filter(([, d]) => d.engineMs > 0);
  // Models with few copies have no choice, so they go first and the others fill in around them.
  const copies = copyCounts(placement);
  order.sort(([a], [b]) => (copies.get(a) ?? 0) - (copies.get(b) ?? 0));
  for (const [name, demand] of order) {
    const holders = [...placement].filter(([, models]) => models.has(name)).map(([id]) => id);
    pour(loads, holders, demand.engineMs / 1000);
  }
  return loads;
}

/** Copies by model. */
function copyCounts(placement: Placement): Map<string, number> {
  const counts = new Map<string, number>();
  for (const models of placement.values()) {
    for (const name of models) counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

/** Raises the lowest of the holders' loads to a common level by `amount` in all. */
function pour(loads: Map<string, number>, holders: string[], amount: number): void {
  const lowestFirst = holders.sort((a, b) => (loads.get(a) ?? 0) - (loads.get(b) ?? 0));
  let sum = amount;
  let filled = 0;
  let level = 0;
  for (const id of lowestFirst) {
    const load = loads.get(id) ?? 0;
    if (filled > 0 && load >= level) break;
    sum += load;
    filled += 1;
    level = sum / filled;
  }
  for (const id of lowestFirst.slice(0, filled)) loads.set(id, level);
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

function isAtHand(view: PlacementView, model: string): boolean {
  return view.engines.some((engine) => engine.atHand.has(model) || engine.models.has(model));
}

function lackingPlaces(view: PlacementView, demand: ModelDemand | undefined, copies: number): number {
  return Math.max(0, (demand?.adapters ?? 0) - copies * view.adapterSlots);
}
