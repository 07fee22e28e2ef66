/**
 * Quarantines poison requests: requests that crash every server that runs them. Their callers send them again with a new id
 * and to whichever node, so nodes tell each other what was running when a server crashed, and a request that was there three
 * times is refused by all.
 *
 * Not counted against a request: crashes while it completes elsewhere, cut connections of servers that live, and servers that
 * were draining.
 */
import * as Schema from "effect/Schema";
import { Emitter } from "../../common/emitter.ts";
import { Holds, type Hold } from "./quarantineList.ts";
import type { StorePosition } from "../storePosition.ts";
import { RecentSuccesses } from "./recentSuccesses.ts";
import { Suspects } from "./suspects.ts";

/**
 * Servers that may end under a request before it is held back. A request that happens to run beside the cause is sent on
 * to another server and may meet the cause there again; to be there a third time is hardly chance.
 */
const mostEnded = 3;
/** From so many on the next end holds it back, also where that node never heard of those before. */
const watchedFrom = 2;
/** A process that ended is back after this time at the earliest, ms; whoever answers sooner has not ended. */
const restartMs = 1_000;

const HeldFor = Schema.Struct({
  /** Until the request is let through, ms; below 0 for as long as the hold has been over. */
  leftMs: Schema.Number,
  /** How long it is held in all, ms. */
  forMs: Schema.Number,
});

/** What one node learned, for the others. Hearing it twice changes nothing. */
export const QuarantineUpdate = Schema.Struct({
  /** Fingerprints of requests that were cut, by the incarnation that ended. */
  cuts: Schema.Record(Schema.String, Schema.Array(Schema.String)),
  /** Requests that a server ran to their end. */
  survived: Schema.Array(Schema.String),
  /** Incarnations that live though a request was cut there. */
  alive: Schema.Array(Schema.String),
  /** Requests held back since, by fingerprint. */
  held: Schema.Record(Schema.String, HeldFor),
});
/** Decoded news. */
export type QuarantineUpdate = typeof QuarantineUpdate.Type;

/** A request is held back from now on, let through again, or forgotten after that. */
export interface QuarantineChange {
  readonly fingerprint: string;
  readonly kind: "held" | "released" | "forgotten";
  /** This node decided it, rather than heard of it. */
  readonly own: boolean;
  /** The store's row that it had, if any. */
  readonly row: StorePosition | undefined;
}

/** What a node knows of requests under which servers end. */
export class Quarantine {
  readonly changed = new Emitter<QuarantineChange>();
  /** Something was learned: there may be news for the other nodes, and what to drop in time. */
  readonly updated = new Emitter<undefined>();
  readonly entries = new Holds();
  private readonly suspects = new Suspects();
  private readonly recentSuccesses = new RecentSuccesses();
  private news = emptyNews();

  /** Nothing is known of any request, so none needs to be looked at. */
  get isEmpty(): boolean {
    return this.suspects.size === 0 && this.entries.size === 0;
  }

  /** Did a server end under the request, and was it served by none since? */
  isSuspected(fingerprint: string, nowMs: number): boolean {
    const isKnown = this.suspects.has(fingerprint) || this.entries.has(fingerprint);
    return isKnown && !this.recentSuccesses.has(fingerprint, nowMs);
  }

  /** Time until the request may be sent, ms; 0 if it may now. */
  remainingMs(fingerprint: string, nowMs: number): number {
    return this.entries.leftMs(fingerprint, nowMs);
  }

  /** The connection to the incarnation of a server ended while it ran the request. */
  recordConnectionLoss(fingerprint: string, incarnation: string, nowMs: number): void {
    if (this.recentSuccesses.has(fingerprint, nowMs)) return;
    const { cuts } = this.news;
    cuts[incarnation] = [...(cuts[incarnation] ?? []), fingerprint];
    this.count(fingerprint, incarnation, true, nowMs);
    this.updated.fire(undefined);
  }

  /** A server ran the request to its end: it is no poison. */
  recordSuccess(fingerprint: string, nowMs: number): void {
    this.recentSuccesses.add(fingerprint, nowMs);
    if (!this.suspects.has(fingerprint) && !this.entries.has(fingerprint)) return;
    this.clear(fingerprint, true, nowMs);
    this.tellSurvived(fingerprint);
  }

  /**
   * The incarnation answered a request sent at `sentMs`. Guards "requests are held back because connections were reset": a
   * server that answers right after it cut a request has not ended.
   */
  recordResponse(incarnation: string, sentMs: number, nowMs: number): void {
    const endedAtMs = this.suspects.endedAtMs(incarnation);
    if (endedAtMs === undefined || sentMs <= endedAtMs || nowMs - endedAtMs >= restartMs) return;
    this.clearCrash(incarnation, true, nowMs);
    this.news.alive.push(incarnation);
    this.updated.fire(undefined);
  }

  /** Takes what another node learned; `decides` says whether it is on this node to save and tell a hold that it leads to. */
  applyUpdate({ cuts, survived, alive, held }: QuarantineUpdate, decides: boolean, nowMs: number): void {
    for (const fingerprint of survived) this.clear(fingerprint, false, nowMs);
    for (const incarnation of alive) this.clearCrash(incarnation, false, nowMs);
    for (const [incarnation, fingerprints] of Object.entries(cuts))
      for (const fingerprint of fingerprints) {
        if (this.recentSuccesses.has(fingerprint, nowMs)) this.tellSurvived(fingerprint);
        else this.count(fingerprint, incarnation, decides, nowMs);
      }
    for (const [fingerprint, { leftMs, forMs }] of Object.entries(held))
      this.applyEntry(fingerprint, { untilMs: nowMs + leftMs, forMs }, undefined, nowMs);
    this.updated.fire(undefined);
  }

