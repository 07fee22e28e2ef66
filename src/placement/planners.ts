/** Lookup table of placement policies, by the name used in settings. */
import { lruPlanner, staticPlanner } from "./baselinePlanners.ts";
import { demandPlanner } from "./demandPlanner.ts";
import type { Planner } from "./snapshot.ts";

/** Names of the placement policies; `demand` is the default, the others are baselines of the benchmark. */
export const placementPolicies = ["demand", "static", "lru"] as const;
/** A placement policy's name. */
export type PlacementPolicy = (typeof placementPolicies)[number];

/** Placement policy → planner. */
export const planners: Readonly<Record<PlacementPolicy, Planner>> = {
  demand: demandPlanner(),
  static: staticPlanner,
  lru: lruPlanner,
};
