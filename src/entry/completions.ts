/**
 * One completion from arrival to its final answer: wait for a first copy of the model if it has none,
 * route, admit, forward, and go on from another engine if one breaks off.
 */
import type * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { Failure, toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { promptOf, type CompletionRequest } from "../common/openai.ts";
import { crowdingOf, type Admission } from "./admission.ts";
import { Answer } from "./answer.ts";
import type { CompletionProxy } from "./completionProxy.ts";
import type { Entitlement } from "./configWatcher.ts";
import type { DemandMeter } from "./demandMeter.ts";
import type { Engine, Fleet } from "./fleet.ts";
import type { RetryBudget } from "./retryBudget.ts";
import type { Router } from "./router.ts";

/** What completions are served with. */
export interface CompletionsOptions {
  readonly router: Router;
  readonly fleet: Fleet;
  readonly proxy: CompletionProxy;
  readonly admission: Admission;
  readonly meter: DemandMeter;
  readonly retries: RetryBudget;
  readonly log: Log;
  /** Attempts per completion across engines (first try included). */
  readonly attempts: number;
  /** Called when a request starts waiting for a model without a copy. */
  readonly onWait: () => void;
  /** How long a request waits for a first copy that nobody has started to load, in ms. */
  readonly unstartedWaitMs?: number;
}

/** One completion to serve. */
export interface Completion {
  readonly requestId: string;
  readonly entitlement: Entitlement;
  readonly request: CompletionRequest;
  /** Path to forward to. */
  readonly path: string;
  /** Absolute deadline, epoch ms. */
  readonly deadline: number;
  readonly res: http.ServerResponse;
}

const defaults = { unstartedWaitMs: 3000 };
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
    const { meter, admission, retries } = this.options;
    const { entitlement, request } = completion;
    const leaveMeter = meter.begin(request.model);
    const leaveAdmission = admission.enter(entitlement);
    retries.earn();
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
      leaveAdmission();
      leaveMeter();
    }
  }

  private async attempt(completion: Completion, answer: Answer): Promise<Engine> {
    const tried = new Set<string>();
    let last: Failure | undefined;
    for (let attempt = 0; attempt < this.options.attempts; attempt += 1) {
      const engine = await this.find(completion, tried);
      if (engine === undefined) break;
      // Guards "retries bury a failing pool": past the budget the last failure is the answer, at once.
      if (attempt > 0 && !this.options.retries.spend()) break;
      // What has begun is not refused half-way.
      if (answer.tokens === 0)
        this.options.admission.check({ ...completion, model: completion.request.model }, engine);
      tried.add(engine.address);
      try {
        await this.forward(completion, answer, engine);
        return engine;
      } catch (error) {
        last = toFailure(error);
        this.noteFailure(engine, last);
        if (answer.abandoned || last.kind === "deadline-exceeded") break;
      }
    }
    const { model } = completion.request;
    throw (
      last ?? new Failure("no-replica", `no engine has ${model} ready; retry shortly`, completion.requestId)
    );
  }

  private async forward(completion: Completion, answer: Answer, engine: Engine): Promise<void> {
    const { proxy, admission } = this.options;
    const { request, entitlement, path, deadline } = completion;
    const crowding = crowdingOf(engine);
    const started = Date.now();
    const resumed = answer.tokens > 0;
    engine.inFlight += 1;
    try {
      await proxy.forward({ engine, path, request, priority: entitlement.priority, deadline, answer });
    } finally {
      engine.inFlight -= 1;
    }
    if (!resumed) admission.learn(request.model, Date.now() - started, crowding);
  }

  private noteFailure(engine: Engine, failure: Failure): void {
    if (failure.kind === "draining") this.options.fleet.markLeaving(engine.address);
    if (failure.kind === "upstream-failed") this.options.fleet.noteFailure(engine.address);
  }

  /**
   * The engine for the next try. A model without any copy is waited for while one is being loaded (or may
   * yet be) and its answer could still be in time; past that the caller is told at once, not at its deadline.
   */
  private async find(completion: Completion, tried: ReadonlySet<string>): Promise<Engine | undefined> {
    const { router, admission, meter, onWait } = this.options;
    const { requestId, entitlement, request, deadline, res } = completion;
    const { model } = request;
    const routable = { requestId, customer: entitlement.customer, model, prompt: promptOf(request) };
    const engine = router.choose(routable, tried);
    if (engine !== undefined || tried.size > 0) return engine;
    const stopWaiting = meter.wait(model);
    const latestStart = deadline - admission.expectedMs(model);
    const giveUpUnstarted = Date.now() + this.options.unstartedWaitMs;
    onWait();
    try {
      while (!res.destroyed && Date.now() < latestStart) {
        if (router.ready(model)) return router.choose(routable, tried);
        if (Date.now() > giveUpUnstarted && !router.arriving(model)) return undefined;
        await sleep(lookMs);
      }
      return undefined;
    } finally {
      stopWaiting();
    }
  }
}
