/**
 * Selects the engine for each request among the usable engines that have the model ready, by the configured
 * routing policy. Logs each decision with its alternatives.
 */
import type { Resident } from "../common/engineProtocol.ts";
import type { Log } from "../common/log.ts";
import type { Engine, Fleet } from "./fleet.ts";
import { rankings, type RoutingPolicy } from "./routingPolicies.ts";

/** A request to route. */
export interface RoutableRequest {
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
/** Number of leading characters of a prompt that form its prefix. */
const prefixChars = 64;

/** Selects engines; its only state is the number of selections so far. */
export class Router {
  private readonly options: RouterOptions & typeof defaults;
  private sequence = 0;

  constructor(options: RouterOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Selects an engine for the request, skipping `exclude` (engines already tried for it). */
  choose(request: RoutableRequest, exclude: ReadonlySet<string> = new Set()): Engine | undefined {
    const { fleet, log, zone, policy } = this.options;
    const { requestId, customer, model } = request;
    const candidates = fleet
      .usable()
      .filter((engine) => !exclude.has(engine.address))
      .filter((engine) => hasReplica(engine, model, "ready"));
    this.sequence += 1;
    const rankingInput = {
      candidates,
      zone,
      prefix: request.prompt.slice(0, prefixChars),
      sequence: this.sequence,
    };
    const ranked = candidates.length === 0 ? [] : rankings[policy](rankingInput);
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
  isReady(model: string): boolean {
    return this.options.fleet.usable().some((engine) => hasReplica(engine, model, "ready"));
  }

  /** Whether some engine is loading `model`. */
  isLoading(model: string): boolean {
    return this.options.fleet.usable().some((engine) => hasReplica(engine, model, "loading"));
  }
}

function hasReplica(engine: Engine, model: string, state: Resident["state"]): boolean {
  return engine.status?.residents.some((r) => r.model === model && r.state === state) ?? false;
}
