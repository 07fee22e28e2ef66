/** Serves one caller request: routing, server selection, sending, retries and the response. */
import { Failure, toFailure, type ErrorKind } from "../../common/errors.ts";
import type { BackendServer } from "../../serving/backendServer.ts";
import { isRepeatable, type Model, type Route, type Service } from "../../serving/configuration.ts";
import { engineWorkMs } from "../../serving/engineSpeed.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { NodeStatus } from "../../serving/membership/peerTable.ts";
import { deadlinesOf, type RequestDeadlines } from "../../serving/requestDeadlines.ts";
import type { RetryBudget } from "../../serving/retryBudget.ts";
import { shouldShed } from "../../serving/overload.ts";
import { firstByteTimeoutMs, eventGapTimeoutMs } from "../../serving/sendRules.ts";
import type { ServerEstimate } from "../../serving/serverChoice.ts";
import type { Attempt, AttemptOutcome, BufferedResponse } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { QuarantineCheck } from "../quarantine/quarantineCheck.ts";
import { withoutNodeHeaders, type RelayedResponse } from "./forwardedRequest.ts";
import type { ForwardedSend, PeerForwarder, PeerNeed } from "./peerForwarder.ts";
import { QuotaCheck } from "./quotaCheck.ts";
import { RequestLog } from "./requestLog.ts";
import { SendRecord, serverErrorStatus } from "./sendRecord.ts";
import { ServerSelector, defaultRetryS } from "./serverSelector.ts";
import { sendToServer } from "./serverSend.ts";
import { adapterKey, demandKey, type PlacementClient, type GatewayContext } from "../gatewayContext.ts";
import type { QuotaAdmission } from "../customers/quotaAdmission.ts";
import type { RunLockTask } from "../quarantine/runLockTask.ts";
import { ResumableStream } from "../streams/resumableStream.ts";
import type { ResolvedRoute, RouteResolver } from "./routeResolver.ts";
import type { StreamVersionClient } from "../streams/streamVersionTask.ts";

/** Refused sends allowed on top of the route's `maxAttempts`; bounds the retries of a request that no server runs. */
const maxExtraRefusedSends = 3;
/** Minimum Retry-After of an overloaded node, s; jittered up to twice as much. */
const overloadRetryAfterS = 0.3;
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
/** Time reserved before the caller's deadline for writing the final response, ms. */
const responseMarginMs = 40;

/** Options of an `Exchange`. */
export interface ExchangeOptions {
  readonly context: GatewayContext;
  readonly placement: PlacementClient;
  readonly routes: Pick<RouteResolver, "resolve">;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly quotas: Pick<QuotaAdmission, "admit">;
  readonly streamVersions: StreamVersionClient;
  readonly budgetFor: (service: string) => RetryBudget;
  readonly caller: CallerConnection;
  readonly forwarder: Pick<PeerForwarder, "choosePeer" | "send">;
  /** Whether to refuse new streams because the node stops before they could complete. */
  readonly shouldRefuseStreams: () => boolean;
  /** Whether to refuse all new requests because the node is about to exit. */
  readonly shouldRefuseAll: () => boolean;
}

/** Serves one request until its final response. */
export class Exchange {
  private readonly context: GatewayContext;
  private readonly caller: CallerConnection;
  /** Earliest possible arrival time, ms. */
  private readonly arrivedMs: number;
  private readonly requestLog: RequestLog;
  /** Start of the wait caused by this node, ms; excludes the time the caller takes to send the body. */
  private waitingSinceMs: number;
  private metadata!: RequestMetadata;
  private resolved!: ResolvedRoute;
  private route!: Route;
  private service!: Service;
  private deadlines!: RequestDeadlines;
  private selector!: ServerSelector;
  private body: Buffer | undefined;
  private quarantine!: QuarantineCheck;
  private record!: SendRecord;
  private quota: QuotaCheck | undefined;
  /** Retry-After, s, where the request is refused regardless of the available servers. */
  private refusalRetryS: number | undefined;
  private sends = 0;
  /** IPs of peers to which the request was passed on; the name of the last one's host. */
  private readonly triedPeers = new Set<string>();
  private via: string | undefined;
  /** Sends after which the server may have run the request. */
  private possibleRuns: number;
  private lastEvent: number | undefined;
  private stream!: ResumableStream;
  private attempt: Attempt | undefined;
  private lastFailure = "";
  private timedOut = false;
  private abandoned = false;
  /** Response to relay if no retry yields a better one. */
  private fallbackResponse: BufferedResponse | undefined;

