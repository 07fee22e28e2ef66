/** A working copy of a snapshot that moves are tried on while planning. */
import type { Accelerator, Copy, Need, Snapshot } from "./snapshot.ts";

/** An accelerator whose copies change while planning. */
export interface DraftAccelerator extends Omit<Accelerator, "copies"> {
  copies: Copy[];
}

/** Mutable view of the pool: free memory, copies and expected load after the moves so far. */
export class Draft {
  readonly accelerators: DraftAccelerator[];
  private readonly needs: ReadonlyMap<string, Need>;
  /** Accelerators with a serving copy, by model; kept in step with their copies. */
  private readonly holding = new Map<string, Set<DraftAccelerator>>();

  constructor(readonly snapshot: Snapshot) {
    this.accelerators = snapshot.accelerators.map((accelerator) => ({
      ...accelerator,
      copies: [...accelerator.copies],
    }));
    for (const accelerator of this.accelerators)
      for (const copy of accelerator.copies) this.index(accelerator, copy);
    this.needs = new Map(snapshot.needs.map((need) => [need.model, need]));
  }

  /** Whether the pool cannot hold one copy of every model. */
  get crowded(): boolean {
    const capacityMb = this.accelerators.reduce((total, a) => total + a.capacityMb, 0);
    return this.snapshot.needs.reduce((total, need) => total + need.sizeMb, 0) > capacityMb;
  }

  /** The need of `model`, if a template names it. */
  need(model: string): Need | undefined {
    return this.needs.get(model);
  }

  /** Memory not committed to any copy, in MB. */
  free(accelerator: DraftAccelerator): number {
    return accelerator.copies.reduce((free, copy) => free - copy.sizeMb, accelerator.capacityMb);
  }

  /** Accelerators holding a copy of `model` that serves or will serve (any version). */
  holders(model: string): DraftAccelerator[] {
    return [...(this.holding.get(model) ?? [])];
  }

  /** How many copies of `model` serve or will serve (any version). */
  copies(model: string): number {
    return this.holding.get(model)?.size ?? 0;
  }

  /** Copies of a need's current version that serve or will serve. */
  current(need: Need): number {
    return this.holders(need.model).filter((accelerator) =>
      accelerator.copies.some((copy) => serves(copy, need.model) && copy.version === need.version),
    ).length;
  }

  /** Accelerators that may get a copy of `need` and hold none. */
  loadable(need: Need): DraftAccelerator[] {
    return this.accelerators.filter((a) => a.loadable && !a.copies.some((c) => c.model === need.model));
  }

  /** The first of `candidates` (copies on `accelerator`) that together make room for `need`; undefined if all do not. */
  makeRoom(accelerator: DraftAccelerator, need: Need, candidates: readonly Copy[]): Copy[] | undefined {
    let missing = need.sizeMb - this.free(accelerator);
    const chosen: Copy[] = [];
    for (const copy of candidates) {
      if (missing <= 0) break;
      chosen.push(copy);
      missing -= copy.sizeMb;
    }
    return missing > 0 ? undefined : chosen;
  }

  /** Adds a planned copy of `need`. */
  add(accelerator: DraftAccelerator, need: Need): void {
    const { model, version, sizeMb } = need;
    const copy: Copy = { model, version, sizeMb, state: "planned", since: this.snapshot.now };
    accelerator.copies = [...accelerator.copies, copy];
    this.index(accelerator, copy);
  }

  /** Removes a model's copy, as if its unload were done; returns it. */
  remove(accelerator: DraftAccelerator, model: string): Copy | undefined {
    const copy = accelerator.copies.find((c) => c.model === model);
    if (copy === undefined) return undefined;
    accelerator.copies = accelerator.copies.filter((c) => c !== copy);
    this.holding.get(model)?.delete(accelerator);
    return copy;
  }

  /** Expected streams at once on each accelerator, splitting a model's demand evenly over its copies. */
  expectedLoads(): Map<DraftAccelerator, number> {
    return new Map(
      this.accelerators.map((accelerator) => [
        accelerator,
        accelerator.copies.reduce((load, copy) => {
          if (copy.state === "unloading") return load;
          return load + (this.need(copy.model)?.demand ?? 0) / this.copies(copy.model);
        }, 0),
      ]),
    );
  }

  private index(accelerator: DraftAccelerator, copy: Copy): void {
    if (copy.state === "unloading") return;
    const holders = this.holding.get(copy.model) ?? new Set();
    holders.add(accelerator);
    this.holding.set(copy.model, holders);
  }
}

function serves(copy: Copy, model: string): boolean {
  return copy.model === model && copy.state !== "unloading";
}
