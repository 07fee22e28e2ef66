/**
 * Decides which nodes read the store on behalf of all. Each read costs a call and the data hardly ever changes, so a
 * few nodes read and notify the others of changes. If the readers die, are suspended or are refused by the store, a
 * node that knows of no recent read reads by itself.
 */

/** Number of nodes that read: two, so that the death of one doesn't delay changes. */
const readerCount = 2;
/** A peer whose last read is older than this, ms, doesn't count as a reader: two missed periods. */
export const maxFreshReadAgeMs = 1_300;

/** Shortest and longest time until a node reads again after a failure, ms. */
const minRetryMs = 250;
const maxRetryMs = 2_000;
/** Average interval between the reads of all nodes that retry, ms. */
const retryPeriodPerNodeMs = 25;

/** A node that could read the store. */
export interface StoreReader {
  readonly ip: string;
  /** Whether it holds the placement lease; the lease holder reads first, as it needs changes first. */
  readonly isLeaseHolder: boolean;
  /** Time since its last successful read, ms; infinite if the store doesn't answer it. */
  readonly readAgeMs: number;
}

/**
 * Time until the next read after a failed one, ms, if `nodes` nodes retry; `draw` is a random number from 0 to 1. While the store
 * answers nobody, every node tries, and the first one that succeeds tells the others.
 */
export function storeRetryMs(nodes: number, draw: number): number {
  const averageMs = Math.min(maxRetryMs, Math.max(minRetryMs, nodes * retryPeriodPerNodeMs));
  return averageMs === minRetryMs ? minRetryMs : averageMs * (0.5 + draw);
}

/** Whether `self` should read the store now. */
export function shouldReadStore(self: StoreReader, peers: readonly StoreReader[]): boolean {
  const fresh = peers.filter((peer) => peer.readAgeMs < maxFreshReadAgeMs);
  if (fresh.length === 0) return true;
  // A node that can't read keeps trying only while no other node can.
  if (self.readAgeMs === Number.POSITIVE_INFINITY) return false;
  const ahead = fresh.filter((peer) => precedes(peer, self));
  return ahead.length < readerCount;
}

function precedes(a: StoreReader, b: StoreReader): boolean {
  if (a.isLeaseHolder !== b.isLeaseHolder) return a.isLeaseHolder;
  return a.ip < b.ip;
}