  constructor(private readonly options: ExchangeOptions) {
    this.context = options.context;
    this.caller = options.caller;
    const { arrivedMs: receivedMs, forwarded } = this.caller;
    this.arrivedMs = receivedMs - (forwarded?.ageMs ?? 0);
    this.possibleRuns = forwarded?.runs ?? 0;
    const maxUnreadMs = performance.now() - receivedMs;
    this.requestLog = new RequestLog(this.context, maxUnreadMs);
    this.waitingSinceMs = receivedMs;
    this.context.metrics.readLag.observe(maxUnreadMs / 1000);
  }

  /** Resolves after the final response; never rejects. */
  async run(): Promise<void> {
    try {
      await this.prepare();
      this.caller.onDisconnect(() => this.attempt?.cancel());
      await this.serve();
    } catch (error) {
      this.refuse(toFailure(error));
    } finally {
      this.caller.onDisconnect(undefined);
      this.quota?.dispose();
      // Undefined if the request was refused before server selection.
      (this.selector as ServerSelector | undefined)?.releaseSlot();
      // Undefined if the request was refused before its body was read.
      (this.quarantine as QuarantineCheck | undefined)?.dispose();
    }
  }

  /**
   * Responds immediately, as the node is about to exit, unless a stream has started. Otherwise a request that still
   * waits, or whose server has not responded, would lose its connection without any response.
   */
  abandon(): void {
    if (this.caller.started) return;
    this.abandoned = true;
    this.attempt?.cancel();
  }

  /** The node exits: breaks off a response in progress. */
  dispose(): void {
    if (this.caller.started) this.caller.abort();
  }

  private async prepare(): Promise<void> {
    const { context } = this;
    const { req, forwarded } = this.caller;
    this.metadata = this.context.codec.readRequest(req.headers);
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const resolved = await this.options.routes.resolve(
      this.metadata,
      path,
      this.arrivedMs,
      forwarded?.customer,
    );
    const { route, service, maxBodyBytes } = resolved;
    this.resolved = resolved;
    this.route = route;
    this.service = service;
    this.deadlines = deadlinesOf(route, this.metadata.deadlineMs, this.arrivedMs);
    if (this.shouldShed()) throw this.overloadedFailure();
    if (this.options.shouldRefuseAll() || (route.kind === "stream" && this.options.shouldRefuseStreams())) {
      throw new Failure("draining", "this node is shutting down; use another address");
    }
    await this.checkQuota(resolved);
    const { streamVersions } = this.options;
    const { caller, metadata } = this;
    this.stream = new ResumableStream({ context, streamVersions, caller, metadata, route, service });
    this.selector = new ServerSelector({
      context: this.context,
      placement: this.options.placement,
      metadata: this.metadata,
      route,
      service,
      priority: resolved.urgency.priority,
      deadlines: this.deadlines,
      arrivedMs: this.arrivedMs,
      softwareVersion: () => this.stream.softwareVersion,
      // A request that is quarantined while it waits is refused immediately.
      isCancelled: () => this.caller.disconnected || this.abandoned || this.quarantine.timeLeftMs > 0,
      mayRun: () => this.quarantine.mayRun,
      awaitLock: () => this.quarantine.awaitLock(),
      releaseLocks: () => {
        this.quarantine.dispose();
      },
      // A request is passed on once: the node that it was passed on to serves or refuses it.
      choosePeer: forwarded === undefined ? (servers, need) => this.choosePeer(servers, need) : undefined,
    });
    if (forwarded === undefined) this.countDemand();
    else this.context.metrics.receivedForwarded.inc({ service: service.name });
    this.body = await this.readBody(maxBodyBytes);
    this.record = new SendRecord({ context, service, metadata: this.metadata, arrivedMs: this.arrivedMs });
    const { runLocks } = this.options;
    this.quarantine = new QuarantineCheck({
      context,
      runLocks,
      req,
      metadata: this.metadata,
      service: service.name,
      body: this.body,
    });
    if (forwarded === undefined) this.options.budgetFor(service.name).deposit();
    await this.stream.findVersion();
  }

