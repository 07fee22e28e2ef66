/**
 * The entry node's HTTP API: completions (`/v1/chat/completions`, `/v1/completions`), plain services
 * (`/v1/services/{service}/{call}`), `GET /v1/addresses`, `GET /metrics`. Routes are a lookup table.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import { decode } from "../common/decode.ts";
import { Failure, toFailure } from "../common/errors.ts";
import { headerOf, readJson, sendFailure, sendJson } from "../common/http.ts";
import type { Log } from "../common/log.ts";
import { CompletionRequest, headers } from "../common/openai.ts";
import type { RpcEndpoint } from "../common/rpc.ts";
import type { Completions } from "./completions.ts";
import type { ConfigWatcher, Entitlement } from "./configWatcher.ts";
import type { Membership } from "./membership.ts";
import type { EntryMetrics } from "./metrics.ts";
import type { ServiceCaller } from "./serviceCaller.ts";

/** Options of an `EntryServer`. */
export interface EntryServerOptions {
  readonly config: ConfigWatcher;
  readonly completions: Completions;
  /** Handles RPCs from other entry nodes. */
  readonly rpc: RpcEndpoint;
  readonly services: ServiceCaller;
  readonly membership: Membership;
  readonly metrics: EntryMetrics;
  readonly log: Log;
  /** Default deadline of a request without `x-deadline-ms`, in ms. */
  readonly defaultDeadlineMs: number;
  /** How long callers may cache the address list, in seconds. */
  readonly addressesTtlSeconds: number;
}

type Route = (req: http.IncomingMessage, res: http.ServerResponse, match: RegExpExecArray) => Promise<void>;

/** Serves callers; tracks requests in flight for a graceful drain. */
export class EntryServer {
  /** Requests being served. */
  inFlight = 0;
  draining = false;
  private readonly routes: readonly (readonly [string, RegExp, Route])[];

  constructor(private readonly options: EntryServerOptions) {
    this.routes = [
      ["POST", /^\/v1\/(chat\/)?completions$/, (req, res) => this.completion(req, res)],
      [
        "POST",
        /^\/v1\/services\/([a-z0-9._-]+)\/([a-z0-9._-]+)$/,
        (req, res, m) => this.service(req, res, m),
      ],
      ["GET", /^\/v1\/addresses(\?.*)?$/, (req, res) => this.addresses(req, res)],
      ["GET", /^\/metrics$/, (_req, res) => this.metrics(res)],
      ["POST", /^\/rpc$/, (req, res) => this.options.rpc.handle(req, res)],
      ["GET", /^\/healthz$/, (_req, res) => this.health(res)],
    ];
  }

  /** The request listener for `http.createServer`. */
  readonly listener = (req: http.IncomingMessage, res: http.ServerResponse): void => {
    const found = this.routes
      .map(([method, pattern, route]) => ({ method, match: pattern.exec(req.url ?? ""), route }))
      .find((entry) => entry.method === req.method && entry.match !== null);
    if (found?.match == null) {
      sendFailure(res, new Failure("bad-request", `no route ${req.method ?? ""} ${req.url ?? ""}`));
      return;
    }
    this.inFlight += 1;
    res.on("close", () => {
      this.inFlight -= 1;
    });
    found.route(req, res, found.match).catch((error: unknown) => {
      sendFailure(res, toFailure(error));
    });
  };

  private async completion(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const started = Date.now();
    const requestId = headerOf(req, headers.requestId) ?? crypto.randomUUID();
    const { customer, entitlement } = this.admit(req, requestId);
    const request = decode(CompletionRequest, await readJson(req));
    if (!entitlement.models.has(request.model)) {
      throw new Failure("unknown-model", `${customer}'s templates do not name ${request.model}`, requestId);
    }
    const deadline = started + this.deadlineMs(req);
    const { model } = request;
    try {
      const engine = await this.options.completions.serve({
        requestId,
        entitlement,
        request,
        path: req.url ?? "/v1/chat/completions",
        deadline,
        res,
      });
      this.record(customer, model, "ok", engine.address, Date.now() <= deadline, started);
    } catch (error) {
      const failure = toFailure(error);
      this.record(customer, model, failure.kind, "none", false, started);
      throw new Failure(failure.kind, failure.message, requestId);
    }
  }

