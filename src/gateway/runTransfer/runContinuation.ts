/**
 * Continues the run of one request at an engine that has a copy of it, after its engine was lost. The events go on within
 * the response to the caller. All sends of the run count as one towards attempts, retries and quotas.
 */
import type { BackendServer } from "../../serving/backendServer.ts";
import type { RunCopy } from "../../serving/exchange.ts";
import { callerEventTimeoutMs } from "../../serving/requestDeadlines.ts";
import type { ServerEstimate } from "../../serving/serverChoice.ts";
import type { AttemptOutcome } from "../requests/attempt.ts";
import type { ServedRequest } from "../requests/servedRequest.ts";
import { RunSend, type CopyKind, type CopyLocation, type RunHistory } from "./runSend.ts";

/** Continuations of one request, most of them after moves. */
const maxContinuations = 3;
/** Time for the next event to reach the caller before it disconnects, ms. */
const eventMarginMs = 250;

/** Options of a `RunContinuation`. */
export interface RunContinuationOptions {
  readonly request: ServedRequest;
  /** Sends the request to an engine that continues the run from the copy. */
  readonly send: (candidate: ServerEstimate, copy: RunCopy) => Promise<AttemptOutcome>;
}

/** The run of one request, over all engines that work on it one after the other. */
export class RunContinuation {
  private readonly request: ServedRequest;
  private readonly history: RunHistory = { moves: 0, losses: 0, refusedBy: new Set() };
  private latest: RunSend | undefined;
  /** When the engine that was lost had last been heard, ms. */
  private lostHeardMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: RunContinuationOptions) {
    this.request = options.request;
  }

  /** The request is about to be sent to the server. */
  begin(server: BackendServer): RunSend {
    this.latest = new RunSend({ request: this.request, server, history: this.history });
    return this.latest;
  }

  /** Timeout of the first event of a continuation, ms: the caller still waits for it. */
  get firstByteTimeoutMs(): number {
    return Math.max(1, this.nextEventDeadlineMs - performance.now());
  }

  /** Continues the run if its engine was lost; resolves with the outcome of the last send that worked on it. */
  async continueAfter(outcome: AttemptOutcome): Promise<AttemptOutcome> {
    let current = outcome;
    for (let i = 0; i < maxContinuations; i += 1) {
      const { latest } = this;
      this.lostHeardMs = latest?.heardMs ?? this.lostHeardMs;
      const copies = (await latest?.copiesAfter(current, this.nextEventDeadlineMs)) ?? [];
      if (current.kind === "broken") this.history.losses += 1;
      const next = copies.length === 0 ? undefined : await this.continueFrom(copies, current);
      if (next?.from !== "move") latest?.release();
      if (next === undefined) return current;
      current = next.outcome;
    }
    this.latest?.release();
    return current;
  }

  /** Resolves with undefined if no engine has continued the run. */
  private async continueFrom(
    copies: readonly CopyLocation[],
    lost: AttemptOutcome,
  ): Promise<{ readonly from: CopyKind; readonly outcome: AttemptOutcome } | undefined> {
    const { request } = this;
    const { caller } = request;
    const lastEvent = "lastEvent" in lost ? lost.lastEvent : undefined;
    if (lastEvent !== undefined && caller.started) request.lastEvent = lastEvent;
    // Events without ids can't be continued where they ended.
    if (caller.started && request.lastEvent === undefined) return undefined;
    for (const location of copies) {
      const refusal = await this.refusalOf(location.server);
      if (refusal !== undefined) {
        this.log(location, refusal);
        continue;
      }
      const candidate = this.estimateOf(location.server);
      if (candidate === undefined) continue;
      const outcome = await this.options.send(candidate, location.copy);
      const isContinued = hasContinued(outcome);
      this.log(location, isContinued ? outcome.kind : `failed: ${outcome.kind}`);
      if (isContinued) return { from: location.kind, outcome };
      this.history.refusedBy.add(location.server.id);
    }
    return undefined;
  }

  /** Why the run isn't continued at the server; undefined if it may be. Waits for the run lock of a suspected request. */
  private async refusalOf(server: BackendServer): Promise<string | undefined> {
    const { request } = this;
    const { caller, context, quarantine } = request;
    for (;;) {
      await context.watermark.waitUntilCaughtUp();
      if (caller.disconnected || request.abandoned) return "caller left";
      if (quarantine.timeLeftMs > 0) return "quarantined";
      if (!request.hasTimeLeft() || performance.now() >= this.nextEventDeadlineMs) return "too late";
      if (!context.fleet.hasIncarnation(server)) return "server gone";
      if (!context.reachability.isReachable(server.id)) return "server unreachable";
      if (quarantine.mayRun) return undefined;
      await quarantine.awaitLock();
    }
  }

  /** The latest time at which the caller still waits for the next event, ms. */
  private get nextEventDeadlineMs(): number {
    const { route, caller, deadlines } = this.request;
    if (!caller.started) return deadlines.firstByteDeadlineMs;
    return Math.min(
      deadlines.responseDeadlineMs,
      this.lostHeardMs + callerEventTimeoutMs(route) - eventMarginMs,
    );
  }

  /** The engine prefills only what the copy lacks, so that its time to the first event says nothing about its speed. */
  private estimateOf(server: BackendServer): ServerEstimate | undefined {
    const estimate = this.request.selector.estimateOf(server);
    if (estimate === undefined) return undefined;
    return { ...estimate, prefillMs: 0, referencePrefillMs: 0, fetch: undefined, lightlyLoaded: false };
  }

  private log({ kind, server, copy }: CopyLocation, outcome: string): void {
    const { context, service, metadata, lastEvent } = this.request;
    const label = outcome.startsWith("failed") ? "not-continued" : outcome;
    context.metrics.continuedRuns.inc({ service: service.name, copy: kind, outcome: label });
    context.log.info({
      event: "run-continued",
      requestId: metadata.requestId,
      copy: kind,
      from: copy.address,
      server: server.id,
      lastEvent,
      outcome,
      silentMs: Math.round(performance.now() - this.lostHeardMs),
    });
  }
}

/** Whether the engine worked on the run, so that its outcome is that of the run. */
function hasContinued(outcome: AttemptOutcome): boolean {
  if (outcome.kind === "answered") return outcome.response.metadata.status < 400;
  return outcome.kind !== "unreachable" && outcome.kind !== "not-run";
}
