/** The cache of one engine incarnation as its reader knows it: applies the engine's events in order. */
import type { CacheEvent, CacheEvents, CacheListing } from "./cacheEvents.ts";
import { minPartTokens, partKey } from "./partKey.ts";

/** Maximum number of parts; an engine with a token memory of a million tokens holds at most this many of 256 tokens. */
const maxParts = 4_096;

/** Why the state was cleared. */
export type CacheGap = "lost" | "epoch";

/** Cached tokens by part key. */
export class EngineCache {
  private readonly parts = new Map<number, number>();
  private epoch: string | undefined;
  /** Number of the last event applied, and by how much the next one may exceed it. */
  private lastNumber = -1;
  private allowedStep = 2;
  private nextPosition = 0;
  private complete = true;
  private changeCount = 0;
  /**
   * By how much a position exceeds the number of the last event before it: 1 or 0. The interface leaves it open, so it is
   * learned from the answers.
   */
  private positionOffset: number | undefined;

  /** Position from which to read events. */
  get since(): number {
    return this.nextPosition;
  }

  /** Whether parts that are not known here aren't cached; false after a gap, until the cache was listed. */
  get isComplete(): boolean {
    return this.complete;
  }

  /** Grows with each change of the state. */
  get revision(): number {
    return this.changeCount;
  }

  /** Cached tokens by part key; the parts cached last are at the end. */
  get cached(): ReadonlyMap<number, number> {
    return this.parts;
  }

  /** Applies the events read from `since`; returns why earlier knowledge was dropped, if it was. */
  apply({ epoch, next, lost, events }: CacheEvents): CacheGap | undefined {
    if (this.epoch !== undefined && epoch !== this.epoch) {
      this.restart(epoch);
      return "epoch";
    }
    this.epoch = epoch;
    // At the first read, `lost` means that the engine has cached parts before the events that it still knows.
    let gap: CacheGap | undefined;
    if (lost) {
      gap = "lost";
      this.clear();
    }
    for (const event of events) {
      if (event.number <= this.lastNumber) continue;
      if (event.number - this.lastNumber > this.allowedStep) {
        gap = "lost";
        this.clear();
      }
      this.lastNumber = event.number;
      this.allowedStep = 1;
      this.applyEvent(event);
    }
    const last = events.at(-1)?.number;
    // More than 1 means that the newest events were lost.
    if (last !== undefined && next - last <= 1)
      this.positionOffset = Math.min(this.positionOffset ?? 1, next - last);
    this.nextPosition = next;
    return gap;
  }

  /** Replaces the state by what the engine lists. */
  applyListing({ epoch, next, parts }: CacheListing): void {
    this.clear();
    this.epoch = epoch;
    this.complete = true;
    this.nextPosition = next;
    this.lastNumber = next - (this.positionOffset ?? 1);
    this.allowedStep = this.positionOffset === undefined ? 2 : 1;
    for (const { model, partId, tokens } of parts) this.set(model, partId, tokens);
  }

  /** Another process has the engine's address: nothing is known until the cache has been listed. */
  forget(): void {
    this.clear();
  }

  /** A restarted engine has nothing cached; its events are read from the first one. */
  private restart(epoch: string): void {
    this.clear();
    this.complete = true;
    this.epoch = epoch;
    this.nextPosition = 0;
    this.allowedStep = 2;
  }

  private clear(): void {
    this.changeCount += 1;
    this.parts.clear();
    this.complete = false;
    this.lastNumber = -1;
    this.allowedStep = Number.POSITIVE_INFINITY;
  }

  private applyEvent({ kind, model, partId, tokens }: CacheEvent): void {
    const known = this.parts.get(partKey(model, partId)) ?? 0;
    // An eviction that leaves as much as was known is of a part of which more was cached than is known here.
    if (kind === "evicted") this.set(model, partId, tokens < known ? tokens : 0);
    else this.set(model, partId, tokens);
  }

  private set(model: string, partId: string, tokens: number): void {
    const key = partKey(model, partId);
    this.changeCount += 1;
    this.parts.delete(key);
    if (tokens < minPartTokens) return;
    this.parts.set(key, tokens);
    if (this.parts.size <= maxParts) return;
    const [oldest] = this.parts.keys();
    if (oldest !== undefined) this.parts.delete(oldest);
  }
}
