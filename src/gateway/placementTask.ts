/** Orders models and adapters onto engines while this node holds the placement lease. */
import * as Schema from "effect/Schema";
import { decodeEither } from "../common/decode.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import { planAdapter, type AdapterEngine, type AdapterMove } from "../serving/adapterPlan.ts";
import { holds, type BackendServer } from "../serving/backendServer.ts";
import type { EraTracker } from "../serving/eraTracker.ts";
import type { EngineLimits, Model } from "../serving/configuration.ts";
import type { ResidencyChange } from "../serving/fleet.ts";
import { LoadRateLimiter } from "../serving/loadRateLimiter.ts";
import { expectedLoadMs } from "../serving/modelWaitEstimator.ts";
import type { EngineApi } from "../serving/orders.ts";
import type { PeerTable } from "../serving/membership/peerTable.ts";
import { PlacementPlan } from "../serving/placementPlan.ts";
import type { EngineView, Move } from "../serving/placementView.ts";
import { DemandBook } from "./demandBook.ts";
import { EngineController, type DeskOutcome } from "./engineController.ts";
import type { LeaseTask } from "./leaseTask.ts";
import type { PeerTask } from "./peerTask.ts";
import { adapterKey, demandKey, type Placer, type GatewayContext } from "./gatewayContext.ts";

/** Period of placement rounds, ms. */
const roundMs = 250;
/**
 * Planning goes on for this long at most before peers, the lease and callers are served, ms. Guards "the holder loses
 * its lease while it plans": a plan of hundreds of models took seconds, in which nothing else ran on its host.
 */
const planSliceMs = 8;
/**
 * Planning time of one round, ms, a quarter of its period: the best moves come first, and what is left is planned from
 * what is known by the next round.
 */
const planRoundMs = 60;
/** A load is looked into when it is not confirmed after this many times its usual time, and at least, ms. */
const overdueFactor = 2.5;
const leastOverdueMs = 2_500;
/** An adapter may be used this long after its order was accepted, ms: it takes 5 to 10 ms to come. */
const adapterReadyMs = 12;
/**
 * A process that has just started orders loads into free memory only, ms. Guards "the busiest model is dropped
 * after all nodes were killed": no node has measured any demand yet, so every model looks idle.
 */
const settleMs = 2_000;
/** A node asks the holder for the same adapter again after this time, ms. */
const askAgainMs = 60;

const EnsureParams = Schema.Struct({ service: Schema.String, model: Schema.String, adapter: Schema.String });
const ResidencyParams = Schema.Struct({
  serverId: Schema.String,
  startedAtMs: Schema.optionalKey(Schema.Number),
  model: Schema.String,
  adapter: Schema.optionalKey(Schema.String),
  present: Schema.Boolean,
});

/** Options of a `PlacementTask`. */
export interface PlacementTaskOptions {
  readonly serving: GatewayContext;
  readonly engines: EngineApi;
  readonly lease: LeaseTask;
  readonly eras: EraTracker;
  readonly peers: PeerTask;
  readonly table: PeerTable;
  readonly ceilingWindowMs: number;
  readonly ceilingOverage: number;
}

/** What an order changes at an engine. */
type OrderEffect = Pick<ResidencyChange, "model" | "adapter" | "present">;

/** Owns the desks of the engines, and asks the holder where this node is not it. */
export class PlacementTask extends PeriodicTask implements Placer {
  private readonly desks = new Map<string, EngineController>();
  private readonly demand: DemandBook;
  private readonly ensuring = new Map<string, Promise<void>>();
  private readonly ceiling: LoadRateLimiter;
  private readonly startedMs = performance.now();
  private readonly log: Log;

  constructor(private readonly options: PlacementTaskOptions) {
    super("placement", roundMs, options.serving.log);
    this.log = options.serving.log;
    this.ceiling = new LoadRateLimiter({
      windowMs: options.ceilingWindowMs,
      overage: options.ceilingOverage,
    });
    this.demand = new DemandBook(options.serving, options.table);
    options.peers.heartbeatReceived.on((pulse) => {
      this.demand.hear(pulse);
    });
    options.peers.handle("adapter.ensure", (params) => this.onEnsure(params));
    options.peers.handle("residency", (params) => this.onResidency(params));
    // A new holder starts from what the engines say now; a former one forgets what it ordered.
    options.lease.changed.on(() => {
      this.desks.clear();
      this.demand.startAnew();
    });
    options.eras.changed.on(() => {
      for (const desk of this.desks.values()) desk.invalidateReport();
    });
  }

  wanted(): void {
    if (this.options.lease.holding) void this.refresh();
    else this.options.peers.sendHeartbeat();
  }

