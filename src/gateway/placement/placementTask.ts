/** Places models and adapters on engines while this node holds the placement lease. */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import { planAdapter, type AdapterEngine, type AdapterMove } from "../../serving/adapterPlan.ts";
import { holds, type BackendServer } from "../../serving/backendServer.ts";
import type { EraTracker } from "../../serving/eraTracker.ts";
import type { EngineLimits, Model } from "../../serving/configuration.ts";
import type { ResidencyChange } from "../../serving/fleet.ts";
import { isReachedBy } from "../../serving/forwarding.ts";
import { LoadRateLimiter } from "../../serving/loadRateLimiter.ts";
import { expectedLoadMs } from "../../serving/modelWaitEstimator.ts";
import type { EngineApi } from "../../serving/orders.ts";
import type { PeerTable } from "../../serving/membership/peerTable.ts";
import { PlacementPlan } from "../../serving/placementPlan.ts";
import type { EngineView, Move } from "../../serving/placementView.ts";
import { DemandAggregator } from "./demandAggregator.ts";
import { EngineController, type EngineOrderOutcome } from "./engineController.ts";
import type { LeaseTask } from "./leaseTask.ts";
import type { PeerTask } from "../membership/peerTask.ts";
import {
  adapterKey,
  demandKey,
  type AdapterNeed,
  type PlacementClient,
  type GatewayContext,
} from "../gatewayContext.ts";

/** Period of placement rounds, ms. */
const roundMs = 250;
/**
 * Maximum time of planning before it yields to the event loop, ms. Planning hundreds of models took seconds, during
 * which the lease holder served neither peers nor callers and lost its lease.
 */
const planSliceMs = 8;
/**
 * Planning time of one round, ms, a quarter of its period. The best moves come first; the rest is planned in the next
 * round from newer data.
 */
const planBudgetMs = 60;
/** A load is overdue when unconfirmed after this multiple of its expected time, but not before `minOverdueMs`. */
const overdueFactor = 2.5;
const minOverdueMs = 2_500;
/** An adapter is usable this long after its order was accepted, ms; loading takes 5 to 10 ms. */
const adapterLoadMs = 12;
/**
 * A node evicts nothing for this long after its start and only loads into free memory, ms. After a restart of all nodes
 * none has measured any demand yet, so even the busiest model looks idle and would be evicted.
 */
const noEvictionMs = 2_000;
/** Pause before the lease holder is asked for the same adapter again, ms. */
const ensureRetryMs = 60;

const EnsureParams = Schema.Struct({
  service: Schema.String,
  model: Schema.String,
  adapter: Schema.String,
  softwareVersion: Schema.optionalKey(Schema.String),
});
const ResidencyParams = Schema.Struct({
  serverId: Schema.String,
  startedAtMs: Schema.optionalKey(Schema.Number),
  model: Schema.String,
  adapter: Schema.optionalKey(Schema.String),
  present: Schema.Boolean,
});

/**
 * Minimum interval between rounds because of waiting requests, ms. Each waiting request asks for one a few times a second,
 * and with 63 engines and 166 models a round takes 30 ms: up to 90 rounds a second took more than a core.
 */
const minEarlyRoundIntervalMs = 100;

/** Options of a `PlacementTask`. */
export interface PlacementTaskOptions {
  readonly context: GatewayContext;
  readonly engines: EngineApi;
  readonly lease: LeaseTask;
  readonly eras: EraTracker;
  readonly peers: PeerTask;
  readonly peerTable: PeerTable;
  readonly ceilingWindowMs: number;
  readonly ceilingOverage: number;
}

/** Outcomes of a load order after which the load may just have started; it is in progress if the order conflicts with it. */
const startedOutcomes: ReadonlySet<EngineOrderOutcome> = new Set(["accepted", "already-holds", "conflict"]);

/** Effect of an order on the memory of an engine. */
type OrderEffect = Pick<ResidencyChange, "model" | "adapter" | "present">;

