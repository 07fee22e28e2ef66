/** The HTTP server that callers connect to. */
import * as http from "node:http";
import type * as net from "node:net";
import { bind, close } from "../common/http.ts";
import type { Task } from "../common/supervisor.ts";
import type { CallerLimits } from "../serving/configuration.ts";
import type { Endpoint } from "../serving/hostSettings.ts";
import { RetryBudget, type BudgetShare } from "../serving/retryBudget.ts";
import { CallerConnection } from "./callerConnection.ts";
import { Exchange } from "./exchange.ts";
import type { PlacementClient, GatewayContext } from "./gatewayContext.ts";
import type { RunLockTask } from "./runLockTask.ts";

/** Largest head of a request Node reads, bytes; callers stay within the configured limit. */
const maxHeaderBytes = 64 * 1024;
/** Idle callers may reuse a connection for four fifths of the idle limit; it is closed this much later, ms. */
const idleMarginMs = 2_000;
/** Limits until a configuration is known. */
const defaultLimits = { headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 };
/** Part of its share of the retry budget that a node begins with; the other tenth of the whole is slack for it. */
const initialFillRatio = 0.1;
/** After a signal to stop, streams that arrive later than this may not end in time and are refused, ms. */
const acceptStreamsMs = 2_500;
/** From this long before its end a stopping node refuses every new request, ms: plain calls in flight finish. */
const refuseAllMs = 1_200;

/** Options of a `CallerServer`. */
export interface CallerServerOptions {
  readonly endpoint: Endpoint;
  readonly context: GatewayContext;
  readonly placement: PlacementClient;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly retryRatio: number;
  /** Retries beyond the ratio that all nodes together may make in a window. */
  readonly retryBurst: number;
  /** Nodes that share the budget. */
  readonly budgetShare: () => BudgetShare;
}

/** When a connection was accepted, and the earliest moment at which it may have come, ms. */
interface AcceptedConnection {
  readonly atMs: number;
  readonly earliestMs: number;
}

/** Accepts requests and runs an exchange for each. */
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

  /** Requests being served. */
  get activeRequests(): number {
    return this.exchanges.size;
  }

  async start(): Promise<void> {
    const { ip, port } = this.options.endpoint;
    await bind(this.server, ip, port);
  }

  /** From now on every answer closes its connection; new requests are still served for a while. */
  startDraining(endMs: number): void {
    this.stopping = { sinceMs: performance.now(), endMs };
  }

  /** Answers what can still be answered, just before the end. */
  abandonAll(): void {
    for (const exchange of this.exchanges) exchange.abandon();
  }

  async dispose(): Promise<void> {
    await close(this.server);
  }

  private applyLimits(limits: Pick<CallerLimits, "headerTimeoutMs" | "idleTimeoutMs">): void {
    this.server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
    // Node counts an unused new connection as a header on its way, so the idle limit bounds this one too.
    this.server.headersTimeout = Math.max(limits.headerTimeoutMs, limits.idleTimeoutMs) + idleMarginMs;
    this.server.requestTimeout = 0;
  }

  private async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const { context, placement, runLocks } = this.options;
    context.watermark.recordRequest();
    const caller = new CallerConnection({
      ...{ req, res, codec: context.codec },
      arrivedMs: this.earliestArrivalMs(req.socket),
      stopping: () => this.stopping !== undefined,
    });
    const exchange = new Exchange({
      context,
      placement,
      runLocks,
      caller,
      budgetFor: (service) => this.budgetFor(service),
      refuseStreams: () =>
        this.stopping !== undefined && performance.now() - this.stopping.sinceMs > acceptStreamsMs,
      refuseAll: () => this.stopping !== undefined && this.stopping.endMs - performance.now() < refuseAllMs,
    });
    this.exchanges.add(exchange);
    try {
      await exchange.run();
      // Guards "the last answers are cut at exit": ended is not yet sent, and a stopping node counts on it.
      await caller.flushed();
    } finally {
      this.exchanges.delete(exchange);
    }
  }

  /**
   * Notes a new connection, or closes it unread where more connections wait than the node can serve: its caller can go to
   * another node at once, and an answer to each would take the time of those that can be served.
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
   * The earliest moment at which what was just read may have arrived. Data that came with a new connection is read a turn
   * of the event loop after the connection was accepted.
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
