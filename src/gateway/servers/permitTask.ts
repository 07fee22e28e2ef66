/** Requests the permits that this node needs from their issuers, and grants permits to other nodes, by datagram. */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import type { Emitter } from "../../common/emitter.ts";
import type { Log } from "../../common/log.ts";
import type { Task } from "../../common/supervisor.ts";
import type { PeerAddress } from "../../serving/membership/peerTable.ts";
import { PermitRequest, type PermitIssuer } from "../../serving/permits/permitIssuer.ts";
import type { Permits } from "../../serving/permits/permits.ts";
import { ObservedRateLimit, type ServerNotices } from "../../serving/serverNotices.ts";
import type { PeerTask } from "../membership/peerTask.ts";

/** Changes of demand within this time are sent together, ms. */
const batchMs = 10;
/** Minimum time between two permit requests, ms. */
const minRequestIntervalMs = 30;
/** Unmet demand is sent again after this time, ms: datagrams are lost, and the issuer learns that the demand persists. */
const resendMs = 100;
/** Minimum time until permits are granted again, ms. */
const minGrantDelayMs = 5;

const PermitRequestsMessage = Schema.Struct({
  ip: Schema.String,
  port: Schema.Number,
  asks: Schema.Array(PermitRequest),
});

const PermitsMessage = Schema.Struct({
  server: Schema.String,
  permits: Schema.Number,
  /** Requests that wait for the server on all nodes. */
  backlog: Schema.Number,
  limit: ObservedRateLimit,
});
type PermitsMessage = typeof PermitsMessage.Type;

/** Options of a `PermitTask`. */
export interface PermitTaskOptions {
  readonly log: Log;
  readonly self: PeerAddress;
  readonly peers: PeerTask;
  readonly notices: ServerNotices;
  readonly permits: Permits;
  readonly issuer: PermitIssuer;
  /** The node that issues permits for the server. */
  readonly ownerOf: (server: string) => PeerAddress;
  /** Fired when permits arrive or the limit is lifted, as requests may wait for it. */
  readonly granted: Emitter<undefined>;
}

/** Owns the timers of permit requests and of grants. */
export class PermitTask implements Task {
  readonly name = "permits";
  /** Addresses of nodes that requested permits, by IP. */
  private readonly addresses = new Map<string, PeerAddress>();
  private requestTimer: NodeJS.Timeout | undefined;
  private lastRequestMs = Number.NEGATIVE_INFINITY;
  /** The request timer runs for a change of demand, not for a resend. */
  private requestScheduled = false;
  private grantTimer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: PermitTaskOptions) {
    options.permits.demandChanged.on(() => {
      this.scheduleRequest();
    });
    options.peers.handle("permits.ask", (params) => {
      this.onRequests(params);
    });
    options.peers.handle("permits", (params) => {
      this.onPermits(params);
    });
  }

  start(): Promise<void> {
    return Promise.resolve();
  }

  dispose(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.requestTimer);
    clearTimeout(this.grantTimer);
    return Promise.resolve();
  }

  private scheduleRequest(): void {
    if (this.requestScheduled) return;
    this.requestScheduled = true;
    const dueMs = Math.max(batchMs, this.lastRequestMs + minRequestIntervalMs - performance.now());
    this.requestAfter(dueMs);
  }

  private requestAfter(ms: number): void {
    clearTimeout(this.requestTimer);
    this.requestTimer = this.setTimer(ms, () => {
      this.sendRequests();
    });
  }

  private sendRequests(): void {
    this.requestScheduled = false;
    const { permits, peers, self } = this.options;
    const requests = permits.collectRequests(performance.now());
    if (requests.length === 0) return;
    this.lastRequestMs = performance.now();
    for (const { issuer, forIssuer } of this.byIssuer(requests)) {
      if (issuer.ip === self.ip) this.processRequests(self, forIssuer);
      else peers.notifyOne("permits.ask", { ...addressOf(self), asks: forIssuer }, issuer);
    }
    this.requestAfter(resendMs);
  }

  private byIssuer(
    requests: readonly PermitRequest[],
  ): { issuer: PeerAddress; forIssuer: PermitRequest[] }[] {
    const grouped = new Map<string, { issuer: PeerAddress; forIssuer: PermitRequest[] }>();
    for (const request of requests) {
      const issuer = this.options.ownerOf(request.server);
      const group = grouped.get(issuer.ip) ?? { issuer, forIssuer: [] };
      group.forIssuer.push(request);
      grouped.set(issuer.ip, group);
    }
    return [...grouped.values()];
  }

  private onRequests(params: unknown): void {
    decodeEither(PermitRequestsMessage, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ asks, ...node }) => {
        this.processRequests(node, asks);
      });
  }

  private processRequests(node: PeerAddress, requests: readonly PermitRequest[]): void {
    const now = performance.now();
    const { notices } = this.options;
    this.addresses.set(node.ip, node);
    for (const request of requests) {
      notices.applyPeerLimit(request.server, request.limit, now);
      const perS = notices.observedLimit(request.server, now)?.perS;
      // If this node knows that the limit was lifted, the response says so.
      if (perS !== undefined) this.options.issuer.recordRequest(node.ip, request, perS, now);
      const notified = this.grantDue(request.server);
      if (!notified.has(node.ip)) this.sendPermits(node, request.server, 0);
    }
    this.scheduleGrants();
  }

  /** Grants the permits that are due at the server; returns the nodes that were notified. */
  private grantDue(server: string): Set<string> {
    const grants = this.options.issuer.issue(server, performance.now());
    for (const { node, permits } of grants) {
      const address = this.addresses.get(node);
      if (address !== undefined) this.sendPermits(address, server, permits);
    }
    return new Set(grants.map(({ node }) => node));
  }

  private sendPermits(node: PeerAddress, server: string, permits: number): void {
    const now = performance.now();
    const limit = this.options.notices.observedLimit(server, now);
    if (limit === undefined) return;
    const message = { server, permits, backlog: this.options.issuer.backlog(server, now), limit };
    if (node.ip === this.options.self.ip) this.applyPermits(message);
    else this.options.peers.notifyOne("permits", message, node);
  }

  /** Schedules the next grant for when the next requested permit is due. */
  private scheduleGrants(): void {
    clearTimeout(this.grantTimer);
    const now = performance.now();
    const servers = this.options.issuer.requestedServers(now);
    if (servers.length === 0) return;
    const dueMs = Math.min(...servers.map((server) => this.options.issuer.nextPermitMs(server, now)));
    this.grantTimer = this.setTimer(Math.max(minGrantDelayMs, dueMs), () => {
      for (const server of this.options.issuer.requestedServers(performance.now())) this.grantDue(server);
      this.scheduleGrants();
    });
  }

  private onPermits(params: unknown): void {
    decodeEither(PermitsMessage, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((message) => {
        this.applyPermits(message);
      });
  }

  private applyPermits({ server, permits, backlog, limit }: PermitsMessage): void {
    const now = performance.now();
    const { notices, granted } = this.options;
    const wasLifted = notices.applyPeerLimit(server, limit, now) && limit.perS === undefined;
    this.options.permits.addGranted(server, permits, backlog, now);
    if (permits > 0 || wasLifted) granted.fire(undefined);
  }

  private setTimer(ms: number, action: () => void): NodeJS.Timeout | undefined {
    return this.stopped ? undefined : setTimeout(action, ms);
  }
}

function addressOf({ ip, port }: PeerAddress): PeerAddress {
  return { ip, port };
}
