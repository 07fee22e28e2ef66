/**
 * Chooses the peer that serves a request whose servers this node can't connect to. Handles a host that is partitioned from
 * some or all backend servers while its callers and peers still reach it.
 */
import { weightedChoice } from "../common/weightedChoice.ts";
import { spareCapacityOf } from "./membership/directory.ts";

/** A peer from this utilization on gets requests of its own zone only if no other zone has a peer with more room. */
const busyRatio = 0.8;
/**
 * If this node reaches other servers, a peer is believed to reach an unreachable one only if it has not reported a failure
 * this long after this node's own, ms: the time of a probe and a heartbeat. Otherwise a crashed server would have its
 * requests passed around.
 */
export const confirmationMs = 800;

/** The servers that a node can't connect to. */
export interface NodeView {
  readonly unreachable?: readonly string[];
}

/** A node as a target of forwarded requests. */
export interface ForwardTarget extends NodeView {
  readonly ip: string;
  readonly port: number;
  readonly zone: string;
  readonly ready: boolean;
  /** It serves requests that other nodes pass on; builds without this don't. */
  readonly forwarding?: boolean;
  readonly strength: number;
  readonly busy: number;
  /** Version of its configuration. */
  readonly version: number;
}

/** Input of `choosePeer`. */
export interface PeerChoice<T extends ForwardTarget> {
  /** Live peers and when they were last heard, ms. */
  readonly peers: readonly { readonly status: T; readonly lastHeardMs: number }[];
  /** Servers that could serve the request. */
  readonly servers: readonly UnreachableServer[];
  /** This node can connect to no server at all. */
  readonly reachesNone: boolean;
  readonly zone: string;
  /** Version of this node's configuration. A peer with an older one may lack the route. */
  readonly version: number;
  /** IPs of peers that were tried. */
  readonly tried: ReadonlySet<string>;
  /** Random number from 0 to 1. */
  readonly draw: number;
}

/** A server to which this node's connections fail. */
export interface UnreachableServer {
  readonly id: string;
  /** Since when they fail, ms. */
  readonly failingSinceMs: number;
}

/** Whether a peer can connect to the server, as far as is known; `reachesNone` as in `PeerChoice`. */
export function isReachedBy(
  peer: { readonly status: NodeView; readonly lastHeardMs: number },
  { id, failingSinceMs }: UnreachableServer,
  reachesNone: boolean,
): boolean {
  if (peer.status.unreachable?.includes(id) === true) return false;
  return reachesNone || peer.lastHeardMs - failingSinceMs >= confirmationMs;
}

/** A peer that reaches one of the servers: of the own zone if it has room, at random in proportion to spare CPU capacity. */
export function choosePeer<T extends ForwardTarget>(choice: PeerChoice<T>): T | undefined {
  const reaching = choice.peers
    .filter(({ status }) => status.ready && status.forwarding === true)
    .filter(({ status }) => status.version >= choice.version && !choice.tried.has(status.ip))
    .filter((peer) => choice.servers.some((server) => isReachedBy(peer, server, choice.reachesNone)))
    .map(({ status }) => status);
  const near = reaching.filter(({ zone, busy }) => zone === choice.zone && busy < busyRatio);
  return weightedChoice(near.length > 0 ? near : reaching, spareCapacityOf, choice.draw);
}

/** Whether the node can connect to one of the servers, as far as is known. */
export function reachesAny({ unreachable = [] }: NodeView, servers: readonly string[]): boolean {
  return servers.some((id) => !unreachable.includes(id));
}

/** Whether the node reaches none of a service's servers while another node reaches one. */
export function isPartitionedFrom(
  servers: readonly string[],
  unreachable: ReadonlySet<string>,
  others: readonly NodeView[],
): boolean {
  if (servers.length === 0 || !servers.every((id) => unreachable.has(id))) return false;
  return others.some((other) => reachesAny(other, servers));
}
