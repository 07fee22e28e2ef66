/**
 * Accelerator memory of an engine stand-in: residents and the highest fencing number of an order. Memory is
 * reserved before a load starts and freed only when nothing uses it any more: not while the weights are being
 * transferred, and not while a stream runs on the model.
 */
import { Failure } from "../common/errors.ts";
import type * as protocol from "../common/engineProtocol.ts";

/** How the engine handles an order with a fencing number lower than the highest it has seen. */
export type FencingPolicy = "refuse" | "ignore";

/** A resident and its use count (load in progress, running streams); its memory is kept while that isn't 0. */
interface Residency {
  resident: protocol.Resident;
  useCount: number;
}

/** Residents of one accelerator and the highest fencing number of their orders. */
export class Memory {
  private readonly residencies = new Map<string, Residency>();
  /** Highest fencing number seen on an order. */
  fencing = 0;
  /** Incremented with every change of the residents. */
  revision = 0;

  constructor(
    readonly capacityMb: number,
    private readonly policy: FencingPolicy,
  ) {}

  /** Memory reserved by residents (model plus adapters), loading and unloading ones included, in MB. */
  get usedMb(): number {
    return this.list().reduce((used, resident) => used + resident.sizeMb, 0);
  }

  /** All residents. */
  list(): protocol.Resident[] {
    return [...this.residencies.values()].map((residency) => residency.resident);
  }

  /** The ready resident serving `model`, if any. */
  ready(model: string): protocol.Resident | undefined {
    const resident = this.residencies.get(model)?.resident;
    return resident?.state === "ready" ? resident : undefined;
  }

  /**
   * Reserves memory for a load and marks it in use by the load. Throws `stale-fencing` (policy `refuse`),
   * `conflict` (another version is resident, or the model is unloading: the load has to be ordered again after
   * the unload) or `over-capacity`. Returns false if the same model and version is already resident.
   */
  reserve(order: protocol.LoadOrder): boolean {
    this.checkFencing(order.fencing);
    const existing = this.residencies.get(order.model)?.resident;
    if (existing?.version === order.version && existing.state !== "unloading") return false;
    if (existing !== undefined) {
      throw new Failure("conflict", `${order.model} ${existing.version} is still ${existing.state} here`);
    }
    const requiredMb = order.sizeMb + adaptersMb(order);
    // The check and the reservation run in one step on the engine's single thread, so concurrent orders cannot
    // both pass the check and over-commit the memory.
    if (this.usedMb + requiredMb > this.capacityMb) {
      throw new Failure(
        "over-capacity",
        `${order.model} needs ${requiredMb} MB, ${this.capacityMb - this.usedMb} MB free`,
      );
    }
    this.revision += 1;
    this.residencies.set(order.model, {
      resident: {
        model: order.model,
        version: order.version,
        sizeMb: requiredMb,
        adapters: order.adapters.map((adapter) => adapter.name),
        state: "loading",
      },
      useCount: 1,
    });
    return true;
  }

  /** Whether `model` is still loading, that is, it wasn't unloaded in the meantime. */
  isLoading(model: string): boolean {
    return this.residencies.get(model)?.resident.state === "loading";
  }

  /** Completes a load: the model becomes ready, or its memory is freed if it was unloaded in the meantime. */
  markReady(model: string): void {
    const residency = this.residencies.get(model);
    if (residency === undefined) return;
    if (residency.resident.state === "loading") this.setState(residency, "ready");
    this.releaseUse(model);
  }

  /** Marks a ready model as used by one more stream; ended by `releaseUse`. */
  acquireUse(model: string): void {
    const residency = this.residencies.get(model);
    if (residency !== undefined) residency.useCount += 1;
  }

  /** Ends one use (a stream or a load); ending the last one frees the memory of an unloading model. */
  releaseUse(model: string): void {
    const residency = this.residencies.get(model);
    if (residency === undefined) return;
    residency.useCount -= 1;
    this.freeUnused(model, residency);
  }

  /**
   * Unloads a model: no new stream starts on it. Throws `stale-fencing` under policy `refuse`.
   *
   * The memory of a model with running streams or a weight transfer is still in use; freeing it at the order
   * would let the next load over-commit the accelerator. It counts as reserved until the last use ends, so no
   * stream is interrupted either.
   */
  unload(order: protocol.UnloadOrder): void {
    this.checkFencing(order.fencing);
    const residency = this.residencies.get(order.model);
    if (residency === undefined) return;
    this.setState(residency, "unloading");
    this.freeUnused(order.model, residency);
  }

  private freeUnused(model: string, residency: Residency): void {
    if (residency.resident.state !== "unloading" || residency.useCount > 0) return;
    this.revision += 1;
    this.residencies.delete(model);
  }

  private setState(residency: Residency, state: protocol.Resident["state"]): void {
    this.revision += 1;
    residency.resident = { ...residency.resident, state };
  }

  private checkFencing(fencing: number): void {
    if (fencing < this.fencing && this.policy === "refuse") {
      throw new Failure("stale-fencing", `order carries fencing ${fencing}, engine has seen ${this.fencing}`);
    }
    this.fencing = Math.max(this.fencing, fencing);
  }
}

function adaptersMb(order: protocol.LoadOrder): number {
  return order.adapters.reduce((sum, adapter) => sum + adapter.sizeMb, 0);
}
