/** Decides whether this node is one of the store readers, by the age of the other nodes' reads as they report it. */
import {
  maxFreshReadAgeMs,
  shouldReadStore,
  type StoreReader,
} from "../../serving/membership/storeReaders.ts";
import type { PeerTable } from "../../serving/membership/peerTable.ts";

/**
 * A standby node reads the store itself when no active node has read it for this long, ms: two missed read periods, and
 * the two polls by which a standby node learns of a read.
 */
const standbyReadAfterMs = 3_000;

/** Options of a `StoreReaderRole`. */
export interface StoreReaderRoleOptions {
  readonly ip: string;
  readonly table: PeerTable;
  /** All input that arrived before this time has been read, ms. */
  readonly readUpToMs: () => number;
  readonly active: () => boolean;
  readonly holdsLease: () => boolean;
  /** Time since this node's last successful read, ms. */
  readonly readAgeMs: () => number;
  /** Time since any active node read the store, as reported to this node while on standby, ms. */
  readonly reportedReadAgeMs: () => number;
}

/** Evaluated anew at each access. */
export class StoreReaderRole {
  private readonly startedMs = performance.now();

  constructor(private readonly options: StoreReaderRoleOptions) {}

  /** Whether this node should read the store now. */
  get shouldRead(): boolean {
    const { ip, active, holdsLease, readAgeMs } = this.options;
    if (!active() && this.activeNodeReads) return false;
    return shouldReadStore({ ip, isLeaseHolder: holdsLease(), readAgeMs: readAgeMs() }, this.readers());
  }

  /** Time since any node is known to have read the store, ms; infinite if none is. */
  get freshestReadAgeMs(): number {
    const { readAgeMs, reportedReadAgeMs } = this.options;
    return Math.min(readAgeMs(), reportedReadAgeMs(), ...this.readers().map((reader) => reader.readAgeMs));
  }

  /** Whether the known servers are up to date: the store was read recently, or no live peer can know anything newer. */
  get fleetIsCurrent(): boolean {
    return this.freshestReadAgeMs < maxFreshReadAgeMs || this.readers().length > 0;
  }

  /** Whether a peer read the store recently. */
  get storeReachableByPeers(): boolean {
    return this.readers().some((reader) => reader.readAgeMs < maxFreshReadAgeMs);
  }

  /**
   * Whether a standby node leaves reading to active nodes: while one is known to read, and shortly after its own start. At
   * a start, hundreds of hosts would otherwise each read servers and configuration before they received any roster.
   */
  private get activeNodeReads(): boolean {
    if (performance.now() - this.startedMs < standbyReadAfterMs) return true;
    return this.options.reportedReadAgeMs() < standbyReadAfterMs;
  }

  /** Live peers, with the time since each read the store. */
  private readers(): StoreReader[] {
    const now = performance.now();
    return this.options.table.alive(this.options.readUpToMs()).map(({ status, lastHeardMs }) => {
      const readAgeMs = (status.readAgeMs ?? Number.POSITIVE_INFINITY) + (now - lastHeardMs);
      return { ip: status.ip, isLeaseHolder: status.token !== undefined, readAgeMs };
    });
  }
}
