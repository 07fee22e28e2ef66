/**
 * Probes the paths to backend servers while there are signs that some are unreachable, and reports in heartbeats, metrics
 * and the log which ones this node can't connect to. A probe is a TCP connection that is closed at once: it costs the
 * server nothing, and no caller's request waits for it.
 */
import * as net from "node:net";
import { setTimeoutAfterInput, waitForPendingInput } from "../../common/readWatermark.ts";
import type { Task } from "../../common/supervisor.ts";
import { isPartitionedFrom, type NodeView } from "../../serving/forwarding.ts";
import { parseEndpoint } from "../../serving/hostSettings.ts";
import type { ReachabilitySummary } from "../../serving/serverReachability.ts";
import { connectTimeoutMs } from "../requests/attempt.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** Period of checks while a request is in flight or a server is unreachable, ms. */
const checkPeriodMs = 150;
/** A partition is reported after it has lasted this long, ms, by when peers have reported crashed servers too. */
const partitionedAfterMs = 700;
/** Changes within this time are reported together, ms. */
const reportDelayMs = 20;
/** Minimum interval between two log lines, ms; a line covers all changes since the last one. */
const logIntervalMs = 500;
/** Maximum number of unreachable servers in a heartbeat, which has to fit into a datagram. */
const maxReported = 200;

/** Options of a `ReachabilityTask`. */
export interface ReachabilityTaskOptions {
  readonly context: GatewayContext;
  /** Status of the live peers that are ready. */
  readonly peers: () => readonly NodeView[];
  /** Sends a heartbeat now. */
  readonly report: () => void;
  /** `partitioned` or `partitionedFromEngines` may have changed. */
  readonly onPartition: () => void;
}

/** Owns the probes and their timer. */
export class ReachabilityTask implements Task {
  readonly name = "reachability";
  private checkTimer: NodeJS.Timeout | undefined;
  private checkAtMs = 0;
  private reportTimer: NodeJS.Timeout | undefined;
  private logTimer: NodeJS.Timeout | undefined;
  private readonly probes = new Set<net.Socket>();
  /** Since when this node has reached no server of a service that peers reach, by service, ms. */
  private readonly partitionedSinceMs = new Map<string, number>();
  private reportedServices: readonly string[] = [];
  private lastLogged = "";
  private stopped = false;

