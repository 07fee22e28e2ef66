/** One caller's request from arrival to answer: route, wait, choose, send, send again, answer. */
import { Failure, toFailure, type ErrorKind } from "../common/errors.ts";
import { isRepeatable, type Model, type Route, type Service } from "../serving/configuration.ts";
import { engineWorkMs } from "../serving/engineSpeed.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import { deadlinesOf, type RequestDeadlines } from "../serving/requestDeadlines.ts";
import type { RetryBudget } from "../serving/retryBudget.ts";
import { shouldShed } from "../serving/overload.ts";
import { firstByteTimeoutMs, eventGapTimeoutMs } from "../serving/sendRules.ts";
import type { ServerEstimate } from "../serving/serverChoice.ts";
import { Attempt, type AttemptOutcome, type WholeAnswer } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { QuarantineCheck } from "./quarantineCheck.ts";
import { SendRecord, serverErrorStatus } from "./sendRecord.ts";
import { ServerWait, soonS } from "./serverWait.ts";
import { adapterKey, demandKey, type Placer, type GatewayContext } from "./gatewayContext.ts";
import type { RunLockTask } from "./runLockTask.ts";

/** Sends beyond a route's own attempts that servers refused without running, so that it still ends. */
const refusedSends = 3;
/** A request that may have lain unread for longer than this was read late, ms. */
const readLateMs = 100;
/** An overloaded node asks callers to return after this time and up to twice as much, s. */
const overloadRetryS = 0.3;
/** Time kept to write the final answer before the caller's time is over, ms. */
const answerMarginMs = 40;

/** What one exchange works with. */
export interface ExchangeOptions {
  readonly serving: GatewayContext;
  readonly placer: Placer;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly budgetFor: (service: string) => RetryBudget;
  readonly caller: CallerConnection;
  /** New streams are refused: the node stops before they could end. */
  readonly refuseStreams: () => boolean;
  /** Every new request is refused: the node ends within moments. */
  readonly refuseAll: () => boolean;
}

/** Serves one request. */
export class Exchange {
  private readonly serving: GatewayContext;
  private readonly caller: CallerConnection;
  /** The earliest moment at which the request may have arrived, and for how long it may have lain unread, ms. */
  private readonly arrivedMs: number;
  private readonly unreadMs: number;
  private readonly readMs = performance.now();
  /** Since when the request has waited for this node alone, ms: a body may take its caller a while. */
  private waitingSinceMs: number;
  private facts!: RequestMetadata;
  private route!: Route;
  private service!: Service;
  private patience!: RequestDeadlines;
  private wait!: ServerWait;
  private body: Buffer | undefined;
  private quarantine!: QuarantineCheck;
  private record!: SendRecord;
  /** When the caller should return, s; known where the request is refused whatever servers there are. */
  private returnAfterS: number | undefined;
  private sends = 0;
  /** Sends whose server may have run the request. */
  private ran = 0;
  private lastEvent: number | undefined;
  private attempt: Attempt | undefined;
  private lastFailure = "";
  private timeIsUp = false;
  private abandoned = false;
  /** An answer to give if no better one comes. */
  private fallback: WholeAnswer | undefined;

  constructor(private readonly options: ExchangeOptions) {
    this.serving = options.serving;
    this.caller = options.caller;
    this.arrivedMs = this.caller.arrivedMs;
    this.unreadMs = this.readMs - this.arrivedMs;
    this.waitingSinceMs = this.arrivedMs;
    this.serving.metrics.readLag.observe(this.unreadMs / 1000);
  }

  /** Runs to the final answer; never rejects. */
  async run(): Promise<void> {
    try {
      await this.prepare();
      this.caller.onLeft(() => this.attempt?.cancel());
      await this.serve();
    } catch (error) {
      this.refuse(toFailure(error));
    } finally {
      this.caller.onLeft(undefined);
      // Absent where the request was refused before its body was read.
      (this.quarantine as QuarantineCheck | undefined)?.dispose();
    }
  }

  /**
   * The node is about to end: answers now unless a stream has begun. Guards "a request gets neither an answer
   * nor a refusal": one that still waits, or whose server hasn't begun, would end with its connection.
   */
  abandon(): void {
    if (this.caller.begun) return;
    this.abandoned = true;
    this.attempt?.cancel();
  }

