/** The gateway node of one host: a supervisor over its tasks. */
import type * as purify from "purify-ts";
import type { Failure } from "../common/errors.ts";
import { decodeEither } from "../common/decode.ts";
import type { Log } from "../common/log.ts";
import { Supervisor, type Task } from "../common/supervisor.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { Configuration } from "../serving/configuration.ts";
import { negligibleDemand } from "../serving/demandMeter.ts";
import type { HeaderCodec } from "../serving/exchange.ts";
import { formatEndpoint, type HostSettings } from "../serving/hostSettings.ts";
import { LoadsMessage } from "../serving/loadTracker.ts";
import { chooseAddresses } from "../serving/membership/directory.ts";
import type { EngineApi } from "../serving/orders.ts";
import {
  PeerTable,
  type CallerDemand,
  type Member,
  type PeerAddress,
  type Heartbeat,
  type NodeStatus,
} from "../serving/membership/peerTable.ts";
import type { Store } from "../serving/store.ts";
import { ActivationTask } from "./activationTask.ts";
import { CallerServer } from "./callerServer.ts";
import { ConfigurationTask } from "./configurationTask.ts";
import { createControlServers } from "./controlServers.ts";
import { FleetTask } from "./fleetTask.ts";
import { LeaseTask } from "./leaseTask.ts";
import { MemberTask } from "./memberTask.ts";
import { PeerCalls, type PeerVersions } from "./peerCalls.ts";
import { PeerTask } from "./peerTask.ts";
import { PermitTask } from "./permitTask.ts";
import { PlacementTask } from "./placementTask.ts";
import { QuarantineGossip } from "./quarantineGossip.ts";
import { QuarantineTask } from "./quarantineTask.ts";
import { StoreReaderRole } from "./storeReaderRole.ts";
import { createGatewayContext, type GatewayContext } from "./gatewayContext.ts";
import { StoreHealth } from "./storeHealth.ts";
import { RunLockTask } from "./runLockTask.ts";
import { Utilization } from "./utilization.ts";

/** Callers keep an answer of the directory for this long, s: short, so that a stopping node is soon left alone. */
const directoryTtlS = 2;
/** A stopping node serves on for at least this long, ms: callers' answers of the directory run out. */
const leastDrainMs = 2_600;
/** What still waits is answered this long before the end, ms: the answers have to reach their callers. */
const lastAnswersMs = 300;
/** Kept of the grace period for the exit itself, ms. */
const exitMarginMs = 700;

/** The outside systems, behind the project's own interfaces. */
export interface GatewayPlatform {
  readonly store: Store;
  readonly engines: EngineApi;
  readonly codec: HeaderCodec;
  readonly configurationRow: { readonly table: string; readonly key: string };
  readonly decodeConfiguration: (text: string) => purify.Either<Failure, Configuration>;
  readonly serversTable: string;
  readonly decodeServer: (id: string, text: string) => purify.Either<Failure, BackendServer>;
  /** Paths of the readiness check and of the directory. */
  readonly paths: { readonly readiness: string; readonly directory: string };
  /** The directory's answer. */
  readonly encodeDirectory: (addresses: readonly string[], ttlS: number) => unknown;
}

/** Options of a `GatewayNode`. */
export interface GatewayNodeOptions {
  readonly settings: HostSettings;
  readonly platform: GatewayPlatform;
  readonly log: Log;
  /** Part of its processor time that the node uses, from 0 to 1; that of the whole process by default. */
  readonly cpuUtilization?: () => number;
}

/** Starts, serves and stops. */
export class GatewayNode {
  private readonly serving: GatewayContext;
  private readonly table: PeerTable;
  private readonly peers: PeerTask;
  private readonly calls: PeerCalls;
  private readonly configuration: ConfigurationTask;
  private readonly fleet: FleetTask;
  private readonly lease: LeaseTask;
  private readonly member: MemberTask;
  private readonly activation: ActivationTask;
  private readonly reading: StoreReaderRole;
  private readonly utilization = new Utilization();
  private readonly placement: PlacementTask;
  private readonly quarantine: QuarantineTask;
  private readonly callers: CallerServer;
  private readonly supervisor: Supervisor;
  private readonly boot = Date.now();
  private stopping = false;

