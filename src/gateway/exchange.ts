/** Serves one caller request: routing, server selection, sending, retries and the response. */
import { Failure, toFailure, type ErrorKind } from "../common/errors.ts";
import { isRepeatable, type Model, type Route, type Service } from "../serving/configuration.ts";
import { engineWorkMs } from "../serving/engineSpeed.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import { deadlinesOf, type RequestDeadlines } from "../serving/requestDeadlines.ts";
import type { RetryBudget } from "../serving/retryBudget.ts";
import { shouldShed } from "../serving/overload.ts";
import { firstByteTimeoutMs, eventGapTimeoutMs } from "../serving/sendRules.ts";
import type { ServerEstimate } from "../serving/serverChoice.ts";
import { Attempt, type AttemptOutcome, type BufferedResponse } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { QuarantineCheck } from "./quarantineCheck.ts";
import { SendRecord, serverErrorStatus } from "./sendRecord.ts";
import { ServerSelector, defaultRetryS } from "./serverSelector.ts";
import { adapterKey, demandKey, type PlacementClient, type GatewayContext } from "./gatewayContext.ts";
import type { RunLockTask } from "./runLockTask.ts";

/** Refused sends allowed on top of the route's `maxAttempts`; bounds the retries of a request that no server runs. */
const maxExtraRefusedSends = 3;
/** A request that may have been unread in the socket buffer for longer than this is logged as read late, ms. */
const lateReadThresholdMs = 100;
/** Minimum Retry-After of an overloaded node, s; jittered up to twice as much. */
const overloadRetryAfterS = 0.3;
/** Time reserved before the caller's deadline for writing the final response, ms. */
const responseMarginMs = 40;

/** Options of an `Exchange`. */
export interface ExchangeOptions {
  readonly context: GatewayContext;
  readonly placement: PlacementClient;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly budgetFor: (service: string) => RetryBudget;
  readonly caller: CallerConnection;
  /** Whether to refuse new streams because the node stops before they could complete. */
  readonly shouldRefuseStreams: () => boolean;
  /** Whether to refuse all new requests because the node is about to exit. */
  readonly shouldRefuseAll: () => boolean;
}

/** Serves one request until its final response. */
export class Exchange {
  private readonly context: GatewayContext;
  private readonly caller: CallerConnection;
  /** Earliest possible arrival time, and the longest time the request may have been unread in the socket buffer, ms. */
  private readonly arrivedMs: number;
  private readonly maxUnreadMs: number;
  private readonly readAtMs = performance.now();
  /** Start of the wait caused by this node, ms; excludes the time the caller takes to send the body. */
  private waitingSinceMs: number;
  private metadata!: RequestMetadata;
  private route!: Route;
  private service!: Service;
  private deadlines!: RequestDeadlines;
  private selector!: ServerSelector;
  private body: Buffer | undefined;
  private quarantine!: QuarantineCheck;
  private record!: SendRecord;
  /** Retry-After, s, where the request is refused regardless of the available servers. */
  private refusalRetryS: number | undefined;
  private sends = 0;
  /** Sends after which the server may have run the request. */
  private possibleRuns = 0;
  private lastEvent: number | undefined;
  private attempt: Attempt | undefined;
  private lastFailure = "";
  private timedOut = false;
  private abandoned = false;
  /** Response to relay if no retry yields a better one. */
  private fallbackResponse: BufferedResponse | undefined;

