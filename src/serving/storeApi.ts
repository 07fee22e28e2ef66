/** The calls of the store as they are made: versions are numbers, each answer names its era. */
import type { StoreCallOptions } from "./store.ts";

/** Part of every answer. */
interface Answer {
  readonly era: number;
  /** Newest version in the store. */
  readonly version: number;
  /** The store's steady clock, ms. */
  readonly nowMs: number;
}

/** Rows of one table, as of one moment. */
export interface RowsResponse extends Answer {
  readonly rows: readonly { readonly key: string; readonly value: string; readonly version: number }[];
  /** Keys dropped since the version asked for; only in answers about changes. */
  readonly removed: readonly string[];
}

/** The acknowledgement of a commit. */
export type CommitResponse = Answer;

/** A row to write (or, with no value, to remove) if its version still is `expected` (0: absent). */
export interface CommitEntry {
  readonly table: string;
  readonly key: string;
  readonly value?: string | undefined;
  readonly expected?: number | undefined;
}

/** Makes the calls; rejects as `Store` does. */
export interface StoreApi {
  list(table: string, options?: StoreCallOptions): Promise<RowsResponse>;
  get(table: string, key: string, options?: StoreCallOptions): Promise<RowsResponse>;
  changes(table: string, version: number, waitMs: number): Promise<RowsResponse>;
  commit(entries: readonly CommitEntry[], options?: StoreCallOptions): Promise<CommitResponse>;
}
