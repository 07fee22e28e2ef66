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

/** A node says what it has in flight. */
export const LoadsMessage = Schema.Struct({ ip: Schema.String, loads: PeerLoads });

/** A request in flight; `started` when its first event comes, `done` at its end. */
export interface InFlight {
  started(): void;
  done(): void;
}

/** A peer's word on its load is not used after this time, ms: three periods of its messages. */
const peerLoadMs = 1_000;

const none: Load = { pendingMs: 0, requests: 0 };

/** Sums of work in flight per server. */
export class LoadBoard {
  private readonly own = new Map<string, { pendingMs: number; requests: number }>();
  private readonly peers = new Map<string, { loads: PeerLoads; atMs: number }>();

  /** Counts a request as in flight at the server until its handle is done. */
  begin(serverId: string, pendingMs: number): InFlight {
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
  learn(peer: string, loads: PeerLoads, nowMs: number): void {
    this.peers.set(peer, { loads, atMs: nowMs });
  }

  /** This node's own load, to tell peers. */
  mine(): PeerLoads {
    return Object.fromEntries(
      [...this.own].map(([id, load]) => [id, [Math.round(load.pendingMs), load.requests] as const]),
    );
  }

  /** All work known to be in flight at the server. */
  at(serverId: string, nowMs: number): Load {
    let { pendingMs, requests } = this.own.get(serverId) ?? none;
    for (const { loads, atMs } of this.peers.values()) {
      const load = nowMs - atMs > peerLoadMs ? undefined : loads[serverId];
      if (load === undefined) continue;
      pendingMs += load[0];
      requests += load[1];
    }
    return { pendingMs, requests };
  }
}
