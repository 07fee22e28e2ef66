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
  /** Cost of one move in stream-seconds, at moveWeight 0 and per unit of moveWeight. */
  readonly moveCost?: number;
  readonly moveCostPerWeight?: number;
  /** A copy younger than this is not evicted, in ms. */
  readonly minStayMs?: number;
}

const defaults = {
  targetUse: 0.75,
  horizonSeconds: 15,
  moveCost: 2,
  moveCostPerWeight: 20,
  minStayMs: 4000,
};
type Options = typeof defaults;

/** How much more a waiting model must be worth than the last copies it pushes out. */
const evictMargin = 1.2;

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
  for (const need of byUrgency(snapshot.needs)) {
    if (loads <= 0) return moves;
    if (draft.holders(need.model).length === 0) take(firstCopy(draft, need, options));
  }
  for (const need of snapshot.needs) {
    while (loads > 0 && draft.current(need) < need.replicas)
      if (!take(roomFor(draft, need, "keep-replicas") ?? swap(draft, need))) break;
  }
  while (loads > 0 && take(furtherCopy(draft, options)));
  return moves;
}

/** Models with requests waiting come first, then by what they are worth. */
function byUrgency(needs: readonly Need[]): Need[] {
  return [...needs].sort((a, b) => b.waiting - a.waiting || worth(b) - worth(a));
}

/** A first copy: where there is room, else in place of spare copies, else of the copies least worth keeping. */
function firstCopy(draft: Draft, need: Need, options: Options): Load | undefined {
  const room = roomFor(draft, need, "first-copy");
  if (room !== undefined) return room;
  const candidates = loadable(draft, need)
    .map((accelerator) => ({ accelerator, victims: victims(draft, accelerator, need, options, true) }))
    .filter((c) => c.victims !== undefined)
    .map((c) => ({ ...c, cost: sum(c.victims ?? [], (copy) => keepValue(draft, copy)) }))
    .sort((a, b) => a.cost - b.cost);
  const best = candidates[0];
  if (best === undefined) return undefined;
  // An idle model waits for room instead of pushing another out: evicting for it would only swap which
  // of two idle models is away, for two moves.
  const gain = need.waiting > 0 ? need.weight * (need.waiting + need.demand + need.usual) : 0;
  if (gain <= best.cost * evictMargin) return undefined;
  return replacing(best.accelerator, need, best.victims ?? [], "first-copy");
}

/** The engine with room for `need` that expects the least load per slot. */
function roomFor(draft: Draft, need: Need, reason: string): Load | undefined {
  const loads = draft.expectedLoads();
  const fits = loadable(draft, need)
    .filter((accelerator) => draft.free(accelerator) >= need.sizeMb)
    .sort((a, b) => use(a, loads) - use(b, loads) || draft.free(b) - draft.free(a));
  return fits[0] === undefined ? undefined : replacing(fits[0], need, [], reason);
}

/** One more copy of the model whose engines are most over their target, if it pays for its moves. */
function furtherCopy(draft: Draft, options: Options): Load | undefined {
  const loads = draft.expectedLoads();
  const before = loss(draft, loads, options);
  let best: { load: Load; net: number } | undefined;
  for (const need of draft.snapshot.needs) {
    const holders = draft.holders(need.model);
    if (holders.length === 0 || holders.every((h) => use(h, loads) < options.targetUse)) continue;
    // Copies on their way count before more are ordered: load seen now was there before they were.
    if (holders.some((h) => h.copies.some((c) => c.model === need.model && c.state !== "ready"))) continue;
    for (const accelerator of loadable(draft, need)) {
      if (use(accelerator, loads) >= options.targetUse) continue;
      const evicted = victims(draft, accelerator, need, options, false);
      if (evicted === undefined) continue;
      const load = replacing(accelerator, need, evicted, "demand");
      const gain = before - lossAfter(draft, accelerator, load, options);
      const cost =
        (1 + evicted.length) * (options.moveCost + options.moveCostPerWeight * need.moveWeight) +
        sum(evicted, (copy) => keepValue(draft, copy)) * options.horizonSeconds;
      const net = need.weight * gain * options.horizonSeconds - cost;
      if (net > (best?.net ?? 0)) best = { load, net };
    }
  }
  return best?.load;
}

/** Engines that may get a copy of `need` and hold none. */
function loadable(draft: Draft, need: Need): DraftAccelerator[] {
  return draft.accelerators.filter((a) => a.loadable && !a.copies.some((c) => c.model === need.model));
}

/**
 * Copies to evict from an engine so that `need` fits, the least worth keeping first; undefined if none
 * will do. Last copies are taken only for a model that has no copy at all (`last`): a further copy of
 * one model never makes another unreachable.
 */
function victims(
  draft: Draft,
  accelerator: DraftAccelerator,
  need: Need,
  options: Options,
  last: boolean,
): Copy[] | undefined {
  let missing = need.sizeMb - draft.free(accelerator);
  const chosen: Copy[] = [];
  const candidates = accelerator.copies
    .filter((copy) => copy.state === "ready" && draft.snapshot.now - copy.since >= options.minStayMs)
    .filter((copy) => last || spare(draft, copy))
    .sort((a, b) => keepValue(draft, a) / a.sizeMb - keepValue(draft, b) / b.sizeMb);
  for (const copy of candidates) {
    if (missing <= 0) break;
    chosen.push(copy);
    missing -= copy.sizeMb;
  }
  return missing > 0 ? undefined : chosen;
}

/** Whether the model keeps its asked-for copies without this one. */
function spare(draft: Draft, copy: Copy): boolean {
  const need = draft.need(copy.model);
  return need === undefined || draft.holders(copy.model).length > need.replicas;
}

/** What keeping this copy is worth, in weighted streams at once. */
function keepValue(draft: Draft, copy: Copy): number {
  const need = draft.need(copy.model);
  if (need === undefined) return 0;
  const holders = draft.holders(copy.model).length;
  return holders > 1 ? worth(need) / (holders * holders) : worth(need);
}

function worth(need: Need): number {
  return need.weight * Math.max(need.demand, need.usual);
}

/** Streams that wait or slow each other down: past the target use, and by crowding in general. */
function loss(draft: Draft, loads: ReadonlyMap<DraftAccelerator, number>, options: Options): number {
  return sum(draft.accelerators, (accelerator) => {
    const load = loads.get(accelerator) ?? 0;
    return Math.max(0, load - options.targetUse * accelerator.slots);
  });
}

function lossAfter(draft: Draft, accelerator: DraftAccelerator, load: Load, options: Options): number {
  const held = accelerator.copies;
  apply(draft, load);
  const after = loss(draft, draft.expectedLoads(), options);
  accelerator.copies = held;
  return after;
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
