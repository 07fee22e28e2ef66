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
export type DeskOutcome = OrderOutcome | "no-lease" | "outdated" | "unknown";

/** What all desks share. */
export interface DeskOptions {
  readonly engines: EngineApi;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly holder: string;
  /** The fencing token, while this node may order the engine. */
  readonly token: (serverId: string) => number | undefined;
}

/** A model order that is not confirmed by the engine's registration yet. */
interface Unconfirmed {
  readonly sinceMs: number;
  /** The order's outcome is unknown: it may never be carried out. */
  readonly uncertain: boolean;
}

/**
 * A registration may be this old when it is read, ms. Until then it can still show a model that was dropped,
 * or lack one that was loaded, so a model that just went isn't ordered back to the same engine.
 */
const registrationAgeMs = 2_500;

/** An order that was not carried out after this time never will be, ms; late ones took up to 12 s. */
const lostOrderMs = 15_000;
/** A report shows orders that were accepted at least this long before, ms: its figures lag by some hundred ms. */
const reportLagMs = 500;
/** An order without an answer is given again this often: three lost in a row are rare even on a bad day. */
const repeats = 2;
/** Pause after an order was refused because another is under way or the sequence differs, ms. */
const restMs = 250;

/** Room is kept for a model this long, ms: an unload waits for the requests that run, mostly a few seconds. */
const roomKeptMs = 8_000;

const nothing = { models: [], adapters: [] };

/** The desk of one incarnation of an engine. */
export class EngineController {
  /** Models ordered, by name: their memory counts as taken. */
  readonly coming = new Map<string, Unconfirmed>();
  /** Models whose unloading was ordered and isn't confirmed: their memory counts as taken too. */
  readonly dropping = new Map<string, Unconfirmed>();
  /** The model for which another was told to make way here. */
  private room: { readonly model: string; readonly sinceMs: number } | undefined;
  /** Adapters ordered, and when. */
  private readonly comingAdapters = new Map<string, number>();
  /** Those of them whose order was not answered: it may still be carried out. */
  private readonly uncertainAdapters = new Set<string>();
  /** Adapters chosen to make way that are not known to be gone. */
  private readonly leavingAdapters = new Set<string>();
  /** Adapters unloaded that registrations may still show. */
  private readonly goneAdapters = new Set<string>();
  /** When each model, or adapter as MODEL/NAME, was last ordered in or out; of adapters only out. */
  private readonly movedMs = new Map<string, number>();
  private registered: BackendServer;
  /** When the registration was learned. */
  private registeredMs = performance.now();
  /** What the engine's last report showed, as models and as MODEL/NAME of adapters. */
  private reported:
    { readonly models: string[]; readonly adapters: string[]; readonly atMs: number } | undefined;
  /** Orders accepted so far, as far as is known. */
  private sequence = 0;
  private line: Promise<unknown> = Promise.resolve();
  /** The sequence is not known: ask before the next order. */
  private askFirst = true;
  /** Model orders given and not answered. */
  private modelOrders = 0;
  private lastOrderMs = Number.NEGATIVE_INFINITY;
  private refusedMs = Number.NEGATIVE_INFINITY;

  constructor(
    server: BackendServer,
    private readonly options: DeskOptions,
  ) {
    this.registered = server;
  }

  /** The engine as it last registered. */
  get server(): BackendServer {
    return this.registered;
  }

  /**
   * Has the engine itself said what it holds? Guards "a new holder overfills an engine": after an outage of
   * the store the registrations don't show what the last holder ordered during it.
   */
  get verified(): boolean {
    return this.reported !== undefined;
  }

  /**
   * Is a model on its way in or out? Then no other model order is taken. One of unknown outcome is no reason
   * to wait: the engine takes the next order, and that makes the one before void.
   */
  get busy(): boolean {
    const underWay = (orders: ReadonlyMap<string, Unconfirmed>): boolean =>
      [...orders.values()].some((order) => !order.uncertain);
    return this.modelOrders > 0 || underWay(this.coming) || underWay(this.dropping);
  }

