/**
 * The placement control loop: the holder of the placement lease plans from the engines' reports and the entry
 * nodes' measured demand, and sends load and unload orders, each with its fencing number. Every round
 * reconciles against the engines' own reports, so an order that was lost or executed late is planned again.
 */
import * as protocol from "../common/engineProtocol.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { Accelerator, Replica, Load, Need, Planner, Unload } from "../placement/snapshot.ts";
import type { ConfigWatcher } from "./configWatcher.ts";
import type { DemandAggregator } from "./demandAggregator.ts";
import { applyStatus, type Engine, type Fleet } from "./fleet.ts";
import type { Lease } from "./lease.ts";
import type { LoadBudget } from "./loadBudget.ts";
import type { EntryMetrics } from "./metrics.ts";
import { needsOf, type PlacedModel } from "./needs.ts";

/** Options of a `PlacementController`. */
export interface PlacementControllerOptions {
  readonly config: ConfigWatcher;
  readonly fleet: Fleet;
  readonly demandAggregator: DemandAggregator;
  readonly lease: Lease;
  readonly budget: LoadBudget;
  readonly planner: Planner;
  readonly metrics: EntryMetrics;
  readonly log: Log;
  readonly everyMs?: number;
  /** How long an engine that failed an order gets no new loads, in ms. */
  readonly orderBackoffMs?: number;
  /** How long a pending load may wait for free memory (streams of the evicted model end first), in ms. */
  readonly pendingLoadTimeoutMs?: number;
}

const defaults = { everyMs: 500, orderBackoffMs: 5000, pendingLoadTimeoutMs: 15_000 };

/** A replica that is planned and not yet reported by its engine. */
interface PendingLoad {
  readonly engine: string;
  readonly need: Need;
  /** Replicas evicted to free memory for it. */
  readonly evict: readonly Unload[];
  readonly expiresAt: number;
}

/** The placement task: renews the lease, plans, and sends orders. */
export class PlacementController extends PeriodicTask {
  private readonly options: PlacementControllerOptions & typeof defaults;
  /** Engines that get no loads until the given time (epoch ms), after a failed order. */
  private readonly avoidUntil = new Map<string, number>();
  private pendingLoads: PendingLoad[] = [];
  /** Orders in flight, by engine and model. */
  private readonly ordersInFlight = new Set<string>();
  /** Since when each model has been requested without having any replica, epoch ms. */
  private unmetSince = new Map<string, number>();
  /** When each replica (engine, model, version) was first reported. */
  private firstSeen = new Map<string, number>();

  constructor(options: PlacementControllerOptions) {
    super("placer", options.everyMs ?? defaults.everyMs, options.log);
    this.options = { ...defaults, ...options };
  }

  /** Models with a planned or loading replica. */
  pendingModels(): string[] {
    const loading = this.options.fleet
      .usable()
      .flatMap((engine) => engine.status?.residents ?? [])
      .filter((resident) => resident.state === "loading")
      .map((resident) => resident.model);
    return [...new Set([...loading, ...this.pendingLoads.map((pending) => pending.need.model)])];
  }

  /** Stops placement and releases the lease locally. */
  override async dispose(): Promise<void> {
    await super.dispose();
    this.options.lease.release();
  }

  /**
   * Plans from the current state and sends the orders without waiting for their responses. Does nothing unless
   * the lease is held. Runs at once on a demand report with waiting requests, so that the response can list the
   * models with a pending load.
   */
  plan(): void {
    const { lease, budget, planner, config, demandAggregator } = this.options;
    if (!lease.held()) return;
    const models = needsOf(config.live(), demandAggregator.totals());
    this.recordUnmetDemand(models);
    this.sendDueOrders(models);
    const accelerators = this.accelerators();
    const running = accelerators
      .flatMap((a) => a.residents)
      .filter((replica) => replica.state === "loading").length;
    const moves = planner({
      now: Date.now(),
      accelerators,
      needs: [...models.values()].map(({ need }) => ({
        ...need,
        unmetSince: this.unmetSince.get(need.model) ?? 0,
      })),
      maxLoads: budget.available(running + this.pendingLoads.length),
    });
    for (const move of moves) {
      if (move.kind === "unload") this.sendOrder(move, () => this.unload(move));
      else this.addPendingLoad(move);
    }
    this.sendDueOrders(models);
  }

  protected async step(): Promise<void> {
    if (!(await this.options.lease.renew())) {
      this.pendingLoads = [];
      return;
    }
    await this.options.fleet.refresh();
    this.plan();
  }

  /** Sends the orders that are due: evictions for pending loads, then the loads whose memory is free. */
  private sendDueOrders(models: ReadonlyMap<string, PlacedModel>): void {
    this.prunePendingLoads();
    for (const evicted of this.dueEvictions()) this.sendOrder(evicted, () => this.unload(evicted));
    for (const { engine, model } of this.dueLoads(models))
      this.sendOrder({ address: engine.address, model: model.spec.name }, () => this.load(engine, model));
  }

  /** Sends an order unless one for the same engine and model is in flight; on its response, sends the orders then due. */
  private sendOrder(target: { address: string; model: string }, send: () => Promise<void>): void {
    const key = `${target.address} ${target.model}`;
    if (this.ordersInFlight.has(key)) return;
    this.ordersInFlight.add(key);
    void send().finally(() => {
      this.ordersInFlight.delete(key);
      if (this.options.lease.held())
        this.sendDueOrders(needsOf(this.options.config.live(), this.options.demandAggregator.totals()));
    });
  }

