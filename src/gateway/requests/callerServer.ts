/** The HTTP server that callers connect to. */
import * as http from "node:http";
import type * as net from "node:net";
import { bind, close, sendFailure } from "../../common/http.ts";
import type { Task } from "../../common/supervisor.ts";
import type { CallerLimits } from "../../serving/configuration.ts";
import type { Endpoint } from "../../serving/hostSettings.ts";
import { RetryBudget, type BudgetShare } from "../../serving/retryBudget.ts";
import { CallerConnection } from "./callerConnection.ts";
import { decodeForwardedRequest, type ForwardedRequest } from "./forwardedRequest.ts";
import type { PeerForwarder } from "./peerForwarder.ts";
import { Exchange } from "./exchange.ts";
import type { PlacementClient, GatewayContext } from "../gatewayContext.ts";
import type { RouteResolver } from "./routeResolver.ts";
import type { QuotaAdmission } from "../customers/quotaAdmission.ts";
import type { RunLockTask } from "../quarantine/runLockTask.ts";
import type { StreamVersionClient } from "../streams/streamVersionTask.ts";

/** Maximum size of request headers that Node.js accepts, bytes; the configured limit for callers is lower. */
const maxHeaderBytes = 64 * 1024;
/** Idle connections are closed this long after the idle timeout, ms; callers reuse them for 4/5 of the timeout. */
const idleMarginMs = 2_000;
/** Limits until a configuration is loaded. */
const defaultLimits = { headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 };
/** Initial fill of a node's share of the retry budget, covered by the undivided tenth of the whole budget. */
const initialFillRatio = 0.1;
/** Streams that arrive later than this after the stop signal are refused, ms: they may not complete in time. */
const acceptStreamsMs = 2_500;
/** A stopping node refuses all new requests from this long before its exit, ms, so that calls in flight complete. */
const refuseAllMs = 1_200;

/** Options of a `CallerServer`. */
export interface CallerServerOptions {
  readonly endpoint: Endpoint;
  readonly context: GatewayContext;
  readonly placement: PlacementClient;
  readonly routes: RouteResolver;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly quotas: Pick<QuotaAdmission, "admit">;
  readonly streamVersions: StreamVersionClient;
  readonly forwarder: PeerForwarder;
  readonly retryRatio: number;
  /** Retries on top of the ratio that all nodes together may make within a window. */
  readonly retryBurst: number;
  /** This node's share of the fleet-wide budget. */
  readonly budgetShare: () => BudgetShare;
}

/** Accept time of a connection and its earliest possible arrival time, ms. */
interface AcceptedConnection {
  readonly atMs: number;
  readonly earliestMs: number;
}

/** Accepts caller requests and runs an `Exchange` for each. */
export class CallerServer implements Task {
  readonly name = "callers";
  private readonly server: http.Server;
  private readonly budgets = new Map<string, RetryBudget>();
  private stopping: { readonly sinceMs: number; readonly endMs: number } | undefined;
  private readonly exchanges = new Set<Exchange>();
  private readonly accepted = new WeakMap<net.Socket, AcceptedConnection>();

  constructor(private readonly options: CallerServerOptions) {
    this.server = http.createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true }, (req, res) => {
      void this.handle(req, res);
    });
    this.server.prependListener("connection", (socket: net.Socket) => {
      this.accept(socket);
    });
    this.server.on("checkContinue", (req: http.IncomingMessage, res: http.ServerResponse) => {
      res.writeContinue();
      void this.handle(req, res);
    });
    this.applyLimits(defaultLimits);
    options.context.configuration.changed.on((table) => {
      this.applyLimits(table.configuration.limits);
    });
  }

  /** Number of requests being served. */
  get activeRequests(): number {
    return this.exchanges.size;
  }

  async start(): Promise<void> {
    const { ip, port } = this.options.endpoint;
    await bind(this.server, ip, port);
  }

  /** Closes connections with their next response; new requests are still served until shortly before `endMs`. */
  startDraining(endMs: number): void {
    this.stopping = { sinceMs: performance.now(), endMs };
  }

  /** Responds to all waiting requests just before exit. */
  abandonAll(): void {
    for (const exchange of this.exchanges) exchange.abandon();
  }

  /** Serves a request that another node passed on. */
  handleForwarded(req: http.IncomingMessage, res: http.ServerResponse): void {
    decodeForwardedRequest(req.headers)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
        sendFailure(res, failure);
      })
      .ifRight((forwarded) => void this.handle(req, res, forwarded));
  }

  async dispose(): Promise<void> {
    for (const exchange of this.exchanges) exchange.dispose();
    this.options.forwarder.dispose();
    await close(this.server);
  }

  private applyLimits(limits: Pick<CallerLimits, "headerTimeoutMs" | "idleTimeoutMs">): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
    // Node.js applies the headers timeout to new unused connections, so it must not be shorter than the idle timeout.
    this.server.headersTimeout = Math.max(limits.headerTimeoutMs, limits.idleTimeoutMs) + idleMarginMs;
    this.server.requestTimeout = 0;
  }

  private async handle(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    forwarded?: ForwardedRequest,
  ): Promise<void> {
    const { context, placement, routes, runLocks, quotas, streamVersions, forwarder } = this.options;
    context.watermark.recordRequest();
    const caller = new CallerConnection({
      ...{ req, res, codec: context.codec },
      arrivedMs: this.earliestArrivalMs(req.socket),
      forwarded,
      stopping: () => this.stopping !== undefined,
    });
    const exchange = new Exchange({
      context,
      placement,
      routes,
      runLocks,
      quotas,
      streamVersions,
      caller,
      forwarder,
      budgetFor: (service) => this.budgetFor(service),
      shouldRefuseStreams: () =>
        this.stopping !== undefined && performance.now() - this.stopping.sinceMs > acceptStreamsMs,
      shouldRefuseAll: () =>
        this.stopping !== undefined && this.stopping.endMs - performance.now() < refuseAllMs,
    });
    this.exchanges.add(exchange);
    try {
      await exchange.run();
      // An ended response may not be sent yet; a stopping node that exits now would truncate it.
      await caller.flushed();
    } finally {
      this.exchanges.delete(exchange);
    }
  }

  /**
   * Records a new connection, or closes it unread when the accept queue holds more than the node can serve. The caller
   * can go to another node immediately, and responding to each would take CPU time from requests that can be served.
   */
  private accept(socket: net.Socket): void {
    const { watermark, metrics } = this.options.context;
    watermark.recordAcceptedConnection();
    this.accepted.set(socket, { atMs: performance.now(), earliestMs: watermark.acceptedUpToMs });
    if (!watermark.acceptOverloaded) return;
    metrics.closedUnread.inc();
    socket.destroy();
  }

  /**
   * Earliest possible arrival time of the data just read, ms. Data that arrives with a new connection is read one
   * event-loop iteration after the connection was accepted.
   */
  private earliestArrivalMs(socket: net.Socket): number {
    const { readUpToMs } = this.options.context.watermark;
    const accepted = this.accepted.get(socket);
    return accepted === undefined || accepted.atMs <= readUpToMs
      ? readUpToMs
      : Math.min(readUpToMs, accepted.earliestMs);
  }

  private budgetFor(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const { retryRatio, retryBurst, budgetShare } = this.options;
    const budget = new RetryBudget({
      ratio: retryRatio,
      burst: retryBurst,
      budgetShare,
      initialFillRatio,
    });
    this.budgets.set(service, budget);
    return budget;
  }
}
