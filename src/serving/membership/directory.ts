/**
 * Chooses the nodes that a caller is told of. Callers pick one at random, so a node is told of as often as its spare
 * processor time allows: told of equally, the weakest node is overloaded while the strongest are idle.
 */

/** Below this part of its processor time a node has room for more, and is told of by its strength alone. */
const easyPart = 0.5;
/** From this part on it is as good as full: word of it goes to all that tell callers of it. */
const fullPart = 0.8;
/** A node without room is still told of this much: its use is a few hundred milliseconds old. */
const leastRoom = 0.1;
/** Callers are told of so many nodes at least, as one of them may just have died. */
const leastTold = 3;

/** A node that takes callers. */
export interface DirectoryNode {
  /** Where callers reach it, IP:PORT. */
  readonly callers: string;
  /** Processor cores that it may use, and the part of them that it uses. */
  readonly strength: number;
  readonly busy: number;
}

/** Addresses to tell one caller; `draw` gives numbers from 0 to 1. */
export function chooseAddresses(nodes: readonly DirectoryNode[], draw: () => number): string[] {
  const spares = nodes.map((node) => ({ node, spare: spareOf(node) }));
  const most = Math.max(...spares.map(({ spare }) => spare));
  const told = spares.filter(({ spare }) => draw() * most <= spare);
  const rest = spares.filter((entry) => !told.includes(entry)).sort((a, b) => b.spare - a.spare);
  told.push(...rest.slice(0, Math.max(0, leastTold - told.length)));
  return told.map(({ node }) => node.callers);
}

/** Has the node hardly any room for more? */
export function isFull({ busy }: Pick<DirectoryNode, "busy">): boolean {
  return busy >= fullPart;
}

function spareOf({ strength, busy }: DirectoryNode): number {
  const room = (1 - Math.max(easyPart, Math.min(1, busy))) / (1 - easyPart);
  return strength * Math.max(leastRoom, room);
}
