/** One caller's request from arrival to answer: route, wait, choose, send, send again, answer. */
import { Failure, toFailure, type ErrorKind } from "../common/errors.ts";
import { holds, type BackendServer } from "../serving/backendServer.ts";
import { repeatable, type Route, type Service } from "../serving/configuration.ts";
import { engineWorkMs } from "../serving/demandMeter.ts";
import type { RequestFacts } from "../serving/exchange.ts";
import { patienceOf, type Patience } from "../serving/patience.ts";
import type { RetryBudget } from "../serving/retryBudget.ts";
import { firstByteLimitMs, isHopeless, pauseLimitMs } from "../serving/sendRules.ts";
import { chooseServer, type Chosen } from "../serving/serverChoice.ts";
import { Attempt, type AttemptOutcome, type WholeAnswer } from "./attempt.ts";
import type { CallerConnection } from "./callerConnection.ts";
import { adapterKey, demandKey, type Placer, type Serving } from "./serving.ts";

/** Sends beyond a route's own attempts that servers refused without running, so that it still ends. */
const refusedSends = 3;
/** Time kept to write the final answer before the caller's time is over, ms. */
const answerMarginMs = 40;
/** Longest sleep between looks at whether a server can be had, ms. */
const lookAgainMs = 250;
/** Retry-After while servers are full or missing, s: a little over one round of placement. */
const soonS = 0.5;
/** Shorter prompts say little of a model's pace, ms of reading. */
const leastPaceMs = 15;
/** Answers of these classes by the server itself may be repeated elsewhere. */
const serverErrorStatus = 500;

/** What one exchange works with. */
export interface ExchangeOptions {
  readonly serving: Serving;
  readonly placer: Placer;
  readonly budgetFor: (service: string) => RetryBudget;
  readonly caller: CallerConnection;
  /** New streams are refused: the node stops before they could end. */
  readonly refuseStreams: () => boolean;
  /** Every new request is refused: the node ends within moments. */
  readonly refuseAll: () => boolean;
}

/** Serves one request. */
export class Exchange {
  private readonly serving: Serving;
  private readonly caller: CallerConnection;
  private readonly arrivedMs = performance.now();
  private readonly tried = new Set<string>();
  private facts!: RequestFacts;
  private route!: Route;
  private service!: Service;
  private patience!: Patience;
  private body: Buffer | undefined;
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
  private retryAfterS = soonS;

  constructor(private readonly options: ExchangeOptions) {
    this.serving = options.serving;
    this.caller = options.caller;
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
    const { req } = this.caller;
    this.facts = this.serving.codec.readRequest(req.headers);
    const table = this.serving.configuration.current;
    if (table === undefined) throw new Failure("no-configuration", "no configuration is known yet; retry");
    const path = (req.url ?? "/").split("?")[0] ?? "/";
    const route = table.match(this.facts.host, path);
    if (route === undefined) throw new Failure("unknown-route", `no route for ${this.facts.host}${path}`);
    const service = table.service(table.pick(route, this.facts.requestId) ?? "");
    if (service === undefined) throw new Failure("not-run", `route ${route.name} names no known service`);
    this.route = route;
    this.service = service;
    this.patience = patienceOf(route, this.facts.deadlineMs, this.arrivedMs);
    if (this.options.refuseAll() || (route.kind === "stream" && this.options.refuseStreams())) {
      throw new Failure("draining", "this node is stopping; use another address");
    }
    this.countDemand();
    this.body = await this.readBody(table.configuration.limits.maxBodyBytes);
    this.options.budgetFor(service.name).earn();
  }

  private async readBody(limit: number): Promise<Buffer | undefined> {
    const body = await this.caller.body(limit);
    const { headers } = this.caller.req;
    const framed = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return framed ? body : undefined;
  }

  private countDemand(): void {
    const { model, adapter, promptTokens, outputHint, outputTokens, prefix } = this.facts;
    if (model === undefined || this.service.engine === undefined) return;
    const own = prefix.at(-1)?.tokens ?? promptTokens;
    const output = Math.min(outputTokens, outputHint ?? outputTokens);
    const work = engineWorkMs(own, output, this.serving.paces.pace(model));
    this.serving.demand.add(demandKey(this.service.name, model), work, this.arrivedMs);
    if (adapter === undefined) return;
    this.serving.adapterDemand.add(adapterKey(this.service.name, model, adapter), work, this.arrivedMs);
  }

