/** Moves common to all planners: unloading models that no template names, and replacing old versions. */
import type { Draft, DraftAccelerator } from "./draft.ts";
import type { Replica, Load, Need, Unload } from "./snapshot.ts";

/** Unloads of models that no template names, and of old versions once all replicas of the new one are ready. */
export function obsoleteUnloads(draft: Draft): Unload[] {
  const moves: Unload[] = [];
  for (const accelerator of draft.accelerators) {
    for (const replica of accelerator.residents.filter((c) => c.state === "ready" || c.state === "loading")) {
      const need = draft.need(replica.model);
      if (need === undefined) moves.push(unload(accelerator, replica, "no-template-names-it"));
      else if (replica.version !== need.version && isRolledOut(draft, need))
        moves.push(unload(accelerator, replica, "old-version"));
    }
  }
  for (const move of moves) {
    const accelerator = draft.accelerators.find((a) => a.address === move.address);
    if (accelerator !== undefined) draft.remove(accelerator, move.model);
  }
  return moves;
}

/**
 * In-place replacement of an old version. A rollout would stall if every remaining engine holds the old version, as
 * an engine with a replica of a model accepts no other one. The replacement removes one replica while the new one
 * loads, so it is planned only while another ready replica keeps the model reachable. A model's only replica is
 * replaced if nothing else is possible: its requests wait for the load, as for any first replica.
 */
export function replaceOldVersion(draft: Draft, need: Need): Load | undefined {
  for (const accelerator of draft.accelerators.filter((a) => a.loadable)) {
    const old = accelerator.residents.find((replica) => replica.model === need.model);
    if (old === undefined || old.version === need.version || old.state !== "ready") continue;
    if (draft.freeMb(accelerator) + old.sizeMb < need.sizeMb) continue;
    const reachable = draft.accelerators.some(
      (other) =>
        other !== accelerator && other.residents.some((c) => c.model === need.model && c.state === "ready"),
    );
    if (!reachable && draft.replicaCount(need.model) > 1) continue;
    const evict = [unload(accelerator, old, "replace-old-version")];
    return { kind: "load", address: accelerator.address, need, evict, reason: "replace-old-version" };
  }
  return undefined;
}

/** An unload move of one replica. */
export function unload(accelerator: DraftAccelerator, replica: Replica, reason: string): Unload {
  return {
    kind: "unload",
    address: accelerator.address,
    model: replica.model,
    version: replica.version,
    reason,
  };
}

/** Applies a load to the draft: removes its evictions and adds the planned replica. */
export function applyLoad(draft: Draft, move: Load): void {
  const accelerator = draft.accelerators.find((a) => a.address === move.address);
  if (accelerator === undefined) return;
  for (const evicted of move.evict) draft.remove(accelerator, evicted.model);
  draft.add(accelerator, move.need);
}

function isRolledOut(draft: Draft, need: Need): boolean {
  const ready = draft.accelerators.filter((accelerator) =>
    accelerator.residents.some(
      (replica) =>
        replica.model === need.model && replica.version === need.version && replica.state === "ready",
    ),
  );
  return ready.length >= need.replicas;
}
