/**
 * Work in flight at each backend server: this node's own and the latest reports of its peers. Prevents many
 * nodes that each see a small part of the load from picking the same server.
 */

import * as Schema from "effect/Schema";
import { QuotaReport } from "./customers/quotas.ts";
import { AnswerReport } from "./pace/answerReport.ts";
import { SustainedLevel } from "./pace/sustainedLevel.ts";
import { DecodingReport } from "./decoding/decodingReport.ts";
import { CarriedPulse } from "./zones/briefFields.ts";
import { decodeLoads, LoadKeys } from "./zones/compactLoads.ts";

/** Work in flight at one server. */
export interface Load {
  /** Engine time for the prefill of requests that have not had their first event yet, ms. */
  readonly pendingMs: number;
  /** Requests sent and not finished. */
  readonly requests: number;
}

/** Work in flight of one node, by server id: pending ms, requests. */
export const PeerLoads = Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]));
/** Decoded loads of a node. */
export type PeerLoads = typeof PeerLoads.Type;

/**
 * A node's work in flight: at all servers (`whole`), or only at those where it changed since its last
 * message.
 */
export const LoadsMessage = Schema.Struct({
  ip: Schema.String,
  loads: PeerLoads,
  whole: Schema.Boolean,
  /** The loads in compact form, to nodes of other zones; `loads` is then empty. */
  compact: Schema.optionalKey(Schema.String),
  /** The node's use of customers' quotas, if it changed. */
  quotas: Schema.optionalKey(QuotaReport),
  /** What the node observed of servers since its last message. */
  answers: Schema.optionalKey(AnswerReport),
  /** `answers` and `decoding` by short key, in messages to nodes with `combinedMessages`. */
  keyedAnswers: Schema.optionalKey(AnswerReport),
  keyedDecoding: Schema.optionalKey(DecodingReport),
  /** The node's heartbeat, if it is due; the node's address is that of the message. */
  pulse: Schema.optionalKey(CarriedPulse),
  /** Prompts and streams of the node at engines whose streams have a gap limit, if they changed. */
  decoding: Schema.optionalKey(DecodingReport),
  /** Changes in the caches of the engines that the node reads; see `CacheMessage`. */
  caches: Schema.optionalKey(Schema.String),
});
/** A decoded message. */
export type LoadsMessage = typeof LoadsMessage.Type;

/** A request in flight; call `started` at its first event and `done` at its end. */
export interface InFlightRequest {
  started(): void;
  done(): void;
}

/** A peer's load expires after this time, ms: full reports come twice as often. */
const peerLoadTtlMs = 1_000;
/**
 * Maximum interval between full reports, ms: they make up for lost messages. Between them only changes are
 * sent, which with 80 engines are a small part of the whole.
 */
const fullReportIntervalMs = 500;

const noLoad: Load = { pendingMs: 0, requests: 0 };

/** Latest load of a node at one server. */
interface LoadRecord {
  pendingMs: number;
  requests: number;
  readonly history: SustainedLevel;
}

/** What a peer reported, by key of the server. */
interface PeerWork {
  loads: Map<string, LoadRecord>;
  atMs: number;
  /** Its loads are part of the sums; false after they expired. */
  counted: boolean;
}

/** Options of a `LoadTracker`. */
export interface LoadTrackerOptions {
  /** Clock, ms. */
  readonly now?: () => number;
}

/** Totals of work in flight per server. */
export class LoadTracker {
  private readonly own = new Map<string, LoadRecord>();
  /** Keys of servers, by which peers' loads are kept. */
  readonly keys = new LoadKeys();
  private readonly peers = new Map<string, PeerWork>();
  /** Sums over all peers whose reports haven't expired, by key: a choice looks at many servers, and there are many peers. */
  private readonly peerTotals = new Map<string, { pendingMs: number; requests: number }>();
  /** No peer's report expires before this time, ms. */
  private nextExpiryMs = Number.POSITIVE_INFINITY;
  /** What peers were sent last, and when they were last sent a full report, ms. */
  private lastSent: PeerLoads = {};
  private lastFullReportMs = Number.NEGATIVE_INFINITY;

  private readonly now: () => number;

  constructor({ now = () => performance.now() }: LoadTrackerOptions = {}) {
    this.now = now;
  }

  /** Counts a request as in flight at the server until its handle is done. */
  start(serverId: string, pendingMs: number): InFlightRequest {
    const load = this.own.get(serverId) ?? { ...noLoad, history: new SustainedLevel() };
    this.own.set(serverId, load);
    load.pendingMs += pendingMs;
    load.requests += 1;
    load.history.set(load.requests, this.now());
    let pending = true;
    let active = true;
    const started = (): void => {
      if (!pending) return;
      pending = false;
      load.pendingMs -= pendingMs;
    };
    const done = (): void => {
      started();
      if (!active) return;
      active = false;
      load.requests -= 1;
      load.history.set(load.requests, this.now());
      if (load.requests === 0) this.own.delete(serverId);
    };
    return { started, done };
  }

