/** Passes requests on to peers that can connect to the servers, and finds those peers. */
import * as http from "node:http";
import type { Disposable } from "../common/disposables.ts";
import type { BackendServer } from "../serving/backendServer.ts";
import { choosePeer } from "../serving/forwarding.ts";
import { formatEndpoint } from "../serving/hostSettings.ts";
import type { NodeStatus, Peer } from "../serving/membership/peerTable.ts";
import { Attempt, type AttemptListener, type AttemptOptions, type StreamSink } from "./attempt.ts";
import { RelayedResponseCodec, withoutNodeHeaders, type RelayedResponse } from "./forwardedRequest.ts";
import type { GatewayContext } from "./gatewayContext.ts";

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
export interface PeerSend extends Omit<AttemptOptions, "server" | "agent" | "codec"> {
  readonly peer: NodeStatus;
}

/** An attempt at a peer. */
export interface PeerAttempt {
  readonly attempt: Attempt;
  /** Description of the peer's response, once it has arrived. */
  readonly response: () => RelayedResponse | undefined;
}

/** Owns the connections for forwarded requests. */
export class PeerForwarder implements Disposable {
  private readonly agent = new http.Agent({
    ...{ keepAlive: true, maxFreeSockets: maxIdleConnections, timeout: idleTimeoutMs },
  });

  constructor(private readonly options: PeerForwarderOptions) {}

  /** A peer that meets the need, which this node doesn't, for one of the servers. */
  choosePeer(
    servers: readonly BackendServer[],
    need: PeerNeed,
    tried: ReadonlySet<string>,
  ): NodeStatus | undefined {
    const { context, peers } = this.options;
    const { reachability, fleet, configuration, concurrency, zone } = context;
    const now = performance.now();
    const hasSlots = ({ status }: Peer): boolean =>
      servers.some((server) => concurrency.shareOf(server, status.ip, now) > 0);
    return choosePeer({
      peers: need === "with-slots" ? peers().filter(hasSlots) : peers(),
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
  send({ peer, sink, ...send }: PeerSend, listener: AttemptListener): PeerAttempt {
    const codec = new RelayedResponseCodec(this.options.context.codec);
    const options = {
      ...{ ...send, codec, agent: this.agent, server: { address: formatEndpoint(peer) } },
      sink: sink === undefined ? undefined : withoutNodeHeadersIn(sink),
    };
    return { attempt: new Attempt(options, listener), response: () => codec.last };
  }

  dispose(): void {
    this.agent.destroy();
  }
}

function withoutNodeHeadersIn(sink: StreamSink): StreamSink {
  return {
    open: (rawHeaders) => {
      sink.open(withoutNodeHeaders(rawHeaders));
    },
    write: (bytes) => sink.write(bytes),
    onDrain: (callback) => {
      sink.onDrain(callback);
    },
  };
}