  constructor(private readonly options: ReachabilityTaskOptions) {
    const { reachability } = options.context;
    reachability.changed.on(() => {
      this.scheduleReport();
    });
    reachability.activated.on((delayMs) => {
      this.scheduleCheck(delayMs);
    });
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.checkTimer);
    clearTimeout(this.reportTimer);
    clearTimeout(this.logTimer);
    for (const socket of this.probes) socket.destroy();
    return Promise.resolve();
  }

  /** Ids of servers that this node can't connect to, for heartbeats. */
  get unreachable(): readonly string[] {
    return [...this.options.context.reachability.unreachable].slice(0, maxReported);
  }

  /** Whether this node reaches none of the servers of a service that a peer reaches. */
  get partitioned(): boolean {
    return this.reportedServices.length > 0;
  }

  /** Whether such a service runs on engines, so that this node's orders don't arrive. */
  get partitionedFromEngines(): boolean {
    const table = this.options.context.configuration.current;
    return this.reportedServices.some((name) => table?.service(name)?.engine !== undefined);
  }

  /** Applies a peer's report of the servers that it can't connect to. */
  applyPeerReport({ ip, zone }: { ip: string; zone: string }, serverIds: readonly string[]): void {
    const { fleet, reachability } = this.options.context;
    const now = performance.now();
    for (const id of reachability.recordPeerReport(ip, zone, serverIds, now))
      if (fleet.get(id) !== undefined) reachability.recordPeerFailure(id, now);
  }

  /** Sets the gauges to their current values. */
  updateMetrics(): void {
    const { metrics } = this.options.context;
    const { known, reached, noneSinceMs } = this.summary;
    metrics.serversKnown.set(known);
    metrics.serversReached.set(reached);
    metrics.noServerReachedFor.set(noneSinceMs === undefined ? 0 : (performance.now() - noneSinceMs) / 1000);
  }

  private get summary(): ReachabilitySummary {
    const { fleet, reachability } = this.options.context;
    return reachability.summarize(fleet.all().map(({ id }) => id));
  }

  /** Reports changes within a short time together, as a partition changes the state of all servers. */
  private scheduleReport(): void {
    if (this.stopped || this.reportTimer !== undefined) return;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = undefined;
      this.updatePartitioned();
      this.options.report();
      // Requests may wait for a server, or for a peer to pass them on to.
      this.options.context.fleetChanged.fire(undefined);
      this.scheduleLog();
    }, reportDelayMs);
  }

  private scheduleCheck(delayMs: number): void {
    if (this.stopped) return;
    const atMs = performance.now() + delayMs;
    if (this.checkTimer !== undefined && this.checkAtMs <= atMs) return;
    clearTimeout(this.checkTimer);
    this.checkAtMs = atMs;
    this.checkTimer = setTimeout(() => {
      this.checkTimer = undefined;
      // What a server sent may not have been read yet.
      void waitForPendingInput().then(() => {
        this.check();
      });
    }, delayMs);
  }

  private check(): void {
    const { reachability } = this.options.context;
    if (this.stopped) return;
    for (const id of reachability.startProbes(performance.now())) this.probe(id);
    if (this.updatePartitioned()) this.options.report();
    if (reachability.active || this.partitionedSinceMs.size > 0) this.scheduleCheck(checkPeriodMs);
  }

  private probe(serverId: string): void {
    const { fleet, reachability } = this.options.context;
    const endpoint = parseEndpoint(fleet.get(serverId)?.address ?? "");
    if (endpoint === undefined) {
      reachability.recordProbeEnd(serverId);
      return;
    }
    const startedMs = performance.now();
    const socket = net.connect({ host: endpoint.ip, port: endpoint.port });
    this.probes.add(socket);
    const end = (connected: boolean): void => {
      if (!this.probes.delete(socket)) return;
      clearTimeout(timer);
      socket.destroy();
      reachability.recordProbeEnd(serverId);
      const now = performance.now();
      if (connected) reachability.recordConnected(serverId, now);
      else reachability.recordConnectFailure(serverId, startedMs, now);
    };
    const timer = setTimeoutAfterInput(connectTimeoutMs, () => {
      end(false);
    });
    socket.on("connect", () => {
      end(true);
    });
    socket.on("error", () => {
      end(false);
    });
  }

  /** Returns whether the services to report have changed. */
  private updatePartitioned(): boolean {
    const now = performance.now();
    const names = this.partitionedServices();
    for (const name of this.partitionedSinceMs.keys())
      if (!names.includes(name)) this.partitionedSinceMs.delete(name);
    for (const name of names) if (!this.partitionedSinceMs.has(name)) this.partitionedSinceMs.set(name, now);
    const lasting = [...this.partitionedSinceMs].filter(([, sinceMs]) => now - sinceMs >= partitionedAfterMs);
    const reported = lasting.map(([name]) => name);
    if (reported.join() === this.reportedServices.join()) return false;
    this.reportedServices = reported;
    this.options.onPartition();
    this.scheduleLog();
    return true;
  }

  /** Names of the services of which this node reaches no server while a peer does. */
  private partitionedServices(): string[] {
    const { configuration, fleet, reachability } = this.options.context;
    const { unreachable } = reachability;
    if (unreachable.size === 0) return [];
    const peers = this.options.peers();
    const services = configuration.current?.configuration.services ?? [];
    return services
      .map(({ name }) => name)
      .filter((name) =>
        isPartitionedFrom(
          fleet.available(name).map(({ id }) => id),
          unreachable,
          peers,
        ),
      );
  }

  private scheduleLog(): void {
    if (this.stopped || this.logTimer !== undefined) return;
    this.logTimer = setTimeout(() => {
      this.logTimer = undefined;
      this.logChange();
    }, logIntervalMs);
    this.logTimer.unref();
  }

  private logChange(): void {
    const { known, reached, noneSinceMs } = this.summary;
    const logged = `${reached}/${known} ${String(this.partitioned)}`;
    if (logged === this.lastLogged) return;
    this.lastLogged = logged;
    this.options.context.log.warn({
      event: "servers-reached",
      reached,
      known,
      partitioned: this.partitioned,
      ...(noneSinceMs === undefined ? {} : { noneForMs: Math.round(performance.now() - noneSinceMs) }),
    });
  }
}
