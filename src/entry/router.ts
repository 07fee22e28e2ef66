/**
 * Picks the engine for each request among the usable engines that have the model ready, by the routing
 * policy of the settings. Writes one JSON log line per decision.
 */
import type { Resident } from "../common/engineProtocol.ts";
import type { Log } from "../common/log.ts";
import type { Engine, Fleet } from "./fleet.ts";
import { rankings, type RoutingPolicy } from "./routingPolicies.ts";

/** A request to route. */
export interface Routable {
  readonly requestId: string;
  readonly customer: string;
  readonly model: string;
  readonly prompt: string;
}

/** Options of a `Router`. */
export interface RouterOptions {
  readonly fleet: Fleet;
  readonly log: Log;
  /** This entry node's availability zone. */
  readonly zone: string;
  readonly policy?: RoutingPolicy;
}

const defaults = { policy: "balanced" as RoutingPolicy };
/** Leading characters of a prompt that are taken for its prefix. */
const prefixChars = 64;

/** Chooses engines; its only state is the count of its choices. */
export class Router {
  private readonly options: RouterOptions & typeof defaults;
  private turn = 0;

  constructor(options: RouterOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Chooses an engine for the request, skipping `exclude` (engines already tried for it). */
  choose(request: Routable, exclude: ReadonlySet<string> = new Set()): Engine | undefined {
    const { fleet, log, zone, policy } = this.options;
    const { requestId, customer, model } = request;
    const candidates = fleet
      .usable()
      .filter((engine) => !exclude.has(engine.address))
      .filter((engine) => holds(engine, model, "ready"));
    this.turn += 1;
    const choice = { candidates, zone, prefix: request.prompt.slice(0, prefixChars), turn: this.turn };
    const ranked = candidates.length === 0 ? [] : rankings[policy](choice);
    const engine = ranked[0];
    log.info({
      event: "route",
      requestId,
      customer,
      model,
      engine: engine?.address ?? null,
      reason: engine === undefined ? "no-replica" : policy,
      alternatives: ranked.slice(1).map((alternative) => alternative.address),
    });
    return engine;
  }

  /** Whether some engine has `model` ready. */
  ready(model: string): boolean {
    return this.options.fleet.usable().some((engine) => holds(engine, model, "ready"));
  }

  /** Whether a copy of `model` is on its way to some engine. */
  arriving(model: string): boolean {
    return this.options.fleet.usable().some((engine) => holds(engine, model, "loading"));
  }
}

function holds(engine: Engine, model: string, state: Resident["state"]): boolean {
  return engine.status?.residents.some((r) => r.model === model && r.state === state) ?? false;
}
