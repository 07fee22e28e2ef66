/** Orders to one engine, one at a time, and what its memory holds for all that is known of them. */
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { startedAfter, type BackendServer } from "../serving/backendServer.ts";
import type { EngineApi, OrderOutcome, OrderTarget } from "../serving/orders.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** What to order. */
export interface OrderRequest {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly reason: string;
  /** What decided, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>;
}

/**
 * `no-lease`: this node may not order now; `outdated`: planned from an older state of the engine, not sent;
 * `unknown`: it may have been accepted, or may still be.
 */
export type EngineOrderOutcome = OrderOutcome | "no-lease" | "outdated" | "unknown";

/** What all controllers share. */
export interface EngineControllerOptions {
  readonly engines: EngineApi;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly holder: string;
  /** The fencing token, while this node may order the engine. */
  readonly tokenFor: (serverId: string) => number | undefined;
}

/** A model order that is not confirmed by the engine's registration yet. */
interface UnconfirmedOrder {
  readonly sinceMs: number;
  /** The order's outcome is unknown: it may never be carried out. */
  readonly uncertain: boolean;
}

/**
 * A registration may be this old when it is read, ms. Until then it can still show a model that was dropped,
 * or lack one that was loaded, so a model that just went isn't ordered back to the same engine.
 */
const maxRegistrationAgeMs = 2_500;

/** An order that was not carried out after this time never will be, ms; late ones took up to 12 s. */
const orderExpiryMs = 15_000;
/** A report shows orders that were accepted at least this long before, ms: its figures lag by some hundred ms. */
const reportLagMs = 500;
/** An order without an answer is given again this often: three lost in a row are rare even on a bad day. */
const maxResends = 2;
/** Pause after an order was refused because another is under way or the sequence differs, ms. */
const conflictBackoffMs = 250;

/** Room is kept for a model this long, ms: an unload waits for the requests that run, mostly a few seconds. */
const reservationMs = 8_000;

const emptyReport = { models: [], adapters: [] };

/** The controller of one incarnation of an engine. */
export class EngineController {
  /** Models ordered, by name: their memory counts as taken. */
  readonly loading = new Map<string, UnconfirmedOrder>();
  /** Models whose unloading was ordered and isn't confirmed: their memory counts as taken too. */
  readonly unloading = new Map<string, UnconfirmedOrder>();
  /** The model for which another was told to make way here. */
  private reservation: { readonly model: string; readonly sinceMs: number } | undefined;
  /** Adapters ordered, and when. */
  private readonly pendingAdapters = new Map<string, number>();
  /** Those of them whose order was not answered: it may still be carried out. */
  private readonly uncertainAdapters = new Set<string>();
  /** Adapters chosen to make way that are not known to be gone. */
  private readonly evictingAdapters = new Set<string>();
  /** Adapters unloaded that registrations may still show. */
  private readonly unloadedAdapters = new Set<string>();
  /** When each model, or adapter as MODEL/NAME, was last ordered in or out; of adapters only out. */
  private readonly changedMs = new Map<string, number>();
  private registration: BackendServer;
  /** When the registration was learned. */
  private registrationReceivedMs = performance.now();
  /** What the engine's last report showed, as models and as MODEL/NAME of adapters. */
  private lastReport:
    { readonly models: string[]; readonly adapters: string[]; readonly atMs: number } | undefined;
  /** Orders accepted so far, as far as is known. */
  private sequence = 0;
  private orderQueue: Promise<unknown> = Promise.resolve();
  /** The sequence is not known: ask before the next order. */
  private reportNeeded = true;
  /** Model orders given and not answered. */
  private modelOrdersInFlight = 0;
  private lastOrderMs = Number.NEGATIVE_INFINITY;
  private lastConflictMs = Number.NEGATIVE_INFINITY;

  constructor(
    server: BackendServer,
    private readonly options: EngineControllerOptions,
  ) {
    this.registration = server;
  }

  /** The engine as it last registered. */
  get server(): BackendServer {
    return this.registration;
  }

  /**
   * Has the engine itself said what it holds? Guards "a new holder overfills an engine": after an outage of
   * the store the registrations don't show what the last holder ordered during it.
   */
  get verified(): boolean {
    return this.lastReport !== undefined;
  }

