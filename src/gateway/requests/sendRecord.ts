/** Records the sends of one request: load while in flight, and outcomes for health and speed estimates. */
import { incarnationOf, type BackendServer } from "../../serving/backendServer.ts";
import type { Model, Service } from "../../serving/configuration.ts";
import type { PromptHandle } from "../../serving/decoding/decodingTracker.ts";
import type { RequestMetadata, ResponseMetadata } from "../../serving/exchange.ts";
import type { RequestDeadlines } from "../../serving/requestDeadlines.ts";
import type { InFlightRequest } from "../../serving/loadTracker.ts";
import { callRounds } from "../../serving/pace/serverSpeeds.ts";
import type { SentPrompt } from "../../serving/prefixCache/cacheKnowledge.ts";
import { trackedParts } from "../../serving/prefixCache/partKey.ts";
import { sharedPrefixTokens, type ServerEstimate } from "../../serving/serverChoice.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { decodingViewOf } from "./decodingView.ts";
import { adapterKey, residencyKey, type GatewayContext } from "../gatewayContext.ts";

/** Prompts with a larger shared prefix are not used to estimate the prefill factor of a model. */
const maxSharedPrefixRatio = 0.4;
/** Responses with this status or above are server errors and may be retried on another server. */
export const serverErrorStatus = 500;

/** Minimum number of events of a stream that measures the step time of its engine. */
const minStepEvents = 4;

/** Options of a `SendRecord`. */
export interface SendRecordOptions {
  readonly context: GatewayContext;
  readonly service: Service;
  readonly metadata: RequestMetadata;
  readonly arrivedMs: number;
  /** Gap limit of the route, ms, or 0; rank at engines; deadlines. */
  readonly pauseMs: number;
  readonly rank: number;
  readonly deadlines: RequestDeadlines;
}

/** A send in flight; `eventGap` is to be called for the time between two events of its stream. */
export interface SendInFlight extends InFlightRequest {
  readonly eventGap?: (gapMs: number) => void;
}

/** A prompt at an engine, with what its handle needs filled in. */
interface StartedPrompt extends Pick<PromptHandle, "done"> {
  readonly firstEvent: () => void;
  readonly eventGap: (gapMs: number) => void;
}

/** Outcomes with a response that may be complete. */
type CompletedOutcome = Extract<AttemptOutcome, { kind: "answered" | "streamed" }>;

/** Whether the response ended with its connection, so that a truncation would not show. */
function isUnframed(outcome: CompletedOutcome): boolean {
  return outcome.kind === "streamed" ? !outcome.framed : !outcome.response.metadata.framed;
}

/** Size of the response: events of a stream, bytes of another one. */
function sizeOf(outcome: CompletedOutcome): number {
  return outcome.kind === "streamed" ? outcome.timing.events : outcome.response.body.length;
}

/** Updates the load, health and speed estimates of the node from the sends of one request. */
export class SendRecord {
  constructor(private readonly options: SendRecordOptions) {}

  /** Counts the send as in flight for its server, model and adapter until `done` is called. */
  start(candidate: ServerEstimate): SendInFlight {
    const { context, metadata, service } = this.options;
    const { loads, modelsRunning, adaptersRunning } = context;
    const { model, adapter } = metadata;
    const inFlight = loads.start(candidate.server.id, candidate.prefillMs);
    const caching = this.recordPrompt(candidate);
    if (candidate.fetch !== undefined) context.metrics.prefixFetches.inc({ service: service.name });
    if (context.notices.limitPerS(candidate.server) !== undefined)
      context.metrics.limitedSends.inc({ service: service.name });
    if (model === undefined) return inFlight;
    const prompt = this.startPrompt(candidate);
    const residency = residencyKey(candidate.server.id, model);
    const running = adapter === undefined ? undefined : adapterKey(service.name, model, adapter);
    modelsRunning.add(residency);
    if (running !== undefined) adaptersRunning.add(running);
    return {
      ...(prompt === undefined ? {} : { eventGap: prompt.eventGap }),
      started: () => {
        inFlight.started();
        prompt?.firstEvent();
        caching?.started(performance.now());
      },
      done: () => {
        inFlight.done();
        prompt?.done();
        caching?.done();
        modelsRunning.remove(residency);
        if (running !== undefined) adaptersRunning.remove(running);
      },
    };
  }

