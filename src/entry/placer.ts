/**
 * The placement loop: the holder of the placement lease plans from what engines report and what entry
 * nodes measure, and orders loads and unloads, each with its fencing number. It reconciles: every round
 * starts from the engines' own reports, so an order that was lost or came late is simply planned again.
 */
import * as protocol from "../common/engineProtocol.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { Accelerator, Copy, Load, Need, Planner, Unload } from "../placement/snapshot.ts";
import type { ConfigWatcher } from "./configWatcher.ts";
import type { DemandBoard } from "./demandBoard.ts";
import { learnStatus, type Engine, type Fleet } from "./fleet.ts";
import type { Lease } from "./lease.ts";
import type { LoadBudget } from "./loadBudget.ts";
import type { EntryMetrics } from "./metrics.ts";
import { needsOf, type PlacedModel } from "./needs.ts";

/** Options of a `Placer`. */
export interface PlacerOptions {
  readonly config: ConfigWatcher;
  readonly fleet: Fleet;
  readonly board: DemandBoard;
  readonly lease: Lease;
  readonly budget: LoadBudget;
  readonly planner: Planner;
  readonly metrics: EntryMetrics;
  readonly log: Log;
  readonly everyMs?: number;
  /** How long an engine that failed an order is passed over for new loads, in ms. */
  readonly orderBackoffMs?: number;
  /** How long a planned copy may wait for its room (streams of the evicted model end first), in ms. */
  readonly planMs?: number;
}

const defaults = { everyMs: 500, orderBackoffMs: 5000, planMs: 15_000 };

/** A copy planned and not yet reported by its engine. */
interface Planned {
  readonly engine: string;
  readonly need: Need;
  /** Copies that make room for it. */
  readonly evict: readonly Unload[];
  readonly until: number;
}

/** The placement task: lease, plan, orders. */
export class Placer extends PeriodicTask {
  private readonly options: PlacerOptions & typeof defaults;
  /** Engines passed over for loads until the given epoch ms, after a failed order. */
  private readonly avoidUntil = new Map<string, number>();
  private planned: Planned[] = [];
  /** Orders under way, by engine and model. */
  private readonly ordering = new Set<string>();
  /** Since when each model is asked for without any copy, epoch ms. */
  private unmetSince = new Map<string, number>();
  /** When each copy (engine, model, version) was first seen. */
  private seen = new Map<string, number>();

  constructor(options: PlacerOptions) {
    super("placer", options.everyMs ?? defaults.everyMs, options.log);
    this.options = { ...defaults, ...options };
  }

  /** Models with a copy planned or loading. */
  coming(): string[] {
    const loading = this.options.fleet
      .usable()
      .flatMap((engine) => engine.status?.residents ?? [])
      .filter((resident) => resident.state === "loading")
      .map((resident) => resident.model);
    return [...new Set([...loading, ...this.planned.map((plan) => plan.need.model)])];
  }

  /** Stops placing and gives up the lease locally. */
  override async dispose(): Promise<void> {
    await super.dispose();
    this.options.lease.release();
  }

  /**
   * Plans from what is known now and sends the orders, without waiting for their answers. Does nothing
   * unless the lease is held. A report of demand is planned for at once, so its sender can be told
   * which models are coming.
   */
  plan(): void {
    const { lease, budget, planner, config, board } = this.options;
    if (!lease.held()) return;
    const models = needsOf(config.live(), board.totals());
    this.noteUnmet(models);
    this.advance(models);
    const accelerators = this.accelerators();
    const running = accelerators.flatMap((a) => a.copies).filter((copy) => copy.state === "loading").length;
    const moves = planner({
      now: Date.now(),
      accelerators,
      needs: [...models.values()].map(({ need }) => ({
        ...need,
        unmetSince: this.unmetSince.get(need.model) ?? 0,
      })),
      loads: budget.available(running + this.planned.length),
    });
    for (const move of moves) {
      if (move.kind === "unload") this.order(move, () => this.unload(move));
      else this.adopt(move);
    }
    this.advance(models);
  }

  protected async step(): Promise<void> {
    if (!(await this.options.lease.renew())) {
      this.planned = [];
      return;
    }
    await this.options.fleet.refresh();
    this.plan();
  }

  /** Takes every planned copy a step further: out with what is in its place, then in with it. */
  private advance(models: ReadonlyMap<string, PlacedModel>): void {
    this.dropFinished();
    for (const evicted of this.dueEvictions()) this.order(evicted, () => this.unload(evicted));
    for (const { engine, model } of this.dueLoads(models))
      this.order({ address: engine.address, model: model.spec.name }, () => this.load(engine, model));
  }

  /** Sends an order unless the same is under way; once it is answered, planned copies go on. */
  private order(target: { address: string; model: string }, send: () => Promise<void>): void {
    const key = `${target.address} ${target.model}`;
    if (this.ordering.has(key)) return;
    this.ordering.add(key);
    void send().finally(() => {
      this.ordering.delete(key);
      if (this.options.lease.held())
        this.advance(needsOf(this.options.config.live(), this.options.board.totals()));
    });
  }

