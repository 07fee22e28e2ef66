/**
 * One completion from arrival to its final answer: wait for a first copy of the model if it has none,
 * route, admit, forward, and go on from another engine if one breaks off.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Failure, toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { promptOf, type CompletionRequest } from "../common/openai.ts";
import { crowdingOf, type Admission, type Applicant } from "./admission.ts";
import { Answer } from "./answer.ts";
import type { Completion } from "./completion.ts";
import { AnswerCut, type CompletionProxy } from "./completionProxy.ts";
import type { DemandMeter } from "./demandMeter.ts";
import type { DemandReporter } from "./demandReporter.ts";
import type { Engine, Fleet } from "./fleet.ts";
import type { HeldRequests } from "./heldRequests.ts";
import type { RetryBudget } from "../serving/retryBudget.ts";
import type { Router } from "./router.ts";
import type { ServiceTimes } from "./serviceTimes.ts";

/** What completions are served with. */
export interface CompletionsOptions {
  readonly router: Router;
  readonly fleet: Fleet;
  readonly proxy: CompletionProxy;
  readonly admission: Admission;
  readonly times: ServiceTimes;
  readonly meter: DemandMeter;
  readonly retries: RetryBudget;
  readonly held: HeldRequests;
  readonly log: Log;
  /** Attempts per completion across engines (first try included). */
  readonly attempts: number;
  /** Tells of first copies on their way. */
  readonly arrivals: DemandReporter;
  /** How long a request waits for the lease holder's word on whether a first copy will come, in ms. */
  readonly unsureWaitMs?: number;
}

const defaults = { unsureWaitMs: 1500 };
/** Tokens expected of a request that sets no limit. */
const defaultTokens = 16;
/** How often a waiting request looks for its copy, in ms. */
const lookMs = 20;

/** Serves completions; each request has its own answer and its own upstream exchanges. */
export class Completions {
  private readonly options: CompletionsOptions & typeof defaults;

