/** Moves every planner makes alike: unload what no template names, and swap old versions for new ones. */
import type { Draft, DraftAccelerator } from "./draft.ts";
import type { Copy, Load, Need, Unload } from "./snapshot.ts";

/** Unloads of copies no template names, and of old versions whose new one has all its copies ready. */
export function retirements(draft: Draft): Unload[] {
  const moves: Unload[] = [];
  for (const accelerator of draft.accelerators) {
    for (const copy of accelerator.copies.filter((c) => c.state === "ready" || c.state === "loading")) {
      const need = draft.need(copy.model);
      if (need === undefined) moves.push(unload(accelerator, copy, "no-template-names-it"));
      else if (copy.version !== need.version && rolledOut(draft, need))
        moves.push(unload(accelerator, copy, "old-version"));
    }
  }
  for (const move of moves) {
    const accelerator = draft.accelerators.find((a) => a.address === move.address);
    if (accelerator !== undefined) draft.remove(accelerator, move.model);
  }
  return moves;
}

/**
 * A swap of an old version in place. Guards "a rollout stalls" (every engine left holds the old version,
 * so none is free for the new one) without breaking "models stay reachable": the swap drops one copy
 * while the new one loads, so it is planned only while a ready copy stays elsewhere. The only copy of a
 * model is swapped when nothing else is left: its requests wait for the load, as for any first copy.
 */
export function swap(draft: Draft, need: Need): Load | undefined {
  for (const accelerator of draft.accelerators.filter((a) => a.loadable)) {
    const old = accelerator.copies.find((copy) => copy.model === need.model);
    if (old === undefined || old.version === need.version || old.state !== "ready") continue;
    if (draft.free(accelerator) + old.sizeMb < need.sizeMb) continue;
    const served = draft.accelerators.some(
      (other) =>
        other !== accelerator && other.copies.some((c) => c.model === need.model && c.state === "ready"),
    );
    if (!served && draft.copies(need.model) > 1) continue;
    const evict = [unload(accelerator, old, "replace-old-version")];
    return { kind: "load", address: accelerator.address, need, evict, reason: "replace-old-version" };
  }
  return undefined;
}

/** An unload move of one copy. */
export function unload(accelerator: DraftAccelerator, copy: Copy, reason: string): Unload {
  return { kind: "unload", address: accelerator.address, model: copy.model, version: copy.version, reason };
}

/** Takes a load into the draft: its evictions leave, its copy is planned. */
export function apply(draft: Draft, move: Load): void {
  const accelerator = draft.accelerators.find((a) => a.address === move.address);
  if (accelerator === undefined) return;
  for (const evicted of move.evict) draft.remove(accelerator, evicted.model);
  draft.add(accelerator, move.need);
}

function rolledOut(draft: Draft, need: Need): boolean {
  const ready = draft.accelerators.filter((accelerator) =>
    accelerator.copies.some(
      (copy) => copy.model === need.model && copy.version === need.version && copy.state === "ready",
    ),
  );
  return ready.length >= need.replicas;
}