  private noteUnmet(models: ReadonlyMap<string, PlacedModel>): void {
    const now = Date.now();
    const held = new Set(
      this.options.fleet.present().flatMap((engine) => engine.status?.residents.map((r) => r.model) ?? []),
    );
    const unmet = [...models.values()]
      .filter(({ need }) => !held.has(need.model) && (need.waiting > 0 || need.demand > 0))
      .map(({ need }) => [need.model, this.unmetSince.get(need.model) ?? now] as const);
    this.unmetSince = new Map(unmet);
  }

  /** The engines' accelerators as last reported, with the copies planned for them. */
  private accelerators(): Accelerator[] {
    const now = Date.now();
    const seen = new Map<string, number>();
    const usable = new Set(this.options.fleet.usable());
    const accelerators = this.options.fleet.present().flatMap((engine) => {
      if (engine.status === undefined) return [];
      const copies = engine.status.residents.map((resident): Copy => {
        const key = `${engine.address} ${resident.model} ${resident.version}`;
        const since = this.seen.get(key) ?? now;
        seen.set(key, since);
        return { ...resident, since };
      });
      const planned = this.planned
        .filter((plan) => plan.engine === engine.address)
        .map(({ need }): Copy => ({ ...need, state: "planned", since: now }));
      return [
        {
          address: engine.address,
          capacityMb: engine.status.capacityMb,
          slots: engine.status.slots,
          loadable: usable.has(engine) && (this.avoidUntil.get(engine.address) ?? 0) <= now,
          copies: [...copies, ...planned],
        },
      ];
    });
    this.seen = seen;
    return accelerators;
  }

  private adopt(move: Load): void {
    const { need, address, reason, evict } = move;
    this.options.budget.take();
    this.planned.push({ engine: address, need, evict, until: Date.now() + this.options.planMs });
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

  /** Copies in the place of planned ones, until their engine reports them on their way out. */
  private dueEvictions(): Unload[] {
    return this.planned
      .flatMap((plan) => plan.evict)
      .filter((evicted) =>
        this.engine(evicted.address)?.status?.residents.some(
          (r) => r.model === evicted.model && r.version === evicted.version && r.state !== "unloading",
        ),
      );
  }

  /** Drops plans whose copy is there, whose engine is gone, or whose time is up. */
  private dropFinished(): void {
    const now = Date.now();
    this.planned = this.planned.filter((plan) => {
      const engine = this.engine(plan.engine);
      if (engine?.status === undefined || plan.until <= now) return false;
      return !engine.status.residents.some(
        (r) => r.model === plan.need.model && r.version === plan.need.version && r.state !== "unloading",
      );
    });
  }

  /** Planned copies whose room is free by the engine's own report. */
  private dueLoads(models: ReadonlyMap<string, PlacedModel>): { engine: Engine; model: PlacedModel }[] {
    return this.planned.flatMap((plan) => {
      const engine = this.engine(plan.engine);
      const model = models.get(plan.need.model);
      // Guards "space reused before the unload is done": the order waits until the engine itself reports
      // the room free and the old copy gone; the engine checks again before it reserves.
      const fits = engine?.status !== undefined && roomOn(engine.status) >= plan.need.sizeMb;
      const gone = !engine?.status?.residents.some((r) => r.model === plan.need.model);
      return engine !== undefined && model !== undefined && fits && gone ? [{ engine, model }] : [];
    });
  }

  private engine(address: string): Engine | undefined {
    return this.options.fleet.usable().find((engine) => engine.address === address);
  }

  /** Sends a load order; on failure the plan is dropped and the engine passed over for a while. */
  private async load(engine: Engine, model: PlacedModel): Promise<void> {
    const { lease } = this.options;
    if (!lease.held()) return;
    const { name, version, sizeMb, adapters } = model.spec;
    const order: protocol.LoadOrder = { model: name, version, sizeMb, adapters, fencing: lease.fencing };
    try {
      learnStatus(engine, await engine.rpc.call("engine.load", order, protocol.EngineStatus));
      this.options.metrics.moves.inc({ kind: "load" });
    } catch (error) {
      // Guards "a model is never placed": an engine that loses orders would otherwise be chosen again
      // every round (its free memory never shrinks); passed over, the next round chooses another.
      this.avoidUntil.set(engine.address, Date.now() + this.options.orderBackoffMs);
      this.planned = this.planned.filter((p) => p.engine !== engine.address || p.need.model !== name);
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
      learnStatus(engine, await engine.rpc.call("engine.unload", order, protocol.EngineStatus));
      metrics.moves.inc({ kind: "unload" });
    } catch (error) {
      log.warn({ event: "unload-failed", model, engine: move.address, error: toFailure(error).kind });
    }
  }
}

function roomOn(status: protocol.EngineStatus): number {
  return status.capacityMb - status.usedMb;
}
