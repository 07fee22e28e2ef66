/**
 * Tracks which backend servers this node can connect to. Connection failures are facts about the path between this host
 * and a server: a host that fails with every server while its peers succeed is itself partitioned. Selects the servers to
 * probe, so that a partition and its end are noticed without callers' requests as test traffic.
 */
import { Emitter } from "../common/emitter.ts";

/** Interval between probes of an unreachable server, ms, and the one after it has been unreachable for long. */
const probeIntervalMs = 300;
const longFailureIntervalMs = 1_000;
const longFailureMs = 15_000;
/** A server that owes a response and sends nothing for this long is probed, ms, if all others are silent too. */
const hostSilenceMs = 350;
/** The same while other servers respond, ms: long prefills and short stalls are normal. */
const serverSilenceMs = 1_200;
/** A server that answered this recently isn't probed to find out whether a failure elsewhere concerns it too, ms. */
const recentContactMs = 400;
/** Minimum interval between two probes of a server because of peers' reports, ms. */
const reportedProbeIntervalMs = 1_000;
/** Number of other servers that are probed after a server became unreachable. */
const maxVerifications = 3;
/** Maximum number of probes in progress. */
const maxProbes = 16;
/** Without any sign of any server for this long, ms, an idle connection is no proof that its server can be reached. */
const idleProofMs = 1_000;

/** A peer's report counts for this long, ms: peers report with each heartbeat, and a lost one no longer does. */
const reportLifetimeMs = 2_500;

/** How many of the known servers this node can connect to. */
export interface ReachabilitySummary {
  readonly known: number;
  readonly reached: number;
  /** Since when none can be connected to, ms; undefined if one can. */
  readonly noneSinceMs: number | undefined;
}

/** The servers that a peer could not connect to when it last reported. */
interface PeerReport {
  readonly serverIds: ReadonlySet<string>;
  readonly zone: string;
  readonly atMs: number;
}

interface PathRecord {
  /** When the last connection was established, ms. */
  connectedMs: number;
  /** When the server last sent anything, or a connection was established, ms. */
  heardMs: number;
  /** Since when connection attempts fail, ms; undefined while the server is reachable. */
  failingSinceMs: number | undefined;
  /** Requests that the server has not answered completely. */
  inFlight: number;
  /** Since when the server owes a response without sending anything, ms. */
  silentSinceMs: number;
  probing: boolean;
  probedMs: number;
  /** Probe it next, as there are signs that it may be unreachable. */
  suspected: boolean;
}

/** Paths to backend servers by server id. */
export class ServerReachability {
  /** A server became reachable or unreachable. */
  readonly changed = new Emitter<undefined>();
  /** There may be servers to probe after this time, ms. */
  readonly activated = new Emitter<number>();
  private readonly records = new Map<string, PathRecord>();
  private readonly failing = new Set<string>();
  /** By IP of the peer; those without unreachable servers have none. */
  private readonly peerReports = new Map<string, PeerReport>();
  private inFlight = 0;
  private lastHeardMs = Number.NEGATIVE_INFINITY;

  /** A connection to the server was established. */
  recordConnected(serverId: string, nowMs: number): void {
    const record = this.recordOf(serverId);
    record.connectedMs = nowMs;
    record.suspected = false;
    this.recordHeard(serverId, nowMs);
    if (record.failingSinceMs === undefined) return;
    record.failingSinceMs = undefined;
    this.failing.delete(serverId);
    // The other servers may be back too.
    for (const id of this.failing) this.suspect(id);
    this.changed.fire(undefined);
  }

  /** A connection attempt that began at `startedMs` failed. */
  recordConnectFailure(serverId: string, startedMs: number, nowMs: number): void {
    const record = this.recordOf(serverId);
    record.suspected = false;
    if (record.connectedMs > startedMs || record.failingSinceMs !== undefined) return;
    record.failingSinceMs = nowMs;
    this.failing.add(serverId);
    this.suspectOthers(nowMs);
    this.changed.fire(undefined);
    this.activated.fire(0);
  }

  /** A request was sent to the server. */
  recordSend(serverId: string, nowMs: number): void {
    const record = this.recordOf(serverId);
    if (record.inFlight === 0) record.silentSinceMs = nowMs;
    record.inFlight += 1;
    this.inFlight += 1;
    if (this.inFlight === 1) this.activated.fire(hostSilenceMs);
  }

  /** A request to the server ended. */
  recordEnd(serverId: string): void {
    const record = this.records.get(serverId);
    if (record === undefined || record.inFlight === 0) return;
    record.inFlight -= 1;
    this.inFlight -= 1;
  }

  /** The server sent part of a response. */
  recordHeard(serverId: string, nowMs: number): void {
    const record = this.recordOf(serverId);
    record.heardMs = nowMs;
    record.silentSinceMs = nowMs;
    this.lastHeardMs = nowMs;
  }

  /** A peer in this zone reports the servers that it can't connect to; returns those that it newly reports. */
  recordPeerReport(ip: string, zone: string, serverIds: readonly string[], nowMs: number): string[] {
    const known = this.peerReports.get(ip);
    if (serverIds.length === 0) this.peerReports.delete(ip);
    else this.peerReports.set(ip, { serverIds: new Set(serverIds), zone, atMs: nowMs });
    return serverIds.filter((id) => known?.serverIds.has(id) !== true);
  }

