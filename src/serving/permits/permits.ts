/** This node's permits to send to backend servers that state a rate limit, and the requests that wait for one. */
import { Emitter } from "../../common/emitter.ts";
import type { Disposable } from "../../common/disposables.ts";
import { incarnationOf } from "../backendServer.ts";
import type { Incarnation, ServerNotices } from "../serverNotices.ts";
import { minRatePerS, type PermitRequest } from "./permitIssuer.ts";

/** A permit expires after this time, ms: unused permits must not add up to a burst. */
const permitTtlMs = 1_000;
/** A request sent elsewhere makes a spare permit useful for this long, ms. */
const spareRequestTtlMs = 300;
/** The backlog reported by the issuer is used for this long, ms. */
const backlogTtlMs = 1_000;

interface ServerPermits {
  /** When each unused permit expires, ms, in order. */
  expiresAtMs: number[];
  /** When each waiting request started to wait, ms. */
  readonly waiting: Set<{ readonly sinceMs: number }>;
  spareUntilMs: number;
  /** The last report to the issuer requested a permit. */
  requestReported: boolean;
  /** Requests that waited on all nodes, and when the issuer reported them, ms. */
  backlog: { readonly requests: number; readonly atMs: number } | undefined;
}

/** Permits by server. */
export class Permits {
  /** The permits that this node needs have changed. */
  readonly demandChanged = new Emitter<undefined>();
  private readonly servers = new Map<string, ServerPermits>();

  constructor(private readonly notices: ServerNotices) {}

  /** Whether a request may be sent to the server now. */
  admits(server: Incarnation, nowMs: number): boolean {
    return this.notices.limitPerS(server) === undefined || this.available(incarnationOf(server), nowMs) > 0;
  }

  /** Uses up a permit for a request that is being sent, if the server has a rate limit. */
  consume(server: Incarnation): void {
    if (this.notices.limitPerS(server) !== undefined)
      this.servers.get(incarnationOf(server))?.expiresAtMs.shift();
  }

  /** Counts a request as waiting for a permit of any of the servers, until disposed. */
  wait(servers: readonly Incarnation[], sinceMs: number): Disposable {
    const waiter = { sinceMs };
    const waitingSets = servers.map((server) => this.permitsOf(incarnationOf(server)).waiting);
    for (const waiting of waitingSets) waiting.add(waiter);
    this.demandChanged.fire(undefined);
    return {
      dispose: () => {
        for (const waiting of waitingSets) waiting.delete(waiter);
        this.demandChanged.fire(undefined);
      },
    };
  }

  /** A request was sent elsewhere that these servers could have served. */
  requestSpare(servers: readonly Incarnation[], nowMs: number): void {
    for (const server of servers) {
      const permits = this.permitsOf(incarnationOf(server));
      permits.spareUntilMs = nowMs + spareRequestTtlMs;
      if (!permits.requestReported) this.demandChanged.fire(undefined);
    }
  }

  /** The permit requests to send to the issuers now. */
  collectRequests(nowMs: number): PermitRequest[] {
    return [...this.servers].flatMap(([server, permits]) => {
      const limit = this.notices.observedLimit(server, nowMs);
      const available = this.available(server, nowMs);
      const waiting = Math.max(0, permits.waiting.size - available);
      const spare = available === 0 && permits.spareUntilMs > nowMs;
      const isWanted = waiting > 0 || spare;
      // Also reports that no permit is needed any more, or the issuer would grant one for a request that is gone.
      const mustReport = isWanted || permits.requestReported;
      permits.requestReported = isWanted;
      if (limit?.perS === undefined || !mustReport) return [];
      const sinceMs = Math.min(nowMs, ...[...permits.waiting].map((waiter) => waiter.sinceMs));
      return [{ server, limit, waiting, waitedMs: Math.round(nowMs - sinceMs), spare }];
    });
  }

  /** Adds granted permits of the server, and the number of requests that wait for it on all nodes. */
  addGranted(server: string, permits: number, backlog: number, nowMs: number): void {
    const known = this.permitsOf(server);
    for (let i = 0; i < permits; i += 1) known.expiresAtMs.push(nowMs + permitTtlMs);
    known.backlog = { requests: backlog, atMs: nowMs };
  }

  /** Estimated time until a request that starts to wait now gets a permit of the server, ms. */
  expectedWaitMs(server: Incarnation, nowMs: number): number {
    const perS = this.notices.limitPerS(server);
    if (perS === undefined) return 0;
    const permits = this.servers.get(incarnationOf(server));
    const isFresh = permits?.backlog !== undefined && nowMs - permits.backlog.atMs < backlogTtlMs;
    const ahead = Math.max(permits?.waiting.size ?? 0, isFresh ? (permits.backlog?.requests ?? 0) : 0);
    return (ahead / Math.max(minRatePerS, perS)) * 1000;
  }

  /** Drops the state of servers that are gone. */
  retain(servers: ReadonlySet<string>): void {
    for (const server of this.servers.keys()) if (!servers.has(server)) this.servers.delete(server);
  }

  private available(server: string, nowMs: number): number {
    const permits = this.servers.get(server);
    if (permits === undefined) return 0;
    while ((permits.expiresAtMs[0] ?? Number.POSITIVE_INFINITY) <= nowMs) permits.expiresAtMs.shift();
    return permits.expiresAtMs.length;
  }

  private permitsOf(server: string): ServerPermits {
    const known = this.servers.get(server);
    if (known !== undefined) return known;
    const permits: ServerPermits = {
      expiresAtMs: [],
      waiting: new Set(),
      spareUntilMs: Number.NEGATIVE_INFINITY,
      requestReported: false,
      backlog: undefined,
    };
    this.servers.set(server, permits);
    return permits;
  }
}