  private recordUnmetDemand(models: ReadonlyMap<string, PlacedModel>): void {
    const now = Date.now();
    const placed = new Set(
      this.options.fleet.present().flatMap((engine) => engine.status?.residents.map((r) => r.model) ?? []),
    );
    const unmet = [...models.values()]
      .filter(({ need }) => !placed.has(need.model) && (need.waiting > 0 || need.demand > 0))
      .map(({ need }) => [need.model, this.unmetSince.get(need.model) ?? now] as const);
    this.unmetSince = new Map(unmet);
  }

  /** The engines' accelerators as last reported, plus the replicas planned for them. */
  private accelerators(): Accelerator[] {
    const now = Date.now();
    const seen = new Map<string, number>();
    const usable = new Set(this.options.fleet.usable());
    const accelerators = this.options.fleet.present().flatMap((engine) => {
      if (engine.status === undefined) return [];
      const replicas = engine.status.residents.map((resident): Replica => {
        const key = `${engine.address} ${resident.model} ${resident.version}`;
        const since = this.firstSeen.get(key) ?? now;
        seen.set(key, since);
        return { ...resident, since };
      });
      const planned = this.pendingLoads
        .filter((pending) => pending.engine === engine.address)
        .map(({ need }): Replica => ({ ...need, state: "planned", since: now }));
      return [
        {
          address: engine.address,
          capacityMb: engine.status.capacityMb,
          slots: engine.status.slots,
          loadable: usable.has(engine) && (this.avoidUntil.get(engine.address) ?? 0) <= now,
          residents: [...replicas, ...planned],
        },
      ];
    });
    this.firstSeen = seen;
    return accelerators;
  }

  private addPendingLoad(move: Load): void {
    const { need, address, reason, evict } = move;
    this.options.budget.take();
    this.pendingLoads.push({
      engine: address,
      need,
      evict,
      expiresAt: Date.now() + this.options.pendingLoadTimeoutMs,
    });
    this.options.log.info({
      event: "place",
      model: need.model,
      version: need.version,
      engine: address,
      reason,
      evict: evict.map((evicted) => evicted.model),
      demand: need.demand,
      usual: need.usual,
      waiting: need.waiting,
      fencing: this.options.lease.fencing,
    });
  }

  /** Replicas to evict for pending loads whose engine doesn't report them as unloading yet. */
  private dueEvictions(): Unload[] {
    return this.pendingLoads
      .flatMap((pending) => pending.evict)
      .filter((evicted) =>
        this.engine(evicted.address)?.status?.residents.some(
          (r) => r.model === evicted.model && r.version === evicted.version && r.state !== "unloading",
        ),
      );
  }

  /** Drops pending loads whose replica is reported, whose engine is gone, or that have timed out. */
  private prunePendingLoads(): void {
    const now = Date.now();
    this.pendingLoads = this.pendingLoads.filter((pending) => {
      const engine = this.engine(pending.engine);
      if (engine?.status === undefined || pending.expiresAt <= now) return false;
      return !engine.status.residents.some(
        (r) =>
          r.model === pending.need.model && r.version === pending.need.version && r.state !== "unloading",
      );
    });
  }

  /** Pending loads whose memory is free by the engine's own report. */
  private dueLoads(models: ReadonlyMap<string, PlacedModel>): { engine: Engine; model: PlacedModel }[] {
    return this.pendingLoads.flatMap((pending) => {
      const engine = this.engine(pending.engine);
      const model = models.get(pending.need.model);
      // Prevents reusing memory before the unload is done: the order waits until the engine itself reports
      // the memory free and the old replica gone; the engine checks again before it reserves.
      const fits = engine?.status !== undefined && freeMbOf(engine.status) >= pending.need.sizeMb;
      const gone = !engine?.status?.residents.some((r) => r.model === pending.need.model);
      return engine !== undefined && model !== undefined && fits && gone ? [{ engine, model }] : [];
    });
  }

  private engine(address: string): Engine | undefined {
    return this.options.fleet.usable().find((engine) => engine.address === address);
  }

  /** Sends a load order; on failure the pending load is dropped and the engine gets no loads for `orderBackoffMs`. */
  private async load(engine: Engine, model: PlacedModel): Promise<void> {
    const { lease } = this.options;
    if (!lease.held()) return;
    const { name, version, sizeMb, adapters } = model.spec;
    const order: protocol.LoadOrder = { model: name, version, sizeMb, adapters, fencing: lease.fencing };
    try {
      applyStatus(engine, await engine.rpc.call("engine.load", order, protocol.EngineStatus));
      this.options.metrics.moves.inc({ kind: "load" });
    } catch (error) {
      // An engine that loses orders would otherwise be chosen again every round, as its free memory never shrinks,
      // and the model would never be placed; with the back-off, the next round chooses another engine.
      this.avoidUntil.set(engine.address, Date.now() + this.options.orderBackoffMs);
      this.pendingLoads = this.pendingLoads.filter(
        (p) => p.engine !== engine.address || p.need.model !== name,
      );
      const kind = toFailure(error).kind;
      this.options.log.warn({ event: "load-failed", model: name, engine: engine.address, error: kind });
    }
  }

  private async unload(move: Unload): Promise<void> {
    const { lease, log, metrics } = this.options;
    const engine = this.engine(move.address);
    if (engine === undefined || !lease.held()) return;
    const { model, version, reason } = move;
    log.info({ event: "unplace", model, version, engine: move.address, reason, fencing: lease.fencing });
    try {
      const order: protocol.UnloadOrder = { model, fencing: lease.fencing };
      applyStatus(engine, await engine.rpc.call("engine.unload", order, protocol.EngineStatus));
      metrics.moves.inc({ kind: "unload" });
    } catch (error) {
      log.warn({ event: "unload-failed", model, engine: move.address, error: toFailure(error).kind });
    }
  }
}

function freeMbOf(status: protocol.EngineStatus): number {
  return status.capacityMb - status.usedMb;
}
