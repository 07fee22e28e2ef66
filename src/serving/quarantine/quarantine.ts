/**
 * Quarantines poison requests and prompt parts: those that crash every server that runs them. Callers retry a request with
 * a new id and on any node, so nodes notify each other of what was running when a server crashed, and all of them refuse a
 * request that was running in three crashes, or that has a part that was.
 *
 * Not counted against a request: crashes while it completes elsewhere, lost connections of servers that are alive,
 * and servers that were draining. Nor against a part: crashes after the first event, crashes that don't follow one another,
 * and all crashes before any request with the part brought its first event.
 */
import * as Schema from "effect/Schema";
import { Emitter } from "../../common/emitter.ts";
import { isPartKey } from "./promptParts.ts";
import { QuarantineList, type QuarantineEntry } from "./quarantineList.ts";
import type { StorePosition } from "../storePosition.ts";
import { RecentSuccesses } from "./recentSuccesses.ts";
import { Suspects, type CrashEvidence } from "./suspects.ts";

/**
 * Number of servers that may crash while running a request before it is quarantined. A request that happens to run
 * beside the cause is retried on another server and may meet the cause there again; a third time is hardly a
 * coincidence.
 */
const maxCrashes = 3;
/**
 * The same for a part that was served a short time before: requests with a bad part share their other parts with sound
 * ones, and may follow one another by chance.
 */
const maxCrashesIfProven = 5;
/**
 * From this number of crashes on, the next one quarantines the request, even on a node that doesn't know of the
 * earlier ones.
 */
const watchedFromCrashes = 2;
/** A crashed process takes at least this long to restart, ms; a server that responds sooner didn't crash. */
const minRestartMs = 1_000;

const QuarantineDuration = Schema.Struct({
  /** Remaining time in quarantine, ms; negative once it is over, by the time since then. */
  leftMs: Schema.Number,
  /** Total time in quarantine, ms. */
  forMs: Schema.Number,
  /** Incarnations whose crashes led to it; only of parts. */
  ended: Schema.optionalKey(Schema.Array(Schema.String)),
});

/** Observations of one node, sent to the others. Applying it twice has no further effect. */
export const QuarantineUpdate = Schema.Struct({
  /** Fingerprints of requests whose connection was lost, by the incarnation that seems to have crashed. */
  cuts: Schema.Record(Schema.String, Schema.Array(Schema.String)),
  /** Parts of such requests that had no first event, by incarnation: the round of the crash, and 1 if they are proven. */
  parts: Schema.optionalKey(
    Schema.Record(Schema.String, Schema.Record(Schema.String, Schema.Tuple([Schema.Number, Schema.Number]))),
  ),
  /** Requests that a server completed, and parts in requests that had their first event. */
  survived: Schema.Array(Schema.String),
  /** Incarnations that are alive though a connection was lost there. */
  alive: Schema.Array(Schema.String),
  /** Requests quarantined since the last update, by fingerprint. */
  held: Schema.Record(Schema.String, QuarantineDuration),
});
/** A decoded update. */
export type QuarantineUpdate = typeof QuarantineUpdate.Type;

/** A request was quarantined, released from quarantine, or forgotten after its release. */
export interface QuarantineChange {
  readonly fingerprint: string;
  readonly kind: "held" | "released" | "forgotten";
  /** This node decided it, rather than another one. */
  readonly own: boolean;
  /** Position of its row in the store, if it had one. */
  readonly row: StorePosition | undefined;
}

/** A node's knowledge of requests that may crash servers. */
export class Quarantine {
  readonly changed = new Emitter<QuarantineChange>();
  /** Something was recorded: there may be an update to send to other nodes, and entries to expire later. */
  readonly updated = new Emitter<undefined>();
  /** Something is no longer suspected: requests that wait to run alone may be sent. */
  readonly cleared = new Emitter<undefined>();
  readonly entries = new QuarantineList();
  private readonly suspects = new Suspects();
  private readonly recentSuccesses = new RecentSuccesses();
  /** Parts in requests that brought their first event. */
  private readonly recentParts = new RecentSuccesses();
  private update = emptyUpdate();

  /** Whether nothing is known of any request, so that no request needs to be checked. */
  get isEmpty(): boolean {
    return this.suspects.size === 0 && this.entries.size === 0;
  }

