/**
 * Keeps the recent software versions of services with several of them in the store, for nodes that have all lost their
 * memory at once. Written by the holder of the placement lease, only when versions change.
 */
import * as Schema from "effect/Schema";
import { decode } from "../../common/decode.ts";
import type { Disposable } from "../../common/disposables.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import type { RowSet, Store } from "../../serving/store.ts";
import type { VersionHistory } from "../../serving/streams/versionHistory.ts";

const table = "parsleynotch_versions";
/** Period of writes while a service has several versions, ms. */
const periodMs = 1_000;
/** Timeout of the read that a resumed stream waits for, ms. */
const loadTimeoutMs = 400;

/** When a server of each version was last seen, in ms of the store's clock; null for versions that have servers. */
const VersionsRow = Schema.Record(Schema.String, Schema.NullOr(Schema.Number));
type VersionsRow = typeof VersionsRow.Type;

/** Options of a `VersionHistoryTask`. */
export interface VersionHistoryTaskOptions {
  readonly store: Store;
  readonly log: Log;
  readonly history: VersionHistory;
  /** Longest time for which a stream may be resumed, ms. */
  readonly lifetimeMs: () => number;
  readonly holdsLease: () => boolean;
}

/** Writes while this node holds the lease; reads when the lease is taken and when a resumed stream needs it. */
export class VersionHistoryTask extends PeriodicTask {
  /** The rows by service, as this lease holder last read or wrote them; undefined before it has read them. */
  private rows: Map<string, string> | undefined;
  /** Time of this process minus the store's clock, ms. */
  private clockOffsetMs = 0;
  private loading: Promise<void> | undefined;
  private loaded = false;
  private readonly subscriptions: Disposable[];

  constructor(private readonly options: VersionHistoryTaskOptions) {
    super("version-history", periodMs, options.log);
    this.subscriptions = [
      options.history.changed.on(() => void this.resume()),
      options.store.eras.changed.on(() => {
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

  /** Completes the history from the store, once; rejects if the store can't be read. */
  async load(): Promise<void> {
    if (this.loaded) return;
    this.loading ??= this.loadOnce().finally(() => (this.loading = undefined));
    await this.loading;
  }

  override async dispose(): Promise<void> {
    for (const subscription of this.subscriptions) await subscription.dispose();
    await super.dispose();
  }

  protected override async step(): Promise<void> {
    if (!this.options.holdsLease()) {
      this.pause();
      return;
    }
    this.rows ??= this.textsOf(await this.options.store.list(table));
    const { rows } = this;
    const wanted = this.wantedRows();
    for (const [service, value] of wanted) {
      if (rows.get(service) === value) continue;
      await this.options.store.commit([{ table, key: service, value }]);
      rows.set(service, value);
    }
    for (const service of rows.keys()) {
      if (wanted.has(service)) continue;
      await this.options.store.commit([{ table, key: service }]);
      rows.delete(service);
    }
    if (rows.size === 0) this.pause();
  }

  private async loadOnce(): Promise<void> {
    const set = await this.options.store.list(table, { timeoutMs: loadTimeoutMs });
    const now = performance.now();
    for (const [service, value] of this.textsOf(set)) {
      const versions = decode(VersionsRow, JSON.parse(value));
      for (const [version, lastMs] of Object.entries(versions))
        this.options.history.add(service, version, lastMs === null ? now : lastMs + this.clockOffsetMs);
    }
    this.options.history.markComplete();
    this.loaded = true;
  }

  private textsOf({ rows, nowMs }: RowSet): Map<string, string> {
    this.clockOffsetMs = performance.now() - nowMs;
    return new Map(rows.map(({ key, value }) => [key, value]));
  }

  /** The rows of services with several recent versions. */
  private wantedRows(): Map<string, string> {
    const { history, lifetimeMs } = this.options;
    const now = performance.now();
    const wanted = new Map<string, string>();
    for (const service of history.versionedServices) {
      const versions = history.recent(service, now, lifetimeMs());
      if (versions.length < 2) continue;
      const row: VersionsRow = Object.fromEntries(
        versions.map(({ version, lastMs }) => [
          version,
          lastMs === undefined ? null : Math.round(lastMs - this.clockOffsetMs),
        ]),
      );
      wanted.set(service, JSON.stringify(row));
    }
    return wanted;
  }
}