  private async prepare(): Promise<void> {
    const { serving } = this;
    const { req } = this.caller;
    this.facts = this.serving.codec.readRequest(req.headers);
    const table = this.serving.configuration.current;
    if (table === undefined) throw new Failure("no-configuration", "no configuration is known yet; retry");
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const route = table.match(this.facts.host, path);
    if (route === undefined) throw new Failure("unknown-route", `no route for ${this.facts.host}${path}`);
    const service = table.service(table.selectService(route, this.facts.requestId) ?? "");
    if (service === undefined) throw new Failure("not-run", `route ${route.name} names no known service`);
    this.route = route;
    this.service = service;
    this.patience = deadlinesOf(route, this.facts.deadlineMs, this.arrivedMs);
    if (this.isShed()) throw this.overloaded();
    if (this.options.refuseAll() || (route.kind === "stream" && this.options.refuseStreams())) {
      throw new Failure("draining", "this node is stopping; use another address");
    }
    this.wait = new ServerWait({
      serving: this.serving,
      placer: this.options.placer,
      facts: this.facts,
      route,
      service,
      patience: this.patience,
      arrivedMs: this.arrivedMs,
      // What comes to be held back while it waits is refused at once.
      over: () => this.caller.left || this.abandoned || this.quarantine.leftMs > 0,
      mayRun: () => this.quarantine.mayRun,
      awaitLock: () => this.quarantine.awaitLock(),
    });
    this.countDemand();
    this.body = await this.readBody(table.configuration.limits.maxBodyBytes);
    this.record = new SendRecord({ serving, service, facts: this.facts, arrivedMs: this.arrivedMs });
    const { runLocks } = this.options;
    this.quarantine = new QuarantineCheck({ serving, runLocks, req, facts: this.facts, body: this.body });
    this.options.budgetFor(service.name).deposit();
  }

  private async readBody(limit: number): Promise<Buffer | undefined> {
    const body = await this.caller.body(limit);
    const { headers } = this.caller.req;
    const framed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    if (!framed) return undefined;
    this.waitingSinceMs = Math.max(this.arrivedMs, this.serving.watermark.readUpToMs);
    return body;
  }

  private countDemand(): void {
    const { model, adapter, promptTokens, outputHint, outputTokens, prefix } = this.facts;
    const { engine } = this.service;
    if (model === undefined || engine === undefined) return;
    const own = prefix.at(-1)?.tokens ?? promptTokens;
    const output = Math.min(outputTokens, outputHint ?? outputTokens);
    const { paces, speed } = this.serving;
    const size = { ownTokens: own, outputTokens: output, prefillFactor: paces.factorOf(this.model) };
    const work = engineWorkMs(size, speed.stepMs, engine.slots);
    this.serving.demand.add(demandKey(this.service.name, model), work, this.arrivedMs);
    if (adapter === undefined) return;
    this.serving.adapterDemand.add(this.adapterKey(adapter), work, this.arrivedMs);
  }

  private adapterKey(adapter: string): string {
    return adapterKey(this.service.name, this.facts.model ?? "", adapter);
  }

  private async serve(): Promise<void> {
    for (;;) {
      // The caller may have left since the sockets were last read.
      await this.serving.watermark.waitUntilCaughtUp();
      if (this.caller.left) {
        this.ended("caller-left");
        return;
      }
      if (this.isHeldBack()) return;
      if (this.sends === 0 && this.isShed()) throw this.overloaded();
      const chosen = await this.wait.next({ sends: this.sends, ran: this.ran });
      if (this.caller.left) {
        this.ended("caller-left");
        return;
      }
      if (this.isHeldBack()) return;
      if (chosen === undefined) {
        if (this.wait.refusal !== "") this.lastFailure = this.wait.refusal;
        this.giveUp();
        return;
      }
      const outcome = await this.send(chosen);
      if (!this.shouldGoOn(outcome)) return;
    }
  }

  /** Has the request waited for so long that this node no longer begins it? */
  private isShed(): boolean {
    const { firstByteDeadlineMs: firstByteByMs } = this.patience;
    return shouldShed({
      ageMs: performance.now() - this.waitingSinceMs,
      callerTimeoutMs: firstByteByMs - this.arrivedMs,
      targetMs: this.route.targetMs,
      overloaded: this.serving.overload.overloaded,
    });
  }

