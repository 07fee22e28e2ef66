/**
 * Which servers refuse requests at the moment without running them: full ones, and engines that are about to
 * drop the model asked for. Answers the pattern in which every request is sent to the same server, as it has
 * least in flight for the very reason that it takes nothing, and each one uses up part of the retry budget.
 */

/** A server is left alone for this long after a refusal, ms; doubles with each further one up to the longest. */
const firstPauseMs = 200;
const longestPauseMs = 1_600;

interface Refusal {
  times: number;
  untilMs: number;
}

/** Refusals by server and by what was asked of it. */
export class Refusals {
  private readonly records = new Map<string, Refusal>();

  /** The server refused a request within `scope`, the model asked for or nothing at plain servers. */
  recordRefusal(serverId: string, scope: string, nowMs: number): void {
    const key = `${serverId} ${scope}`;
    const record = this.records.get(key) ?? { times: 0, untilMs: 0 };
    // Requests sent before the first refusal came back say nothing new.
    if (nowMs < record.untilMs) return;
    const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** record.times);
    this.records.set(key, { times: record.times + 1, untilMs: nowMs + pauseMs });
  }

  /** The server took a request. */
  recordAccepted(serverId: string, scope: string): void {
    this.records.delete(`${serverId} ${scope}`);
  }

  /** May the server be asked? */
  isAvailable(serverId: string, scope: string, nowMs: number): boolean {
    return nowMs >= (this.records.get(`${serverId} ${scope}`)?.untilMs ?? 0);
  }

  /** Drops what is known of the server. */
  forget(serverId: string): void {
    this.drop((id) => id === serverId);
  }

  /** Drops what is known of servers that are gone. */
  retain(serverIds: ReadonlySet<string>): void {
    this.drop((id) => !serverIds.has(id));
  }

  private drop(matches: (serverId: string) => boolean): void {
    for (const key of this.records.keys()) if (matches(key.split(" ")[0] ?? "")) this.records.delete(key);
  }
}
