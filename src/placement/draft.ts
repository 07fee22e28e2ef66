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

  constructor(readonly snapshot: Snapshot) {
    this.accelerators = snapshot.accelerators.map((accelerator) => ({
      ...accelerator,
      copies: [...accelerator.copies],
    }));
    this.needs = new Map(snapshot.needs.map((need) => [need.model, need]));
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
    return this.accelerators.filter((accelerator) => accelerator.copies.some((c) => serves(c, model)));
  }

  /** Copies of a need's current version that serve or will serve. */
  current(need: Need): number {
    return this.accelerators.filter((accelerator) =>
      accelerator.copies.some((copy) => serves(copy, need.model) && copy.version === need.version),
    ).length;
  }

  /** Adds a planned copy of `need`. */
  add(accelerator: DraftAccelerator, need: Need): void {
    accelerator.copies.push({
      model: need.model,
      version: need.version,
      sizeMb: need.sizeMb,
      state: "planned",
      since: this.snapshot.now,
    });
  }

  /** Removes a model's copy, as if its unload were done. */
  remove(accelerator: DraftAccelerator, model: string): void {
    accelerator.copies = accelerator.copies.filter((copy) => copy.model !== model);
  }

  /** Expected streams at once on each accelerator, splitting a model's demand evenly over its copies. */
  expectedLoads(): Map<DraftAccelerator, number> {
    const copies = new Map<string, number>();
    for (const accelerator of this.accelerators)
      for (const copy of accelerator.copies)
        if (copy.state !== "unloading") copies.set(copy.model, (copies.get(copy.model) ?? 0) + 1);
    return new Map(
      this.accelerators.map((accelerator) => [
        accelerator,
        accelerator.copies.reduce((load, copy) => {
          const count = copy.state === "unloading" ? 0 : (copies.get(copy.model) ?? 0);
          return count === 0 ? load : load + (this.need(copy.model)?.demand ?? 0) / count;
        }, 0),
      ]),
    );
  }
}

function serves(copy: Copy, model: string): boolean {
  return copy.model === model && copy.state !== "unloading";
}
