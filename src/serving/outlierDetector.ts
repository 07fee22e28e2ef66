/**
 * Which servers answer badly, judged from the answers to requests. Answers crashed servers whose
 * registration lives on for seconds, servers that fail part of their requests with a good health check,
 * slow servers, and servers that fall silent.
 */

/** Failures in a row that take a server out. A single one may be an unlucky request. */
const ejectAfter = 2;
/** First time out, ms; doubles with each further failure up to the longest. */
const firstEjectionMs = 600;
const longestEjectionMs = 3_000;
/** Weight of the newest answer in the moving averages. */
const newest = 0.15;
/** A server this much slower than expected still gets a share that shows when it is well again. */
const longestSlowdown = 8;

interface AnswerRecord {
  consecutive: number;
  ejectedUntilMs: number;
  unreachableUntilMs: number;
  failureShare: number;
  slowdown: number;
}

/** What is known of a server's answers. */
export interface Health {
  /** Ejected: used only if no other server is available. */
  readonly ejected: boolean;
  /** Couldn't be connected to a moment ago. */
  readonly unreachable: boolean;
  /** Part of its requests that fail, moving average. */
  readonly failureShare: number;
  /** Observed over expected time to the first byte, moving average; 1 is as expected. */
  readonly slowdown: number;
}

/** Answers per server, judged. */
export class OutlierDetector {
  private readonly records = new Map<string, AnswerRecord>();

  /** The server answered as it should. */
  recordSuccess(serverId: string, observedMs: number, expectedMs: number): void {
    const record = this.record(serverId);
    record.consecutive = 0;
    record.ejectedUntilMs = 0;
    record.unreachableUntilMs = 0;
    record.failureShare *= 1 - newest;
    this.slowed(record, observedMs, expectedMs);
  }

  /**
   * The server gave no first byte within `waitedMs`: it is at least that much slower than expected. Guards
   * "an engine that answers nobody in time looks as fast as before", as those it doesn't answer say nothing else.
   */
  recordTimeout(serverId: string, waitedMs: number, expectedMs: number): void {
    const record = this.record(serverId);
    if (waitedMs > expectedMs * record.slowdown) this.slowed(record, waitedMs, expectedMs);
  }

  /** The server failed a request that another server might have served. */
  recordFailure(serverId: string, nowMs: number): void {
    const record = this.record(serverId);
    record.consecutive += 1;
    record.failureShare += (1 - record.failureShare) * newest;
    if (record.consecutive >= ejectAfter) this.eject(record, record.consecutive - ejectAfter, nowMs);
  }

  /** The server could not be reached at all: taken out at once. */
  recordUnreachable(serverId: string, nowMs: number): void {
    const record = this.record(serverId);
    record.consecutive += 1;
    this.eject(record, record.consecutive - 1, nowMs);
    record.unreachableUntilMs = record.ejectedUntilMs;
  }

  /** What is known of the server now. */
  health(serverId: string, nowMs: number): Health {
    const record = this.records.get(serverId);
    if (record === undefined) return { ejected: false, unreachable: false, failureShare: 0, slowdown: 1 };
    const { failureShare, slowdown } = record;
    return {
      ejected: nowMs < record.ejectedUntilMs,
      unreachable: nowMs < record.unreachableUntilMs,
      failureShare,
      slowdown,
    };
  }

  /** Drops what is known of the server. */
  remove(serverId: string): void {
    this.records.delete(serverId);
  }

  /** Drops what is known of servers that are gone. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.records.keys()) if (!serverIds.has(id)) this.records.delete(id);
  }

  private slowed(record: AnswerRecord, observedMs: number, expectedMs: number): void {
    const ratio = Math.min(longestSlowdown, observedMs / Math.max(1, expectedMs));
    record.slowdown += (Math.max(1, ratio) - record.slowdown) * newest;
  }

  private eject(record: AnswerRecord, times: number, nowMs: number): void {
    const time = Math.min(longestEjectionMs, firstEjectionMs * 2 ** Math.min(times, 8));
    record.ejectedUntilMs = nowMs + time;
  }

  private record(serverId: string): AnswerRecord {
    const known = this.records.get(serverId);
    if (known !== undefined) return known;
    const record = {
      consecutive: 0,
      ejectedUntilMs: 0,
      unreachableUntilMs: 0,
      failureShare: 0,
      slowdown: 1,
    };
    this.records.set(serverId, record);
    return record;
  }
}
