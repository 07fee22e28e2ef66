/**
 * What backend servers last said of themselves in their answers: a rate limit, that they shut down, when to send to them
 * again. Every path that sends asks here, and every answer is heard here.
 */
import * as Schema from "effect/Schema";
import { Emitter } from "../common/emitter.ts";
import { incarnationOf, type BackendServer } from "./backendServer.ts";
import type { ServerNotice } from "./exchange.ts";

/** Names one incarnation of a server. */
export type Incarnation = Pick<BackendServer, "id" | "startedAtMs">;

/** A rate limit as its node last heard of it. */
export const ObservedRateLimit = Schema.Struct({
  /** Requests per second from all nodes together; absent once the server names no limit any more. */
  perS: Schema.optionalKey(Schema.Number),
  /** Since the server said so, ms. */
  ageMs: Schema.Number,
});
/** A decoded word. */
export type ObservedRateLimit = typeof ObservedRateLimit.Type;

/** A rate limit as last named or lifted, and when, ms. */
interface LimitRecord {
  readonly perS: number | undefined;
  readonly atMs: number;
}

interface NoticeRecord {
  limit: LimitRecord | undefined;
  /** When this node first heard that the server leaves, ms. */
  leavingSinceMs: number | undefined;
  pausedUntilMs: number;
  /** A pause is over, and no answer has shown yet that the server takes requests again. */
  isUntried: boolean;
  /** Until then one request that was sent since the pause is waited for, ms. */
  probeUntilMs: number;
  /** When the server was last registered, ms. */
  registeredMs: number;
}

/** Whom a node has a notice from: the server itself, with an answer, or a peer. */
export type NoticeSource = "answer" | "peer";

/** What is known of a server since something of it changed. */
export interface NoticeChange {
  readonly incarnation: string;
  readonly source: NoticeSource;
  readonly limitPerS: number | undefined;
  readonly leaving: boolean;
  /** Given where the server asked for a pause now. */
  readonly retryAfterMs?: number | undefined;
}

/**
 * Notices are kept this long after the registration is gone, ms: one that lapses while the store is away comes back, and
 * the server still leaves.
 */
const keptMs = 60_000;

/** The first request after a pause may take this long to be answered, ms; then another one is sent. */
const probeMs = 1_000;

/** Notices by incarnation: a server that starts again begins without any. */
export class ServerNotices {
  /** A server said something new. */
  readonly changed = new Emitter<NoticeChange>();
  private readonly records = new Map<string, NoticeRecord>();

  /** Takes the notice in an answer to a request that was sent at `sentMs`; the answer came at `arrivedMs` at the earliest. */
  recordNotice(
    server: Incarnation,
    notice: ServerNotice,
    sentMs: number,
    nowMs: number,
    arrivedMs = nowMs,
  ): void {
    const incarnation = incarnationOf(server);
    if (isEmpty(notice) && !this.records.has(incarnation)) return;
    const record = this.record(incarnation, nowMs);
    const { limitPerS, leaving, retryAfterMs } = notice;
    const limitChanged = hearLimit(record, limitPerS, sentMs, nowMs);
    const leavingChanged = leaving && record.leavingSinceMs === undefined;
    const pauseChanged = hearPause(record, retryAfterMs, sentMs, nowMs);
    if (leaving) record.leavingSinceMs ??= Math.max(sentMs, arrivedMs);
    if (limitChanged || leavingChanged || pauseChanged)
      this.tell(incarnation, record, "answer", retryAfterMs);
  }

  /** Takes the notice in an answer that isn't one to a request: what it leaves out says nothing. */
  recordPartialNotice(server: Incarnation, notice: ServerNotice, nowMs: number): void {
    this.recordNotice(server, notice, Number.NEGATIVE_INFINITY, nowMs);
  }

  /** No server has said anything of itself. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Requests per second that the server accepts from all nodes together; undefined without a limit. */
  limitPerS(server: Incarnation): number | undefined {
    return this.records.get(incarnationOf(server))?.limit?.perS;
  }

  /** The limit as last named or lifted, to tell peers; undefined if the server never named one. */
  observedLimit(incarnation: string, nowMs: number): ObservedRateLimit | undefined {
    const limit = this.records.get(incarnation)?.limit;
    if (limit === undefined) return undefined;
    const ageMs = Math.round(nowMs - limit.atMs);
    return limit.perS === undefined ? { ageMs } : { perS: limit.perS, ageMs };
  }