  constructor(private readonly options: GatewayNodeOptions) {
    const { settings, platform, log } = options;
    this.table = new PeerTable(settings);
    this.serving = createGatewayContext({
      host: settings.host,
      zone: settings.zone,
      drainMs: settings.drainMs,
      log,
      codec: platform.codec,
      nodes: () => this.liveNodes,
    });
    for (const seed of settings.seeds) this.table.addContact(seed, performance.now());
    const link = new StoreHealth(log, this.serving.metrics);
    const { store } = platform;
    this.peers = new PeerTask({
      endpoint: settings.peers,
      log,
      table: this.table,
      readUntilMs: () => this.readUntilMs,
      onDatagram: () => {
        this.serving.watermark.recordDatagram();
      },
      pulse: () => this.pulse(),
      loads: () => this.serving.loads.nextUpdate(performance.now()),
      demand: () => this.asked(),
      active: () => this.activation.active,
      inUse: () => this.callers.busy > 0,
    });
    this.activation = new ActivationTask({
      log,
      table: this.table,
      readUntilMs: () => this.readUntilMs,
      peers: this.peers,
      standing: () => this.standing(),
      presenceRevision: () => this.serving.fleet.presenceRevision,
      quarantinePosition: () => this.quarantine.position,
      readAgeMs: () => this.reading.freshestReadAgeMs,
      holdsLease: () => this.lease.holding,
      stepDown: () => this.lease.stepDown(),
      membershipKnown: () => this.member.membershipKnown,
    });
    this.reading = new StoreReaderRole({
      ip: settings.ip,
      table: this.table,
      readUntilMs: () => this.readUntilMs,
      active: () => this.activation.active,
      holdsLease: () => this.lease.holding,
      readAgeMs: () => this.fleet.readAgeMs,
      reportedReadAgeMs: () => this.activation.reportedReadAgeMs,
    });
    this.lease = new LeaseTask({
      store,
      storeHealth: link,
      log,
      metrics: this.serving.metrics,
      self: settings,
      leaseMs: settings.leaseMs,
      eligible: () => this.activation.active,
      holderAlive: () => this.table.leaseHolder(this.readUntilMs) !== undefined,
      storeReachableByPeers: () => this.reading.storeReachableByPeers,
      broadcastYield: (message) => {
        this.peers.notify("lease.yield", message);
        this.peers.sendHeartbeat();
      },
    });
    this.peers.handle("loads", (params) => this.hearLoads(params));
    this.peers.handle("server.leaving", (params) => {
      this.fleet.onLeaving(params);
    });
    this.peers.handle("lease.yield", (params) => this.lease.onYield(params));
    this.placement = new PlacementTask({
      serving: this.serving,
      engines: platform.engines,
      lease: this.lease,
      eras: store.eras,
      peers: this.peers,
      table: this.table,
      ceilingWindowMs: settings.ceilingWindowS * 1000,
      ceilingOverage: settings.ceilingOverage,
    });
    this.member = new MemberTask({
      store,
      log,
      peers: this.table,
      self: memberOf(settings),
      shouldReadStore: () => this.reading.shouldRead,
    });
    const runLocks = new RunLockTask({
      log,
      self: settings.peers,
      peers: this.peers,
      ownerOf: (fingerprint) => this.ownerOf(fingerprint),
      readUntilMs: () => this.readUntilMs,
    });
    this.callers = new CallerServer({
      endpoint: settings.callers,
      serving: this.serving,
      placer: this.placement,
      runLocks,
      retryRatio: settings.retryRatio,
      retryBurst: settings.retryBurst,
      sharers: () => this.table.budgetShare(this.activation.active, this.readUntilMs),
    });
    const reads = (): boolean => this.reading.shouldRead;
    const ask = (peer: PeerVersions, method: string, params: unknown): Promise<unknown> =>
      this.calls.call(peer, method, params);
    this.configuration = new ConfigurationTask({
      store,
      storeHealth: link,
      log,
      configuration: this.serving.configuration,
      row: platform.configurationRow,
      decode: platform.decodeConfiguration,
      shouldReadStore: reads,
      active: () => this.activation.active,
      callPeer: ask,
    });
    this.fleet = new FleetTask({
      store,
      storeHealth: link,
      context: this.serving,
      table: platform.serversTable,
      decode: platform.decodeServer,
      shouldReadStore: reads,
      active: () => this.activation.active,
      storeReachableByPeers: () => this.reading.storeReachableByPeers,
      callPeer: ask,
      onChange: () => {
        this.peers.sendHeartbeat();
      },
      broadcastLeaving: (message) => {
        this.peers.notify("server.leaving", message);
      },
    });
    this.quarantine = new QuarantineTask({
      store,
      log,
      metrics: this.serving.metrics,
      quarantine: this.serving.quarantine,
      shouldReadStore: reads,
      active: () => this.activation.active,
      callPeer: ask,
    });
    const permits = new PermitTask({
      log,
      self: settings.peers,
      peers: this.peers,
      ownerOf: (server) => this.ownerOf(server),
      notices: this.serving.notices,
      permits: this.serving.permits,
      issuer: this.serving.permitIssuer,
      granted: this.serving.fleetChanged,
    });
    this.calls = new PeerCalls(settings.peers, {
      ...this.configuration.handlers,
      ...this.fleet.handlers,
      ...this.quarantine.handlers,
    });
    this.peers.heartbeatReceived.on((pulse) => {
      this.hearEra(pulse);
      if (pulse.paces !== undefined) this.serving.paces.applyPeerFactors(pulse.ip, pulse.paces);
      if (pulse.coming !== undefined)
        this.serving.modelWaits.setAnnouncedLoads(pulse.coming, performance.now());
      void this.configuration.pullIfNewer(pulse);
      void this.quarantine.pullIfNewer(pulse);
      // Only those that read the store know of changes first.
      if (pulse.readAgeMs !== undefined)
        void this.fleet.pullIfNewer(pulse, this.activation.active ? "all" : "presence");
    });
    this.activation.rosterReceived.on((roster) => {
      this.hearEra(roster);
      void this.configuration.pullIfNewer(roster);
      void this.quarantine.pullIfNewer(roster);
      void this.fleet.pullIfNewer(roster, "presence");
    });
    this.supervisor = new Supervisor(
      "gateway",
      [
        this.serving.watermark,
        ...this.controlServers(),
        this.calls,
        this.configuration,
        this.fleet,
        this.peers,
        this.quarantine,
        new QuarantineGossip({
          log,
          quarantine: this.serving.quarantine,
          peers: this.peers,
          savesEntries: () => this.lease.holding,
        }),
        permits,
        runLocks,
        this.callers,
        this.member,
        this.activation,
        this.lease,
        this.placement,
      ],
      log,
    );
    this.serving.watermark.iterationEnded.on(({ tookMs, endMs }) => {
      if (this.serving.overload.recordTurn(tookMs, endMs)) this.tellOverload();
    });
    platform.engines.noticeReceived.on(({ target: { serverId: id, startedAtMs }, notice }) => {
      this.serving.notices.recordPartialNotice({ id, startedAtMs }, notice, performance.now());
    });
    store.eras.changed.on(({ from, to }) => {
      this.serving.metrics.storeEra.set(to);
      if (from === undefined) return;
      log.warn({ event: "store-era-changed", from, to });
      this.peers.sendHeartbeat();
    });
    this.lease.changed.on(() => {
      this.peers.sendHeartbeat();
    });
    this.activation.changed.on((active) => {
      if (active) this.utilization.reset();
      this.followActivation();
    });
    this.serving.configuration.changed.on((table) => {
      this.serving.metrics.configVersion.set(table.version);
      this.peers.sendHeartbeat();
    });
  }

