/**
 * Calls between gateway nodes that are too large for a datagram: JSON-RPC 2.0 over HTTP, on the datagrams' port number.
 * Requests that nodes pass on to each other arrive on the same port.
 */
import * as http from "node:http";
import * as rpc from "json-rpc-2.0";
import { Failure, toFailure } from "../../common/errors.ts";
import { bind, close, sendFailure } from "../../common/http.ts";
import { callHttp } from "../../common/httpCall.ts";
import { RpcEndpoint, type Handler } from "../../common/rpc.ts";
import type { Task } from "../../common/supervisor.ts";
import type { Endpoint } from "../../serving/hostSettings.ts";
import { requestHeader } from "../requests/forwardedRequest.ts";
import type { GatewayMetrics } from "../gatewayMetrics.ts";
import type { PeerAddress } from "../../serving/membership/peerTable.ts";
import type { StorePosition } from "../../serving/storePosition.ts";

/** Timeout of one call, ms; an unresponsive connection is abandoned and the next call opens a new one. */
const callTimeoutMs = 500;

/** Maximum size of request headers, bytes: that of callers' requests, and room for the header between nodes. */
const maxHeaderBytes = 66 * 1024;

/** The versions of shared state that a peer knows, as stated in its messages. */
export interface PeerVersions extends PeerAddress {
  readonly host: string;
  readonly boot: number;
  /** Version of its configuration, and the time since which a newer one may have been acknowledged, ms. */
  readonly version: number;
  readonly configurationAgeMs?: number;
  /** Revision of the newest change of servers that it can be asked for. */
  readonly fleetRevision: number;
  /** Store position of the newest change to the quarantine that it knows. */
  readonly quarantinePosition?: StorePosition;
  /** The newest era of the store that it knows. */
  readonly storeEra?: number;
}

/** Serves calls of other nodes and calls them. */
export class PeerCalls implements Task {
  readonly name = "peer-calls";
  private readonly agent = new http.Agent({ keepAlive: true, maxFreeSockets: 1 });
  private readonly newConnections = new http.Agent();
  private readonly server: http.Server;
  private callCount = 0;

  constructor(
    private readonly endpoint: Endpoint,
    private readonly metrics: GatewayMetrics,
    private readonly isInOtherZone: (ip: string) => boolean,
    handlers: Readonly<Record<string, Handler>>,
    handleForwarded: (req: http.IncomingMessage, res: http.ServerResponse) => void,
  ) {
    const rpcEndpoint = new RpcEndpoint(handlers);
    this.server = http.createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true }, (req, res) => {
      if (req.headers[requestHeader] !== undefined) {
        handleForwarded(req, res);
        return;
      }
      rpcEndpoint.handle(req, res).catch((error: unknown) => {
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
    this.newConnections.destroy();
    await close(this.server);
  }

  /** Calls a peer's method, over a new connection if asked to; the result is still to be decoded. */
  async call(
    peer: PeerAddress,
    method: string,
    params: unknown,
    { newConnection = false } = {},
  ): Promise<unknown> {
    this.callCount += 1;
    const body = JSON.stringify(rpc.createJSONRPCRequest(this.callCount, method, params));
    const crossesZone = this.isInOtherZone(peer.ip);
    const reply = await callHttp({
      agent: newConnection ? this.newConnections : this.agent,
      ip: peer.ip,
      port: peer.port,
      method: "POST",
      path: "/rpc",
      // Traffic between zones is paid by the byte.
      ...(crossesZone ? { headers: { "accept-encoding": "deflate" } } : {}),
      body,
      timeoutMs: callTimeoutMs,
    });
    this.metrics.recordPeerMessage(method, reply.bytes);
    if (crossesZone) this.metrics.recordCrossZone(`message:${method}`, body.length + reply.bytes);
    const response = JSON.parse(reply.text) as rpc.JSONRPCResponse;
    if (response.error !== undefined) throw new Failure("upstream-failed", response.error.message);
    return response.result;
  }
}