  /** What the engine said may not be all that it was ordered: it is asked again before the next order. */
  invalidateReport(): void {
    this.reported = undefined;
    this.askFirst = true;
  }

  /** The model whose place is kept here. */
  get roomFor(): string | undefined {
    if (this.room === undefined || performance.now() - this.room.sinceMs > roomKeptMs) return undefined;
    return this.room.model;
  }

  /** Keeps the place that an unload frees for `model`. */
  keepRoom(model: string): void {
    this.room = { model, sinceMs: performance.now() };
  }

  /** Was an order refused so lately that another would be too? */
  get resting(): boolean {
    return performance.now() - this.refusedMs < restMs;
  }

  /** Models in memory that are to stay. */
  get staying(): string[] {
    return this.registered.residents
      .map((r) => r.model)
      .filter((model) => this.dropping.get(model)?.uncertain !== false);
  }

  /** Every model that may take memory. */
  get occupying(): Set<string> {
    const resident = this.registered.residents.map((r) => r.model);
    return new Set([...resident, ...this.lately().models, ...this.dropping.keys(), ...this.coming.keys()]);
  }

  /** Adapters that may take a place, as MODEL/NAME. */
  get adapters(): string[] {
    const all = new Set([
      ...adaptersOf(this.registered),
      ...this.lately().adapters,
      ...this.comingAdapters.keys(),
    ]);
    return [...all].filter((name) => !this.goneAdapters.has(name));
  }

  /** Adapters that may be told to make way: neither on their way in nor out. */
  get evictableAdapters(): string[] {
    return this.adapters.filter((name) => !this.comingAdapters.has(name) && !this.leavingAdapters.has(name));
  }

  /** What was loaded or dropped here so lately that registrations may not tell yet; of adapters, MODEL/NAME. */
  get unsettled(): Set<string> {
    const now = performance.now();
    const lately = [...this.movedMs].filter(([, atMs]) => now - atMs < registrationAgeMs);
    return new Set(lately.map(([name]) => name));
  }

  /**
   * Gives the order, and gives it again while its outcome is unknown. Guards "an engine takes no orders for
   * seconds because one answer was lost": an order may be carried out up to twelve seconds late, but only if
   * none was accepted meanwhile. Both carry the same count of orders, so at most one of them takes effect.
   */
  async insist(request: OrderRequest): Promise<DeskOutcome> {
    for (let left = repeats; ; left -= 1) {
      const outcome = await this.order(request);
      if (outcome !== "unknown" || left === 0) return outcome;
    }
  }

  /** Gives the order once those before it were answered. */
  order(request: OrderRequest): Promise<DeskOutcome> {
    const orders = request.adapter === undefined ? 1 : 0;
    // Counted before it is sent: a round that starts meanwhile must not give the same order again.
    this.modelOrders += orders;
    const result = this.line.then(() => this.send(request));
    this.line = result.then(
      () => (this.modelOrders -= orders),
      () => (this.modelOrders -= orders),
    );
    return result;
  }

  /** Counts an adapter as there before its order is sent; call the result if it won't come. */
  reserveAdapter(name: string): () => void {
    const wasComing = this.comingAdapters.has(name);
    this.comingAdapters.set(name, performance.now());
    this.goneAdapters.delete(name);
    return () => {
      // An order before this one may still bring it.
      if (!wasComing) this.comingAdapters.delete(name);
    };
  }

  /** Unloads an adapter; true once its place is free. */
  async evictAdapter(model: string, adapter: string): Promise<boolean> {
    const name = `${model}/${adapter}`;
    // Guards "the sequence runs ahead of the engine's": two unloads of one adapter are both answered as done,
    // but only the first counts, and every later order would be refused. So an adapter is chosen once.
    this.leavingAdapters.add(name);
    const outcome = await this.order({ action: "unload", model, adapter, reason: "make-room" });
    // Accepted only: requests still run with it, and it is gone once they end.
    if (outcome !== "accepted") this.leavingAdapters.delete(name);
    return outcome === "already-holds";
  }

