/**
 * Decides which nodes read the store for all. Each read costs a call, and what is read hardly ever changes,
 * so a few nodes read and the others hear of changes from them. Answers readers that die, are frozen or are
 * turned away by the store: a node that hears of no fresh read reads by itself.
 */

/** Nodes that read: two, so that one may die without a change coming late. */
const readerCount = 2;
/** A peer whose last read is older than this, ms, reads no more: two missed periods. */
export const maxFreshReadAgeMs = 1_300;

/** A node that could read. */
export interface StoreReader {
  readonly ip: string;
  /** Holds the placement lease; it needs to know first. */
  readonly isLeaseHolder: boolean;
  /** Time since its last successful read, ms; infinite if the store doesn't answer it. */
  readonly readAgeMs: number;
}

/** Should `self` read the store now? */
export function shouldReadStore(self: StoreReader, peers: readonly StoreReader[]): boolean {
  const fresh = peers.filter((peer) => peer.readAgeMs < maxFreshReadAgeMs);
  if (fresh.length === 0) return true;
  // A node that can't read keeps trying only while nobody else can.
  if (self.readAgeMs === Number.POSITIVE_INFINITY) return false;
  const ahead = fresh.filter((peer) => comesBefore(peer, self));
  return ahead.length < readerCount;
}

function comesBefore(a: StoreReader, b: StoreReader): boolean {
  if (a.isLeaseHolder !== b.isLeaseHolder) return a.isLeaseHolder;
  return a.ip < b.ip;
}