/** Runs the engine controllers as lease holder; other nodes forward adapter requests to the lease holder. */
export class PlacementTask extends PeriodicTask implements PlacementClient {
  private readonly controllers = new Map<string, EngineController>();
  private readonly demand: DemandAggregator;
  private readonly ensuring = new Map<string, Promise<void>>();
  private readonly loadRateLimiter: LoadRateLimiter;
  private readonly startedMs = performance.now();
  /** The round that was requested because of waiting requests, and when the last one began, ms. */
  private earlyRound: NodeJS.Timeout | undefined;
  private lastEarlyRoundMs = Number.NEGATIVE_INFINITY;
  private readonly log: Log;

  constructor(private readonly options: PlacementTaskOptions) {
    super("placement", roundMs, options.context.log);
    this.log = options.context.log;
    this.loadRateLimiter = new LoadRateLimiter({
      windowMs: options.ceilingWindowMs,
      overage: options.ceilingOverage,
    });
    this.demand = new DemandAggregator(options.context, options.peerTable);
    options.peers.heartbeatReceived.on((heartbeat) => {
      this.demand.applyHeartbeat(heartbeat);
    });
    options.peers.handle("adapter.ensure", (params) => this.onEnsureAdapter(params));
    options.peers.handle("residency", (params) => this.onResidency(params));
    // A new lease holder starts from fresh engine reports; a former one discards its order state.
    options.lease.changed.on(() => {
      this.controllers.clear();
      this.demand.reset();
    });
    options.eras.changed.on(() => {
      for (const controller of this.controllers.values()) controller.invalidateReport();
    });
  }

  demandChanged(): void {
    if (!this.options.lease.holding) {
      this.options.peers.sendHeartbeat();
      return;
    }
    if (this.earlyRound !== undefined) return;
    const waitMs = this.lastEarlyRoundMs + minEarlyRoundIntervalMs - performance.now();
    this.earlyRound = setTimeout(
      () => {
        this.earlyRound = undefined;
        this.lastEarlyRoundMs = performance.now();
        void this.refresh();
      },
      Math.max(0, waitMs),
    ).unref();
  }

  override async dispose(): Promise<void> {
    clearTimeout(this.earlyRound);
    await super.dispose();
  }

  async ensureAdapter(need: AdapterNeed): Promise<void> {
    const { service, model, adapter, softwareVersion = "" } = need;
    const key = `${adapterKey(service, model, adapter)} ${softwareVersion}`;
    const running = this.ensuring.get(key) ?? this.ensureOnce(need);
    this.ensuring.set(key, running);
    await running.finally(() => this.ensuring.delete(key));
  }

  /** One round: plans every engine service and sends the orders. */
  protected override async step(): Promise<void> {
    if (!this.options.lease.holding) return;
    const table = this.options.context.configuration.current;
    if (table === undefined) return;
    this.updateControllers();
    this.options.context.modelWaits.setAnnouncedLoads(this.expectedLoads(), performance.now());
    await this.verifyControllers();
    if (!this.demand.isComplete) return;
    for (const service of table.configuration.services) {
      if (service.engine !== undefined) await this.placeModels(service.name, service.engine);
    }
    await this.checkOverdueLoads(table.configuration.services.flatMap((s) => s.engine?.models ?? []));
  }

  private updateControllers(): void {
    const known = new Set<string>();
    // Raw registrations are used, as the fleet's view already includes orders that are still in progress.
    const { configuration, fleet } = this.options.context;
    for (const { server } of fleet.registrations()) {
      // Engines of services that are not configured are not controlled.
      if (!server.engine || configuration.current?.service(server.service) === undefined) continue;
      known.add(server.id);
      for (const model of this.controllerOf(server).applyRegistration(server)) {
        this.announce(server, { model, present: true });
      }
    }
    for (const id of this.controllers.keys()) if (!known.has(id)) this.controllers.delete(id);
  }

