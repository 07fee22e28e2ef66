/**
 * Changes of the servers as nodes tell each other: pulled by a peer, or sent by a store reader to all active nodes at once.
 * With hundreds of nodes, calls of all of them after each change would take much of a store reader's time.
 */
import * as Schema from "effect/Schema";
import { BackendServer } from "../../serving/backendServer.ts";
import { StorePosition } from "../../serving/storePosition.ts";

/**
 * A node that read the store within this time may be a reader, ms: several reads that take long. Nodes that were readers once
 * know of changes no earlier than others; when all nodes called them, each change led to calls between all pairs of nodes.
 */
const recentReadMs = 5_000;

/** Whether the node that states this age of its last read knows of changes before others. */
export function isRecentReader({ readAgeMs }: { readonly readAgeMs?: number }): boolean {
  return readAgeMs !== undefined && readAgeMs < recentReadMs;
}

/** Larger changes are left to be pulled, bytes: datagrams of several packets are lost more often. */
const maxDeltaBytes = 8_192;

const changesFields = {
  /** Store position up to which changes are known, and the first known position of its era. */
  asOf: StorePosition,
  eraStart: StorePosition,
  /** Store position up to which the sender itself has read the store; absent if it doesn't read it. */
  readUpTo: Schema.optionalKey(StorePosition),
  revision: Schema.Number,
  complete: Schema.Boolean,
  registrations: Schema.Array(Schema.Struct({ server: BackendServer, position: StorePosition })),
  gone: Schema.Array(Schema.Struct({ id: Schema.String, asOf: StorePosition })),
};

/** Changes of the servers, for a peer that doesn't read the store. */
export const ChangesResult = Schema.Struct(changesFields);
/** Decoded changes. */
export type ChangesResult = typeof ChangesResult.Type;

/** Changes of the servers after a revision of the sender, sent without being asked for. */
export const FleetDelta = Schema.Struct({
  ...changesFields,
  ip: Schema.String,
  boot: Schema.Number,
  /** The revision after which the changes are. */
  after: Schema.Number,
  /** Changes up to this store position are left out, as another reader sent them. */
  known: Schema.optionalKey(StorePosition),
});
/** A decoded delta. */
export type FleetDelta = typeof FleetDelta.Type;

/** Options of `FleetDeltas`. */
export interface FleetDeltasOptions {
  readonly revision: () => number;
  readonly changesAfter: (revision: number, known: StorePosition) => ChangesResult;
  /** Store position up to which another reader sent all changes. */
  readonly announcedUpTo: () => StorePosition;
  /** Sends the changes to all active nodes. */
  readonly broadcast: (delta: Omit<FleetDelta, "ip" | "boot">) => void;
}

/** What this node sent of its changes. */
export class FleetDeltas {
  private sentRevision = 0;

  constructor(private readonly options: FleetDeltasOptions) {}

  /** Sends the changes since the last call, if they fit into a datagram; peers pull what they didn't receive. */
  send(): void {
    const after = this.sentRevision;
    const revision = this.options.revision();
    if (revision === after) return;
    this.sentRevision = revision;
    const known = this.options.announcedUpTo();
    const changes = this.options.changesAfter(after, known);
    if (changes.complete) return;
    if (JSON.stringify(changes).length <= maxDeltaBytes) this.options.broadcast({ ...changes, after, known });
  }

  /** What changed so far is known to peers that need it, as this node sends no changes while it doesn't read the store. */
  skip(): void {
    this.sentRevision = this.options.revision();
  }
}
