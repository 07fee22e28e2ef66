/**
 * Quarantines poison requests: requests that crash every server that runs them. Their callers retry them with a new
 * id and on any node, so nodes notify each other of what was running when a server crashed, and all of them refuse a
 * request that was running in three crashes.
 *
 * Not counted against a request: crashes while it completes elsewhere, lost connections of servers that are alive,
 * and servers that were draining.
 */
import * as Schema from "effect/Schema";
import { Emitter } from "../../common/emitter.ts";
import { QuarantineList, type QuarantineEntry } from "./quarantineList.ts";
import type { StorePosition } from "../storePosition.ts";
import { RecentSuccesses } from "./recentSuccesses.ts";
import { Suspects } from "./suspects.ts";

/**
 * Number of servers that may crash while running a request before it is quarantined. A request that happens to run
 * beside the cause is retried on another server and may meet the cause there again; a third time is hardly a
 * coincidence.
 */
const maxCrashes = 3;
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
});

/** Observations of one node, sent to the others. Applying it twice has no further effect. */
export const QuarantineUpdate = Schema.Struct({
  /** Fingerprints of requests whose connection was lost, by the incarnation that seems to have crashed. */
  cuts: Schema.Record(Schema.String, Schema.Array(Schema.String)),
  /** Requests that a server completed. */
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
  readonly entries = new QuarantineList();
  private readonly suspects = new Suspects();
  private readonly recentSuccesses = new RecentSuccesses();
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
  applyUpdate({ cuts, survived, alive, held }: QuarantineUpdate, ownsDecision: boolean, nowMs: number): void {
    for (const fingerprint of survived) this.clear(fingerprint, false, nowMs);
    for (const incarnation of alive) this.clearCrash(incarnation, false, nowMs);
    for (const [incarnation, fingerprints] of Object.entries(cuts))
      for (const fingerprint of fingerprints) {
        if (this.recentSuccesses.has(fingerprint, nowMs)) this.announceSuccess(fingerprint);
        else this.countCrash(fingerprint, incarnation, ownsDecision, nowMs);
      }
    for (const [fingerprint, { leftMs, forMs }] of Object.entries(held))
      this.applyEntry(fingerprint, { untilMs: nowMs + leftMs, forMs }, undefined, nowMs);
    this.updated.fire(undefined);
  }

  /** What was recorded here since the last call; undefined if nothing was. */
  takeUpdate(): QuarantineUpdate | undefined {
    const { update } = this;
    this.update = emptyUpdate();
    return isEmptyUpdate(update) ? undefined : update;
  }

  /** The part of the update that still holds, to send it again; undefined if nothing does. */
  stillValid({ cuts, survived, held }: QuarantineUpdate): QuarantineUpdate | undefined {
    const update = emptyUpdate();
    for (const [incarnation, fingerprints] of Object.entries(cuts)) {
      const suspected = fingerprints.filter((fingerprint) =>
        this.suspects.isSuspectedOf(fingerprint, incarnation),
      );
      if (suspected.length > 0) update.cuts[incarnation] = suspected;
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
    for (const incarnation of entry.ended ?? []) this.suspects.add(fingerprint, incarnation, nowMs);
    this.entries.merge(fingerprint, entry, row, nowMs);
    // The crashes seen here and those named in another node's watch entry may add up to the maximum.
    if (this.timeLeftMs(fingerprint, nowMs) === 0 && this.suspects.crashCount(fingerprint) >= maxCrashes)
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

  private countCrash(fingerprint: string, incarnation: string, own: boolean, nowMs: number): void {
    // Servers that were already running the request when it was quarantined may still crash; that is no new evidence.
    if (this.timeLeftMs(fingerprint, nowMs) > 0) return;
    const isNewCrash = !this.suspects.isSuspectedOf(fingerprint, incarnation);
    const crashes = this.suspects.add(fingerprint, incarnation, nowMs);
    if (!isNewCrash) return;
    if (crashes >= maxCrashes || this.entries.has(fingerprint)) this.quarantine(fingerprint, own, nowMs);
    else if (crashes >= watchedFromCrashes)
      this.entries.watch(fingerprint, this.suspects.crashedIncarnations(fingerprint), own, nowMs);
  }

  /** Announces the success again: nodes that haven't served the request themselves count its connection losses. */
  private announceSuccess(fingerprint: string): void {
    if (!this.update.survived.includes(fingerprint)) this.update.survived.push(fingerprint);
    this.updated.fire(undefined);
  }

  private quarantine(fingerprint: string, own: boolean, nowMs: number): void {
    const forMs = this.entries.quarantine(fingerprint, own, nowMs);
    if (own) this.update.held[fingerprint] = { leftMs: forMs, forMs };
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
  readonly survived: string[];
  readonly alive: string[];
  readonly held: Record<string, typeof QuarantineDuration.Type>;
}

function emptyUpdate(): PendingUpdate {
  return { cuts: {}, survived: [], alive: [], held: {} };
}

function isEmptyUpdate({ cuts, survived, alive, held }: QuarantineUpdate): boolean {
  return Object.keys(cuts).length + survived.length + alive.length + Object.keys(held).length === 0;
}