  /**
   * Is a model on its way in or out? Then no other model order is taken. One of unknown outcome is no reason
   * to wait: the engine takes the next order, and that makes the one before void.
   */
  get busy(): boolean {
    const inProgress = (orders: ReadonlyMap<string, UnconfirmedOrder>): boolean =>
      [...orders.values()].some((order) => !order.uncertain);
    return this.modelOrdersInFlight > 0 || inProgress(this.loading) || inProgress(this.unloading);
  }

  /** What the engine said may not be all that it was ordered: it is asked again before the next order. */
  invalidateReport(): void {
    this.lastReport = undefined;
    this.reportNeeded = true;
  }

  /** The model whose place is kept here. */
  get reservedFor(): string | undefined {
    if (this.reservation === undefined || performance.now() - this.reservation.sinceMs > reservationMs)
      return undefined;
    return this.reservation.model;
  }

  /** Keeps the place that an unload frees for `model`. */
  reserveFor(model: string): void {
    this.reservation = { model, sinceMs: performance.now() };
  }

  /** Was an order refused so lately that another would be too? */
  get backingOff(): boolean {
    return performance.now() - this.lastConflictMs < conflictBackoffMs;
  }

  /** Models in memory that are to stay. */
  get retainedModels(): string[] {
    return this.registration.residents
      .map((r) => r.model)
      .filter((model) => this.unloading.get(model)?.uncertain !== false);
  }

  /** Every model that may take memory. */
  get occupyingModels(): Set<string> {
    const resident = this.registration.residents.map((r) => r.model);
    return new Set([
      ...resident,
      ...this.recentReport().models,
      ...this.unloading.keys(),
      ...this.loading.keys(),
    ]);
  }

  /** Adapters that may take a place, as MODEL/NAME. */
  get adapters(): string[] {
    const all = new Set([
      ...adaptersOf(this.registration),
      ...this.recentReport().adapters,
      ...this.pendingAdapters.keys(),
    ]);
    return [...all].filter((name) => !this.unloadedAdapters.has(name));
  }

  /** Adapters that may be told to make way: neither on their way in nor out. */
  get evictableAdapters(): string[] {
    return this.adapters.filter(
      (name) => !this.pendingAdapters.has(name) && !this.evictingAdapters.has(name),
    );
  }

  /** What was loaded or dropped here so lately that registrations may not tell yet; of adapters, MODEL/NAME. */
  get recentlyChanged(): Set<string> {
    const now = performance.now();
    const recent = [...this.changedMs].filter(([, atMs]) => now - atMs < maxRegistrationAgeMs);
    return new Set(recent.map(([name]) => name));
  }

  /**
   * Gives the order, and gives it again while its outcome is unknown. Guards "an engine takes no orders for
   * seconds because one answer was lost": an order may be carried out up to twelve seconds late, but only if
   * none was accepted meanwhile. Both carry the same count of orders, so at most one of them takes effect.
   */
  async orderWithRetries(request: OrderRequest): Promise<EngineOrderOutcome> {
    for (let resendsLeft = maxResends; ; resendsLeft -= 1) {
      const outcome = await this.order(request);
      if (outcome !== "unknown" || resendsLeft === 0) return outcome;
    }
  }

  /** Gives the order once those before it were answered. */
  order(request: OrderRequest): Promise<EngineOrderOutcome> {
    const orders = request.adapter === undefined ? 1 : 0;
    // Counted before it is sent: a round that starts meanwhile must not give the same order again.
    this.modelOrdersInFlight += orders;
    const result = this.orderQueue.then(() => this.send(request));
    this.orderQueue = result.then(
      () => (this.modelOrdersInFlight -= orders),
      () => (this.modelOrdersInFlight -= orders),
    );
    return result;
  }

  /** Counts an adapter as there before its order is sent; call the result if it won't come. */
  reserveAdapter(name: string): () => void {
    const wasPending = this.pendingAdapters.has(name);
    this.pendingAdapters.set(name, performance.now());
    this.unloadedAdapters.delete(name);
    return () => {
      // An order before this one may still bring it.
      if (!wasPending) this.pendingAdapters.delete(name);
    };
  }