  /** Whether the engine must not be sent orders now. */
  private isClosed(engine: EngineController): boolean {
    return engine.backingOff || !engine.verified || !this.options.lease.mayOrder(engine.server.id);
  }

  /** Requests reports from unverified engines, which get no orders before. */
  private async verifyControllers(): Promise<void> {
    const { lease } = this.options;
    // An engine may not report recent orders of an earlier holder yet and stays closed until it does.
    const open = [...this.controllers.values()].filter(
      (controller) => !controller.verified && lease.mayOrder(controller.server.id),
    );
    const reports = open.map((controller) => this.requestReport(controller));
    // An unresponsive engine must not delay the others.
    await Promise.race([Promise.all(reports), new Promise((resolve) => setTimeout(resolve, roundMs / 2))]);
  }

  private controllerOf(server: BackendServer): EngineController {
    const known = this.controllers.get(server.id);
    if (known !== undefined) return known;
    const { engines, lease, context } = this.options;
    const controller = new EngineController(server, {
      engines,
      log: this.log,
      metrics: context.metrics,
      holder: context.host,
      tokenFor: (serverId) => lease.tokenForOrder(serverId),
    });
    this.controllers.set(server.id, controller);
    return controller;
  }

  private async placeModels(service: string, limits: EngineLimits): Promise<void> {
    const now = performance.now();
    const { fleet, outliers } = this.options.context;
    // An engine that no node reaches has most likely crashed, although its registration expires only seconds later.
    const servers = fleet
      .available(service)
      .filter((server) => server.engine && !outliers.health(server.id, now).unreachable)
      .filter((server) => this.isReachable(server) || this.isReachedByPeer(server));
    const running = this.demand.runningRequests(now);
    const plan = new PlacementPlan({
      models: limits.models,
      engines: servers.map((server) => this.engineView(server, limits, running.get(server.id) ?? new Map())),
      demand: this.demand.modelDemand(service, limits, now),
      adapterSlots: limits.adapterSlots,
      mayEvict: now - this.startedMs > noEvictionMs,
      callerWaitS: (this.options.context.configuration.current?.callerWaitMs(service) ?? 0) / 1000,
      loadsLeft: this.loadRateLimiter.remaining(limits.loadsPerS, now),
    });
    const byId = new Map(servers.map((server) => [server.id, server]));
    let sliceStartMs = performance.now();
    let usedMs = 0;
    for (const move of plan.steps()) {
      const server = move === undefined ? undefined : byId.get(move.engineId);
      if (move !== undefined && server !== undefined && this.stillFits(server, move, limits))
        void this.sendMove(server, move);
      const tookMs = performance.now() - sliceStartMs;
      if (tookMs < planSliceMs) continue;
      usedMs += tookMs;
      if (usedMs >= planBudgetMs) return;
      await new Promise((resolve) => setImmediate(resolve));
      // Without the lease this node must not send further orders.
      if (!this.options.lease.holding) return;
      sliceStartMs = performance.now();
    }
  }

  /**
   * Adapters may be ordered while planning yields and take the memory that a move was planned for, which would
   * over-commit the engine and crash it. So each move is checked again before it is sent.
   */
  private stillFits(server: BackendServer, move: Move, limits: EngineLimits): boolean {
    const controller = this.controllerOf(server);
    if (controller.busy || this.isClosed(controller)) return false;
    return (
      move.action === "unload" ||
      this.freeMb(controller, limits) >= (modelOf(limits, move.model)?.sizeMb ?? 0)
    );
  }

  private engineView(
    server: BackendServer,
    limits: EngineLimits,
    running: ReadonlyMap<string, number>,
  ): EngineView {
    const controller = this.controllerOf(server);
    return {
      id: server.id,
      zone: server.zone,
      models: new Set(controller.retainedModels),
      running,
      reservedFor: controller.reservedFor,
      recentlyChanged: controller.recentlyChanged,
      pendingLoads: new Set(controller.loading.keys()),
      freeMb: this.freeMb(controller, limits),
      busy: controller.busy || this.isClosed(controller) || !this.isReachable(server),
      cachedModels: new Set(server.atHand),
    };
  }