  /** Takes what the engine's registration says; the models whose load it shows to be done. */
  learn(server: BackendServer): string[] {
    if (server === this.registered) this.settleAdapters(adaptersOf(server));
    if (server === this.registered || startedAfter(this.registered, server)) return [];
    if (startedAfter(server, this.registered)) this.restarted();
    this.registered = server;
    this.registeredMs = performance.now();
    const held = new Set(server.residents.map((resident) => resident.model));
    const arrived = [...held].filter((model) => this.coming.delete(model));
    for (const model of [...this.dropping.keys()]) if (!held.has(model)) this.dropping.delete(model);
    const adapters = adaptersOf(server);
    this.settleAdapters(adapters);
    for (const name of [...this.goneAdapters]) if (!adapters.has(name)) this.goneAdapters.delete(name);
    for (const name of [...this.leavingAdapters]) if (!adapters.has(name)) this.leavingAdapters.delete(name);
    return arrived;
  }

  /**
   * Guards "an engine's adapter places are overfilled": a registration from before an adapter was dropped and
   * loaded again shows it, and the next, from between the two, doesn't. So an order keeps its place until
   * registrations must have been made after it.
   */
  private settleAdapters(registered: ReadonlySet<string>): void {
    const now = performance.now();
    for (const [name, atMs] of this.comingAdapters) {
      const ageMs = now - atMs;
      if (ageMs > lostOrderMs || (ageMs > registrationAgeMs && registered.has(name))) {
        this.comingAdapters.delete(name);
        this.uncertainAdapters.delete(name);
      }
    }
  }

  /**
   * The engine started anew under its id: it holds nothing and has accepted no order. Guards "an engine that
   * restarted takes no orders": its memory would look full, and each order would expect a count that it has
   * forgotten. Orders of unknown outcome stay counted, as the new incarnation may still carry them out.
   */
  private restarted(): void {
    for (const orders of [this.coming, this.dropping]) {
      for (const [model, order] of [...orders]) if (!order.uncertain) orders.delete(model);
    }
    for (const name of this.comingAdapters.keys()) {
      if (!this.uncertainAdapters.has(name)) this.comingAdapters.delete(name);
    }
    this.leavingAdapters.clear();
    this.goneAdapters.clear();
    this.movedMs.clear();
    this.room = undefined;
    this.reported = undefined;
    this.sequence = 0;
    this.askFirst = true;
  }

  /** Asks the engine itself, where an order's outcome is not known from its answer. */
  async ask(): Promise<void> {
    const report = await this.options.engines.report(this.target);
    const { startedAtMs } = report;
    if (startedAtMs !== undefined) {
      // Made before a restart that is known by now: it says nothing of what the engine holds.
      if (startedAfter(this.registered, { startedAtMs })) return;
      if (startedAfter({ startedAtMs }, this.registered)) {
        this.restarted();
        this.registered = { ...this.registered, startedAtMs, residents: [] };
      }
    }
    this.askFirst = false;
    const moved = report.sequence > this.sequence;
    const upToDate = performance.now() - this.lastOrderMs > reportLagMs;
    this.sequence = upToDate ? report.sequence : Math.max(this.sequence, report.sequence);
    const adapters = adaptersOf(report);
    const models = report.residents.map((r) => r.model);
    // While an order is under way the report doesn't show what it brings, so it can't be built on.
    if (report.busy) return;
    // Nor can it be, for what was ordered since it was made: the orders' own effects stay counted.
    this.reported = { models, adapters: [...adapters, ...report.coming], atMs: performance.now() };
    if (!upToDate) return;
    const held = new Set(models);
    for (const [model, drop] of [...this.dropping]) if (moved && drop.uncertain) this.dropping.delete(model);
    for (const [model, coming] of [...this.coming]) {
      // One of unknown outcome is void only once another order was accepted after it.
      if (!held.has(model) && (moved || !coming.uncertain)) this.coming.delete(model);
    }
  }

  /**
   * Asks the engine before the next order. Guards "a late order fills the place that this one was planned for":
   * the engine has then accepted more orders than were known when this one was planned, and with their count
   * learned only now the engine could not tell that it is outdated. So it is planned anew.
   */
  private async movedUnseen(): Promise<boolean> {
    const planned = this.sequence;
    try {
      await this.ask();
    } catch (error) {
      this.options.log.debug({
        event: "report-failed",
        server: this.registered.id,
        detail: toFailure(error).message,
      });
    }
    return this.sequence !== planned;
  }

