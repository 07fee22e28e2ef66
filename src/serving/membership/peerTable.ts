/**
 * Tracks which gateway nodes are active and accept callers. Callers are only given addresses of nodes from which a
 * heartbeat was received recently, so nodes that died, stopped or were partitioned are left out.
 */
import * as crypto from "node:crypto";
import * as Schema from "effect/Schema";
import type { BudgetShare } from "../retryBudget.ts";
import { StorePosition } from "../storePosition.ts";
import { messageDictionary } from "../zones/messageCompression.ts";
import { isSaturated } from "./directory.ts";
import { ownerOf } from "./owner.ts";
import { Partition, PartitionStatement } from "./partition.ts";
import { isSmallFleet, likelyActive, type ActiveNode, type Candidate } from "./activeSet.ts";

/** Demand of a node's callers. */
export const CallerDemand = Schema.Struct({
  /** Requested engine time in ms per second, by demand key. */
  demand: Schema.Record(Schema.String, Schema.Number),
  /** Requests that wait for a model, by demand key. */
  waiting: Schema.Record(Schema.String, Schema.Number),
  /** Requested engine time in ms per second, by adapter key. */
  adapters: Schema.Record(Schema.String, Schema.Number),
  /** Requests in flight, by residency key. */
  running: Schema.Record(Schema.String, Schema.Number),
});
/** Decoded demand of a node. */
export type CallerDemand = typeof CallerDemand.Type;

const rosterStatusFields = {
  host: Schema.String,
  /** Increases with each start of the node's process. */
  boot: Schema.Number,
  ip: Schema.String,
  port: Schema.Number,
  zone: Schema.String,
  /** Address for callers, IP:PORT. */
  callers: Schema.String,
  ready: Schema.Boolean,
  /** CPU cores that the node may use, and their recent utilization from 0 to 1. */
  strength: Schema.Number,
  busy: Schema.Number,
  /** Version of its configuration; 0 without one. */
  version: Schema.Number,
  /** Time since its last read of the registrations from the store, ms; absent if the store doesn't answer this node. */
  readAgeMs: Schema.optionalKey(Schema.Number),
  /** Increases with each change of the servers that the node knows. */
  fleetRevision: Schema.Number,
  /** Its fencing token while it holds the placement lease. */
  token: Schema.optionalKey(Schema.Number),
  /** Backend servers that it can't connect to; absent if there are none. */
  unreachable: Schema.optionalKey(Schema.Array(Schema.String)),
  /** It serves requests that other nodes pass on. */
  forwarding: Schema.optionalKey(Schema.Boolean),
  /** It lets a stream go on only at the software version that began it. */
  streamVersions: Schema.optionalKey(Schema.Boolean),
  /** It runs forwarded requests for the customer that their first node found. */
  customers: Schema.optionalKey(Schema.Boolean),
  /** Share of customers' quotas that it lets nodes in contact with it use, if less than 1. */
  quotaShare: Schema.optionalKey(Schema.Number),
  /** Set while it reaches none of the servers of a service that other nodes reach. */
  partitioned: Schema.optionalKey(Schema.Boolean),
};

/** Status of an active node as sent to standby nodes. */
export const RosterNodeStatus = Schema.Struct(rosterStatusFields);

const statusFields = {
  ...rosterStatusFields,
  /** CPU utilization over several seconds, from 0 to 1. */
  steadyBusy: Schema.optionalKey(Schema.Number),
  /** Time since which a configuration newer than `version` may have been acknowledged, ms; absent if unknown. */
  configurationAgeMs: Schema.optionalKey(Schema.Number),
  /** The latest era of the store that the node knows. */
  storeEra: Schema.optionalKey(Schema.Number),
  /** It reads the short forms of heartbeats and loads. */
  compactMessages: Schema.optionalKey(Schema.Boolean),
  /** The dictionary with which it reads compressed messages. */
  messageDictionary: Schema.optionalKey(Schema.Number),
  /** It reads short forms within a zone too, and load messages with a heartbeat and with reports by short keys. */
  combinedMessages: Schema.optionalKey(Schema.Boolean),
};