  /** Counts the prompt at its engine, if its service has a gap limit. */
  private startPrompt(candidate: ServerEstimate): StartedPrompt | undefined {
    const { context, service, metadata, pauseMs, rank, deadlines } = this.options;
    const view = decodingViewOf(this.options, performance.now());
    if (view === undefined) return undefined;
    const { server, prefillMs, requests } = candidate;
    const { tokensPerEvent } = view.needs;
    const overheadMs =
      context.prefillFactors.overheadMs + context.engineSpeed.slotWaitMs(requests, server.slots);
    const isUrgentNews = view.isUrgentNews(server, prefillMs);
    const prompt = { rank, prefillMs, overheadMs, ...view.needs, isUrgentNews };
    const handle = context.decoding.start(incarnationOf(server), prompt, performance.now());
    const tokens = Math.min(metadata.outputTokens, metadata.outputHint ?? metadata.outputTokens);
    return {
      firstEvent: () => {
        const now = performance.now();
        const { responseDeadlineMs: deadlineMs } = deadlines;
        const stream = { gapLimitMs: pauseMs, deadlineMs, eventsLeft: tokens / tokensPerEvent };
        handle.firstEvent(pauseMs > 0 ? stream : undefined, now);
      },
      eventGap: (gapMs) => {
        handle.eventGap(gapMs, performance.now());
        if (pauseMs > 0 && gapMs > pauseMs) context.metrics.longGaps.inc({ service: service.name });
      },
      done: () => {
        handle.done();
      },
    };
  }

  /** Counts what of the prompt was expected to be cached; the server will have its shared parts cached soon. */
  private recordPrompt({ server, cachedTokens, cacheKnown }: ServerEstimate): SentPrompt | undefined {
    const { context, metadata, service } = this.options;
    const parts = trackedParts(service, metadata);
    if (parts === undefined) return undefined;
    const { sharedParts, cacheKnowledge, metrics } = context;
    sharedParts.recordRequest(parts, metadata.requestId);
    const labels = { service: service.name, source: cacheKnown ? "events" : "hash" };
    metrics.prefixTokens.inc({ ...labels, expected: "cached" }, cachedTokens);
    const uncached = Math.max(0, metadata.promptTokens - cachedTokens);
    metrics.prefixTokens.inc({ ...labels, expected: "uncached" }, uncached);
    const shared = parts.filter(({ key }, i) => i < parts.length - 1 || sharedParts.has(key));
    return cacheKnowledge.recordSend(server, shared, performance.now());
  }

  /** Updates outlier detection, prefill factor and engine speed from the outcome of a send at `sentMs`, and logs it. */
  recordOutcome(candidate: ServerEstimate, outcome: AttemptOutcome, sentMs: number): void {
    const { context, service } = this.options;
    const { server } = candidate;
    const now = performance.now();
    const isCompleted = outcome.kind === "answered" || outcome.kind === "streamed";
    const label = isCompleted && isUnframed(outcome) ? "unframed" : outcome.kind;
    context.metrics.attempts.inc({ service: service.name, outcome: label });
    if (isCompleted) this.recordCompletion(candidate, outcome, sentMs, now);
    else if (outcome.kind === "not-run") this.recordRefusal(server, outcome.metadata, now);
    else if (outcome.kind === "unreachable") {
      context.speeds.recordFailure(server, now);
      context.reachability.recordConnectFailure(server.id, sentMs, now);
    } else if (outcome.kind === "broken" || outcome.kind === "silent") {
      context.outliers.recordFailure(server.id, now);
      context.speeds.recordFailure(server, now);
    }
    const isLost = outcome.kind === "unreachable" || (outcome.kind === "broken" && outcome.connectionLost);
    if (isLost && context.concurrency.recordLoss(server, now)) {
      context.metrics.brittleFailures.inc({ service: service.name });
      context.log.warn({ event: "brittle-server-failed", server: server.id, service: service.name });
    }
    if (outcome.kind === "silent" && outcome.waitedMs !== undefined)
      context.outliers.recordTimeout(server.id, outcome.waitedMs, candidate.baselineMs, now);
    this.log(candidate, outcome, now);
  }

