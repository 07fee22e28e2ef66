/** Passes a request on to a peer that can connect to the servers, and handles the outcome there. */
import type { ErrorKind } from "../../common/errors.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import type { NodeStatus } from "../../serving/membership/peerTable.ts";
import { eventGapTimeoutMs } from "../../serving/sendRules.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { FinalResponse } from "./finalResponse.ts";
import { withoutNodeHeaders, type RelayedResponse } from "./forwardedRequest.ts";
import type { ForwardedSend, PeerForwarder, PeerNeed } from "./peerForwarder.ts";
import type { SendOutcomes } from "./sendOutcomes.ts";
import { responseMarginMs, type ServedRequest } from "./servedRequest.ts";

/** Maximum number of peers to which a request is passed on. */
const maxForwards = 3;
/** Failures of a peer that another one may not have. */
const peerFailures: ReadonlySet<ErrorKind> = new Set([
  "unreachable",
  "overloaded",
  "draining",
  "no-configuration",
  "unknown-route",
]);

/** Options of a `PeerSend`. */
export interface PeerSendOptions {
  readonly request: ServedRequest;
  readonly forwarder: Pick<PeerForwarder, "choosePeer" | "send">;
  readonly outcomes: SendOutcomes;
  readonly final: FinalResponse;
}

/** The sends of one request to peers. */
export class PeerSend {
  private readonly request: ServedRequest;

  constructor(private readonly options: PeerSendOptions) {
    this.request = options.request;
  }

  choosePeer(servers: readonly BackendServer[], need: PeerNeed): NodeStatus | undefined {
    const { triedPeers, stream, customer } = this.request;
    if (triedPeers.size >= maxForwards) return undefined;
    const { softwareVersion } = stream;
    return this.options.forwarder.choosePeer(servers, need, triedPeers, { softwareVersion, customer });
  }

  /** Passes the request on to the peer; returns true if it is to be sent to a server or to another peer. */
  async forward(peer: NodeStatus): Promise<boolean> {
    const { request } = this;
    const { route, caller, body, metadata, deadlines, stream } = request;
    const now = performance.now();
    request.triedPeers.add(peer.ip);
    request.via = peer.host;
    // The peer acquires the run lock of a suspected request itself.
    request.quarantine.dispose();
    const send: ForwardedSend = this.options.forwarder.send({
      ...{ peer, caller, body, requestId: metadata.requestId, service: request.service.name },
      ageMs: now - request.arrivedMs,
      priorRuns: request.possibleRuns,
      // The peer tells other nodes of the stream.
      sink:
        route.kind === "stream" ? stream.sinkOf(() => this.versionBehind(send.response), false) : undefined,
      resumeAfterEventId: request.lastEvent,
      softwareVersion: stream.softwareVersion,
      customer: request.customer,
      lastDeliveredEvent: request.lastEvent ?? metadata.lastEventId,
      // The peer notices an unresponsive server and tries another one, which takes as long again.
      firstByteTimeoutMs: Math.min(
        deadlines.firstByteDeadlineMs - now,
        2 * request.firstByteTimeoutMs(now, route.targetMs, true),
      ),
      eventGapTimeoutMs: eventGapTimeoutMs(route, route.maxAttempts),
      responseTimeoutMs: Math.max(1, deadlines.responseDeadlineMs - now - responseMarginMs),
      onFirstByte: () => {
        request.observeFirstByte();
      },
    });
    request.attempt = send.attempt;
    request.quota?.recordSend();
    const outcome = await send.attempt.outcome;
    request.attempt = undefined;
    request.quota?.recordOutcome(outcome, request.possibleRuns > 0);
    return this.shouldRetry(outcome, send.response, send.runs);
  }

  /** Handles the outcome at a peer after which `runs` servers may have run the request. */
  private shouldRetry(outcome: AttemptOutcome, response: RelayedResponse | undefined, runs: number): boolean {
    const { request } = this;
    const { outcomes, final } = this.options;
    const failure = response?.failure?.kind;
    if (outcome.kind === "unreachable" || (outcome.kind === "not-run" && failure !== undefined))
      return this.shouldRetryUnrun(outcome, failure);
    if (outcome.kind !== "answered") return outcomes.shouldRetry(outcome, runs);
    if (failure === undefined) {
      const { rawHeaders } = outcome.response;
      final.relay({ ...outcome.response, rawHeaders: withoutNodeHeaders(rawHeaders) });
      return false;
    }
    request.lastFailure = `peer ${request.via ?? ""}: ${failure}`;
    request.possibleRuns += runs;
    request.timedOut = failure !== "upstream-failed";
    return outcomes.mayRetry(!request.timedOut && request.mayRunAgain);
  }

  /** Handles a send after which no server ran the request. */
  private shouldRetryUnrun(
    outcome: Extract<AttemptOutcome, { kind: "unreachable" | "not-run" }>,
    failure: ErrorKind | undefined,
  ): boolean {
    const { request } = this;
    const { final } = this.options;
    const reason = outcome.kind === "unreachable" ? outcome.reason : (failure ?? "");
    request.lastFailure = `peer ${request.via ?? ""}: ${reason}`;
    const isPeersOwn = failure === undefined || peerFailures.has(failure);
    if (isPeersOwn && request.triedPeers.size < maxForwards && request.hasTimeLeft()) return true;
    if (request.possibleRuns > 0) return final.giveUp();
    const retryAfterMs = outcome.kind === "not-run" ? outcome.metadata.notice.retryAfterMs : undefined;
    if (retryAfterMs !== undefined) request.refusalRetryS = retryAfterMs / 1000;
    final.refuseNotRun(isPeersOwn ? "unreachable" : failure);
    return false;
  }

  /** The software version of the server that a peer relays; builds that don't state it name the server. */
  private versionBehind(response: RelayedResponse | undefined): string | undefined {
    const server = response?.server;
    if (server === undefined) return undefined;
    return server.softwareVersion ?? this.request.context.fleet.get(server.id)?.softwareVersion;
  }
}
