/**
 * Placement: the entry node holding the placement lease keeps every model of every live template resident
 * on as many engines as its template asks, within each engine's memory, and unloads what no template
 * names. Orders carry the lease's fencing number. Each decision is a JSON log line.
 */
import * as protocol from "../common/engineProtocol.ts";
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { PlatformClient } from "../common/platformClient.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import type { ModelSpec } from "../common/template.ts";
import type { ConfigWatcher } from "./configWatcher.ts";
import type { Engine, Fleet } from "./fleet.ts";
import { Lease } from "./lease.ts";
import type { EntryMetrics } from "./metrics.ts";

/** Options of a `Placer`. */
export interface PlacerOptions {
  readonly platform: PlatformClient;
  readonly config: ConfigWatcher;
  readonly fleet: Fleet;
  readonly metrics: EntryMetrics;
  readonly log: Log;
  readonly nodeId: string;
  readonly everyMs?: number;
  /** Load orders started per round, to stay within the weight store's rate limit. */
  readonly loadsPerRound?: number;
  /** Placement lease duration, in ms. */
  readonly leaseTtlMs?: number;
  /** How long an engine that failed an order is passed over for new loads, in ms. */
  readonly orderBackoffMs?: number;
}

const defaults = { everyMs: 500, loadsPerRound: 2, leaseTtlMs: 3000, orderBackoffMs: 5000 };

/** The placement task: lease, plan, orders. */
export class Placer extends PeriodicTask {
  private readonly lease: Lease;
  private readonly options: PlacerOptions & typeof defaults;
  /** Engines passed over for loads until the given epoch ms, after a failed order. */
  private readonly avoidUntil = new Map<string, number>();

  constructor(options: PlacerOptions) {
    super("placer", options.everyMs ?? defaults.everyMs, options.log);
    this.options = { ...defaults, ...options };
    this.lease = new Lease({
      platform: options.platform,
      key: "leases/placement",
      holder: options.nodeId,
      ttlMs: this.options.leaseTtlMs,
    });
  }

  /** Stops placing and gives up the lease locally. */
  override async dispose(): Promise<void> {
    await super.dispose();
    this.lease.release();
  }

  protected async step(): Promise<void> {
    if (!(await this.lease.renew())) return;
    await this.options.fleet.refresh();
    const wanted = this.wanted();
    // Orders of one round run at once (the weight store allows several loads in parallel); each
    // choice is recorded in the local view before the next is made, so two never pick the same room.
    const orders: Promise<void>[] = [];
    for (const spec of wanted.values()) {
      while (this.hosting(spec).length < spec.replicas && orders.length < this.options.loadsPerRound) {
        const engine = this.choose(spec);
        if (engine === undefined) break;
        orders.push(this.order(engine, spec));
      }
    }
    await Promise.all(orders);
    await this.unloadUnwanted(wanted);
  }

  private wanted(): Map<string, ModelSpec> {
    const wanted = new Map<string, ModelSpec>();
    for (const template of this.options.config.live()) {
      for (const model of template.models) {
        const held = wanted.get(model.name);
        if (held === undefined || held.replicas < model.replicas) wanted.set(model.name, model);
      }
    }
    return wanted;
  }

  private hosting(spec: ModelSpec): Engine[] {
    return this.options.fleet
      .usable()
      .filter((engine) =>
        engine.status?.residents.some((r) => r.model === spec.name && r.version === spec.version),
      );
  }

  /** Picks the engine for one more copy of `spec` and records the copy as loading in the local view. */
  private choose(spec: ModelSpec): Engine | undefined {
    const need = footprint(spec);
    // Guards "a model is never placed": an engine that loses orders would otherwise be chosen first
    // every round (its free memory never shrinks) and time out every time; passing it over for a while
    // lets the next round choose another engine.
    const now = Date.now();
    const usable = this.options.fleet
      .usable()
      .filter((engine) => (this.avoidUntil.get(engine.address) ?? 0) <= now);
    const fresh = usable
      .filter((engine) => residentOf(engine, spec.name) === undefined)
      .filter((engine) => free(engine) >= need)
      .sort((a, b) => free(b) - free(a));
    const replaceable = usable.filter((engine) => this.canReplace(engine, spec, need, usable));
    const candidates = [...fresh, ...replaceable];
    const engine = candidates[0];
    this.options.log.info({
      event: "place",
      model: spec.name,
      version: spec.version,
      engine: engine?.address ?? null,
      reason: placeReason(engine, fresh),
      needMb: need,
      alternatives: candidates.slice(1).map((candidate) => candidate.address),
      fencing: this.lease.fencing,
    });
    if (engine?.status === undefined || !this.lease.held()) return undefined;
    // Guards "memory over capacity while placing": this node's view may be stale, so the copy is
    // counted locally at once, and the engine checks capacity again before it reserves.
    const old = residentOf(engine, spec.name);
    engine.status = {
      ...engine.status,
      usedMb: engine.status.usedMb - (old?.sizeMb ?? 0) + need,
      residents: [
        ...engine.status.residents.filter((resident) => resident.model !== spec.name),
        {
          model: spec.name,
          version: spec.version,
          sizeMb: need,
          adapters: spec.adapters.map((a) => a.name),
          state: "loading",
        },
      ],
    };
    return engine;
  }

