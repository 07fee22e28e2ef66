/** The baselines the bench compares against: a static even placement, and least-recently-used eviction. */
import { Draft, type DraftAccelerator } from "./draft.ts";
import type { Copy, Load, Move, Need, Snapshot } from "./snapshot.ts";
import { apply, retirements, swap, unload } from "./upkeep.ts";

/** Spreads copies evenly in template order until memory is full, then never moves them. */
export function staticPlanner(snapshot: Snapshot): Move[] {
  const draft = new Draft(snapshot);
  const moves: Move[] = retirements(draft);
  const smallest = Math.min(...snapshot.needs.map((need) => need.sizeMb));
  if (draft.accelerators.every((accelerator) => draft.free(accelerator) < smallest)) return moves;
  const most = Math.max(1, ...snapshot.needs.map((need) => need.replicas));
  for (let copies = 1; copies <= most; copies += 1) {
    for (const need of snapshot.needs) {
      if (moves.length >= snapshot.loads) return moves;
      if (draft.current(need) >= Math.min(copies, need.replicas)) continue;
      const load = emptiest(draft, need) ?? swap(draft, need);
      if (load === undefined) continue;
      apply(draft, load);
      moves.push(load);
    }
  }
  return moves;
}

/** Loads a model when a request waits for it, in place of the least recently used ones. */
export function lruPlanner(snapshot: Snapshot): Move[] {
  const draft = new Draft(snapshot);
  const moves: Move[] = retirements(draft);
  let loads = snapshot.loads;
  for (const need of snapshot.needs) {
    const wanted = draft.copies(need.model) === 0 && need.waiting > 0;
    const keep = draft.current(need) < need.replicas;
    if (loads <= 0 || (!wanted && !keep)) continue;
    const load =
      emptiest(draft, need) ?? swap(draft, need) ?? (wanted ? evictOldest(draft, need) : undefined);
    if (load === undefined) continue;
    apply(draft, load);
    moves.push(load);
    loads -= 1;
  }
  return moves;
}

function emptiest(draft: Draft, need: Need): Load | undefined {
  const fits = draft
    .loadable(need)
    .filter((accelerator) => draft.free(accelerator) >= need.sizeMb)
    .sort((a, b) => draft.free(b) - draft.free(a));
  const first = fits[0];
  if (first === undefined) return undefined;
  return { kind: "load", address: first.address, need, evict: [], reason: "most-free-memory" };
}

function evictOldest(draft: Draft, need: Need): Load | undefined {
  const choices = draft
    .loadable(need)
    .map((accelerator) => ({ accelerator, evicted: oldestThatFit(draft, accelerator, need) }))
    .flatMap(({ accelerator, evicted }) => (evicted === undefined ? [] : [{ accelerator, evicted }]))
    .sort((a, b) => newestUse(draft, a.evicted) - newestUse(draft, b.evicted));
  const best = choices[0];
  if (best === undefined) return undefined;
  const evict = best.evicted.map((copy) => unload(best.accelerator, copy, "least-recently-used"));
  return { kind: "load", address: best.accelerator.address, need, evict, reason: "miss" };
}

function oldestThatFit(draft: Draft, accelerator: DraftAccelerator, need: Need): Copy[] | undefined {
  const byUse = accelerator.copies
    .filter((copy) => copy.state === "ready")
    .sort((a, b) => lastUse(draft, a) - lastUse(draft, b));
  return draft.makeRoom(accelerator, need, byUse);
}

function lastUse(draft: Draft, copy: Copy): number {
  return draft.need(copy.model)?.lastUsed ?? 0;
}

function newestUse(draft: Draft, copies: readonly Copy[]): number {
  return Math.max(...copies.map((copy) => lastUse(draft, copy)));
}
