/**
 * Accelerator memory of an engine stand-in: residents and the fencing number of the newest order.
 * Space is reserved before a load starts and freed only once an unload is done.
 */
import { Failure } from "../common/errors.ts";
import type * as protocol from "../common/engineProtocol.ts";

/** What the engine does with an order whose fencing number is older than one it has seen. */
export type FencingPolicy = "refuse" | "ignore";

/** Residents of one accelerator and the orders' fencing numbers. */
export class Memory {
  private readonly residents = new Map<string, protocol.Resident>();
  /** Highest fencing number seen on an order. */
  fencing = 0;

  constructor(
    readonly capacityMb: number,
    private readonly policy: FencingPolicy,
  ) {}

  /** Memory committed to residents (model plus adapters), loading ones included, in MB. */
  get usedMb(): number {
    let used = 0;
    for (const resident of this.residents.values()) used += resident.sizeMb;
    return used;
  }

  /** All residents. */
  list(): protocol.Resident[] {
    return [...this.residents.values()];
  }

  /** The ready resident serving `model`, if any. */
  ready(model: string): protocol.Resident | undefined {
    const resident = this.residents.get(model);
    return resident?.state === "ready" ? resident : undefined;
  }

  /**
   * Reserves space for a load; throws `stale-fencing` (policy `refuse`) or `over-capacity`.
   * Returns false when the same model and version is already there (the order is a repeat).
   */
  reserve(order: protocol.LoadOrder): boolean {
    this.fence(order.fencing);
    const existing = this.residents.get(order.model);
    if (existing?.version === order.version) return false;
    const need = order.sizeMb + sumAdapters(order);
    const freed = existing?.sizeMb ?? 0;
    // Guards "memory committed beyond capacity": the check and the reservation happen in one step on
    // the engine's single thread, so two orders racing cannot both pass it.
    if (this.usedMb - freed + need > this.capacityMb) {
      throw new Failure(
        "over-capacity",
        `${order.model} needs ${need} MB, ${this.capacityMb - this.usedMb} MB free`,
      );
    }
    this.residents.set(order.model, {
      model: order.model,
      version: order.version,
      sizeMb: order.sizeMb + sumAdapters(order),
      adapters: order.adapters.map((adapter) => adapter.name),
      state: "loading",
    });
    return true;
  }

  /** Marks a reserved model ready. */
  markReady(model: string): void {
    const resident = this.residents.get(model);
    if (resident !== undefined) this.residents.set(model, { ...resident, state: "ready" });
  }

  /** Frees a model's space; throws `stale-fencing` under policy `refuse`. */
  release(order: protocol.UnloadOrder): void {
    this.fence(order.fencing);
    this.residents.delete(order.model);
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
