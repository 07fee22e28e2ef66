/** Asks the issuers of permits for those that this node wants, and issues permits to other nodes. By datagram. */
import * as Schema from "effect/Schema";
import { decodeEither } from "../common/decode.ts";
import type { Emitter } from "../common/emitter.ts";
import type { Log } from "../common/log.ts";
import type { Task } from "../common/supervisor.ts";
import type { PeerAddress } from "../serving/membership/peerTable.ts";
import { PermitRequest, type PermitIssuer } from "../serving/permits/permitIssuer.ts";
import type { Permits } from "../serving/permits/permits.ts";
import { ObservedRateLimit, type ServerNotices } from "../serving/serverNotices.ts";
import type { PeerTask } from "./peerTask.ts";

/** Wants that change within this time are told together, ms. */
const gatherMs = 10;
/** Shortest time between two asks, ms. */
const leastGapMs = 30;
/** What is still wanted is asked for again after this time, ms: it says that it still is, and datagrams are lost. */
const askAgainMs = 100;
/** Shortest time until permits are issued again, ms. */
const leastDueMs = 5;

const AsksMessage = Schema.Struct({
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
  /** Fired with new permits, as requests may wait for them. */
  readonly granted: Emitter<undefined>;
}

/** Owns the timers of asks and of permits that come due. */
export class PermitTask implements Task {
  readonly name = "permits";
  /** Where nodes that asked are told. */
  private readonly addresses = new Map<string, PeerAddress>();
  private askTimer: NodeJS.Timeout | undefined;
  private askedMs = Number.NEGATIVE_INFINITY;
  /** The timer runs for a change, not for the next repeat. */
  private asksSoon = false;
  private issueTimer: NodeJS.Timeout | undefined;
  private stopped = false;

  constructor(private readonly options: PermitTaskOptions) {
    options.permits.demandChanged.on(() => {
      this.askSoon();
    });
    options.peers.handle("permits.ask", (params) => {
      this.onAsk(params);
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
    clearTimeout(this.askTimer);
    clearTimeout(this.issueTimer);
    return Promise.resolve();
  }

  private askSoon(): void {
    if (this.asksSoon) return;
    this.asksSoon = true;
    const dueMs = Math.max(gatherMs, this.askedMs + leastGapMs - performance.now());
    this.askAfter(dueMs);
  }

  private askAfter(ms: number): void {
    clearTimeout(this.askTimer);
    this.askTimer = this.later(ms, () => {
      this.ask();
    });
  }

  private ask(): void {
    this.asksSoon = false;
    const { permits, peers, self } = this.options;
    const asks = permits.collectRequests(performance.now());
    if (asks.length === 0) return;
    this.askedMs = performance.now();
    for (const { issuer, theirs } of this.byIssuer(asks)) {
      if (issuer.ip === self.ip) this.hear(self, theirs);
      else peers.notifyOne("permits.ask", { ...addressOf(self), asks: theirs }, issuer);
    }
    this.askAfter(askAgainMs);
  }

  private byIssuer(asks: readonly PermitRequest[]): { issuer: PeerAddress; theirs: PermitRequest[] }[] {
    const grouped = new Map<string, { issuer: PeerAddress; theirs: PermitRequest[] }>();
    for (const ask of asks) {
      const issuer = this.options.ownerOf(ask.server);
      const group = grouped.get(issuer.ip) ?? { issuer, theirs: [] };
      group.theirs.push(ask);
      grouped.set(issuer.ip, group);
    }
    return [...grouped.values()];
  }

  private onAsk(params: unknown): void {
    decodeEither(AsksMessage, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ asks, ...node }) => {
        this.hear(node, asks);
      });
  }

  private hear(node: PeerAddress, asks: readonly PermitRequest[]): void {
    const now = performance.now();
    const { notices } = this.options;
    this.addresses.set(node.ip, node);
    for (const ask of asks) {
      notices.applyPeerLimit(ask.server, ask.limit, now);
      const perS = notices.observedLimit(ask.server, now)?.perS;
      // Where this node knows better that the limit was lifted, the answer says so.
      if (perS !== undefined) this.options.issuer.recordRequest(node.ip, ask, perS, now);
      const told = this.issue(ask.server);
      if (!told.has(node.ip)) this.tell(node, ask.server, 0);
    }
    this.schedule();
  }

  /** Issues what is due at the server; the nodes that were told. */
  private issue(server: string): Set<string> {
    const issues = this.options.issuer.issue(server, performance.now());
    for (const { node, permits } of issues) {
      const address = this.addresses.get(node);
      if (address !== undefined) this.tell(address, server, permits);
    }
    return new Set(issues.map(({ node }) => node));
  }

  private tell(node: PeerAddress, server: string, permits: number): void {
    const now = performance.now();
    const limit = this.options.notices.observedLimit(server, now);
    if (limit === undefined) return;
    const message = { server, permits, backlog: this.options.issuer.backlog(server, now), limit };
    if (node.ip === this.options.self.ip) this.take(message);
    else this.options.peers.notifyOne("permits", message, node);
  }

  /** Issues again when the next permit that somebody wants is due. */
  private schedule(): void {
    clearTimeout(this.issueTimer);
    const now = performance.now();
    const asked = this.options.issuer.requestedServers(now);
    if (asked.length === 0) return;
    const dueMs = Math.min(...asked.map((server) => this.options.issuer.nextPermitMs(server, now)));
    this.issueTimer = this.later(Math.max(leastDueMs, dueMs), () => {
      for (const server of this.options.issuer.requestedServers(performance.now())) this.issue(server);
      this.schedule();
    });
  }

  private onPermits(params: unknown): void {
    decodeEither(PermitsMessage, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((message) => {
        this.take(message);
      });
  }

  private take({ server, permits, backlog, limit }: PermitsMessage): void {
    const now = performance.now();
    const { notices, granted } = this.options;
    const wasLifted = notices.applyPeerLimit(server, limit, now) && limit.perS === undefined;
    this.options.permits.addGranted(server, permits, backlog, now);
    if (permits > 0 || wasLifted) granted.fire(undefined);
  }

  private later(ms: number, action: () => void): NodeJS.Timeout | undefined {
    return this.stopped ? undefined : setTimeout(action, ms);
  }
}

function addressOf({ ip, port }: PeerAddress): PeerAddress {
  return { ip, port };
}
