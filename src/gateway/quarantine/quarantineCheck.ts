/**
 * Quarantine of one request and of the parts of its prompt: checks whether it may be sent and records what its sends reveal
 * about crashes.
 */
import type * as http from "node:http";
import { incarnationOf, type BackendServer } from "../../serving/backendServer.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import { fingerprintOf } from "../../serving/quarantine/fingerprint.ts";
import { partKeysOf } from "../../serving/quarantine/promptParts.ts";
import type { AttemptOutcome } from "../requests/attempt.ts";
import { serverErrorStatus } from "../requests/sendRecord.ts";
import type { GatewayContext } from "../gatewayContext.ts";
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
  readonly req: Pick<http.IncomingMessage, "method" | "url">;
  readonly metadata: RequestMetadata;
  readonly service: string;
  readonly body: Buffer | undefined;
}

/** Checked before each send and updated after it. */
export class QuarantineCheck {
  private cachedFingerprint: string | undefined;
  private readonly partKeys: readonly string[];
  /** Held while this duplicate of a suspected request runs, and until the first event of one with a suspected part. */
  private readonly locks = new Map<string, RunLock>();
  /** The latest rounds of crashes known against the parts when the request was sent; empty if there were none. */
  private roundsBefore: ReadonlyMap<string, number> = new Map();
  private hadFirstEvent = false;

  constructor(private readonly options: QuarantineCheckOptions) {
    this.partKeys = partKeysOf(options.service, options.metadata.prefix);
  }

  /** Remaining quarantine of the request, ms; 0 if it may be sent now. */
  get timeLeftMs(): number {
    const { quarantine } = this.options.context;
    // Avoids hashing the body while nothing is quarantined.
    return quarantine.entries.size === 0 ? 0 : quarantine.timeLeftOfAll(this.keys, performance.now());
  }

  /** Why the request may not be sent. */
  get reason(): string {
    const held = this.options.context.quarantine.heldAmong(this.keys, performance.now());
    const parts = held.filter((key) => key !== this.fingerprint);
    return parts.length === 0
      ? "quarantined, as servers crashed while running it"
      : `quarantined, as servers crashed under requests with ${parts.join(", ")}`;
  }

  /**
   * Whether the request may run now: duplicates of a suspected request, and requests with a suspected part, run one at a time
   * over all nodes.
   */
  get mayRun(): boolean {
    return this.missingLocks.length === 0;
  }

  /** Acquires the run locks, or sleeps briefly if another request holds one of them. */
  async awaitLock(): Promise<void> {
    for (const key of this.missingLocks.sort()) {
      const lock = await this.options.runLocks.acquire(key);
      if (lock === undefined) {
        this.dispose();
        await this.options.context.quarantine.cleared.waitForNext(lockRetryMs);
        return;
      }
      this.locks.set(key, lock);
    }
  }

  /** Releases the locks. */
  dispose(): void {
    this.release([...this.locks.keys()]);
  }

  /** The request is being sent. */
  recordSend(): void {
    const { quarantine } = this.options.context;
    this.hadFirstEvent = false;
    this.roundsBefore = quarantine.isEmpty ? new Map() : quarantine.partRounds(this.partKeys);
  }

  /** The server sent the first event of a stream, or a whole answer. */
  recordFirstEvent(): void {
    this.hadFirstEvent = true;
    this.options.context.quarantine.recordFirstEvent(this.partKeys, performance.now());
    this.release(this.partKeys);
  }

  /** Records the outcome of a send made at `sentMs`. */
  recordOutcome(server: BackendServer, outcome: AttemptOutcome, sentMs: number): void {
    const { quarantine } = this.options.context;
    if (outcome.kind === "broken" && outcome.connectionLost) {
      this.recordConnectionLoss(server, outcome.reason, outcome.lastEvent, sentMs);
      for (const lock of this.locks.values()) lock.markConnectionLost();
    }
    const now = performance.now();
    if (hasResponded(outcome)) quarantine.recordResponse(incarnationOf(server), sentMs, now);
    // The clean end of an unframed response before its first event can be a crash.
    if (outcome.kind === "answered" && outcome.response.metadata.framed) this.recordFirstEvent();
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
    if (crashed) {
      const incarnation = incarnationOf(server);
      context.quarantine.recordConnectionLoss(this.fingerprint, incarnation, now);
      if (!this.hadFirstEvent)
        context.quarantine.recordPartLoss(this.partKeys, this.roundsBefore, incarnation, now);
    }
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
      partCrashes: [...context.quarantine.partCrashes(this.partKeys).values()].slice(0, maxLoggedParts),
      lastEvent,
      afterMs: Math.round(now - sentMs),
      reason,
      counts: crashed,
    });
  }

  private release(keys: readonly string[]): void {
    for (const key of keys) {
      void this.locks.get(key)?.dispose();
      this.locks.delete(key);
    }
  }

  /** Keys of the suspects among the request and its parts whose locks this request doesn't hold. */
  private get missingLocks(): string[] {
    const { quarantine } = this.options.context;
    if (quarantine.isEmpty) return [];
    const now = performance.now();
    return this.keys.filter((key) => !this.locks.has(key) && quarantine.isSuspected(key, now));
  }

  private get keys(): string[] {
    return [this.fingerprint, ...this.partKeys];
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
