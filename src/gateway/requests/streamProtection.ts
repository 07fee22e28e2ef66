/** Holds one prompt back while it would delay the running streams of its engine too much, and records this. */
import type { DecodingEffect } from "../../serving/admission.ts";
import type { Route } from "../../serving/configuration.ts";
import { isSmallPrompt, projectedGapMs } from "../../serving/decoding/gapProjection.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { RequestDeadlines } from "../../serving/requestDeadlines.ts";
import type { ServerEstimate } from "../../serving/serverChoice.ts";
import { decodingViewOf, type DecodingViewOptions } from "./decodingView.ts";

/**
 * Limits of the time in which held prompts that find room at an engine are sent one after the other, ms: several times what
 * a report takes to the other nodes. They see the room at the same moment, and without it two or more were sent at once.
 */
const minSettleMs = 30;
const maxSettleMs = 150;
/** This time as a ratio of how long the prompt was held: the longer, the more others wait as well. */
const settleRatio = 0.25;

/** Options of a `StreamProtection`. */
export interface StreamProtectionOptions extends DecodingViewOptions {
  readonly metadata: RequestMetadata;
  readonly route: Route;
  readonly deadlines: RequestDeadlines;
  /** Source of random numbers from 0 to 1. */
  readonly random?: () => number;
}

/** How a held prompt's wait ended. */
type HoldOutcome = "sent" | "refused" | "left";

/** One request and the streams at its engine. */
export class StreamProtection {
  private heldSinceMs: number | undefined;
  /** When the prompt is sent if there still is room. */
  private settledAtMs: number | undefined;
  /** Inputs of the first decision to hold it back, for the log. */
  private inputs: Readonly<Record<string, unknown>> = {};

  constructor(private readonly options: StreamProtectionOptions) {}

  /** Effect of sending the prompt to the candidate now; undefined if the service has no gap limit. */
  effectOf({ server, prefillMs }: ServerEstimate, nowMs: number): DecodingEffect | undefined {
    const view = decodingViewOf(this.options, nowMs);
    if (view === undefined) return undefined;
    const { metadata, deadlines } = this.options;
    const { needs } = view;
    const engine = view.engineOf(server);
    const idle = { ...engine, pendingMs: 0, startedMs: 0, startedLongMs: 0 };
    // Without a hint the number of events is unknown.
    const events = Math.ceil((metadata.outputHint ?? 0) / needs.tokensPerEvent);
    return {
      gapLimitMs: needs.gapLimitMs,
      gapMs: projectedGapMs(engine, needs, prefillMs),
      aloneGapMs: projectedGapMs(idle, needs, prefillMs),
      isSmall: isSmallPrompt(engine, needs, prefillMs),
      streamMs: Math.max(0, events - 1) * needs.tokensPerEvent * needs.stepMs,
      responseLeftMs: deadlines.responseDeadlineMs - nowMs,
    };
  }

  /** There is room for the prompt: how long it has to wait before it is checked again and sent, ms; 0 to send it now. */
  settle(nowMs: number): number {
    if (this.heldSinceMs === undefined) return 0;
    const windowMs = Math.max(minSettleMs, settleRatio * (nowMs - this.heldSinceMs));
    this.settledAtMs ??= nowMs + (this.options.random ?? Math.random)() * Math.min(maxSettleMs, windowMs);
    return Math.max(0, this.settledAtMs - nowMs);
  }

  /** The prompt waits for the streams at the candidate. */
  hold({ server, prefillMs, queueMs }: ServerEstimate, nowMs: number): void {
    this.settledAtMs = undefined;
    const { rank } = this.options;
    if (this.heldSinceMs !== undefined) return;
    this.heldSinceMs = nowMs;
    const view = decodingViewOf(this.options, nowMs);
    const engine = view?.engineOf(server);
    this.inputs = {
      ...{ server: server.id, rank, gapLimitMs: view?.needs.gapLimitMs },
      ...{ prefillMs: Math.round(prefillMs), queueMs: Math.round(queueMs) },
      pendingMs: Math.round(engine?.pendingMs ?? 0),
      startedMs: Math.round(engine?.startedMs ?? 0),
      intervalMs: Math.round(engine?.intervalMs ?? 0),
      longestGapMs: Math.round(engine?.longestGapMs ?? 0),
      prefillRatio: Number((engine?.ratio ?? 1).toFixed(2)),
    };
  }

  /** The request was sent or refused, or its caller left; records a hold. */
  end(outcome: HoldOutcome, nowMs: number): void {
    if (this.heldSinceMs === undefined) return;
    const { context, service, route, metadata } = this.options;
    const heldMs = nowMs - this.heldSinceMs;
    this.heldSinceMs = undefined;
    context.metrics.heldPrompts.inc({ service: service.name, outcome });
    context.metrics.heldTime.observe({ service: service.name }, heldMs / 1000);
    context.log.info({
      event: "prompt-held",
      requestId: metadata.requestId,
      route: route.name,
      ...this.inputs,
      heldMs: Math.round(heldMs),
      outcome,
    });
  }
}
