/**
 * The plain service stand-in process (catalog, weighbridge, slips): `POST /calls/{name}` executes a call and
 * appends it to an execution log (`GET /log`), so that a test can count the executions of each call.
 */
import * as http from "node:http";
import { DisposableStore } from "../common/disposables.ts";
import { Failure } from "../common/errors.ts";
import { headerOf, readJson, serve, sendJson } from "../common/http.ts";
import { createLog } from "../common/log.ts";
import { headers } from "../common/openai.ts";

/** One entry of the execution log. */
export interface Execution {
  readonly call: string;
  readonly idempotencyKey: string | null;
  readonly ticket: string;
  readonly at: number;
}

/** Options of a `ServiceServer`. */
export interface ServiceServerOptions {
  readonly name?: string;
  readonly host?: string;
  readonly port?: number;
  /** Duration of each call, in ms. */
  readonly callMs?: number;
}

const defaults = { name: "service", host: "127.0.0.1", port: 0, callMs: 5 };

/** Serves calls until disposed. */
export class ServiceServer {
  /** Every execution, oldest first. */
  readonly executions: Execution[] = [];
  /** The bound port, after `start`. */
  port = 0;
  private readonly options: typeof defaults;
  private readonly store = new DisposableStore();
  private readonly log;

  constructor(options: ServiceServerOptions = {}) {
    this.options = { ...defaults, ...options };
    this.log = createLog(`service:${this.options.name}`);
  }

  /** Binds and serves; resolves with the port. */
  async start(): Promise<number> {
    const { host, port } = this.options;
    this.port = await serve({ host, port, store: this.store, handle: (req, res) => this.route(req, res) });
    this.log.info({ event: "listening", port: this.port });
    return this.port;
  }

  /** Stops serving. */
  async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private async route(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    if (req.method === "GET" && req.url === "/log") {
      sendJson(res, 200, { executions: this.executions });
      return;
    }
    const match = /^\/calls\/([a-z0-9._-]+)$/.exec(req.url ?? "");
    if (req.method !== "POST" || match?.[1] === undefined) {
      throw new Failure("bad-request", `no route ${req.method ?? ""} ${req.url ?? ""}`);
    }
    const call = match[1];
    const body = await readJson(req);
    await new Promise((resolve) => setTimeout(resolve, this.options.callMs));
    const execution: Execution = {
      call,
      idempotencyKey: headerOf(req, headers.idempotencyKey) ?? null,
      ticket: `${this.options.name}-${call}-${this.executions.length + 1}`,
      at: Date.now(),
    };
    this.executions.push(execution);
    this.log.info({
      event: "executed",
      call,
      ticket: execution.ticket,
      idempotencyKey: execution.idempotencyKey,
    });
    sendJson(res, 200, { ticket: execution.ticket, call, request: body });
  }
}
