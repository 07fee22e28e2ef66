/** Executes an engine stand-in's orders (load, unload), with a fault switch by which tests delay or drop them. */
import { setTimeout as sleep } from "node:timers/promises";
import * as Schema from "effect/Schema";
import type * as protocol from "../common/engineProtocol.ts";
import { Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { PlatformClient } from "../common/platformClient.ts";
import type { Memory } from "./memory.ts";

/** Pause before an engine retries the weight store after a rejection or a failure, in ms. */
const weightsRetryMs = 200;

/**
 * Fault switch for tests: the next `lateOrders` orders are delayed by `delayMs` (past the sender's timeout) and
 * then executed late, or with `lose` never executed.
 */
export const OrderFaults = Schema.Struct({
  lateOrders: Schema.Number,
  delayMs: Schema.Number,
  lose: Schema.Boolean,
});
/** Decoded order faults. */
export type OrderFaults = typeof OrderFaults.Type;

/** Options of an `OrderExecutor`. */
export interface OrderExecutorOptions {
  readonly memory: Memory;
  readonly log: Log;
  /** Source of the weights; without it a load takes `loadMs` only. */
  readonly platform: PlatformClient | undefined;
  /** Time a load takes after the weights have been fetched, in ms. */
  readonly loadMs: number;
}

/** Executes orders on the accelerator's memory. */
export class OrderExecutor {
  /** The fault switch. */
  faults: OrderFaults = { lateOrders: 0, delayMs: 0, lose: false };
  private disposed = false;

  constructor(private readonly options: OrderExecutorOptions) {}

  /** Reserves the memory and returns at once; the weights are fetched in the background. */
  async load(order: protocol.LoadOrder): Promise<void> {
    await this.applyFaults();
    const { memory, log } = this.options;
    if (!memory.reserve(order)) return;
    log.info({ event: "load", model: order.model, version: order.version, fencing: order.fencing });
    void this.fetch(order);
  }

  /** Unloads a model; its memory is freed when its last stream ends. */
  async unload(order: protocol.UnloadOrder): Promise<void> {
    await this.applyFaults();
    this.options.memory.unload(order);
    this.options.log.info({ event: "unload", model: order.model, fencing: order.fencing });
  }

  /** Stops loads that are waiting for the weight store. */
  dispose(): void {
    this.disposed = true;
  }

  /**
   * Retries fetching the weights until it succeeds or the model is unloaded: rate limiting and outages of the
   * weight store are temporary. The use of the reservation ends with the fetch, not with a later order.
   */
  private async fetch(order: protocol.LoadOrder): Promise<void> {
    const { memory, log, platform, loadMs } = this.options;
    while (memory.isLoading(order.model) && !this.disposed) {
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

  private async applyFaults(): Promise<void> {
    if (this.faults.lateOrders <= 0) return;
    this.faults = { ...this.faults, lateOrders: this.faults.lateOrders - 1 };
    const { delayMs, lose } = this.faults;
    await sleep(delayMs);
    if (lose) throw new Failure("upstream-failed", "order lost (fault switch)");
  }
}
