/** A mutable copy of a snapshot to which planned moves are applied. */
import type { Accelerator, Replica, Need, Snapshot } from "./snapshot.ts";

/** An accelerator whose replicas change during planning. */
export interface DraftAccelerator extends Omit<Accelerator, "residents"> {
  residents: Replica[];
}

/** Mutable view of the pool: free memory, replicas and expected streams after the moves applied so far. */
export class Draft {
  readonly accelerators: DraftAccelerator[];
  private readonly needs: ReadonlyMap<string, Need>;
  /** Accelerators with a serving or pending replica, by model; updated with their residents. */
  private readonly acceleratorsByModel = new Map<string, Set<DraftAccelerator>>();

  constructor(readonly snapshot: Snapshot) {
    this.accelerators = snapshot.accelerators.map((accelerator) => ({
      ...accelerator,
      residents: [...accelerator.residents],
    }));
    for (const accelerator of this.accelerators)
      for (const replica of accelerator.residents) this.index(accelerator, replica);
    this.needs = new Map(snapshot.needs.map((need) => [need.model, need]));
  }

  /** Whether the pool cannot hold one replica of every model. */
  get overcommitted(): boolean {
    const capacityMb = this.accelerators.reduce((total, a) => total + a.capacityMb, 0);
    return this.snapshot.needs.reduce((total, need) => total + need.sizeMb, 0) > capacityMb;
  }

  /** The need of `model`, if any template names it. */
  need(model: string): Need | undefined {
    return this.needs.get(model);
  }

  /** Memory not reserved by any replica, in MB. */
  freeMb(accelerator: DraftAccelerator): number {
    return accelerator.residents.reduce((free, replica) => free - replica.sizeMb, accelerator.capacityMb);
  }

  /** Accelerators with a replica of `model` that serves or will serve (any version). */
  holders(model: string): DraftAccelerator[] {
    return [...(this.acceleratorsByModel.get(model) ?? [])];
  }

  /** Number of replicas of `model` that serve or will serve (any version). */
  replicaCount(model: string): number {
    return this.acceleratorsByModel.get(model)?.size ?? 0;
  }

  /** Number of replicas of a need's current version that serve or will serve. */
  currentVersionCount(need: Need): number {
    return this.holders(need.model).filter((accelerator) =>
      accelerator.residents.some(
        (replica) => isServing(replica, need.model) && replica.version === need.version,
      ),
    ).length;
  }

  /** Accelerators that accept loads and have no replica of the model. */
  loadable(need: Need): DraftAccelerator[] {
    return this.accelerators.filter((a) => a.loadable && !a.residents.some((c) => c.model === need.model));
  }

  /**
   * The first of `candidates` (replicas on `accelerator`) that together free enough memory for `need`; undefined if
   * all of them together don't.
   */
  selectEvictions(
    accelerator: DraftAccelerator,
    need: Need,
    candidates: readonly Replica[],
  ): Replica[] | undefined {
    let missing = need.sizeMb - this.freeMb(accelerator);
    const chosen: Replica[] = [];
    for (const replica of candidates) {
      if (missing <= 0) break;
      chosen.push(replica);
      missing -= replica.sizeMb;
    }
    return missing > 0 ? undefined : chosen;
  }

  /** Adds a planned replica of `need`. */
  add(accelerator: DraftAccelerator, need: Need): void {
    const { model, version, sizeMb } = need;
    const replica: Replica = { model, version, sizeMb, state: "planned", since: this.snapshot.now };
    accelerator.residents = [...accelerator.residents, replica];
    this.index(accelerator, replica);
  }

  /** Removes a model's replica, as if its unload were complete; returns it. */
  remove(accelerator: DraftAccelerator, model: string): Replica | undefined {
    const replica = accelerator.residents.find((c) => c.model === model);
    if (replica === undefined) return undefined;
    accelerator.residents = accelerator.residents.filter((c) => c !== replica);
    this.acceleratorsByModel.get(model)?.delete(accelerator);
    return replica;
  }

  /** Expected concurrent streams on each accelerator, with a model's demand split evenly over its replicas. */
  expectedStreams(): Map<DraftAccelerator, number> {
    return new Map(
      this.accelerators.map((accelerator) => [
        accelerator,
        accelerator.residents.reduce((load, replica) => {
          if (replica.state === "unloading") return load;
          return load + (this.need(replica.model)?.demand ?? 0) / this.replicaCount(replica.model);
        }, 0),
      ]),
    );
  }

  private index(accelerator: DraftAccelerator, replica: Replica): void {
    if (replica.state === "unloading") return;
    const holders = this.acceleratorsByModel.get(replica.model) ?? new Set();
    holders.add(accelerator);
    this.acceleratorsByModel.set(replica.model, holders);
  }
}

function isServing(replica: Replica, model: string): boolean {
  return replica.model === model && replica.state !== "unloading";
}
