/** What an engine reports about its prefix cache, and the interface to read it. */
import type { OrderTarget } from "../orders.ts";

/** A change of one cached prompt part. Events are numbered without gaps within an epoch. */
export interface CacheEvent {
  readonly number: number;
  readonly kind: "cached" | "evicted";
  readonly partId: string;
  /** Tokens of the part that are cached after the change. */
  readonly tokens: number;
  readonly model: string;
}

/** The events after a position. */
export interface CacheEvents {
  /** Changes when the engine restarts. */
  readonly epoch: string;
  /** Position from which to read on. */
  readonly next: number;
  /** Events between the requested position and the first one here are no longer known. */
  readonly lost: boolean;
  readonly events: readonly CacheEvent[];
}

/** A cached prompt part. */
export type CachedPart = Pick<CacheEvent, "partId" | "tokens" | "model">;

/** Everything that an engine has cached. */
export interface CacheListing {
  readonly epoch: string;
  /** Position of the first event that the listing doesn't include. */
  readonly next: number;
  readonly parts: readonly CachedPart[];
}

/** `busy`: the engine has enough readers. `gone`: another incarnation has the address. */
export type CacheReply<T> = { readonly kind: "ok"; readonly value: T } | { readonly kind: "busy" | "gone" };

/** Reads the caches of engines. Promises are rejected if the engine doesn't answer, or not in the expected format. */
export interface CacheEventSource {
  /** Resolves with the events from position `since` on, after at most `waitMs`. */
  events(target: OrderTarget, since: number, waitMs: number): Promise<CacheReply<CacheEvents>>;
  /** Delays the engine's other work, so it is called only after a gap. */
  list(target: OrderTarget): Promise<CacheReply<CacheListing>>;
  /** Breaks off calls in progress. */
  dispose(): void;
}
