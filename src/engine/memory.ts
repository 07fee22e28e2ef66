/**
 * Accelerator memory of an engine stand-in: residents and the fencing number of the newest order.
 * Space is reserved before a load starts and freed only once nothing uses it any more: not while the
 * weights still arrive, and not while a stream still runs on the model.
 */
import { Failure } from "../common/errors.ts";
import type * as protocol from "../common/engineProtocol.ts";

/** What the engine does with an order whose fencing number is older than one it has seen. */
export type FencingPolicy = "refuse" | "ignore";

/** A resident and the number of holders (its load in progress, its running streams) that keep its space. */
interface Slot {
  resident: protocol.Resident;
  holders: number;
}

/** Residents of one accelerator and the orders' fencing numbers. */
export class Memory {
  private readonly slots = new Map<string, Slot>();
  /** Highest fencing number seen on an order. */
  fencing = 0;
  /** Rises with every change of the residents. */
  revision = 0;

  constructor(
    readonly capacityMb: number,
    private readonly policy: FencingPolicy,
  ) {}

  /** Memory committed to residents (model plus adapters), loading and unloading ones included, in MB. */
  get usedMb(): number {
    return this.list().reduce((used, resident) => used + resident.sizeMb, 0);
  }

  /** All residents. */
  list(): protocol.Resident[] {
    return [...this.slots.values()].map((slot) => slot.resident);
  }

  /** The ready resident serving `model`, if any. */
  ready(model: string): protocol.Resident | undefined {
    const resident = this.slots.get(model)?.resident;
    return resident?.state === "ready" ? resident : undefined;
  }

  /**
   * Reserves space for a load and holds it for the load; throws `stale-fencing` (policy `refuse`),
   * `conflict` (another version is there, or the model is on its way out: unload first, then order
   * again) or `over-capacity`. Returns false when the same model and version is already there.
   */
  reserve(order: protocol.LoadOrder): boolean {
    this.fence(order.fencing);
    const existing = this.slots.get(order.model)?.resident;
    if (existing?.version === order.version && existing.state !== "unloading") return false;
    if (existing !== undefined) {
      throw new Failure("conflict", `${order.model} ${existing.version} is still ${existing.state} here`);
    }
    const need = order.sizeMb + sumAdapters(order);
    // Guards "memory committed beyond capacity": the check and the reservation happen in one step on
    // the engine's single thread, so two orders racing cannot both pass it.
    if (this.usedMb + need > this.capacityMb) {
      throw new Failure(
        "over-capacity",
        `${order.model} needs ${need} MB, ${this.capacityMb - this.usedMb} MB free`,
      );
    }
    this.revision += 1;
    this.slots.set(order.model, {
      resident: {
        model: order.model,
        version: order.version,
        sizeMb: need,
        adapters: order.adapters.map((adapter) => adapter.name),
        state: "loading",
      },
      holders: 1,
    });
    return true;
  }

  /** Whether the load of `model` is still wanted (it was not unloaded meanwhile). */
  wanted(model: string): boolean {
    return this.slots.get(model)?.resident.state === "loading";
  }

  /** Ends a load: the model becomes ready, or its space is freed if it was unloaded meanwhile. */
  markReady(model: string): void {
    const slot = this.slots.get(model);
    if (slot === undefined) return;
    if (slot.resident.state === "loading") this.move(slot, "ready");
    this.drop(model);
  }

  /** Takes a ready model into use by one stream; `drop` ends the use. */
  hold(model: string): void {
    const slot = this.slots.get(model);
    if (slot !== undefined) slot.holders += 1;
  }

  /** Ends one use (a stream or a load); the last one frees a model that is being unloaded. */
  drop(model: string): void {
    const slot = this.slots.get(model);
    if (slot === undefined) return;
    slot.holders -= 1;
    this.freeUnused(model, slot);
  }

  /**
   * Unloads a model: no new stream starts on it from now on. Throws `stale-fencing` under policy `refuse`.
   *
   * Guards "memory over capacity while models change": the space of a model whose streams still run (or
   * whose weights still arrive) is in use; freeing it at the order would let the next load be committed
   * on top of it. It is counted until the last holder is done, so no request is cut either.
   */
  release(order: protocol.UnloadOrder): void {
    this.fence(order.fencing);
    const slot = this.slots.get(order.model);
    if (slot === undefined) return;
    this.move(slot, "unloading");
    this.freeUnused(order.model, slot);
  }

  private freeUnused(model: string, slot: Slot): void {
    if (slot.resident.state !== "unloading" || slot.holders > 0) return;
    this.revision += 1;
    this.slots.delete(model);
  }

  private move(slot: Slot, state: protocol.Resident["state"]): void {
    this.revision += 1;
    slot.resident = { ...slot.resident, state };
  }

  private fence(fencing: number): void {
    if (fencing < this.fencing && this.policy === "refuse") {
      throw new Failure("stale-fencing", `order carries fencing ${fencing}, engine has seen ${this.fencing}`);
    }
    this.fencing = Math.max(this.fencing, fencing);
  }
}

function sumAdapters(order: protocol.LoadOrder): number {
  return order.adapters.reduce((sum, adapter) => sum + adapter.sizeMb, 0);
}
