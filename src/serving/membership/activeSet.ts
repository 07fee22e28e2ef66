/**
 * Decides which nodes are active. Answers fleets of hundreds of hosts: if all took callers, told each other their
 * loads and kept connections to every server, a small host would spend all of its time and link on the others. So in
 * each availability zone only as many nodes are active as the load needs, the strongest first; the others stand by,
 * hear what they need to take over, and take over in a second or two when active ones are lost. Every node decides for
 * itself from what it hears, so no node's loss stops the others from deciding.
 */

/** Nodes up to which all are active: telling each other costs little, and callers lose least with one. */
const fewNodes = 16;
/** Active nodes over all zones, at least: the loss of one cuts off one caller in twelve. */
const leastActive = 12;
/** More nodes are wanted where the active ones use more than this part of their processor time. */
const crowdedPart = 0.5;
/** Part of their processor time that active nodes are to use once those wanted besides are active. */
const targetPart = 0.45;
/** Nodes that stand by are told of the use of crowded nodes in steps of this part. */
const crowdingStep = 0.1;
/**
 * A zone grows by so many nodes in a step, beyond the least: a node that has just become active runs cold code and costs the
 * others messages, so that a larger step raises the use that called for it.
 */
const defaultStep = 1;
/** One retires only if those that stay would use less than this part, so that none comes and goes by turns. */
const easyPart = 0.25;

/** A node that can be active. */
export interface Candidate {
  readonly ip: string;
  readonly zone: string;
  /** Processor cores that it may use. */
  readonly strength: number;
}

/** An active node, with the part of its processor time that it uses, from 0 to 1. */
export interface ActiveNode extends Candidate {
  /** Over a short window: scale out goes by it. */
  readonly busy: number;
  /** Over a long window, if known: scale in goes by it as well. */
  readonly steadyBusy?: number | undefined;
}

/** What a node knows when it decides. */
export interface MembershipView {
  readonly self: ActiveNode;
  /** Active nodes heard from lately, without this one. */
  readonly active: readonly ActiveNode[];
  /** Nodes that may exist, active or not, dead or alive; this one may be among them. */
  readonly knownNodes: readonly Candidate[];
  /** By how many nodes a zone may grow in a step. */
  readonly mostPerStep?: number | undefined;
}

/**
 * Is a node that stands by wanted? Then how many turns are to pass before it steps in, as nodes before it may be dead;
 * undefined if it isn't wanted. All that are wanted step in at the same turn, without word of each other.
 */
export function turnsBeforeActivation({
  self,
  active,
  knownNodes: listed,
  mostPerStep = defaultStep,
}: MembershipView): number | undefined {
  if (isSmallFleet(listed)) return 0;
  const inZone = active.filter((node) => node.zone === self.zone);
  const least = leastInZone(self, active, listed);
  if (inZone.length >= least && !isOverutilized(inZone)) return undefined;
  const known = new Set([self, ...active].map((node) => node.ip));
  const others = listed.filter((node) => node.zone === self.zone && !known.has(node.ip));
  const waiting = [...others, self].sort((a, b) => (comesBefore(a, b) ? -1 : 1));
  return Math.floor(waiting.indexOf(self) / placesFor(inZone, waiting, { least, mostPerStep }));
}

/**
 * How many of those that wait, in their order, have to become active to bring the active ones' use down to the target.
 * Saturated nodes are asked for an unknown amount more than they use; the target more than doubles their strength.
 */
function placesFor(
  inZone: readonly ActiveNode[],
  waiting: readonly Candidate[],
  { least, mostPerStep }: { readonly least: number; readonly mostPerStep: number },
): number {
  const wanted = isOverutilized(inZone) ? used(inZone) / targetPart : 0;
  let reached = strength(inZone);
  let places = 0;
  for (const node of waiting) {
    if (inZone.length + places >= least && (reached >= wanted || places >= mostPerStep)) break;
    reached += node.strength;
    places += 1;
  }
  return places;
}

/**
 * May an active node retire to stand by? Then how many others of its zone are to retire before it; undefined if it has to
 * stay. The nodes before it alone must be able to carry the load, so they still can if several retire at once.
 */
export function turnsBeforeRetirement({
  self,
  active,
  knownNodes: listed,
}: MembershipView): number | undefined {
  if (isSmallFleet(listed)) return undefined;
  const inZone = active.filter((node) => node.zone === self.zone);
  const ahead = inZone.filter((node) => comesBefore(node, self));
  if (ahead.length < leastInZone(self, active, listed)) return undefined;
  if (used([...inZone, self].map(peak)) >= easyPart * strength(ahead)) return undefined;
  return inZone.length - ahead.length;
}

/** The nodes of each zone that come first, some more than need to be active: those to look for at a start. */
export function likelyActive(self: Candidate, listed: readonly Candidate[]): readonly Candidate[] {
  if (isSmallFleet(listed)) return listed;
  const wanted = 2 * leastInZone(self, [], listed);
  return listed.filter((node) => {
    const ahead = listed.filter((other) => other.zone === node.zone && comesBefore(other, node));
    return ahead.length < wanted;
  });
}

/** Are there so few nodes that all of them are active? */
export function isSmallFleet(listed: readonly Candidate[]): boolean {
  return listed.length <= fewNodes;
}

function leastInZone(self: Candidate, active: readonly Candidate[], listed: readonly Candidate[]): number {
  const zones = new Set([self, ...active, ...listed].map((node) => node.zone));
  return Math.ceil(leastActive / zones.size);
}

/** Do the nodes use so much of their processor time that more are wanted? */
export function isOverutilized(nodes: readonly ActiveNode[]): boolean {
  return used(nodes) > crowdedPart * strength(nodes);
}

/** The node with the larger of its uses over the two windows. */
function peak(node: ActiveNode): ActiveNode {
  return { ...node, busy: Math.max(node.busy, node.steadyBusy ?? 0) };
}

/** How crowded the nodes of a zone are, in coarse steps; 0 if they aren't. */
export function overutilizationLevel(nodes: readonly ActiveNode[]): number {
  return isOverutilized(nodes) ? Math.floor(used(nodes) / strength(nodes) / crowdingStep) : 0;
}

function used(nodes: readonly ActiveNode[]): number {
  return nodes.reduce((sum, node) => sum + node.busy * node.strength, 0);
}

function strength(nodes: readonly Candidate[]): number {
  return nodes.reduce((sum, node) => sum + node.strength, 0);
}

/** The order in which nodes of a zone are active: the strongest first, the same on every node. */
function comesBefore(a: Candidate, b: Candidate): boolean {
  if (a.strength !== b.strength) return a.strength > b.strength;
  return a.ip < b.ip;
}