  /** Unloads an adapter; true once its place is free. */
  async evictAdapter(model: string, adapter: string): Promise<boolean> {
    const name = `${model}/${adapter}`;
    // Guards "the sequence runs ahead of the engine's": two unloads of one adapter are both answered as done,
    // but only the first counts, and every later order would be refused. So an adapter is chosen once.
    this.evictingAdapters.add(name);
    const outcome = await this.order({ action: "unload", model, adapter, reason: "make-room" });
    // Accepted only: requests still run with it, and it is gone once they end.
    if (outcome !== "accepted") this.evictingAdapters.delete(name);
    return outcome === "already-holds";
  }

  /** Takes what the engine's registration says; the models whose load it shows to be done. */
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
   * Guards "an engine's adapter places are overfilled": a registration from before an adapter was dropped and
   * loaded again shows it, and the next, from between the two, doesn't. So an order keeps its place until
   * registrations must have been made after it.
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
   * The engine started anew under its id: it holds nothing and has accepted no order. Guards "an engine that
   * restarted takes no orders": its memory would look full, and each order would expect a count that it has
   * forgotten. Orders of unknown outcome stay counted, as the new incarnation may still carry them out.
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

  /** Asks the engine itself, where an order's outcome is not known from its answer. */
  async requestReport(): Promise<void> {
    const report = await this.options.engines.report(this.target);
    const { startedAtMs } = report;
    if (startedAtMs !== undefined) {
      // Made before a restart that is known by now: it says nothing of what the engine holds.
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
    // While an order is under way the report doesn't show what it brings, so it can't be built on.
    if (report.busy) return;
    // Nor can it be, for what was ordered since it was made: the orders' own effects stay counted.
    this.lastReport = { models, adapters: [...adapters, ...report.coming], atMs: performance.now() };
    if (!upToDate) return;
    const held = new Set(models);
    for (const [model, unload] of [...this.unloading])
      if (sequenceAdvanced && unload.uncertain) this.unloading.delete(model);
    for (const [model, load] of [...this.loading]) {
      // One of unknown outcome is void only once another order was accepted after it.
      if (!held.has(model) && (sequenceAdvanced || !load.uncertain)) this.loading.delete(model);
    }
  }

  /**
   * Asks the engine before the next order. Guards "a late order fills the place that this one was planned for":
   * the engine has then accepted more orders than were known when this one was planned, and with their count
   * learned only now the engine could not tell that it is outdated. So it is planned anew.
   */
  private async sequenceChangedUnseen(): Promise<boolean> {
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
   * The last report, until a registration arrives that must have been made after it. Guards "an engine is overfilled": what
   * an earlier holder loaded is in no registration yet, however long that takes to come.
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
    const { id, startedAtMs, address } = this.registration;
    return { serverId: id, startedAtMs, address };
  }

  private async send(request: OrderRequest): Promise<EngineOrderOutcome> {
    const { engines, log, metrics, holder, tokenFor } = this.options;
    const { target } = this;
    if (this.reportNeeded && (await this.sequenceChangedUnseen())) return "outdated";
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
    // What an earlier incarnation accepted was lost with it.
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
      // A newer order was accepted, so one of unknown outcome before it is void.
      removeUncertain(this.loading);
      removeUncertain(this.unloading);
    }
    if (outcome === "conflict") this.lastConflictMs = performance.now();
    else this.lastOrderMs = performance.now();
    if (outcome === "conflict" || outcome === "unknown") this.reportNeeded = true;
    if (adapter === undefined) this.applyModelOutcome(action, model, outcome);
    else if (unloadedAdapter) this.applyAdapterUnload(`${model}/${adapter}`);
    // Whatever was reserved before: an unload of the same adapter may have ended the reservation.
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

/** Adapters in memory, as MODEL/NAME. */
function adaptersOf({ residents }: Pick<BackendServer, "residents">): Set<string> {
  return new Set(residents.flatMap((r) => r.adapters.map((adapter) => `${r.model}/${adapter}`)));
}

function ageMs(sinceMs: number | undefined): number | undefined {
  return sinceMs === undefined ? undefined : Math.round(performance.now() - sinceMs);
}

function removeUncertain(orders: Map<string, UnconfirmedOrder>): void {
  for (const [name, order] of [...orders]) if (order.uncertain) orders.delete(name);
}
