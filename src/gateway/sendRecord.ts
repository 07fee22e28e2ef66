/** What the sends of one request teach: of loads while they run, and of servers, models and engines by their outcomes. */
import type { Model, Service } from "../serving/configuration.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import type { InFlightRequest } from "../serving/loadTracker.ts";
import { sharedPrefixTokens, type ServerEstimate } from "../serving/serverChoice.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { adapterKey, residencyKey, type GatewayContext } from "./gatewayContext.ts";

/** Prompts with a larger shared part say little of a model's pace. */
const mostSharedPart = 0.4;
/** Answers of these classes by the server itself may be repeated elsewhere. */
export const serverErrorStatus = 500;

/** What the record works with. */
export interface SendRecordOptions {
  readonly serving: GatewayContext;
  readonly service: Service;
  readonly facts: RequestMetadata;
  readonly arrivedMs: number;
}

/** Tells the beliefs of the node what a request's sends show. */
export class SendRecord {
  constructor(private readonly options: SendRecordOptions) {}

  /** Counts the send in flight at its server, and with its model and adapter, until it is done. */
  begin(chosen: ServerEstimate): InFlightRequest {
    const { serving, facts, service } = this.options;
    const { loads, modelsRunning, adaptersRunning } = serving;
    const { model, adapter } = facts;
    const inFlight = loads.begin(chosen.server.id, chosen.prefillMs);
    if (serving.notices.limitPerS(chosen.server) !== undefined)
      serving.metrics.limitedSends.inc({ service: service.name });
    if (model === undefined) return inFlight;
    const residency = residencyKey(chosen.server.id, model);
    const running = adapter === undefined ? undefined : adapterKey(service.name, model, adapter);
    modelsRunning.add(residency);
    if (running !== undefined) adaptersRunning.add(running);
    return {
      started: () => {
        inFlight.started();
      },
      done: () => {
        inFlight.done();
        modelsRunning.remove(residency);
        if (running !== undefined) adaptersRunning.remove(running);
      },
    };
  }

  /** Judges the server by the outcome, learns the model's pace and the engine's speed, and writes it to the log. */
  note(chosen: ServerEstimate, outcome: AttemptOutcome): void {
    const { serving, service } = this.options;
    const { server } = chosen;
    const now = performance.now();
    serving.metrics.attempts.inc({ service: service.name, outcome: outcome.kind });
    if (outcome.kind === "answered" && outcome.answer.facts.status >= serverErrorStatus) {
      serving.outliers.recordFailure(server.id, now);
    } else if (outcome.kind === "answered" || outcome.kind === "streamed") {
      serving.outliers.recordSuccess(server.id, outcome.firstByteMs, chosen.baselineMs);
      this.learnPace(chosen, outcome.firstByteMs);
      if (outcome.kind === "streamed" && service.engine !== undefined)
        serving.speed.observe(outcome.timing, service.engine.tokensPerEvent);
    } else if (outcome.kind === "unreachable") {
      serving.outliers.recordUnreachable(server.id, now);
    } else if (outcome.kind === "broken" || outcome.kind === "silent") {
      serving.outliers.recordFailure(server.id, now);
    }
    if (outcome.kind === "silent" && outcome.waitedMs !== undefined)
      serving.outliers.recordTimeout(server.id, outcome.waitedMs, chosen.baselineMs);
    this.log(chosen, outcome, now);
  }

  private log(chosen: ServerEstimate, outcome: AttemptOutcome, now: number): void {
    const { serving, facts, arrivedMs } = this.options;
    serving.log.debug({
      event: "attempt",
      requestId: facts.requestId,
      server: chosen.server.id,
      model: facts.model,
      promptTokens: facts.promptTokens,
      expectedMs: Math.round(chosen.expectedMs),
      tookMs: Math.round(now - arrivedMs),
      outcome: outcome.kind,
      ...("reason" in outcome ? { reason: outcome.reason } : {}),
      ...("firstByteMs" in outcome ? { firstByteMs: Math.round(outcome.firstByteMs) } : {}),
      ...("answer" in outcome ? { status: outcome.answer.facts.status } : {}),
      ...("facts" in outcome ? { status: outcome.facts.status } : {}),
    });
  }

  private learnPace(chosen: ServerEstimate, firstByteMs: number): void {
    const { serving, facts } = this.options;
    const { model } = this;
    if (model === undefined || !chosen.lightlyLoaded) return;
    // Where much of the prompt is shared it isn't known how much of it was read.
    if (sharedPrefixTokens(facts.prefix) > mostSharedPart * facts.promptTokens) return;
    serving.paces.observe(model, firstByteMs, chosen.referencePrefillMs);
  }

  /** The model asked for, where the service has engines. */
  private get model(): Model | undefined {
    const { service, facts } = this.options;
    return service.engine?.models.find((m) => m.name === facts.model);
  }
}
