/**
 * Which gateway nodes are alive and take callers. Answers nodes that die, are cut off or stop: callers are
 * told only addresses of nodes heard from lately that didn't say goodbye.
 */
import * as Schema from "effect/Schema";
import { PeerLoads } from "./loadBoard.ts";

/** What callers ask of a node. */
export const Asked = Schema.Struct({
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
export type Asked = typeof Asked.Type;

/** What a node tells its peers a few times a second. */
export const Pulse = Schema.Struct({
  host: Schema.String,
  /** Grows with each start of the node's process. */
  boot: Schema.Number,
  ip: Schema.String,
  port: Schema.Number,
  zone: Schema.String,
  /** Where callers reach it, IP:PORT. */
  callers: Schema.String,
  ready: Schema.Boolean,
  /** Version of its configuration; 0 without one. */
  version: Schema.Number,
  /** Time since it last read the registrations from the store, ms; absent if the store doesn't answer it. */
  readAgeMs: Schema.optionalKey(Schema.Number),
  /** Grows with each change of registrations that it read. */
  fleetRevision: Schema.Number,
  /** Its fencing token while it holds the placement lease. */
  token: Schema.optionalKey(Schema.Number),
  /** Told by the holder: models on their way by demand key, and the time until they should be there, ms. */
  coming: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
  /** Work in flight by server id: pending ms, requests. */
  loads: PeerLoads,
  /** What it has learned of models' paces: pace and observations by kind. */
  paces: Schema.optionalKey(Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]))),
  /** Only told to the holder of the placement lease, as nobody else uses it. */
  asked: Schema.optionalKey(Asked),
});
/** A decoded pulse. */
export type Pulse = typeof Pulse.Type;

/** Not heard from for this long a node counts as dead, ms: five periods, as datagrams may be lost. */
const silentMs = 1_600;
/** Dead nodes are still spoken to for this long, ms, so that a cut that heals is noticed on both sides. */
const forgetMs = 60_000;

/** A peer as last heard. */
export interface Peer {
  readonly pulse: Pulse;
  readonly heardMs: number;
}

/** Where a peer listens. */
export interface PeerAddress {
  readonly ip: string;
  readonly port: number;
}

/** The peers known to this node. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();
  /** Listed in the store or named as seeds, not heard from yet. */
  private readonly listed = new Map<string, { address: PeerAddress; sinceMs: number }>();

  constructor(private readonly self: { readonly ip: string }) {}

  /** Takes a pulse; false if it is older than what is known. */
  hear(pulse: Pulse, nowMs: number): boolean {
    const known = this.peers.get(pulse.ip);
    if (known !== undefined && known.pulse.boot > pulse.boot) return false;
    this.peers.set(pulse.ip, { pulse, heardMs: nowMs });
    return true;
  }

  /** Learns of a node that may exist. */
  list(address: PeerAddress, nowMs: number): void {
    if (address.ip === this.self.ip) return;
    if (!this.listed.has(address.ip)) this.listed.set(address.ip, { address, sinceMs: nowMs });
  }

  /** Nodes heard from lately. */
  alive(nowMs: number): Peer[] {
    return [...this.peers.values()].filter((peer) => nowMs - peer.heardMs < silentMs);
  }

  /** Addresses to tell of this node: alive ones, and at times those that may come back. */
  audience(nowMs: number, everyone: boolean): PeerAddress[] {
    const addresses = new Map<string, PeerAddress>();
    for (const peer of this.alive(nowMs)) addresses.set(peer.pulse.ip, peer.pulse);
    if (!everyone) return [...addresses.values()];
    for (const peer of this.peers.values()) {
      if (nowMs - peer.heardMs < forgetMs) addresses.set(peer.pulse.ip, peer.pulse);
    }
    for (const { address, sinceMs } of this.listed.values()) {
      if (nowMs - sinceMs < forgetMs) addresses.set(address.ip, address);
    }
    return [...addresses.values()];
  }

  /** The holder of the placement lease among live peers: the newest token wins. */
  holder(nowMs: number): Pulse | undefined {
    let found: Pulse | undefined;
    for (const { pulse } of this.alive(nowMs)) {
      if (pulse.token === undefined) continue;
      if (found?.token === undefined || pulse.token > found.token) found = pulse;
    }
    return found;
  }
}
