/**
 * Work in flight at each backend server: this node's own, and what its peers last said of theirs.
 * Answers the pattern in which many nodes, each seeing a small part of the load, pick the same server.
 */

import * as Schema from "effect/Schema";

/** Work in flight at one server. */
export interface Load {
  /** Engine time of reading the prompts of requests whose first event is still to come, ms. */
  readonly pendingMs: number;
  /** Requests sent and not finished. */
  readonly requests: number;
}

/** What one node has in flight, by server id: pending ms, requests. */
export const PeerLoads = Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]));
/** Decoded loads of a node. */
export type PeerLoads = typeof PeerLoads.Type;

/** A node says what it has in flight: at all servers, or at those where it changed since it last said so. */
export const LoadsMessage = Schema.Struct({ ip: Schema.String, loads: PeerLoads, whole: Schema.Boolean });
/** A decoded message. */
export type LoadsMessage = typeof LoadsMessage.Type;

/** A request in flight; `started` when its first event comes, `done` at its end. */
export interface InFlightRequest {
  started(): void;
  done(): void;
}

/** A peer's word on its load is not used after this time, ms: it says all of it twice as often. */
const peerLoadMs = 1_000;
/**
 * A node says at least this often what it has in flight at all servers, ms: a change that was lost on its way is made
 * good by it. Between, changes are enough, and with 80 engines they are a small part of the whole.
 */
const wholeMs = 500;

const none: Load = { pendingMs: 0, requests: 0 };

/** Sums of work in flight per server. */
export class LoadTracker {
  private readonly own = new Map<string, { pendingMs: number; requests: number }>();
  private readonly peers = new Map<string, { loads: Map<string, readonly [number, number]>; atMs: number }>();
  /** What peers were told last, and when they were told all of it, ms. */
  private told: PeerLoads = {};
  private toldWholeMs = Number.NEGATIVE_INFINITY;

  /** Counts a request as in flight at the server until its handle is done. */
  begin(serverId: string, pendingMs: number): InFlightRequest {
    const load = this.own.get(serverId) ?? { pendingMs: 0, requests: 0 };
    this.own.set(serverId, load);
    load.pendingMs += pendingMs;
    load.requests += 1;
    let pending = true;
    let open = true;
    const started = (): void => {
      if (!pending) return;
      pending = false;
      load.pendingMs -= pendingMs;
    };
    const done = (): void => {
      started();
      if (!open) return;
      open = false;
      load.requests -= 1;
      if (load.requests === 0) this.own.delete(serverId);
    };
    return { started, done };
  }

  /** Takes what a peer has in flight. */
  applyPeerLoads({ ip, loads, whole }: LoadsMessage, nowMs: number): void {
    const known = whole ? undefined : this.peers.get(ip)?.loads;
    const merged = known ?? new Map<string, readonly [number, number]>();
    for (const [id, load] of Object.entries(loads)) {
      if (load[1] > 0) merged.set(id, load);
      else merged.delete(id);
    }
    this.peers.set(ip, { loads: merged, atMs: nowMs });
  }

  /** This node's own load to tell peers now; undefined if they know it. */
  nextUpdate(nowMs: number): Pick<LoadsMessage, "loads" | "whole"> | undefined {
    const now = this.mine();
    const changed = changesBetween(this.told, now);
    const whole = nowMs - this.toldWholeMs >= wholeMs;
    const idle = Object.keys(now).length === 0;
    if (Object.keys(changed).length === 0 && (!whole || idle)) return undefined;
    this.told = now;
    if (!whole) return { loads: changed, whole };
    this.toldWholeMs = nowMs;
    return { loads: now, whole };
  }

  /** All work known to be in flight at the server. */
  loadOf(serverId: string, nowMs: number): Load {
    let { pendingMs, requests } = this.own.get(serverId) ?? none;
    for (const { loads, atMs } of this.peers.values()) {
      const load = nowMs - atMs > peerLoadMs ? undefined : loads.get(serverId);
      if (load === undefined) continue;
      pendingMs += load[0];
      requests += load[1];
    }
    return { pendingMs, requests };
  }

  private mine(): PeerLoads {
    return Object.fromEntries(
      [...this.own].map(([id, load]) => [id, [Math.round(load.pendingMs), load.requests] as const]),
    );
  }
}

/** Entries that differ; those that are gone as nothing in flight. */
function changesBetween(before: PeerLoads, after: PeerLoads): PeerLoads {
  const changed = Object.entries(after).filter(([id, [pendingMs, requests]]) => {
    const known = before[id];
    return known?.[0] !== pendingMs || known[1] !== requests;
  });
  const ended = Object.keys(before).filter((id) => after[id] === undefined);
  return Object.fromEntries([...changed, ...ended.map((id) => [id, [0, 0]] as const)]);
}