  /** Sends the load order; on failure passes the engine over for a while (not for the weight store's limit). */
  private async order(engine: Engine, spec: ModelSpec): Promise<void> {
    const order: protocol.LoadOrder = {
      model: spec.name,
      version: spec.version,
      sizeMb: spec.sizeMb,
      adapters: spec.adapters,
      fencing: this.lease.fencing,
    };
    try {
      engine.status = await engine.rpc.call("engine.load", order, protocol.EngineStatus);
      this.options.metrics.moves.inc({ kind: "load" });
    } catch (error) {
      const kind = toFailure(error).kind;
      // rate-limited is the weight store's limit, shared by all engines: passing this one over would
      // only move the same wait elsewhere.
      if (kind !== "rate-limited")
        this.avoidUntil.set(engine.address, Date.now() + this.options.orderBackoffMs);
      this.options.log.warn({ event: "load-failed", model: spec.name, engine: engine.address, error: kind });
    }
  }

  /**
   * Whether `engine` may swap its old version of the model for `spec` in place. Guards "a rollout
   * stalls" (every engine left holds the old version, so none is free for the new one) without
   * breaking "models stay reachable": the swap drops this copy while the new one loads, so it is
   * allowed only while a ready copy of the model stays on another engine. Memory stays within
   * capacity because the engine frees the old copy in the same step as it reserves the new one.
   */
  private canReplace(engine: Engine, spec: ModelSpec, need: number, usable: readonly Engine[]): boolean {
    const old = residentOf(engine, spec.name);
    if (old === undefined || old.version === spec.version) return false;
    if (free(engine) + old.sizeMb < need) return false;
    return usable.some((other) => other !== engine && residentOf(other, spec.name)?.state === "ready");
  }

  private async unloadUnwanted(wanted: ReadonlyMap<string, ModelSpec>): Promise<void> {
    for (const engine of this.options.fleet.usable()) {
      for (const resident of engine.status?.residents ?? []) {
        const spec = wanted.get(resident.model);
        const stale =
          spec !== undefined &&
          spec.version !== resident.version &&
          this.hosting(spec).length >= spec.replicas;
        if (spec !== undefined && !stale) continue;
        if (!this.lease.held()) return;
        this.options.log.info({
          event: "unplace",
          model: resident.model,
          version: resident.version,
          engine: engine.address,
          reason: spec === undefined ? "no-template-names-it" : "old-version",
          fencing: this.lease.fencing,
        });
        try {
          await engine.rpc.call(
            "engine.unload",
            { model: resident.model, fencing: this.lease.fencing },
            protocol.EngineStatus,
          );
          this.options.metrics.moves.inc({ kind: "unload" });
        } catch (error) {
          this.options.log.warn({
            event: "unload-failed",
            model: resident.model,
            error: toFailure(error).kind,
          });
        }
      }
    }
  }
}

function placeReason(engine: Engine | undefined, fresh: readonly Engine[]): string {
  if (engine === undefined) return "no-engine-with-room";
  return fresh.includes(engine) ? "most-free-memory" : "replace-old-version";
}

function residentOf(engine: Engine, model: string): protocol.Resident | undefined {
  return engine.status?.residents.find((resident) => resident.model === model);
}

function footprint(spec: ModelSpec): number {
  return spec.sizeMb + spec.adapters.reduce((sum, adapter) => sum + adapter.sizeMb, 0);
}

function free(engine: Engine): number {
  return engine.status === undefined ? 0 : engine.status.capacityMb - engine.status.usedMb;
}
