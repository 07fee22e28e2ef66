/**
 * Keeps the store and this node agreed on the requests that are held back: for nodes that start later, and for those that
 * no peer reaches. Nodes that hear of a newer hold pull it from whoever knows it.
 */
import * as Schema from "effect/Schema";
import { decode, decodeEither } from "../common/decode.ts";
import { DisposableStore } from "../common/disposables.ts";
import { toFailure, type Failure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import type { Handler } from "../common/rpc.ts";
import type { Quarantine, QuarantineChange } from "../serving/quarantine/quarantine.ts";
import type { Row, RowChange, RowSet } from "../serving/store.ts";
import { absentAt, initialPosition, isAfter, laterOf, StorePosition } from "../serving/storePosition.ts";
import type { GatewayMetrics } from "./gatewayMetrics.ts";
import type { PeerVersions } from "./peerCalls.ts";
import { TableTask, type TableTaskOptions } from "./tableTask.ts";

const table = "parsleynotch_quarantine";
/** How long one wait for changes lasts, ms. Peers tell of holds first; this finds the rest, at six calls a minute. */
const waitMs = 10_000;
/** Pause of a node that leaves reading to others, ms: one that is cut off from its peers reads this much later. */
const idleMs = { active: 1_000, standby: 5_000 };
/** Pause between looks at what is to be saved or dropped, ms. */
const tidyMs = 1_000;
/** Rows changed in one commit. */
const mostChanges = 50;

/** A row: when the request is let through, by the store's clock, and how long it is held in all, ms. */
const HeldRow = Schema.Struct({
  untilMs: Schema.Number,
  forMs: Schema.Number,
  /** Incarnations whose ends led to it. */
  ended: Schema.optionalKey(Schema.Array(Schema.String)),
});

/** What the log says of a change. */
const changeEvents = { held: "request-quarantined", released: "request-released" };

const HeldEntry = Schema.Struct({
  leftMs: Schema.Number,
  forMs: Schema.Number,
  position: StorePosition,
  ended: Schema.optionalKey(Schema.Array(Schema.String)),
});

/** All holds that the store is known to have, for a peer. */
const HeldResult = Schema.Struct({
  /** The store's position of the newest change of holds. */
  position: StorePosition,
  held: Schema.Record(Schema.String, HeldEntry),
});

/** Options of a `QuarantineTask`. */
export interface QuarantineTaskOptions extends TableTaskOptions {
  readonly log: Log;
  readonly metrics: GatewayMetrics;
  readonly quarantine: Quarantine;
  /** Calls a peer. */
  readonly callPeer: (peer: PeerVersions, method: string, params: unknown) => Promise<unknown>;
}

/** Owns what is told and saved. */
export class QuarantineTask extends TableTask {
  private known = initialPosition;
  /** Of the last answer of the store. */
  private readAt = initialPosition;
  /** The store's clock less this node's steady one, ms. */
  private clockOffsetMs: number | undefined;
  private pulling = false;
  private saving = false;
  /** Rows to remove, with the position that they have. */
  private readonly released = new Map<string, StorePosition>();
  private readonly disposables = new DisposableStore();
  private watching: NodeJS.Timeout | undefined;

  constructor(private readonly options: QuarantineTaskOptions) {
    super({ name: "quarantine", table, waitMs, idleMs }, options);
  }

  /** The store's position of the newest change of holds that is known here. */
  get position(): StorePosition {
    return this.known;
  }

  /** Methods for peers. */
  get handlers(): Record<string, Handler> {
    return { "quarantine.get": () => Promise.resolve(this.toTell()) };
  }

  override start(): Promise<void> {
    const { quarantine } = this.options;
    this.disposables.add(
      quarantine.updated.on(() => {
        this.watch();
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
    clearTimeout(this.watching);
    await this.disposables.dispose();
  }

  /** A peer may know of newer holds. */
  async pullIfNewer(peer: PeerVersions): Promise<void> {
    if (!isAfter(peer.quarantinePosition ?? initialPosition, this.known) || this.pulling) return;
    this.pulling = true;
    try {
      this.takeAll(decode(HeldResult, await this.options.callPeer(peer, "quarantine.get", {})));
    } catch (error) {
      const detail = toFailure(error).message;
      this.options.log.debug({ event: "quarantine-not-pulled", peer: peer.host, detail });
    } finally {
      this.pulling = false;
    }
  }

  /** A node that has just started hears of holds with its peers' first pulses, or reads as it hears none. */
  protected override get lacking(): boolean {
    return false;
  }

  protected override readWhole(): Promise<RowSet> {
    return this.options.store.list(table);
  }

  protected override take(set: RowSet, whole: boolean): void {
    const { quarantine } = this.options;
    this.clockOffsetMs = set.nowMs - performance.now();
    this.readAt = set.position;
    for (const row of set.rows) this.takeRow(row);
    for (const fingerprint of set.removed) quarantine.remove(fingerprint, performance.now());
    if (set.removed.length > 0) this.known = laterOf(this.known, set.position);
    if (whole) this.releaseMissing(new Set(set.rows.map(({ key }) => key)), set.position);
    this.watch();
  }

  /** Its waits last so long that one which fails tells of the store as it was; the tasks that read often tell of it now. */
  protected override noteCall(failure: Failure | undefined): void {
    if (failure === undefined) return;
    this.options.log.debug({ event: "quarantine-not-read", kind: failure.kind, detail: failure.message });
  }

  private takeRow({ key, value, position }: Row): void {
    decodeEither(HeldRow, parseJson(value))
      .ifLeft((failure) => {
        this.options.log.warn({ event: "quarantine-row-rejected", row: key, detail: failure.message });
      })
      .ifRight(({ untilMs, forMs, ended }) => {
        const hold = { untilMs: untilMs - (this.clockOffsetMs ?? 0), forMs, ended };
        this.options.quarantine.applyEntry(key, hold, position, performance.now());
        this.known = laterOf(this.known, position);
      });
  }

  /**
   * Holds that the store had and has no more, as of its position `asOf`. One written before the store came back from a copy
   * is lost with it, not released.
   */
  private releaseMissing(present: ReadonlySet<string>, asOf: StorePosition): void {
    const { quarantine, shouldReadStore: reads, log } = this.options;
    const now = performance.now();
    for (const [fingerprint, row] of quarantine.entries.writtenUpTo(asOf)) {
      if (present.has(fingerprint) || row.era === asOf.era) continue;
      log.info({ event: "quarantine-row-lost", fingerprint });
      quarantine.entries.markUnsaved(fingerprint, reads(), now);
    }
    for (const [fingerprint, { row }] of quarantine.entries.saved()) {
      if (present.has(fingerprint) || row === undefined || isAfter(row, asOf)) continue;
      quarantine.remove(fingerprint, now);
      this.known = laterOf(this.known, asOf);
    }
  }

  private toTell(): typeof HeldResult.Type {
    const now = performance.now();
    const held = this.options.quarantine.entries
      .saved()
      .map(([fingerprint, { untilMs, forMs, row, ended }]): [string, typeof HeldEntry.Type] => [
        fingerprint,
        { leftMs: untilMs - now, forMs, position: row ?? initialPosition, ...endedOf(ended) },
      ]);
    return { position: this.known, held: Object.fromEntries(held) };
  }

  private takeAll({ position, held }: typeof HeldResult.Type): void {
    const now = performance.now();
    for (const [fingerprint, { leftMs, forMs, position: row, ended }] of Object.entries(held))
      this.options.quarantine.applyEntry(fingerprint, { untilMs: now + leftMs, forMs, ended }, row, now);
    this.releaseMissing(new Set(Object.keys(held)), position);
    this.known = laterOf(this.known, position);
    this.watch();
  }

  /** Looks at what is to be saved or dropped, for as long as anything is known: most nodes know of nothing. */
  private watch(): void {
    const { quarantine } = this.options;
    if (this.stopped || (quarantine.isEmpty && this.released.size === 0)) return;
    this.watching ??= setTimeout(() => {
      this.watching = undefined;
      quarantine.expire(performance.now(), this.options.shouldReadStore());
      void this.save();
      this.watch();
    }, tidyMs);
  }

  private onChange({ fingerprint, kind, own, row }: QuarantineChange): void {
    const { log, quarantine, metrics } = this.options;
    if (kind !== "forgotten") log.warn({ event: changeEvents[kind], fingerprint, own });
    metrics.quarantined.set(quarantine.entries.activeCount(performance.now()));
    this.watch();
    if (!own) return;
    if (kind !== "held" && row !== undefined) this.released.set(fingerprint, row);
    void this.save();
  }

  /** Writes what the store doesn't have yet; what fails is tried again at the next look. */
  private async save(): Promise<void> {
    const { store, quarantine, log } = this.options;
    const due = quarantine.entries.unsaved(performance.now()).length > 0 || this.released.size > 0;
    if (this.saving || !due) return;
    this.saving = true;
    try {
      // Without the store's clock there is no telling when a hold ends.
      if (this.clockOffsetMs === undefined) this.take(await store.list(table), true);
      await store.commit(this.changesToSave(this.clockOffsetMs ?? 0));
      await this.readAgain();
    } catch (error) {
      const { kind, message } = toFailure(error);
      log.info({ event: "quarantine-not-saved", kind, detail: message });
      // Another node wrote or removed it first.
      if (kind === "conflict") await this.readAgain();
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
      expected: row ?? absentAt(this.readAt),
    }));
    const removed = [...this.released].map(([key, expected]) => ({ table, key, expected }));
    return [...held, ...removed].slice(0, mostChanges);
  }

  /**
   * Reads all rows after a commit. Guards "a hold is lost": rows of other nodes may lie between the newest one known here
   * and the one just written, and whoever took the latter's version for all that there is would drop them.
   */
  private async readAgain(): Promise<void> {
    this.released.clear();
    try {
      this.take(await this.options.store.list(table), true);
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
    // The decoder names what is missing.
    return undefined;
  }
}