  /** Whether a server crashed while running the request, and none has completed it since. */
  isSuspected(fingerprint: string, nowMs: number): boolean {
    const isKnown = this.suspects.has(fingerprint) || this.entries.has(fingerprint);
    return isKnown && !this.recentSuccesses.has(fingerprint, nowMs);
  }

  /** Time until the request may be sent, ms; 0 if it may be sent now. */
  timeLeftMs(fingerprint: string, nowMs: number): number {
    return this.entries.timeLeftMs(fingerprint, nowMs);
  }

  /** Time until a request with all of these keys may be sent, ms; 0 if it may be sent now. */
  timeLeftOfAll(keys: readonly string[], nowMs: number): number {
    return Math.max(0, ...this.heldAmong(keys, nowMs).map((key) => this.timeLeftMs(key, nowMs)));
  }

  /** Those of a request's keys because of which it may not be sent. */
  heldAmong(keys: readonly string[], nowMs: number): string[] {
    return keys.filter((key) => this.timeLeftMs(key, nowMs) > 0 && !this.isExplained(key, keys, nowMs));
  }

  /** The latest round of crashes known against each of the parts; to be passed on if the request is cut. */
  partRounds(keys: readonly string[]): ReadonlyMap<string, number> {
    return new Map(keys.map((key) => [key, this.suspects.latestRound(key)]));
  }

  /** Number of crashes that count against each of the parts. */
  partCrashes(keys: readonly string[]): ReadonlyMap<string, number> {
    return new Map(keys.map((key) => [key, this.suspects.crashCount(key)]));
  }

  /** A request with these parts brought its first event, so none of them is the cause of the crashes before. */
  recordFirstEvent(keys: readonly string[], nowMs: number): void {
    for (const key of keys) {
      this.recentParts.add(key, nowMs);
      if (!this.suspects.has(key) && !this.entries.has(key)) continue;
      this.clear(key, true, nowMs);
      this.announceSuccess(key);
    }
  }

  /**
   * The connection to the incarnation was lost before the first event of a request with these parts; `roundsBefore` as of
   * when it was sent.
   */
  recordPartLoss(
    keys: readonly string[],
    roundsBefore: ReadonlyMap<string, number>,
    incarnation: string,
    nowMs: number,
  ): void {
    if (keys.length === 0) return;
    const parts = (this.update.parts[incarnation] ??= {});
    for (const key of keys) {
      const evidence = {
        round: Math.max((roundsBefore.get(key) ?? 0) + 1, parts[key]?.[0] ?? 0),
        proven: this.recentParts.has(key, nowMs),
      };
      parts[key] = [evidence.round, evidence.proven ? 1 : 0];
      this.countCrash(key, incarnation, true, nowMs, evidence);
    }
    this.updated.fire(undefined);
  }

  /** The connection to the server's incarnation was lost while it ran the request. */
  recordConnectionLoss(fingerprint: string, incarnation: string, nowMs: number): void {
    if (this.recentSuccesses.has(fingerprint, nowMs)) return;
    const { cuts } = this.update;
    cuts[incarnation] = [...(cuts[incarnation] ?? []), fingerprint];
    this.countCrash(fingerprint, incarnation, true, nowMs);
    this.updated.fire(undefined);
  }

  /** A server completed the request, so it isn't poison. */
  recordSuccess(fingerprint: string, nowMs: number): void {
    this.recentSuccesses.add(fingerprint, nowMs);
    if (!this.suspects.has(fingerprint) && !this.entries.has(fingerprint)) return;
    this.clear(fingerprint, true, nowMs);
    this.announceSuccess(fingerprint);
  }

  /**
   * The incarnation responded to a request sent at `sentMs`. A server that responds right after a connection loss has
   * not crashed; without this rule, mere connection resets would quarantine requests.
   */
  recordResponse(incarnation: string, sentMs: number, nowMs: number): void {
    const crashedAtMs = this.suspects.crashedAtMs(incarnation);
    if (crashedAtMs === undefined || sentMs <= crashedAtMs || nowMs - crashedAtMs >= minRestartMs) return;
    this.clearCrash(incarnation, true, nowMs);
    this.update.alive.push(incarnation);
    this.updated.fire(undefined);
  }

