/**
 * Decides whether this node is active or on standby, and keeps a standby node up to date: it polls two active nodes in
 * turn for the roster and for the revisions that they know, and pulls what is newer.
 */
import * as Schema from "effect/Schema";
import { decodeEither } from "../../common/decode.ts";
import { Emitter } from "../../common/emitter.ts";
import type { Log } from "../../common/log.ts";
import { PeriodicTask } from "../../common/supervisor.ts";
import {
  overutilizationLevel,
  isOverutilized,
  isSmallFleet,
  turnsBeforeActivation,
  turnsBeforeRetirement,
  type ActiveNode,
} from "../../serving/membership/activeSet.ts";
import {
  Member,
  Roster,
  RosterNodeStatus,
  type PeerTable,
  type Heartbeat,
  type NodeStatus,
} from "../../serving/membership/peerTable.ts";
import { initialPosition, formatPosition, type StorePosition } from "../../serving/storePosition.ts";
import type { PeerTask } from "./peerTask.ts";

/**
 * Period of checks, ms. Active nodes notify standby nodes of changes with at most this delay, so callers that query the
 * directory of a standby node learn of a lost node that much later.
 */
const periodMs = 600;
/**
 * Interval between a standby node's polls, ms. Polling and answering polls is nearly all the work of standby nodes, and
 * there may be hundreds of them; changes are sent without a poll.
 */
const pollIntervalMs = 1_200;
/**
 * Interval between an active node's polls, ms. It receives the others' heartbeats anyway, but nodes that became active
 * at the same moment don't know each other and learn of each other only from a third one.
 */
const activePollIntervalMs = 4_800;
/** An active node polls at every check until it has been active for this long, ms: the polled node may be as new. */
const recentActivationMs = 3_000;
/** Active nodes that a standby node polls in turn: if one is lost, the other still sends it changes. */
const rosterSourceCount = 2;
/** A poll counts as unanswered once all datagrams that arrived within this time have been read, ms. */
const responseTimeoutMs = periodMs / 2;
/** Consecutive polls left unanswered after which an active node counts as dead; more than one, as datagrams are lost. */
const maxUnansweredPolls = 2;
/** Minimum time between an update and one sent before the next check, ms: utilization fluctuates around a threshold. */
const minUpdateIntervalMs = 200;
/** A node that hasn't polled for this long, ms, is sent no more changes: three polls of each roster source. */
const subscriptionTtlMs = 6 * pollIntervalMs;
/**
 * A standby node becomes active when one has been missing for `activationDelayMs`, and `activationTurnMs` later for each
 * turn before its own: the nodes of that turn may be dead, and news of one that became active takes a period or two.
 */
const activationDelayMs = 400;
const activationTurnMs = 700;
/** Maximum number of turns to wait: even with hundreds of nodes in a zone, most of them dead, one takes over in seconds. */
const maxActivationTurns = 6;
/**
 * A surplus node returns to standby after `retirementDelayMs`, and `retirementTurnMs` later for each node whose turn comes
 * before its own. The delay is longer than the second within which all nodes learn of each other after a start.
 */
const retirementDelayMs = 1_500;
const retirementTurnMs = 1_000;

const RosterRequest = Schema.Struct({ node: Member, digest: Schema.String });

/** Omits the fields that only heartbeats carry. */
const encodeStatus = Schema.encodeSync(RosterNodeStatus);

/** A standby node that polled recently. */
interface Subscriber {
  readonly node: Member;
  readonly requestedMs: number;
  /** Digest of the roster that it knows. */
  digest: string;
}

/** Options of an `ActivationTask`. */
export interface ActivationTaskOptions {
  readonly log: Log;
  readonly table: PeerTable;
  /** All input that arrived before this time has been read, ms; a peer's silence is measured up to it, not up to now. */
  readonly readUpToMs: () => number;
  readonly peers: Pick<PeerTask, "handle" | "heartbeatReceived" | "broadcastHeartbeat" | "notifyOne">;
  /** This node's status as its peers see it. */
  readonly nodeStatus: () => NodeStatus;
  /** Revision of the newest change to the set of servers. */
  readonly presenceRevision: () => number;
  /** Store position of the newest change to the quarantine. */
  readonly quarantinePosition: () => StorePosition;
  /** Time since any active node is known to have read the store, ms; infinite if none is. */
  readonly readAgeMs: () => number;
  /** Whether the node holds the placement lease. */
  readonly holdsLease: () => boolean;
  /** Gives up the placement lease. */
  readonly stepDown: () => Promise<void>;
  /** Whether the node knows the other nodes, from the store or from peers, or has waited long enough. */
  readonly membershipKnown: () => boolean;
  /** Maximum number of nodes by which a zone grows in one step. */
  readonly maxPerStep?: number;
}

