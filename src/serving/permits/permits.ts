/** The permits of this node to send to backend servers that name a rate limit, and the requests that wait for one. */
import { Emitter } from "../../common/emitter.ts";
import type { Disposable } from "../../common/disposables.ts";
import { incarnationOf } from "../backendServer.ts";
import type { Incarnation, ServerNotices } from "../serverNotices.ts";
import { leastPerS, type PermitRequest } from "./permitIssuer.ts";

/** A permit is used within this time or not at all, ms: unused ones must not add up to a burst. */
const permitMs = 1_000;
/** A request sent elsewhere makes a spare permit wanted for this long, ms. */
const spareMs = 300;
/** The issuer's word on the backlog is used for this long, ms. */
const backlogMs = 1_000;

interface ServerPermits {
  /** When each permit in hand expires, ms, in order. */
  expireMs: number[];
  /** When each request that waits began to, ms. */
  readonly waiting: Set<{ readonly sinceMs: number }>;
  spareUntilMs: number;
  /** The issuer was told last that a permit is wanted. */
  toldWanted: boolean;
  /** Requests that waited on all nodes, and when the issuer said so, ms. */
  backlog: { readonly requests: number; readonly atMs: number } | undefined;
}

/** Permits by server. */
export class Permits {
  /** What this node wants has changed. */
  readonly demandChanged = new Emitter<undefined>();
  private readonly servers = new Map<string, ServerPermits>();

  constructor(private readonly notices: ServerNotices) {}

  /** May a request be sent to the server now? */
  admits(server: Incarnation, nowMs: number): boolean {
    return this.notices.limitPerS(server) === undefined || this.inHand(incarnationOf(server), nowMs) > 0;
  }

  /** A request is sent: uses a permit up where the server names a limit. */
  consume(server: Incarnation): void {
    if (this.notices.limitPerS(server) !== undefined)
      this.servers.get(incarnationOf(server))?.expireMs.shift();
  }

  /** Counts a request as waiting for a permit of any of the servers, until disposed. */
  wait(servers: readonly Incarnation[], sinceMs: number): Disposable {
    const waiter = { sinceMs };
    const waitedFor = servers.map((server) => this.of(incarnationOf(server)).waiting);
    for (const waiting of waitedFor) waiting.add(waiter);
    this.demandChanged.fire(undefined);
    return {
      dispose: () => {
        for (const waiting of waitedFor) waiting.delete(waiter);
        this.demandChanged.fire(undefined);
      },
    };
  }

  /** A request was sent elsewhere that these servers could have served. */
  requestSpare(servers: readonly Incarnation[], nowMs: number): void {
    for (const server of servers) {
      const permits = this.of(incarnationOf(server));
      permits.spareUntilMs = nowMs + spareMs;
      if (!permits.toldWanted) this.demandChanged.fire(undefined);
    }
  }

  /** What to ask of the issuers now. */
  collectRequests(nowMs: number): PermitRequest[] {
    return [...this.servers].flatMap(([server, permits]) => {
      const limit = this.notices.observedLimit(server, nowMs);
      const inHand = this.inHand(server, nowMs);
      const waiting = Math.max(0, permits.waiting.size - inHand);
      const spare = inHand === 0 && permits.spareUntilMs > nowMs;
      const isWanted = waiting > 0 || spare;
      // That none is wanted any more is told too: the issuer would give one to a request that has left.
      const isNews = isWanted || permits.toldWanted;
      permits.toldWanted = isWanted;
      if (limit?.perS === undefined || !isNews) return [];
      const sinceMs = Math.min(nowMs, ...[...permits.waiting].map((waiter) => waiter.sinceMs));
      return [{ server, limit, waiting, waitedMs: Math.round(nowMs - sinceMs), spare }];
    });
  }

  /** Takes permits for the server, and the requests that wait for it on all nodes. */
  addGranted(server: string, permits: number, backlog: number, nowMs: number): void {
    const known = this.of(server);
    for (let i = 0; i < permits; i += 1) known.expireMs.push(nowMs + permitMs);
    known.backlog = { requests: backlog, atMs: nowMs };
  }

  /** Until a request that begins to wait now is permitted to go to the server, ms, as far as is known. */
  expectedWaitMs(server: Incarnation, nowMs: number): number {
    const perS = this.notices.limitPerS(server);
    if (perS === undefined) return 0;
    const permits = this.servers.get(incarnationOf(server));
    const isFresh = permits?.backlog !== undefined && nowMs - permits.backlog.atMs < backlogMs;
    const ahead = Math.max(permits?.waiting.size ?? 0, isFresh ? (permits.backlog?.requests ?? 0) : 0);
    return (ahead / Math.max(leastPerS, perS)) * 1000;
  }

  /** Drops what is kept of servers that are gone. */
  retain(servers: ReadonlySet<string>): void {
    for (const server of this.servers.keys()) if (!servers.has(server)) this.servers.delete(server);
  }

  private inHand(server: string, nowMs: number): number {
    const permits = this.servers.get(server);
    if (permits === undefined) return 0;
    while ((permits.expireMs[0] ?? Number.POSITIVE_INFINITY) <= nowMs) permits.expireMs.shift();
    return permits.expireMs.length;
  }

  private of(server: string): ServerPermits {
    const known = this.servers.get(server);
    if (known !== undefined) return known;
    const permits: ServerPermits = {
      expireMs: [],
      waiting: new Set(),
      spareUntilMs: Number.NEGATIVE_INFINITY,
      toldWanted: false,
      backlog: undefined,
    };
    this.servers.set(server, permits);
    return permits;
  }
}
