/** Lookup table of the policies that the load benchmark compares: the default, baselines, and partial variants. */
import type { PlacementPolicy } from "../placement/planners.ts";
import type { RoutingPolicy } from "../entry/routingPolicies.ts";

/** One configuration of placement, routing and admission. */
export interface Policy {
  readonly description: string;
  readonly placement: PlacementPolicy;
  readonly routing: RoutingPolicy;
  readonly admission: boolean;
}

/** Policy name → configuration. */
export const policies = {
  system: {
    description: "default: placement by demand, balanced routing, admission",
    placement: "demand",
    routing: "balanced",
    admission: true,
  },
  "static-rr": {
    description: "baseline: static even placement, round-robin routing",
    placement: "static",
    routing: "round-robin",
    admission: false,
  },
  "lru-ll": {
    description: "baseline: least-recently-used eviction, least-loaded routing",
    placement: "lru",
    routing: "least-loaded",
    admission: false,
  },
  "demand-only": {
    description: "placement by demand alone, least-loaded routing, no admission",
    placement: "demand",
    routing: "least-loaded",
    admission: false,
  },
  "no-admission": {
    description: "default without admission",
    placement: "demand",
    routing: "balanced",
    admission: false,
  },
  "lru-admission": {
    description: "least-recently-used eviction with the default routing and admission",
    placement: "lru",
    routing: "balanced",
    admission: true,
  },
} as const satisfies Readonly<Record<string, Policy>>;

/** A policy's name. */
export type PolicyName = keyof typeof policies;
