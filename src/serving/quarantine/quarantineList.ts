/**
 * Quarantined requests and for how long. Quarantine ends by itself, since the cause may have been fixed in the
 * meantime (by a new version of the server). The first server that then crashes while running the request quarantines
 * it again, for twice as long, so even a request that is retried forever crashes only a few servers.
 */
import { isAfter, laterOf, type StorePosition } from "../storePosition.ts";

/** First time in quarantine, ms: longer than callers retry automatically. */
const firstQuarantineMs = 600_000;
/** Duration of a watch entry, ms: the first quarantine takes twice as long. */
const watchMs = firstQuarantineMs / 2;
/** Longest time in quarantine, ms: a day, within which servers usually get a new version. */
const maxQuarantineMs = 86_400_000;
/** Maximum number of entries; beyond it the entry that ends soonest is dropped. */
const maxEntries = 500;
/**
 * An entry decided by another node is saved by this one if it hasn't been saved for this long, ms: the other node may
 * have died.
 */
const saveTakeoverMs = 1_000;

/** A quarantined request, or one that is watched before or after its quarantine. */
export interface QuarantineEntry {
  /** When the request is released, ms. */
  readonly untilMs: number;
  /** Total time in quarantine, ms. */
  readonly forMs: number;
  /** Incarnations whose crashes led to the entry, so that other nodes don't count them again. */
  readonly ended?: readonly string[] | undefined;
}

/** An entry, and the position of its row in the store. */
export interface SavedEntry extends QuarantineEntry {
  /** Undefined if the store has no row. */
  readonly row: StorePosition | undefined;
}

interface TrackedEntry extends SavedEntry {
  readonly sinceMs: number;
  /** This node decided it. */
  readonly own: boolean;
  /** The store has the same entry. */
  readonly saved: boolean;
}

/** Whether the request stayed out of quarantine for as long as it had been in it, without crashing a server. */
function hasLapsed({ untilMs, forMs }: QuarantineEntry, nowMs: number): boolean {
  return nowMs >= untilMs + forMs;
}

/** Quarantine entries by fingerprint. */
export class QuarantineList {
  private readonly entries = new Map<string, TrackedEntry>();

  get size(): number {
    return this.entries.size;
  }

  /** Whether the request is in quarantine, was until recently, or is watched. */
  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  /** Whether the request is in quarantine or was, rather than only watched. */
  wasQuarantined(fingerprint: string): boolean {
    return (this.entries.get(fingerprint)?.forMs ?? 0) >= firstQuarantineMs;
  }

  /** Incarnations whose crashes led to the entry. */
  crashedIncarnations(fingerprint: string): readonly string[] {
    return this.entries.get(fingerprint)?.ended ?? [];
  }

  /** What is in quarantine now. */
  active(nowMs: number): string[] {
    return [...this.entries].filter(([, { untilMs }]) => untilMs > nowMs).map(([fingerprint]) => fingerprint);
  }

  /** Number of requests in quarantine now. */
  activeCount(nowMs: number): number {
    return [...this.entries.values()].filter(({ untilMs }) => untilMs > nowMs).length;
  }

  /** Time until the request is released, ms; 0 if it may be sent now. */
  timeLeftMs(fingerprint: string, nowMs: number): number {
    return Math.max(0, (this.entries.get(fingerprint)?.untilMs ?? 0) - nowMs);
  }

  /**
   * Adds a watch entry: the next crash quarantines the request, on whichever node it is seen. Crash counts are lost
   * when a node restarts and unknown to nodes that no peer reaches, so each of these would let more servers crash;
   * the watch entry is kept in the store.
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

  /** Quarantines the request from now on, for twice as long as the last time. Returns for how long, ms. */
  quarantine(fingerprint: string, own: boolean, nowMs: number, ended?: readonly string[]): number {
    const known = this.entries.get(fingerprint);
    const forMs = known === undefined ? firstQuarantineMs : Math.min(maxQuarantineMs, known.forMs * 2);
    const row = known?.row;
    this.set(fingerprint, { untilMs: nowMs + forMs, forMs, ended, sinceMs: nowMs, own, row, saved: false });
    return forMs;
  }

  /** Merges an entry of another node, with the position of the store's row if it has one. */
  merge(
    fingerprint: string,
    { untilMs, forMs, ended }: QuarantineEntry,
    row: StorePosition | undefined,
    nowMs: number,
  ): void {
    const known = this.entries.get(fingerprint);
    const newest =
      known?.row === undefined || row === undefined ? (row ?? known?.row) : laterOf(known.row, row);
    // The report of an earlier entry may arrive after that of the next, longer one, which it must not shorten.
    if (known !== undefined && known.forMs > forMs) {
      this.set(fingerprint, { ...known, row: newest });
      return;
    }
    // The store's row holds a different entry than this one, unless both last equally long.
    const same = known?.forMs === forMs ? known : { sinceMs: nowMs, own: false, saved: false };
    const entry = { untilMs, forMs, ended, sinceMs: same.sinceMs, own: same.own, row: newest };
    this.set(fingerprint, { ...entry, saved: same.saved || row !== undefined });
  }

  /** Removes the entry of the request and returns it. */
  remove(fingerprint: string): SavedEntry | undefined {
    const known = this.entries.get(fingerprint);
    this.entries.delete(fingerprint);
    return known;
  }

  /** Entries that this node should write to the store now. */
  unsaved(nowMs: number): [string, SavedEntry][] {
    return [...this.entries].filter(
      ([, { saved, own, sinceMs }]) => !saved && (own || nowMs - sinceMs >= saveTakeoverMs),
    );
  }

  /**
   * The store was restored from a backup that lacks the row, so the row has to be written again: by this node first
   * if `own`, else by any node that finds that none has done it.
   */
  markUnsaved(fingerprint: string, own: boolean, nowMs: number): void {
    const known = this.entries.get(fingerprint);
    if (known === undefined) return;
    this.set(fingerprint, { ...known, row: undefined, saved: false, own, sinceMs: nowMs });
  }

  /** Entries whose rows were written up to `asOf` in the history of the store. */
  writtenUpTo(asOf: StorePosition): [string, StorePosition][] {
    return [...this.entries].flatMap(([fingerprint, { row }]): [string, StorePosition][] =>
      row === undefined || isAfter(row, asOf) ? [] : [[fingerprint, row]],
    );
  }

  /** Entries that the store is known to have. */
  saved(): [string, SavedEntry][] {
    return [...this.entries].filter(([, { saved }]) => saved);
  }

  /** Requests that stayed out of quarantine for as long as they had been in it, without crashing a server. */
  lapsed(nowMs: number): string[] {
    return [...this.entries]
      .filter(([, entry]) => hasLapsed(entry, nowMs))
      .map(([fingerprint]) => fingerprint);
  }

  private set(fingerprint: string, entry: TrackedEntry): void {
    this.entries.set(fingerprint, entry);
    if (this.entries.size <= maxEntries) return;
    const [soonest] = [...this.entries].sort(([, a], [, b]) => a.untilMs - b.untilMs);
    if (soonest !== undefined) this.entries.delete(soonest[0]);
  }
}