  /** Takes a peer's word on a limit; true if it is newer than what is known. */
  applyPeerLimit(incarnation: string, { perS, ageMs }: ObservedRateLimit, nowMs: number): boolean {
    const record = this.record(incarnation, nowMs);
    const known = record.limit;
    if (known !== undefined && known.atMs >= nowMs - ageMs) return false;
    record.limit = { perS, atMs: nowMs - ageMs };
    if (known?.perS !== perS) this.tell(incarnation, record, "peer");
    return true;
  }

  /** May the server be sent requests, by the pauses that it asked this node for? */
  acceptsRequests(server: Incarnation, nowMs: number): boolean {
    const record = this.records.get(incarnationOf(server));
    if (record === undefined) return true;
    return nowMs >= record.pausedUntilMs && (!record.isUntried || nowMs >= record.probeUntilMs);
  }

  /** Until the pause that the server asked for is over, ms. */
  backoffRemainingMs(server: Incarnation, nowMs: number): number {
    return Math.max(0, (this.records.get(incarnationOf(server))?.pausedUntilMs ?? 0) - nowMs);
  }

  /** A request is sent to the server; the first after a pause is to be answered before others follow. */
  recordSend(server: Incarnation, nowMs: number): void {
    const record = this.records.get(incarnationOf(server));
    if (record?.isUntried === true) record.probeUntilMs = nowMs + probeMs;
  }

  /** When this node first heard that the server leaves, ms; undefined if it didn't. */
  leavingSinceMs(server: Incarnation): number | undefined {
    return this.records.get(incarnationOf(server))?.leavingSinceMs;
  }

  /** Takes a peer's word that the server leaves. */
  applyPeerLeaving(incarnation: string, nowMs: number): void {
    const record = this.record(incarnation, nowMs);
    if (record.leavingSinceMs !== undefined) return;
    record.leavingSinceMs = nowMs;
    this.tell(incarnation, record, "peer");
  }

  /** Drops what is known of servers that have been gone for long. */
  retain(servers: readonly Incarnation[], nowMs: number): void {
    for (const server of servers) {
      const record = this.records.get(incarnationOf(server));
      if (record !== undefined) record.registeredMs = nowMs;
    }
    for (const [incarnation, { registeredMs }] of this.records)
      if (nowMs - registeredMs >= keptMs) this.records.delete(incarnation);
  }

  private record(incarnation: string, nowMs: number): NoticeRecord {
    const known = this.records.get(incarnation);
    if (known !== undefined) return known;
    const record: NoticeRecord = {
      limit: undefined,
      leavingSinceMs: undefined,
      pausedUntilMs: 0,
      isUntried: false,
      probeUntilMs: 0,
      registeredMs: nowMs,
    };
    this.records.set(incarnation, record);
    return record;
  }

  private tell(
    incarnation: string,
    { limit, leavingSinceMs }: NoticeRecord,
    source: NoticeSource,
    retryAfterMs?: number,
  ): void {
    const leaving = leavingSinceMs !== undefined;
    this.changed.fire({ incarnation, source, limitPerS: limit?.perS, leaving, retryAfterMs });
  }
}

/** Takes what an answer says of a limit; true if it is something new. */
function hearLimit(record: NoticeRecord, perS: number | undefined, sentMs: number, nowMs: number): boolean {
  const known = record.limit;
  // Answers overtake each other, so one without a limit lifts it only if its request was sent after the last naming.
  if (perS === undefined && (known === undefined || sentMs <= known.atMs)) return false;
  record.limit = { perS, atMs: nowMs };
  return known?.perS !== perS;
}

/** Takes what an answer says of a pause; true if one begins or is over. */
function hearPause(
  record: NoticeRecord,
  retryAfterMs: number | undefined,
  sentMs: number,
  nowMs: number,
): boolean {
  if (retryAfterMs === undefined) {
    const isOver = record.isUntried && sentMs >= record.pausedUntilMs;
    if (isOver) record.isUntried = false;
    return isOver;
  }
  const begins = nowMs >= record.pausedUntilMs;
  record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + retryAfterMs);
  record.probeUntilMs = 0;
  record.isUntried = true;
  return begins;
}

function isEmpty({ limitPerS, leaving, retryAfterMs }: ServerNotice): boolean {
  return limitPerS === undefined && !leaving && retryAfterMs === undefined;
}
