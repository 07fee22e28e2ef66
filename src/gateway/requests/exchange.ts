/** Serves one caller request: routing, server selection, sending, retries and the response. */
import { Failure, toFailure } from "../../common/errors.ts";
import { isRepeatable } from "../../serving/configuration.ts";
import { engineWorkMs } from "../../serving/engineSpeed.ts";
import { deadlinesOf } from "../../serving/requestDeadlines.ts";
import type { RunCopy } from "../../serving/exchange.ts";
import type { RetryBudget } from "../../serving/retryBudget.ts";
import { shouldShed } from "../../serving/overload.ts";
import { eventGapTimeoutMs } from "../../serving/sendRules.ts";
import type { ServerEstimate } from "../../serving/serverChoice.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { FinalResponse } from "./finalResponse.ts";
import { QuarantineCheck } from "../quarantine/quarantineCheck.ts";
import type { PeerForwarder } from "./peerForwarder.ts";
import { PeerSend } from "./peerSend.ts";
import { QuotaCheck } from "./quotaCheck.ts";
import { RequestLog } from "./requestLog.ts";
import { SendOutcomes } from "./sendOutcomes.ts";
import { SendRecord } from "./sendRecord.ts";
import { responseMarginMs, ServedRequest } from "./servedRequest.ts";
import { ServerSelector } from "./serverSelector.ts";
import { sendToServer } from "./serverSend.ts";
import { adapterKey, demandKey, type PlacementClient, type GatewayContext } from "../gatewayContext.ts";
import type { QuotaAdmission } from "../customers/quotaAdmission.ts";
import { RunContinuation } from "../runTransfer/runContinuation.ts";
import type { RunLockTask } from "../quarantine/runLockTask.ts";
import { ResumableStream } from "../streams/resumableStream.ts";
import type { ResolvedRoute, RouteResolver } from "./routeResolver.ts";
import type { StreamVersionClient } from "../streams/streamVersionTask.ts";

