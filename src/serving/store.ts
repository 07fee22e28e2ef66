/** The table store, as the gateway uses it: rows in tables, changed under conditions. */
import type { EraWatch } from "./eraWatch.ts";

/** A row as read. */
export interface Row {
  readonly key: string;
  readonly value: string;
  /** Grows with every change in the store. */
  readonly version: number;
}

/** Rows of one table, as of one moment. */
export interface RowSet {
  readonly rows: readonly Row[];
  /** Keys dropped since the version asked for; only in answers about changes. */
  readonly removed: readonly string[];
  /** Newest version in the store. */
  readonly version: number;
  /** The store's steady clock, ms. */
  readonly nowMs: number;
}

/** A row to write (or, with no value, to remove) if its version still is `expected` (0: absent). */
export interface RowChange {
  readonly table: string;
  readonly key: string;
  readonly value?: string;
  /** Left out: the change is unconditional. */
  readonly expected?: number;
}

/** The acknowledgement of a commit. */
export interface CommitReceipt {
  readonly version: number;
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
 * longer known), `outcome-unknown` (a commit may have been carried out, or may still be).
 */
export interface Store {
  /** The newest era seen in any answer. */
  readonly eras: EraWatch;
  /** All rows of a table. */
  list(table: string, options?: StoreCallOptions): Promise<RowSet>;
  /** One row, if it exists. */
  get(table: string, key: string, options?: StoreCallOptions): Promise<RowSet>;
  /** Rows changed after `version`; waits up to `waitMs` until there is one. */
  changes(table: string, version: number, waitMs: number): Promise<RowSet>;
  /** Applies all changes or none. */
  commit(changes: readonly RowChange[], options?: StoreCallOptions): Promise<CommitReceipt>;
}
