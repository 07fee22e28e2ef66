/**
 * Which gateway nodes are active and take callers. Answers nodes that die, are cut off or stop: callers are
 * told only addresses of nodes heard from lately that didn't say goodbye.
 */
import * as crypto from "node:crypto";
import * as Schema from "effect/Schema";
import type { BudgetShare } from "../retryBudget.ts";
import { StorePosition } from "../storePosition.ts";
import { isFull } from "./directory.ts";
import { ownerOf } from "./owner.ts";
import { isSmallFleet, likelyActive, type ActiveNode, type Candidate } from "./activeSet.ts";

/** What callers ask of a node. */
export const CallerDemand = Schema.Struct({
  /** Engine ms asked for per second, by demand key. */
  demand: Schema.Record(Schema.String, Schema.Number),
  /** Requests that wait for a model, by demand key. */
  waiting: Schema.Record(Schema.String, Schema.Number),
  /** Engine ms asked for per second, by adapter key. */
  adapters: Schema.Record(Schema.String, Schema.Number),
  /** Requests sent and not finished, by residency key. */
  running: Schema.Record(Schema.String, Schema.Number),
});
/** Decoded demand of a node. */
export type CallerDemand = typeof CallerDemand.Type;

const rosterStanding = {
  host: Schema.String,
  /** Grows with each start of the node's process. */
  boot: Schema.Number,
  ip: Schema.String,
  port: Schema.Number,
  zone: Schema.String,
  /** Where callers reach it, IP:PORT. */
  callers: Schema.String,
  ready: Schema.Boolean,
  /** Processor cores that it may use, and the part of them that it used lately. */
  strength: Schema.Number,
  busy: Schema.Number,
  /** Version of its configuration; 0 without one. */
  version: Schema.Number,
  /** Time since it last read the registrations from the store, ms; absent if the store doesn't answer it. */
  readAgeMs: Schema.optionalKey(Schema.Number),
  /** Grows with each change of servers that it learned. */
  fleetRevision: Schema.Number,
  /** Its fencing token while it holds the placement lease. */
  token: Schema.optionalKey(Schema.Number),
};

/** How an active node stands, as nodes that stand by need to know it. */
export const RosterNodeStatus = Schema.Struct(rosterStanding);

const standing = {
  ...rosterStanding,
  /** The part of its processor cores that it used over several seconds. */
  steadyBusy: Schema.optionalKey(Schema.Number),
  /** The newest era of the store that it knows. */
  storeEra: Schema.optionalKey(Schema.Number),
};

/** How an active node stands. */
export const NodeStatus = Schema.Struct(standing);
/** A decoded standing. */
export type NodeStatus = typeof NodeStatus.Type;

/** What an active node tells the others a few times a second; one that stands by tells only the lease holder. */
export const Heartbeat = Schema.Struct({
  ...standing,
  /** Does it take callers, rather than stand by? */
  active: Schema.Boolean,
  /** Told by the holder: models on their way by demand key, and the time until they should be there, ms. */
  coming: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
  /** The store's position of the newest change of quarantined requests that it knows. */
  quarantinePosition: Schema.optionalKey(StorePosition),
  /** What it has learned of models' paces: pace and observations by kind. */
  paces: Schema.optionalKey(Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]))),
  /** Only told to the holder of the placement lease, as nobody else uses it. */
  asked: Schema.optionalKey(CallerDemand),
});
/** A decoded pulse. */
export type Heartbeat = typeof Heartbeat.Type;

/** The active nodes as one node knows them, for a node that stands by. */
export const Roster = Schema.Struct({
  /** The node that tells. */
  host: Schema.String,
  boot: Schema.Number,
  ip: Schema.String,
  port: Schema.Number,
  /** Of its configuration. */
  version: Schema.Number,
  /** Of the newest change of which servers there are. */
  fleetRevision: Schema.Number,
  /** The store's position of the newest change of quarantined requests that it knows. */
  quarantinePosition: Schema.optionalKey(StorePosition),
  /** The newest era of the store that it knows. */
  storeEra: Schema.optionalKey(Schema.Number),
  /** Time since any active node read the store, as far as is known, ms. */
  readAgeMs: Schema.optionalKey(Schema.Number),
  /** Changes with the entries. */
  digest: Schema.String,
  /** Each with the time since it was heard, ms; absent if the asking node has them already. */
  entries: Schema.optionalKey(
    Schema.Array(Schema.Struct({ standing: RosterNodeStatus, ageMs: Schema.Number })),
  ),
});
/** A decoded roster. */
export type Roster = typeof Roster.Type;