  constructor(private readonly options: ExchangeOptions) {
    this.context = options.context;
    this.caller = options.caller;
    this.arrivedMs = this.caller.arrivedMs;
    this.maxUnreadMs = this.readAtMs - this.arrivedMs;
    this.waitingSinceMs = this.arrivedMs;
    this.context.metrics.readLag.observe(this.maxUnreadMs / 1000);
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

  private async prepare(): Promise<void> {
    const { context } = this;
    const { req } = this.caller;
    this.metadata = this.context.codec.readRequest(req.headers);
    const table = this.context.configuration.current;
    if (table === undefined)
      throw new Failure("no-configuration", "no configuration loaded yet; retry later");
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const route = table.match(this.metadata.host, path);
    if (route === undefined) throw new Failure("unknown-route", `no route for ${this.metadata.host}${path}`);
    const service = table.service(table.selectService(route, this.metadata.requestId) ?? "");
    if (service === undefined) throw new Failure("not-run", `route ${route.name} refers to no known service`);
    this.route = route;
    this.service = service;
    this.deadlines = deadlinesOf(route, this.metadata.deadlineMs, this.arrivedMs);
    if (this.shouldShed()) throw this.overloadedFailure();
    if (this.options.shouldRefuseAll() || (route.kind === "stream" && this.options.shouldRefuseStreams())) {
      throw new Failure("draining", "this node is shutting down; use another address");
    }
    this.selector = new ServerSelector({
      context: this.context,
      placement: this.options.placement,
      metadata: this.metadata,
      route,
      service,
      deadlines: this.deadlines,
      arrivedMs: this.arrivedMs,
      // A request that is quarantined while it waits is refused immediately.
      isCancelled: () => this.caller.disconnected || this.abandoned || this.quarantine.timeLeftMs > 0,
      mayRun: () => this.quarantine.mayRun,
      awaitLock: () => this.quarantine.awaitLock(),
    });
    this.countDemand();
    this.body = await this.readBody(table.configuration.limits.maxBodyBytes);
    this.record = new SendRecord({ context, service, metadata: this.metadata, arrivedMs: this.arrivedMs });
    const { runLocks } = this.options;
    this.quarantine = new QuarantineCheck({
      context,
      runLocks,
      req,
      metadata: this.metadata,
      body: this.body,
    });
    this.options.budgetFor(service.name).deposit();
  }

  private async readBody(limit: number): Promise<Buffer | undefined> {
    const body = await this.caller.readBody(limit);
    const { headers } = this.caller.req;
    const framed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    if (!framed) return undefined;
    this.waitingSinceMs = Math.max(this.arrivedMs, this.context.watermark.readUpToMs);
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
      if (this.sends === 0 && this.shouldShed()) throw this.overloadedFailure();
      const candidate = await this.selector.waitForServer({
        sends: this.sends,
        possibleRuns: this.possibleRuns,
      });
      if (this.caller.disconnected) {
        this.recordOutcome("caller-left");
        return;
      }
      if (this.refuseIfQuarantined()) return;
      if (candidate === undefined) {
        if (this.selector.refusal !== "") this.lastFailure = this.selector.refusal;
        this.giveUp();
        return;
      }
      const outcome = await this.send(candidate);
      if (!this.shouldRetry(outcome)) return;
    }
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

  /**
   * Refuses a quarantined request (one that crashes servers). Checked before each send, including retries after a lost
   * connection and resumed streams: if each attempt counted as a new request, only its server would be blamed and the
   * request would crash one server after another. Requests are identified by content, so all nodes agree on the
   * identity whatever id the caller sent.
   */
  private refuseIfQuarantined(): boolean {
    const { timeLeftMs } = this.quarantine;
    if (timeLeftMs <= 0) return false;
    this.lastFailure = "quarantined, as servers crashed while running it";
    this.refusalRetryS = timeLeftMs / 1000;
    if (this.possibleRuns > 0) this.giveUp();
    else this.refuse(new Failure("quarantined", `not run: ${this.lastFailure}`));
    return true;
  }

  private async send(candidate: ServerEstimate): Promise<AttemptOutcome> {
    const { context, metadata: request, route } = this;
    const now = performance.now();
    const { server } = candidate;
    if (this.sends === 0)
      context.metrics.queued.observe({ service: this.service.name }, (now - this.arrivedMs) / 1000);
    this.sends += 1;
    const inFlight = this.record.start(candidate);
    const responseTimeoutMs = this.deadlines.responseDeadlineMs - now - responseMarginMs;
    const isStream = route.kind === "stream";
    const body = this.body;
    this.attempt = new Attempt(
      {
        server,
        agent: context.pool.agent(server.id),
        codec: context.codec,
        method: this.caller.req.method ?? "GET",
        path: this.caller.req.url ?? "/",
        headers: context.codec.forwardHeaders(this.caller.req.rawHeaders, {
          serverId: server.id,
          deadlineMs: Math.max(1, Math.floor(this.deadlines.responseDeadlineMs - now)),
          priority: this.service.engine === undefined ? undefined : Math.min(9, route.priority),
          resumeAfterEventId: this.lastEvent,
          bodyBytes: body?.length,
        }),
        body,
        requestId: request.requestId,
        sink: isStream ? this.caller : undefined,
        lastDeliveredEvent: this.lastEvent ?? request.lastEventId,
        firstByteTimeoutMs: firstByteTimeoutMs({
          route,
          priorRuns: this.possibleRuns,
          timeLeftMs: this.deadlines.firstByteDeadlineMs - now,
          expectedFirstByteMs: candidate.expectedMs,
          hasAlternative: this.selector.hasAlternative(),
        }),
        eventGapTimeoutMs: eventGapTimeoutMs(route, this.possibleRuns),
        responseTimeoutMs: Math.max(1, responseTimeoutMs),
      },
      {
        onConnected: () => {
          context.reachability.recordConnected(server.id, performance.now());
        },
        onResponse: (metadata) => {
          context.pool.setKeepAlive(server.id, metadata.keepAliveS);
          context.notices.recordNotice(
            server,
            metadata.notice,
            now,
            performance.now(),
            context.watermark.readUpToMs,
          );
        },
        onFirstByte: () => {
          inFlight.started();
          const labels = { kind: route.kind, service: this.service.name };
          context.metrics.firstByte.observe(labels, (performance.now() - this.arrivedMs) / 1000);
        },
      },
    );
    const outcome = await this.attempt.outcome;
    this.attempt = undefined;
    inFlight.done();
    this.record.recordOutcome(candidate, outcome, now);
    if (outcome.kind === "not-run") this.selector.recordRefusal(server, outcome.metadata);
    else if (outcome.kind === "answered" || outcome.kind === "streamed") this.selector.recordAccepted(server);
    this.quarantine.recordOutcome(candidate.server, outcome, now);
    return outcome;
  }

  /** The requested model, if the service runs on engines. */
  private get model(): Model | undefined {
    return this.service.engine?.models.find((m) => m.name === this.metadata.model);
  }

  /** Handles the outcome of a send; returns true if the request is to be sent to another server. */
  private shouldRetry(outcome: AttemptOutcome): boolean {
    switch (outcome.kind) {
      case "answered":
        return this.onResponse(outcome);
      case "streamed":
        this.caller.finish();
        this.recordOutcome("ok");
        return false;
      case "cancelled":
        if (!this.abandoned) {
          this.recordOutcome("caller-left");
          return false;
        }
        this.possibleRuns += 1;
        this.timedOut = true;
        this.lastFailure = "this node is shutting down";
        return this.giveUp();
      case "not-run":
      case "unreachable":
        this.lastFailure =
          outcome.kind === "unreachable" ? outcome.reason : `refused ${outcome.metadata.status}`;
        return this.mayRetry(this.sends < this.route.maxAttempts + maxExtraRefusedSends);
      case "timed-out":
        this.possibleRuns += 1;
        this.lastFailure = outcome.reason;
        this.timedOut = true;
        return this.giveUp();
      case "broken":
      case "silent":
        this.possibleRuns += 1;
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
    const target = `${this.service.name}${this.metadata.model === undefined ? "" : ` model ${this.metadata.model}`}`;
    if (this.possibleRuns === 0) {
      const kind: ErrorKind = this.sends === 0 ? "no-replica" : "not-run";
      this.refuse(
        new Failure(kind, `not run: no server of ${target} accepted the request (${this.lastFailure})`),
      );
    } else if (!this.timedOut && this.hasTimeLeft()) {
      this.refuse(new Failure("upstream-failed", `a server of ${target} failed (${this.lastFailure})`));
    } else {
      this.refuse(new Failure("outcome-unknown", `no response from ${target} in time (${this.lastFailure})`));
    }
    return false;
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
    const route = this.route as Route | undefined;
    const service = this.service as Service | undefined;
    const kind = route?.kind ?? "none";
    this.context.metrics.requests.inc({ kind, service: service?.name ?? "none", outcome });
    const line = {
      event: "request",
      requestId: this.metadata.requestId,
      route: route?.name,
      service: service?.name,
      model: this.metadata.model,
      adapter: this.metadata.adapter,
      version: this.context.configuration.current?.version,
      sends: this.sends,
      tookMs: Math.round(performance.now() - this.readAtMs),
      outcome,
      detail,
      ...(this.maxUnreadMs > lateReadThresholdMs ? { readLateMs: Math.round(this.maxUnreadMs) } : {}),
    };
    if (outcome === "ok" || outcome === "status-200") this.context.log.debug(line);
    else this.context.log.info(line);
  }
}