  private isReachable({ id }: BackendServer): boolean {
    return this.options.context.reachability.isReachable(id);
  }

  /** Whether a peer can connect to the engine, which this node can't, so that it is alive. */
  private isReachedByPeer({ id }: BackendServer): boolean {
    const { context, peerTable } = this.options;
    const failingSinceMs = context.reachability.failingSinceMs(id) ?? performance.now();
    const peers = peerTable.alive(context.watermark.readUpToMs);
    return peers.some((peer) => isReachedBy(peer, { id, failingSinceMs }, false));
  }

  /** Free memory under the assumption that all pending loads succeed and no pending unload has completed, MB. */
  private freeMb(controller: EngineController, limits: EngineLimits): number {
    let usedMb = 0;
    for (const name of controller.occupyingModels) usedMb += modelOf(limits, name)?.sizeMb ?? 0;
    for (const name of controller.adapters)
      usedMb += modelOf(limits, name.split("/")[0] ?? "")?.adapterMb ?? 0;
    return limits.memoryMb - usedMb;
  }

  private async sendMove(server: BackendServer, move: Move): Promise<void> {
    const fromStore = move.action === "load" && !server.atHand.includes(move.model);
    // Counted before sending, as an order without a response may still start a load.
    if (fromStore) this.loadRateLimiter.expect(loadKey(server.id, move.model), performance.now());
    const controller = this.controllerOf(server);
    const { action, model, reason, inFavourOf, demandMs, copies } = move;
    if (inFavourOf !== undefined) controller.reserveFor(inFavourOf);
    const outcome = await controller.orderWithRetries({
      action,
      model,
      reason,
      inputs: { inFavourOf, demandMs, copies },
    });
    if (action === "load") this.settleLoad(server.id, model, outcome);
    this.recordIfUnreachable(server, outcome);
    if (move.action === "unload" && outcome === "accepted") {
      this.announce(server, { model: move.model, present: false });
    }
  }

  private settleLoad(serverId: string, model: string, outcome: EngineOrderOutcome): void {
    if (outcome === "unknown") return;
    const started = startedOutcomes.has(outcome);
    this.loadRateLimiter.settle(loadKey(serverId, model), started, performance.now());
  }

  private async resendLoad(controller: EngineController, model: string): Promise<void> {
    const outcome = await controller.orderWithRetries({ action: "load", model, reason: "unanswered" });
    this.settleLoad(controller.server.id, model, outcome);
  }

  /** Excludes a crashed engine immediately rather than when its registration expires seconds later. */
  private recordIfUnreachable(server: BackendServer, outcome: EngineOrderOutcome): void {
    const { outliers, reachability } = this.options.context;
    const now = performance.now();
    if (outcome === "wrong-server") outliers.recordUnreachable(server.id, now);
    else if (outcome === "unreachable") reachability.recordConnectFailure(server.id, now, now);
  }

  private async checkOverdueLoads(models: readonly { name: string; loadS: number }[]): Promise<void> {
    const now = performance.now();
    for (const controller of this.controllers.values()) {
      for (const [name, load] of controller.loading) {
        const expectedMs = (models.find((model) => model.name === name)?.loadS ?? 0) * 1000;
        const limitMs = load.uncertain ? 700 : Math.max(minOverdueMs, expectedMs * overdueFactor);
        if (now - load.sinceMs < limitMs) continue;
        // An order of unknown outcome is sent again; at most one of the two takes effect.
        if (load.uncertain) void this.resendLoad(controller, name);
        else await this.requestReport(controller);
        break;
      }
    }
  }

