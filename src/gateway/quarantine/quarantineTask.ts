/**
 * Synchronizes the quarantine with the store, for nodes that start later and for nodes that no peer reaches. A node that
 * learns of newer entries from a peer's message pulls them from that peer.
 */
import * as Schema from "effect/Schema";
import { decode, decodeEither } from "../../common/decode.ts";
import { DisposableStore } from "../../common/disposables.ts";
import { toFailure, type Failure } from "../../common/errors.ts";
import type { Log } from "../../common/log.ts";
import type { Handler } from "../../common/rpc.ts";
import type { Quarantine, QuarantineChange } from "../../serving/quarantine/quarantine.ts";
import type { Row, RowChange, RowSet } from "../../serving/store.ts";
import { absentAt, initialPosition, isAfter, laterOf, StorePosition } from "../../serving/storePosition.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";
import type { PeerVersions } from "../membership/peerCalls.ts";
import { TableTask, type TableTaskOptions } from "../store/tableTask.ts";

const table = "parsleynotch_quarantine";
/** Duration of one wait for changes, ms. Most entries arrive from peers first; this finds the rest, at six calls a minute. */
const waitMs = 10_000;
/** Pause of a node that isn't a store reader, ms: a node cut off from its peers starts reading with up to this delay. */
const idleMs = { active: 1_000, standby: 5_000 };
/** Interval of checks for entries to save or to drop, ms. */
const maintenanceMs = 1_000;
/** Maximum number of rows changed in one commit. */
const maxRowsPerCommit = 50;

/** A row: when the request is released, by the store's clock, and its total time in quarantine, ms. */
const EntryRow = Schema.Struct({
  untilMs: Schema.Number,
  forMs: Schema.Number,
  /** Incarnations whose crashes led to the entry. */
  ended: Schema.optionalKey(Schema.Array(Schema.String)),
});

/** Log event of each kind of change. */
const changeEvents = { held: "request-quarantined", released: "request-released" };

const PeerEntry = Schema.Struct({
  leftMs: Schema.Number,
  forMs: Schema.Number,
  position: StorePosition,
  ended: Schema.optionalKey(Schema.Array(Schema.String)),
});

/** All entries known to be in the store, for a peer. */
const PeerEntries = Schema.Struct({
  /** Store position of the newest change of entries. */
  position: StorePosition,
  held: Schema.Record(Schema.String, PeerEntry),
});

/** Options of a `QuarantineTask`. */
export interface QuarantineTaskOptions extends TableTaskOptions {
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly quarantine: Quarantine;
  /** Calls a peer. */
  readonly callPeer: (peer: PeerVersions, method: string, params: unknown) => Promise<unknown>;
}

