/** Baseline planners for the benchmark: a static even placement, and least-recently-used eviction. */
import { Draft, type DraftAccelerator } from "./draft.ts";
import type { Replica, Load, Move, Need, Snapshot } from "./snapshot.ts";
import { applyLoad, obsoleteUnloads, replaceOldVersion, unload } from "./upkeep.ts";

/** Spreads replicas evenly in template order until memory is full, and never moves them afterwards. */
export function staticPlanner(snapshot: Snapshot): Move[] {
  const draft = new Draft(snapshot);
  const moves: Move[] = obsoleteUnloads(draft);
  const smallest = Math.min(...snapshot.needs.map((need) => need.sizeMb));
  if (draft.accelerators.every((accelerator) => draft.freeMb(accelerator) < smallest)) return moves;
  const maxReplicas = Math.max(1, ...snapshot.needs.map((need) => need.replicas));
  for (let replicas = 1; replicas <= maxReplicas; replicas += 1) {
    for (const need of snapshot.needs) {
      if (moves.length >= snapshot.maxLoads) return moves;
      if (draft.currentVersionCount(need) >= Math.min(replicas, need.replicas)) continue;
      const load = loadIntoMostFreeMemory(draft, need) ?? replaceOldVersion(draft, need);
      if (load === undefined) continue;
      applyLoad(draft, load);
      moves.push(load);
    }
  }
  return moves;
}

/** Loads a model when a request waits for it, evicting the least recently used models. */
export function lruPlanner(snapshot: Snapshot): Move[] {
  const draft = new Draft(snapshot);
  const moves: Move[] = obsoleteUnloads(draft);
  let remainingLoads = snapshot.maxLoads;
  for (const need of snapshot.needs) {
    const wanted = draft.replicaCount(need.model) === 0 && need.waiting > 0;
    const keep = draft.currentVersionCount(need) < need.replicas;
    if (remainingLoads <= 0 || (!wanted && !keep)) continue;
    const load =
      loadIntoMostFreeMemory(draft, need) ??
      replaceOldVersion(draft, need) ??
      (wanted ? loadEvictingLru(draft, need) : undefined);
    if (load === undefined) continue;
    applyLoad(draft, load);
    moves.push(load);
    remainingLoads -= 1;
  }
  return moves;
}

function loadIntoMostFreeMemory(draft: Draft, need: Need): Load | undefined {
  const fits = draft
    .loadable(need)
    .filter((accelerator) => draft.freeMb(accelerator) >= need.sizeMb)
    .sort((a, b) => draft.freeMb(b) - draft.freeMb(a));
  const first = fits[0];
  if (first === undefined) return undefined;
  return { kind: "load", address: first.address, need, evict: [], reason: "most-free-memory" };
}

function loadEvictingLru(draft: Draft, need: Need): Load | undefined {
  const choices = draft
    .loadable(need)
    .map((accelerator) => ({ accelerator, evicted: lruVictims(draft, accelerator, need) }))
    .flatMap(({ accelerator, evicted }) => (evicted === undefined ? [] : [{ accelerator, evicted }]))
    .sort((a, b) => lastUseOfAny(draft, a.evicted) - lastUseOfAny(draft, b.evicted));
  const best = choices[0];
  if (best === undefined) return undefined;
  const evict = best.evicted.map((replica) => unload(best.accelerator, replica, "least-recently-used"));
  return { kind: "load", address: best.accelerator.address, need, evict, reason: "miss" };
}

function lruVictims(draft: Draft, accelerator: DraftAccelerator, need: Need): Replica[] | undefined {
  const byUse = accelerator.residents
    .filter((replica) => replica.state === "ready")
    .sort((a, b) => lastUse(draft, a) - lastUse(draft, b));
  return draft.selectEvictions(accelerator, need, byUse);
}

function lastUse(draft: Draft, replica: Replica): number {
  return draft.need(replica.model)?.lastUsed ?? 0;
}

function lastUseOfAny(draft: Draft, replicas: readonly Replica[]): number {
  return Math.max(...replicas.map((replica) => lastUse(draft, replica)));
}