  private async serve(): Promise<void> {
    for (;;) {
      const chosen = await this.awaitServer();
      if (this.caller.left) {
        this.ended("caller-left");
        return;
      }
      if (chosen === undefined) {
        this.giveUp();
        return;
      }
      if (this.comesTooLateFrom(chosen)) {
        this.giveUp();
        return;
      }
      const outcome = await this.send(chosen);
      if (!this.shouldGoOn(outcome)) return;
    }
  }

  /** The best server, as soon as there is one; undefined once waiting can't help any more. */
  private async awaitServer(): Promise<Chosen | undefined> {
    const first = this.choose();
    if (first !== undefined) return first;
    if (this.sends > 0) return this.awaitAnother();
    const { model, adapter } = this.facts;
    const key = demandKey(this.service.name, model ?? "");
    this.serving.waiting.add(key);
    try {
      this.options.placer.wanted();
      if (this.comesTooLate(key)) return undefined;
      for (;;) {
        const left = this.patience.firstByteByMs - performance.now();
        if (left <= 0 || this.caller.left || this.abandoned) return undefined;
        if (this.modelIsThere() && model !== undefined && adapter !== undefined) {
          await this.options.placer.ensureAdapter(this.service.name, model, adapter);
          const found = this.choose();
          if (found !== undefined) return found;
        }
        await this.serving.fleetChanged.next(Math.min(left, lookAgainMs));
        const found = this.choose();
        if (found !== undefined) return found;
      }
    } finally {
      this.serving.waiting.remove(key);
    }
  }

  /**
   * After every server had the request. Guards "a request is held to its time limit": where one may have run
   * it there is no other to wait for; where all refused it, they are asked once more after a moment.
   */
  private async awaitAnother(): Promise<Chosen | undefined> {
    const left = this.patience.firstByteByMs - performance.now();
    if (this.ran > 0 || left <= lookAgainMs) return undefined;
    await new Promise((resolve) => setTimeout(resolve, lookAgainMs));
    this.tried.clear();
    return this.choose();
  }

  /** Would the first byte come only after the caller has left? It is told when the engines have caught up. */
  private comesTooLateFrom(chosen: Chosen): boolean {
    if (this.sends > 0 || this.service.engine === undefined) return false;
    const left = this.patience.firstByteByMs - performance.now();
    if (!isHopeless(chosen.expectedMs, left)) return false;
    this.retryAfterS = (chosen.expectedMs - left) / 1000;
    this.lastFailure = `first byte expected in ${Math.round(chosen.expectedMs)} ms`;
    return true;
  }

  /** Will the model come only after the caller has left? Then it is told at once when to come back. */
  private comesTooLate(key: string): boolean {
    const { model: name } = this.facts;
    const model = this.service.engine?.models.find((m) => m.name === name);
    if (model === undefined || this.modelIsThere()) return false;
    const now = performance.now();
    const servers = this.serving.fleet.available(this.service.name);
    const expectedMs = this.serving.modelWaits.expect(key, model, servers, now);
    if (now + expectedMs < this.patience.firstByteByMs) return false;
    this.retryAfterS = expectedMs / 1000;
    this.lastFailure = `model expected in ${Math.round(expectedMs)} ms`;
    return true;
  }

  private modelIsThere(): boolean {
    const { model } = this.facts;
    return model !== undefined && this.serving.fleet.reachable(this.service.name, model, undefined);
  }

  private noteFound(): void {
    const { model } = this.facts;
    if (model !== undefined) this.serving.modelWaits.found(demandKey(this.service.name, model));
  }

  private choose(): Chosen | undefined {
    const { facts, serving } = this;
    const now = performance.now();
    return chooseServer({
      candidates: this.candidates(),
      tried: this.tried,
      promptTokens: facts.promptTokens,
      pace: serving.paces.pace(facts.model),
      prefix: facts.prefix,
      cacheScope: `${facts.model ?? ""}/${facts.adapter ?? ""}`,
      load: (id) => serving.loads.at(id, now),
      health: (id) => serving.outliers.health(id, now),
    });
  }

  private candidates(): BackendServer[] {
    const { model, adapter } = this.facts;
    const servers = this.serving.fleet.available(this.service.name);
    if (model === undefined || this.service.engine === undefined) return servers;
    return servers.filter((server) => holds(server, model, adapter));
  }