  async ensureAdapter(service: string, model: string, adapter: string): Promise<void> {
    const key = adapterKey(service, model, adapter);
    const running = this.ensuring.get(key) ?? this.ensureOnce(service, model, adapter);
    this.ensuring.set(key, running);
    await running.finally(() => this.ensuring.delete(key));
  }

  /** One round: plan for every engine service and give the orders. */
  protected override async step(): Promise<void> {
    if (!this.options.lease.holding) return;
    const table = this.options.serving.configuration.current;
    if (table === undefined) return;
    this.learnDesks();
    this.options.serving.modelWaits.setAnnouncedLoads(this.expected(), performance.now());
    await this.verifyDesks();
    if (!this.demand.known) return;
    for (const service of table.configuration.services) {
      if (service.engine !== undefined) await this.place(service.name, service.engine);
    }
    await this.lookIntoOverdue(table.configuration.services.flatMap((s) => s.engine?.models ?? []));
  }

  private learnDesks(): void {
    const known = new Set<string>();
    // What the engines say themselves: the fleet's own view already counts orders that are still under way.
    const { configuration, fleet } = this.options.serving;
    for (const { server } of fleet.registrations()) {
      // One of a service that isn't configured is none of ours to ask or to order.
      if (!server.engine || configuration.current?.service(server.service) === undefined) continue;
      known.add(server.id);
      for (const model of this.desk(server).learn(server)) {
        this.announce(server, { model, present: true });
      }
    }
    for (const id of this.desks.keys()) if (!known.has(id)) this.desks.delete(id);
  }

  /** Takes the engine no order now? */
  private closed(desk: EngineController): boolean {
    return desk.resting || !desk.verified || !this.options.lease.mayOrder(desk.server.id);
  }

  /** Asks engines whose memory this holder doesn't know yet; they get no orders before. */
  private async verifyDesks(): Promise<void> {
    const { lease } = this.options;
    // One that an earlier holder ordered lately may not report that order yet, and is closed until it does.
    const open = [...this.desks.values()].filter((desk) => !desk.verified && lease.mayOrder(desk.server.id));
    const asks = open.map((desk) => this.askDesk(desk));
    // An engine that doesn't answer must not hold up the others.
    await Promise.race([Promise.all(asks), new Promise((resolve) => setTimeout(resolve, roundMs / 2))]);
  }

  private desk(server: BackendServer): EngineController {
    const known = this.desks.get(server.id);
    if (known !== undefined) return known;
    const { engines, lease, serving } = this.options;
    const desk = new EngineController(server, {
      engines,
      log: this.log,
      metrics: serving.metrics,
      holder: serving.host,
      token: (serverId) => lease.tokenForOrder(serverId),
    });
    this.desks.set(server.id, desk);
    return desk;
  }

  private async place(service: string, limits: EngineLimits): Promise<void> {
    const now = performance.now();
    const { fleet, outliers } = this.options.serving;
    // One that can't be reached is most likely gone, though its registration lives on for seconds.
    const servers = fleet
      .available(service)
      .filter((server) => server.engine && !outliers.health(server.id, now).unreachable);
    const running = this.demand.running(now);
    const plan = new PlacementPlan({
      models: limits.models,
      engines: servers.map((server) => this.view(server, limits, running.get(server.id) ?? new Map())),
      demand: this.demand.of(service, limits, now),
      adapterSlots: limits.adapterSlots,
      mayEvict: now - this.startedMs > settleMs,
      loadsLeft: this.ceiling.remaining(limits.loadsPerS, now),
    });
    const byId = new Map(servers.map((server) => [server.id, server]));
    let sliceMs = performance.now();
    let usedMs = 0;
    for (const move of plan.steps()) {
      const server = move === undefined ? undefined : byId.get(move.engineId);
      if (move !== undefined && server !== undefined && this.stillFits(server, move, limits))
        void this.give(server, move);
      const tookMs = performance.now() - sliceMs;
      if (tookMs < planSliceMs) continue;
      usedMs += tookMs;
      if (usedMs >= planRoundMs) return;
      await new Promise((resolve) => setImmediate(resolve));
      // What was planned from is another holder's business once the lease is lost.
      if (!this.options.lease.holding) return;
      sliceMs = performance.now();
    }
  }

  /**
   * Guards "an engine is overfilled and crashes": adapters are ordered while a plan pauses, and the room it counted on
   * may be theirs by now.
   */
  private stillFits(server: BackendServer, move: Move, limits: EngineLimits): boolean {
    const desk = this.desk(server);
    if (desk.busy || this.closed(desk)) return false;
    return (
      move.action === "unload" || this.freeMb(desk, limits) >= (modelOf(limits, move.model)?.sizeMb ?? 0)
    );
  }

