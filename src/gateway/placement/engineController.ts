/** Sends load and unload orders to one engine, one at a time, and tracks what may occupy its memory. */
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import { startedAfter, type BackendServer } from "../../serving/backendServer.ts";
import { targetOf, type EngineApi, type OrderOutcome, type OrderTarget } from "../../serving/orders.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";

/** A load or unload to order. */
export interface OrderRequest {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly reason: string;
  /** Inputs of the decision, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>;
}

/**
 * `no-lease`: this node may not order the engine now; `outdated`: planned from an older state of the engine, not sent;
 * `unknown`: the order may have been accepted, or may still be.
 */
export type EngineOrderOutcome = OrderOutcome | "no-lease" | "outdated" | "unknown";

/** Options shared by all engine controllers. */
export interface EngineControllerOptions {
  readonly engines: EngineApi;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly holder: string;
  /** Returns the fencing token, or undefined while this node may not order the engine. */
  readonly tokenFor: (serverId: string) => number | undefined;
}

/** A model order that the engine's registration does not confirm yet. */
interface UnconfirmedOrder {
  readonly sinceMs: number;
  /** The outcome of the order is unknown: it may never be executed. */
  readonly uncertain: boolean;
}

/**
 * Maximum age of a registration when it is read, ms. For this long after an order it may still list an unloaded model
 * or lack a loaded one, so a model that was just unloaded isn't ordered back to the same engine.
 */
const maxRegistrationAgeMs = 2_500;

/** An order that was not executed within this time never will be, ms; late orders took up to 12 s. */
const orderExpiryMs = 15_000;
/** Lag of an engine report, ms: it covers orders accepted at least this long before; observed lags are some 100 ms. */
const reportLagMs = 500;
/** Resends of an order without a response; three lost in a row are rare even on an unreliable network. */
const maxResends = 2;
/** Back-off after an order was refused because another is in progress or the sequence differs, ms. */
const conflictBackoffMs = 250;

/** Memory stays reserved for a model this long, ms: an unload waits for running requests, usually a few seconds. */
const reservationMs = 8_000;

const emptyReport = { models: [], adapters: [] };

/** Orders and memory accounting of one engine, across its restarts. */
export class EngineController {
  /** Unconfirmed loads by model; their memory counts as used. */
  readonly loading = new Map<string, UnconfirmedOrder>();
  /** Unconfirmed unloads by model; their memory still counts as used. */
  readonly unloading = new Map<string, UnconfirmedOrder>();
  /** The model for which another one was evicted here. */
  private reservation: { readonly model: string; readonly sinceMs: number } | undefined;
  /** Times at which adapter loads were ordered, by MODEL/NAME. */
  private readonly pendingAdapters = new Map<string, number>();
  /** Pending adapters whose order got no response; it may still be executed. */
  private readonly uncertainAdapters = new Set<string>();
  /** Adapters chosen for eviction that are not known to be unloaded. */
  private readonly evictingAdapters = new Set<string>();
  /** Unloaded adapters that registrations may still list. */
  private readonly unloadedAdapters = new Set<string>();
  /** Time of the last order for each model (load or unload) or adapter as MODEL/NAME (unload only). */
  private readonly changedMs = new Map<string, number>();
  private registration: BackendServer;
  /** When the current registration was received. */
  private registrationReceivedMs = performance.now();
  /** Contents of the engine's last report; adapters as MODEL/NAME. */
  private lastReport:
    { readonly models: string[]; readonly adapters: string[]; readonly atMs: number } | undefined;
  /** Number of orders that the engine is known to have accepted. */
  private sequence = 0;
  private orderQueue: Promise<unknown> = Promise.resolve();
  /** The sequence is unknown, so a report is requested before the next order. */
  private reportNeeded = true;
  /** Model orders without a response yet. */
  private modelOrdersInFlight = 0;
  private lastOrderMs = Number.NEGATIVE_INFINITY;
  private lastConflictMs = Number.NEGATIVE_INFINITY;

  constructor(
    server: BackendServer,
    private readonly options: EngineControllerOptions,
  ) {
    this.registration = server;
  }

  /** The latest known registration of the engine. */
  get server(): BackendServer {
    return this.registration;
  }

  /**
   * Whether the engine itself reported what it holds. After a store outage the registrations lack what the previous
   * lease holder ordered meanwhile, and a new holder relying on them would over-commit the engine's memory.
   */
  get verified(): boolean {
    return this.lastReport !== undefined;
  }

  /**
   * Whether a model load or unload is in progress; the engine then accepts no other model order. An order of unknown
   * outcome does not count: the engine accepts the next order, which supersedes it.
   */
  get busy(): boolean {
    const inProgress = (orders: ReadonlyMap<string, UnconfirmedOrder>): boolean =>
      [...orders.values()].some((order) => !order.uncertain);
    return this.modelOrdersInFlight > 0 || inProgress(this.loading) || inProgress(this.unloading);
  }

