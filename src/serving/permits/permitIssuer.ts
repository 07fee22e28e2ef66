/**
 * Issues permits to send to backend servers that state a rate limit. For each server one node issues the permits of
 * all nodes, so that together they keep to the limit whatever their number. Equal shares wouldn't work: a server's
 * limit may be below the number of nodes, which would leave each node less than one request at a time.
 */
import * as Schema from "effect/Schema";
import { TokenBucket } from "../../common/tokenBucket.ts";
import { ObservedRateLimit } from "../serverNotices.ts";

/** A node's request for permits of one server. */
export const PermitRequest = Schema.Struct({
  /** The server's incarnation. */
  server: Schema.String,
  limit: ObservedRateLimit,
  /** Requests that wait for a permit. */
  waiting: Schema.Number,
  /** How long the first of them has waited, ms. */
  waitedMs: Schema.Number,
  /**
   * Requests that the server could have served were recently sent elsewhere, so a permit is useful though no request
   * waits.
   */
  spare: Schema.Boolean,
});
/** A decoded permit request. */
export type PermitRequest = typeof PermitRequest.Type;

/** Permits for one node. */
export interface PermitGrant {
  readonly node: string;
  readonly permits: number;
}

interface Requester {
  /** Permits still to be issued to the node, for waiting requests before spare ones. */
  waiting: number;
  spare: boolean;
  readonly sinceMs: number;
  readonly requestedAtMs: number;
}

interface Bucket {
  readonly tokens: TokenBucket;
  perS: number;
  refilledAtMs: number;
  readonly requesters: Map<string, Requester>;
}

/** A permit request expires after this time, ms, unless it is repeated: three request periods. */
const requestTtlMs = 350;
/** Permits that an unused server saves up, as the time in which it accepts that many, s; at least one permit. */
const burstS = 0.5;
/**
 * Lowest rate applied, requests per second: a server that states a limit of 0 is still sent a request now and then,
 * to learn whether the limit still applies.
 */
export const minRatePerS = 0.1;

/** The permits issued by this node. */
export class PermitIssuer {
  private readonly buckets = new Map<string, Bucket>();

  /** Records a node's request for permits of the server, which accepts `perS` requests per second. */
  recordRequest(node: string, request: PermitRequest, perS: number, nowMs: number): void {
    const bucket = this.bucket(request.server, perS, nowMs);
    const { waiting, waitedMs, spare } = request;
    bucket.requesters.set(node, { waiting, spare, sinceMs: nowMs - waitedMs, requestedAtMs: nowMs });
  }

  /** Issues the server's permits that are due: to the node with the longest wait first, spare permits last. */
  issue(server: string, nowMs: number): PermitGrant[] {
    const bucket = this.buckets.get(server);
    if (bucket === undefined) return [];
    refill(bucket, nowMs);
    const issued = new Map<string, number>();
    for (;;) {
      const [node, requester] = nextRequester(bucket, nowMs) ?? [];
      if (node === undefined || requester === undefined || !bucket.tokens.take()) break;
      if (requester.waiting > 0) requester.waiting -= 1;
      else requester.spare = false;
      issued.set(node, (issued.get(node) ?? 0) + 1);
    }
    return [...issued].map(([node, permits]) => ({ node, permits }));
  }

  /** Requests that wait for the server on all nodes, according to their permit requests. */
  backlog(server: string, nowMs: number): number {
    const active = activeRequesters(this.buckets.get(server), nowMs);
    return active.reduce((sum, [, { waiting }]) => sum + waiting, 0);
  }

  /** Servers for which a node requests a permit. */
  requestedServers(nowMs: number): string[] {
    return [...this.buckets].filter(([, bucket]) => nextRequester(bucket, nowMs)).map(([server]) => server);
  }

  /** Time until the server's next permit, ms. */
  nextPermitMs(server: string, nowMs: number): number {
    const bucket = this.buckets.get(server);
    if (bucket === undefined) return Number.POSITIVE_INFINITY;
    refill(bucket, nowMs);
    return (bucket.tokens.deficit / bucket.perS) * 1000;
  }

  /** Drops the state of servers that are gone. */
  retain(servers: ReadonlySet<string>): void {
    for (const server of this.buckets.keys()) if (!servers.has(server)) this.buckets.delete(server);
  }

  private bucket(server: string, limitPerS: number, nowMs: number): Bucket {
    const perS = Math.max(minRatePerS, limitPerS);
    const known = this.buckets.get(server);
    if (known === undefined) {
      // The bucket starts empty: another node may have issued permits until a moment ago.
      const tokens = new TokenBucket(burst(perS), 0);
      const bucket = { tokens, perS, refilledAtMs: nowMs, requesters: new Map<string, Requester>() };
      this.buckets.set(server, bucket);
      return bucket;
    }
    if (known.perS !== perS) {
      refill(known, nowMs);
      known.tokens.resize(burst(perS));
      known.perS = perS;
    }
    return known;
  }
}

function burst(perS: number): number {
  return Math.max(1, perS * burstS);
}

function refill(bucket: Bucket, nowMs: number): void {
  bucket.tokens.add(((nowMs - bucket.refilledAtMs) / 1000) * bucket.perS);
  bucket.refilledAtMs = nowMs;
}

function activeRequesters(bucket: Bucket | undefined, nowMs: number): [string, Requester][] {
  return [...(bucket?.requesters ?? [])].filter(
    ([, { requestedAtMs }]) => nowMs - requestedAtMs < requestTtlMs,
  );
}

function nextRequester(bucket: Bucket, nowMs: number): [string, Requester] | undefined {
  const active = activeRequesters(bucket, nowMs);
  const waiting = active.filter(([, requester]) => requester.waiting > 0);
  return waiting.sort(([, a], [, b]) => a.sinceMs - b.sinceMs)[0] ?? active.find(([, { spare }]) => spare);
}
