/** One request as the quarantine sees it: whether it may be sent, and what its sends show of it and of their servers. */
import type * as http from "node:http";
import { incarnationOf, type BackendServer } from "../serving/backendServer.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import { fingerprintOf } from "../serving/quarantine/fingerprint.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { serverErrorStatus } from "./sendRecord.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { RunLock, RunLockTask } from "./runLockTask.ts";

/** Requests with a longer body are identified only once there is a suspicion, bytes. */
const longestCommonBody = 4_096;

/** Pause between tries for a lock, ms. */
const lockMs = 40;

/** What the check works with. */
export interface QuarantineCheckOptions {
  readonly serving: GatewayContext;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly req: http.IncomingMessage;
  readonly facts: RequestMetadata;
  readonly body: Buffer | undefined;
}

/** Asked before each send, told after it. */
export class QuarantineCheck {
  private contentId: string | undefined;
  /** Held while this copy of a suspected request runs. */
  private lock: RunLock | undefined;

  constructor(private readonly options: QuarantineCheckOptions) {}

  /** Time until the request may be sent, ms; 0 if it may now. */
  get leftMs(): number {
    const { quarantine } = this.options.serving;
    // Skips hashing the body while nothing is quarantined.
    return quarantine.entries.size === 0 ? 0 : quarantine.remainingMs(this.fingerprint, performance.now());
  }

  /** May this copy run now? Of a suspected request one copy runs at a time, over all nodes. */
  get mayRun(): boolean {
    if (this.lock !== undefined) return true;
    const { quarantine } = this.options.serving;
    return quarantine.isEmpty || !quarantine.isSuspected(this.fingerprint, performance.now());
  }

  /** Acquires the lock if no other copy holds it, or else sleeps a moment. */
  async awaitLock(): Promise<void> {
    this.lock = await this.options.runLocks.acquire(this.fingerprint);
    if (this.lock === undefined) await new Promise((resolve) => setTimeout(resolve, lockMs));
  }

  /** Gives the lock back. */
  dispose(): void {
    void this.lock?.dispose();
    this.lock = undefined;
  }

  /** Takes the outcome of a send made at `sentMs`. */
  note(server: BackendServer, outcome: AttemptOutcome, sentMs: number): void {
    const { quarantine } = this.options.serving;
    if (outcome.kind === "broken" && outcome.cut) {
      this.noteCut(server, outcome.reason, outcome.lastEvent, sentMs);
      this.lock?.markCut();
    }
    const now = performance.now();
    if (hasAnswered(outcome)) quarantine.recordResponse(incarnationOf(server), sentMs, now);
    if (hasRun(outcome) && (this.maySoonRepeat || !quarantine.isEmpty))
      quarantine.recordSuccess(this.fingerprint, now);
    this.dispose();
  }

  /** Long prompts are hardly ever sent twice by different callers, and cost the most to identify. */
  private get maySoonRepeat(): boolean {
    return (this.options.body?.length ?? 0) <= longestCommonBody;
  }

  private noteCut(
    server: BackendServer,
    reason: string,
    lastEvent: number | undefined,
    sentMs: number,
  ): void {
    const { serving, facts } = this.options;
    const now = performance.now();
    const known = serving.fleet.get(server.id);
    // Guards "a request is held back because servers were taken away": one that was leaving, or whose registration is
    // gone already, ends for that reason, and cuts off whatever still runs on it.
    const ended =
      known !== undefined && !known.leaving && serving.notices.leavingSinceMs(known) === undefined;
    if (ended) serving.quarantine.recordConnectionLoss(this.fingerprint, incarnationOf(server), now);
    serving.metrics.cuts.inc({ service: server.service });
    serving.log.info({
      event: "request-cut",
      requestId: facts.requestId,
      fingerprint: this.fingerprint,
      service: server.service,
      server: server.id,
      model: facts.model,
      adapter: facts.adapter,
      lastEvent,
      afterMs: Math.round(now - sentMs),
      reason,
      counts: ended,
    });
  }

  private get fingerprint(): string {
    const { req, facts, body } = this.options;
    this.contentId ??= fingerprintOf({
      method: req.method ?? "GET",
      host: facts.host,
      target: req.url ?? "/",
      body,
    });
    return this.contentId;
  }
}

/** Did the server say anything to this request? */
function hasAnswered(outcome: AttemptOutcome): boolean {
  if (outcome.kind === "not-run") return !outcome.facts.wrongServer;
  return outcome.kind === "answered" || outcome.kind === "streamed";
}

/** Did the server run the request to its end? An answer that doesn't say where it ends may have been cut off. */
function hasRun(outcome: AttemptOutcome): boolean {
  if (outcome.kind === "streamed") return outcome.framed;
  if (outcome.kind !== "answered") return false;
  const { status, framed } = outcome.answer.facts;
  return status < serverErrorStatus && framed;
}