/** Owns the node's activation state: active or standby. */
export class ActivationTask extends PeriodicTask {
  /** Fired with true when the node becomes active, with false when it returns to standby. */
  readonly changed = new Emitter<boolean>();
  /** Fired with each roster that this node receives while on standby. */
  readonly rosterReceived = new Emitter<Roster>();
  private isActive = false;
  private stopping = false;
  /** Timer of the next decision, if it is due before the next check. */
  private decisionTimer: NodeJS.Timeout | undefined;
  /** Since when another active node has been needed, or this one has been surplus, ms. */
  private conditionSinceMs: number | undefined;
  /** Its turn to become active as of the last decision; the wait starts anew when the turn moves up. */
  private turn = 0;
  /** When it last became active or returned to standby, ms. */
  private stateChangedMs = Number.NEGATIVE_INFINITY;
  private pollCount = 0;
  private lastPollMs = Number.NEGATIVE_INFINITY;
  /** The active node that was polled last and has not answered. */
  private pendingSource: string | undefined;
  private readonly unansweredCounts = new Map<string, number>();
  private readonly subscribers = new Map<string, Subscriber>();
  /** The state that subscribers were last sent. */
  private sentKey = "";
  private sentOverutilization = 0;
  private sentMs = Number.NEGATIVE_INFINITY;
  /** Digest of the last roster from each active node. */
  private readonly digests = new Map<string, string>();
  /** The last reported read of the store: its age then, and when it was reported, ms. */
  private reportedRead: { readonly ageMs: number; readonly atMs: number } | undefined;

  constructor(private readonly options: ActivationTaskOptions) {
    super("activation", periodMs, options.log);
    options.peers.handle("roster.ask", (params) => {
      this.onRosterRequest(params);
    });
    options.peers.handle("roster", (params) => {
      this.onRoster(params);
    });
    options.peers.heartbeatReceived.on((heartbeat) => {
      this.onHeartbeat(heartbeat);
    });
  }

  /** Whether the node is active and serves callers, rather than on standby. */
  get active(): boolean {
    return this.isActive;
  }

  /** Time since any active node read the store, as reported to this node while on standby, ms. */
  get reportedReadAgeMs(): number {
    if (this.reportedRead === undefined) return Number.POSITIVE_INFINITY;
    return this.reportedRead.ageMs + performance.now() - this.reportedRead.atMs;
  }

  /** Called when the node is stopping: it doesn't become active any more. */
  preventActivation(): void {
    this.stopping = true;
  }

  override async dispose(): Promise<void> {
    this.preventActivation();
    clearTimeout(this.decisionTimer);
    await super.dispose();
  }

  protected override step(): Promise<void> {
    if (this.isActive) {
      this.notifySubscribers();
      this.pollForUnknownPeers();
    } else this.pollRosterSource();
    this.decide();
    return Promise.resolve();
  }

  private decide(): void {
    if (this.stopping || !this.options.membershipKnown()) return;
    const now = performance.now();
    const { table } = this.options;
    const view = {
      self: this.options.nodeStatus(),
      active: table.active(this.options.readUpToMs()),
      knownNodes: table.knownNodes,
      maxPerStep: this.options.maxPerStep,
    };
    if (this.isActive) {
      const turn = turnsBeforeRetirement(view);
      const heldMs = this.conditionHeldMs(turn !== undefined, now);
      if (turn !== undefined && heldMs >= retirementDelayMs + turn * retirementTurnMs)
        this.retire(view.active);
      return;
    }
    const turn = turnsBeforeActivation(view);
    // Prevents more nodes than planned from becoming active: while the planned ones do so, utilization reports from before
    // and after are mixed.
    if (turn !== undefined && turn < this.turn) this.conditionSinceMs = undefined;
    this.turn = turn ?? 0;
    const heldMs = this.conditionHeldMs(turn !== undefined, now);
    if (turn === undefined) return;
    // At a start no node is known to be active, and the first ones needn't wait for others.
    const first = isSmallFleet(view.knownNodes) || (turn === 0 && view.active.length === 0);
    const waitMs = first ? 0 : activationDelayMs + Math.min(maxActivationTurns, turn) * activationTurnMs;
    if (heldMs >= waitMs) this.setActive(true, view.active);
    else this.decideAfter(waitMs - heldMs);
  }

  /** Decides again after `ms`, once the messages that arrived meanwhile have been read. */
  private decideAfter(ms: number): void {
    clearTimeout(this.decisionTimer);
    this.decisionTimer = setTimeout(() => {
      setImmediate(() => {
        if (!this.isActive) this.decide();
      });
    }, ms);
    this.decisionTimer.unref();
  }