  /** Refuses a request beyond the quota of its customer; the node that the caller asked decides. */
  private async checkQuota({ customer, route }: ResolvedRoute): Promise<void> {
    if (customer === undefined || route.open === true || this.caller.forwarded !== undefined) return;
    const { quotas } = this.options;
    this.quota = new QuotaCheck({ quotas, metadata: this.metadata, route, customer: customer.name });
    const outcome = await this.quota.admit();
    if (outcome.kind === "admitted") return;
    this.refusalRetryS = outcome.retryAfterMs / 1000;
    throw new Failure("rate-limited", `not run: customer ${customer.name} is ${outcome.detail}`);
  }

  private async readBody(limit: number): Promise<Buffer | undefined> {
    const body = await this.caller.readBody(limit);
    const { headers } = this.caller.req;
    const framed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    if (!framed) return undefined;
    this.waitingSinceMs = Math.max(this.caller.arrivedMs, this.context.watermark.readUpToMs);
    return body;
  }

  private countDemand(): void {
    const { model, adapter, promptTokens, outputHint, outputTokens, prefix } = this.metadata;
    const { engine } = this.service;
    if (model === undefined || engine === undefined) return;
    const ownTokens = prefix.at(-1)?.tokens ?? promptTokens;
    const output = Math.min(outputTokens, outputHint ?? outputTokens);
    const { prefillFactors, engineSpeed } = this.context;
    const size = { ownTokens, outputTokens: output, prefillFactor: prefillFactors.factorOf(this.model) };
    const workMs = engineWorkMs(size, engineSpeed.stepMs, engine.slots);
    this.context.demand.add(demandKey(this.service.name, model), workMs, this.arrivedMs);
    if (adapter === undefined) return;
    this.context.adapterDemand.add(this.adapterKey(adapter), workMs, this.arrivedMs);
  }

  private adapterKey(adapter: string): string {
    return adapterKey(this.service.name, this.metadata.model ?? "", adapter);
  }

  private async serve(): Promise<void> {
    for (;;) {
      // The caller may have disconnected since the sockets were last read.
      await this.context.watermark.waitUntilCaughtUp();
      if (this.caller.disconnected) {
        this.recordOutcome("caller-left");
        return;
      }
      if (this.refuseIfQuarantined()) return;
      if (!this.hasBeenSent && this.shouldShed()) throw this.overloadedFailure();
      const selection = await this.selector.waitForServer({
        sends: this.sends,
        possibleRuns: this.possibleRuns,
      });
      if (this.caller.disconnected) {
        this.recordOutcome("caller-left");
        return;
      }
      if (this.refuseIfQuarantined()) return;
      if (selection === undefined) {
        if (this.selector.refusal !== "") this.lastFailure = this.selector.refusal;
        this.giveUp();
        return;
      }
      const isRetried =
        selection.kind === "server"
          ? this.shouldRetry(await this.send(selection.candidate))
          : await this.forward(selection.peer);
      if (!isRetried) return;
    }
  }

  /** Whether the request was sent to a server or passed on to a peer, so that it may have run. */
  private get hasBeenSent(): boolean {
    return this.sends > 0 || this.triedPeers.size > 0;
  }

  /** Whether the request has waited too long on this node to still be sent. */
  private shouldShed(): boolean {
    const { firstByteDeadlineMs } = this.deadlines;
    return shouldShed({
      ageMs: performance.now() - this.waitingSinceMs,
      callerTimeoutMs: firstByteDeadlineMs - this.arrivedMs,
      targetMs: this.route.targetMs,
      overloaded: this.context.overloadDetector.overloaded,
    });
  }

  private overloadedFailure(): Failure {
    this.refusalRetryS = overloadRetryAfterS * (1 + Math.random());
    this.context.metrics.shed.inc({ service: this.service.name });
    return new Failure("overloaded", "not run: this node is overloaded; use another node");
  }

  /** Refuses a quarantined request. Checked before each send, also of retries and resumed streams. */
  private refuseIfQuarantined(): boolean {
    const { timeLeftMs } = this.quarantine;
    if (timeLeftMs <= 0) return false;
    this.lastFailure = this.quarantine.reason;
    this.refusalRetryS = timeLeftMs / 1000;
    if (this.possibleRuns > 0) this.giveUp();
    else this.refuse(new Failure("quarantined", `not run: ${this.lastFailure}`));
    return true;
  }