  private requestReport(controller: EngineController): Promise<void> {
    return controller.requestReport().catch((error: unknown) => {
      this.log.debug({ event: "report-failed", server: controller.server.id, detail: String(error) });
    });
  }

  /** Expected remaining load time of models being loaded, by demand key, ms. */
  expectedLoads(): Record<string, number> {
    const table = this.options.context.configuration.current;
    if (!this.options.lease.holding || table === undefined) return {};
    const remainingByKey: Record<string, number> = {};
    const now = performance.now();
    for (const { server, loading: pendingLoads } of this.controllers.values()) {
      const models = table.service(server.service)?.engine?.models ?? [];
      for (const [name, { sinceMs }] of pendingLoads) {
        const expectedMs = expectedLoadMs(
          models.find((model) => model.name === name)?.loadS ?? 0,
          server,
          name,
        );
        const key = demandKey(server.service, name);
        const timeLeftMs = Math.round(Math.max(0, sinceMs + expectedMs - now));
        remainingByKey[key] = Math.min(remainingByKey[key] ?? timeLeftMs, timeLeftMs);
      }
    }
    return remainingByKey;
  }

  private async ensureOnce(need: AdapterNeed): Promise<void> {
    if (this.options.lease.holding) {
      await this.orderAdapter(need);
      return;
    }
    const holder = this.options.peerTable.leaseHolder(this.options.context.watermark.readUpToMs);
    if (holder === undefined) {
      await new Promise((resolve) => setTimeout(resolve, ensureRetryMs));
      return;
    }
    try {
      const result = await this.options.peers.call(holder, "adapter.ensure", need);
      if (result !== null) this.onResidency(result);
    } catch (error) {
      this.log.info({
        event: "adapter-not-ensured",
        model: need.model,
        adapter: need.adapter,
        holder: holder.host,
        detail: String(error),
      });
    }
    await new Promise((resolve) => setTimeout(resolve, ensureRetryMs / 4));
  }

  /** Handles a peer's request for an adapter; resolves with its location, or null. */
  private async onEnsureAdapter(params: unknown): Promise<ResidencyChange | null> {
    const need = Schema.decodeUnknownSync(EnsureParams)(params);
    const { model, adapter } = need;
    if (!this.options.lease.holding) return null;
    await this.ensureAdapter(need);
    const server = this.enginesFor(need).find((s) => holds(s, model, adapter));
    if (server === undefined) return null;
    return residencyOf(server, { model, adapter, present: true });
  }

