/**
 * Assigns keys to nodes by rendezvous hashing (highest random weight): nodes that know the same nodes agree without
 * coordination.
 */
import { hashFraction } from "../routeTable.ts";

/** The `count` nodes with the highest weights for the key, highest first. */
export function ownersOf(key: string, nodes: readonly string[], count: number): string[] {
  return nodes
    .map((node) => ({ node, weight: hashFraction(`${key} ${node}`) }))
    .sort((a, b) => b.weight - a.weight)
    .slice(0, count)
    .map(({ node }) => node);
}

/** The owner of the key among the nodes; undefined if there are none. */
export function ownerOf(key: string, nodes: readonly string[]): string | undefined {
  return ownersOf(key, nodes, 1)[0];
}