  private choosePeer(servers: readonly BackendServer[], need: PeerNeed): NodeStatus | undefined {
    if (this.triedPeers.size >= maxForwards) return undefined;
    const { softwareVersion } = this.stream;
    const { customer } = this;
    return this.options.forwarder.choosePeer(servers, need, this.triedPeers, { softwareVersion, customer });
  }

  /** Passes the request on to the peer; returns true if it is to be sent to a server or to another peer. */
  private async forward(peer: NodeStatus): Promise<boolean> {
    const { route, caller, body, metadata, deadlines } = this;
    const now = performance.now();
    this.triedPeers.add(peer.ip);
    this.via = peer.host;
    // The peer acquires the run lock of a suspected request itself.
    this.quarantine.dispose();
    const send: ForwardedSend = this.options.forwarder.send({
      ...{ peer, caller, body, requestId: metadata.requestId, service: this.service.name },
      ageMs: now - this.arrivedMs,
      priorRuns: this.possibleRuns,
      // The peer tells other nodes of the stream.
      sink:
        route.kind === "stream"
          ? this.stream.sinkOf(() => this.versionBehind(send.response), false)
          : undefined,
      resumeAfterEventId: this.lastEvent,
      softwareVersion: this.stream.softwareVersion,
      customer: this.customer,
      lastDeliveredEvent: this.lastEvent ?? metadata.lastEventId,
      // The peer notices an unresponsive server and tries another one, which takes as long again.
      firstByteTimeoutMs: Math.min(
        deadlines.firstByteDeadlineMs - now,
        2 * this.firstByteTimeoutMs(now, route.targetMs, true),
      ),
      eventGapTimeoutMs: eventGapTimeoutMs(route, route.maxAttempts),
      responseTimeoutMs: Math.max(1, deadlines.responseDeadlineMs - now - responseMarginMs),
      onFirstByte: () => {
        this.observeFirstByte();
      },
    });
    this.attempt = send.attempt;
    this.quota?.recordSend();
    const outcome = await send.attempt.outcome;
    this.attempt = undefined;
    this.quota?.recordOutcome(outcome, this.possibleRuns > 0);
    return this.shouldRetryForwarded(outcome, send.response, send.runs);
  }

  /** Handles the outcome at a peer after which `runs` servers may have run the request. */
  private shouldRetryForwarded(
    outcome: AttemptOutcome,
    response: RelayedResponse | undefined,
    runs: number,
  ): boolean {
    const failure = response?.failure?.kind;
    if (outcome.kind === "unreachable" || (outcome.kind === "not-run" && failure !== undefined)) {
      const reason = outcome.kind === "unreachable" ? outcome.reason : (failure ?? "");
      this.lastFailure = `peer ${this.via ?? ""}: ${reason}`;
      const isPeersOwn = failure === undefined || peerFailures.has(failure);
      if (isPeersOwn && this.triedPeers.size < maxForwards && this.hasTimeLeft()) return true;
      if (this.possibleRuns > 0) return this.giveUp();
      const retryAfterMs = outcome.kind === "not-run" ? outcome.metadata.notice.retryAfterMs : undefined;
      if (retryAfterMs !== undefined) this.refusalRetryS = retryAfterMs / 1000;
      this.refuseNotRun(isPeersOwn ? "unreachable" : failure);
      return false;
    }
    if (outcome.kind !== "answered") return this.shouldRetry(outcome, runs);
    if (failure === undefined) {
      this.relay({ ...outcome.response, rawHeaders: withoutNodeHeaders(outcome.response.rawHeaders) });
      return false;
    }
    this.lastFailure = `peer ${this.via ?? ""}: ${failure}`;
    this.possibleRuns += runs;
    this.timedOut = failure !== "upstream-failed";
    return this.mayRetry(
      !this.timedOut && isRepeatable(this.route) && this.possibleRuns < this.route.maxAttempts,
    );
  }

  /** The software version of the server that a peer relays; builds that don't state it name the server. */
  private versionBehind(response: RelayedResponse | undefined): string | undefined {
    const server = response?.server;
    if (server === undefined) return undefined;
    return server.softwareVersion ?? this.context.fleet.get(server.id)?.softwareVersion;
  }

