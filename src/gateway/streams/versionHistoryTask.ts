/**
 * Records the recent software versions of each service in the store, for nodes that have all lost their memory at once. Any
 * node adds a version before it is used; only the holder of the placement lease records that one is gone. A row is
 * changed only from what the store holds now, never from a node's memory alone.
 */
import * as purify from "purify-ts";
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import type { Disposable } from "../../common/disposables.ts";
import { toFailure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import type { Row, RowChange, Store } from "../../serving/store.ts";
import { absentAt, initialPosition, type StorePosition } from "../../serving/storePosition.ts";
import type { VersionHistory } from "../../serving/streams/versionHistory.ts";

const table = "parsleynotch_version_history";
/** Period of writes while a row will change with time, and shortest time between two reads for new versions, ms. */
const periodMs = 1_000;
/** Timeout of a call that a request may wait for, ms. */
const callTimeoutMs = 400;
/** Shortest time between two reads for resumed streams, ms: streams that are resumed meanwhile share one. */
const loadPeriodMs = 100;

/** The row of a service; times are of the store's clock, ms. */
const RecordedVersions = Schema.Struct({
  /** When a server of each version was last known to exist; null for versions that may have servers now. */
  versions: Schema.Record(Schema.String, Schema.NullOr(Schema.Number)),
  /** Era in which the row was written: a store restored from a backup may return an older one. */
  era: Schema.Number,
  /** Versions from before this time may be missing. */
  completeFromMs: Schema.optionalKey(Schema.Number),
});
type RecordedVersions = typeof RecordedVersions.Type;

interface RecordedRow {
  readonly position: StorePosition;
  /** Undefined if the row can't be decoded. */
  readonly recorded: RecordedVersions | undefined;
}

/** Options of a `VersionHistoryTask`. */
export interface VersionHistoryTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly history: VersionHistory;
  /** Longest time for which a stream may be resumed, ms. */
  readonly lifetimeMs: () => number;
  readonly holdsLease: () => boolean;
}

/** Owns the rows of all services. */
export class VersionHistoryTask extends PeriodicTask {
  /** The rows as this lease holder last read or wrote them; undefined before it has read them. */
  private rows: Map<string, RecordedRow> | undefined;
  /** Time of this process minus the store's clock, ms. */
  private clockOffsetMs = 0;
  private lastLoad: { readonly atMs: number; readonly done: Promise<unknown> } | undefined;
  private lastAddMs = Number.NEGATIVE_INFINITY;
  private readonly subscriptions: Disposable[];

  constructor(private readonly options: VersionHistoryTaskOptions) {
    super("version-history", periodMs, options.log);
    const { history, store } = options;
    this.subscriptions = [
      history.changed.on(() => void this.resume()),
      history.confirmationWanted.on(() => void this.addUnstored()),
      store.eras.changed.on(() => {
        history.forgetStored();
        this.rows = undefined;
        void this.resume();
      }),
    ];
  }

  /** The lease was taken or lost. */
  applyLease(): void {
    this.rows = undefined;
    if (this.options.holdsLease()) void this.resume();
  }

  /** Adds what the store knows to the history; rejects if the store can't be read. */
  async load(): Promise<void> {
    const now = performance.now();
    if (this.lastLoad === undefined || now - this.lastLoad.atMs >= loadPeriodMs)
      this.lastLoad = { atMs: now, done: this.readOnceObserving() };
    await this.lastLoad.done;
  }

  override async dispose(): Promise<void> {
    for (const subscription of this.subscriptions) await subscription.dispose();
    await super.dispose();
  }

  protected override async step(): Promise<void> {
    // Without an observation every version would seem to be gone.
    if (!this.options.holdsLease() || !this.options.history.isObserving) {
      this.pause();
      return;
    }
    this.rows ??= await this.read();
    const { rows } = this;
    const services = new Set([...this.options.history.versionedServices, ...rows.keys()]);
    const wanted = new Map([...services].map((service) => [service, this.wantedBy(service, rows)]));
    try {
      await this.write(wanted, rows);
    } catch (error) {
      // Another node may have changed the rows, or the write may have been applied.
      this.rows = undefined;
      throw error;
    }
    if (![...wanted.values()].some((recorded) => recorded !== undefined && willChange(recorded)))
      this.pause();
  }

  /** Adds versions that would be used to what the store holds. */
  private async addUnstored(): Promise<void> {
    const now = performance.now();
    if (now - this.lastAddMs < periodMs) return;
    this.lastAddMs = now;
    const { history, log } = this.options;
    try {
      const rows = await this.read();
      const wanted = new Map(
        history.unstoredServices.map((service) => [service, this.withPresent(service, rows)]),
      );
      if (wanted.size > 0) await this.write(wanted, rows);
    } catch (error) {
      log.info({ event: "versions-not-recorded", detail: toFailure(error).message });
    }
  }

  /** A node that has just started waits for its first view of the servers, without which a read proves nothing. */
  private async readOnceObserving(): Promise<void> {
    const { history } = this.options;
    if (!history.isObserving) await history.changed.waitForNext(callTimeoutMs);
    await this.read();
  }