  /**
   * The last report, until a registration arrives that must have been made after it. Guards "an engine is overfilled": what
   * an earlier holder loaded is in no registration yet, however long that takes to come.
   */
  private lately(): { readonly models: readonly string[]; readonly adapters: readonly string[] } {
    const { reported } = this;
    if (reported === undefined || this.registeredMs - reported.atMs > registrationAgeMs) return nothing;
    return {
      models: reported.models.filter((model) => !this.droppedSince(model, reported.atMs)),
      adapters: reported.adapters.filter(
        (name) => (this.movedMs.get(name) ?? Number.NEGATIVE_INFINITY) < reported.atMs - reportLagMs,
      ),
    };
  }

  private droppedSince(model: string, atMs: number): boolean {
    return !this.dropping.has(model) && !this.coming.has(model) && (this.movedMs.get(model) ?? 0) > atMs;
  }

  private get target(): OrderTarget {
    const { id, startedAtMs, address } = this.registered;
    return { serverId: id, startedAtMs, address };
  }

  private async send(request: OrderRequest): Promise<DeskOutcome> {
    const { engines, log, metrics, holder, token } = this.options;
    const { target } = this;
    if (this.askFirst && (await this.movedUnseen())) return "outdated";
    const fencingToken = token(target.serverId);
    if (fencingToken === undefined) return "no-lease";
    const { action, model, adapter } = request;
    const expectedSequence = this.sequence;
    const { startedAtMs } = this.registered;
    let outcome: DeskOutcome;
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
    if (this.registered.startedAtMs === startedAtMs || outcome === "unknown") this.conclude(request, outcome);
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
      counted: { models: [...this.occupying], adapters: this.adapters },
      reportAgeMs: ageMs(this.reported?.atMs),
      registrationAgeMs: ageMs(this.registeredMs),
    });
    return outcome;
  }

  private conclude(request: OrderRequest, outcome: DeskOutcome): void {
    const { action, model, adapter } = request;
    const unloadedAdapter = action === "unload" && adapter !== undefined && outcome === "already-holds";
    if (outcome === "accepted" || unloadedAdapter) {
      this.sequence += 1;
      // A newer order was accepted, so one of unknown outcome before it is void.
      dropUncertain(this.coming);
      dropUncertain(this.dropping);
    }
    if (outcome === "conflict") this.refusedMs = performance.now();
    else this.lastOrderMs = performance.now();
    if (outcome === "conflict" || outcome === "unknown") this.askFirst = true;
    if (adapter === undefined) this.concludeModel(action, model, outcome);
    else if (unloadedAdapter) this.concludeUnload(`${model}/${adapter}`);
    // Whatever was reserved before: an unload of the same adapter may have ended the reservation.
    else if (action === "load" && (outcome === "accepted" || outcome === "unknown"))
      this.concludeLoad(`${model}/${adapter}`, outcome);
  }

  private concludeLoad(name: string, outcome: "accepted" | "unknown"): void {
    this.reserveAdapter(name);
    if (outcome === "unknown") this.uncertainAdapters.add(name);
    else this.uncertainAdapters.delete(name);
  }

  private concludeUnload(name: string): void {
    this.comingAdapters.delete(name);
    this.goneAdapters.add(name);
    this.movedMs.set(name, performance.now());
  }

  private concludeModel(action: OrderRequest["action"], model: string, outcome: DeskOutcome): void {
    const done = outcome === "accepted" || outcome === "already-holds";
    if (!done && outcome !== "unknown") return;
    const now = performance.now();
    this.movedMs.set(model, now);
    if (action === "load" && this.room?.model === model) this.room = undefined;
    const orders = action === "load" ? this.coming : this.dropping;
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

function dropUncertain(orders: Map<string, Unconfirmed>): void {
  for (const [name, order] of [...orders]) if (order.uncertain) orders.delete(name);
}