  /**
   * Applies the observations of another node. `ownsDecision` is true if this node has to save and announce a
   * quarantine that results.
   */
  applyUpdate(
    { cuts, parts = {}, survived, alive, held }: QuarantineUpdate,
    ownsDecision: boolean,
    nowMs: number,
  ): void {
    for (const fingerprint of survived) this.clear(fingerprint, false, nowMs);
    for (const incarnation of alive) this.clearCrash(incarnation, false, nowMs);
    for (const [incarnation, fingerprints] of Object.entries(cuts))
      for (const fingerprint of fingerprints) {
        if (this.recentSuccesses.has(fingerprint, nowMs)) this.announceSuccess(fingerprint);
        else this.countCrash(fingerprint, incarnation, ownsDecision, nowMs);
      }
    for (const [incarnation, evidence] of Object.entries(parts))
      for (const [key, [round, proven]] of Object.entries(evidence))
        this.countCrash(key, incarnation, ownsDecision, nowMs, { round, proven: proven === 1 });
    for (const [fingerprint, { leftMs, forMs, ended }] of Object.entries(held))
      this.applyEntry(fingerprint, { untilMs: nowMs + leftMs, forMs, ended }, undefined, nowMs);
    this.updated.fire(undefined);
  }

  /** What was recorded here since the last call; undefined if nothing was. */
  takeUpdate(): QuarantineUpdate | undefined {
    const { update } = this;
    this.update = emptyUpdate();
    return isEmptyUpdate(update) ? undefined : update;
  }

  /** The part of the update that still holds, to send it again; undefined if nothing does. */
  stillValid({ cuts, parts = {}, survived, held }: QuarantineUpdate): QuarantineUpdate | undefined {
    const update = emptyUpdate();
    for (const [incarnation, fingerprints] of Object.entries(cuts)) {
      const suspected = fingerprints.filter((fingerprint) =>
        this.suspects.isSuspectedOf(fingerprint, incarnation),
      );
      if (suspected.length > 0) update.cuts[incarnation] = suspected;
    }
    for (const [incarnation, evidence] of Object.entries(parts)) {
      const suspected = Object.entries(evidence).filter(([key]) =>
        this.suspects.isSuspectedOf(key, incarnation),
      );
      if (suspected.length > 0) update.parts[incarnation] = Object.fromEntries(suspected);
    }
    for (const [fingerprint, entry] of Object.entries(held))
      if (this.entries.has(fingerprint)) update.held[fingerprint] = entry;
    // A request whose connection was lost again since is suspected anew.
    update.survived.push(...survived.filter((f) => !this.suspects.has(f) && !this.entries.has(f)));
    return isEmptyUpdate(update) ? undefined : update;
  }

  /** Applies an entry from the store, or from a node that read it, whose row is at this position. */
  applyEntry(
    fingerprint: string,
    entry: QuarantineEntry,
    row: StorePosition | undefined,
    nowMs: number,
  ): void {
    // A request served here recently was quarantined because of crashes that had another cause.
    if (this.recentSuccesses.has(fingerprint, nowMs)) {
      this.announceSuccess(fingerprint);
      this.changed.fire({ fingerprint, kind: "forgotten", own: true, row });
      return;
    }
    const before = this.timeLeftMs(fingerprint, nowMs) > 0;
    for (const [i, incarnation] of (entry.ended ?? []).entries())
      this.suspects.add(fingerprint, incarnation, nowMs, isPartKey(fingerprint) ? { round: i + 1 } : {});
    this.entries.merge(fingerprint, entry, row, nowMs);
    // The crashes seen here and those named in another node's watch entry may add up to the maximum.
    const crashes = this.suspects.crashCount(fingerprint);
    if (this.timeLeftMs(fingerprint, nowMs) === 0 && crashes >= this.crashesAllowed(fingerprint))
      this.quarantine(fingerprint, true, nowMs);
    if (!before && this.timeLeftMs(fingerprint, nowMs) > 0)
      this.changed.fire({ fingerprint, kind: "held", own: false, row: undefined });
  }

  /** Releases the request: its row is gone, as the request was served or an operator removed the row. */
  remove(fingerprint: string, nowMs: number): void {
    this.clear(fingerprint, false, nowMs);
  }

  /** Drops entries that are too old to matter; `own` is true if this node has to remove them from the store. */
  expire(nowMs: number, own: boolean): void {
    this.suspects.expire(nowMs);
    for (const fingerprint of this.entries.lapsed(nowMs)) this.clear(fingerprint, own, nowMs);
  }