  private view(
    server: BackendServer,
    limits: EngineLimits,
    running: ReadonlyMap<string, number>,
  ): EngineView {
    const desk = this.desk(server);
    return {
      id: server.id,
      models: new Set(desk.staying),
      running,
      reservedFor: desk.roomFor,
      recentlyChanged: desk.unsettled,
      pendingLoads: new Set(desk.coming.keys()),
      freeMb: this.freeMb(desk, limits),
      busy: desk.busy || this.closed(desk),
      cachedModels: new Set(server.atHand),
    };
  }

  /** Memory left if every load under way succeeds and no unload has, MB. */
  private freeMb(desk: EngineController, limits: EngineLimits): number {
    let usedMb = 0;
    for (const name of desk.occupying) usedMb += modelOf(limits, name)?.sizeMb ?? 0;
    for (const name of desk.adapters) usedMb += modelOf(limits, name.split("/")[0] ?? "")?.adapterMb ?? 0;
    return limits.memoryMb - usedMb;
  }

  private async give(server: BackendServer, move: Move): Promise<void> {
    const fromStore = move.action === "load" && !server.atHand.includes(move.model);
    // Counted before it is sent: an order without an answer may still begin a load.
    if (fromStore) this.ceiling.record(performance.now());
    const desk = this.desk(server);
    const { action, model, reason, inFavourOf, demandMs, copies } = move;
    if (inFavourOf !== undefined) desk.keepRoom(inFavourOf);
    const outcome = await desk.insist({ action, model, reason, inputs: { inFavourOf, demandMs, copies } });
    this.noteGone(server, outcome);
    if (move.action === "unload" && outcome === "accepted") {
      this.announce(server, { model: move.model, present: false });
    }
  }

  /** An engine that crashed is left alone at once, not only when its registration lapses seconds later. */
  private noteGone(server: BackendServer, outcome: DeskOutcome): void {
    if (outcome !== "wrong-server" && outcome !== "unreachable") return;
    this.options.serving.outliers.recordUnreachable(server.id, performance.now());
  }

  private async lookIntoOverdue(models: readonly { name: string; loadS: number }[]): Promise<void> {
    const now = performance.now();
    for (const desk of this.desks.values()) {
      for (const [name, coming] of desk.coming) {
        const usualMs = (models.find((model) => model.name === name)?.loadS ?? 0) * 1000;
        const limitMs = coming.uncertain ? 700 : Math.max(leastOverdueMs, usualMs * overdueFactor);
        if (now - coming.sinceMs < limitMs) continue;
        // One of unknown outcome is given again: the engine takes effect of the two but once.
        if (coming.uncertain) void desk.insist({ action: "load", model: name, reason: "unanswered" });
        else await this.askDesk(desk);
        break;
      }
    }
  }

  private askDesk(desk: EngineController): Promise<void> {
    return desk.ask().catch((error: unknown) => {
      this.log.debug({ event: "report-failed", server: desk.server.id, detail: String(error) });
    });
  }

  /** Models on their way, by demand key, and the time until they are expected to be there, ms. */
  expected(): Record<string, number> {
    const table = this.options.serving.configuration.current;
    if (!this.options.lease.holding || table === undefined) return {};
    const due: Record<string, number> = {};
    const now = performance.now();
    for (const { server, coming } of this.desks.values()) {
      const models = table.service(server.service)?.engine?.models ?? [];
      for (const [name, { sinceMs }] of coming) {
        const usualMs = expectedLoadMs(models.find((model) => model.name === name)?.loadS ?? 0, server, name);
        const key = demandKey(server.service, name);
        const leftMs = Math.round(Math.max(0, sinceMs + usualMs - now));
        due[key] = Math.min(due[key] ?? leftMs, leftMs);
      }
    }
    return due;
  }

  private async ensureOnce(service: string, model: string, adapter: string): Promise<void> {
    if (this.options.lease.holding) {
      await this.orderAdapter(service, model, adapter);
      return;
    }
    const holder = this.options.table.leaseHolder(this.options.serving.watermark.readUpToMs);
    if (holder === undefined) {
      await new Promise((resolve) => setTimeout(resolve, askAgainMs));
      return;
    }
    try {
      const result = await this.options.peers.call(holder, "adapter.ensure", { service, model, adapter });
      if (result !== null) this.onResidency(result);
    } catch (error) {
      this.log.info({
        event: "adapter-not-ensured",
        model,
        adapter,
        holder: holder.host,
        detail: String(error),
      });
    }
    await new Promise((resolve) => setTimeout(resolve, askAgainMs / 4));
  }

  /** A peer asks for an adapter; answers where it is, or null. */
  private async onEnsure(params: unknown): Promise<ResidencyChange | null> {
    const { service, model, adapter } = Schema.decodeUnknownSync(EnsureParams)(params);
    if (!this.options.lease.holding) return null;
    await this.ensureAdapter(service, model, adapter);
    const server = this.options.serving.fleet.available(service).find((s) => holds(s, model, adapter));
    if (server === undefined) return null;
    return residencyOf(server, { model, adapter, present: true });
  }

