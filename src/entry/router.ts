/**
 * Picks the engine replica for each request: among usable engines with the model ready, the one with the
 * least work (its lagging report plus this node's own in-flight count), same zone first on a tie.
 * Writes one JSON log line per decision.
 */
import type { Log } from "../common/log.ts";
import type { Engine, Fleet } from "./fleet.ts";

/** A routing decision, as logged. */
export interface Decision {
  readonly requestId: string;
  readonly customer: string;
  readonly model: string;
  readonly engine: Engine | undefined;
  readonly reason: "least-loaded" | "no-replica";
  readonly alternatives: readonly string[];
}

/** Options of a `Router`. */
export interface RouterOptions {
  readonly fleet: Fleet;
  readonly log: Log;
  /** This entry node's availability zone. */
  readonly zone: string;
}

/** Chooses replicas; stateless apart from the fleet it reads. */
export class Router {
  constructor(private readonly options: RouterOptions) {}

  /** Chooses an engine for `model`, skipping `exclude` (engines already tried for this request). */
  choose(
    requestId: string,
    customer: string,
    model: string,
    exclude: ReadonlySet<string> = new Set(),
  ): Decision {
    const candidates = this.options.fleet
      .usable()
      .filter((engine) => !exclude.has(engine.address))
      .filter((engine) => engine.status?.residents.some((r) => r.model === model && r.state === "ready"));
    candidates.sort((a, b) => this.cost(a) - this.cost(b));
    const engine = candidates[0];
    const decision: Decision = {
      requestId,
      customer,
      model,
      engine,
      reason: engine === undefined ? "no-replica" : "least-loaded",
      alternatives: candidates.slice(1).map((candidate) => candidate.address),
    };
    this.options.log.info({
      event: "route",
      requestId,
      customer,
      model,
      engine: engine?.address ?? null,
      reason: decision.reason,
      alternatives: decision.alternatives,
    });
    return decision;
  }

  private cost(engine: Engine): number {
    const zonePenalty = engine.zone === this.options.zone ? 0 : 0.5;
    return (engine.status?.load ?? 0) + engine.inFlight + zonePenalty;
  }
}
