/**
 * Requests that are held back from servers, and for how long. A hold ends by itself, since the cause may have been
 * mended meanwhile (a new version of the server); the first server that ends under the request then holds it again, for
 * twice as long. So even a request that comes for ever ends only a few servers.
 */
import { isAfter, laterOf, type StorePosition } from "../storePosition.ts";

/** First time a request is held back, ms: longer than callers repeat by themselves. */
const firstHoldMs = 600_000;
/** A request is watched for this long, ms: its first hold is twice that. */
const watchMs = firstHoldMs / 2;
/** Longest time, ms: a day, within which servers usually get a new version. */
const longestHoldMs = 86_400_000;
/** Requests held at once; past it the one that would be free soonest is let go. */
const mostHolds = 500;
/** A hold that another node decided is saved by this one if that one didn't for so long, ms: it may have died. */
const savedByOthersMs = 1_000;

/** A request that is held back, or watched once it is over. */
export interface Hold {
  /** When it is let through again, ms. */
  readonly untilMs: number;
  /** How long it is held in all, ms. */
  readonly forMs: number;
  /** Incarnations whose ends led to it, so that other nodes don't count these again. */
  readonly ended?: readonly string[] | undefined;
}

/** A hold, and where the store has its row. */
export interface SavedHold extends Hold {
  /** Undefined if the store has none. */
  readonly row: StorePosition | undefined;
}

interface Entry extends SavedHold {
  readonly sinceMs: number;
  /** This node decided it. */
  readonly own: boolean;
  /** The store has it as it is here. */
  readonly saved: boolean;
}

/** Was the request let through for as long as it had been held, without a server that ended under it? */
function isOver({ untilMs, forMs }: Hold, nowMs: number): boolean {
  return nowMs >= untilMs + forMs;
}

/** Holds by fingerprint. */
export class Holds {
  private readonly entries = new Map<string, Entry>();

  get size(): number {
    return this.entries.size;
  }

  /** Is the request held back, or was it until lately, or is it watched? */
  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  /** Requests held back now. */
  activeCount(nowMs: number): number {
    return [...this.entries.values()].filter(({ untilMs }) => untilMs > nowMs).length;
  }

  /** Time until the request is let through, ms; 0 if it may go now. */
  leftMs(fingerprint: string, nowMs: number): number {
    return Math.max(0, (this.entries.get(fingerprint)?.untilMs ?? 0) - nowMs);
  }

  /**
   * Remembers the request as one that the next end holds back, wherever it is seen. Guards "each life of a node, and each
   * that no peer reaches, ends servers of its own": what they counted is lost or told to nobody; this lies in the store.
   */
  watch(fingerprint: string, ended: readonly string[], own: boolean, nowMs: number): void {
    const entry = {
      untilMs: nowMs,
      forMs: watchMs,
      ended,
      sinceMs: nowMs,
      own,
      row: undefined,
      saved: false,
    };
    this.set(fingerprint, entry);
  }

  /** Holds the request from now on, for twice as long as the last time. Gives back how long, ms. */
  hold(fingerprint: string, own: boolean, nowMs: number): number {
    const known = this.entries.get(fingerprint);
    const forMs = known === undefined ? firstHoldMs : Math.min(longestHoldMs, known.forMs * 2);
    const row = known?.row;
    this.set(fingerprint, { untilMs: nowMs + forMs, forMs, sinceMs: nowMs, own, row, saved: false });
    return forMs;
  }

  /** Another node says that the request is held back; with the position of the store's row, if it has one. */
  learn(
    fingerprint: string,
    { untilMs, forMs, ended }: Hold,
    row: StorePosition | undefined,
    nowMs: number,
  ): void {
    const known = this.entries.get(fingerprint);
    const newest =
      known?.row === undefined || row === undefined ? (row ?? known?.row) : laterOf(known.row, row);
    // Guards "a hold ends early": word of the hold before may come after that of the next, which is longer.
    if (known !== undefined && known.forMs > forMs) {
      this.set(fingerprint, { ...known, row: newest });
      return;
    }
    // What the store has is another hold than this one, unless they are equally long.
    const same = known?.forMs === forMs ? known : { sinceMs: nowMs, own: false, saved: false };
    const entry = { untilMs, forMs, ended, sinceMs: same.sinceMs, own: same.own, row: newest };
    this.set(fingerprint, { ...entry, saved: same.saved || row !== undefined });
  }

  /** Lets the request go for good. Gives back the hold that it had. */
  release(fingerprint: string): SavedHold | undefined {
    const known = this.entries.get(fingerprint);
    this.entries.delete(fingerprint);
    return known;
  }

  /** Holds that this node should write to the store by now. */
  unsaved(nowMs: number): [string, SavedHold][] {
    return [...this.entries].filter(
      ([, { saved, own, sinceMs }]) => !saved && (own || nowMs - sinceMs >= savedByOthersMs),
    );
  }

  /**
   * The store came back from a copy that lacks the row: it has to be written again, by this node first if `own`, else by
   * whichever node finds that none did.
   */
  markUnsaved(fingerprint: string, own: boolean, nowMs: number): void {
    const known = this.entries.get(fingerprint);
    if (known === undefined) return;
    this.set(fingerprint, { ...known, row: undefined, saved: false, own, sinceMs: nowMs });
  }

  /** Holds whose rows were written by `asOf` in the store's history. */
  writtenUpTo(asOf: StorePosition): [string, StorePosition][] {
    return [...this.entries].flatMap(([fingerprint, { row }]): [string, StorePosition][] =>
      row === undefined || isAfter(row, asOf) ? [] : [[fingerprint, row]],
    );
  }

  /** Holds that the store is known to have. */
  saved(): [string, SavedHold][] {
    return [...this.entries].filter(([, { saved }]) => saved);
  }

  /** Requests that were let through for as long as they had been held, and no server ended under them. */
  over(nowMs: number): string[] {
    return [...this.entries].filter(([, hold]) => isOver(hold, nowMs)).map(([fingerprint]) => fingerprint);
  }

  private set(fingerprint: string, entry: Entry): void {
    this.entries.set(fingerprint, entry);
    if (this.entries.size <= mostHolds) return;
    const [soonest] = [...this.entries].sort(([, a], [, b]) => a.untilMs - b.untilMs);
    if (soonest !== undefined) this.entries.delete(soonest[0]);
  }
}
