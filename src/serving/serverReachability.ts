/**
 * Tracks which backend servers this node can connect to. Connection failures are facts about the path between this host
 * and a server: a host that fails with every server while its peers succeed is itself partitioned.
 */
import { Emitter } from "../common/emitter.ts";

/** How many of the known servers this node can connect to. */
export interface ReachabilitySummary {
  readonly known: number;
  readonly reached: number;
  /** Since when none can be connected to, ms; undefined if one can. */
  readonly noneSinceMs: number | undefined;
}

interface PathRecord {
  /** When the last connection was established, ms. */
  connectedMs: number;
  /** Since when connection attempts fail, ms; undefined while the server is reachable. */
  failingSinceMs: number | undefined;
}

/** Paths to backend servers by server id. */
export class ServerReachability {
  /** A server became reachable or unreachable. */
  readonly changed = new Emitter<undefined>();
  private readonly records = new Map<string, PathRecord>();
  private readonly unreachable = new Set<string>();

  /** A connection to the server was established. */
  recordConnected(serverId: string, nowMs: number): void {
    const record = this.recordOf(serverId);
    record.connectedMs = nowMs;
    if (record.failingSinceMs === undefined) return;
    record.failingSinceMs = undefined;
    this.unreachable.delete(serverId);
    this.changed.fire(undefined);
  }

  /** A connection attempt that began at `startedMs` failed. */
  recordConnectFailure(serverId: string, startedMs: number, nowMs: number): void {
    const record = this.recordOf(serverId);
    if (record.connectedMs > startedMs || record.failingSinceMs !== undefined) return;
    record.failingSinceMs = nowMs;
    this.unreachable.add(serverId);
    this.changed.fire(undefined);
  }

  /** Whether connections to the server can be established, as far as is known. */
  isReachable(serverId: string): boolean {
    return !this.unreachable.has(serverId);
  }

  /** Counts the reachable ones of the given servers. */
  summarize(serverIds: readonly string[]): ReachabilitySummary {
    const failing = serverIds.filter((id) => this.unreachable.has(id));
    const noneReached = failing.length > 0 && failing.length === serverIds.length;
    const sinceMs = failing.map((id) => this.records.get(id)?.failingSinceMs ?? 0);
    return {
      known: serverIds.length,
      reached: serverIds.length - failing.length,
      noneSinceMs: noneReached ? Math.max(...sinceMs) : undefined,
    };
  }

  /** Drops the records of all servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const id of this.records.keys()) {
      if (serverIds.has(id)) continue;
      this.records.delete(id);
      this.unreachable.delete(id);
    }
  }

  private recordOf(serverId: string): PathRecord {
    const known = this.records.get(serverId);
    if (known !== undefined) return known;
    const record = { connectedMs: Number.NEGATIVE_INFINITY, failingSinceMs: undefined };
    this.records.set(serverId, record);
    return record;
  }
}
