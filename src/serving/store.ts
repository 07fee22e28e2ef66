/** Interface of the table store: rows in tables, changed by conditional writes. */
import type { EraTracker } from "./eraTracker.ts";
import type { StorePosition } from "./storePosition.ts";

/** A row as read. */
export interface Row {
  readonly key: string;
  readonly value: string;
  /** Position of its last change. */
  readonly position: StorePosition;
}

/** Rows of one table at one point in time. */
export interface RowSet {
  readonly rows: readonly Row[];
  /** Keys removed since the requested position; only in responses to `changes`. */
  readonly removed: readonly string[];
  /** The newest position in the store. */
  readonly position: StorePosition;
  /** The store's monotonic clock, ms. */
  readonly nowMs: number;
}

/**
 * A row to write (or to remove, without a value) if its last change is still at `expected` (version 0:
 * absent).
 */
export interface RowChange {
  readonly table: string;
  readonly key: string;
  readonly value?: string;
  /** Unconditional if absent. */
  readonly expected?: StorePosition;
}

/** Acknowledgement of a commit. */
export interface CommitReceipt {
  readonly position: StorePosition;
  readonly nowMs: number;
}

/** Options of one call. */
export interface StoreCallOptions {
  /** Aborts the call after this time, ms. */
  readonly timeoutMs?: number;
  /** Uses a new connection, as the open ones may be dead. */
  readonly newConnection?: boolean;
}

/**
 * The store. Calls reject with a `Failure`: `platform-unavailable` (nothing was done), `rate-limited`
 * (nothing was done), `conflict` (a condition did not hold), `history-lost` (changes that old are no longer
 * known, or the store was restored from a backup meanwhile), `outcome-unknown` (a commit may have been
 * applied, or may still be).
 */
export interface Store {
  /** The newest era seen in any response. */
  readonly eras: EraTracker;
  /** All rows of a table. */
  list(table: string, options?: StoreCallOptions): Promise<RowSet>;
  /** One row, if it exists. */
  get(table: string, key: string, options?: StoreCallOptions): Promise<RowSet>;
  /** Rows changed after a position; waits up to `waitMs` for a change. */
  changes(table: string, after: StorePosition, waitMs: number): Promise<RowSet>;
  /** Applies all changes or none. */
  commit(changes: readonly RowChange[], options?: StoreCallOptions): Promise<CommitReceipt>;
}
