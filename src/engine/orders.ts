/** Carries out the orders an engine stand-in gets (load, unload), with the tests' switch to hold or lose them. */
import { setTimeout as sleep } from "node:timers/promises";
import * as Schema from "effect/Schema";
import type * as protocol from "../common/engineProtocol.ts";
import { Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { PlatformClient } from "../common/platformClient.ts";
import type { Memory } from "./memory.ts";

/** Pause before an engine asks the weight store again after a refusal or a failure, in ms. */
const weightsRetryMs = 200;

/**
 * Fault switch for tests: the next `lateOrders` orders are held `delayMs` (past the sender's timeout),
 * then applied late, or with `lose` never applied at all.
 */
export const OrderFaults = Schema.Struct({
  lateOrders: Schema.Number,
  delayMs: Schema.Number,
  lose: Schema.Boolean,
});
/** Decoded order faults. */
export type OrderFaults = typeof OrderFaults.Type;

/** Options of `Orders`. */
export interface OrdersOptions {
  readonly memory: Memory;
  readonly log: Log;
  /** Where weights come from; without it a load takes `loadMs` only. */
  readonly platform: PlatformClient | undefined;
  /** Extra time a load takes after the weights arrive, in ms. */
  readonly loadMs: number;
}

/** Applies orders to the accelerator's memory. */
export class Orders {
  /** The fault switch. */
  faults: OrderFaults = { lateOrders: 0, delayMs: 0, lose: false };
  private disposed = false;

  constructor(private readonly options: OrdersOptions) {}

  /** Reserves the space and returns at once; the weights arrive in the background. */
  async load(order: protocol.LoadOrder): Promise<void> {
    await this.delay();
    const { memory, log } = this.options;
    if (!memory.reserve(order)) return;
    log.info({ event: "load", model: order.model, version: order.version, fencing: order.fencing });
    void this.fetch(order);
  }

  /** Takes a model out of use; its space is freed with its last stream. */
  async unload(order: protocol.UnloadOrder): Promise<void> {
    await this.delay();
    this.options.memory.release(order);
    this.options.log.info({ event: "unload", model: order.model, fencing: order.fencing });
  }

  /** Ends loads that still wait for the weight store. */
  dispose(): void {
    this.disposed = true;
  }

  /**
   * Fetches the weights until they are here or the model is unloaded again: the weight store is limited
   * in rate and may be down, and both pass. The reservation ends with the fetch, not with a later order.
   */
  private async fetch(order: protocol.LoadOrder): Promise<void> {
    const { memory, log, platform, loadMs } = this.options;
    while (memory.wanted(order.model) && !this.disposed) {
      try {
        await platform?.fetchWeights(order.sizeMb);
        await sleep(loadMs);
        break;
      } catch (error) {
        log.warn({ event: "weights-retry", model: order.model, error: String(error) });
        await sleep(weightsRetryMs);
      }
    }
    memory.markReady(order.model);
  }

  private async delay(): Promise<void> {
    if (this.faults.lateOrders <= 0) return;
    this.faults = { ...this.faults, lateOrders: this.faults.lateOrders - 1 };
    const { delayMs, lose } = this.faults;
    await sleep(delayMs);
    if (lose) throw new Failure("upstream-failed", "order lost (fault switch)");
  }
}
