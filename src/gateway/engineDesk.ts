/** Orders to one engine: one at a time, each void once a newer one was accepted. */
import { toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import type { Engines, OrderOutcome } from "../serving/orders.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";

/** What to order. */
export interface Request {
  readonly action: "load" | "unload";
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly reason: string;
}

/** `no-lease`: this node may not order now; `unknown`: it may have been accepted, or may still be. */
export type DeskOutcome = OrderOutcome | "no-lease" | "unknown";

/** What all desks share. */
export interface DeskOptions {
  readonly engines: Engines;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly holder: string;
  readonly token: () => number | undefined;
}

/** A load that is not confirmed by the engine's registration yet. */
interface Coming {
  readonly sinceMs: number;
  /** The order's outcome is unknown: it may never be carried out. */
  uncertain: boolean;
}

/** The desk of one incarnation of an engine. */
export class EngineDesk {
  /** Models ordered, by name: their memory counts as taken. */
  readonly coming = new Map<string, Coming>();
  /** Models whose unloading was ordered and isn't confirmed. */
  readonly dropping = new Set<string>();
  /** Adapters ordered, as MODEL/NAME, until the registration shows them. */
  readonly comingAdapters = new Set<string>();
  /** Orders accepted so far, as far as is known; never falls within one incarnation. */
  private sequence = 0;
  private line: Promise<unknown> = Promise.resolve();
  /** The sequence is not known: ask before the next order. */
  private askFirst = true;

  constructor(
    readonly server: BackendServer,
    private readonly options: DeskOptions,
  ) {}

  /** Is a model on its way in or out? Then no other model order is taken. */
  get busy(): boolean {
    return this.coming.size > 0 || this.dropping.size > 0;
  }

  /** Gives the order once those before it were answered. */
  order(request: Request): Promise<DeskOutcome> {
    const result = this.line.then(() => this.send(request));
    this.line = result.catch(() => undefined);
    return result;
  }

  /** Counts an adapter as there before its order is sent; call the result if it won't come. */
  reserveAdapter(name: string): () => void {
    this.comingAdapters.add(name);
    return () => this.comingAdapters.delete(name);
  }

  /** Takes what the engine's registration says. */
  learn(server: BackendServer): void {
    const held = new Set(server.residents.map((resident) => resident.model));
    for (const model of held) this.coming.delete(model);
    for (const model of [...this.dropping]) if (!held.has(model)) this.dropping.delete(model);
    for (const resident of server.residents) {
      for (const adapter of resident.adapters) this.comingAdapters.delete(`${resident.model}/${adapter}`);
    }
  }

  /** Asks the engine itself, where an order's outcome is not known from its answer. */
  async ask(): Promise<void> {
    const report = await this.options.engines.report({ serverId: this.server.id, address: this.server.address });
    this.askFirst = false;
    // A report may be some hundred ms old and then lacks the last orders.
    const moved = report.sequence > this.sequence;
    this.sequence = Math.max(this.sequence, report.sequence);
    if (report.busy) return;
    const held = new Set(report.residents.map((resident) => resident.model));
    for (const [model, coming] of [...this.coming]) {
      if (held.has(model) || moved || !coming.uncertain) this.coming.delete(model);
    }
    this.dropping.clear();
  }

  private async send(request: Request): Promise<DeskOutcome> {
    const { engines, log, metrics, holder, token } = this.options;
    const target = { serverId: this.server.id, address: this.server.address };
    if (this.askFirst) await this.ask().catch(() => undefined);
    const fencingToken = token();
    if (fencingToken === undefined) return "no-lease";
    const { action, model, adapter } = request;
    const expectedSequence = this.sequence;
    let outcome: DeskOutcome;
    try {
      outcome = await engines.order(target, { action, model, adapter, expectedSequence, holder, fencingToken });
    } catch (error) {
      outcome = "unknown";
      log.warn({ event: "order-unanswered", server: target.serverId, detail: toFailure(error).message });
    }
    this.conclude(request, outcome);
    metrics.orders.inc({ action, outcome });
    log.info({ event: "order", server: target.serverId, ...request, sequence: expectedSequence, token: fencingToken, outcome });
    return outcome;
  }

  private conclude(request: Request, outcome: DeskOutcome): void {
    const { action, model, adapter } = request;
    const unloadedAdapter = action === "unload" && adapter !== undefined && outcome === "already-holds";
    if (outcome === "accepted" || unloadedAdapter) this.sequence += 1;
    if (outcome === "conflict" || outcome === "unknown") this.askFirst = true;
    if (outcome !== "accepted" && outcome !== "unknown") return;
    if (adapter !== undefined) return;
    if (action === "load") this.coming.set(model, { sinceMs: performance.now(), uncertain: outcome === "unknown" });
    else if (outcome === "accepted") this.dropping.add(model);
  }
}