/** Status of an active node. */
export const NodeStatus = Schema.Struct(statusFields);
/** A decoded node status. */
export type NodeStatus = typeof NodeStatus.Type;

/** Sent by active nodes to all others a few times a second; a standby node sends it to the lease holder only. */
export const Heartbeat = Schema.Struct({
  ...statusFields,
  /** Whether the node accepts callers rather than being on standby. */
  active: Schema.Boolean,
  /** Set by the lease holder: models being loaded by demand key, with the time until they should be available, ms. */
  coming: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
  /** Store position of the latest quarantine change that the node knows. */
  quarantinePosition: Schema.optionalKey(StorePosition),
  /** Prefill factors it has measured: factor and number of observations by model kind. */
  paces: Schema.optionalKey(Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]))),
  /** Nodes that were lost without notice, while there are any. */
  partition: Schema.optionalKey(PartitionStatement),
  /** Identifies the fields that short heartbeats leave out. */
  base: Schema.optionalKey(Schema.Number),
  /** Only sent to the holder of the placement lease, as no other node uses it. */
  asked: Schema.optionalKey(CallerDemand),
});
/** A decoded heartbeat. */
export type Heartbeat = typeof Heartbeat.Type;

/** The active nodes as one node knows them, sent to standby nodes. */
export const Roster = Schema.Struct({
  /** The sender. */
  host: Schema.String,
  boot: Schema.Number,
  ip: Schema.String,
  port: Schema.Number,
  /** Version of its configuration, and the time since which a newer one may have been acknowledged, ms. */
  version: Schema.Number,
  configurationAgeMs: Schema.optionalKey(Schema.Number),
  /** Revision of the latest change of the set of servers. */
  fleetRevision: Schema.Number,
  /** Store position of the latest quarantine change that the sender knows. */
  quarantinePosition: Schema.optionalKey(StorePosition),
  /** The latest era of the store that the sender knows. */
  storeEra: Schema.optionalKey(Schema.Number),
  /** Time since any active node read the store, as far as the sender knows, ms. */
  readAgeMs: Schema.optionalKey(Schema.Number),
  /** Changes whenever the entries do. */
  digest: Schema.String,
  /** Each with the time since its last heartbeat, ms; absent if the receiver already has the same entries. */
  entries: Schema.optionalKey(
    Schema.Array(Schema.Struct({ standing: RosterNodeStatus, ageMs: Schema.Number })),
  ),
});
/** A decoded roster. */
export type Roster = typeof Roster.Type;

/** A node counts as dead if no heartbeat was received for this long, ms: five periods, as datagrams may be lost. */
const peerTimeoutMs = 1_600;
/**
 * The same for nodes in the roster of another node, ms: rosters are polled less often than heartbeats are sent, and
 * the other node broadcasts by itself when a peer times out.
 */
const rosterPeerTimeoutMs = 4_500;
/** Heartbeats are still sent to dead nodes for this long, ms, so that both sides notice when a partition heals. */
const forgetPeerMs = 60_000;

/** Ratio of a fleet-wide limit that the standby nodes share. */
const standbyBudgetRatio = 0.1;

/**
 * Peers from which nothing was received for this long, ms, may use customers' quotas without this node knowing: two missed
 * heartbeats.
 */
const quotaSilenceMs = 700;
/** A node that became active within this time may not know of all lost peers and takes the share that others state, ms. */
const recentActivationMs = 15_000;

/** Last known status of a peer. */
export interface Peer {
  readonly status: NodeStatus;
  readonly lastHeardMs: number;
  /** Since when it has been known as active, ms. */
  readonly sinceMs?: number;
}

/** Address of a peer. */
export interface PeerAddress {
  readonly ip: string;
  readonly port: number;
}

/** A node as listed in the store. */
export const Member = Schema.Struct({
  ip: Schema.String,
  port: Schema.Number,
  zone: Schema.String,
  strength: Schema.Number,
});
/** A decoded member. */
export type Member = typeof Member.Type;

