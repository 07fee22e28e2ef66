/** Tracks whether the store answers this node, and logs each loss and recovery once. */
import type { Failure } from "../../common/errors.ts";
import { Emitter } from "../../common/emitter.ts";
import type { Log } from "../../common/log.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";

/** Shorter outages can't have let a registration expire, ms: less than one heartbeat of a server. */
const minReportedOutageMs = 800;

/** Updated by every task that calls the store. */
export class StoreHealth {
  private unavailableSinceMs: number | undefined;
  /** Fired with the duration of an outage, ms, at the first response after it. */
  readonly recovered = new Emitter<number>();

  constructor(
    private readonly log: Log,
    private readonly metrics: GatewayMetrics,
  ) {
    metrics.storeReachable.set(1);
  }

  /** Whether the store answered the most recent call. */
  get reachable(): boolean {
    return this.unavailableSinceMs === undefined;
  }

  recordSuccess(): void {
    if (this.unavailableSinceMs === undefined) return;
    const outageMs = performance.now() - this.unavailableSinceMs;
    this.unavailableSinceMs = undefined;
    this.metrics.storeReachable.set(1);
    this.log.info({ event: "store-regained", outageMs: Math.round(outageMs) });
    if (outageMs >= minReportedOutageMs) this.recovered.fire(outageMs);
  }

  recordFailure(failure: Failure): void {
    if (this.unavailableSinceMs !== undefined) return;
    this.unavailableSinceMs = performance.now();
    this.metrics.storeReachable.set(0);
    this.log.warn({ event: "store-lost", kind: failure.kind, detail: failure.message });
  }
}
