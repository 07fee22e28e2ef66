/** Passes requests on to peers that can connect to the servers, and finds those peers. */
import type * as http from "node:http";
import type { Disposable } from "../../common/disposables.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import { choosePeer } from "../../serving/forwarding.ts";
import { formatEndpoint } from "../../serving/hostSettings.ts";
import type { NodeStatus, Peer } from "../../serving/membership/peerTable.ts";
import { Attempt, type AttemptOptions, type StreamSink } from "./attempt.ts";
import {
  forwardedRequestHeaders,
  RelayedResponseCodec,
  withoutNodeHeaders,
  type RelayedResponse,
} from "./forwardedRequest.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { RequestAgent } from "./requestAgent.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** Idle connections kept per peer, and how long, ms: a peer that lost power doesn't close them. */
const maxIdleConnections = 16;
const idleTimeoutMs = 1_000;

/** What a peer needs to serve the request: a path to one of the servers, or also a share of the slots of a limited one. */
export type PeerNeed = "connected" | "with-slots";

/** Options of a `PeerForwarder`. */
export interface PeerForwarderOptions {
  readonly context: GatewayContext;
  /** Live peers. */
  readonly peers: () => readonly Peer[];
}

/** A request to send to a peer. */
export interface ForwardOptions extends Pick<
  AttemptOptions,
  | "body"
  | "requestId"
  | "sink"
  | "lastDeliveredEvent"
  | "firstByteTimeoutMs"
  | "eventGapTimeoutMs"
  | "responseTimeoutMs"
> {
  readonly peer: NodeStatus;
  readonly caller: CallerConnection;
  readonly service: string;
  /** Time since the request arrived, ms. */
  readonly ageMs: number;
  /** Servers that may have run the request. */
  readonly priorRuns: number;
  readonly resumeAfterEventId: number | undefined;
  /** The software version at which the stream goes on, if it has begun. */
  readonly softwareVersion: string | undefined;
  /** Name of the customer for whom it runs. */
  readonly customer: string | undefined;
  readonly onFirstByte: () => void;
}

/** A request sent to a peer. */
export class ForwardedSend {
  readonly attempt: Attempt;
  private readonly codec: RelayedResponseCodec;
  private announcedRuns = 0;

  constructor(context: GatewayContext, agent: http.Agent, options: ForwardOptions) {
    const { peer, caller, service, ageMs, priorRuns, resumeAfterEventId, ...other } = options;
    const { softwareVersion, customer, onFirstByte, sink, ...rest } = other;
    this.codec = new RelayedResponseCodec(context.codec);
    const sentMs = performance.now();
    const headers = context.codec.relayHeaders(withoutNodeHeaders(caller.rawHeaders), {
      resumeAfterEventId,
      bodyBytes: rest.body?.length,
    });
    headers.push(
      ...forwardedRequestHeaders({
        host: context.host,
        ageMs: Math.ceil(ageMs),
        runs: priorRuns,
        ...(softwareVersion === undefined ? {} : { softwareVersion }),
        ...(customer === undefined ? {} : { customer }),
      }),
    );
    this.attempt = new Attempt(
      {
        ...{ ...rest, headers, agent, codec: this.codec },
        server: { address: formatEndpoint(peer) },
        method: caller.req.method ?? "GET",
        path: caller.req.url ?? "/",
        sink: sink === undefined ? undefined : withoutNodeHeadersIn(sink),
      },
      {
        onConnected: () => undefined,
        onResponse: ({ notice }) => {
          const server = this.response?.server;
          if (server !== undefined) context.notices.recordNotice(server, notice, sentMs, performance.now());
        },
        onFirstByte,
        onProgress: () => undefined,
        onForwarded: () => (this.announcedRuns += 1),
        ...(peer.zone === context.zone
          ? {}
          : {
              onTraffic: (sentBytes, receivedBytes) => {
                context.metrics.recordCrossZone("passed-on-request", sentBytes);
                context.metrics.recordCrossZone("passed-on-response", receivedBytes);
              },
            }),
      },
    );
    void this.attempt.outcome.then(({ kind }) => {
      context.metrics.forwarded.inc({ service, outcome: kind });
    });
  }

  /** Description of the peer's response, once it has arrived. */
  get response(): RelayedResponse | undefined {
    return this.codec.last;
  }

  /** Servers that may have run the request by way of the peer: one at least, unless the peer states otherwise. */
  get runs(): number {
    return Math.max(1, this.announcedRuns);
  }
}

/** Owns the connections for forwarded requests. */
export class PeerForwarder implements Disposable {
  private readonly agent = new RequestAgent({
    ...{ keepAlive: true, maxFreeSockets: maxIdleConnections, timeout: idleTimeoutMs },
  });

  constructor(private readonly options: PeerForwarderOptions) {}

  /** A peer that meets the need, which this node doesn't, for one of the servers. */
  choosePeer(
    servers: readonly BackendServer[],
    need: PeerNeed,
    tried: ReadonlySet<string>,
    { softwareVersion, customer }: Pick<ForwardOptions, "softwareVersion" | "customer">,
  ): NodeStatus | undefined {
    const { context, peers } = this.options;
    const { reachability, fleet, configuration, concurrency, zone } = context;
    const now = performance.now();
    // Builds that don't know of versions would send the stream to any server, others would run it for no customer.
    const able = peers().filter(
      ({ status }) =>
        (softwareVersion === undefined || status.streamVersions === true) &&
        (customer === undefined || status.customers === true),
    );
    const hasSlots = ({ status }: Peer): boolean =>
      servers.some((server) => concurrency.shareOf(server, status.ip, now) > 0);
    return choosePeer({
      peers: need === "with-slots" ? able.filter(hasSlots) : able,
      servers: servers.map(({ id }) => ({
        id,
        failingSinceMs: reachability.failingSinceMs(id) ?? now,
      })),
      reachesNone:
        need === "with-slots" ||
        reachability.summarize(fleet.all().map(({ id }) => id)).noneSinceMs !== undefined,
      zone,
      version: configuration.current?.version ?? 0,
      tried,
      draw: Math.random(),
    });
  }

  /** Sends the request to the peer. */
  send(options: ForwardOptions): ForwardedSend {
    return new ForwardedSend(this.options.context, this.agent, options);
  }

  dispose(): void {
    this.agent.destroy();
  }
}

function withoutNodeHeadersIn(sink: StreamSink): StreamSink {
  return {
    open: (rawHeaders, framed) => {
      sink.open(withoutNodeHeaders(rawHeaders), framed);
    },
    write: (bytes) => sink.write(bytes),
    onDrain: (callback) => {
      sink.onDrain(callback);
    },
  };
}