  private async service(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    match: RegExpExecArray,
  ): Promise<void> {
    const started = Date.now();
    const requestId = headerOf(req, headers.requestId) ?? crypto.randomUUID();
    const { customer, entitlement } = this.admit(req, requestId);
    const [, serviceName = "", callName = ""] = match;
    const service = entitlement.services.get(serviceName);
    const call = service?.calls.find((candidate) => candidate.name === callName);
    if (service === undefined || call === undefined) {
      throw new Failure(
        "unknown-service",
        `${customer}'s templates do not name ${serviceName}/${callName}`,
        requestId,
      );
    }
    const body = await readJson(req);
    try {
      const result = await this.options.services.run({
        customer,
        service,
        call,
        idempotencyKey: headerOf(req, headers.idempotencyKey),
        requestId,
        body,
        deadline: started + this.deadlineMs(req),
      });
      this.record(customer, `${serviceName}/${callName}`, "ok", null, true, started);
      sendJson(res, 200, result);
    } catch (error) {
      const failure = toFailure(error);
      this.record(customer, `${serviceName}/${callName}`, failure.kind, null, false, started);
      throw failure;
    }
  }

  private addresses(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const zone = new URL(req.url ?? "/", "http://x").searchParams.get("zone") ?? undefined;
    const members = this.options.membership.addresses(zone);
    res.setHeader("cache-control", `max-age=${this.options.addressesTtlSeconds}`);
    sendJson(res, 200, {
      ttlSeconds: this.options.addressesTtlSeconds,
      addresses: members.map((member) => ({ address: member.address, zone: member.zone })),
    });
    return Promise.resolve();
  }

  private health(res: http.ServerResponse): Promise<void> {
    sendJson(res, this.draining ? 503 : 200, { ok: !this.draining });
    return Promise.resolve();
  }

  private async metrics(res: http.ServerResponse): Promise<void> {
    this.options.metrics.configRevision.set(this.options.config.revision);
    const text = await this.options.metrics.registry.metrics();
    res.writeHead(200, { "content-type": this.options.metrics.registry.contentType });
    res.end(text);
  }

  private admit(
    req: http.IncomingMessage,
    requestId: string,
  ): { customer: string; entitlement: Entitlement } {
    // While draining, new requests are rejected at once with a retry hint, so that none is interrupted by the shutdown.
    if (this.draining)
      throw new Failure(
        "draining",
        "this entry node is shutting down; see /v1/addresses for another",
        requestId,
      );
    const bearer = headerOf(req, "authorization")?.replace(/^Bearer\s+/i, "");
    const customer = headerOf(req, headers.customer) ?? bearer ?? "";
    const entitlement = this.options.config.entitlement(customer);
    if (entitlement === undefined) {
      throw new Failure("unknown-customer", `no live template names customer "${customer}"`, requestId);
    }
    return { customer, entitlement };
  }

  private deadlineMs(req: http.IncomingMessage): number {
    const requestedMs = Number(headerOf(req, headers.deadlineMs));
    return Number.isFinite(requestedMs) && requestedMs > 0 ? requestedMs : this.options.defaultDeadlineMs;
  }

  private record(
    customer: string,
    target: string,
    outcome: string,
    engine: string | null,
    met: boolean,
    started: number,
  ): void {
    this.options.metrics.requests.inc({ customer, target, outcome });
    this.options.metrics.latency.observe(
      { kind: engine === null ? "service" : "completion" },
      (Date.now() - started) / 1000,
    );
    if (engine !== null) this.options.metrics.deadlines.inc({ engine, met: String(met) });
  }
}