  private countCrash(
    key: string,
    incarnation: string,
    own: boolean,
    nowMs: number,
    evidence?: CrashEvidence,
  ): void {
    const isNewCrash = !this.suspects.isSuspectedOf(key, incarnation);
    if (this.timeLeftMs(key, nowMs) > 0) {
      // Servers that were already running the request when it was quarantined may still crash. A part that crashes another
      // one without those that it was quarantined with is no longer explained by them.
      if (isNewCrash && evidence !== undefined) this.suspects.add(key, incarnation, nowMs, evidence);
      return;
    }
    const crashesBefore = this.suspects.crashCount(key);
    const crashes = this.suspects.add(key, incarnation, nowMs, evidence);
    if (evidence === undefined ? !isNewCrash : crashes === crashesBefore) return;
    const isRelapse = isPartKey(key) ? this.entries.wasQuarantined(key) : this.entries.has(key);
    if (crashes >= this.crashesAllowed(key) || isRelapse) this.quarantine(key, own, nowMs);
    else if (crashes >= watchedFromCrashes && !this.entries.has(key))
      this.entries.watch(key, this.suspects.crashedIncarnations(key), own, nowMs);
  }

  private crashesAllowed(key: string): number {
    return isPartKey(key) && this.suspects.isProven(key) ? maxCrashesIfProven : maxCrashes;
  }

  /**
   * Whether all crashes of a quarantined part are those of something else in quarantine that the request doesn't have. The
   * request then shows which of the two is the cause; it runs alone, as the part is suspected.
   */
  private isExplained(key: string, keys: readonly string[], nowMs: number): boolean {
    if (!isPartKey(key)) return false;
    const crashes = this.crashesOf(key);
    if (crashes.length === 0) return false;
    return this.entries
      .active(nowMs)
      .filter((other) => !keys.includes(other))
      .some((other) => {
        const others = new Set(this.crashesOf(other));
        return crashes.every((incarnation) => others.has(incarnation));
      });
  }

  private crashesOf(key: string): readonly string[] {
    return [...this.suspects.crashedIncarnations(key), ...this.entries.crashedIncarnations(key)];
  }

  /** Announces the success again: nodes that haven't served the request themselves count its connection losses. */
  private announceSuccess(fingerprint: string): void {
    if (!this.update.survived.includes(fingerprint)) this.update.survived.push(fingerprint);
    this.updated.fire(undefined);
  }

  private quarantine(fingerprint: string, own: boolean, nowMs: number): void {
    const ended = isPartKey(fingerprint) ? this.suspects.crashedIncarnations(fingerprint) : undefined;
    const forMs = this.entries.quarantine(fingerprint, own, nowMs, ended);
    const crashes = ended === undefined ? {} : { ended };
    if (own) this.update.held[fingerprint] = { leftMs: forMs, forMs, ...crashes };
    this.changed.fire({ fingerprint, kind: "held", own, row: undefined });
  }

  /** The incarnation is alive: releases requests that now have too few crashes against them. */
  private clearCrash(incarnation: string, own: boolean, nowMs: number): void {
    for (const fingerprint of this.suspects.clearCrash(incarnation))
      if (this.suspects.crashCount(fingerprint) < watchedFromCrashes)
        this.removeEntry(fingerprint, own, nowMs);
  }

  private clear(fingerprint: string, own: boolean, nowMs: number): void {
    this.suspects.clear(fingerprint);
    this.removeEntry(fingerprint, own, nowMs);
    this.cleared.fire(undefined);
  }

  private removeEntry(fingerprint: string, own: boolean, nowMs: number): void {
    const entry = this.entries.remove(fingerprint);
    if (entry === undefined) return;
    const kind = entry.untilMs > nowMs ? "released" : "forgotten";
    this.changed.fire({ fingerprint, kind, own, row: entry.row });
  }
}

/** The update being collected. */
interface PendingUpdate {
  readonly cuts: Record<string, readonly string[]>;
  readonly parts: Record<string, Record<string, readonly [round: number, proven: number]>>;
  readonly survived: string[];
  readonly alive: string[];
  readonly held: Record<string, typeof QuarantineDuration.Type>;
}

function emptyUpdate(): PendingUpdate {
  return { cuts: {}, parts: {}, survived: [], alive: [], held: {} };
}

function isEmptyUpdate({ cuts, parts = {}, survived, alive, held }: QuarantineUpdate): boolean {
  const lists = [survived, alive, ...[cuts, parts, held].map((record) => Object.keys(record))];
  return lists.every(({ length }) => length === 0);
}