  /** Reads all rows and adds them to the history. */
  private async read(): Promise<Map<string, RecordedRow>> {
    const { store, history } = this.options;
    // A version that came and went between the read and the first observation would be missing.
    const observed = history.isObserving;
    const set = await store.list(table, { timeoutMs: callTimeoutMs });
    this.clockOffsetMs = performance.now() - set.nowMs;
    const rows = new Map(set.rows.map((row) => [row.key, this.decode(row)]));
    for (const [service, { recorded }] of rows) {
      if (recorded === undefined) continue;
      this.addToHistory(service, recorded, set.position.era);
      const { era, completeFromMs = Number.NEGATIVE_INFINITY } = recorded;
      if (observed && era === set.position.era)
        history.markComplete(service, completeFromMs + this.clockOffsetMs);
    }
    return rows;
  }

  private addToHistory(service: string, { versions, era }: RecordedVersions, currentEra: number): void {
    const { history } = this.options;
    const now = performance.now();
    for (const [version, lastMs] of Object.entries(versions)) {
      // Its servers may have left at any time since the row was written.
      history.add(service, version, lastMs === null ? now : lastMs + this.clockOffsetMs);
      if (lastMs === null && era === currentEra) history.markStored(service, version);
    }
  }

  private decode({ key, value, position }: Row): RecordedRow {
    const recorded = purify.Either.encase(() => JSON.parse(value) as unknown)
      .chain((json) => decodeEither(RecordedVersions, json))
      .ifLeft((error) => {
        this.options.log.warn({ event: "recorded-versions-rejected", service: key, detail: error.message });
      });
    return { position, recorded: recorded.toMaybe().extract() };
  }

  /** Writes the rows that differ; a service without versions has none. Rejects if a row was changed meanwhile. */
  private async write(
    wanted: ReadonlyMap<string, RecordedVersions | undefined>,
    rows: Map<string, RecordedRow>,
  ): Promise<void> {
    const { store, history } = this.options;
    const changes = [...wanted].flatMap(([key, recorded]): RowChange[] => {
      const row = rows.get(key);
      if (recorded === undefined) return row === undefined ? [] : [{ table, key, expected: row.position }];
      const value = JSON.stringify(recorded);
      if (row?.recorded !== undefined && JSON.stringify(row.recorded) === value) return [];
      return [{ table, key, value, expected: row?.position ?? absentAt(recorded) }];
    });
    if (changes.length > 0) {
      const { position } = await store.commit(changes, { timeoutMs: callTimeoutMs });
      for (const { key } of changes) {
        const recorded = wanted.get(key);
        if (recorded === undefined) rows.delete(key);
        else rows.set(key, { position, recorded });
      }
    }
    for (const [service, recorded] of wanted)
      for (const [version, lastMs] of Object.entries(recorded?.versions ?? {}))
        if (lastMs === null) history.markStored(service, version);
  }

  /** What the lease holder records: the versions within the last `lifetimeMs`; undefined if there are none. */
  private wantedBy(service: string, rows: ReadonlyMap<string, RecordedRow>): RecordedVersions | undefined {
    const { history, lifetimeMs } = this.options;
    const versions = history.recent(service, performance.now(), lifetimeMs());
    if (versions.length === 0) return undefined;
    return this.recordOf(
      service,
      rows,
      versions.map(({ version, lastMs }) => [
        version,
        lastMs === undefined
          ? null
          : this.recordedTime(lastMs, rows.get(service)?.recorded?.versions[version]),
      ]),
    );
  }

  /** The time on the store's clock; the one that is stored if they differ by the delay of calls only. */
  private recordedTime(lastMs: number, storedMs: number | null | undefined): number {
    const time = Math.round(lastMs - this.clockOffsetMs);
    return typeof storedMs === "number" && Math.abs(storedMs - time) < periodMs ? storedMs : time;
  }

  /** What any node records: the versions that have servers, in addition to those in the store. */
  private withPresent(service: string, rows: ReadonlyMap<string, RecordedRow>): RecordedVersions {
    const { history, lifetimeMs } = this.options;
    const present = history
      .recent(service, performance.now(), lifetimeMs())
      .filter(({ lastMs }) => lastMs === undefined);
    const stored = rows.get(service)?.recorded?.versions ?? {};
    return this.recordOf(service, rows, [
      ...Object.entries(stored),
      ...present.map(({ version }): [string, null] => [version, null]),
    ]);
  }

  private recordOf(
    service: string,
    rows: ReadonlyMap<string, RecordedRow>,
    versions: readonly (readonly [string, number | null])[],
  ): RecordedVersions {
    const era = this.options.store.eras.current ?? initialPosition.era;
    const completeFromMs = this.completeFromMs(service, rows.get(service), era);
    const sorted = [...new Map(versions)].sort(([a], [b]) => (a < b ? -1 : 1));
    return {
      versions: Object.fromEntries(sorted),
      era,
      ...(completeFromMs === undefined ? {} : { completeFromMs }),
    };
  }

  /** From when on the row names all versions, as far as this node knows; undefined if from the beginning. */
  private completeFromMs(service: string, row: RecordedRow | undefined, era: number): number | undefined {
    const { history, lifetimeMs } = this.options;
    const now = performance.now();
    if (row?.recorded?.era === era && row.recorded.completeFromMs === undefined) return undefined;
    if (history.isComplete(service, now, lifetimeMs())) return undefined;
    if (row?.recorded?.era === era) return row.recorded.completeFromMs;
    // A version is recorded as soon as it is used, so there is no stream yet, unless the store has lost the row.
    if (row === undefined && era === initialPosition.era) return undefined;
    return Math.round(now - this.clockOffsetMs);
  }
}

/** Whether a version of the row will be removed, or the row become complete, with time. */
function willChange({ versions, completeFromMs }: RecordedVersions): boolean {
  return completeFromMs !== undefined || Object.values(versions).some((lastMs) => lastMs !== null);
}