  private overloaded(): Failure {
    this.returnAfterS = overloadRetryS * (1 + Math.random());
    this.serving.metrics.shed.inc({ service: this.service.name });
    return new Failure("overloaded", "not run: this node has more requests than it can serve; use another");
  }

  /**
   * Refuses a request under which servers end, before each send: also the next one of a request that was cut, and of a
   * stream that is resumed. Guards "one request ends server after server": each attempt was taken for a new request,
   * whose server alone was to blame. By its content it is the same at every node, whatever its caller's id.
   */
  private isHeldBack(): boolean {
    const { leftMs } = this.quarantine;
    if (leftMs <= 0) return false;
    this.lastFailure = "held back, as servers ended while they ran it";
    this.returnAfterS = leftMs / 1000;
    if (this.ran > 0) this.giveUp();
    else this.refuse(new Failure("quarantined", `not run: ${this.lastFailure}`));
    return true;
  }

  private async send(chosen: ServerEstimate): Promise<AttemptOutcome> {
    const { serving, facts: request, route } = this;
    const now = performance.now();
    const { server } = chosen;
    if (this.sends === 0)
      serving.metrics.queued.observe({ service: this.service.name }, (now - this.arrivedMs) / 1000);
    this.sends += 1;
    const inFlight = this.record.begin(chosen);
    const answerMs = this.patience.responseDeadlineMs - now - answerMarginMs;
    const stream = route.kind === "stream";
    const body = this.body;
    this.attempt = new Attempt(
      {
        server,
        agent: serving.pool.agent(server.id),
        codec: serving.codec,
        method: this.caller.req.method ?? "GET",
        path: this.caller.req.url ?? "/",
        headers: serving.codec.forwardHeaders(this.caller.req.rawHeaders, {
          serverId: server.id,
          deadlineMs: Math.max(1, Math.floor(this.patience.responseDeadlineMs - now)),
          priority: this.service.engine === undefined ? undefined : Math.min(9, route.priority),
          resumeAfterEventId: this.lastEvent,
          bodyBytes: body?.length,
        }),
        body,
        requestId: request.requestId,
        sink: stream ? this.caller : undefined,
        afterEvent: this.lastEvent ?? request.lastEventId,
        firstByteTimeoutMs: firstByteTimeoutMs({
          route,
          priorRuns: this.ran,
          remainingMs: this.patience.firstByteDeadlineMs - now,
          expectedFirstByteMs: chosen.expectedMs,
          hasAlternative: this.wait.hasAnother(),
        }),
        eventGapTimeoutMs: eventGapTimeoutMs(route, this.ran),
        responseTimeoutMs: Math.max(1, answerMs),
      },
      {
        answer: (facts) => {
          serving.pool.learnKeepAlive(server.id, facts.keepAliveS);
          serving.notices.recordNotice(
            server,
            facts.notice,
            now,
            performance.now(),
            serving.watermark.readUpToMs,
          );
        },
        firstByte: () => {
          inFlight.started();
          const labels = { kind: route.kind, service: this.service.name };
          serving.metrics.firstByte.observe(labels, (performance.now() - this.arrivedMs) / 1000);
        },
      },
    );
    const outcome = await this.attempt.outcome;
    this.attempt = undefined;
    inFlight.done();
    this.record.note(chosen, outcome);
    if (outcome.kind === "not-run") this.wait.noteRefusal(server, outcome.facts);
    else if (outcome.kind === "answered" || outcome.kind === "streamed") this.wait.noteAccepted(server);
    this.quarantine.note(chosen.server, outcome, now);
    return outcome;
  }

  /** The model asked for, where the service has engines. */
  private get model(): Model | undefined {
    return this.service.engine?.models.find((m) => m.name === this.facts.model);
  }

  /** Acts on the outcome of a send; true if another server is to be asked. */
  private shouldGoOn(outcome: AttemptOutcome): boolean {
    switch (outcome.kind) {
      case "answered":
        return this.onAnswer(outcome);
      case "streamed":
        this.caller.finish();
        this.ended("ok");
        return false;
      case "cancelled":
        if (!this.abandoned) {
          this.ended("caller-left");
          return false;
        }
        this.ran += 1;
        this.timeIsUp = true;
        this.lastFailure = "this node is stopping";
        return this.giveUp();
      case "not-run":
      case "unreachable":
        this.lastFailure =
          outcome.kind === "unreachable" ? outcome.reason : `refused ${outcome.facts.status}`;
        return this.mayAskAnother(this.sends < this.route.maxAttempts + refusedSends);
      case "timed-out":
        this.ran += 1;
        this.lastFailure = outcome.reason;
        this.timeIsUp = true;
        return this.giveUp();
      case "broken":
      case "silent":
        this.ran += 1;
        this.lastFailure = outcome.reason;
        if (outcome.lastEvent !== undefined && this.caller.begun) this.lastEvent = outcome.lastEvent;
        // A stream that began without event ids can't be continued.
        if (this.caller.begun && this.lastEvent === undefined) return this.giveUp();
        return this.mayAskAnother(isRepeatable(this.route) && this.ran < this.route.maxAttempts);
    }
  }

