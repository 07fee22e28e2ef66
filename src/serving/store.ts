/** The table store, as the gateway uses it: rows in tables, changed under conditions. */
import type { EraTracker } from "./eraTracker.ts";
import type { StorePosition } from "./storePosition.ts";

/** A row as read. */
export interface Row {
  readonly key: string;
  readonly value: string;
  /** Of its last change. */
  readonly position: StorePosition;
}

/** Rows of one table, as of one moment. */
export interface RowSet {
  readonly rows: readonly Row[];
  /** Keys dropped since the position asked for; only in answers about changes. */
  readonly removed: readonly string[];
  /** Newest in the store. */
  readonly position: StorePosition;
  /** The store's steady clock, ms. */
  readonly nowMs: number;
}

/** A row to write (or, with no value, to remove) if its last change still is at `expected` (version 0: absent). */
export interface RowChange {
  readonly table: string;
  readonly key: string;
  readonly value?: string;
  /** Left out: the change is unconditional. */
  readonly expected?: StorePosition;
}

/** The acknowledgement of a commit. */
export interface CommitReceipt {
  readonly position: StorePosition;
  readonly nowMs: number;
}

/** Options of one call. */
export interface StoreCallOptions {
  /** Gives the call up after this time, ms. */
  readonly timeoutMs?: number;
}

/**
 * The store. Calls reject with a `Failure`: `platform-unavailable` (nothing was done), `rate-limited`
 * (nothing was done), `conflict` (a condition did not hold), `history-lost` (changes that far back are no
 * longer known, or the store came back from a copy meanwhile), `outcome-unknown` (a commit may have been carried out, or
 * may still be).
 */
export interface Store {
  /** The newest era seen in any answer. */
  readonly eras: EraTracker;
  /** All rows of a table. */
  list(table: string, options?: StoreCallOptions): Promise<RowSet>;
  /** One row, if it exists. */
  get(table: string, key: string, options?: StoreCallOptions): Promise<RowSet>;
  /** Rows changed after a position; waits up to `waitMs` until there is one. */
  changes(table: string, after: StorePosition, waitMs: number): Promise<RowSet>;
  /** Applies all changes or none. */
  commit(changes: readonly RowChange[], options?: StoreCallOptions): Promise<CommitReceipt>;
}