  async start(): Promise<void> {
    const { settings, log } = this.options;
    await this.supervisor.start();
    this.followActivation();
    log.info({ event: "started", host: settings.host, zone: settings.zone, boot: this.boot });
  }

  /**
   * Stops gracefully: no caller is sent here any more, requests in flight and those still coming are served,
   * and the process ends within its grace period.
   */
  async stop(): Promise<void> {
    const { settings, log } = this.options;
    // The grace period counts from the signal, which a late process sees late.
    const startedMs = this.readUntilMs;
    const latestMs = startedMs + settings.graceMs - exitMarginMs;
    log.info({ event: "stopping", inFlight: this.callers.busy });
    this.stopping = true;
    this.callers.stopSoon(latestMs);
    this.activation.preventActivation();
    this.peers.sendHeartbeat();
    await Promise.all([this.lease.release(), this.member.leave()]);
    this.peers.sendHeartbeat();
    for (;;) {
      const now = performance.now();
      if (now >= latestMs || (now - startedMs >= leastDrainMs && this.callers.busy === 0)) break;
      if (now >= latestMs - lastAnswersMs) this.callers.abandonAll();
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    log.info({
      event: "stopped",
      cutOff: this.callers.busy,
      tookMs: Math.round(performance.now() - startedMs),
    });
    await this.dispose();
  }

  /** Ends at once, cutting off what is in flight; a graceful end is `stop`. */
  async dispose(): Promise<void> {
    await this.supervisor.dispose();
    this.serving.pool.dispose();
  }

  /** A node that the store turns away hears from its peers that the store came back from a copy. */
  private hearEra({ storeEra }: PeerVersions): void {
    if (storeEra !== undefined) this.options.platform.store.eras.observe(storeEra);
  }

  private tellOverload(): void {
    const { overload, metrics } = this.serving;
    metrics.overloaded.set(overload.overloaded ? 1 : 0);
    const event = overload.overloaded ? "overloaded" : "overload-ended";
    this.options.log.warn({ event, inFlight: this.callers.busy, busy: this.utilization.recent });
  }

  /** Only an active node takes part in the lease; one that stands by shouldn't wake for it. */
  private followActivation(): void {
    for (const task of [this.lease, this.placement]) {
      if (this.activation.active) void task.resume();
      else task.pause();
    }
    // Whether it is on this node to read the store may have changed.
    this.configuration.wake();
    this.fleet.wake();
    this.quarantine.wake();
  }

  /** The node that answers for a key of all nodes. */
  private ownerOf(key: string): PeerAddress {
    const mayOwn = this.ready && this.activation.active;
    return this.table.owner(key, this.options.settings.peers, mayOwn, this.readUntilMs);
  }

  /** Everything that arrived before this moment has been read, ms; what others' silence is judged by. */
  private get readUntilMs(): number {
    return this.serving.watermark.readUpToMs;
  }

  /** Active nodes: this one and the peers heard from lately. */
  private get liveNodes(): number {
    return this.table.alive(this.readUntilMs).length + 1;
  }

  private get ready(): boolean {
    return !this.stopping && this.serving.configuration.current !== undefined;
  }

  /** What other systems ask of this node beside callers' requests. */
  private controlServers(): Task[] {
    const { settings, platform } = this.options;
    return createControlServers({
      settings,
      paths: platform.paths,
      ready: () => this.ready,
      directory: () => platform.encodeDirectory(this.addresses(), this.ttlS),
      metrics: () => {
        this.serving.metrics.peers.set(this.table.alive(this.readUntilMs).length);
        return this.serving.metrics.registry;
      },
    });
  }

  private get ttlS(): number {
    return Math.min(directoryTtlS, this.options.settings.maxTtlS);
  }

  /** Addresses of nodes that take callers. */
  private addresses(): string[] {
    const peers = this.table.alive(this.readUntilMs).map(({ status: pulse }) => pulse);
    const nodes = peers.filter(({ ready }) => ready);
    if ((this.ready && this.activation.active) || nodes.length === 0) nodes.push(this.standing());
    return chooseAddresses(nodes, Math.random);
  }

  private standing(): NodeStatus {
    const { settings, cpuUtilization: busy } = this.options;
    const token = this.lease.currentToken;
    const { readAgeMs } = this.fleet;
    const { current: storeEra } = this.options.platform.store.eras;
    return {
      ...memberOf(settings),
      host: settings.host,
      boot: this.boot,
      callers: formatEndpoint(settings.callers),
      ready: this.ready,
      // A node that is behind has no processor time to spare, whatever it used.
      busy: this.serving.overload.overloaded ? 1 : (busy?.() ?? this.utilization.recent),
      steadyBusy: busy?.() ?? this.utilization.steady,
      version: this.serving.configuration.current?.version ?? 0,
      ...(Number.isFinite(readAgeMs) ? { readAgeMs: Math.round(readAgeMs) } : {}),
      fleetRevision: this.serving.fleet.revision,
      ...(token === undefined ? {} : { token }),
      ...(storeEra === undefined ? {} : { storeEra }),
    };
  }

  private pulse(): Heartbeat {
    return {
      ...this.standing(),
      active: this.activation.active,
      quarantinePosition: this.quarantine.position,
      ...(this.lease.currentToken === undefined ? {} : { coming: this.placement.expected() }),
      paces: this.serving.paces.snapshot(),
    };
  }

  private hearLoads(params: unknown): boolean {
    return decodeEither(LoadsMessage, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .map((message) => {
        this.serving.loads.applyPeerLoads(message, performance.now());
        return true;
      })
      .orDefault(false);
  }

  private asked(): CallerDemand {
    const now = performance.now();
    const running = Object.fromEntries(
      Object.keys(this.serving.adaptersRunning.all()).map((key) => [key, negligibleDemand]),
    );
    return {
      demand: this.serving.demand.levels(now),
      waiting: this.serving.waiting.all(),
      adapters: { ...running, ...this.serving.adapterDemand.levels(now) },
      running: this.serving.modelsRunning.all(),
    };
  }
}

function memberOf({ peers, zone, strength }: HostSettings): Member {
  return { ...peers, zone, strength };
}