/** Minimum Retry-After of an overloaded node, s; jittered up to twice as much. */
const overloadRetryAfterS = 0.3;

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
  private readonly request: ServedRequest;
  private readonly final: FinalResponse;
  private readonly outcomes: SendOutcomes;
  private readonly peerSend: PeerSend;
  private readonly runContinuation: RunContinuation;
  /** Start of the wait caused by this node, ms; excludes the time the caller takes to send the body. */
  private waitingSinceMs: number;

  constructor(private readonly options: ExchangeOptions) {
    const { context, caller, forwarder } = options;
    this.context = context;
    this.caller = caller;
    const { arrivedMs: receivedMs } = caller;
    const request = new ServedRequest(options);
    const maxUnreadMs = performance.now() - receivedMs;
    const final = new FinalResponse({ request, requestLog: new RequestLog(context, maxUnreadMs) });
    const outcomes = new SendOutcomes({ request, final });
    this.request = request;
    this.final = final;
    this.outcomes = outcomes;
    this.peerSend = new PeerSend({ request, forwarder, outcomes, final });
    this.runContinuation = new RunContinuation({ request, send: (...args) => this.send(...args) });
    this.waitingSinceMs = receivedMs;
    context.metrics.readLag.observe(maxUnreadMs / 1000);
  }

  /** Resolves after the final response; never rejects. */
  async run(): Promise<void> {
    const { request } = this;
    try {
      await this.prepare();
      this.caller.onDisconnect(() => request.attempt?.cancel());
      await this.serve();
    } catch (error) {
      this.final.refuse(toFailure(error));
    } finally {
      this.caller.onDisconnect(undefined);
      request.quota?.dispose();
      // Undefined if the request was refused before server selection.
      (request.selector as ServerSelector | undefined)?.releaseSlot();
      // Undefined if the request was refused before its body was read.
      (request.quarantine as QuarantineCheck | undefined)?.dispose();
    }
  }

  /**
   * Responds immediately, as the node is about to exit, unless a stream has started. Otherwise a request that still
   * waits, or whose server has not responded, would lose its connection without any response.
   */
  abandon(): void {
    if (this.caller.started) return;
    this.request.abandoned = true;
    this.request.attempt?.cancel();
  }

  /** The node exits: breaks off a response in progress. */
  dispose(): void {
    if (this.caller.started) this.caller.abort();
  }

  private async prepare(): Promise<void> {
    const { context, caller, request } = this;
    const { req, forwarded } = caller;
    const { arrivedMs } = request;
    const metadata = context.codec.readRequest(req.headers);
    request.metadata = metadata;
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const { routes, streamVersions, runLocks } = this.options;
    request.resolved = await routes.resolve(metadata, path, arrivedMs, forwarded?.customer);
    const { route, service } = request;
    request.deadlines = deadlinesOf(route, metadata.deadlineMs, arrivedMs);
    if (this.shouldShed()) throw this.overloadedFailure();
    if (this.options.shouldRefuseAll() || (route.kind === "stream" && this.options.shouldRefuseStreams())) {
      throw new Failure("draining", "this node is shutting down; use another address");
    }
    await this.checkQuota(request.resolved);
    request.stream = new ResumableStream({ context, streamVersions, caller, metadata, route, service });
    request.selector = this.createSelector();
    if (forwarded === undefined) this.countDemand();
    else context.metrics.receivedForwarded.inc({ service: service.name });
    const body = await this.readBody(request.resolved.maxBodyBytes);
    request.body = body;
    request.record = new SendRecord({
      ...{ context, service, metadata, arrivedMs, deadlines: request.deadlines },
      ...{ pauseMs: route.pauseMs, rank: request.resolved.urgency.rank },
    });
    request.quarantine = new QuarantineCheck({
      ...{ context, runLocks, req, metadata, service: service.name, body },
    });
    if (forwarded === undefined) request.budget.deposit();
    await request.stream.findVersion();
  }

  private createSelector(): ServerSelector {
    const { request, caller } = this;
    const { metadata, route, service, resolved, deadlines, arrivedMs } = request;
    const { context, placement } = this.options;
    return new ServerSelector({
      ...{ context, placement, metadata, route, service, deadlines, arrivedMs },
      bodyBytes: () => request.body?.length ?? 0,
      ...resolved.urgency,
      softwareVersion: () => request.stream.softwareVersion,
      // A request that is quarantined while it waits is refused immediately.
      isCancelled: () => caller.disconnected || request.abandoned || request.quarantine.timeLeftMs > 0,
      mayRun: () => request.quarantine.mayRun,
      awaitLock: () => request.quarantine.awaitLock(),
      releaseLocks: () => {
        request.quarantine.dispose();
      },
      // A request is passed on once: the node that it was passed on to serves or refuses it.
      choosePeer:
        caller.forwarded === undefined
          ? (servers, need) => this.peerSend.choosePeer(servers, need)
          : undefined,
    });
  }

  /** Refuses a request beyond the quota of its customer; the node that the caller asked decides. */
  private async checkQuota({ customer, route }: ResolvedRoute): Promise<void> {
    if (customer === undefined || route.open === true || this.caller.forwarded !== undefined) return;
    const { request } = this;
    const { quotas } = this.options;
    request.quota = new QuotaCheck({ quotas, metadata: request.metadata, route, customer: customer.name });
    const outcome = await request.quota.admit();
    if (outcome.kind === "admitted") return;
    request.refusalRetryS = outcome.retryAfterMs / 1000;
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
    const { metadata, service, arrivedMs } = this.request;
    const { model, adapter, promptTokens, outputHint, outputTokens, prefix } = metadata;
    const { engine } = service;
    if (model === undefined || engine === undefined) return;
    const ownTokens = prefix.at(-1)?.tokens ?? promptTokens;
    const output = Math.min(outputTokens, outputHint ?? outputTokens);
    const { prefillFactors, engineSpeed } = this.context;
    const prefillFactor = prefillFactors.factorOf(this.request.model);
    const workMs = engineWorkMs(
      { promptTokens, ownTokens, outputTokens: output, prefillFactor },
      engineSpeed.stepMs,
      engine.slots,
    );
    this.context.demand.add(demandKey(service.name, model), workMs, arrivedMs);
    if (adapter === undefined) return;
    this.context.adapterDemand.add(adapterKey(service.name, model, adapter), workMs, arrivedMs);
  }

  private async serve(): Promise<void> {
    const { request, caller, final } = this;
    for (;;) {
      // The caller may have disconnected since the sockets were last read.
      await this.context.watermark.waitUntilCaughtUp();
      if (caller.disconnected) {
        final.recordOutcome("caller-left");
        return;
      }
      if (this.refuseIfQuarantined()) return;
      if (!request.hasBeenSent && this.shouldShed()) throw this.overloadedFailure();
      const { sends, possibleRuns } = request;
      const selection = await request.selector.waitForServer({ sends, possibleRuns });
      if (caller.disconnected) {
        final.recordOutcome("caller-left");
        return;
      }
      if (this.refuseIfQuarantined()) return;
      if (selection === undefined) {
        if (request.selector.refusal !== "") request.lastFailure = request.selector.refusal;
        final.giveUp();
        return;
      }
      const isRetried =
        selection.kind === "server"
          ? this.outcomes.shouldRetry(
              await this.runContinuation.continueAfter(await this.send(selection.candidate)),
            )
          : await this.peerSend.forward(selection.peer);
      if (!isRetried) return;
    }
  }

  /** Whether the request has waited too long on this node to still be sent. */
  private shouldShed(): boolean {
    const { deadlines, arrivedMs, route } = this.request;
    return shouldShed({
      ageMs: performance.now() - this.waitingSinceMs,
      callerTimeoutMs: deadlines.firstByteDeadlineMs - arrivedMs,
      targetMs: route.targetMs,
      overloaded: this.context.overloadDetector.overloaded,
    });
  }

  private overloadedFailure(): Failure {
    this.request.refusalRetryS = overloadRetryAfterS * (1 + Math.random());
    this.context.metrics.shed.inc({ service: this.request.service.name });
    return new Failure("overloaded", "not run: this node is overloaded; use another node");
  }

  /** Refuses a quarantined request. Checked before each send, also of retries and resumed streams. */
  private refuseIfQuarantined(): boolean {
    const { request, final } = this;
    const { timeLeftMs, reason } = request.quarantine;
    if (timeLeftMs <= 0) return false;
    request.lastFailure = reason;
    request.refusalRetryS = timeLeftMs / 1000;
    if (request.possibleRuns > 0) final.giveUp();
    else final.refuse(new Failure("quarantined", `not run: ${reason}`));
    return true;
  }

  /** With a `copy` the server continues the run that an earlier send began. */
  private async send(candidate: ServerEstimate, copy?: RunCopy): Promise<AttemptOutcome> {
    const { context, request, caller } = this;
    const { metadata, route, service, resolved, customer, body, selector, quarantine, stream } = request;
    const now = performance.now();
    const { server } = candidate;
    if (request.sends === 0)
      context.metrics.queued.observe({ service: service.name }, (now - request.arrivedMs) / 1000);
    if (copy === undefined) request.sends += 1;
    // A connection that was idle while nothing was heard from any server may be dead, and the request could not be repeated.
    if (!isRepeatable(route) && context.reachability.isQuiet(now)) context.pool.forget(server.id);
    const inFlight = request.record.start(candidate);
    context.reachability.recordSend(server.id, now);
    if (copy === undefined) caller.recordSend(server);
    const runSend = this.runContinuation.begin(server);
    quarantine.recordSend();
    const isStream = route.kind === "stream";
    const { responseDeadlineMs } = request.deadlines;
    request.attempt = sendToServer({
      ...{ context, caller, metadata, route, service, candidate },
      ...{ urgency: resolved.urgency, customer, body, responseDeadlineMs },
      sink: isStream ? stream.sinkOf(() => server.softwareVersion, true) : undefined,
      resumeAfterEventId: request.lastEvent,
      ...{ backupTo: runSend.backupTo, continueFrom: copy },
      firstByteTimeoutMs:
        copy === undefined
          ? request.firstByteTimeoutMs(now, candidate.expectedMs, selector.hasAlternative())
          : this.runContinuation.firstByteTimeoutMs,
      eventGapTimeoutMs: eventGapTimeoutMs(route, request.possibleRuns),
      responseTimeoutMs: Math.max(1, responseDeadlineMs - now - responseMarginMs),
      onEventGap: inFlight.eventGap,
      onFirstByte: () => {
        inFlight.started();
        if (isStream) quarantine.recordFirstEvent();
        if (copy === undefined || !caller.started) request.observeFirstByte();
      },
    });
    request.quota?.recordSend();
    const outcome = await runSend.settle(request.attempt);
    request.attempt = undefined;
    request.quota?.recordOutcome(outcome, request.possibleRuns > 0 || copy !== undefined);
    inFlight.done();
    context.reachability.recordEnd(server.id);
    selector.releaseSlot();
    request.record.recordOutcome(candidate, outcome, now);
    // A server that lacks the copy can't continue the run, but takes other requests.
    if (outcome.kind === "not-run" && copy === undefined) selector.recordRefusal(server, outcome.metadata);
    else if (outcome.kind === "answered" || outcome.kind === "streamed") selector.recordAccepted(server);
    quarantine.recordOutcome(server, outcome, now);
    return outcome;
  }
}
