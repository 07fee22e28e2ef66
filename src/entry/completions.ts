/**
 * Serves one completion: waits for a first replica of the model if it has none, routes, admits and forwards
 * the request, and resumes it on another engine if one fails.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Failure, toFailure } from "../common/errors.ts";
import type { Log } from "../common/log.ts";
import { promptOf, type CompletionRequest } from "../common/openai.ts";
import { overutilizationOf, type Admission, type AdmissionRequest } from "./admission.ts";
import { CompletionResponse } from "./completionResponse.ts";
import type { Completion } from "./completion.ts";
import { IncompleteResponse, type CompletionProxy } from "./completionProxy.ts";
import type { DemandMeter } from "./demandMeter.ts";
import type { DemandReporter } from "./demandReporter.ts";
import type { Engine, Fleet } from "./fleet.ts";
import type { CompletionQuarantine } from "./completionQuarantine.ts";
import type { RetryBudget } from "../serving/retryBudget.ts";
import type { Router } from "./router.ts";
import type { ServiceTimes } from "./serviceTimes.ts";

/** Options of `Completions`. */
export interface CompletionsOptions {
  readonly router: Router;
  readonly fleet: Fleet;
  readonly proxy: CompletionProxy;
  readonly admission: Admission;
  readonly times: ServiceTimes;
  readonly meter: DemandMeter;
  readonly retries: RetryBudget;
  readonly quarantine: CompletionQuarantine;
  readonly log: Log;
  /** Attempts per completion across engines, the first one included. */
  readonly attempts: number;
  /** Knows which first replicas are loading or about to be. */
  readonly demandReporter: DemandReporter;
  /** How long a request waits to learn from the lease holder whether a first replica will be loaded, in ms. */
  readonly receiptWaitMs?: number;
}

const defaults = { receiptWaitMs: 1500 };
/** Tokens assumed for a request that sets no limit. */
const defaultTokens = 16;
/** How often a waiting request checks for a ready replica, in ms. */
const replicaPollMs = 20;

/** Serves completions; each request has its own response and its own upstream exchanges. */
export class Completions {
  private readonly options: CompletionsOptions & typeof defaults;

  constructor(options: CompletionsOptions) {
    this.options = { ...defaults, ...options };
  }

  /** Serves one completion; resolves with the engine that completed it, rejects with the last `Failure`. */
  async serve(completion: Completion): Promise<Engine> {
    const { meter, retries } = this.options;
    const { request } = completion;
    const stopCounting = meter.startRequest(request.model);
    retries.deposit();
    const response = new CompletionResponse({
      res: completion.res,
      identity: {
        id: completion.requestId,
        model: request.model,
        chat: completion.path.startsWith("/v1/chat/"),
      },
      streaming: request.stream === true,
    });
    try {
      return await this.attempt(completion, response);
    } catch (error) {
      const failure = toFailure(error);
      response.fail(failure);
      throw failure;
    } finally {
      stopCounting();
    }
  }

  private async attempt(completion: Completion, response: CompletionResponse): Promise<Engine> {
    const { quarantine } = this.options;
    const fingerprint = quarantine.fingerprintOfCompletion(completion);
    const tried = new Set<string>();
    let last: Failure | undefined;
    for (let attempt = 0; attempt < this.options.attempts; attempt += 1) {
      // Prevents a poison request from crashing engine after engine: attempts and caller retries with the same
      // content count as the same request.
      quarantine.check(fingerprint, completion.requestId);
      const engine = await this.findEngine(completion, tried);
      if (engine === undefined) break;
      // Prevents retry storms on a failing pool: past the retry budget, the last failure is returned at once.
      if (attempt > 0 && !this.options.retries.tryWithdraw()) break;
      // A response that has started isn't subject to admission again.
      if (response.deliveredTokens === 0)
        this.options.admission.check(admissionRequestOf(completion), engine);
      tried.add(engine.address);
      const sentMs = performance.now();
      try {
        await this.forward(completion, response, engine);
        quarantine.recordSuccess(fingerprint, engine, sentMs);
        return engine;
      } catch (error) {
        last = toFailure(error);
        if (response.callerDisconnected) break;
        if (error instanceof IncompleteResponse) {
          quarantine.recordConnectionLoss(fingerprint, engine);
          this.options.fleet.recordConnectionLoss(engine.address);
        }
        this.recordFailure(engine, last);
        if (last.kind === "unknown-model") {
          // The replica was unloaded between routing and the request. The caller must not be told that its model
          // doesn't exist, and the engine isn't at fault: it may well get the next replica.
          this.options.fleet.forgetReplica(engine.address, completion.request.model);
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

  private async forward(completion: Completion, response: CompletionResponse, engine: Engine): Promise<void> {
    const { proxy, admission, times } = this.options;
    const { request, entitlement, path, deadline } = completion;
    const overutilization = overutilizationOf(engine);
    const started = Date.now();
    const resumed = response.deliveredTokens > 0;
    const stopTracking = admission.trackRequest(entitlement, engine);
    engine.inFlight += 1;
    try {
      await proxy.forward({ engine, path, request, priority: entitlement.priority, deadline, response });
    } finally {
      engine.inFlight -= 1;
      stopTracking();
    }
    // Queueing delay counted as service time would make later requests look too slow to admit and every model
    // short of replicas, so service times are recorded only for responses without a queue.
    if (!resumed && overutilization <= 1 && overutilizationOf(engine) <= 1)
      times.record(request.model, tokensOf(request), Date.now() - started);
  }

  private recordFailure(engine: Engine, failure: Failure): void {
    const { kind, message, requestId } = failure;
    this.options.log.warn({ event: "attempt-failed", engine: engine.address, kind, message, requestId });
    if (failure.kind === "draining") this.options.fleet.markLeaving(engine.address);
    if (failure.kind === "upstream-failed") this.options.fleet.recordFailure(engine.address);
  }

  /** The engine for the next attempt; for a model without any replica, once its first one is ready. */
  private async findEngine(completion: Completion, tried: ReadonlySet<string>): Promise<Engine | undefined> {
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
    return (await this.waitForFirstReplica(completion)) ? router.choose(routable, tried) : undefined;
  }

  /**
   * Waits for a first replica of the model; false if none will be ready in time. The lease holder reports which
   * replicas are pending, so a request for a model that won't be loaded now (its demand is counted all the same)
   * is rejected as soon as that is known instead of at its deadline.
   */
  private async waitForFirstReplica(completion: Completion): Promise<boolean> {
    const { router, times, meter, demandReporter, receiptWaitMs } = this.options;
    const { model } = completion.request;
    const latestStart = completion.deadline - times.expectedMs(model, tokensOf(completion.request));
    const receiptDeadline = Date.now() + receiptWaitMs;
    const stopWaiting = meter.startWaiting(model);
    try {
      // Report to the lease holder now instead of at the next period, to learn whether a load is planned.
      await demandReporter.refresh();
      while (!completion.res.destroyed && Date.now() < latestStart) {
        if (router.isReady(model)) return true;
        const pending = router.isLoading(model) || demandReporter.expectsReplica(model);
        if (pending === false || (pending === undefined && Date.now() > receiptDeadline)) return false;
        await sleep(replicaPollMs);
      }
      return false;
    } finally {
      stopWaiting();
    }
  }
}

function admissionRequestOf(completion: Completion): AdmissionRequest {
  const { entitlement, request, requestId, deadline } = completion;
  return { entitlement, model: request.model, tokens: tokensOf(request), requestId, deadline };
}

/** Token limit of a request. */
function tokensOf(request: CompletionRequest): number {
  return request.max_tokens ?? defaultTokens;
}