  private async send(candidate: ServerEstimate): Promise<AttemptOutcome> {
    const { context, metadata: request, route } = this;
    const now = performance.now();
    const { server } = candidate;
    if (this.sends === 0)
      context.metrics.queued.observe({ service: this.service.name }, (now - this.arrivedMs) / 1000);
    this.sends += 1;
    // A connection that was idle while nothing was heard from any server may be dead, and the request could not be repeated.
    if (!isRepeatable(route) && context.reachability.isQuiet(now)) context.pool.forget(server.id);
    const inFlight = this.record.start(candidate);
    context.reachability.recordSend(server.id, now);
    this.caller.recordSend(server);
    this.quarantine.recordSend();
    const isStream = route.kind === "stream";
    const { responseDeadlineMs } = this.deadlines;
    this.attempt = sendToServer({
      ...{ context, caller: this.caller, metadata: request, service: this.service, candidate },
      ...{ urgency: this.resolved.urgency, customer: this.customer, body: this.body, responseDeadlineMs },
      sink: isStream ? this.stream.sinkOf(() => server.softwareVersion, true) : undefined,
      resumeAfterEventId: this.lastEvent,
      firstByteTimeoutMs: this.firstByteTimeoutMs(now, candidate.expectedMs, this.selector.hasAlternative()),
      eventGapTimeoutMs: eventGapTimeoutMs(route, this.possibleRuns),
      responseTimeoutMs: Math.max(1, responseDeadlineMs - now - responseMarginMs),
      onFirstByte: () => {
        inFlight.started();
        if (isStream) this.quarantine.recordFirstEvent();
        this.observeFirstByte();
      },
    });
    this.quota?.recordSend();
    const outcome = await this.attempt.outcome;
    this.attempt = undefined;
    this.quota?.recordOutcome(outcome, this.possibleRuns > 0);
    inFlight.done();
    context.reachability.recordEnd(server.id);
    this.selector.releaseSlot();
    this.record.recordOutcome(candidate, outcome, now);
    if (outcome.kind === "not-run") this.selector.recordRefusal(server, outcome.metadata);
    else if (outcome.kind === "answered" || outcome.kind === "streamed") this.selector.recordAccepted(server);
    this.quarantine.recordOutcome(candidate.server, outcome, now);
    return outcome;
  }

  private firstByteTimeoutMs(nowMs: number, expectedFirstByteMs: number, hasAlternative: boolean): number {
    const timeLeftMs = this.deadlines.firstByteDeadlineMs - nowMs;
    const { route, possibleRuns: priorRuns } = this;
    return firstByteTimeoutMs({ route, priorRuns, timeLeftMs, expectedFirstByteMs, hasAlternative });
  }

  private observeFirstByte(): void {
    const labels = { kind: this.route.kind, service: this.service.name };
    this.context.metrics.firstByte.observe(labels, (performance.now() - this.arrivedMs) / 1000);
  }

  /** Name of the customer for whom the request runs. */
  private get customer(): string | undefined {
    return this.resolved.customer?.name;
  }

  /** The requested model, if the service runs on engines. */
  private get model(): Model | undefined {
    return this.service.engine?.models.find((m) => m.name === this.metadata.model);
  }

  /**
   * Handles the outcome of a send, after which `runs` servers may have run the request unless it states otherwise; returns
   * true if the request is to be sent again.
   */
  private shouldRetry(outcome: AttemptOutcome, runs = 1): boolean {
    switch (outcome.kind) {
      case "answered":
        return this.onResponse(outcome);
      case "streamed":
        this.caller.finish(outcome.framed);
        this.recordOutcome(outcome.framed ? "ok" : "unframed");
        return false;
      case "cancelled":
        if (!this.abandoned) {
          this.recordOutcome("caller-left");
          return false;
        }
        this.possibleRuns += runs;
        this.timedOut = true;
        this.lastFailure = "this node is shutting down";
        return this.giveUp();
      case "unreachable":
        this.lastFailure = outcome.reason;
        // No request arrived at the server, so sending it elsewhere takes nothing from the retry budget.
        return (this.mayResend && this.hasTimeLeft()) || this.giveUp();
      case "not-run":
        this.lastFailure = `refused ${outcome.metadata.status}`;
        return this.mayRetry(this.mayResend);
      case "timed-out":
        this.possibleRuns += runs;
        this.lastFailure = outcome.reason;
        this.timedOut = true;
        return this.giveUp();
      case "broken":
      case "silent":
        this.possibleRuns += runs;
        this.lastFailure = outcome.reason;
        if (outcome.lastEvent !== undefined && this.caller.started) this.lastEvent = outcome.lastEvent;
        // A started stream without event ids can't be resumed.
        if (this.caller.started && this.lastEvent === undefined) return this.giveUp();
        return this.mayRetry(isRepeatable(this.route) && this.possibleRuns < this.route.maxAttempts);
    }
  }

