/** What the sends of one request teach: of loads while they run, and of servers, models and engines by their outcomes. */
import type { Model, Service } from "../serving/configuration.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import type { InFlightRequest } from "../serving/loadTracker.ts";
import { sharedPrefixTokens, type ServerEstimate } from "../serving/serverChoice.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { adapterKey, residencyKey, type GatewayContext } from "./gatewayContext.ts";

/** Prompts with a larger shared part say little of a model's pace. */
const maxSharedPrefixRatio = 0.4;
/** Answers of these classes by the server itself may be repeated elsewhere. */
export const serverErrorStatus = 500;

/** What the record works with. */
export interface SendRecordOptions {
  readonly context: GatewayContext;
  readonly service: Service;
  readonly metadata: RequestMetadata;
  readonly arrivedMs: number;
}

/** Tells the beliefs of the node what a request's sends show. */
export class SendRecord {
  constructor(private readonly options: SendRecordOptions) {}

  /** Counts the send in flight at its server, and with its model and adapter, until it is done. */
  start(candidate: ServerEstimate): InFlightRequest {
    const { context, metadata, service } = this.options;
    const { loads, modelsRunning, adaptersRunning } = context;
    const { model, adapter } = metadata;
    const inFlight = loads.begin(candidate.server.id, candidate.prefillMs);
    if (context.notices.limitPerS(candidate.server) !== undefined)
      context.metrics.limitedSends.inc({ service: service.name });
    if (model === undefined) return inFlight;
    const residency = residencyKey(candidate.server.id, model);
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
  recordOutcome(candidate: ServerEstimate, outcome: AttemptOutcome): void {
    const { context, service } = this.options;
    const { server } = candidate;
    const now = performance.now();
    context.metrics.attempts.inc({ service: service.name, outcome: outcome.kind });
    if (outcome.kind === "answered" && outcome.response.metadata.status >= serverErrorStatus) {
      context.outliers.recordFailure(server.id, now);
    } else if (outcome.kind === "answered" || outcome.kind === "streamed") {
      context.outliers.recordSuccess(server.id, outcome.firstByteMs, candidate.baselineMs);
      this.observePrefill(candidate, outcome.firstByteMs);
      if (outcome.kind === "streamed" && service.engine !== undefined)
        context.engineSpeed.observe(outcome.timing, service.engine.tokensPerEvent);
    } else if (outcome.kind === "unreachable") {
      context.outliers.recordUnreachable(server.id, now);
    } else if (outcome.kind === "broken" || outcome.kind === "silent") {
      context.outliers.recordFailure(server.id, now);
    }
    if (outcome.kind === "silent" && outcome.waitedMs !== undefined)
      context.outliers.recordTimeout(server.id, outcome.waitedMs, candidate.baselineMs);
    this.log(candidate, outcome, now);
  }

  private log(candidate: ServerEstimate, outcome: AttemptOutcome, now: number): void {
    const { context, metadata, arrivedMs } = this.options;
    context.log.debug({
      event: "attempt",
      requestId: metadata.requestId,
      server: candidate.server.id,
      model: metadata.model,
      promptTokens: metadata.promptTokens,
      expectedMs: Math.round(candidate.expectedMs),
      tookMs: Math.round(now - arrivedMs),
      outcome: outcome.kind,
      ...("reason" in outcome ? { reason: outcome.reason } : {}),
      ...("firstByteMs" in outcome ? { firstByteMs: Math.round(outcome.firstByteMs) } : {}),
      ...("response" in outcome ? { status: outcome.response.metadata.status } : {}),
      ...("metadata" in outcome ? { status: outcome.metadata.status } : {}),
    });
  }

  private observePrefill(candidate: ServerEstimate, firstByteMs: number): void {
    const { context, metadata } = this.options;
    const { model } = this;
    if (model === undefined || !candidate.lightlyLoaded) return;
    // Where much of the prompt is shared it isn't known how much of it was read.
    if (sharedPrefixTokens(metadata.prefix) > maxSharedPrefixRatio * metadata.promptTokens) return;
    context.prefillFactors.observe(model, firstByteMs, candidate.referencePrefillMs);
  }

  /** The model asked for, where the service has engines. */
  private get model(): Model | undefined {
    const { service, metadata } = this.options;
    return service.engine?.models.find((m) => m.name === metadata.model);
  }
}
