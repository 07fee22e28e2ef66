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

  /** A peer that can connect to one of the servers, none of which this node can connect to. */
  choosePeer(servers: readonly BackendServer[], tried: ReadonlySet<string>): NodeStatus | undefined {
    const { context, peers } = this.options;
    const { reachability, fleet, configuration, zone } = context;
    return choosePeer({
      peers: peers(),
      servers: servers.map(({ id }) => ({
        id,
        failingSinceMs: reachability.failingSinceMs(id) ?? performance.now(),
      })),
      reachesNone: reachability.summarize(fleet.all().map(({ id }) => id)).noneSinceMs !== undefined,
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
