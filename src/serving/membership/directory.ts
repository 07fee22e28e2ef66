/**
 * Chooses the node addresses that a caller is given. Callers pick one at random, so a node is listed in proportion to
 * its spare CPU capacity. If all nodes were listed equally often, the weakest would be overloaded while the strongest
 * are idle. A caller that states its availability zone gets nodes of other zones only as far as those of its own zone
 * have too little capacity to spare.
 */
import { otherZoneWeight, type ZoneCapacity } from "../zones/callerZones.ts";

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
  /** Its availability zone. */
  readonly zone?: string | undefined;
  /** CPU cores that the node may use, and their utilization from 0 to 1. */
  readonly strength: number;
  readonly busy: number;
  /** It can't connect to backend servers that other nodes reach. */
  readonly partitioned?: boolean;
}

/**
 * Addresses to give to one caller, in the zone if it stated one; `draw` returns random numbers from 0 to 1.
 */
export function chooseAddresses(
  nodes: readonly DirectoryNode[],
  draw: () => number,
  callerZone?: string,
): string[] {
  const connected = nodes.filter(({ partitioned }) => partitioned !== true);
  const weighted = weightedNodes(connected.length > 0 ? connected : nodes, callerZone);
  const maxWeight = Math.max(...weighted.map(({ weight }) => weight));
  // A weight of 0 stands for nodes of other zones that aren't needed, which a draw of 0 must not select.
  const chosen = weighted.filter(({ weight }) => weight > 0 && draw() * maxWeight <= weight);
  const rest = inRandomOrder(
    weighted.filter((entry) => !chosen.includes(entry)),
    draw,
  );
  // Partitioned nodes are listed only to reach the minimum number: they pass their requests on to the others.
  if (connected.length > 0 && connected.length < minAddresses)
    rest.push(...shuffled(partitionedOf(nodes), draw));
  chosen.push(...rest.slice(0, Math.max(0, minAddresses - chosen.length)));
  return chosen.map(({ node }) => node.callers);
}

/** A node with its spare capacity and the weight by which it is listed for one caller. */
interface WeightedNode {
  readonly node: DirectoryNode;
  readonly spare: number;
  readonly weight: number;
}

function weightedNodes(nodes: readonly DirectoryNode[], callerZone: string | undefined): WeightedNode[] {
  const isOwn = ({ zone }: DirectoryNode): boolean => callerZone === undefined || zone === callerZone;
  const own = nodes.filter(isOwn);
  const others = nodes.filter((node) => !isOwn(node));
  const zoneCount = new Set(nodes.map(({ zone }) => zone)).size;
  const otherWeight = otherZoneWeight({ own: capacityOf(own), others: capacityOf(others), zoneCount });
  return [...own, ...others].map((node) => {
    const spare = spareCapacityOf(node);
    return { node, spare, weight: isOwn(node) ? spare : spare * otherWeight };
  });
}

function capacityOf(nodes: readonly DirectoryNode[]): ZoneCapacity {
  const sumOf = (value: (node: DirectoryNode) => number): number =>
    nodes.reduce((sum, node) => sum + value(node), 0);
  return {
    total: sumOf(({ strength }) => strength),
    used: sumOf(({ strength, busy }) => strength * Math.min(1, busy)),
    spare: sumOf(spareCapacityOf),
  };
}

/**
 * Nodes with a weight first, in a random order that prefers those with more spare capacity. In a fixed order the same
 * of several equal nodes would be added to every response: within a zone there are often few more than the minimum.
 */
function inRandomOrder(nodes: readonly WeightedNode[], draw: () => number): WeightedNode[] {
  return nodes
    .map((entry) => ({ entry, rank: -Math.log(1 - draw()) / entry.spare }))
    .sort((a, b) => Number(b.entry.weight > 0) - Number(a.entry.weight > 0) || a.rank - b.rank)
    .map(({ entry }) => entry);
}

function partitionedOf(nodes: readonly DirectoryNode[]): WeightedNode[] {
  return nodes
    .filter(({ partitioned }) => partitioned === true)
    .map((node) => ({ node, spare: 0, weight: 0 }));
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
