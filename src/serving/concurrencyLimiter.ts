/**
 * Limits the requests in flight at brittle servers: those that state in their responses that they fail if they have to
 * reject more than a number of requests per second. Their slots are divided among the nodes, so that together they never
 * send more than a server can run, and requests beyond wait on the nodes instead of being rejected.
 */
import { Emitter } from "../common/emitter.ts";
import { incarnationOf, type BackendServer } from "./backendServer.ts";
import { RequestCounter } from "./requestCounter.ts";

/** A server counts as brittle for this long after its last statement, ms. */
const statementTtlMs = 30_000;
/** The shares of the nodes are computed again after this time, ms. */
const sharesTtlMs = 50;
/** Several lost connections to one server within this time count as one failure of it, ms. */
const lossWindowMs = 2_000;
/** Weight of the newest request in the mean duration of requests, and the initial mean, ms. */
const newestWeight = 0.1;
const initialDurationMs = 50;

/** Options of a `ConcurrencyLimiter`. */
export interface ConcurrencyLimiterOptions {
  /** This node's IP. */
  readonly self: string;
  /** IPs of the nodes that can send requests to servers of the service, among them this one if it can. */
  readonly nodes: (service: string) => readonly string[];
  /** The servers of a service. */
  readonly servers: (service: string) => readonly BackendServer[];
}

/** A statement of a server, as sent to peers. */
export interface BrittleStatement {
  readonly incarnation: string;
  readonly service: string;
  /** Rejections per second that the server bears; absent once it doesn't state it any more. */
  readonly rejectionsPerS?: number | undefined;
}

interface StatementRecord extends BrittleStatement {
  readonly atMs: number;
}

interface ServiceRecord {
  meanDurationMs: number;
  shares: { readonly byServer: ReadonlyMap<string, readonly string[]>; readonly atMs: number } | undefined;
}

/** Requests in flight at servers, and their limits. */
export class ConcurrencyLimiter {
  /** A server has become brittle or is no longer; fired for this node's own observations. */
  readonly changed = new Emitter<BrittleStatement>();
  private readonly statements = new Map<string, StatementRecord>();
  private readonly services = new Map<string, ServiceRecord>();
  private readonly inFlight = new RequestCounter();
  private readonly lostMs = new Map<string, number>();

  constructor(private readonly options: ConcurrencyLimiterOptions) {}

  /** Whether any server may be limited. */
  get active(): boolean {
    return this.statements.size > 0;
  }

  /** Records what the response to a request sent at `sentMs` states. */
  recordResponse(
    server: BackendServer,
    rejectionsPerS: number | undefined,
    sentMs: number,
    nowMs: number,
  ): void {
    const { service } = server;
    const incarnation = incarnationOf(server);
    const known = this.statements.get(incarnation);
    if (rejectionsPerS === undefined) {
      if (known === undefined && !this.isServiceBrittle(service, nowMs)) return;
      // Responses may arrive out of order.
      if (known !== undefined && sentMs <= known.atMs) return;
    }
    const statement = { incarnation, service, rejectionsPerS };
    this.statements.set(incarnation, { ...statement, atMs: nowMs });
    if (known?.rejectionsPerS !== rejectionsPerS) this.changed.fire(statement);
  }

  /** Applies what a peer observed. */
  applyPeerStatement(statement: BrittleStatement, nowMs: number): void {
    this.statements.set(statement.incarnation, { ...statement, atMs: nowMs });
  }

  /**
   * Whether the server's requests in flight are limited: because of its own statement or, until it has made one, that of
   * another server of its service.
   */
  isLimited(server: BackendServer, nowMs: number): boolean {
    if (!this.active) return false;
    const own = this.statements.get(incarnationOf(server));
    return own === undefined ? this.isServiceBrittle(server.service, nowMs) : isBrittle(own, nowMs);
  }

  /** Whether this node may send the server another request now. */
  admits(server: BackendServer, nowMs: number): boolean {
    if (!this.isLimited(server, nowMs)) return true;
    return this.inFlight.get(server.id) < this.shareOf(server, this.options.self, nowMs);
  }

