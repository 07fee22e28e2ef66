/** Lookup table of routing policies, which rank the engines that have a model ready. */
import * as crypto from "node:crypto";
import { estimatedLoad, type Engine } from "./fleet.ts";

/** Names of the routing policies; `balanced` is the default, the others are baselines of the benchmark. */
export const routingPolicies = ["balanced", "least-loaded", "round-robin"] as const;
/** A routing policy's name. */
export type RoutingPolicy = (typeof routingPolicies)[number];

/** Input of a ranking. */
export interface RankingInput {
  /** Engines with the model ready; at least one. */
  readonly candidates: readonly Engine[];
  readonly zone: string;
  /** Start of the prompt: the key of the engines' prefix caches. */
  readonly prefix: string;
  /** Incremented with each selection on this node. */
  readonly sequence: number;
}

/** Orders the candidates, best first. */
export type Ranking = (input: RankingInput) => Engine[];

/** Utilization by which an engine may exceed the least utilized one to reuse a cached prefix, as a fraction of its slots. */
const affinitySlackRatio = 0.25;
/** Penalty for an engine in another availability zone, as a fraction of its slots. */
const otherZonePenaltyRatio = 0.05;
/** Prompts shorter than this, in characters, get no prefix affinity. */
const minPrefixChars = 64;

/** Routing policy → ranking. */
export const rankings: Readonly<Record<RoutingPolicy, Ranking>> = {
  balanced,
  "least-loaded": ({ candidates }) => sorted(candidates, (engine) => engine.status?.load ?? 0),
  "round-robin": ({ candidates, sequence }) => {
    const byAddress = [...candidates].sort((a, b) => a.address.localeCompare(b.address));
    const first = sequence % byAddress.length;
    return [...byAddress.slice(first), ...byAddress.slice(0, first)];
  },
};

/**
 * Lowest utilization first, with a preference for the own zone; among engines with nearly the lowest utilization,
 * the one that most likely has the prompt's prefix cached (rendezvous hashing, so all entry nodes agree without
 * coordination).
 */
function balanced({ candidates, zone, prefix }: RankingInput): Engine[] {
  const cost = (engine: Engine): number =>
    utilization(engine) + (engine.zone === zone ? 0 : otherZonePenaltyRatio);
  const ranked = sorted(candidates, cost);
  const least = ranked[0];
  if (least === undefined || ranked.length === 1 || prefix.length < minPrefixChars) return ranked;
  const limit = Math.min(1, cost(least) + affinitySlackRatio);
  const near = ranked.filter((engine) => cost(engine) <= limit);
  const preferred = sorted(near, (engine) => -affinity(prefix, engine.address))[0] ?? least;
  return [preferred, ...ranked.filter((engine) => engine !== preferred)];
}

function utilization(engine: Engine): number {
  return estimatedLoad(engine) / Math.max(1, engine.status?.slots ?? 1);
}

function affinity(prefix: string, address: string): number {
  return crypto.createHash("md5").update(prefix).update(address).digest().readUInt32BE(0);
}

function sorted(engines: readonly Engine[], key: (engine: Engine) => number): Engine[] {
  return engines
    .map((engine) => ({ engine, key: key(engine) }))
    .sort((a, b) => a.key - b.key || a.engine.address.localeCompare(b.engine.address))
    .map(({ engine }) => engine);
}