  private async send(chosen: Chosen): Promise<AttemptOutcome> {
    const { serving, facts: request, route } = this;
    const now = performance.now();
    const { server } = chosen;
    this.noteFound();
    if (this.sends === 0)
      serving.metrics.queued.observe({ service: this.service.name }, (now - this.arrivedMs) / 1000);
    this.sends += 1;
    this.tried.add(server.id);
    const inFlight = serving.loads.begin(
      server.id,
      chosen.workMs,
      request.promptTokens + request.outputTokens,
    );
    const answerMs = this.patience.answerByMs - now - answerMarginMs;
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
          deadlineMs: Math.max(1, Math.floor(this.patience.answerByMs - now)),
          priority: this.service.engine === undefined ? undefined : Math.min(9, route.priority),
          resumeAfter: this.lastEvent,
          bodyBytes: body?.length,
        }),
        body,
        requestId: request.requestId,
        sink: stream ? this.caller : undefined,
        afterEvent: this.lastEvent ?? request.lastEventId,
        firstByteMs: firstByteLimitMs({
          route,
          ran: this.ran,
          leftMs: this.patience.firstByteByMs - now,
          expectedMs: chosen.expectedMs,
        }),
        pauseMs: pauseLimitMs(route, this.ran),
        answerMs: Math.max(1, answerMs),
      },
      {
        answer: (facts) => {
          serving.pool.learnKeepAlive(server.id, facts.keepAliveS);
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
    this.judge(chosen, outcome);
    return outcome;
  }

  private judge(chosen: Chosen, outcome: AttemptOutcome): void {
    const { serving } = this;
    const { server } = chosen;
    const now = performance.now();
    serving.metrics.attempts.inc({ service: this.service.name, outcome: outcome.kind });
    if (outcome.kind === "answered" && outcome.answer.facts.status >= serverErrorStatus) {
      serving.outliers.failed(server.id, now);
    } else if (outcome.kind === "answered" || outcome.kind === "streamed") {
      serving.outliers.succeeded(server.id, outcome.firstByteMs, chosen.expectedMs);
      this.learnPace(chosen, outcome.firstByteMs);
    } else if (outcome.kind === "unreachable") {
      serving.outliers.unreachable(server.id, now);
    } else if (outcome.kind === "broken" || outcome.kind === "silent") {
      serving.outliers.failed(server.id, now);
    }
    if (outcome.kind === "not-run" && outcome.facts.wrongServer) this.forgetResident(server);
    serving.log.debug({
      event: "attempt",
      requestId: this.facts.requestId,
      server: server.id,
      model: this.facts.model,
      promptTokens: this.facts.promptTokens,
      expectedMs: Math.round(chosen.expectedMs),
      tookMs: Math.round(now - this.arrivedMs),
      outcome: outcome.kind,
      ...("reason" in outcome ? { reason: outcome.reason } : {}),
      ...("firstByteMs" in outcome ? { firstByteMs: Math.round(outcome.firstByteMs) } : {}),
      ...("answer" in outcome ? { status: outcome.answer.facts.status } : {}),
      ...("facts" in outcome ? { status: outcome.facts.status } : {}),
    });
  }

  private learnPace(chosen: Chosen, firstByteMs: number): void {
    const { model } = this.facts;
    if (model === undefined || !chosen.quiet || chosen.workMs < leastPaceMs) return;
    this.serving.paces.learn(model, firstByteMs, chosen.workMs / this.serving.paces.pace(model));
  }

  private forgetResident(server: BackendServer): void {
    const { model, adapter } = this.facts;
    if (model === undefined) return;
    this.serving.fleet.forget(server.id, model, adapter, performance.now());
    // It may be asked again once it holds the model or adapter after all.
    this.tried.delete(server.id);
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
        return this.mayAskAnother(repeatable(this.route) && this.ran < this.route.maxAttempts);
    }
  }

  private onAnswer(outcome: Extract<AttemptOutcome, { kind: "answered" }>): boolean {
    const { answer } = outcome;
    if (this.caller.begun) return this.giveUp();
    if (this.isDoubtful(answer) && repeatable(this.route)) {
      this.ran += 1;
      const canRepeat = this.ran < this.route.maxAttempts && this.choose() !== undefined;
      if (canRepeat && this.timeLeft() && this.options.budgetFor(this.service.name).spend()) {
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
    if (allowed && this.timeLeft() && this.options.budgetFor(this.service.name).spend()) return true;
    return this.giveUp();
  }

  private timeLeft(): boolean {
    return this.patience.answerByMs - performance.now() > answerMarginMs;
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

  private refuse(failure: Failure): void {
    const { status } = failure.answer;
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
      tookMs: Math.round(performance.now() - this.arrivedMs),
      outcome,
      detail,
    };
    if (outcome === "ok" || outcome === "status-200") this.serving.log.debug(line);
    else this.serving.log.info(line);
  }
}