  /** How many of the server's slots the node may use. */
  shareOf(server: BackendServer, node: string, nowMs: number): number {
    const owners = this.sharesOf(server.service, nowMs).get(server.id) ?? [];
    const share = Math.floor(server.slots / Math.max(1, owners.length));
    const rest = server.slots - share * owners.length;
    const rank = owners.indexOf(node);
    if (rank < 0) return 0;
    return share + (rank < rest ? 1 : 0);
  }

  /** Counts a request as in flight at the server. */
  start(server: BackendServer): void {
    this.inFlight.add(server.id);
  }

  /** The request has ended after `durationMs`. */
  end(server: BackendServer, durationMs: number): void {
    this.inFlight.remove(server.id);
    const record = this.serviceRecord(server.service);
    record.meanDurationMs += (durationMs - record.meanDurationMs) * newestWeight;
  }

  /** Expected wait until one of the servers has a free slot for a request behind `waiting` others, ms. */
  expectedWaitMs(servers: readonly BackendServer[], waiting: number, nowMs: number): number {
    const [first] = servers;
    if (first === undefined) return Number.POSITIVE_INFINITY;
    const slots = servers.reduce((sum, server) => sum + this.shareOf(server, this.options.self, nowMs), 0);
    return ((waiting + 1) * this.serviceRecord(first.service).meanDurationMs) / slots;
  }

  /** A connection to the server was lost or refused; returns whether this is the first sign that a brittle server failed. */
  recordLoss(server: BackendServer, nowMs: number): boolean {
    if (!this.isLimited(server, nowMs)) return false;
    const isFirst = nowMs - (this.lostMs.get(server.id) ?? Number.NEGATIVE_INFINITY) > lossWindowMs;
    this.lostMs.set(server.id, nowMs);
    return isFirst;
  }

  /** Number of limited servers among the given ones. */
  countLimited(servers: readonly BackendServer[], nowMs: number): number {
    return servers.filter((server) => this.isLimited(server, nowMs)).length;
  }

  /** Drops old statements, and what is known of servers that are gone. */
  retain(serverIds: ReadonlySet<string>, nowMs: number): void {
    for (const [incarnation, { atMs }] of this.statements)
      if (nowMs - atMs >= statementTtlMs) this.statements.delete(incarnation);
    for (const id of this.lostMs.keys()) if (!serverIds.has(id)) this.lostMs.delete(id);
  }

  private isServiceBrittle(service: string, nowMs: number): boolean {
    for (const statement of this.statements.values())
      if (statement.service === service && isBrittle(statement, nowMs)) return true;
    return false;
  }

  /**
   * The nodes in the order in which each server's slots are dealt to them, by server id. Dealing continues with the next
   * server where it stopped, so that all nodes get about the same number of a service's slots.
   */
  private sharesOf(service: string, nowMs: number): ReadonlyMap<string, readonly string[]> {
    const record = this.serviceRecord(service);
    if (record.shares !== undefined && nowMs - record.shares.atMs < sharesTtlMs)
      return record.shares.byServer;
    const nodes = [...this.options.nodes(service)].sort();
    const byServer = new Map<string, readonly string[]>();
    let next = 0;
    for (const { id, slots } of [...this.options.servers(service)].sort((a, b) => (a.id < b.id ? -1 : 1))) {
      byServer.set(id, [...nodes.slice(next), ...nodes.slice(0, next)]);
      if (nodes.length > 0) next = (next + slots) % nodes.length;
    }
    record.shares = { byServer, atMs: nowMs };
    return byServer;
  }

  private serviceRecord(service: string): ServiceRecord {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const record: ServiceRecord = { meanDurationMs: initialDurationMs, shares: undefined };
    this.services.set(service, record);
    return record;
  }
}

function isBrittle({ rejectionsPerS, atMs }: StatementRecord, nowMs: number): boolean {
  return rejectionsPerS !== undefined && nowMs - atMs < statementTtlMs;
}