  private onResidency(params: unknown): boolean {
    return decodeEither(ResidencyParams, params)
      .ifLeft((failure) => {
        this.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .map((change) => {
        this.options.serving.fleet.applyChange(change, performance.now());
        this.options.serving.fleetChanged.fire(undefined);
        return true;
      })
      .orDefault(false);
  }

  private async orderAdapter(service: string, model: string, adapter: string): Promise<void> {
    const { serving } = this.options;
    const limits = serving.configuration.current?.service(service)?.engine;
    const servers = serving.fleet.available(service).filter((server) => holds(server, model, undefined));
    if (limits === undefined || servers.some((server) => holds(server, model, adapter))) return;
    const name = `${model}/${adapter}`;
    const move = this.adapterMove(service, name, limits, servers);
    const server = servers.find((s) => s.id === move?.engineId);
    if (move === undefined || server === undefined) return;
    const desk = this.desk(server);
    // Reserved before anything is awaited: others that ask meanwhile must not count on the same place.
    const release = desk.reserveAdapter(name);
    if (move.evict !== undefined && !(await this.evictAdapter(server, move.evict))) {
      release();
      return;
    }
    const outcome = await this.loadAdapter(server, model, adapter);
    if (outcome !== "accepted" && outcome !== "already-holds" && outcome !== "unknown") release();
  }

  private adapterMove(
    service: string,
    name: string,
    limits: EngineLimits,
    servers: readonly BackendServer[],
  ): AdapterMove | undefined {
    const now = performance.now();
    const model = modelOf(limits, name.split("/")[0] ?? "");
    // Guards "an adapter is loaded beside itself": it may be there or on its way though callers were told that it
    // is gone. The order is given to the same engine again, which takes effect once, and takes no further place.
    const holding = servers.find((server) => this.desk(server).adapters.includes(name));
    if (holding !== undefined) {
      const { adapters, busy } = this.adapterEngine(holding, now);
      const full = adapters.length > limits.adapterSlots;
      return busy || full ? undefined : { engineId: holding.id, evict: undefined };
    }
    return planAdapter({
      engines: servers
        .filter((server) => this.freeMb(this.desk(server), limits) >= (model?.adapterMb ?? 0))
        .map((server) => this.adapterEngine(server, now))
        .filter((engine) => !engine.busy),
      slots: limits.adapterSlots,
      lastUsedMs: (other) => this.demand.adapterUsedMs(`${service} ${other}`, now),
      nowMs: now,
    });
  }

  private async loadAdapter(server: BackendServer, model: string, adapter: string): Promise<DeskOutcome> {
    const outcome = await this.desk(server).insist({ action: "load", model, adapter, reason: "waiting" });
    this.noteGone(server, outcome);
    if (outcome === "accepted" || outcome === "already-holds") {
      await new Promise((resolve) => setTimeout(resolve, adapterReadyMs));
      this.announce(server, { model, adapter, present: true });
    }
    return outcome;
  }

  private async evictAdapter(server: BackendServer, name: string): Promise<boolean> {
    const [model, adapter] = name.split("/");
    if (model === undefined || adapter === undefined) return false;
    this.announce(server, { model, adapter, present: false });
    const gone = await this.desk(server).evictAdapter(model, adapter);
    // An order that was refused leaves it there; one that waits for running requests takes no new ones.
    if (!gone && this.desk(server).evictableAdapters.includes(name))
      this.announce(server, { model, adapter, present: true });
    return gone;
  }

  private adapterEngine(server: BackendServer, now: number): AdapterEngine {
    const { serving } = this.options;
    const load = serving.loads.loadOf(server.id, now);
    const desk = this.desk(server);
    return {
      id: server.id,
      adapters: desk.adapters,
      evictable: desk.evictableAdapters,
      expectedMs: load.pendingMs + load.requests,
      // While a model is on its way in or out the engine refuses every other order.
      busy: desk.busy || this.closed(desk) || serving.outliers.health(server.id, now).ejected,
    };
  }

  /** Takes a change of an engine's memory here and tells the peers. */
  private announce(server: BackendServer, effect: OrderEffect): void {
    const change = residencyOf(server, effect);
    this.options.serving.fleet.applyChange(change, performance.now());
    this.options.serving.fleetChanged.fire(undefined);
    this.options.peers.notify("residency", change);
  }
}

function modelOf({ models }: EngineLimits, name: string): Model | undefined {
  return models.find((model) => model.name === name);
}

function residencyOf({ id, startedAtMs }: BackendServer, effect: OrderEffect): ResidencyChange {
  return { serverId: id, ...(startedAtMs === undefined ? {} : { startedAtMs }), ...effect };
}
