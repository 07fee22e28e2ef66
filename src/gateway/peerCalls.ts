/** Larger messages between gateway nodes: JSON-RPC 2.0 over HTTP, on the same port number as the datagrams. */
import * as http from "node:http";
import * as rpc from "json-rpc-2.0";
import { Failure, toFailure } from "../common/errors.ts";
import { bind, close, sendFailure } from "../common/http.ts";
import { callHttp } from "../common/httpCall.ts";
import { RpcEndpoint, type Handler } from "../common/rpc.ts";
import type { Task } from "../common/supervisor.ts";
import type { Endpoint } from "../serving/hostSettings.ts";
import type { PeerAddress } from "../serving/membership/peerTable.ts";
import type { StorePosition } from "../serving/storePosition.ts";

/** Time limit of one call, ms; a silent connection is given up and the next call opens a new one. */
const callTimeoutMs = 500;

/** What a peer's message says of how much it knows. */
export interface PeerVersions extends PeerAddress {
  readonly host: string;
  readonly boot: number;
  /** Of its configuration. */
  readonly version: number;
  /** Of the newest change of servers that it tells of. */
  readonly fleetRevision: number;
  /** The store's position of the newest change of quarantined requests that it knows. */
  readonly quarantinePosition?: StorePosition;
  /** The newest era of the store that it knows. */
  readonly storeEra?: number;
}

/** Serves and makes calls between nodes. */
export class PeerCalls implements Task {
  readonly name = "peer-calls";
  private readonly agent = new http.Agent({ keepAlive: true, maxFreeSockets: 1 });
  private readonly server: http.Server;
  private calls = 0;

  constructor(
    private readonly endpoint: Endpoint,
    handlers: Readonly<Record<string, Handler>>,
  ) {
    const served = new RpcEndpoint(handlers);
    this.server = http.createServer((req, res) => {
      served.handle(req, res).catch((error: unknown) => {
        sendFailure(res, toFailure(error));
      });
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start(): Promise<void> {
    const { ip, port } = this.endpoint;
    await bind(this.server, ip, port);
  }

  async dispose(): Promise<void> {
    this.agent.destroy();
    await close(this.server);
  }

  /** Calls a peer's method; the result is still to be decoded. */
  async call(peer: PeerAddress, method: string, params: unknown): Promise<unknown> {
    this.calls += 1;
    const reply = await callHttp({
      agent: this.agent,
      ip: peer.ip,
      port: peer.port,
      method: "POST",
      path: "/rpc",
      body: JSON.stringify(rpc.createJSONRPCRequest(this.calls, method, params)),
      timeoutMs: callTimeoutMs,
    });
    const response = JSON.parse(reply.text) as rpc.JSONRPCResponse;
    if (response.error !== undefined) throw new Failure("upstream-failed", response.error.message);
    return response.result;
  }
}