/** Reads entries from the store and from peers, and writes this node's to the store. */
export class QuarantineTask extends TableTask {
  private newestKnown = initialPosition;
  /** Position of the store's last response. */
  private readPosition = initialPosition;
  /** The store's clock minus this node's monotonic clock, ms; undefined until the store has answered. */
  private clockOffsetMs: number | undefined;
  private pulling = false;
  private saving = false;
  /** Rows to remove, with their positions. */
  private readonly pendingRemovals = new Map<string, StorePosition>();
  private readonly disposables = new DisposableStore();
  private maintenanceTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: QuarantineTaskOptions) {
    super({ name: "quarantine", table, waitMs, idleMs }, options);
  }

  /** Store position of the newest change of entries that this node knows. */
  get position(): StorePosition {
    return this.newestKnown;
  }

  /** RPC methods for peers. */
  get handlers(): Record<string, Handler> {
    return { "quarantine.get": () => Promise.resolve(this.savedEntries()) };
  }

  override start(): Promise<void> {
    const { quarantine } = this.options;
    this.disposables.add(
      quarantine.updated.on(() => {
        this.scheduleMaintenance();
      }),
    );
    this.disposables.add(
      quarantine.changed.on((change) => {
        this.onChange(change);
      }),
    );
    return super.start();
  }

  override async dispose(): Promise<void> {
    await super.dispose();
    clearTimeout(this.maintenanceTimer);
    await this.disposables.dispose();
  }

  /** Pulls the peer's entries if they are newer. */
  async pullIfNewer(peer: PeerVersions): Promise<void> {
    if (!isAfter(peer.quarantinePosition ?? initialPosition, this.newestKnown) || this.pulling) return;
    this.pulling = true;
    try {
      this.applyPeerEntries(decode(PeerEntries, await this.options.callPeer(peer, "quarantine.get", {})));
    } catch (error) {
      const detail = toFailure(error).message;
      this.options.log.debug({ event: "quarantine-not-pulled", peer: peer.host, detail });
    } finally {
      this.pulling = false;
    }
  }

  /** After a start, the peers' first heartbeats tell of newer entries; without any, the node becomes a store reader. */
  protected override get hasNoData(): boolean {
    return false;
  }

  protected override readAll(): Promise<RowSet> {
    return this.options.store.list(table);
  }

  protected override applyRows(set: RowSet, complete: boolean): void {
    const { quarantine } = this.options;
    this.clockOffsetMs = set.nowMs - performance.now();
    this.readPosition = set.position;
    for (const row of set.rows) this.applyRow(row);
    for (const fingerprint of set.removed) quarantine.remove(fingerprint, performance.now());
    if (set.removed.length > 0) this.newestKnown = laterOf(this.newestKnown, set.position);
    if (complete) this.removeMissing(new Set(set.rows.map(({ key }) => key)), set.position);
    this.scheduleMaintenance();
  }

  /** Doesn't update the store health: with waits this long, a failure may be outdated; tasks that read more often do it. */
  protected override recordResult(failure: Failure | undefined): void {
    if (failure === undefined) return;
    this.options.log.debug({ event: "quarantine-not-read", kind: failure.kind, detail: failure.message });
  }

  private applyRow({ key, value, position }: Row): void {
    decodeEither(EntryRow, parseJson(value))
      .ifLeft((failure) => {
        this.options.log.warn({ event: "quarantine-row-rejected", row: key, detail: failure.message });
      })
      .ifRight(({ untilMs, forMs, ended }) => {
        const entry = { untilMs: untilMs - (this.clockOffsetMs ?? 0), forMs, ended };
        this.options.quarantine.applyEntry(key, entry, position, performance.now());
        this.newestKnown = laterOf(this.newestKnown, position);
      });
  }

  /**
   * Removes entries that were in the store and no longer are as of its position `asOf`. An entry written before the store
   * was restored from a backup may have been lost rather than removed, so it is kept and saved again.
   */
  private removeMissing(present: ReadonlySet<string>, asOf: StorePosition): void {
    const { quarantine, shouldReadStore, log } = this.options;
    const now = performance.now();
    for (const [fingerprint, row] of quarantine.entries.writtenUpTo(asOf)) {
      if (present.has(fingerprint) || row.era === asOf.era) continue;
      log.info({ event: "quarantine-row-lost", fingerprint });
      quarantine.entries.markUnsaved(fingerprint, shouldReadStore(), now);
    }
    for (const [fingerprint, { row }] of quarantine.entries.saved()) {
      if (present.has(fingerprint) || row === undefined || isAfter(row, asOf)) continue;
      quarantine.remove(fingerprint, now);
      this.newestKnown = laterOf(this.newestKnown, asOf);
    }
  }

  private savedEntries(): typeof PeerEntries.Type {
    const now = performance.now();
    const held = this.options.quarantine.entries
      .saved()
      .map(([fingerprint, { untilMs, forMs, row, ended }]): [string, typeof PeerEntry.Type] => [
        fingerprint,
        { leftMs: untilMs - now, forMs, position: row ?? initialPosition, ...endedOf(ended) },
      ]);
    return { position: this.newestKnown, held: Object.fromEntries(held) };
  }

  private applyPeerEntries({ position, held }: typeof PeerEntries.Type): void {
    const now = performance.now();
    for (const [fingerprint, { leftMs, forMs, position: row, ended }] of Object.entries(held))
      this.options.quarantine.applyEntry(fingerprint, { untilMs: now + leftMs, forMs, ended }, row, now);
    this.removeMissing(new Set(Object.keys(held)), position);
    this.newestKnown = laterOf(this.newestKnown, position);
    this.scheduleMaintenance();
  }

  /** Schedules saving and dropping of entries while there are any; most of the time there are none. */
  private scheduleMaintenance(): void {
    const { quarantine } = this.options;
    if (this.stopped || (quarantine.isEmpty && this.pendingRemovals.size === 0)) return;
    this.maintenanceTimer ??= setTimeout(() => {
      this.maintenanceTimer = undefined;
      quarantine.expire(performance.now(), this.options.shouldReadStore());
      void this.save();
      this.scheduleMaintenance();
    }, maintenanceMs);
  }

  private onChange({ fingerprint, kind, own, row }: QuarantineChange): void {
    const { log, quarantine, metrics } = this.options;
    if (kind !== "forgotten") log.warn({ event: changeEvents[kind], fingerprint, own });
    metrics.quarantined.set(quarantine.entries.activeCount(performance.now()));
    this.scheduleMaintenance();
    if (!own) return;
    if (kind !== "held" && row !== undefined) this.pendingRemovals.set(fingerprint, row);
    void this.save();
  }

  /** Writes what the store doesn't have yet; a failed write is retried at the next check. */
  private async save(): Promise<void> {
    const { store, quarantine, log } = this.options;
    const hasChanges =
      quarantine.entries.unsaved(performance.now()).length > 0 || this.pendingRemovals.size > 0;
    if (this.saving || !hasChanges) return;
    this.saving = true;
    try {
      // The end of an entry is written by the store's clock, so that has to be known.
      if (this.clockOffsetMs === undefined) this.applyRows(await store.list(table), true);
      await store.commit(this.changesToSave(this.clockOffsetMs ?? 0));
      await this.reload();
    } catch (error) {
      const { kind, message } = toFailure(error);
      log.info({ event: "quarantine-not-saved", kind, detail: message });
      // Another node wrote or removed the row first.
      if (kind === "conflict") await this.reload();
    } finally {
      this.saving = false;
    }
  }

  private changesToSave(offsetMs: number): RowChange[] {
    const unsaved = this.options.quarantine.entries.unsaved(performance.now());
    const held = unsaved.map(([key, { untilMs, forMs, row, ended }]) => ({
      table,
      key,
      value: JSON.stringify({ untilMs: Math.round(untilMs + offsetMs), forMs, ...endedOf(ended) }),
      expected: row ?? absentAt(this.readPosition),
    }));
    const removed = [...this.pendingRemovals].map(([key, expected]) => ({ table, key, expected }));
    return [...held, ...removed].slice(0, maxRowsPerCommit);
  }

  /**
   * Reads all rows after a commit. Rows of other nodes may lie between the newest one known here and the one just written;
   * if the written row's position were taken as the newest known one, those entries would be dropped.
   */
  private async reload(): Promise<void> {
    this.pendingRemovals.clear();
    try {
      this.applyRows(await this.options.store.list(table), true);
    } catch (error) {
      this.options.log.info({ event: "quarantine-not-read", detail: toFailure(error).message });
    }
  }
}

function endedOf(ended: readonly string[] | undefined): { ended?: readonly string[] } {
  return ended === undefined ? {} : { ended };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // The decoder reports what is missing.
    return undefined;
  }
}
