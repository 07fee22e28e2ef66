/** Quarantine of one request: checks whether it may be sent and records what its sends reveal about crashes. */
import type * as http from "node:http";
import { incarnationOf, type BackendServer } from "../serving/backendServer.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import { fingerprintOf } from "../serving/quarantine/fingerprint.ts";
import type { AttemptOutcome } from "./attempt.ts";
import { serverErrorStatus } from "./sendRecord.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { RunLock, RunLockTask } from "./runLockTask.ts";

/** Requests with a longer body, bytes, are fingerprinted only while there are suspected requests. */
const maxLikelyRepeatedBodyBytes = 4_096;

/** Maximum number of prompt parts in a log line, and of characters of each id, which come from callers. */
const maxLoggedParts = 8;
const maxLoggedIdLength = 40;

/** Interval between attempts to acquire the run lock, ms. */
const lockRetryMs = 40;

/** Options of a `QuarantineCheck`. */
export interface QuarantineCheckOptions {
  readonly context: GatewayContext;
  readonly runLocks: Pick<RunLockTask, "acquire">;
  readonly req: http.IncomingMessage;
  readonly metadata: RequestMetadata;
  readonly body: Buffer | undefined;
}

/** Checked before each send and updated after it. */
export class QuarantineCheck {
  private cachedFingerprint: string | undefined;
  /** Held while this duplicate of a suspected request runs. */
  private lock: RunLock | undefined;

  constructor(private readonly options: QuarantineCheckOptions) {}

  /** Remaining quarantine of the request, ms; 0 if it may be sent now. */
  get timeLeftMs(): number {
    const { quarantine } = this.options.context;
    // Avoids hashing the body while nothing is quarantined.
    return quarantine.entries.size === 0 ? 0 : quarantine.timeLeftMs(this.fingerprint, performance.now());
  }

  /** Whether the request may run now: duplicates of a suspected request run one at a time over all nodes. */
  get mayRun(): boolean {
    if (this.lock !== undefined) return true;
    const { quarantine } = this.options.context;
    return quarantine.isEmpty || !quarantine.isSuspected(this.fingerprint, performance.now());
  }

  /** Acquires the run lock, or sleeps briefly if a duplicate holds it. */
  async awaitLock(): Promise<void> {
    this.lock = await this.options.runLocks.acquire(this.fingerprint);
    if (this.lock === undefined) await new Promise((resolve) => setTimeout(resolve, lockRetryMs));
  }

  /** Releases the lock. */
  dispose(): void {
    void this.lock?.dispose();
    this.lock = undefined;
  }

  /** Records the outcome of a send made at `sentMs`. */
  recordOutcome(server: BackendServer, outcome: AttemptOutcome, sentMs: number): void {
    const { quarantine } = this.options.context;
    if (outcome.kind === "broken" && outcome.connectionLost) {
      this.recordConnectionLoss(server, outcome.reason, outcome.lastEvent, sentMs);
      this.lock?.markConnectionLost();
    }
    const now = performance.now();
    if (hasResponded(outcome)) quarantine.recordResponse(incarnationOf(server), sentMs, now);
    if (ranToCompletion(outcome) && (this.isLikelyRepeated || !quarantine.isEmpty))
      quarantine.recordSuccess(this.fingerprint, now);
    this.dispose();
  }

  /** Whether a duplicate is likely: long prompts are hardly ever sent by two callers, and cost the most to hash. */
  private get isLikelyRepeated(): boolean {
    return (this.options.body?.length ?? 0) <= maxLikelyRepeatedBodyBytes;
  }

  private recordConnectionLoss(
    server: BackendServer,
    reason: string,
    lastEvent: number | undefined,
    sentMs: number,
  ): void {
    const { context, metadata } = this.options;
    const now = performance.now();
    const known = context.fleet.get(server.id);
    // A server that is shutting down, or is no longer registered, loses its connections for that reason. Counting it as
    // a crash would quarantine requests because servers were removed.
    const crashed =
      known !== undefined && !known.leaving && context.notices.leavingSinceMs(known) === undefined;
    if (crashed) context.quarantine.recordConnectionLoss(this.fingerprint, incarnationOf(server), now);
    context.metrics.lostConnections.inc({ service: server.service });
    context.log.info({
      event: "request-cut",
      requestId: metadata.requestId,
      fingerprint: this.fingerprint,
      service: server.service,
      server: server.id,
      model: metadata.model,
      adapter: metadata.adapter,
      parts: metadata.prefix.slice(0, maxLoggedParts).map(({ id }) => id.slice(0, maxLoggedIdLength)),
      lastEvent,
      afterMs: Math.round(now - sentMs),
      reason,
      counts: crashed,
    });
  }

  private get fingerprint(): string {
    const { req, metadata, body } = this.options;
    this.cachedFingerprint ??= fingerprintOf({
      method: req.method ?? "GET",
      host: metadata.host,
      target: req.url ?? "/",
      body,
    });
    return this.cachedFingerprint;
  }
}

/** Whether the server itself responded to the request. */
function hasResponded(outcome: AttemptOutcome): boolean {
  if (outcome.kind === "not-run") return !outcome.metadata.wrongServer;
  return outcome.kind === "answered" || outcome.kind === "streamed";
}

/** Whether the server ran the request to completion; an unframed response may have been truncated. */
function ranToCompletion(outcome: AttemptOutcome): boolean {
  if (outcome.kind === "streamed") return outcome.framed;
  if (outcome.kind !== "answered") return false;
  const { status, framed } = outcome.response.metadata;
  return status < serverErrorStatus && framed;
}
