/** The lookup table of routing policies: how an engine is picked among those that have the model ready. */
import * as crypto from "node:crypto";
import { estimatedLoad, type Engine } from "./fleet.ts";

/** Names of the routing policies; `balanced` is the default, the others are the bench's baselines. */
export const routingPolicies = ["balanced", "least-loaded", "round-robin"] as const;
/** A routing policy's name. */
export type RoutingPolicy = (typeof routingPolicies)[number];

/** What a policy may look at. */
export interface Choice {
  /** Engines with the model ready; at least one. */
  readonly candidates: readonly Engine[];
  readonly zone: string;
  /** Start of the prompt, by which engines cache what they have read. */
  readonly prefix: string;
  /** Rises by one with each choice of this node. */
  readonly turn: number;
}

/** Orders the candidates, best first. */
export type Ranking = (choice: Choice) => Engine[];

/** Part of an engine's slots by which its load may exceed the least loaded one's to reuse a cached prefix. */
const affinitySlack = 0.25;
/** What another zone counts, as part of an engine's slots. */
const zonePenalty = 0.05;
/** Prompts shorter than this have no prefix worth a detour, in characters. */
const shortestPrefix = 64;

/** Routing policy → ranking. */
export const rankings: Readonly<Record<RoutingPolicy, Ranking>> = {
  balanced,
  "least-loaded": ({ candidates }) => sorted(candidates, (engine) => engine.status?.load ?? 0),
  "round-robin": ({ candidates, turn }) => {
    const byAddress = [...candidates].sort((a, b) => a.address.localeCompare(b.address));
    const first = turn % byAddress.length;
    return [...byAddress.slice(first), ...byAddress.slice(0, first)];
  },
};

/**
 * Least use of slots, own zone first; among engines nearly as free, the one that most likely has the
 * prompt's prefix cached (rendezvous hashing, so all entry nodes agree without talking).
 */
function balanced({ candidates, zone, prefix }: Choice): Engine[] {
  const cost = (engine: Engine): number => use(engine) + (engine.zone === zone ? 0 : zonePenalty);
  const ranked = sorted(candidates, cost);
  const least = ranked[0];
  if (least === undefined || ranked.length === 1 || prefix.length < shortestPrefix) return ranked;
  const limit = Math.min(1, cost(least) + affinitySlack);
  const near = ranked.filter((engine) => cost(engine) <= limit);
  const favourite = sorted(near, (engine) => -affinity(prefix, engine.address))[0] ?? least;
  return [favourite, ...ranked.filter((engine) => engine !== favourite)];
}

function use(engine: Engine): number {
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