  constructor(options: CompletionsOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Serves one completion; resolves with the engine that ended it, rejects with the final `Failure`. */
  async serve(completion: Completion): Promise<Engine> {
    const { meter, retries } = this.options;
    const { request } = completion;
    const leaveMeter = meter.begin(request.model);
    retries.deposit();
    const answer = new Answer({
      res: completion.res,
      identity: {
        id: completion.requestId,
        model: request.model,
        chat: completion.path.startsWith("/v1/chat/"),
      },
      streaming: request.stream === true,
    });
    try {
      return await this.attempt(completion, answer);
    } catch (error) {
      const failure = toFailure(error);
      answer.fail(failure);
      throw failure;
    } finally {
      leaveMeter();
    }
  }

  private async attempt(completion: Completion, answer: Answer): Promise<Engine> {
    const { held } = this.options;
    const fingerprint = held.identify(completion);
    const tried = new Set<string>();
    let last: Failure | undefined;
    for (let attempt = 0; attempt < this.options.attempts; attempt += 1) {
      // Guards "one request ends engine after engine": each attempt, and each repeat by its caller, was taken for a new
      // request and sent to the next one.
      held.check(fingerprint, completion.requestId);
      const engine = await this.find(completion, tried);
      if (engine === undefined) break;
      // Guards "retries bury a failing pool": past the budget the last failure is the answer, at once.
      if (attempt > 0 && !this.options.retries.tryWithdraw()) break;
      // What has begun is not refused half-way.
      if (answer.tokens === 0) this.options.admission.check(applicantOf(completion), engine);
      tried.add(engine.address);
      const sentMs = performance.now();
      try {
        await this.forward(completion, answer, engine);
        held.served(fingerprint, engine, sentMs);
        return engine;
      } catch (error) {
        last = toFailure(error);
        if (answer.abandoned) break;
        if (error instanceof AnswerCut) {
          held.ended(fingerprint, engine);
          this.options.fleet.noteCut(engine.address);
        }
        this.noteFailure(engine, last);
        if (last.kind === "unknown-model") {
          // Guards "a caller is told its own model does not exist": the copy left between the choice and
          // the request. It is no failure of the engine, which may well get the next copy.
          this.options.fleet.forgetCopy(engine.address, completion.request.model);
          tried.delete(engine.address);
          last = undefined;
        }
        if (last?.kind === "deadline-exceeded") break;
      }
    }
    const { model } = completion.request;
    throw (
      last ?? new Failure("no-replica", `no engine has ${model} ready; retry shortly`, completion.requestId)
    );
  }

  private async forward(completion: Completion, answer: Answer, engine: Engine): Promise<void> {
    const { proxy, admission, times } = this.options;
    const { request, entitlement, path, deadline } = completion;
    const crowding = crowdingOf(engine);
    const started = Date.now();
    const resumed = answer.tokens > 0;
    const leave = admission.enter(entitlement, engine);
    engine.inFlight += 1;
    try {
      await proxy.forward({ engine, path, request, priority: entitlement.priority, deadline, answer });
    } finally {
      engine.inFlight -= 1;
      leave();
    }
    // Guards "overload feeds on itself": queueing taken for service time makes the next requests look too
    // slow to admit and every model in need of copies; only answers without a queue teach service times.
    if (!resumed && crowding <= 1 && crowdingOf(engine) <= 1)
      times.learn(request.model, tokensOf(request), Date.now() - started);
  }

  private noteFailure(engine: Engine, failure: Failure): void {
    const { kind, message, requestId } = failure;
    this.options.log.warn({ event: "attempt-failed", engine: engine.address, kind, message, requestId });
    if (failure.kind === "draining") this.options.fleet.markLeaving(engine.address);
    if (failure.kind === "upstream-failed") this.options.fleet.noteFailure(engine.address);
  }

  /** The engine for the next try; for a model without any copy, once its first one is there. */
  private async find(completion: Completion, tried: ReadonlySet<string>): Promise<Engine | undefined> {
    const { router } = this.options;
    const { requestId, entitlement, request } = completion;
    const routable = {
      requestId,
      customer: entitlement.customer,
      model: request.model,
      prompt: promptOf(request),
    };
    const engine = router.choose(routable, tried);
    if (engine !== undefined || tried.size > 0) return engine;
    return (await this.firstCopy(completion)) ? router.choose(routable, tried) : undefined;
  }

  /**
   * Waits for a first copy of the model; false if none will come in time. Guards "a refusal comes at the
   * deadline": the lease holder says which copies are on their way, so a request for a model that will
   * not be loaded now (its demand is counted all the same) is refused as soon as that is known.
   */
  private async firstCopy(completion: Completion): Promise<boolean> {
    const { router, times, meter, arrivals, unsureWaitMs } = this.options;
    const { model } = completion.request;
    const latestStart = completion.deadline - times.expected(model, tokensOf(completion.request));
    const sureBy = Date.now() + unsureWaitMs;
    const stopWaiting = meter.wait(model);
    try {
      // Tell the lease holder now instead of at the next period, and hear what it makes of it.
      await arrivals.refresh();
      while (!completion.res.destroyed && Date.now() < latestStart) {
        if (router.ready(model)) return true;
        const coming = router.arriving(model) || arrivals.expects(model);
        if (coming === false || (coming === undefined && Date.now() > sureBy)) return false;
        await sleep(lookMs);
      }
      return false;
    } finally {
      stopWaiting();
    }
  }
}

function applicantOf(completion: Completion): Applicant {
  const { entitlement, request, requestId, deadline } = completion;
  return { entitlement, model: request.model, tokens: tokensOf(request), requestId, deadline };
}

/** Most tokens a request may be answered with. */
function tokensOf(request: CompletionRequest): number {
  return request.max_tokens ?? defaultTokens;
}
