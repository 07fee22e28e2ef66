/** The lookup table of what the load bench compares: the system, its baselines, and parts of it alone. */
import type { PlacementPolicy } from "../placement/planners.ts";
import type { RoutingPolicy } from "../entry/routingPolicies.ts";

/** One way to run the system. */
export interface Policy {
  readonly about: string;
  readonly placement: PlacementPolicy;
  readonly routing: RoutingPolicy;
  readonly admission: boolean;
}

/** Policy name → how to run. */
export const policies = {
  system: {
    about: "what ships: placement by demand, balanced routing, admission",
    placement: "demand",
    routing: "balanced",
    admission: true,
  },
  "static-rr": {
    about: "baseline: static even placement, round-robin routing",
    placement: "static",
    routing: "round-robin",
    admission: false,
  },
  "lru-ll": {
    about: "baseline: least-recently-used eviction, least-loaded routing",
    placement: "lru",
    routing: "least-loaded",
    admission: false,
  },
  "demand-only": {
    about: "placement by demand alone, least-loaded routing, no admission",
    placement: "demand",
    routing: "least-loaded",
    admission: false,
  },
  "no-admission": {
    about: "the system without admission",
    placement: "demand",
    routing: "balanced",
    admission: false,
  },
  "lru-admission": {
    about: "least-recently-used eviction with the system's routing and admission",
    placement: "lru",
    routing: "balanced",
    admission: true,
  },
} as const satisfies Readonly<Record<string, Policy>>;

/** A policy's name. */
export type PolicyName = keyof typeof policies;