  /** Discards the last report, which may not cover all orders; a new one is requested before the next order. */
  invalidateReport(): void {
    this.lastReport = undefined;
    this.reportNeeded = true;
  }

  /** The model for which memory is reserved here. */
  get reservedFor(): string | undefined {
    if (this.reservation === undefined || performance.now() - this.reservation.sinceMs > reservationMs)
      return undefined;
    return this.reservation.model;
  }

  /** Reserves the memory that an unload frees for `model`. */
  reserveFor(model: string): void {
    this.reservation = { model, sinceMs: performance.now() };
  }

  /** Whether an order was refused so recently that another one would be refused too. */
  get backingOff(): boolean {
    return performance.now() - this.lastConflictMs < conflictBackoffMs;
  }

  /** Resident models that are not being unloaded. */
  get retainedModels(): string[] {
    return this.registration.residents
      .map((r) => r.model)
      .filter((model) => this.unloading.get(model)?.uncertain !== false);
  }

  /** All models that may occupy memory. */
  get occupyingModels(): Set<string> {
    const resident = this.registration.residents.map((r) => r.model);
    return new Set([
      ...resident,
      ...this.recentReport().models,
      ...this.unloading.keys(),
      ...this.loading.keys(),
    ]);
  }

  /** Adapters that may occupy an adapter slot, as MODEL/NAME. */
  get adapters(): string[] {
    const all = new Set([
      ...adaptersOf(this.registration),
      ...this.recentReport().adapters,
      ...this.pendingAdapters.keys(),
    ]);
    return [...all].filter((name) => !this.unloadedAdapters.has(name));
  }

  /** Adapters that may be evicted: neither being loaded nor unloaded. */
  get evictableAdapters(): string[] {
    return this.adapters.filter(
      (name) => !this.pendingAdapters.has(name) && !this.evictingAdapters.has(name),
    );
  }

  /** Models, and adapters as MODEL/NAME, changed so recently that registrations may not show it yet. */
  get recentlyChanged(): Set<string> {
    const now = performance.now();
    const recent = [...this.changedMs].filter(([, atMs]) => now - atMs < maxRegistrationAgeMs);
    return new Set(recent.map(([name]) => name));
  }

  /**
   * Sends an order and resends it while its outcome is unknown. An order may be executed up to 12 s late unless another
   * one was accepted meanwhile; without resending, one lost response would block the engine for seconds. All resends
   * carry the same expected sequence, so at most one of them takes effect.
   */
  async orderWithRetries(request: OrderRequest): Promise<EngineOrderOutcome> {
    for (let resendsLeft = maxResends; ; resendsLeft -= 1) {
      const outcome = await this.order(request);
      if (outcome !== "unknown" || resendsLeft === 0) return outcome;
    }
  }

  /** Sends the order after the previous ones are settled. */
  order(request: OrderRequest): Promise<EngineOrderOutcome> {
    const orders = request.adapter === undefined ? 1 : 0;
    // Counted before sending, so that a placement round starting meanwhile does not send the same order again.
    this.modelOrdersInFlight += orders;
    const result = this.orderQueue.then(() => this.send(request));
    this.orderQueue = result.then(
      () => (this.modelOrdersInFlight -= orders),
      () => (this.modelOrdersInFlight -= orders),
    );
    return result;
  }

  /** Counts an adapter as resident before its order is sent; returns a function that cancels the reservation. */
  reserveAdapter(name: string): () => void {
    const wasPending = this.pendingAdapters.has(name);
    this.pendingAdapters.set(name, performance.now());
    this.unloadedAdapters.delete(name);
    return () => {
      // An earlier order may still load it.
      if (!wasPending) this.pendingAdapters.delete(name);
    };
  }

  /** Unloads an adapter; resolves with true if its slot is free. */
  async evictAdapter(model: string, adapter: string): Promise<boolean> {
    const name = `${model}/${adapter}`;
    // Two unloads of one adapter are both confirmed but the engine counts only the first one. The local sequence would
    // run ahead and every later order would be refused, so an adapter is evicted only once at a time.
    this.evictingAdapters.add(name);
    const outcome = await this.order({ action: "unload", model, adapter, reason: "make-room" });
    // "accepted": running requests still use the adapter; it is unloaded once they complete.
    if (outcome !== "accepted") this.evictingAdapters.delete(name);
    return outcome === "already-holds";
  }