  /** Number of this node's requests in flight at all servers. */
  get ownRequests(): number {
    let sum = 0;
    for (const { requests } of this.own.values()) sum += requests;
    return sum;
  }

  /** Applies a peer's report. */
  applyPeerLoads({ ip, loads, whole, compact }: LoadsMessage, nowMs: number): void {
    const peer = this.peers.get(ip) ?? { loads: new Map<string, LoadRecord>(), atMs: nowMs, counted: false };
    this.peers.set(ip, peer);
    const known = peer.loads;
    if (whole) {
      this.uncount(peer);
      peer.loads = new Map();
    }
    if (!peer.counted) for (const [key, load] of peer.loads) this.addToTotal(key, load, 1);
    peer.counted = true;
    peer.atMs = nowMs;
    this.nextExpiryMs = Math.min(this.nextExpiryMs, nowMs + peerLoadTtlMs);
    const entries =
      compact === undefined
        ? Object.entries(loads).map(([id, load]) => [this.keys.keyOf(id), load] as const)
        : decodeLoads(compact);
    for (const [key, [pendingMs, requests]] of entries) {
      const before = peer.loads.get(key);
      if (before !== undefined) this.addToTotal(key, before, -1);
      const history = known.get(key)?.history ?? new SustainedLevel();
      history.set(requests, nowMs);
      if (requests > 0) {
        const load = { pendingMs, requests, history };
        peer.loads.set(key, load);
        this.addToTotal(key, load, 1);
      } else peer.loads.delete(key);
    }
  }

  /** The update of this node's own load to send to peers now; undefined if nothing has to be sent. */
  nextUpdate(nowMs: number): Pick<LoadsMessage, "loads" | "whole"> | undefined {
    const now = this.ownLoads();
    const changed = changesBetween(this.lastSent, now);
    const whole = nowMs - this.lastFullReportMs >= fullReportIntervalMs;
    const idle = Object.keys(now).length === 0;
    if (Object.keys(changed).length === 0 && (!whole || idle)) return undefined;
    this.lastSent = now;
    if (!whole) return { loads: changed, whole };
    this.lastFullReportMs = nowMs;
    return { loads: now, whole };
  }

  /** All known work in flight at the server. */
  loadOf(serverId: string, nowMs: number): Load {
    if (nowMs > this.nextExpiryMs) this.expirePeers(nowMs);
    const own = this.own.get(serverId) ?? noLoad;
    const others = this.peerTotals.get(this.keys.keyOf(serverId)) ?? noLoad;
    return { pendingMs: own.pendingMs + others.pendingMs, requests: own.requests + others.requests };
  }

  /** Takes the reports that have expired out of the sums. */
  private expirePeers(nowMs: number): void {
    this.nextExpiryMs = Number.POSITIVE_INFINITY;
    for (const peer of this.peers.values()) {
      if (!peer.counted) continue;
      if (nowMs - peer.atMs > peerLoadTtlMs) this.uncount(peer);
      else this.nextExpiryMs = Math.min(this.nextExpiryMs, peer.atMs + peerLoadTtlMs);
    }
  }

  private uncount(peer: PeerWork): void {
    if (peer.counted) for (const [key, load] of peer.loads) this.addToTotal(key, load, -1);
    peer.counted = false;
  }

  private addToTotal(
    key: string,
    { pendingMs, requests }: Pick<LoadRecord, "pendingMs" | "requests">,
    sign: 1 | -1,
  ): void {
    const total = this.peerTotals.get(key) ?? { pendingMs: 0, requests: 0 };
    total.pendingMs += sign * pendingMs;
    total.requests += sign * requests;
    // A new sum starts at zero, so that rounding errors don't add up.
    if (total.requests > 0) this.peerTotals.set(key, total);
    else this.peerTotals.delete(key);
  }

  /** Requests known in flight at the server since that time without interruption: of each node the fewest. */
  sustainedSince(serverId: string, sinceMs: number, nowMs: number): number {
    let sum = this.own.get(serverId)?.history.lowestSince(sinceMs) ?? 0;
    const key = this.keys.keyOf(serverId);
    for (const { loads, atMs } of this.peers.values()) {
      if (nowMs - atMs <= peerLoadTtlMs) sum += loads.get(key)?.history.lowestSince(sinceMs) ?? 0;
    }
    return sum;
  }

  private ownLoads(): PeerLoads {
    return Object.fromEntries(
      [...this.own].map(([id, load]) => [id, [Math.round(load.pendingMs), load.requests] as const]),
    );
  }
}

/** Entries that differ; removed ones are given as nothing in flight. */
function changesBetween(before: PeerLoads, after: PeerLoads): PeerLoads {
  const changed = Object.entries(after).filter(([id, [pendingMs, requests]]) => {
    const known = before[id];
    return known?.[0] !== pendingMs || known[1] !== requests;
  });
  const ended = Object.keys(before).filter((id) => after[id] === undefined);
  return Object.fromEntries([...changed, ...ended.map((id) => [id, [0, 0]] as const)]);
}
