/**
 * Outlier detection: ejects servers that respond badly, judged by the responses to requests. Handles crashed
 * servers whose registration lives on for seconds, servers that fail some requests although their health
 * check passes, slow servers, and servers that stop responding.
 */

/** Consecutive failures that eject a server. A single failure may be due to the request. */
const ejectionThreshold = 2;
/** First ejection time, ms; doubles with each further failure up to the longest. */
const firstEjectionMs = 600;
const maxEjectionMs = 3_000;
/** Weight of the newest response in the moving averages. */
const newestWeight = 0.15;
/** Upper limit of the slowdown, so that one long response doesn't outweigh the next ones. */
const maxSlowdown = 8;
/**
 * The slowdown and the failure share halve in this time without responses, ms. A server that looks bad gets few requests
 * or none, so responses alone don't show that it has recovered: one that failed 45 % of its requests for 5 s got 0.09 to
 * 0.18 of its fair share for the next 10 s.
 */
const ageingHalfLifeMs = 600;

interface ResponseRecord {
  consecutiveFailures: number;
  ejectedUntilMs: number;
  unreachableUntilMs: number;
  failureShare: number;
  slowdown: number;
  /** When the failure share and the slowdown were last observed, ms. */
  observedAtMs: number;
}

/** Health of a server as judged by its responses. */
export interface Health {
  /** Used only if no other server is available. */
  readonly ejected: boolean;
  /** Another process recently answered at its address. */
  readonly unreachable: boolean;
  /** Ratio of its requests that fail, moving average. */
  readonly failureShare: number;
  /** Observed over expected time to first byte, moving average; 1 is as expected. */
  readonly slowdown: number;
}

/** Tracks the responses per server. */
export class OutlierDetector {
  private readonly records = new Map<string, ResponseRecord>();

  /** The server responded successfully. */
  recordSuccess(serverId: string, observedMs: number, expectedMs: number, nowMs: number): void {
    const record = this.agedRecord(serverId, nowMs);
    record.consecutiveFailures = 0;
    record.ejectedUntilMs = 0;
    record.unreachableUntilMs = 0;
    record.failureShare *= 1 - newestWeight;
    this.updateSlowdown(record, observedMs, expectedMs);
  }

  /**
   * The server responded, but the response may have been truncated: counts in the averages, without the weight of a
   * success that ends an ejection.
   */
  recordUnverified(serverId: string, observedMs: number, expectedMs: number, nowMs: number): void {
    const record = this.agedRecord(serverId, nowMs);
    record.failureShare *= 1 - newestWeight;
    this.updateSlowdown(record, observedMs, expectedMs);
  }

  /**
   * No first byte came within `waitedMs`, so the server is at least that much slower than expected. Without
   * this a server that times out on all requests would look as fast as before, as nothing else is observed of
   * it.
   */
  recordTimeout(serverId: string, waitedMs: number, expectedMs: number, nowMs: number): void {
    const record = this.agedRecord(serverId, nowMs);
    if (waitedMs > expectedMs * record.slowdown) this.updateSlowdown(record, waitedMs, expectedMs);
  }

  /** The server failed a request that another server might have served. */
  recordFailure(serverId: string, nowMs: number): void {
    const record = this.agedRecord(serverId, nowMs);
    record.consecutiveFailures += 1;
    record.failureShare += (1 - record.failureShare) * newestWeight;
    if (record.consecutiveFailures >= ejectionThreshold)
      this.eject(record, record.consecutiveFailures - ejectionThreshold, nowMs);
  }

  /** Another process answers at the server's address: ejected at once. */
  recordUnreachable(serverId: string, nowMs: number): void {
    const record = this.record(serverId);
    record.consecutiveFailures += 1;
    this.eject(record, record.consecutiveFailures - 1, nowMs);
    record.unreachableUntilMs = record.ejectedUntilMs;
  }

  /** Current health of the server. */
  health(serverId: string, nowMs: number): Health {
    const record = this.records.get(serverId);
    if (record === undefined) return { ejected: false, unreachable: false, failureShare: 0, slowdown: 1 };
    const remaining = remainingRatio(record, nowMs);
    return {
      ejected: nowMs < record.ejectedUntilMs,
      unreachable: nowMs < record.unreachableUntilMs,
      failureShare: record.failureShare * remaining,
      slowdown: 1 + (record.slowdown - 1) * remaining,
    };
  }

  /** Removes the server's record. */
  remove(serverId: string): void {
    this.records.delete(serverId);
  }

  /** Removes the records of all servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.records.keys()) if (!serverIds.has(id)) this.records.delete(id);
  }

  private updateSlowdown(record: ResponseRecord, observedMs: number, expectedMs: number): void {
    const ratio = Math.min(maxSlowdown, observedMs / Math.max(1, expectedMs));
    record.slowdown += (Math.max(1, ratio) - record.slowdown) * newestWeight;
  }

  private eject(record: ResponseRecord, times: number, nowMs: number): void {
    const ejectionMs = Math.min(maxEjectionMs, firstEjectionMs * 2 ** Math.min(times, 8));
    record.ejectedUntilMs = nowMs + ejectionMs;
  }

  /** The record for a new observation: what was observed before it has aged. */
  private agedRecord(serverId: string, nowMs: number): ResponseRecord {
    const record = this.record(serverId);
    const remaining = remainingRatio(record, nowMs);
    record.failureShare *= remaining;
    record.slowdown = 1 + (record.slowdown - 1) * remaining;
    record.observedAtMs = Math.max(record.observedAtMs, nowMs);
    return record;
  }

  private record(serverId: string): ResponseRecord {
    const known = this.records.get(serverId);
    if (known !== undefined) return known;
    const record = {
      consecutiveFailures: 0,
      ejectedUntilMs: 0,
      unreachableUntilMs: 0,
      failureShare: 0,
      slowdown: 1,
      observedAtMs: Number.NEGATIVE_INFINITY,
    };
    this.records.set(serverId, record);
    return record;
  }
}

/** What is left of the last observations at `nowMs`. */
function remainingRatio({ observedAtMs }: ResponseRecord, nowMs: number): number {
  if (observedAtMs === Number.NEGATIVE_INFINITY) return 1;
  return 0.5 ** (Math.max(0, nowMs - observedAtMs) / ageingHalfLifeMs);
}