  /** Applies a registration of the engine; returns the models whose load it confirms. */
  applyRegistration(server: BackendServer): string[] {
    if (server === this.registration) this.confirmAdapters(adaptersOf(server));
    if (server === this.registration || startedAfter(this.registration, server)) return [];
    if (startedAfter(server, this.registration)) this.resetForRestart();
    this.registration = server;
    this.registrationReceivedMs = performance.now();
    const held = new Set(server.residents.map((resident) => resident.model));
    const loaded = [...held].filter((model) => this.loading.delete(model));
    for (const model of [...this.unloading.keys()]) if (!held.has(model)) this.unloading.delete(model);
    const adapters = adaptersOf(server);
    this.confirmAdapters(adapters);
    for (const name of [...this.unloadedAdapters])
      if (!adapters.has(name)) this.unloadedAdapters.delete(name);
    for (const name of [...this.evictingAdapters])
      if (!adapters.has(name)) this.evictingAdapters.delete(name);
    return loaded;
  }

  /**
   * When an adapter is unloaded and loaded again, a registration from before the unload lists it and the next one, from
   * between the two orders, does not. Confirming the load by the first would free the slot too early and over-commit
   * the slots. So an ordered adapter keeps its slot until registrations must be newer than the order.
   */
  private confirmAdapters(registered: ReadonlySet<string>): void {
    const now = performance.now();
    for (const [name, atMs] of this.pendingAdapters) {
      const ageMs = now - atMs;
      if (ageMs > orderExpiryMs || (ageMs > maxRegistrationAgeMs && registered.has(name))) {
        this.pendingAdapters.delete(name);
        this.uncertainAdapters.delete(name);
      }
    }
  }

  /**
   * The engine restarted under the same id, so its memory is empty and its sequence is 0. With the old state its memory
   * would look full and it would refuse every order because of the expected sequence. Orders of unknown outcome stay
   * counted, as the new incarnation may still execute them.
   */
  private resetForRestart(): void {
    for (const orders of [this.loading, this.unloading]) {
      for (const [model, order] of [...orders]) if (!order.uncertain) orders.delete(model);
    }
    for (const name of this.pendingAdapters.keys()) {
      if (!this.uncertainAdapters.has(name)) this.pendingAdapters.delete(name);
    }
    this.evictingAdapters.clear();
    this.unloadedAdapters.clear();
    this.changedMs.clear();
    this.reservation = undefined;
    this.lastReport = undefined;
    this.sequence = 0;
    this.reportNeeded = true;
  }

  /** Requests a report from the engine; needed where responses don't tell the outcome of orders. */
  async requestReport(): Promise<void> {
    const report = await this.options.engines.report(this.target);
    const { startedAtMs } = report;
    if (startedAtMs !== undefined) {
      // The report predates a known restart and says nothing about the current incarnation.
      if (startedAfter(this.registration, { startedAtMs })) return;
      if (startedAfter({ startedAtMs }, this.registration)) {
        this.resetForRestart();
        this.registration = { ...this.registration, startedAtMs, residents: [] };
      }
    }
    this.reportNeeded = false;
    const sequenceAdvanced = report.sequence > this.sequence;
    const upToDate = performance.now() - this.lastOrderMs > reportLagMs;
    this.sequence = upToDate ? report.sequence : Math.max(this.sequence, report.sequence);
    const adapters = adaptersOf(report);
    const models = report.residents.map((r) => r.model);
    // While an order is in progress the report does not include its effect, so it can't be used.
    if (report.busy) return;
    // The report may predate recent orders too: the effects of those stay counted.
    this.lastReport = { models, adapters: [...adapters, ...report.coming], atMs: performance.now() };
    if (!upToDate) return;
    const held = new Set(models);
    for (const [model, unload] of [...this.unloading])
      if (sequenceAdvanced && unload.uncertain) this.unloading.delete(model);
    for (const [model, load] of [...this.loading]) {
      // An order of unknown outcome is superseded only once another order was accepted after it.
      if (!held.has(model) && (sequenceAdvanced || !load.uncertain)) this.loading.delete(model);
    }
  }

  /**
   * Requests a report before the next order; returns true if the sequence differs from the one at planning time. A late
   * order may have taken the slot that the next order was planned for. With the newly learned sequence the engine could
   * not detect that the order is outdated, so it has to be planned again.
   */
  private async detectSequenceChange(): Promise<boolean> {
    const planned = this.sequence;
    try {
      await this.requestReport();
    } catch (error) {
      this.options.log.debug({
        event: "report-failed",
        server: this.registration.id,
        detail: toFailure(error).message,
      });
    }
    return this.sequence !== planned;
  }

  /**
   * The last report, until a registration arrives that must be newer. What an earlier lease holder loaded may be
   * missing in registrations for any length of time; ignoring it would over-commit the engine's memory.
   */
  private recentReport(): { readonly models: readonly string[]; readonly adapters: readonly string[] } {
    const { lastReport } = this;
    if (lastReport === undefined || this.registrationReceivedMs - lastReport.atMs > maxRegistrationAgeMs)
      return emptyReport;
    return {
      models: lastReport.models.filter((model) => !this.unloadedSince(model, lastReport.atMs)),
      adapters: lastReport.adapters.filter(
        (name) => (this.changedMs.get(name) ?? Number.NEGATIVE_INFINITY) < lastReport.atMs - reportLagMs,
      ),
    };
  }

