/**
 * The store with its history kept apart by era. Guards "a version that was given out twice is taken for one": positions
 * of different eras are never sent as versions, and an answer counts in its own era only.
 */
import { Failure } from "../common/errors.ts";
import type { EraTracker } from "./eraTracker.ts";
import type { CommitReceipt, RowChange, RowSet, Store, StoreCallOptions } from "./store.ts";
import type { RowsResponse, StoreApi } from "./storeApi.ts";
import type { StorePosition } from "./storePosition.ts";

/** Options of a `HistoryStore`. */
export interface HistoryStoreOptions {
  readonly api: StoreApi;
  /** Notes the era of every answer before the answer is given back. */
  readonly eras: EraTracker;
}

/** Turns positions into versions of the current era and back. */
export class EraScopedStore implements Store {
  readonly eras: EraTracker;
  private readonly wire: StoreApi;

  constructor({ api: calls, eras }: HistoryStoreOptions) {
    this.wire = calls;
    this.eras = eras;
  }

  async list(table: string, options?: StoreCallOptions): Promise<RowSet> {
    return this.current(await this.wire.list(table, options));
  }

  async get(table: string, key: string, options?: StoreCallOptions): Promise<RowSet> {
    return this.current(await this.wire.get(table, key, options));
  }

  async changes(table: string, after: StorePosition, waitMs: number): Promise<RowSet> {
    if (after.era !== this.eras.current) throw historyLost(after);
    const answer = await this.withinEra(after, () => this.wire.changes(table, after.version, waitMs));
    if (answer.era !== after.era) throw historyLost(after);
    return toRowSet(answer);
  }

  async commit(changes: readonly RowChange[], options?: StoreCallOptions): Promise<CommitReceipt> {
    const era = this.eras.current;
    const conditions = changes.flatMap(({ expected }) => (expected === undefined ? [] : [expected]));
    if (conditions.some((condition) => condition.era !== era))
      throw new Failure("conflict", `a condition is of another era than ${era ?? "the first"}`);
    const entries = changes.map(({ expected, ...change }) => ({ ...change, expected: expected?.version }));
    const answer = await this.wire.commit(entries, options);
    // A condition of the era before may hold by chance, and a write of the era before is lost.
    if (answer.era !== this.eras.current || (conditions.length > 0 && answer.era !== era))
      throw new Failure("outcome-unknown", `the store came back from a copy during a commit`);
    return { position: { era: answer.era, version: answer.version }, nowMs: answer.nowMs };
  }

  /** Refuses an answer that a later one has overtaken. */
  private current(answer: RowsResponse): RowSet {
    if (answer.era !== this.eras.current) throw historyLost(answer);
    return toRowSet(answer);
  }

  /** Gives the call up when the era ends: it may wait on a connection that has fallen silent. */
  private withinEra<A>(position: StorePosition, call: () => Promise<A>): Promise<A> {
    return new Promise((resolve, reject) => {
      const ended = this.eras.changed.on(() => {
        void ended.dispose();
        reject(historyLost(position));
      });
      call()
        .finally(() => ended.dispose())
        .then(resolve, reject);
    });
  }
}

function historyLost({ era, version }: StorePosition): Failure {
  return new Failure("history-lost", `version ${version} is of the era ${era}, which has ended`);
}

function toRowSet({ era, version, nowMs, rows, removed }: RowsResponse): RowSet {
  return {
    rows: rows.map((row) => ({ key: row.key, value: row.value, position: { era, version: row.version } })),
    removed,
    position: { era, version },
    nowMs,
  };
}