  /** A refusal slows down the pace of a plain server, unless it states a limit or a back-off, which are kept anyway. */
  private recordRefusal(server: BackendServer, metadata: ResponseMetadata, nowMs: number): void {
    const { context, service } = this.options;
    const { limitPerS, retryAfterMs } = metadata.notice;
    const isLimited =
      limitPerS !== undefined || retryAfterMs !== undefined || context.concurrency.isLimited(server, nowMs);
    if (service.engine !== undefined || metadata.wrongServer || isLimited) return;
    context.speeds.recordFailure(server, nowMs);
  }

  private recordCompletion(
    candidate: ServerEstimate,
    outcome: CompletedOutcome,
    sentMs: number,
    nowMs: number,
  ): void {
    const { outliers, engineSpeed, speeds } = this.options.context;
    const { server, baselineMs } = candidate;
    const { service } = this.options;
    const isUnverified = isUnframed(outcome);
    if (isUnverified) this.logUnframed(candidate, outcome, nowMs - sentMs);
    if (outcome.kind === "answered" && outcome.response.metadata.status >= serverErrorStatus) {
      outliers.recordFailure(server.id, nowMs);
      speeds.recordFailure(server, nowMs);
      return;
    }
    // Without any part of the body there was no first byte to measure either.
    if (isUnverified && sizeOf(outcome) === 0) return;
    if (isUnverified) outliers.recordUnverified(server.id, outcome.firstByteMs, baselineMs, nowMs);
    else outliers.recordSuccess(server.id, outcome.firstByteMs, baselineMs, nowMs);
    this.observePrefill(candidate, outcome.firstByteMs);
    if (service.engine === undefined)
      speeds.recordAnswer(server, outcome.firstByteMs, callRounds(candidate), nowMs);
    if (outcome.kind === "streamed" && !isUnverified && service.engine !== undefined) {
      const { tokensPerEvent } = service.engine;
      const { timing } = outcome;
      // Streams beside others have longer steps, however fast the engine is.
      if (candidate.lightlyLoaded && timing.events >= minStepEvents) {
        const stepsMs = engineSpeed.stepMs * Math.max(1, tokensPerEvent) * (timing.events - 1);
        speeds.recordAnswer(server, timing.eventsMs, stepsMs, nowMs);
      }
      engineSpeed.observe(timing, tokensPerEvent);
    }
  }

  private logUnframed({ server }: ServerEstimate, outcome: CompletedOutcome, tookMs: number): void {
    const { context, metadata, service } = this.options;
    context.metrics.unframed.inc({ service: service.name });
    context.log.info({
      event: "response-unframed",
      requestId: metadata.requestId,
      service: service.name,
      server: server.id,
      afterMs: Math.round(tookMs),
      [outcome.kind === "streamed" ? "events" : "bodyBytes"]: sizeOf(outcome),
    });
  }

  private log(candidate: ServerEstimate, outcome: AttemptOutcome, now: number): void {
    const { context, metadata, arrivedMs } = this.options;
    context.log.debug({
      event: "attempt",
      requestId: metadata.requestId,
      server: candidate.server.id,
      softwareVersion: candidate.server.softwareVersion,
      resumes: metadata.resumedRequestId,
      model: metadata.model,
      promptTokens: metadata.promptTokens,
      expectedMs: Math.round(candidate.expectedMs),
      fetchFrom: candidate.fetch?.source,
      cachedTokens: Math.round(candidate.cachedTokens),
      cacheSource: candidate.cacheKnown ? "events" : "hash",
      ...(candidate.cacheAgeMs === undefined ? {} : { cacheAgeMs: Math.round(candidate.cacheAgeMs) }),
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
    // With a large shared prefix it is unknown how much of the prompt was a cache hit.
    if (sharedPrefixTokens(metadata.prefix) > maxSharedPrefixRatio * metadata.promptTokens) return;
    context.prefillFactors.observe(model, firstByteMs, candidate.referencePrefillMs);
    // Of a short prompt the time to first token is mostly overhead.
    if (candidate.prefillMs < candidate.queueMs) return;
    const typicalPrefillMs = candidate.prefillMs * candidate.speed;
    const now = performance.now();
    context.speeds.recordAnswer(candidate.server, firstByteMs, candidate.queueMs + typicalPrefillMs, now);
  }

  /** The requested model, if the service runs on engines. */
  private get model(): Model | undefined {
    const { service, metadata } = this.options;
    return service.engine?.models.find((m) => m.name === metadata.model);
  }
}