/** Not heard from for this long a node counts as dead, ms: five periods, as datagrams may be lost. */
const silentMs = 1_600;
/**
 * The same for nodes that another one tells of, ms: it is asked less often than it hears them, and tells by itself when
 * one falls silent.
 */
const untoldMs = 4_500;
/** Dead nodes are still spoken to for this long, ms, so that a cut that heals is noticed on both sides. */
const forgetMs = 60_000;

/** Part of a bound over all nodes that those that stand by share. */
const standbyPart = 0.1;

/** A peer as last heard. */
export interface Peer {
  readonly status: NodeStatus;
  readonly lastHeardMs: number;
}

/** Where a peer listens. */
export interface PeerAddress {
  readonly ip: string;
  readonly port: number;
}

/** A node as the store's list names it. */
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
  /** Whom each node that told of active ones named last. */
  private readonly rosters = new Map<string, ReadonlySet<string>>();
  /** Listed in the store, dead or alive. */
  private readonly nodes = new Map<string, Member>();
  /** Spoken to though they may never have been heard: seeds, and listed nodes that are likely active. */
  private readonly sought = new Map<string, { address: PeerAddress; sinceMs: number }>();

  constructor(private readonly self: Candidate) {}

  /** Takes a pulse; false if it is older than what is known. */
  recordHeartbeat(pulse: Heartbeat, nowMs: number): boolean {
    if (this.isFromBefore(pulse, nowMs)) return false;
    if (pulse.active) this.peers.set(pulse.ip, { status: pulse, lastHeardMs: nowMs });
    else this.peers.delete(pulse.ip);
    return true;
  }

  /** Takes the active nodes as `teller` hears them. */
  applyRoster(teller: string, entries: readonly Peer[]): void {
    const named = new Set(entries.map(({ status: pulse }) => pulse.ip));
    // One that it doesn't hear any more is dead, though its last word from here is younger.
    for (const ip of this.rosters.get(teller) ?? []) if (!named.has(ip)) this.peers.delete(ip);
    this.rosters.set(teller, named);
    for (const entry of entries) {
      const known = this.peers.get(entry.status.ip);
      if (entry.status.ip === this.self.ip || this.isFromBefore(entry.status, entry.lastHeardMs)) continue;
      if ((known?.lastHeardMs ?? Number.NEGATIVE_INFINITY) < entry.lastHeardMs)
        this.peers.set(entry.status.ip, entry);
    }
  }

  /** The teller hears the same nodes as when it told last. */
  confirmRoster(teller: string, nowMs: number): void {
    for (const ip of this.rosters.get(teller) ?? []) {
      const known = this.peers.get(ip);
      if (known !== undefined)
        this.peers.set(ip, { ...known, lastHeardMs: Math.max(known.lastHeardMs, nowMs) });
    }
  }

  /** Learns of a node that may be active. */
  addContact(address: PeerAddress, nowMs: number): void {
    if (address.ip === this.self.ip) return;
    this.sought.set(address.ip, { address: { ip: address.ip, port: address.port }, sinceMs: nowMs });
  }

  /** Learns all nodes that the store lists. */
  addListedNodes(nodes: readonly Member[], nowMs: number): void {
    for (const node of nodes) this.nodes.set(node.ip, node);
    const likely = new Set(likelyActive(this.self, this.knownNodes).map((node) => node.ip));
    for (const node of nodes) if (likely.has(node.ip)) this.addContact(node, nowMs);
  }

  /** Learns of a node that lives. */
  addLiveNode(node: Member): void {
    this.nodes.set(node.ip, node);
  }

  /** Nodes that may exist: listed ones, those heard of, and this one. */
  get knownNodes(): readonly Candidate[] {
    return [...new Map<string, Candidate>([...this.others(), [this.self.ip, this.self]]).values()];
  }

  /** The same as rows of the store's list. */
  memberRows(self: Member): Member[] {
    return [...new Map([...this.others(), [self.ip, self]]).values()];
  }

  /** Active nodes heard from lately. */
  alive(nowMs: number): Peer[] {
    return [...this.peers.values()].filter(({ status: pulse, lastHeardMs: heardMs }) => {
      const ageMs = nowMs - heardMs;
      return ageMs < silentMs || (ageMs < untoldMs && this.isTold(pulse.ip));
    });
  }

  /** The same, as membership decides by them. */
  active(nowMs: number): ActiveNode[] {
    return this.alive(nowMs).map(({ status: pulse }) => pulse);
  }

  /**
   * The nodes that share bounds over all nodes with this one. Nodes that stand by share a small part among themselves:
   * there may be many of them, and hardly any request comes to one.
   */
  budgetShare(active: boolean, nowMs: number): BudgetShare {
    const alive = new Set(this.alive(nowMs).map(({ status: pulse }) => pulse.ip));
    const { knownNodes: listed } = this;
    const part = isSmallFleet(listed) ? 1 : active ? 1 - standbyPart : standbyPart;
    const nodes = active ? [...alive] : listed.map(({ ip }) => ip).filter((ip) => !alive.has(ip));
    const others = nodes.filter((ip) => ip !== this.self.ip);
    return {
      count: others.length + 1,
      rank: others.filter((ip) => ip < this.self.ip).length,
      fraction: part,
    };
  }

  /** A node didn't answer: it counts as dead until it is heard of again. */
  markDead(ip: string): void {
    this.peers.delete(ip);
    this.rosters.delete(ip);
  }

  /** This node is active and hears the others itself from now on. */
  clearRosters(): void {
    this.rosters.clear();
  }

  /** The node that answers for the key: a ready one among those alive, or this one if it `mayOwn` or knows of none. */
  owner(key: string, self: PeerAddress, mayOwn: boolean, nowMs: number): PeerAddress {
    const ready = this.alive(nowMs).filter(({ status: pulse }) => pulse.ready);
    const nodes = new Map<string, PeerAddress>(ready.map(({ status: pulse }) => [pulse.ip, pulse]));
    if (mayOwn) nodes.set(self.ip, self);
    return nodes.get(ownerOf(key, [...nodes.keys()]) ?? "") ?? self;
  }

  /** Addresses to tell of this node: alive ones, and at times those that may come back. */
  recipients(nowMs: number, everyone: boolean): PeerAddress[] {
    const addresses = new Map<string, PeerAddress>();
    for (const peer of this.alive(nowMs)) addresses.set(peer.status.ip, peer.status);
    if (!everyone) return [...addresses.values()];
    for (const peer of this.peers.values()) {
      if (nowMs - peer.lastHeardMs < forgetMs) addresses.set(peer.status.ip, peer.status);
    }
    for (const { address, sinceMs } of this.sought.values()) {
      if (nowMs - sinceMs < forgetMs) addresses.set(address.ip, address);
    }
    // Guards "a node that was cut off for long never finds the others again": it has forgotten them all.
    if (addresses.size === 0) return [...this.sought.values()].map(({ address }) => address);
    return [...addresses.values()];
  }

  /** Active nodes that one that stands by asks, best first: those of its zone, spread evenly over them. */
  rosterSources(nowMs: number): PeerAddress[] {
    const rank = ({ status: pulse }: Peer): string =>
      `${pulse.zone === this.self.zone ? 0 : 1} ${digestOf([this.self.ip, pulse.ip])}`;
    return this.alive(nowMs)
      .map((peer) => ({ peer, rank: rank(peer) }))
      .sort((a, b) => (a.rank < b.rank ? -1 : 1))
      .map(({ peer }) => peer.status);
  }

  /** Identifies who is active and how they stand, without what changes all the time. */
  digest(nowMs: number): string {
    const entries = this.alive(nowMs).map(({ status: pulse }) => {
      const { ip, boot, ready, token } = pulse;
      return `${ip} ${boot} ${String(ready)} ${String(isFull(pulse))} ${token ?? ""}`;
    });
    return digestOf(entries.sort());
  }

  /** The holder of the placement lease among live peers: the newest token wins. */
  leaseHolder(nowMs: number): NodeStatus | undefined {
    let found: NodeStatus | undefined;
    for (const { status: pulse } of this.alive(nowMs)) {
      if (pulse.token === undefined) continue;
      if (found?.token === undefined || pulse.token > found.token) found = pulse;
    }
    return found;
  }

  /** Does another node tell of it? */
  private isTold(ip: string): boolean {
    return [...this.rosters.values()].some((named) => named.has(ip));
  }

  /** Listed nodes and those heard of. */
  private others(): [string, Member][] {
    const heard = [...this.peers.values()].map(({ status: pulse }): [string, Member] => [pulse.ip, pulse]);
    return [...heard, ...this.nodes];
  }

  /**
   * Is the word older than a restart of its node that is known? Guards "a restarted node is taken for dead": its time of
   * day may have been set back, so a later start looks like an earlier one. Its earlier life is silent by then.
   */
  private isFromBefore({ ip, boot }: NodeStatus, nowMs: number): boolean {
    const known = this.peers.get(ip);
    return known !== undefined && known.status.boot > boot && nowMs - known.lastHeardMs < silentMs;
  }
}

function digestOf(texts: readonly string[]): string {
  return crypto.createHash("md5").update(texts.join(",")).digest("base64url");
}
