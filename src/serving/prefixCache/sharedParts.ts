/**
 * Which prompt parts several requests share. Engines report all cached parts, and most of them belong to one request or
 * session only; other nodes are told just the shared ones. Nodes tell each other which parts they found to be shared.
 */
import { minPartTokens, type KeyedPart } from "./partKey.ts";

/** Maximum number of parts remembered; the ones that were not seen for longest are dropped. */
const maxShared = 20_000;
const maxSeenOnce = 4_096;
/** Parts waiting to be announced; more are announced when they are seen again after a drop. */
const maxUnannounced = 1_000;
/**
 * Maximum rate and burst of announcements of one node. Load patterns with new shared parts in every request would
 * otherwise fill small links: 30 nodes at this rate send each other 1.7 KB/s.
 */
const announcementsPerS = 10;
const announcementBurst = 40;

/** The shared parts known to one node. */
export class SharedParts {
  /** Keys of shared parts, those seen last at the end. */
  private readonly shared = new Set<number>();
  /** Last parts of prompts, which belong to one request unless they are seen again, with the request's id. */
  private readonly seenOnce = new Map<number, string>();
  private readonly unannounced = new Set<number>();
  private addCount = 0;
  private allowance = announcementBurst;
  private allowanceMs: number | undefined;

  /** Grows with each part that turns out to be shared. */
  get revision(): number {
    return this.addCount;
  }

  has(key: number): boolean {
    return this.shared.has(key);
  }

  /** Notes the parts of a request's prompt. */
  recordRequest(parts: readonly KeyedPart[], requestId: string): void {
    parts.forEach(({ key, tokens }, index) => {
      if (tokens < minPartTokens) return;
      if (this.shared.has(key)) touch(this.shared, key);
      else if (index < parts.length - 1 || this.isSeenAgain(key, requestId)) this.add(key, true);
    });
  }

  /** Notes shared parts that a peer announced. */
  recordAnnounced(keys: readonly number[]): void {
    for (const key of keys) {
      this.add(key, false);
      this.unannounced.delete(key);
    }
  }

  /** Keys to announce to the other nodes now. */
  takeAnnouncements(nowMs: number): number[] {
    const sinceS = (nowMs - (this.allowanceMs ?? nowMs)) / 1000;
    this.allowance = Math.min(announcementBurst, this.allowance + sinceS * announcementsPerS);
    this.allowanceMs = nowMs;
    const keys = [...this.unannounced].slice(0, Math.floor(this.allowance));
    this.allowance -= keys.length;
    for (const key of keys) this.unannounced.delete(key);
    return keys;
  }

  /** Retries and resumed streams have the request id of their first attempt or a new one; only the latter count. */
  private isSeenAgain(key: number, requestId: string): boolean {
    const before = this.seenOnce.get(key);
    if (before !== undefined && before !== requestId) {
      this.seenOnce.delete(key);
      return true;
    }
    this.seenOnce.set(key, requestId);
    dropOldest(this.seenOnce, maxSeenOnce);
    return false;
  }

  private add(key: number, announce: boolean): void {
    if (!this.shared.has(key)) this.addCount += 1;
    touch(this.shared, key);
    dropOldest(this.shared, maxShared);
    if (announce && this.unannounced.size < maxUnannounced) this.unannounced.add(key);
  }
}

function touch(set: Set<number>, key: number): void {
  set.delete(key);
  set.add(key);
}

function dropOldest(keys: Set<number> | Map<number, string>, maxSize: number): void {
  if (keys.size <= maxSize) return;
  const [oldest] = keys.keys();
  if (oldest !== undefined) keys.delete(oldest);
}