  private onAnswer(outcome: Extract<AttemptOutcome, { kind: "answered" }>): boolean {
    const { answer } = outcome;
    if (this.caller.begun) return this.giveUp();
    if (this.isDoubtful(answer) && isRepeatable(this.route)) {
      this.ran += 1;
      const canRepeat = this.ran < this.route.maxAttempts && this.wait.hasAnother();
      if (canRepeat && this.timeLeft() && this.options.budgetFor(this.service.name).tryWithdraw()) {
        if (answer.facts.status < serverErrorStatus) this.fallback = answer;
        return true;
      }
    }
    const failed = answer.facts.status >= serverErrorStatus;
    this.relay(failed ? (this.fallback ?? answer) : answer);
    return false;
  }

  /** Another server may do better: this one failed, or its answer may have been cut off unseen. */
  private isDoubtful(answer: WholeAnswer): boolean {
    return answer.facts.status >= serverErrorStatus || !answer.facts.framed;
  }

  private relay(answer: WholeAnswer): void {
    this.caller.relay(answer);
    this.ended(`status-${String(answer.facts.status)}`);
  }

  private mayAskAnother(allowed: boolean): boolean {
    if (allowed && this.timeLeft() && this.options.budgetFor(this.service.name).tryWithdraw()) return true;
    return this.giveUp();
  }

  private timeLeft(): boolean {
    return this.patience.responseDeadlineMs - performance.now() > answerMarginMs;
  }

  /** The final answer when no server served the request. */
  private giveUp(): false {
    if (this.caller.left) {
      this.ended("caller-left");
      return false;
    }
    if (this.fallback !== undefined && !this.caller.begun) {
      this.relay(this.fallback);
      return false;
    }
    const where = `${this.service.name}${this.facts.model === undefined ? "" : ` model ${this.facts.model}`}`;
    if (this.ran === 0) {
      const kind: ErrorKind = this.sends === 0 ? "no-replica" : "not-run";
      this.refuse(new Failure(kind, `not run: no server of ${where} took it (${this.lastFailure})`));
    } else if (!this.timeIsUp && this.timeLeft()) {
      this.refuse(new Failure("upstream-failed", `a server of ${where} failed (${this.lastFailure})`));
    } else {
      this.refuse(new Failure("outcome-unknown", `no answer of ${where} in time (${this.lastFailure})`));
    }
    return false;
  }

  /** When a refused caller should come back, s; it may have been refused before a server was looked for. */
  private get retryAfterS(): number {
    return this.returnAfterS ?? (this.wait as ServerWait | undefined)?.retryAfterS ?? soonS;
  }

  private refuse(failure: Failure): void {
    const { status } = failure.response;
    this.caller.refuse(failure, status === 503 || status === 429 ? this.retryAfterS : undefined);
    this.ended(failure.kind, failure.message);
  }

  private ended(outcome: string, detail?: string): void {
    const route = this.route as Route | undefined;
    const service = this.service as Service | undefined;
    const kind = route?.kind ?? "none";
    this.serving.metrics.requests.inc({ kind, service: service?.name ?? "none", outcome });
    const line = {
      event: "request",
      requestId: this.facts.requestId,
      route: route?.name,
      service: service?.name,
      model: this.facts.model,
      adapter: this.facts.adapter,
      version: this.serving.configuration.current?.version,
      sends: this.sends,
      tookMs: Math.round(performance.now() - this.readMs),
      outcome,
      detail,
      ...(this.unreadMs > readLateMs ? { readLateMs: Math.round(this.unreadMs) } : {}),
    };
    if (outcome === "ok" || outcome === "status-200") this.serving.log.debug(line);
    else this.serving.log.info(line);
  }
}