  private onResponse(outcome: Extract<AttemptOutcome, { kind: "answered" }>): boolean {
    const { response } = outcome;
    if (this.caller.started) return this.giveUp();
    if (this.isUnreliable(response) && isRepeatable(this.route)) {
      this.possibleRuns += 1;
      const canRetry = this.possibleRuns < this.route.maxAttempts && this.selector.hasAlternative();
      if (canRetry && this.hasTimeLeft() && this.options.budgetFor(this.service.name).tryWithdraw()) {
        if (response.metadata.status < serverErrorStatus) this.fallbackResponse = response;
        return true;
      }
    }
    const failed = response.metadata.status >= serverErrorStatus;
    this.relay(failed ? (this.fallbackResponse ?? response) : response);
    return false;
  }

  /** Whether the server failed, or its unframed response may have been truncated unnoticed. */
  private isUnreliable(response: BufferedResponse): boolean {
    return response.metadata.status >= serverErrorStatus || !response.metadata.framed;
  }

  private relay(response: BufferedResponse): void {
    this.caller.relay(response);
    this.recordOutcome(`status-${String(response.metadata.status)}`);
  }

  private get mayResend(): boolean {
    return this.sends < this.route.maxAttempts + maxExtraRefusedSends;
  }

  private mayRetry(allowed: boolean): boolean {
    if (allowed && this.hasTimeLeft() && this.options.budgetFor(this.service.name).tryWithdraw()) return true;
    return this.giveUp();
  }

  private hasTimeLeft(): boolean {
    return this.deadlines.responseDeadlineMs - performance.now() > responseMarginMs;
  }

  /** Sends the final response when no server served the request. */
  private giveUp(): false {
    if (this.caller.disconnected) {
      this.recordOutcome("caller-left");
      return false;
    }
    if (this.fallbackResponse !== undefined && !this.caller.started) {
      this.relay(this.fallbackResponse);
      return false;
    }
    const { target } = this;
    // A node that the request was passed on to states only whether it was run by way of this node.
    if (this.possibleRuns === (this.caller.forwarded?.runs ?? 0)) {
      this.refuseNotRun(
        this.selector.outOfReach ? "unreachable" : this.sends === 0 ? "no-replica" : "not-run",
      );
    } else if (!this.timedOut && this.hasTimeLeft()) {
      this.refuse(new Failure("upstream-failed", `a server of ${target} failed (${this.lastFailure})`));
    } else {
      this.refuse(new Failure("outcome-unknown", `no response from ${target} in time (${this.lastFailure})`));
    }
    return false;
  }

  private refuseNotRun(kind: ErrorKind): void {
    const message = `not run: no server of ${this.target} accepted the request (${this.lastFailure})`;
    this.refuse(new Failure(kind, message));
  }

  private get target(): string {
    const { model } = this.metadata;
    return `${this.service.name}${model === undefined ? "" : ` model ${model}`}`;
  }

  /** Retry-After of a refusal, s; there is no selector if the request was refused before server selection. */
  private get retryAfterS(): number {
    return this.refusalRetryS ?? (this.selector as ServerSelector | undefined)?.retryAfterS ?? defaultRetryS;
  }

  private refuse(failure: Failure): void {
    const { status } = failure.response;
    this.caller.refuse(failure, status === 503 || status === 429 ? this.retryAfterS : undefined);
    this.recordOutcome(failure.kind, failure.message);
  }

  private recordOutcome(outcome: string, detail?: string): void {
    const { sends, via } = this;
    const from = this.caller.forwarded?.host;
    // Undefined if the request was refused before its route was found.
    const resolved = this.resolved as ResolvedRoute | undefined;
    this.requestLog.record(this.metadata, resolved, { outcome, detail, sends, via, from });
  }
}
