/**
 * Chooses the node addresses that a caller is given. Callers pick one at random, so a node is listed in proportion to
 * its spare CPU capacity. If all nodes were listed equally often, the weakest would be overloaded while the strongest
 * are idle.
 */

/** Below this utilization a node has room for more load, and is weighted by its CPU capacity alone. */
const lightLoadRatio = 0.5;
/**
 * From this utilization on a node counts as saturated, which is broadcast to all nodes that answer directory
 * requests.
 */
const saturatedRatio = 0.8;
/** A saturated node keeps this much headroom, as its reported utilization is a few hundred milliseconds old. */
const minHeadroomRatio = 0.1;
/** Minimum number of addresses given to a caller, as one of the nodes may just have died. */
const minAddresses = 3;

/** A node that accepts callers. */
export interface DirectoryNode {
  /** Address for callers, IP:PORT. */
  readonly callers: string;
  /** CPU cores that the node may use, and their utilization from 0 to 1. */
  readonly strength: number;
  readonly busy: number;
  /** It can't connect to backend servers that other nodes reach. */
  readonly partitioned?: boolean;
}

/** Addresses to give to one caller; `draw` returns random numbers from 0 to 1. */
export function chooseAddresses(nodes: readonly DirectoryNode[], draw: () => number): string[] {
  const connected = nodes.filter(({ partitioned }) => partitioned !== true);
  const spares = (connected.length > 0 ? connected : nodes).map((node) => ({
    node,
    spare: spareCapacityOf(node),
  }));
  const maxSpare = Math.max(...spares.map(({ spare }) => spare));
  const chosen = spares.filter(({ spare }) => draw() * maxSpare <= spare);
  const rest = spares.filter((entry) => !chosen.includes(entry)).sort((a, b) => b.spare - a.spare);
  // Partitioned nodes are listed only to reach the minimum number: they pass their requests on to the others.
  if (connected.length > 0 && connected.length < minAddresses)
    rest.push(...shuffled(partitionedOf(nodes), draw));
  chosen.push(...rest.slice(0, Math.max(0, minAddresses - chosen.length)));
  return chosen.map(({ node }) => node.callers);
}

function partitionedOf(nodes: readonly DirectoryNode[]): { node: DirectoryNode; spare: number }[] {
  return nodes.filter(({ partitioned }) => partitioned === true).map((node) => ({ node, spare: 0 }));
}

function shuffled<T>(items: readonly T[], draw: () => number): T[] {
  return items
    .map((item) => ({ item, rank: draw() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ item }) => item);
}

/** Whether the node has hardly any spare capacity. */
export function isSaturated({ busy }: Pick<DirectoryNode, "busy">): boolean {
  return busy >= saturatedRatio;
}

/** CPU cores that the node has to spare, as a weight; above 0 also for a saturated node. */
export function spareCapacityOf({ strength, busy }: Pick<DirectoryNode, "strength" | "busy">): number {
  const headroom = (1 - Math.max(lightLoadRatio, Math.min(1, busy))) / (1 - lightLoadRatio);
  return strength * Math.max(minHeadroomRatio, headroom);
}