  private onResidency(params: unknown): boolean {
    return decodeEither(ResidencyParams, params)
      .ifLeft((failure) => {
        this.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .map((change) => {
        this.options.context.fleet.applyChange(change, performance.now());
        this.options.context.fleetChanged.fire(undefined);
        return true;
      })
      .orDefault(false);
  }

  /** The engines that could serve a request with this need. */
  private enginesFor({ service, softwareVersion }: AdapterNeed): readonly BackendServer[] {
    const servers = this.options.context.fleet.available(service);
    return softwareVersion === undefined
      ? servers
      : servers.filter((server) => (server.softwareVersion ?? softwareVersion) === softwareVersion);
  }

  private async orderAdapter(need: AdapterNeed): Promise<void> {
    const { service, model, adapter } = need;
    const { context } = this.options;
    const limits = context.configuration.current?.service(service)?.engine;
    const servers = this.enginesFor(need).filter((server) => holds(server, model, undefined));
    if (limits === undefined || servers.some((server) => holds(server, model, adapter))) return;
    const name = `${model}/${adapter}`;
    const move = this.planAdapterMove(service, name, limits, servers);
    const server = servers.find((s) => s.id === move?.engineId);
    if (move === undefined || server === undefined) return;
    const controller = this.controllerOf(server);
    // Reserved before the first await, so that concurrent requests don't plan with the same slot.
    const release = controller.reserveAdapter(name);
    if (move.evict !== undefined && !(await this.evictAdapter(server, move.evict))) {
      release();
      return;
    }
    const outcome = await this.loadAdapter(server, model, adapter);
    if (outcome !== "accepted" && outcome !== "already-holds" && outcome !== "unknown") release();
  }

  private planAdapterMove(
    service: string,
    name: string,
    limits: EngineLimits,
    servers: readonly BackendServer[],
  ): AdapterMove | undefined {
    const now = performance.now();
    const model = modelOf(limits, name.split("/")[0] ?? "");
    // The adapter may be resident or loading although its removal was announced. Ordering it on the same engine again
    // takes effect at most once and takes no further slot; another engine would load a second replica.
    const holding = servers.find((server) => this.controllerOf(server).adapters.includes(name));
    if (holding !== undefined) {
      const { adapters, busy } = this.adapterEngine(holding, now);
      const full = adapters.length > limits.adapterSlots;
      return busy || full ? undefined : { engineId: holding.id, evict: undefined };
    }
    return planAdapter({
      engines: servers
        .filter((server) => this.freeMb(this.controllerOf(server), limits) >= (model?.adapterMb ?? 0))
        .map((server) => this.adapterEngine(server, now))
        .filter((engine) => !engine.busy),
      slots: limits.adapterSlots,
      lastUsedMs: (other) => this.demand.adapterLastUsedMs(`${service} ${other}`, now),
      nowMs: now,
    });
  }

  private async loadAdapter(
    server: BackendServer,
    model: string,
    adapter: string,
  ): Promise<EngineOrderOutcome> {
    const outcome = await this.controllerOf(server).orderWithRetries({
      action: "load",
      model,
      adapter,
      reason: "waiting",
    });
    this.recordIfUnreachable(server, outcome);
    if (outcome === "accepted" || outcome === "already-holds") {
      await new Promise((resolve) => setTimeout(resolve, adapterLoadMs));
      this.announce(server, { model, adapter, present: true });
    }
    return outcome;
  }

  private async evictAdapter(server: BackendServer, name: string): Promise<boolean> {
    const [model, adapter] = name.split("/");
    if (model === undefined || adapter === undefined) return false;
    this.announce(server, { model, adapter, present: false });
    const unloaded = await this.controllerOf(server).evictAdapter(model, adapter);
    // After a refused order the adapter is still usable; while an unload waits for running requests it is not.
    if (!unloaded && this.controllerOf(server).evictableAdapters.includes(name))
      this.announce(server, { model, adapter, present: true });
    return unloaded;
  }

  private adapterEngine(server: BackendServer, now: number): AdapterEngine {
    const { context } = this.options;
    const load = context.loads.loadOf(server.id, now);
    const controller = this.controllerOf(server);
    return {
      id: server.id,
      adapters: controller.adapters,
      evictable: controller.evictableAdapters,
      expectedMs: load.pendingMs + load.requests,
      // While a model is being loaded or unloaded the engine refuses every other order.
      busy: controller.busy || this.isClosed(controller) || context.outliers.health(server.id, now).ejected,
    };
  }

  /** Applies a change of an engine's memory locally and notifies the peers. */
  private announce(server: BackendServer, effect: OrderEffect): void {
    const change = residencyOf(server, effect);
    this.options.context.fleet.applyChange(change, performance.now());
    this.options.context.fleetChanged.fire(undefined);
    this.options.peers.notify("residency", change);
  }
}

function modelOf({ models }: EngineLimits, name: string): Model | undefined {
  return models.find((model) => model.name === name);
}

function residencyOf({ id, startedAtMs }: BackendServer, effect: OrderEffect): ResidencyChange {
  return { serverId: id, ...(startedAtMs === undefined ? {} : { startedAtMs }), ...effect };
}

/** Identifies the loads of a model on an engine. */
function loadKey(serverId: string, model: string): string {
  return `${serverId} ${model}`;
}
