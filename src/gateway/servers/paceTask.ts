/** Logs which servers are paced, and keeps the metrics of servers' paces and speeds up to date. */
import { DisposableStore } from "../../common/disposables.ts";
import type { Task } from "../../common/supervisor.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import type { PaceChange } from "../../serving/pace/serverPaces.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** Interval between updates of the metrics, ms. */
const metricsPeriodMs = 1_000;

/**
 * Shares are observed in services with at most this many servers, as that takes a time quadratic in the servers, and with
 * at least this many responses a second of each.
 */
const maxSharedServers = 50;
const minRatePerServer = 5;

const events: Readonly<Record<PaceChange["change"], string>> = {
  started: "server-paced",
  ended: "server-unpaced",
  reduced: "server-pace-reduced",
  recovered: "server-pace-recovered",
};

/** Reports on the paces that this node applies. */
export class PaceTask implements Task {
  readonly name = "pace";
  private readonly disposables = new DisposableStore();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly context: GatewayContext) {}

  start(): Promise<void> {
    const { log, paces } = this.context;
    this.disposables.add(
      paces.changed.on(({ change, ...details }) => {
        log.info({ event: events[change], ...details });
      }),
    );
    this.timer = setInterval(() => {
      this.updateMetrics();
    }, metricsPeriodMs);
    return Promise.resolve();
  }

  async dispose(): Promise<void> {
    clearInterval(this.timer);
    await this.disposables.dispose();
  }

  private updateMetrics(): void {
    const { fleet, metrics, paces, speeds } = this.context;
    const now = performance.now();
    const byService = new Map<string, BackendServer[]>();
    for (const server of fleet.all()) {
      const known = byService.get(server.service);
      if (known === undefined) byService.set(server.service, [server]);
      else known.push(server);
    }
    for (const [service, servers] of byService) {
      this.observeShares(service, servers, now);
      const limits = servers.map((server) => paces.paceOf(server)).filter((pace) => pace !== undefined);
      const relative = servers.map((server) => speeds.speedOf(server, now));
      metrics.pacedServers.set({ service }, limits.length);
      metrics.serverPace.set(
        { service },
        limits.reduce((sum, pace) => sum + pace, 0),
      );
      metrics.serverSpeed.set({ service, bound: "slowest" }, Math.min(...relative));
      metrics.serverSpeed.set({ service, bound: "fastest" }, Math.max(...relative));
    }
  }

  /** Responses of engines are counted only while they are lightly loaded, and few responses vary too much. */
  private observeShares(service: string, servers: readonly BackendServer[], nowMs: number): void {
    const { metrics, paces } = this.context;
    if (servers.length > maxSharedServers || servers.some(({ engine }) => engine)) return;
    if (paces.requestsPerS(service, nowMs) < minRatePerServer * servers.length) return;
    for (const server of servers) {
      const share = paces.shareRatioOf(server, nowMs);
      if (share !== undefined) metrics.serverShare.observe({ service }, share);
    }
  }
}
