/**
 * A store client that keeps positions of different eras apart. Prevents a version that was issued again after
 * a restore from being mistaken for the first one: positions of other eras are never sent as versions, and a
 * response is valid in its own era only.
 */
import { Failure } from "../common/errors.ts";
import type { EraTracker } from "./eraTracker.ts";
import type { CommitReceipt, RowChange, RowSet, Store, StoreCallOptions } from "./store.ts";
import type { RowsResponse, StoreApi } from "./storeApi.ts";
import type { StorePosition } from "./storePosition.ts";

/** Options of an `EraScopedStore`. */
export interface EraScopedStoreOptions {
  readonly api: StoreApi;
  /** Observes the era of every response before the response is returned. */
  readonly eras: EraTracker;
}

/** Converts between positions and versions of the current era. */
export class EraScopedStore implements Store {
  readonly eras: EraTracker;
  private readonly api: StoreApi;

  constructor({ api, eras }: EraScopedStoreOptions) {
    this.api = api;
    this.eras = eras;
  }

  async list(table: string, options?: StoreCallOptions): Promise<RowSet> {
    return this.inCurrentEra(await this.api.list(table, options));
  }

  async get(table: string, key: string, options?: StoreCallOptions): Promise<RowSet> {
    return this.inCurrentEra(await this.api.get(table, key, options));
  }

  async changes(table: string, after: StorePosition, waitMs: number): Promise<RowSet> {
    if (after.era !== this.eras.current) throw historyLost(after);
    const response = await this.withinEra(after, () => this.api.changes(table, after.version, waitMs));
    if (response.era !== after.era) throw historyLost(after);
    return toRowSet(response);
  }

  async commit(changes: readonly RowChange[], options?: StoreCallOptions): Promise<CommitReceipt> {
    const era = this.eras.current;
    const conditions = changes.flatMap(({ expected }) => (expected === undefined ? [] : [expected]));
    if (conditions.some((condition) => condition.era !== era))
      throw new Failure("conflict", `a condition is from another era than ${era ?? "the first"}`);
    const entries = changes.map(({ expected, ...change }) => ({ ...change, expected: expected?.version }));
    const response = await this.api.commit(entries, options);
    // A condition from the previous era may happen to hold, and a write in the previous era is lost.
    if (response.era !== this.eras.current || (conditions.length > 0 && response.era !== era))
      throw new Failure("outcome-unknown", `the store was restored from a backup during a commit`);
    return { position: { era: response.era, version: response.version }, nowMs: response.nowMs };
  }

  /** Rejects a response from an era that has ended. */
  private inCurrentEra(response: RowsResponse): RowSet {
    if (response.era !== this.eras.current) throw historyLost(response);
    return toRowSet(response);
  }

  /** Rejects the call when the era ends: it may be waiting on an unresponsive connection. */
  private withinEra<A>(position: StorePosition, call: () => Promise<A>): Promise<A> {
    return new Promise((resolve, reject) => {
      const subscription = this.eras.changed.on(() => {
        void subscription.dispose();
        reject(historyLost(position));
      });
      call()
        .finally(() => subscription.dispose())
        .then(resolve, reject);
    });
  }
}

function historyLost({ era, version }: StorePosition): Failure {
  return new Failure("history-lost", `version ${version} is from era ${era}, which has ended`);
}

function toRowSet({ era, version, nowMs, rows, removed }: RowsResponse): RowSet {
  return {
    rows: rows.map((row) => ({ key: row.key, value: row.value, position: { era, version: row.version } })),
    removed,
    position: { era, version },
    nowMs,
  };
}
