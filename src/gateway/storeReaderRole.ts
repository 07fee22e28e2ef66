/** Whether it is on this node to read the store for all, by what it hears of the others' reads. */
import { maxFreshReadAgeMs, shouldReadStore, type StoreReader } from "../serving/membership/storeReaders.ts";
import type { PeerTable } from "../serving/membership/peerTable.ts";

/**
 * A node that stands by reads the store itself when no active one read it for this long, ms: two missed periods of
 * reading, and the two of its questions in which it hears of it.
 */
const standbyReadMs = 3_000;

/** Options of a `ReadingDuty`. */
export interface ReadingDutyOptions {
  readonly ip: string;
  readonly table: PeerTable;
  /** Everything that arrived before this moment has been read, ms. */
  readonly readUntilMs: () => number;
  readonly active: () => boolean;
  readonly holdsLease: () => boolean;
  /** Time since this node's last read that succeeded, ms. */
  readonly readAgeMs: () => number;
  /** Time since any active node read, as a node that stands by hears it, ms. */
  readonly reportedReadAgeMs: () => number;
}

/** Decides by the moment. */
export class StoreReaderRole {
  private readonly startedMs = performance.now();

  constructor(private readonly options: ReadingDutyOptions) {}

  /** Should this node read now? */
  get shouldRead(): boolean {
    const { ip, active, holdsLease, readAgeMs } = this.options;
    if (!active() && this.leavesReading) return false;
    return shouldReadStore({ ip, isLeaseHolder: holdsLease(), readAgeMs: readAgeMs() }, this.readers());
  }

  /** Time since any active node read the store, as far as is known, ms. */
  get freshestReadAgeMs(): number {
    const { readAgeMs, reportedReadAgeMs: heardReadAgeMs } = this.options;
    return Math.min(readAgeMs(), heardReadAgeMs(), ...this.readers().map((reader) => reader.readAgeMs));
  }

  /** Did a peer read lately? */
  get storeReachableByPeers(): boolean {
    return this.readers().some((reader) => reader.readAgeMs < maxFreshReadAgeMs);
  }

  /**
   * A node that stands by reads only while no active one is known to; one that has just started waits for their word.
   * Guards "a start costs calls for each host": hundreds of hosts each read servers and configuration before they heard any.
   */
  private get leavesReading(): boolean {
    if (performance.now() - this.startedMs < standbyReadMs) return true;
    return this.options.reportedReadAgeMs() < standbyReadMs;
  }

  /** Live peers, with how long ago each read the store. */
  private readers(): StoreReader[] {
    const now = performance.now();
    return this.options.table
      .alive(this.options.readUntilMs())
      .map(({ status: pulse, lastHeardMs: heardMs }) => {
        const readAgeMs = (pulse.readAgeMs ?? Number.POSITIVE_INFINITY) + (now - heardMs);
        return { ip: pulse.ip, isLeaseHolder: pulse.token !== undefined, readAgeMs };
      });
  }
}