  /** What was learned here since the last call; undefined if nothing was. */
  takeUpdate(): QuarantineUpdate | undefined {
    const { news } = this;
    this.news = emptyNews();
    return isEmpty(news) ? undefined : news;
  }

  /** What of the news still counts, to tell it again; undefined if nothing does. */
  stillValid({ cuts, survived, held }: QuarantineUpdate): QuarantineUpdate | undefined {
    const news = emptyNews();
    for (const [incarnation, fingerprints] of Object.entries(cuts)) {
      const suspected = fingerprints.filter((fingerprint) => this.suspects.isUnder(fingerprint, incarnation));
      if (suspected.length > 0) news.cuts[incarnation] = suspected;
    }
    for (const [fingerprint, hold] of Object.entries(held))
      if (this.entries.has(fingerprint)) news.held[fingerprint] = hold;
    // One that was cut again since is suspected anew.
    news.survived.push(...survived.filter((f) => !this.suspects.has(f) && !this.entries.has(f)));
    return isEmpty(news) ? undefined : news;
  }

  /** The store, or a node that read it, has the hold in a row at this position. */
  applyEntry(fingerprint: string, hold: Hold, row: StorePosition | undefined, nowMs: number): void {
    // One that was served here lately is held back for ends that had another cause.
    if (this.recentSuccesses.has(fingerprint, nowMs)) {
      this.tellSurvived(fingerprint);
      this.changed.fire({ fingerprint, kind: "forgotten", own: true, row });
      return;
    }
    const before = this.remainingMs(fingerprint, nowMs) > 0;
    for (const incarnation of hold.ended ?? []) this.suspects.add(fingerprint, incarnation, nowMs);
    this.entries.learn(fingerprint, hold, row, nowMs);
    // Ends seen here and those that others' watch names may be three together.
    if (this.remainingMs(fingerprint, nowMs) === 0 && this.suspects.endsUnder(fingerprint) >= mostEnded)
      this.hold(fingerprint, true, nowMs);
    if (!before && this.remainingMs(fingerprint, nowMs) > 0)
      this.changed.fire({ fingerprint, kind: "held", own: false, row: undefined });
  }

  /** The request is let through again: its row is gone, as it was served or an operator removed it. */
  remove(fingerprint: string, nowMs: number): void {
    this.clear(fingerprint, false, nowMs);
  }

  /** Drops what is too old to matter; `own` says whether it is on this node to remove it from the store. */
  expire(nowMs: number, own: boolean): void {
    this.suspects.expire(nowMs);
    for (const fingerprint of this.entries.over(nowMs)) this.clear(fingerprint, own, nowMs);
  }

  private count(fingerprint: string, incarnation: string, own: boolean, nowMs: number): void {
    // Other servers were running it already when it was held back: that says nothing new.
    if (this.remainingMs(fingerprint, nowMs) > 0) return;
    const isNew = !this.suspects.isUnder(fingerprint, incarnation);
    const ended = this.suspects.add(fingerprint, incarnation, nowMs);
    if (!isNew) return;
    if (ended >= mostEnded || this.entries.has(fingerprint)) this.hold(fingerprint, own, nowMs);
    else if (ended >= watchedFrom)
      this.entries.watch(fingerprint, this.suspects.endedUnder(fingerprint), own, nowMs);
  }

  /** Nodes that haven't served it themselves count what is cut. */
  private tellSurvived(fingerprint: string): void {
    if (!this.news.survived.includes(fingerprint)) this.news.survived.push(fingerprint);
    this.updated.fire(undefined);
  }

  private hold(fingerprint: string, own: boolean, nowMs: number): void {
    const forMs = this.entries.hold(fingerprint, own, nowMs);
    if (own) this.news.held[fingerprint] = { leftMs: forMs, forMs };
    this.changed.fire({ fingerprint, kind: "held", own, row: undefined });
  }

  /** The incarnation lives: requests under which hardly any other ended are let go. */
  private clearCrash(incarnation: string, own: boolean, nowMs: number): void {
    for (const fingerprint of this.suspects.clearCrash(incarnation))
      if (this.suspects.endsUnder(fingerprint) < watchedFrom) this.drop(fingerprint, own, nowMs);
  }

  private clear(fingerprint: string, own: boolean, nowMs: number): void {
    this.suspects.clear(fingerprint);
    this.drop(fingerprint, own, nowMs);
  }

  private drop(fingerprint: string, own: boolean, nowMs: number): void {
    const hold = this.entries.release(fingerprint);
    if (hold === undefined) return;
    const kind = hold.untilMs > nowMs ? "released" : "forgotten";
    this.changed.fire({ fingerprint, kind, own, row: hold.row });
  }
}

/** News being gathered. */
interface Gathered {
  readonly cuts: Record<string, readonly string[]>;
  readonly survived: string[];
  readonly alive: string[];
  readonly held: Record<string, typeof HeldFor.Type>;
}

function emptyNews(): Gathered {
  return { cuts: {}, survived: [], alive: [], held: {} };
}

function isEmpty({ cuts, survived, alive, held }: QuarantineUpdate): boolean {
  return Object.keys(cuts).length + survived.length + alive.length + Object.keys(held).length === 0;
}