  /** How long another active node has been needed, or this one has been surplus, ms; negative infinity if neither holds. */
  private conditionHeldMs(holds: boolean, now: number): number {
    if (!holds) {
      this.conditionSinceMs = undefined;
      return Number.NEGATIVE_INFINITY;
    }
    this.conditionSinceMs ??= now;
    return now - this.conditionSinceMs;
  }

  /**
   * A lease holder steps down first and returns to standby at the next check. Otherwise a small host that took the lease
   * while larger ones were starting would plan placement for as long as it lives.
   */
  private retire(others: readonly ActiveNode[]): void {
    if (this.options.holdsLease()) void this.options.stepDown();
    else this.setActive(false, others);
  }

  private setActive(active: boolean, others: readonly ActiveNode[]): void {
    this.isActive = active;
    this.conditionSinceMs = undefined;
    this.options.table.clearRosters();
    this.digests.clear();
    this.subscribers.clear();
    this.stateChangedMs = performance.now();
    this.pendingSource = undefined;
    const { zone } = this.options.nodeStatus();
    const inZone = others.filter((node) => node.zone === zone).map(({ ip, busy }) => `${ip} ${busy}`);
    this.options.log.info({ event: active ? "activated" : "retired", others: others.length, inZone });
    this.options.peers.broadcastHeartbeat();
    this.changed.fire(active);
  }

  private pollRosterSource(): void {
    const now = performance.now();
    const { table, peers, readUpToMs } = this.options;
    const pending = this.pendingSource;
    if (pending === undefined && now - this.lastPollMs < pollIntervalMs - periodMs / 2) return;
    if (pending !== undefined && readUpToMs() - this.lastPollMs < responseTimeoutMs) return;
    if (pending !== undefined) this.noteUnanswered(pending);
    const { ip, port, zone, strength } = this.options.nodeStatus();
    const node = { ip, port, zone, strength };
    const sources = table.rosterSources(readUpToMs()).slice(0, rosterSourceCount);
    this.pollCount += 1;
    this.lastPollMs = now;
    const source = sources[this.pollCount % Math.max(1, sources.length)];
    this.pendingSource = source?.ip;
    // If no node is known to be active, all that may be are polled.
    const recipients = source === undefined ? table.recipients(readUpToMs(), true) : [source];
    for (const peer of recipients)
      peers.notifyOne("roster.ask", { node, digest: this.digests.get(peer.ip) ?? "" }, peer);
  }

  private pollForUnknownPeers(): void {
    const now = performance.now();
    const { table, peers, readUpToMs } = this.options;
    const intervalMs = now - this.stateChangedMs < recentActivationMs ? 0 : activePollIntervalMs;
    if (now - this.lastPollMs < intervalMs || isSmallFleet(table.knownNodes)) return;
    const sources = table.rosterSources(readUpToMs());
    this.pollCount += 1;
    this.lastPollMs = now;
    const source = sources[this.pollCount % Math.max(1, sources.length)];
    if (source === undefined) return;
    const { ip, port, zone, strength } = this.options.nodeStatus();
    const node = { ip, port, zone, strength };
    peers.notifyOne("roster.ask", { node, digest: this.digests.get(source.ip) ?? "" }, source);
  }

  private noteUnanswered(ip: string): void {
    const count = (this.unansweredCounts.get(ip) ?? 0) + 1;
    this.unansweredCounts.set(ip, count);
    if (count < maxUnansweredPolls) return;
    this.unansweredCounts.delete(ip);
    this.options.table.markDead(ip);
    this.digests.delete(ip);
  }

  /** Sends standby nodes what changed since the last update. */
  private notifySubscribers(): void {
    const now = performance.now();
    const roster = this.roster();
    const { digest, version, fleetRevision, quarantinePosition = initialPosition, storeEra } = roster;
    const key = [digest, version, fleetRevision, formatPosition(quarantinePosition), storeEra].join(" ");
    if (key === this.sentKey) return;
    this.sentKey = key;
    this.sentMs = now;
    this.sentOverutilization = this.overutilization(this.options.nodeStatus());
    for (const [ip, subscriber] of this.subscribers) {
      if (now - subscriber.requestedMs >= subscriptionTtlMs) this.subscribers.delete(ip);
      else this.sendRoster(subscriber, roster);
    }
  }

