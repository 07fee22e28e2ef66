/**
 * Tracks which servers currently refuse requests without running them: saturated ones, and engines about to unload
 * the requested model. Without this, every request would go to the same server, which has the fewest requests in
 * flight just because it accepts none, and each would use up part of the retry budget.
 */

/** A server gets no requests for this long after a refusal, ms; doubles with each further refusal up to the maximum. */
const initialBackoffMs = 200;
const maxBackoffMs = 1_600;

interface RefusalRecord {
  consecutive: number;
  untilMs: number;
}

/** Refusals by server and scope. */
export class Refusals {
  private readonly records = new Map<string, RefusalRecord>();

  /** The server refused a request within `scope`: the requested model, or empty for plain servers. */
  recordRefusal(serverId: string, scope: string, nowMs: number): void {
    const key = `${serverId} ${scope}`;
    const record = this.records.get(key) ?? { consecutive: 0, untilMs: 0 };
    // Refusals of requests that were sent before the first refusal arrived don't count again.
    if (nowMs < record.untilMs) return;
    const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** record.consecutive);
    this.records.set(key, { consecutive: record.consecutive + 1, untilMs: nowMs + backoffMs });
  }

  /** The server accepted a request. */
  recordAccepted(serverId: string, scope: string): void {
    this.records.delete(`${serverId} ${scope}`);
  }

  /** Whether requests within `scope` may be sent to the server. */
  isAvailable(serverId: string, scope: string, nowMs: number): boolean {
    return nowMs >= (this.records.get(`${serverId} ${scope}`)?.untilMs ?? 0);
  }

  /** Drops the refusals of the server. */
  forget(serverId: string): void {
    this.removeWhere((id) => id === serverId);
  }

  /** Drops the refusals of servers that are gone. */
  retain(serverIds: ReadonlySet<string>): void {
    this.removeWhere((id) => !serverIds.has(id));
  }

  private removeWhere(matches: (serverId: string) => boolean): void {
    for (const key of this.records.keys()) if (matches(key.split(" ")[0] ?? "")) this.records.delete(key);
  }
}
