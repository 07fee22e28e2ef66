/**
 * JSON-RPC 2.0 between our processes (and to the platform stand-in), over HTTP POST `/rpc`.
 * Failures are sent as JSON-RPC errors whose `data` is a `FailureBody`, so that their kind is preserved.
 */
import type * as http from "node:http";
import * as jsonrpc from "json-rpc-2.0";
import * as Schema from "effect/Schema";
import { Failure, toFailure } from "./errors.ts";
import { decode } from "./decode.ts";
import { headerOf, readJson, sendJson } from "./http.ts";

/** A method handler: takes the params and returns a JSON-serializable result. */
export type Handler = (params: unknown) => Promise<unknown>;

/** Serves a table of named handlers. */
export class RpcEndpoint {
  // Failures are returned to the caller and logged by the roles; the library's own console output is disabled.
  private readonly server = new jsonrpc.JSONRPCServer({ errorListener: () => undefined });

  constructor(handlers: Readonly<Record<string, Handler>>) {
    for (const [name, handler] of Object.entries(handlers)) {
      this.server.addMethod(name, async (params: unknown) => {
        try {
          return await handler(params);
        } catch (error) {
          const failure = toFailure(error);
          throw new jsonrpc.JSONRPCErrorException(failure.message, failure.response.status, failure.toBody());
        }
      });
    }
  }

  /** Handles one HTTP request that carries a JSON-RPC call. */
  async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const body = await readJson(req);
    const reply = await this.server.receive(body as jsonrpc.JSONRPCRequest);
    sendJson(res, 200, reply ?? {}, { deflate: headerOf(req, "accept-encoding") === "deflate" });
  }
}

/** Control-plane traffic of one node: calls made, bytes sent and received, summed over its clients. */
export class RpcTraffic {
  calls = 0;
  bytesSent = 0;
  bytesReceived = 0;

  /** Bytes sent and received so far. */
  get bytes(): number {
    return this.bytesSent + this.bytesReceived;
  }
}

/** Options of an `RpcClient`. */
export interface RpcClientOptions {
  /** Counters to which this client adds its calls and bytes; none by default. */
  readonly traffic?: RpcTraffic;
  /** Base URL of the peer, e.g. `http://127.0.0.1:7000`. */
  readonly url: string;
  /** Per-call timeout in ms; on an unresponsive connection the call fails instead of hanging. */
  readonly timeoutMs?: number;
}

const clientDefaults = { timeoutMs: 2000 };

/** Calls a peer's handlers; every failure is thrown as a `Failure` (`platform-unavailable` if unreachable). */
export class RpcClient {
  private readonly endpoint: string;
  private readonly timeoutMs: number;
  private readonly traffic: RpcTraffic;
  private lastId = 0;

  constructor(options: RpcClientOptions) {
    this.endpoint = `${options.url}/rpc`;
    this.timeoutMs = options.timeoutMs ?? clientDefaults.timeoutMs;
    this.traffic = options.traffic ?? new RpcTraffic();
  }

  /** Calls `method` and decodes its result with `schema`. */
  async call<A>(method: string, params: unknown, schema: Schema.Codec<A>): Promise<A> {
    this.lastId += 1;
    const reply = await this.post(jsonrpc.createJSONRPCRequest(this.lastId, method, params));
    if (reply.error !== undefined)
      throw Failure.fromBody(reply.error.data) ?? new Failure("internal", reply.error.message);
    return Schema.decodeUnknownSync(schema)(reply.result);
  }

  /**
   * Sends one request. A refused or unresponsive connection is reported as `platform-unavailable` rather than as an
   * internal error: callers have to distinguish an unreachable peer from a fault of their own (a request whose claim could
   * not be written is "not run").
   */
  private async post(request: jsonrpc.JSONRPCRequest): Promise<jsonrpc.JSONRPCResponse> {
    const body = JSON.stringify(request);
    try {
      const response = await fetch(this.endpoint, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body,
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      const text = await response.text();
      this.traffic.calls += 1;
      this.traffic.bytesSent += Buffer.byteLength(body);
      this.traffic.bytesReceived += Buffer.byteLength(text);
      return JSON.parse(text) as jsonrpc.JSONRPCResponse;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new Failure("platform-unavailable", `${request.method}: ${reason}`);
    }
  }
}

/** Decodes handler params; throws `bad-request` if they are invalid. */
export const decodeParams = decode;