/** The peers known to this node. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  /** IPs in the latest roster, by the node that sent it. */
  private readonly rosters = new Map<string, ReadonlySet<string>>();
  /** Nodes listed in the store, alive or dead. */
  private readonly nodes = new Map<string, Member>();
  /**
   * Addresses to contact though nothing may ever have been received from them: seeds, and listed nodes that are
   * likely active.
   */
  private readonly contacts = new Map<string, { address: PeerAddress; sinceMs: number }>();

  /** Active nodes lost without notice; see `observePartition`. */
  private readonly lossState: Partition;

  constructor(private readonly self: Candidate) {
    this.lossState = new Partition(self.ip);
  }

  /** Records a heartbeat; false if it is older than the known one. */
  recordHeartbeat(heartbeat: Heartbeat, nowMs: number): boolean {
    if (this.isStale(heartbeat, nowMs)) return false;
    if (heartbeat.active)
      this.peers.set(heartbeat.ip, {
        status: heartbeat,
        lastHeardMs: nowMs,
        sinceMs: this.peers.get(heartbeat.ip)?.sinceMs ?? nowMs,
      });
    else {
      this.peers.delete(heartbeat.ip);
      this.lossState.recordLeft(heartbeat.ip, nowMs);
    }
    if (heartbeat.active && heartbeat.partition !== undefined)
      this.observePartition(nowMs).adopt(heartbeat.partition, nowMs);
    return true;
  }

  /** Applies the list of active nodes known to `source`. */
  applyRoster(source: string, entries: readonly Peer[]): void {
    const listedIps = new Set(entries.map(({ status }) => status.ip));
    // A node that is missing from the new roster is dead, even if this node's last record of it is more recent.
    for (const ip of this.rosters.get(source) ?? []) if (!listedIps.has(ip)) this.peers.delete(ip);
    this.rosters.set(source, listedIps);
    for (const entry of entries) {
      const known = this.peers.get(entry.status.ip);
      if (entry.status.ip === this.self.ip || this.isStale(entry.status, entry.lastHeardMs)) continue;
      if ((known?.lastHeardMs ?? Number.NEGATIVE_INFINITY) < entry.lastHeardMs)
        this.peers.set(entry.status.ip, entry);
    }
  }

  /** The roster of `source` hasn't changed: refreshes its entries. */
  confirmRoster(source: string, nowMs: number): void {
    for (const ip of this.rosters.get(source) ?? []) {
      const known = this.peers.get(ip);
      if (known !== undefined)
        this.peers.set(ip, { ...known, lastHeardMs: Math.max(known.lastHeardMs, nowMs) });
    }
  }

  /** Adds the address of a node that may be active. */
  addContact(address: PeerAddress, nowMs: number): void {
    if (address.ip === this.self.ip) return;
    this.contacts.set(address.ip, { address: { ip: address.ip, port: address.port }, sinceMs: nowMs });
  }

  /** Adds the nodes listed in the store. */
  addListedNodes(nodes: readonly Member[], nowMs: number): void {
    for (const node of nodes) this.nodes.set(node.ip, node);
    const likely = new Set(likelyActive(this.self, this.knownNodes).map((node) => node.ip));
    for (const node of nodes) if (likely.has(node.ip)) this.addContact(node, nowMs);
  }

  /** The availability zone of a known node. */
  zoneOf(ip: string): string | undefined {
    return this.peers.get(ip)?.status.zone ?? this.nodes.get(ip)?.zone;
  }

  /** Whether the node is known to be in another availability zone than this one. */
  isInOtherZone(ip: string): boolean {
    const zone = this.zoneOf(ip);
    return zone !== undefined && zone !== this.self.zone;
  }

  /** The peer's status if it gets the short forms of messages: builds without `combinedMessages` only in other zones. */
  compactPeer(ip: string): NodeStatus | undefined {
    const status = this.peers.get(ip)?.status;
    if (status?.combinedMessages === true) return status;
    return status?.compactMessages === true && status.zone !== this.self.zone ? status : undefined;
  }

  /** Whether messages to the node are compressed: it is in another zone and has the same dictionary. */
  readsCompressed(ip: string): boolean {
    const status = this.peers.get(ip)?.status;
    return status?.messageDictionary === messageDictionary && status.zone !== this.self.zone;
  }

  /** Adds a node that is known to be alive. */
  addLiveNode(node: Member): void {
    this.nodes.set(node.ip, node);
  }

  /** Nodes that may exist: listed ones, peers, and this one. */
  get knownNodes(): readonly Candidate[] {
    return [...new Map<string, Candidate>([...this.otherNodes(), [this.self.ip, this.self]]).values()];
  }

  /** The known nodes as rows for the store. */
  memberRows(self: Member): Member[] {
    return [...new Map([...this.otherNodes(), [self.ip, self]]).values()];
  }

  /** Active nodes from which a heartbeat was received recently. */
  alive(nowMs: number): Peer[] {
    return [...this.peers.values()].filter(({ status, lastHeardMs }) => {
      const ageMs = nowMs - lastHeardMs;
      return ageMs < peerTimeoutMs || (ageMs < rosterPeerTimeoutMs && this.isInRoster(status.ip));
    });
  }

  /** The live peers as input for activation decisions. */
  active(nowMs: number): ActiveNode[] {
    return this.alive(nowMs).map(({ status }) => status);
  }

  /**
   * This node's share of fleet-wide limits. Standby nodes share a small ratio among themselves: there may be many of
   * them, and they receive hardly any requests.
   */
  budgetShare(active: boolean, nowMs: number): BudgetShare {
    const alive = new Set(this.alive(nowMs).map(({ status }) => status.ip));
    const { knownNodes } = this;
    const fraction = isSmallFleet(knownNodes) ? 1 : active ? 1 - standbyBudgetRatio : standbyBudgetRatio;
    const nodes = active ? [...alive] : knownNodes.map(({ ip }) => ip).filter((ip) => !alive.has(ip));
    const others = nodes.filter((ip) => ip !== this.self.ip);
    return {
      count: others.length + 1,
      rank: others.filter((ip) => ip < this.self.ip).length,
      fraction,
    };
  }

  /**
   * Share of customers' quotas that this node and its live peers may use together; `activeSinceMs` is undefined on standby.
   * Active nodes that vanished may have been partitioned and still serve callers, so the quotas are divided by the numbers
   * of nodes before that. A node that became active since takes the share that the others state.
   */
  quotaShare(activeSinceMs: number | undefined, nowMs: number): number {
    if (activeSinceMs === undefined) return 1 / this.knownNodes.length;
    const ownShare = this.observePartition(nowMs).share(nowMs);
    if (nowMs - activeSinceMs > recentActivationMs) return ownShare;
    const alive = [...this.peers.values()].filter((peer) => isHeard(peer, nowMs));
    if (alive.length === 0) return ownShare;
    return Math.min(ownShare, Math.max(...alive.map(({ status }) => status.quotaShare ?? 1)));
  }

  /** The active nodes that were lost without notice, as of now. */
  observePartition(nowMs: number): Partition {
    const peers = [...this.peers.values()].map((peer) => ({
      ip: peer.status.ip,
      ready: peer.status.ready,
      heard: isHeard(peer, nowMs),
      lastHeardMs: peer.lastHeardMs,
      sinceMs: peer.sinceMs,
    }));
    this.lossState.observe(peers, nowMs);
    return this.lossState;
  }

  /** A node didn't respond: it counts as dead until its status is received again. */
  markDead(ip: string): void {
    this.peers.delete(ip);
    this.rosters.delete(ip);
  }

  /** This node is active: from now on it receives heartbeats itself and doesn't rely on rosters. */
  clearRosters(): void {
    this.rosters.clear();
  }

  /** The node responsible for the key: a ready one among live peers, or this one if it `mayOwn` or knows no other. */
  owner(key: string, self: PeerAddress, mayOwn: boolean, nowMs: number): PeerAddress {
    const ready = this.alive(nowMs).filter(({ status }) => status.ready);
    const nodes = new Map<string, PeerAddress>(ready.map(({ status }) => [status.ip, status]));
    if (mayOwn) nodes.set(self.ip, self);
    return nodes.get(ownerOf(key, [...nodes.keys()]) ?? "") ?? self;
  }

  /** Addresses to send heartbeats to: live peers, and with `everyone` also nodes that may come back. */
  recipients(nowMs: number, everyone: boolean): PeerAddress[] {
    const addresses = new Map<string, PeerAddress>();
    for (const peer of this.alive(nowMs)) addresses.set(peer.status.ip, peer.status);
    if (!everyone) return [...addresses.values()];
    for (const peer of this.peers.values()) {
      if (nowMs - peer.lastHeardMs < forgetPeerMs) addresses.set(peer.status.ip, peer.status);
    }
    for (const { address, sinceMs } of this.contacts.values()) {
      if (nowMs - sinceMs < forgetPeerMs) addresses.set(address.ip, address);
    }
    // Without this, a node that was partitioned for long would have forgotten all peers and never find them again.
    if (addresses.size === 0) return [...this.contacts.values()].map(({ address }) => address);
    return [...addresses.values()];
  }

  /** Active nodes that a standby node polls, best first: those of its zone first, spread evenly over them. */
  rosterSources(nowMs: number): PeerAddress[] {
    const rank = ({ status }: Peer): string =>
      `${status.zone === this.self.zone ? 0 : 1} ${digestOf([this.self.ip, status.ip])}`;
    return this.alive(nowMs)
      .map((peer) => ({ peer, rank: rank(peer) }))
      .sort((a, b) => (a.rank < b.rank ? -1 : 1))
      .map(({ peer }) => peer.status);
  }

  /** Live peers whose configuration isn't known to be older than `maxAgeMs`, the most recently confirmed first. */
  informedPeers(maxAgeMs: number, nowMs: number): NodeStatus[] {
    return this.alive(nowMs)
      .map(({ status, lastHeardMs }) => {
        const { configurationAgeMs } = status;
        // Entries of a roster don't tell.
        const ageMs = configurationAgeMs === undefined ? 0 : configurationAgeMs + nowMs - lastHeardMs;
        return { status, ageMs };
      })
      .filter(({ ageMs }) => ageMs < maxAgeMs)
      .sort((a, b) => a.ageMs - b.ageMs)
      .map(({ status }) => status);
  }

  /** Hash of the set of active nodes and their status, without fields that change all the time. */
  digest(nowMs: number): string {
    const entries = this.alive(nowMs).map(({ status }) => {
      const { ip, boot, ready, token, partitioned } = status;
      const flags = [ready, isSaturated(status), partitioned === true].join(" ");
      return `${ip} ${boot} ${flags} ${token ?? ""}`;
    });
    return digestOf(entries.sort());
  }

  /** The holder of the placement lease among live peers: the newest token wins. */
  leaseHolder(nowMs: number): NodeStatus | undefined {
    let found: NodeStatus | undefined;
    for (const { status } of this.alive(nowMs)) {
      if (status.token === undefined) continue;
      if (found?.token === undefined || status.token > found.token) found = status;
    }
    return found;
  }

  /** Whether most of the peers that were alive lately are not heard any more. */
  isIsolated(nowMs: number): boolean {
    const recent = [...this.peers.values()].filter(({ lastHeardMs }) => nowMs - lastHeardMs < forgetPeerMs);
    return recent.length > 2 * this.alive(nowMs).length;
  }

  /** Whether the node is in the roster of another node. */
  private isInRoster(ip: string): boolean {
    return [...this.rosters.values()].some((listedIps) => listedIps.has(ip));
  }

  /** Listed nodes and peers. */
  private otherNodes(): [string, Member][] {
    const peerMembers = [...this.peers.values()].map(({ status }): [string, Member] => [status.ip, status]);
    return [...peerMembers, ...this.nodes];
  }

  /**
   * Whether the status is from before a known restart of its node. If the wall clock was set back, a later start has
   * a lower boot number; the status is still accepted once the earlier process has timed out, or the restarted node
   * would count as dead.
   */
  private isStale({ ip, boot }: NodeStatus, nowMs: number): boolean {
    const known = this.peers.get(ip);
    return known !== undefined && known.status.boot > boot && nowMs - known.lastHeardMs < peerTimeoutMs;
  }
}

function isHeard({ lastHeardMs }: Peer, nowMs: number): boolean {
  return nowMs - lastHeardMs < quotaSilenceMs;
}

function digestOf(texts: readonly string[]): string {
  return crypto.createHash("md5").update(texts.join(",")).digest("base64url");
}
