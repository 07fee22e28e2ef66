/** The gateway node of one host: wires its tasks together and supervises them. */
import type * as purify from "purify-ts";
import type { Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { Supervisor, type Task } from "../common/supervisor.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { Configuration } from "../serving/configuration.ts";
import { configurationAgeLimits } from "../serving/configurationAge.ts";
import { negligibleDemand } from "../serving/demandMeter.ts";
import type { HeaderCodec } from "../serving/exchange.ts";
import type { HostSettings } from "../serving/hostSettings.ts";
import type { EngineApi } from "../serving/orders.ts";
import type { CacheEventSource } from "../serving/prefixCache/cacheEvents.ts";
import type { RunCopyClient } from "../serving/runTransfer/runCopyClient.ts";
import { PeerTable, type CallerDemand, type Heartbeat } from "../serving/membership/peerTable.ts";
import type { BudgetShare } from "../serving/retryBudget.ts";
import type { Store } from "../serving/store.ts";
import { ActivationTask } from "./membership/activationTask.ts";
import { CacheTask } from "./caches/cacheTask.ts";
import { CallerServer } from "./requests/callerServer.ts";
import { ConfigurationTask } from "./store/configurationTask.ts";
import { createControlServers } from "./membership/controlServers.ts";
import { isRecentReader } from "./servers/fleetDeltas.ts";
import { FleetTask } from "./servers/fleetTask.ts";
import { LocalNode, memberOf, type NodeUtilization } from "./membership/localNode.ts";
import { LeaseTask } from "./placement/leaseTask.ts";
import { MemberTask } from "./membership/memberTask.ts";
import { PartitionTask } from "./membership/partitionTask.ts";
import { PeerCalls, type PeerVersions } from "./membership/peerCalls.ts";
import { PeerForwarder } from "./requests/peerForwarder.ts";
import { PeerTask } from "./membership/peerTask.ts";
import { PermitTask } from "./servers/permitTask.ts";
import { PlacementTask } from "./placement/placementTask.ts";
import { QuarantineGossip } from "./quarantine/quarantineGossip.ts";
import { QuarantineTask } from "./quarantine/quarantineTask.ts";
import { StoreReaderRole } from "./store/storeReaderRole.ts";
import { PaceTask } from "./servers/paceTask.ts";
import { nextLoadUpdate, ServerGossip } from "./servers/serverGossip.ts";
import { createGatewayContext, type GatewayContext } from "./gatewayContext.ts";
import { StreamPublisher } from "./streams/streamPublisher.ts";
import { StreamVersionTask } from "./streams/streamVersionTask.ts";
import { StoreHealth } from "./store/storeHealth.ts";
import { ReachabilityTask } from "./servers/reachabilityTask.ts";
import { RouteResolver } from "./requests/routeResolver.ts";
import { QuotaAdmission } from "./customers/quotaAdmission.ts";
import { RunLockTask } from "./quarantine/runLockTask.ts";
import { VersionHistoryTask } from "./streams/versionHistoryTask.ts";
import { Utilization } from "./membership/utilization.ts";

/** TTL of directory responses at callers, s: short, so that a stopping node soon gets no new callers. */
const directoryTtlS = 2;
/** Minimum time a stopping node keeps serving, ms, until callers' cached directory responses expire. */
const minDrainMs = 2_600;
/** Waiting requests get their final response this long before exit, ms, so that it reaches the callers. */
const finalResponseLeadMs = 300;
/** Time until a report of another node has been sent, received and read, ms. */
const reportDelayMs = 50;
/** Part of the grace period reserved for the exit itself, ms. */
const exitMarginMs = 700;

/** Platform integrations of a gateway node. */
export interface GatewayPlatform {
  readonly store: Store;
  readonly engines: EngineApi;
  /** Reads what engines have cached; absent if the platform's engines don't report it. */
  readonly caches?: CacheEventSource;
  /** Has engines copy runs; absent if the platform's engines can't. */
  readonly runCopies?: RunCopyClient;
  readonly codec: HeaderCodec;
  readonly configurationRow: { readonly table: string; readonly key: string };
  readonly decodeConfiguration: (text: string) => purify.Either<Failure, Configuration>;
  readonly serversTable: string;
  readonly decodeServer: (id: string, text: string) => purify.Either<Failure, BackendServer>;
  /** Paths of the readiness check and the directory. */
  readonly paths: { readonly readiness: string; readonly directory: string };
  /** The availability zone that a caller states in a directory request. */
  readonly directoryZone: (query: URLSearchParams) => string | undefined;
  /** Encodes a directory response. */
  readonly encodeDirectory: (addresses: readonly string[], ttlS: number) => unknown;
}

/** Options of a `GatewayNode`. */
export interface GatewayNodeOptions {
  readonly settings: HostSettings;
  readonly platform: GatewayPlatform;
  readonly log: Log;
  /** CPU utilization of the node, from 0 to 1; that of the process by default. */
  readonly cpuUtilization?: () => number;
}

/** A gateway node, from start to graceful stop. */
export class GatewayNode {
  private readonly context: GatewayContext;
  private readonly peerTable: PeerTable;
  private readonly local: LocalNode;
  private readonly peers: PeerTask;
  private readonly peerCalls: PeerCalls;
  private readonly configuration: ConfigurationTask;
  private readonly fleet: FleetTask;
  private readonly lease: LeaseTask;
  private readonly member: MemberTask;
  private readonly activation: ActivationTask;
  private readonly storeReader: StoreReaderRole;
  private readonly utilization = new Utilization();
  private readonly placement: PlacementTask;
  private readonly quarantine: QuarantineTask;
  private readonly quotas: QuotaAdmission;
  private readonly caches: CacheTask;
  private readonly versionHistory: VersionHistoryTask;
  private readonly callers: CallerServer;
  private readonly reachability: ReachabilityTask;
  private readonly supervisor: Supervisor;
  private readonly boot = Date.now();

  constructor(private readonly options: GatewayNodeOptions) {
    const { settings, platform, log } = options;
    this.peerTable = new PeerTable(settings);
    this.local = new LocalNode({
      settings,
      boot: this.boot,
      context: () => this.context,
      table: this.peerTable,
      utilization: () => this.nodeUtilization,
      active: () => this.activation.active,
      leaseToken: () => this.lease.currentToken,
      readAgeMs: () => this.fleet.readAgeMs,
      reachability: () => this.reachability,
      storeEra: () => platform.store.eras.current,
    });
    this.context = createGatewayContext({
      host: settings.host,
      zone: settings.zone,
      drainMs: settings.drainMs,
      linkMbps: settings.linkMbps,
      log,
      codec: platform.codec,
      runCopies: platform.runCopies,
      ip: settings.ip,
      sendingNodes: (service) => this.local.sendingNodes(service),
      nodeCount: () => this.local.activeNodeCount,
      quotas: {
        boot: this.boot,
        share: () => this.local.quotaShare,
        reportAgeMs: () => this.peers.minIntervalMs / 2 + reportDelayMs,
        tolerance: settings.quotaTolerance,
      },
    });
    for (const seed of settings.seeds) this.peerTable.addContact(seed, performance.now());
    const storeHealth = new StoreHealth(log, this.context.metrics);
    const { store } = platform;
    this.peers = new PeerTask({
      endpoint: settings.peers,
      log,
      table: this.peerTable,
      readUpToMs: () => this.local.readUpToMs,
      onDatagram: () => {
        this.context.watermark.recordDatagram();
      },
      metrics: this.context.metrics,
      heartbeat: () => this.heartbeat(),
      loads: () => nextLoadUpdate(this.context, performance.now()),
      quotas: () => this.quotas.nextReport(),
      answers: () => this.context.speeds.nextReport(),
      caches: () => this.caches.nextMessage(),
      demand: () => this.callerDemand(),
      active: () => this.activation.active,
      inUse: () => this.callers.activeRequests > 0,
    });
    this.activation = new ActivationTask({
      log,
      table: this.peerTable,
      readUpToMs: () => this.local.readUpToMs,
      peers: this.peers,
      nodeStatus: () => this.local.status(),
      presenceRevision: () => this.context.fleet.presenceRevision,
      quarantinePosition: () => this.quarantine.position,
      readAgeMs: () => this.storeReader.freshestReadAgeMs,
      holdsLease: () => this.lease.holding,
      stepDown: () => this.lease.stepDown(),
      membershipKnown: () => this.member.membershipKnown,
    });
    this.storeReader = new StoreReaderRole({
      ip: settings.ip,
      table: this.peerTable,
      readUpToMs: () => this.local.readUpToMs,
      active: () => this.activation.active,
      holdsLease: () => this.lease.holding,
      readAgeMs: () => this.fleet.readAgeMs,
      reportedReadAgeMs: () => this.activation.reportedReadAgeMs,
    });
    this.lease = new LeaseTask({
      store,
      storeHealth,
      log,
      metrics: this.context.metrics,
      self: settings,
      leaseMs: settings.leaseMs,
      eligible: () => this.activation.active && !this.reachability.partitionedFromEngines,
      holderAlive: () => this.peerTable.leaseHolder(this.local.readUpToMs) !== undefined,
      storeReachableByPeers: () => this.storeReader.storeReachableByPeers,
      retryingNodes: () => this.budgetShare.count,
      broadcastYield: (message) => {
        this.peers.notify("lease.yield", message);
        this.peers.sendHeartbeat();
      },
    });
    this.reachability = new ReachabilityTask({
      context: this.context,
      peers: () => this.local.readyPeers.map(({ status }) => status),
      report: () => {
        this.peers.sendHeartbeat();
      },
      onPartition: () => {
        // Orders of this node don't arrive; another node can take over.
        if (this.reachability.partitionedFromEngines && this.lease.holding) void this.lease.stepDown();
      },
    });
    this.peers.handle("server.leaving", (params) => {
      this.fleet.onLeaving(params);
    });
    this.peers.handle("fleet.delta", (params) => {
      this.fleet.onDelta(params);
    });
    this.peers.handle("lease.yield", (params) => this.lease.onYield(params));
    this.placement = new PlacementTask({
      context: this.context,
      engines: platform.engines,
      lease: this.lease,
      eras: store.eras,
      peers: this.peers,
      peerTable: this.peerTable,
      ceilingWindowMs: settings.ceilingWindowS * 1000,
      ceilingOverage: settings.ceilingOverage,
    });
    this.member = new MemberTask({
      store,
      log,
      peers: this.peerTable,
      self: memberOf(settings),
      shouldReadStore: () => this.storeReader.shouldRead,
    });
    this.quotas = new QuotaAdmission({
      log,
      metrics: this.context.metrics,
      quotas: this.context.quotas,
      configuration: this.context.configuration,
      peers: this.peers,
      active: () => this.activation.active,
      activePeers: () => this.peerTable.rosterSources(this.local.readUpToMs),
    });
    const runLocks = new RunLockTask({
      log,
      self: settings.peers,
      peers: this.peers,
      ownerOf: (fingerprint) => this.local.ownerOf(fingerprint),
      readUpToMs: () => this.local.readUpToMs,
    });
    const streamPublisher = new StreamPublisher({
      store,
      log,
      ip: settings.ip,
      isIsolated: () => this.peerTable.isIsolated(this.local.readUpToMs),
      streams: () => this.context.streamVersions.own(performance.now()),
    });
    const streamVersions = new StreamVersionTask({
      context: this.context,
      peers: this.peers,
      livePeers: () => this.peerTable.alive(this.local.readUpToMs).map(({ status }) => status),
      fleetIsCurrent: () => this.storeReader.fleetIsCurrent,
      loadHistory: () => this.versionHistory.load(),
      publisher: streamPublisher,
    });
    this.versionHistory = new VersionHistoryTask({
      store,
      log,
      history: this.context.versionHistory,
      lifetimeMs: () => streamVersions.lifetimeMs,
      holdsLease: () => this.lease.holding,
    });
    const shouldReadStore = (): boolean => this.storeReader.shouldRead;
    const retryingNodes = (): number => this.budgetShare.count;
    const callPeer: PeerCalls["call"] = (...args) => this.peerCalls.call(...args);
    const limits = configurationAgeLimits(settings.configApplyMs);
    this.configuration = new ConfigurationTask({
      store,
      storeHealth,
      log,
      configuration: this.context.configuration,
      row: platform.configurationRow,
      decode: platform.decodeConfiguration,
      shouldReadStore,
      retryingNodes,
      active: () => this.activation.active,
      limits,
      metrics: this.context.metrics,
      callPeer,
      informedPeers: () => this.peerTable.informedPeers(limits.refreshAgeMs, this.local.readUpToMs),
      unreadMs: () => this.context.watermark.lagMs,
    });
    this.callers = new CallerServer({
      endpoint: settings.callers,
      context: this.context,
      placement: this.placement,
      routes: new RouteResolver({
        configuration: this.context.configuration,
        refresh: this.configuration.refresh,
        ...(settings.maxKeyAgeMs === undefined ? {} : { maxKeyAgeMs: settings.maxKeyAgeMs }),
      }),
      runLocks,
      quotas: this.quotas,
      streamVersions,
      forwarder: new PeerForwarder({ context: this.context, peers: () => this.local.readyPeers }),
      retryRatio: settings.retryRatio,
      retryBurst: settings.retryBurst,
      budgetShare: () => this.budgetShare,
    });
    this.fleet = new FleetTask({
      store,
      storeHealth,
      context: this.context,
      table: platform.serversTable,
      decode: platform.decodeServer,
      shouldReadStore,
      retryingNodes,
      active: () => this.activation.active,
      storeReachableByPeers: () => this.storeReader.storeReachableByPeers,
      isCurrent: () => this.storeReader.fleetIsCurrent,
      callPeer,
      onChange: () => {
        this.peers.sendHeartbeat();
      },
      broadcastLeaving: (message) => {
        this.peers.notify("server.leaving", message);
      },
      broadcastChanges: (delta) => {
        this.peers.notify("fleet.delta", { ip: settings.ip, boot: this.boot, ...delta });
      },
    });
    this.quarantine = new QuarantineTask({
      store,
      log,
      metrics: this.context.metrics,
      quarantine: this.context.quarantine,
      shouldReadStore,
      retryingNodes,
      active: () => this.activation.active,
      callPeer,
    });
    this.caches = new CacheTask({
      context: this.context,
      source: platform.caches,
      self: settings.peers,
      peers: this.peers,
      peerAt: (ip) => this.peerTable.alive(this.local.readUpToMs).find((p) => p.status.ip === ip)?.status,
      readerOf: (server) => this.local.cacheReaderOf(server),
    });
    const permits = new PermitTask({
      log,
      self: settings.peers,
      peers: this.peers,
      ownerOf: (server) => this.local.ownerOf(server),
      notices: this.context.notices,
      permits: this.context.permits,
      issuer: this.context.permitIssuer,
      granted: this.context.fleetChanged,
    });
    this.peerCalls = new PeerCalls(
      settings.peers,
      this.context.metrics,
      (ip) => this.peerTable.isInOtherZone(ip),
      {
        ...this.configuration.handlers,
        ...this.fleet.handlers,
        ...this.quarantine.handlers,
      },
      (req, res) => {
        this.callers.handleForwarded(req, res);
      },
    );
    this.peers.heartbeatReceived.on((heartbeat) => {
      this.observeEra(heartbeat);
      if (heartbeat.paces !== undefined)
        this.context.prefillFactors.applyPeerFactors(heartbeat.ip, heartbeat.paces);
      if (heartbeat.coming !== undefined)
        this.context.modelWaits.setAnnouncedLoads(heartbeat.coming, performance.now());
      this.reachability.applyPeerReport(heartbeat, heartbeat.unreachable ?? []);
      void this.configuration.applyPeerVersion(heartbeat);
      void this.quarantine.pullIfNewer(heartbeat);
      // Changes are first known to nodes that read the store.
      if (isRecentReader(heartbeat))
        void this.fleet.pullIfNewer(heartbeat, this.activation.active ? "all" : "presence");
    });
    this.activation.rosterReceived.on((roster) => {
      this.observeEra(roster);
      void this.configuration.applyPeerVersion(roster);
      void this.quarantine.pullIfNewer(roster);
      void this.fleet.pullIfNewer(roster, "presence");
    });
    const partition = new PartitionTask({
      store,
      log,
      ip: settings.ip,
      partition: (nowMs) => this.peerTable.observePartition(nowMs),
      readUpToMs: () => this.local.readUpToMs,
      activeSinceMs: () => this.local.activeSinceMs,
    });
    this.supervisor = new Supervisor(
      "gateway",
      [
        this.context.watermark,
        ...this.controlServers(),
        this.peerCalls,
        this.configuration,
        this.fleet,
        this.peers,
        this.quarantine,
        new QuarantineGossip({
          log,
          quarantine: this.context.quarantine,
          peers: this.peers,
          savesEntries: () => this.lease.holding,
        }),
        new ServerGossip({
          context: this.context,
          peers: this.peers,
          applyCaches: (ip, caches) => {
            this.caches.apply(ip, caches);
          },
        }),
        this.caches,
        new PaceTask(this.context),
        permits,
        runLocks,
        streamPublisher,
        streamVersions,
        this.versionHistory,
        this.reachability,
        this.callers,
        this.member,
        this.activation,
        partition,
        this.lease,
        this.placement,
      ],
      log,
    );
    this.context.watermark.iterationEnded.on(({ tookMs, endMs }) => {
      if (this.context.overloadDetector.recordIteration(tookMs, endMs)) this.reportOverload();
    });
    platform.engines.noticeReceived.on(({ target: { serverId: id, startedAtMs }, notice }) => {
      this.context.notices.recordPartialNotice({ id, startedAtMs }, notice, performance.now());
    });
    store.eras.changed.on(({ from, to }) => {
      this.context.metrics.storeEra.set(to);
      if (from === undefined) return;
      log.warn({ event: "store-era-changed", from, to });
      this.peers.sendHeartbeat();
    });
    this.lease.changed.on(() => {
      this.versionHistory.applyLease();
      this.peers.sendHeartbeat();
    });
    this.activation.changed.on((active) => {
      if (active) this.utilization.reset();
      this.local.recordActivation();
      this.quotas.reset();
      this.applyActivation();
    });
    this.context.configuration.changed.on((table) => {
      this.context.metrics.configVersion.set(table.version);
      this.context.responseSizes.retain(new Set(table.configuration.routes.map(({ name }) => name)));
      this.peers.sendHeartbeat();
    });
  }

  async start(): Promise<void> {
    const { settings, log } = this.options;
    await this.supervisor.start();
    this.applyActivation();
    log.info({ event: "started", host: settings.host, zone: settings.zone, boot: this.boot });
  }

  /**
   * Stops gracefully within the grace period: the directory no longer lists this node, while requests in flight and
   * late arrivals are still served.
   */
  async stop(): Promise<void> {
    const { settings, log } = this.options;
    // The grace period starts with the signal, which a delayed process handles late.
    const startedMs = this.local.readUpToMs;
    const exitDeadlineMs = startedMs + settings.graceMs - exitMarginMs;
    log.info({ event: "stopping", inFlight: this.callers.activeRequests });
    this.local.recordStop();
    this.callers.startDraining(exitDeadlineMs);
    this.activation.preventActivation();
    this.peers.sendHeartbeat();
    await Promise.all([this.lease.release(), this.member.leave()]);
    this.peers.sendHeartbeat();
    for (;;) {
      const now = performance.now();
      if (now >= exitDeadlineMs || (now - startedMs >= minDrainMs && this.callers.activeRequests === 0))
        break;
      if (now >= exitDeadlineMs - finalResponseLeadMs) this.callers.abandonAll();
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    log.info({
      event: "stopped",
      cutOff: this.callers.activeRequests,
      tookMs: Math.round(performance.now() - startedMs),
    });
    await this.dispose();
  }

  /** Stops immediately and drops requests in flight; see `stop` for a graceful shutdown. */
  async dispose(): Promise<void> {
    await this.supervisor.dispose();
    this.context.pool.dispose();
    this.context.runTransfers.dispose();
  }

  /** A node that the store refuses learns from its peers that the store was restored from a backup. */
  private observeEra({ storeEra }: PeerVersions): void {
    if (storeEra !== undefined) this.options.platform.store.eras.observe(storeEra);
  }

  private reportOverload(): void {
    const { overloadDetector, metrics } = this.context;
    metrics.overloaded.set(overloadDetector.overloaded ? 1 : 0);
    const event = overloadDetector.overloaded ? "overloaded" : "overload-ended";
    this.options.log.warn({ event, inFlight: this.callers.activeRequests, busy: this.utilization.recent });
  }

  /** Only an active node competes for the lease; a standby node pauses these tasks to save wake-ups. */
  private applyActivation(): void {
    for (const task of [this.lease, this.placement]) {
      if (this.activation.active) void task.resume();
      else task.pause();
    }
    // The store reader role may have changed.
    this.configuration.wake();
    this.fleet.wake();
    this.quarantine.wake();
  }

  /** This node's share of fleet-wide limits, and the number of nodes in its role. */
  private get budgetShare(): BudgetShare {
    return this.peerTable.budgetShare(this.activation.active, this.local.readUpToMs);
  }

  /** Servers for readiness checks, the directory and metrics. */
  private controlServers(): Task[] {
    const { settings, platform } = this.options;
    return createControlServers({
      settings,
      paths: platform.paths,
      ready: () => this.local.ready,
      directory: (query) =>
        platform.encodeDirectory(this.local.addresses(platform.directoryZone(query)), this.ttlS),
      metrics: () => {
        this.reachability.updateMetrics();
        this.caches.updateMetrics();
        const { metrics, concurrency, fleet, configuration } = this.context;
        metrics.configAge.set(configuration.ageMs / 1000);
        for (const [service, versions] of fleet.softwareVersions())
          metrics.softwareVersions.set({ service }, versions.size);
        const now = performance.now();
        metrics.quotaShare.set(this.local.quotaShare);
        metrics.quotaBalance.reset();
        for (const { name } of configuration.current?.customers?.customers ?? [])
          metrics.quotaBalance.set({ customer: name }, this.context.quotas.balance(name, now) ?? Infinity);
        metrics.brittleServers.set(concurrency.countLimited(fleet.all(), performance.now()));
        this.context.metrics.peers.set(this.peerTable.alive(this.local.readUpToMs).length);
        return this.context.metrics.registry;
      },
    });
  }

  private get ttlS(): number {
    return Math.min(directoryTtlS, this.options.settings.maxTtlS);
  }

  private get nodeUtilization(): NodeUtilization {
    const { cpuUtilization } = this.options;
    const { recent, steady } = this.utilization;
    return { recent: cpuUtilization?.() ?? recent, steady: cpuUtilization?.() ?? steady };
  }

  private heartbeat(): Heartbeat {
    const { readUpToMs } = this.local;
    const partition = this.peerTable.observePartition(readUpToMs).statement(readUpToMs);
    return {
      ...this.local.status(),
      ...(partition === undefined || !this.activation.active ? {} : { partition }),
      active: this.activation.active,
      quarantinePosition: this.quarantine.position,
      ...(this.lease.currentToken === undefined ? {} : { coming: this.placement.expectedLoads() }),
      paces: this.context.prefillFactors.snapshot(),
    };
  }

  private callerDemand(): CallerDemand {
    const now = performance.now();
    const running = Object.fromEntries(
      Object.keys(this.context.adaptersRunning.snapshot()).map((key) => [key, negligibleDemand]),
    );
    return {
      demand: this.context.demand.levels(now),
      waiting: this.context.waitingRequests.snapshot(),
      adapters: { ...running, ...this.context.adapterDemand.levels(now) },
      running: this.context.modelsRunning.snapshot(),
    };
  }
}