  /** Sends an update at once, without waiting for the next check, when more nodes are needed or none are any more. */
  private onHeartbeat(heartbeat: Heartbeat): void {
    if (!this.isActive || (this.sentOverutilization === 0 && !isOverutilized([heartbeat]))) return;
    const now = performance.now();
    const self = this.options.nodeStatus();
    if (heartbeat.zone !== self.zone || now - this.sentMs < minUpdateIntervalMs) return;
    const overutilization = this.overutilization(self);
    if (overutilization > this.sentOverutilization || (overutilization === 0 && this.sentOverutilization > 0))
      this.notifySubscribers();
  }

  private sendRoster(subscriber: Subscriber, roster: Roster): void {
    const known = subscriber.digest === roster.digest;
    const message = known ? roster : { ...roster, entries: this.entries() };
    this.options.peers.notifyOne("roster", message, subscriber.node);
    subscriber.digest = roster.digest;
  }

  private onRosterRequest(params: unknown): void {
    decodeEither(RosterRequest, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ node, digest }) => {
        // A node that started later than this one is missing from the list that this one read.
        this.options.table.addLiveNode(node);
        const now = performance.now();
        const subscriber = { node, requestedMs: now, digest };
        const receivesHeartbeats = this.options.table
          .alive(this.options.readUpToMs())
          .some(({ status }) => status.ip === node.ip);
        if (!receivesHeartbeats) this.subscribers.set(node.ip, subscriber);
        this.sendRoster(subscriber, this.roster());
      });
  }

  /** This node's roster message, without entries. */
  private roster(): Roster {
    const { table, readAgeMs, readUpToMs } = this.options;
    const self = this.options.nodeStatus();
    const { host, boot, ip, port, version, configurationAgeMs, storeEra } = self;
    const fleetRevision = this.options.presenceRevision();
    const quarantinePosition = this.options.quarantinePosition();
    const overutilization = this.overutilization(self);
    const digest = `${table.digest(readUpToMs())} ${String(this.isActive)} ${String(self.ready)} ${overutilization}`;
    const age = readAgeMs();
    const read = Number.isFinite(age) ? { readAgeMs: Math.round(age) } : {};
    const era = storeEra === undefined ? {} : { storeEra };
    const confirmed = configurationAgeMs === undefined ? {} : { configurationAgeMs };
    const known = { version, ...confirmed, fleetRevision, quarantinePosition, ...era };
    return { host, boot, ip, port, ...known, digest, ...read };
  }

  /** Only for this zone: the nodes of other zones report their own. */
  private overutilization(self: NodeStatus): number {
    const nodes = this.isActive ? [...this.options.table.active(this.options.readUpToMs()), self] : [];
    return overutilizationLevel(nodes.filter(({ zone }) => zone === self.zone));
  }

  private entries(): Roster["entries"] {
    const { table, readUpToMs } = this.options;
    const readMs = readUpToMs();
    const entries = table.alive(readMs).map(({ status, lastHeardMs }) => ({
      standing: encodeStatus(status),
      ageMs: Math.max(0, Math.round(readMs - lastHeardMs)),
    }));
    if (this.isActive) entries.push({ standing: encodeStatus(this.options.nodeStatus()), ageMs: 0 });
    return entries;
  }

  private onRoster(params: unknown): void {
    decodeEither(Roster, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((roster) => {
        if (this.isActive) {
          this.contactUnknownPeers(roster);
          return;
        }
        this.applyRoster(roster);
        this.rosterReceived.fire(roster);
        this.decide();
      });
  }

  /** Sends a heartbeat to active nodes that this active node gets none from, so that they send theirs to it. */
  private contactUnknownPeers({ ip, digest, entries = [] }: Roster): void {
    const now = performance.now();
    const { table, peers } = this.options;
    if (entries.length > 0) this.digests.set(ip, digest);
    const known = new Set(
      [this.options.nodeStatus(), ...table.active(this.options.readUpToMs())].map((node) => node.ip),
    );
    const unknownPeers = entries.filter(({ standing }) => !known.has(standing.ip));
    for (const { standing } of unknownPeers) table.addContact(standing, now);
    if (unknownPeers.length > 0) peers.broadcastHeartbeat();
  }

  private applyRoster(roster: Roster): void {
    const now = performance.now();
    const { table } = this.options;
    this.unansweredCounts.delete(roster.ip);
    if (this.pendingSource === roster.ip) this.pendingSource = undefined;
    if (roster.readAgeMs !== undefined) this.reportedRead = { ageMs: roster.readAgeMs, atMs: now };
    if (roster.entries === undefined) {
      // Nothing changed: it still receives heartbeats of all nodes of its last roster.
      table.confirmRoster(roster.ip, now);
      return;
    }
    this.digests.set(roster.ip, roster.digest);
    table.applyRoster(
      roster.ip,
      roster.entries.map(({ standing, ageMs }) => ({ status: standing, lastHeardMs: now - ageMs })),
    );
  }
}
