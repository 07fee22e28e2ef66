/** Whether the store answers this node: notices loss and return, and logs each once. */
import type { Failure } from "../common/errors.ts";
import { Emitter } from "../common/emitter.ts";
import type { Log } from "../common/log.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** Outages shorter than this can't have let a registration lapse, ms: under one heartbeat. */
const shortOutageMs = 800;

/** The state of the link, told by every task that calls the store. */
export class StoreHealth {
  private lostSinceMs: number | undefined;
  /** Fired with the length of the outage, ms, at the first answer after one. */
  readonly returned = new Emitter<number>();

  constructor(
    private readonly log: Log,
    private readonly metrics: GatewayMetrics,
  ) {
    metrics.storeReachable.set(1);
  }

  /** Does the store answer, as far as is known? */
  get reachable(): boolean {
    return this.lostSinceMs === undefined;
  }

  succeeded(): void {
    if (this.lostSinceMs === undefined) return;
    const outageMs = performance.now() - this.lostSinceMs;
    this.lostSinceMs = undefined;
    this.metrics.storeReachable.set(1);
    this.log.info({ event: "store-regained", outageMs: Math.round(outageMs) });
    if (outageMs >= shortOutageMs) this.returned.fire(outageMs);
  }

  failed(failure: Failure): void {
    if (this.lostSinceMs !== undefined) return;
    this.lostSinceMs = performance.now();
    this.metrics.storeReachable.set(0);
    this.log.warn({ event: "store-lost", kind: failure.kind, detail: failure.message });
  }
}
