/** What backend servers last said of themselves: a rate limit, that they shut down, when to send to them again. */
import { Emitter } from "../common/emitter.ts";
import { incarnationOf, type BackendServer } from "./backendServer.ts";
import type { ServerNotice } from "./exchange.ts";

/** Names one incarnation of a server. */
export type Incarnation = Pick<BackendServer, "id" | "startedAtMs">;

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

  /** Requests per second that the server accepts from all nodes together; undefined without a limit. */
  limitPerS(server: Incarnation): number | undefined {
    return this.records.get(incarnationOf(server))?.limit?.perS;
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