  /**
   * Whether neither this node, in `ownZone`, nor a peer can connect to the server, and one of them is in the server's zone:
   * a partition between zones separates peers from a server that still runs.
   */
  isGone(
    { id, zone }: { readonly id: string; readonly zone: string },
    ownZone: string,
    nowMs: number,
  ): boolean {
    if (!this.failing.has(id)) return false;
    return [...this.peerReports.values()].some(
      (report) =>
        report.serverIds.has(id) &&
        nowMs - report.atMs < reportLifetimeMs &&
        (report.zone === zone || ownZone === zone),
    );
  }

  /** A peer can't connect to the server: probes it unless this node heard from it recently. */
  recordPeerFailure(serverId: string, nowMs: number): void {
    const record = this.recordOf(serverId);
    if (nowMs - record.heardMs < recentContactMs || record.failingSinceMs !== undefined) return;
    if (nowMs - record.probedMs < reportedProbeIntervalMs) return;
    this.suspect(serverId);
    this.activated.fire(0);
  }

  /** Whether connections to the server can be established, as far as is known. */
  isReachable(serverId: string): boolean {
    return !this.failing.has(serverId);
  }

  /** Ids of the servers to which connections fail. */
  get unreachable(): ReadonlySet<string> {
    return this.failing;
  }

  /** Since when connections to the server fail, ms. */
  failingSinceMs(serverId: string): number | undefined {
    return this.records.get(serverId)?.failingSinceMs;
  }

  /** Whether nothing was heard from any server lately, so that idle connections may lead nowhere. */
  isQuiet(nowMs: number): boolean {
    return nowMs - this.lastHeardMs > idleProofMs;
  }

  /** Whether probes may become due without further events. */
  get active(): boolean {
    return this.inFlight > 0 || this.failing.size > 0 || [...this.records.values()].some((r) => r.suspected);
  }

  /** Counts the reachable ones of the given servers. */
  summarize(serverIds: readonly string[]): ReachabilitySummary {
    const failing = serverIds.filter((id) => this.failing.has(id));
    const noneReached = failing.length > 0 && failing.length === serverIds.length;
    const sinceMs = failing.map((id) => this.records.get(id)?.failingSinceMs ?? 0);
    return {
      known: serverIds.length,
      reached: serverIds.length - failing.length,
      noneSinceMs: noneReached ? Math.max(...sinceMs) : undefined,
    };
  }

  /** Selects the servers to probe now and counts them as being probed until `recordProbeEnd`. */
  startProbes(nowMs: number): string[] {
    const hostIsSilent = nowMs - this.lastHeardMs >= hostSilenceMs;
    const due = [...this.records].filter(([, record]) => isDue(record, hostIsSilent, nowMs));
    const probing = [...this.records.values()].filter((record) => record.probing).length;
    const ids = due
      .sort(([, a], [, b]) => a.probedMs - b.probedMs)
      .slice(0, Math.max(0, maxProbes - probing))
      .map(([id]) => id);
    for (const id of ids) Object.assign(this.recordOf(id), { probing: true, probedMs: nowMs });
    return ids;
  }

  /** A probe of the server has ended; its outcome is recorded as that of a connection. */
  recordProbeEnd(serverId: string): void {
    const record = this.records.get(serverId);
    if (record !== undefined) record.probing = false;
  }

  /** Keeps records of exactly the given servers. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const id of serverIds) this.recordOf(id);
    for (const [id, { inFlight }] of this.records) {
      if (serverIds.has(id)) continue;
      this.records.delete(id);
      this.failing.delete(id);
      this.inFlight -= inFlight;
    }
  }

  /** A failure may be that of the host: probes some servers that weren't heard from recently. */
  private suspectOthers(nowMs: number): void {
    const others = [...this.records].filter(
      ([, record]) =>
        record.failingSinceMs === undefined &&
        !record.suspected &&
        !record.probing &&
        nowMs - record.heardMs >= recentContactMs,
    );
    others.sort(([, a], [, b]) => a.probedMs - b.probedMs);
    for (const [id] of others.slice(0, maxVerifications)) this.suspect(id);
  }

  private suspect(serverId: string): void {
    this.recordOf(serverId).suspected = true;
  }

  private recordOf(serverId: string): PathRecord {
    const known = this.records.get(serverId);
    if (known !== undefined) return known;
    const record: PathRecord = {
      connectedMs: Number.NEGATIVE_INFINITY,
      heardMs: Number.NEGATIVE_INFINITY,
      failingSinceMs: undefined,
      inFlight: 0,
      silentSinceMs: Number.NEGATIVE_INFINITY,
      probing: false,
      probedMs: Number.NEGATIVE_INFINITY,
      suspected: false,
    };
    this.records.set(serverId, record);
    return record;
  }
}

function isDue(record: PathRecord, hostIsSilent: boolean, nowMs: number): boolean {
  if (record.probing) return false;
  if (record.suspected) return true;
  if (record.failingSinceMs !== undefined) {
    const isLong = nowMs - record.failingSinceMs >= longFailureMs;
    return nowMs - record.probedMs >= (isLong ? longFailureIntervalMs : probeIntervalMs);
  }
  if (record.inFlight === 0) return false;
  const limitMs = hostIsSilent ? hostSilenceMs : serverSilenceMs;
  // After a successful probe the silence counts anew.
  return nowMs - Math.max(record.silentSinceMs, record.probedMs) >= limitMs;
}
