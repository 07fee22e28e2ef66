/**
 * Issues permits to send to backend servers that name a rate limit. For each server one node issues them to all, so
 * that the nodes together keep to the limit whatever their number. A server's limit may be below the number of nodes,
 * so equal shares would leave each node less than one request at a time.
 */
import * as Schema from "effect/Schema";
import { TokenBucket } from "../../common/tokenBucket.ts";
import { ObservedRateLimit } from "../serverNotices.ts";

/** What a node wants of one server. */
export const PermitRequest = Schema.Struct({
  /** The server's incarnation. */
  server: Schema.String,
  limit: ObservedRateLimit,
  /** Requests that wait for a permit. */
  waiting: Schema.Number,
  /** For how long the first of them has waited, ms. */
  waitedMs: Schema.Number,
  /** Requests lately sent elsewhere that the server could have served: a permit is of use though nobody waits. */
  spare: Schema.Boolean,
});
/** A decoded ask. */
export type PermitRequest = typeof PermitRequest.Type;

/** Permits for one node. */
export interface Issue {
  readonly node: string;
  readonly permits: number;
}

interface Asker {
  /** Permits still to be issued to it, first for requests that wait. */
  waiting: number;
  spare: boolean;
  readonly sinceMs: number;
  readonly askedMs: number;
}

interface Bucket {
  readonly tokens: TokenBucket;
  perS: number;
  filledMs: number;
  readonly askers: Map<string, Asker>;
}

/** An ask that isn't repeated counts for this long, ms: three periods of asks. */
const askMs = 350;
/** Permits that a server unused for long has saved up: what it takes in this time, s; at least one. */
const burstS = 0.5;
/** Lowest rate used, requests per second: a server that names none at all is still asked whether it does. */
export const leastPerS = 0.1;

/** The permits that this node issues. */
export class PermitIssuer {
  private readonly buckets = new Map<string, Bucket>();

  /** Takes what a node wants of the server, which accepts `perS` requests per second. */
  recordRequest(node: string, ask: PermitRequest, perS: number, nowMs: number): void {
    const bucket = this.bucket(ask.server, perS, nowMs);
    const { waiting, waitedMs, spare } = ask;
    bucket.askers.set(node, { waiting, spare, sinceMs: nowMs - waitedMs, askedMs: nowMs });
  }

  /** Issues the permits that are due at the server: to the node with the longest wait first, spare ones last. */
  issue(server: string, nowMs: number): Issue[] {
    const bucket = this.buckets.get(server);
    if (bucket === undefined) return [];
    fill(bucket, nowMs);
    const issued = new Map<string, number>();
    for (;;) {
      const [node, asker] = nextAsker(bucket, nowMs) ?? [];
      if (node === undefined || asker === undefined || !bucket.tokens.take()) break;
      if (asker.waiting > 0) asker.waiting -= 1;
      else asker.spare = false;
      issued.set(node, (issued.get(node) ?? 0) + 1);
    }
    return [...issued].map(([node, permits]) => ({ node, permits }));
  }

  /** Requests that wait for the server on all nodes, as far as they say. */
  backlog(server: string, nowMs: number): number {
    const askers = freshAskers(this.buckets.get(server), nowMs);
    return askers.reduce((sum, [, { waiting }]) => sum + waiting, 0);
  }

  /** Servers for which somebody wants a permit. */
  requestedServers(nowMs: number): string[] {
    return [...this.buckets].filter(([, bucket]) => nextAsker(bucket, nowMs)).map(([server]) => server);
  }

  /** Until the server's next permit, ms. */
  nextPermitMs(server: string, nowMs: number): number {
    const bucket = this.buckets.get(server);
    if (bucket === undefined) return Number.POSITIVE_INFINITY;
    fill(bucket, nowMs);
    return (bucket.tokens.deficit / bucket.perS) * 1000;
  }

  /** Drops what is kept of servers that are gone. */
  retain(servers: ReadonlySet<string>): void {
    for (const server of this.buckets.keys()) if (!servers.has(server)) this.buckets.delete(server);
  }

  private bucket(server: string, limitPerS: number, nowMs: number): Bucket {
    const perS = Math.max(leastPerS, limitPerS);
    const known = this.buckets.get(server);
    if (known === undefined) {
      // Begins empty: another node may have issued permits until a moment ago.
      const tokens = new TokenBucket(burst(perS), 0);
      const bucket = { tokens, perS, filledMs: nowMs, askers: new Map<string, Asker>() };
      this.buckets.set(server, bucket);
      return bucket;
    }
    if (known.perS !== perS) {
      fill(known, nowMs);
      known.tokens.resize(burst(perS));
      known.perS = perS;
    }
    return known;
  }
}

function burst(perS: number): number {
  return Math.max(1, perS * burstS);
}

function fill(bucket: Bucket, nowMs: number): void {
  bucket.tokens.add(((nowMs - bucket.filledMs) / 1000) * bucket.perS);
  bucket.filledMs = nowMs;
}

function freshAskers(bucket: Bucket | undefined, nowMs: number): [string, Asker][] {
  return [...(bucket?.askers ?? [])].filter(([, { askedMs }]) => nowMs - askedMs < askMs);
}

function nextAsker(bucket: Bucket, nowMs: number): [string, Asker] | undefined {
  const askers = freshAskers(bucket, nowMs);
  const waiting = askers.filter(([, asker]) => asker.waiting > 0);
  return waiting.sort(([, a], [, b]) => a.sinceMs - b.sinceMs)[0] ?? askers.find(([, { spare }]) => spare);
}
