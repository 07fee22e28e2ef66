/**
 * Decides which nodes are active. In a fleet of hundreds of hosts, if every node accepted callers, sent its loads to
 * all others and kept connections to every server, a small host would spend all of its CPU time and bandwidth on its
 * peers. So each availability zone has only as many active nodes as the load needs, those with the most CPU capacity
 * first. The others are standby nodes: they receive what they need to take over, and do so within a second or two
 * when active nodes are lost. Each node decides for itself from the messages it receives, so the loss of a node
 * doesn't stop the others from deciding.
 */

/**
 * In fleets of up to this many nodes all are active: few messages are needed, and callers are affected least by the
 * loss of one.
 */
const smallFleetNodes = 16;
/** Minimum number of active nodes over all zones: the loss of one interrupts one caller in twelve. */
const minActiveNodes = 12;
/** A zone scales out when its active nodes use more than this ratio of their CPU capacity. */
const scaleOutUtilizationRatio = 0.5;
/** CPU utilization that a zone should have after scaling out. */
const targetUtilizationRatio = 0.45;
/** Standby nodes are notified of the utilization of overutilized nodes in steps of this ratio. */
const overutilizationStepRatio = 0.1;
/**
 * Number of nodes by which a zone grows in one step beyond the minimum. A newly active node runs cold code and costs
 * the others messages, so a larger step would itself raise the utilization that caused it.
 */
const defaultMaxPerStep = 1;
/** A node returns to standby only if the remaining nodes would stay below this utilization, which avoids flapping. */
const scaleInUtilizationRatio = 0.25;

/** A node that can become active. */
export interface Candidate {
  readonly ip: string;
  readonly zone: string;
  /** CPU cores that the node may use. */
  readonly strength: number;
}

/** An active node and its CPU utilization, from 0 to 1. */
export interface ActiveNode extends Candidate {
  /** Over a short window; scaling out goes by it. */
  readonly busy: number;
  /** Over a long window, if known; scaling in goes by it as well. */
  readonly steadyBusy?: number | undefined;
}

/** What a node's decision is based on. */
export interface MembershipView {
  readonly self: ActiveNode;
  /** Active nodes from which a heartbeat was received recently, without this one. */
  readonly active: readonly ActiveNode[];
  /** Nodes that may exist, active or not, alive or dead; may include this one. */
  readonly knownNodes: readonly Candidate[];
  /** Number of nodes by which a zone may grow in one step. */
  readonly maxPerStep?: number | undefined;
}

/**
 * Number of turns after which a standby node becomes active, as nodes ahead of it may be dead; undefined if it isn't
 * needed. All nodes that are needed are activated in the same turn, without coordinating.
 */
export function turnsBeforeActivation({
  self,
  active,
  knownNodes,
  maxPerStep = defaultMaxPerStep,
}: MembershipView): number | undefined {
  if (isSmallFleet(knownNodes)) return 0;
  const inZone = active.filter((node) => node.zone === self.zone);
  const minActive = minActiveInZone(self, active, knownNodes);
  if (inZone.length >= minActive && !isOverutilized(inZone)) return undefined;
  const known = new Set([self, ...active].map((node) => node.ip));
  const others = knownNodes.filter((node) => node.zone === self.zone && !known.has(node.ip));
  const waiting = [...others, self].sort((a, b) => (precedes(a, b) ? -1 : 1));
  return Math.floor(waiting.indexOf(self) / nodesToActivate(inZone, waiting, { minActive, maxPerStep }));
}

/**
 * Number of waiting nodes, in their order, that have to become active to bring the utilization down to the target.
 * The demand on saturated nodes exceeds their utilization by an unknown amount; the target more than doubles their
 * capacity.
 */
function nodesToActivate(
  inZone: readonly ActiveNode[],
  waiting: readonly Candidate[],
  { minActive, maxPerStep }: { readonly minActive: number; readonly maxPerStep: number },
): number {
  const requiredCapacity = isOverutilized(inZone) ? usedCapacity(inZone) / targetUtilizationRatio : 0;
  let reached = totalCapacity(inZone);
  let count = 0;
  for (const node of waiting) {
    if (inZone.length + count >= minActive && (reached >= requiredCapacity || count >= maxPerStep)) break;
    reached += node.strength;
    count += 1;
  }
  return count;
}

/**
 * Number of turns after which an active node may return to standby, one for each node of its zone that goes before it;
 * undefined if it has to stay active. The nodes ahead of it must be able to carry the load alone, so several nodes may
 * return to standby at once.
 */
export function turnsBeforeRetirement({ self, active, knownNodes }: MembershipView): number | undefined {
  if (isSmallFleet(knownNodes)) return undefined;
  const inZone = active.filter((node) => node.zone === self.zone);
  const ahead = inZone.filter((node) => precedes(node, self));
  if (ahead.length < minActiveInZone(self, active, knownNodes)) return undefined;
  if (
    usedCapacity([...inZone, self].map(withPeakUtilization)) >=
    scaleInUtilizationRatio * totalCapacity(ahead)
  )
    return undefined;
  return inZone.length - ahead.length;
}

/** The first nodes of each zone, twice as many as must be active: those to contact at startup. */
export function likelyActive(self: Candidate, knownNodes: readonly Candidate[]): readonly Candidate[] {
  if (isSmallFleet(knownNodes)) return knownNodes;
  const maxAhead = 2 * minActiveInZone(self, [], knownNodes);
  return knownNodes.filter((node) => {
    const ahead = knownNodes.filter((other) => other.zone === node.zone && precedes(other, node));
    return ahead.length < maxAhead;
  });
}

/** Whether the fleet is so small that all nodes are active. */
export function isSmallFleet(knownNodes: readonly Candidate[]): boolean {
  return knownNodes.length <= smallFleetNodes;
}

function minActiveInZone(
  self: Candidate,
  active: readonly Candidate[],
  knownNodes: readonly Candidate[],
): number {
  const zones = new Set([self, ...active, ...knownNodes].map((node) => node.zone));
  return Math.ceil(minActiveNodes / zones.size);
}

/** Whether the utilization of the nodes calls for scaling out. */
export function isOverutilized(nodes: readonly ActiveNode[]): boolean {
  return usedCapacity(nodes) > scaleOutUtilizationRatio * totalCapacity(nodes);
}

/** The node with the higher of its utilizations over the two windows. */
function withPeakUtilization(node: ActiveNode): ActiveNode {
  return { ...node, busy: Math.max(node.busy, node.steadyBusy ?? 0) };
}

/** Utilization of overutilized nodes in coarse steps; 0 if they aren't overutilized. */
export function overutilizationLevel(nodes: readonly ActiveNode[]): number {
  return isOverutilized(nodes)
    ? Math.floor(usedCapacity(nodes) / totalCapacity(nodes) / overutilizationStepRatio)
    : 0;
}

function usedCapacity(nodes: readonly ActiveNode[]): number {
  return nodes.reduce((sum, node) => sum + node.busy * node.strength, 0);
}

function totalCapacity(nodes: readonly Candidate[]): number {
  return nodes.reduce((sum, node) => sum + node.strength, 0);
}

/** The order in which the nodes of a zone are activated: by descending CPU capacity, the same on every node. */
function precedes(a: Candidate, b: Candidate): boolean {
  if (a.strength !== b.strength) return a.strength > b.strength;
  return a.ip < b.ip;
}