  private unloadedSince(model: string, atMs: number): boolean {
    return !this.unloading.has(model) && !this.loading.has(model) && (this.changedMs.get(model) ?? 0) > atMs;
  }

  private get target(): OrderTarget {
    return targetOf(this.registration);
  }

  private async send(request: OrderRequest): Promise<EngineOrderOutcome> {
    const { engines, log, metrics, holder, tokenFor } = this.options;
    const { target } = this;
    if (this.reportNeeded && (await this.detectSequenceChange())) return "outdated";
    const fencingToken = tokenFor(target.serverId);
    if (fencingToken === undefined) return "no-lease";
    const { action, model, adapter } = request;
    const expectedSequence = this.sequence;
    const { startedAtMs } = this.registration;
    let outcome: EngineOrderOutcome;
    try {
      outcome = await engines.order(target, {
        action,
        model,
        adapter,
        expectedSequence,
        holder,
        fencingToken,
      });
    } catch (error) {
      outcome = "unknown";
      log.warn({ event: "order-unanswered", server: target.serverId, detail: toFailure(error).message });
    }
    // Orders that an earlier incarnation accepted were lost with it.
    if (this.registration.startedAtMs === startedAtMs || outcome === "unknown")
      this.applyOutcome(request, outcome);
    metrics.orders.inc({ action, outcome });
    log.info({
      event: "order",
      server: target.serverId,
      action,
      model,
      adapter,
      reason: request.reason,
      ...request.inputs,
      sequence: expectedSequence,
      token: fencingToken,
      outcome,
      counted: { models: [...this.occupyingModels], adapters: this.adapters },
      reportAgeMs: ageMs(this.lastReport?.atMs),
      registrationAgeMs: ageMs(this.registrationReceivedMs),
    });
    return outcome;
  }

  private applyOutcome(request: OrderRequest, outcome: EngineOrderOutcome): void {
    const { action, model, adapter } = request;
    const unloadedAdapter = action === "unload" && adapter !== undefined && outcome === "already-holds";
    if (outcome === "accepted" || unloadedAdapter) {
      this.sequence += 1;
      // A newer order was accepted, which supersedes earlier ones of unknown outcome.
      removeUncertain(this.loading);
      removeUncertain(this.unloading);
    }
    if (outcome === "conflict") this.lastConflictMs = performance.now();
    else this.lastOrderMs = performance.now();
    if (outcome === "conflict" || outcome === "unknown") this.reportNeeded = true;
    if (adapter === undefined) this.applyModelOutcome(action, model, outcome);
    else if (unloadedAdapter) this.applyAdapterUnload(`${model}/${adapter}`);
    // Reserved again because an unload of the same adapter may have cancelled the reservation.
    else if (action === "load" && (outcome === "accepted" || outcome === "unknown"))
      this.applyAdapterLoad(`${model}/${adapter}`, outcome);
  }

  private applyAdapterLoad(name: string, outcome: "accepted" | "unknown"): void {
    this.reserveAdapter(name);
    if (outcome === "unknown") this.uncertainAdapters.add(name);
    else this.uncertainAdapters.delete(name);
  }

  private applyAdapterUnload(name: string): void {
    this.pendingAdapters.delete(name);
    this.unloadedAdapters.add(name);
    this.changedMs.set(name, performance.now());
  }

  private applyModelOutcome(
    action: OrderRequest["action"],
    model: string,
    outcome: EngineOrderOutcome,
  ): void {
    const done = outcome === "accepted" || outcome === "already-holds";
    if (!done && outcome !== "unknown") return;
    const now = performance.now();
    this.changedMs.set(model, now);
    if (action === "load" && this.reservation?.model === model) this.reservation = undefined;
    const orders = action === "load" ? this.loading : this.unloading;
    orders.set(model, { sinceMs: now, uncertain: outcome === "unknown" });
  }
}

/** Resident adapters as MODEL/NAME. */
function adaptersOf({ residents }: Pick<BackendServer, "residents">): Set<string> {
  return new Set(residents.flatMap((r) => r.adapters.map((adapter) => `${r.model}/${adapter}`)));
}

function ageMs(sinceMs: number | undefined): number | undefined {
  return sinceMs === undefined ? undefined : Math.round(performance.now() - sinceMs);
}

function removeUncertain(orders: Map<string, UnconfirmedOrder>): void {
  for (const [name, order] of [...orders]) if (order.uncertain) orders.delete(name);
}
