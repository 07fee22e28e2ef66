/** The store's calls as sent over the wire: versions are plain numbers, and each response names its era. */
import type { StoreCallOptions } from "./store.ts";

/** Fields of every response. */
interface StoreResponse {
  readonly era: number;
  /** Newest version in the store. */
  readonly version: number;
  /** The store's monotonic clock, ms. */
  readonly nowMs: number;
}

/** Rows of one table at one point in time. */
export interface RowsResponse extends StoreResponse {
  readonly rows: readonly { readonly key: string; readonly value: string; readonly version: number }[];
  /** Keys removed since the requested version; only in responses to `changes`. */
  readonly removed: readonly string[];
}

/** Acknowledgement of a commit. */
export type CommitResponse = StoreResponse;

/** A row to write (or to remove, without a value) if its version is still `expected` (0: absent). */
export interface CommitEntry {
  readonly table: string;
  readonly key: string;
  readonly value?: string | undefined;
  readonly expected?: number | undefined;
}

/** Sends the calls; rejects like `Store`. */
export interface StoreApi {
  list(table: string, options?: StoreCallOptions): Promise<RowsResponse>;
  get(table: string, key: string, options?: StoreCallOptions): Promise<RowsResponse>;
  changes(table: string, version: number, waitMs: number): Promise<RowsResponse>;
  commit(entries: readonly CommitEntry[], options?: StoreCallOptions): Promise<CommitResponse>;
}
