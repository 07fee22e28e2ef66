/** What the reader of an engine has told the other nodes about the engine's cache, and what it tells them next. */
import type { CacheUpdate } from "./cacheMessage.ts";
import { maxEncodedTokens, sequenceModulus } from "./cacheMessage.ts";
import type { EngineCache } from "./engineCache.ts";
import type { SharedParts } from "./sharedParts.ts";

/** Maximum number of shared parts published per engine: the ones cached last. */
export const maxPublishedParts = 400;
/** Maximum number of changes in one update; the others follow in the next ones. */
const maxChangesPerUpdate = 60;
/**
 * An update without changes is sent after this time, ms, as knowledge that isn't renewed expires: two of them may be lost
 * within the time for which it counts as fresh.
 */
const renewalMs = 900;

/** Publication of one engine's cache. */
export class CachePublication {
  private published = new Map<number, number>();
  private publishedComplete: boolean | undefined;
  private sequence = 0;
  /** Revisions of the cache and of the shared parts at which there were no changes left. */
  private comparedAt = "";
  private lastSentMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly server: number,
    private readonly cache: EngineCache,
    private readonly shared: Pick<SharedParts, "has" | "revision">,
  ) {}

  /** The update to send to all nodes now, if any; `heardMs` is when the engine's last answer was received. */
  next(heardMs: number, nowMs: number): CacheUpdate | undefined {
    const isWhole = this.publishedComplete !== this.cache.isComplete;
    const changes = isWhole ? [] : this.changes().slice(0, maxChangesPerUpdate);
    const isRenewalDue = nowMs - this.lastSentMs >= renewalMs && heardMs > this.lastSentMs;
    if (!isWhole && changes.length === 0 && !isRenewalDue) return undefined;
    this.sequence = (this.sequence + 1) % sequenceModulus;
    this.lastSentMs = nowMs;
    this.publishedComplete = this.cache.isComplete;
    if (isWhole) this.published = this.current();
    for (const [key, tokens] of changes) {
      if (tokens === 0) this.published.delete(key);
      else this.published.set(key, tokens);
    }
    const parts = isWhole ? [...this.published] : changes;
    return { ...this.head(heardMs, nowMs), whole: isWhole, parts };
  }

  /** All that was published so far, for a node that lacks it; undefined before the first update. */
  whole(heardMs: number, nowMs: number): CacheUpdate | undefined {
    if (this.publishedComplete === undefined) return undefined;
    return { ...this.head(heardMs, nowMs), whole: true, parts: [...this.published] };
  }

  private head(heardMs: number, nowMs: number): Omit<CacheUpdate, "whole" | "parts"> {
    const { server, sequence } = this;
    return { server, sequence, ageMs: nowMs - heardMs, complete: this.publishedComplete ?? false };
  }

  private changes(): [number, number][] {
    const revisions = `${this.cache.revision} ${this.shared.revision}`;
    if (revisions === this.comparedAt) return [];
    const current = this.current();
    const removed = [...this.published.keys()].filter((key) => !current.has(key));
    const changes = [
      ...removed.map((key): [number, number] => [key, 0]),
      ...[...current].filter(([key, tokens]) => this.published.get(key) !== tokens),
    ];
    if (changes.length <= maxChangesPerUpdate) this.comparedAt = revisions;
    return changes;
  }

  private current(): Map<number, number> {
    const shared = [...this.cache.cached].filter(([key]) => this.shared.has(key)).slice(-maxPublishedParts);
    return new Map(shared.map(([key, tokens]) => [key, Math.min(maxEncodedTokens, tokens)]));
  }
}
