/**
 * Assigns keys to nodes by rendezvous hashing (highest random weight): nodes that know the same nodes agree without
 * coordination.
 */
import { hashFraction } from "../routeTable.ts";

/** The owner of the key among the nodes; undefined if there are none. */
export function ownerOf(key: string, nodes: readonly string[]): string | undefined {
  let owner: string | undefined;
  let highest = -1;
  for (const node of nodes) {
    const weight = hashFraction(`${key} ${node}`);
    if (weight <= highest) continue;
    highest = weight;
    owner = node;
  }
  return owner;
}
