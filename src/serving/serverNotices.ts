/**
 * The latest notices of backend servers in their responses: a rate limit, a shutdown, or a back-off. All code that
 * sends requests checks the notices here, and every response is recorded here.
 */
import * as Schema from "effect/Schema";
import { Emitter } from "../common/emitter.ts";
import { incarnationOf, type BackendServer } from "./backendServer.ts";
import type { ServerNotice } from "./exchange.ts";

/** Identifies one incarnation of a server. */
export type Incarnation = Pick<BackendServer, "id" | "startedAtMs">;

/** A rate limit as known to one node. */
export const ObservedRateLimit = Schema.Struct({
  /** Requests per second from all nodes together; absent once the server states no limit any more. */
  perS: Schema.optionalKey(Schema.Number),
  /** Time since the server stated it, ms. */
  ageMs: Schema.Number,
});
/** A decoded rate limit. */
export type ObservedRateLimit = typeof ObservedRateLimit.Type;

/** A rate limit as last stated or lifted, and when, ms. */
interface LimitRecord {
  readonly perS: number | undefined;
  readonly atMs: number;
}

interface NoticeRecord {
  limit: LimitRecord | undefined;
  /** When this node first learned that the server is shutting down, ms. */
  leavingSinceMs: number | undefined;
  backoffUntilMs: number;
  /** A back-off has ended, and no response has shown yet that the server accepts requests again. */
  needsProbe: boolean;
  /** Until then no other request is sent, as the first one since the back-off is awaited, ms. */
  probeUntilMs: number;
  /** When the server was last registered, ms. */
  lastRegisteredMs: number;
}

/** Where a notice comes from: a response of the server, or a peer. */
export type NoticeSource = "answer" | "peer";

/** What is known of a server after a change. */
export interface NoticeChange {
  readonly incarnation: string;
  readonly source: NoticeSource;
  readonly limitPerS: number | undefined;
  readonly leaving: boolean;
  /** Set if the server has just asked for a back-off. */
  readonly retryAfterMs?: number | undefined;
}

/**
 * Notices are kept this long after the registration is gone, ms. A registration that expires while the store is
 * unavailable comes back, and the server is still shutting down.
 */
const retentionMs = 60_000;

/** Timeout of the first request after a back-off, ms; then another one is sent. */
const probeTimeoutMs = 1_000;

/** Notices by incarnation: a restarted server has none. */
export class ServerNotices {
  /** A server stated something new. */
  readonly changed = new Emitter<NoticeChange>();
  private readonly records = new Map<string, NoticeRecord>();

  /**
   * Records the notice in the response to a request sent at `sentMs`; the response arrived at `arrivedMs` at the
   * earliest.
   */
  recordNotice(
    server: Incarnation,
    notice: ServerNotice,
    sentMs: number,
    nowMs: number,
    arrivedMs = nowMs,
  ): void {
    const incarnation = incarnationOf(server);
    if (isEmptyNotice(notice) && !this.records.has(incarnation)) return;
    const record = this.recordOf(incarnation, nowMs);
    const { limitPerS, leaving, retryAfterMs } = notice;
    const limitChanged = updateLimit(record, limitPerS, sentMs, nowMs);
    const leavingChanged = leaving && record.leavingSinceMs === undefined;
    const backoffChanged = updateBackoff(record, retryAfterMs, sentMs, nowMs);
    if (leaving) record.leavingSinceMs ??= Math.max(sentMs, arrivedMs);
    if (limitChanged || leavingChanged || backoffChanged)
      this.emitChange(incarnation, record, "answer", retryAfterMs);
  }

  /** Records a notice from a response to something other than a request: fields that are absent mean nothing. */
  recordPartialNotice(server: Incarnation, notice: ServerNotice, nowMs: number): void {
    this.recordNotice(server, notice, Number.NEGATIVE_INFINITY, nowMs);
  }

  /** Whether there is no notice of any server. */
  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** Requests per second that the server accepts from all nodes together; undefined without a limit. */
  limitPerS(server: Incarnation): number | undefined {
    return this.records.get(incarnationOf(server))?.limit?.perS;
  }

  /** The limit as last stated or lifted, to send to peers; undefined if the server never stated one. */
  observedLimit(incarnation: string, nowMs: number): ObservedRateLimit | undefined {
    const limit = this.records.get(incarnation)?.limit;
    if (limit === undefined) return undefined;
    const ageMs = Math.round(nowMs - limit.atMs);
    return limit.perS === undefined ? { ageMs } : { perS: limit.perS, ageMs };
  }

