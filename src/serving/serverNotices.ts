/** What backend servers last said of themselves: a rate limit, that they shut down, when to send to them again. */
import * as Schema from "effect/Schema";
import { Emitter } from "../common/emitter.ts";
import { incarnationOf, type BackendServer } from "./backendServer.ts";
import type { ServerNotice } from "./exchange.ts";

/** Names one incarnation of a server. */
export type Incarnation = Pick<BackendServer, "id" | "startedAtMs">;

/** A rate limit as its node last heard of it. */
export const LimitWord = Schema.Struct({
  /** Requests per second from all nodes together; absent once the server names no limit any more. */
  perS: Schema.optionalKey(Schema.Number),
  /** Since the server said so, ms. */
  ageMs: Schema.Number,
});
/** A decoded word. */
export type LimitWord = typeof LimitWord.Type;

/** A rate limit as last named or lifted, and when, ms. */
interface LimitRecord {
  readonly perS: number | undefined;
  readonly atMs: number;
}

interface NoticeRecord {
  limit: LimitRecord | undefined;
  leaving: boolean;
  pausedUntilMs: number;
}

/** What is new about a server, for the log. */
export interface NoticeChange {
  readonly server: Incarnation;
  readonly limitPerS: number | undefined;
  readonly leaving: boolean;
  readonly retryAfterMs: number | undefined;
}

/** Notices by incarnation: a server that starts again begins without any. */
export class ServerNotices {
  /** A server said something new. */
  readonly changed = new Emitter<NoticeChange>();
  private readonly records = new Map<string, NoticeRecord>();

  /** Takes the notice in an answer to a request that was sent at `sentMs`. */
  hear(server: Incarnation, notice: ServerNotice, sentMs: number, nowMs: number): void {
    const known = this.records.get(incarnationOf(server));
    if (known === undefined && isEmpty(notice)) return;
    const record = known ?? { limit: undefined, leaving: false, pausedUntilMs: 0 };
    this.records.set(incarnationOf(server), record);
    const { limitPerS, leaving, retryAfterMs } = notice;
    const limitChanged = this.hearLimit(record, limitPerS, sentMs, nowMs);
    const leavingChanged = leaving && !record.leaving;
    const pauseBegins = retryAfterMs !== undefined && nowMs >= record.pausedUntilMs;
    record.leaving ||= leaving;
    record.pausedUntilMs = Math.max(record.pausedUntilMs, nowMs + (retryAfterMs ?? 0));
    if (limitChanged || leavingChanged || pauseBegins)
      this.changed.fire({ server, limitPerS: record.limit?.perS, leaving: record.leaving, retryAfterMs });
  }

  /** No server has said anything of itself. */
  get empty(): boolean {
    return this.records.size === 0;
  }

  /** Requests per second that the server accepts from all nodes together; undefined without a limit. */
  limitPerS(server: Incarnation): number | undefined {
    return this.records.get(incarnationOf(server))?.limit?.perS;
  }

  /** The limit as last named or lifted, to tell peers; undefined if the server never named one. */
  limitWord(incarnation: string, nowMs: number): LimitWord | undefined {
    const limit = this.records.get(incarnation)?.limit;
    if (limit === undefined) return undefined;
    const ageMs = Math.round(nowMs - limit.atMs);
    return limit.perS === undefined ? { ageMs } : { perS: limit.perS, ageMs };
  }

  /** Takes a peer's word on a limit; true if it is newer than what is known. */
  learnLimit(incarnation: string, { perS, ageMs }: LimitWord, nowMs: number): boolean {
    const record = this.records.get(incarnation) ?? { limit: undefined, leaving: false, pausedUntilMs: 0 };
    if (record.limit !== undefined && record.limit.atMs >= nowMs - ageMs) return false;
    record.limit = { perS, atMs: nowMs - ageMs };
    this.records.set(incarnation, record);
    return true;
  }

  /** Drops what is known of servers that are gone. */
  retain(servers: readonly Incarnation[]): void {
    const known = new Set(servers.map(incarnationOf));
    for (const key of this.records.keys()) if (!known.has(key)) this.records.delete(key);
  }

  private hearLimit(record: NoticeRecord, perS: number | undefined, sentMs: number, nowMs: number): boolean {
    const known = record.limit;
    // Answers overtake each other, so one without a limit lifts it only if its request was sent after the last naming.
    if (perS === undefined && (known === undefined || sentMs <= known.atMs)) return false;
    record.limit = { perS, atMs: nowMs };
    return known?.perS !== perS;
  }
}

function isEmpty({ limitPerS, leaving, retryAfterMs }: ServerNotice): boolean {
  return limitPerS === undefined && !leaving && retryAfterMs === undefined;
}