  /** Applies a limit received from a peer; true if it is newer than the known one. */
  applyPeerLimit(incarnation: string, { perS, ageMs }: ObservedRateLimit, nowMs: number): boolean {
    const record = this.recordOf(incarnation, nowMs);
    const known = record.limit;
    if (known !== undefined && known.atMs >= nowMs - ageMs) return false;
    record.limit = { perS, atMs: nowMs - ageMs };
    if (known?.perS !== perS) this.emitChange(incarnation, record, "peer");
    return true;
  }

  /** Whether the back-offs that the server asked this node for allow requests to it now. */
  acceptsRequests(server: Incarnation, nowMs: number): boolean {
    const record = this.records.get(incarnationOf(server));
    if (record === undefined) return true;
    return nowMs >= record.backoffUntilMs && (!record.needsProbe || nowMs >= record.probeUntilMs);
  }

  /** Remaining time of the server's back-off, ms. */
  backoffRemainingMs(server: Incarnation, nowMs: number): number {
    return Math.max(0, (this.records.get(incarnationOf(server))?.backoffUntilMs ?? 0) - nowMs);
  }

  /** Records a request sent to the server; after a back-off, the first one must be answered before others follow. */
  recordSend(server: Incarnation, nowMs: number): void {
    const record = this.records.get(incarnationOf(server));
    if (record?.needsProbe === true) record.probeUntilMs = nowMs + probeTimeoutMs;
  }

  /** When this node first learned that the server is shutting down, ms; undefined if it isn't. */
  leavingSinceMs(server: Incarnation): number | undefined {
    return this.records.get(incarnationOf(server))?.leavingSinceMs;
  }

  /** A peer reported that the server is shutting down. */
  applyPeerLeaving(incarnation: string, nowMs: number): void {
    const record = this.recordOf(incarnation, nowMs);
    if (record.leavingSinceMs !== undefined) return;
    record.leavingSinceMs = nowMs;
    this.emitChange(incarnation, record, "peer");
  }

  /** Drops the notices of servers that have been gone for long. */
  retain(servers: readonly Incarnation[], nowMs: number): void {
    for (const server of servers) {
      const record = this.records.get(incarnationOf(server));
      if (record !== undefined) record.lastRegisteredMs = nowMs;
    }
    for (const [incarnation, { lastRegisteredMs }] of this.records)
      if (nowMs - lastRegisteredMs >= retentionMs) this.records.delete(incarnation);
  }

  private recordOf(incarnation: string, nowMs: number): NoticeRecord {
    const known = this.records.get(incarnation);
    if (known !== undefined) return known;
    const record: NoticeRecord = {
      limit: undefined,
      leavingSinceMs: undefined,
      backoffUntilMs: 0,
      needsProbe: false,
      probeUntilMs: 0,
      lastRegisteredMs: nowMs,
    };
    this.records.set(incarnation, record);
    return record;
  }

  private emitChange(
    incarnation: string,
    { limit, leavingSinceMs }: NoticeRecord,
    source: NoticeSource,
    retryAfterMs?: number,
  ): void {
    const leaving = leavingSinceMs !== undefined;
    this.changed.fire({ incarnation, source, limitPerS: limit?.perS, leaving, retryAfterMs });
  }
}

/** Applies the rate limit of a response; returns whether it changed. */
function updateLimit(record: NoticeRecord, perS: number | undefined, sentMs: number, nowMs: number): boolean {
  const known = record.limit;
  // Responses may arrive out of order, so one without a limit only lifts it if its request was sent after the limit
  // was last stated.
  if (perS === undefined && (known === undefined || sentMs <= known.atMs)) return false;
  record.limit = { perS, atMs: nowMs };
  return known?.perS !== perS;
}

/** Applies the back-off of a response; returns whether one starts or has ended. */
function updateBackoff(
  record: NoticeRecord,
  retryAfterMs: number | undefined,
  sentMs: number,
  nowMs: number,
): boolean {
  if (retryAfterMs === undefined) {
    const isOver = record.needsProbe && sentMs >= record.backoffUntilMs;
    if (isOver) record.needsProbe = false;
    return isOver;
  }
  const starts = nowMs >= record.backoffUntilMs;
  record.backoffUntilMs = Math.max(record.backoffUntilMs, nowMs + retryAfterMs);
  record.probeUntilMs = 0;
  record.needsProbe = true;
  return starts;
}

function isEmptyNotice({ limitPerS, leaving, retryAfterMs }: ServerNotice): boolean {
  return limitPerS === undefined && !leaving && retryAfterMs === undefined;
}
