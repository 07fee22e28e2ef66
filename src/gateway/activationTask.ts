/**
 * Makes this node active or lets it stand by, and keeps one that stands by informed: it asks two active nodes in turn
 * who is active and what they know, and pulls from them what is new.
 */
import * as Schema from "effect/Schema";
import { decodeEither } from "../common/decode.ts";
import { Emitter } from "../common/emitter.ts";
import type { Log } from "../common/log.ts";
import { PeriodicTask } from "../common/supervisor.ts";
import {
  overutilizationLevel,
  isOverutilized,
  isSmallFleet,
  turnsBeforeActivation,
  turnsBeforeRetirement,
  type ActiveNode,
} from "../serving/membership/activeSet.ts";
import {
  Member,
  Roster,
  RosterNodeStatus,
  type PeerTable,
  type Heartbeat,
  type NodeStatus,
} from "../serving/membership/peerTable.ts";
import { initialPosition, formatPosition, type StorePosition } from "../serving/storePosition.ts";
import type { PeerTask } from "./peerTask.ts";

/**
 * Period of looks, ms. Active nodes tell those that stand by of changes this much later at most, so callers that ask one
 * of these which addresses to use hear of a lost node that much later.
 */
const periodMs = 600;
/**
 * Pause between questions of a node that stands by, ms. Nearly all that it does is to ask and be asked, and hundreds do
 * so; changes are told without a question.
 */
const askMs = 1_200;
/**
 * The same of an active node, ms: it hears the others by itself, but those that became active at the same moment are known
 * only to a third.
 */
const activeAskMs = 4_800;
/** It asks at every look until it has been active for this long, ms: the one asked may be as new. */
const newMs = 3_000;
/** Active nodes that one standing by asks in turn: with one lost, the other still tells it of changes. */
const anchorCount = 2;
/** A question counts as unanswered once all that came within this time is read, ms. */
const answerMs = periodMs / 2;
/** Questions in a row that an active node may leave unanswered, as datagrams are lost; then it counts as dead. */
const mostUnanswered = 2;
/** Pause after a change was told until more is told before the next look, ms: use goes up and down around a step. */
const promptMs = 200;
/** A node that didn't ask for this long, ms, isn't told of changes any more: three questions to each anchor. */
const listenerMs = 6 * askMs;
/**
 * A node takes over when one is missing for this long, ms, and as much longer for each other node whose turn comes
 * before: it may be dead, and word of one that took over takes a period or two.
 */
const missingMs = 400;
const turnMs = 700;
/** Nodes ahead that are waited for: with hundreds in a zone most of them dead, one still takes over in seconds. */
const mostTurns = 6;
/**
 * A surplus node retires when it is one for this long, ms, and as much longer for each other node whose turn comes before:
 * after a start all hear of each other within a second.
 */
const surplusMs = 1_500;
const retireTurnMs = 1_000;

const AskParams = Schema.Struct({ node: Member, digest: Schema.String });

/** Leaves out what only a pulse holds. */
const encodeStanding = Schema.encodeSync(RosterNodeStatus);

/** A node that stands by and asked lately. */
interface Listener {
  readonly node: Member;
  readonly askedMs: number;
  /** Of the roster that it knows. */
  digest: string;
}

/** Options of an `ActivationTask`. */
export interface ActivationTaskOptions {
  readonly log: Log;
  readonly table: PeerTable;
  /** Everything that arrived before this moment has been read, ms: a peer is silent as of then, not as of now. */
  readonly readUntilMs: () => number;
  readonly peers: Pick<PeerTask, "handle" | "heartbeatReceived" | "tellEveryone" | "tellOne">;
  /** This node as its peers see it. */
  readonly standing: () => NodeStatus;
  /** Revision of the newest change of which servers there are. */
  readonly presenceRevision: () => number;
  /** The store's position of the newest change of quarantined requests. */
  readonly quarantinePosition: () => StorePosition;
  /** Time since any active node read the store, as far as is known, ms; infinite if none did. */
  readonly readAgeMs: () => number;
  /** Does the node hold the placement lease? */
  readonly holdsLease: () => boolean;
  /** Gives the placement lease up. */
  readonly stepDown: () => Promise<void>;
  /** Does the node know the other nodes, from the store or from peers, or has it waited long enough? */
  readonly membershipKnown: () => boolean;
  /** By how many nodes a zone may grow in a step. */
  readonly mostPerStep?: number;
}

/** Owns the node's state. */
export class ActivationTask extends PeriodicTask {
  /** The node became active, or stands by from now on. */
  readonly changed = new Emitter<boolean>();
  /** What an active node told this one, which stands by. */
  readonly rosterReceived = new Emitter<Roster>();
  private activeNow = false;
  private stopping = false;
  /** Of the next decision, if a wait ends before the next look. */
  private timer: NodeJS.Timeout | undefined;
  /** Since when a place for this node is empty, or it is one too many, ms. */
  private dueSinceMs: number | undefined;
  /** Its turn to become active when it last decided; one that comes nearer is waited for anew. */
  private turn = 0;
  /** When it became active, or stood by again, ms. */
  private becameMs = Number.NEGATIVE_INFINITY;
  private rounds = 0;
  private askedMs = Number.NEGATIVE_INFINITY;
  /** The active node that was asked last and has not answered. */
  private unanswered: string | undefined;
  private readonly unansweredCounts = new Map<string, number>();
  private readonly listeners = new Map<string, Listener>();
  /** What listeners were told last. */
  private toldKey = "";
  private toldCrowding = 0;
  private toldMs = Number.NEGATIVE_INFINITY;
  /** Digest of the roster that each active node told last. */
  private readonly digests = new Map<string, string>();
  /** Who told of the store lately: how old its read was, and when it told, ms. */
  private readHeard: { readonly ageMs: number; readonly atMs: number } | undefined;

  constructor(private readonly options: ActivationTaskOptions) {
    super("activation", periodMs, options.log);
    options.peers.handle("roster.ask", (params) => {
      this.onAsk(params);
    });
    options.peers.handle("roster", (params) => {
      this.onRoster(params);
    });
    options.peers.heartbeatReceived.on((pulse) => {
      this.onPulse(pulse);
    });
  }

  /** Does the node take callers, rather than stand by? */
  get active(): boolean {
    return this.activeNow;
  }

  /** Time since any active node read the store, as a node that stands by hears it, ms. */
  get reportedReadAgeMs(): number {
    if (this.readHeard === undefined) return Number.POSITIVE_INFINITY;
    return this.readHeard.ageMs + performance.now() - this.readHeard.atMs;
  }

  /** The node stops: it becomes active no more. */
  preventActivation(): void {
    this.stopping = true;
  }

  override async dispose(): Promise<void> {
    this.preventActivation();
    clearTimeout(this.timer);
    await super.dispose();
  }

  protected override step(): Promise<void> {
    if (this.activeNow) {
      this.tellListeners();
      this.askForStrangers();
    } else this.askAnchor();
    this.decide();
    return Promise.resolve();
  }

  private decide(): void {
    if (this.stopping || !this.options.membershipKnown()) return;
    const now = performance.now();
    const { table } = this.options;
    const view = {
      self: this.options.standing(),
      active: table.active(this.options.readUntilMs()),
      knownNodes: table.knownNodes,
      mostPerStep: this.options.mostPerStep,
    };
    if (this.activeNow) {
      const turn = turnsBeforeRetirement(view);
      const dueMs = this.dueFor(turn !== undefined, now);
      if (turn !== undefined && dueMs >= surplusMs + turn * retireTurnMs) this.retire(view.active);
      return;
    }
    const turn = turnsBeforeActivation(view);
    // Guards "nodes beyond the plan step in beside it": while it is carried out, old word of use mixes with new.
    if (turn !== undefined && turn < this.turn) this.dueSinceMs = undefined;
    this.turn = turn ?? 0;
    const dueMs = this.dueFor(turn !== undefined, now);
    if (turn === undefined) return;
    // At a start nobody is known to be active, and those that come first needn't wait for others.
    const first = isSmallFleet(view.knownNodes) || (turn === 0 && view.active.length === 0);
    const waitMs = first ? 0 : missingMs + Math.min(mostTurns, turn) * turnMs;
    if (dueMs >= waitMs) this.become(true, view.active);
    else this.decideIn(waitMs - dueMs);
  }

  /** Decides again when a wait ends, after the word that has come meanwhile was read. */
  private decideIn(ms: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      setImmediate(() => {
        if (!this.activeNow) this.decide();
      });
    }, ms);
    this.timer.unref();
  }

  /** For how long the condition has held, ms. */
  private dueFor(due: boolean, now: number): number {
    if (!due) {
      this.dueSinceMs = undefined;
      return Number.NEGATIVE_INFINITY;
    }
    this.dueSinceMs ??= now;
    return now - this.dueSinceMs;
  }

  /**
   * A holder gives its lease up first, and retires at the next look. Guards "a small host plans for good": it took the
   * lease while stronger ones were starting.
   */
  private retire(others: readonly ActiveNode[]): void {
    if (this.options.holdsLease()) void this.options.stepDown();
    else this.become(false, others);
  }

  private become(active: boolean, others: readonly ActiveNode[]): void {
    this.activeNow = active;
    this.dueSinceMs = undefined;
    this.options.table.clearRosters();
    this.digests.clear();
    this.listeners.clear();
    this.becameMs = performance.now();
    this.unanswered = undefined;
    const { zone } = this.options.standing();
    const inZone = others.filter((node) => node.zone === zone).map(({ ip, busy }) => `${ip} ${busy}`);
    this.options.log.info({ event: active ? "activated" : "retired", others: others.length, inZone });
    this.options.peers.tellEveryone();
    this.changed.fire(active);
  }

  private askAnchor(): void {
    const now = performance.now();
    const { table, peers, readUntilMs } = this.options;
    const late = this.unanswered;
    if (late === undefined && now - this.askedMs < askMs - periodMs / 2) return;
    if (late !== undefined && readUntilMs() - this.askedMs < answerMs) return;
    if (late !== undefined) this.noteUnanswered(late);
    const { ip, port, zone, strength } = this.options.standing();
    const node = { ip, port, zone, strength };
    const anchors = table.rosterSources(readUntilMs()).slice(0, anchorCount);
    this.rounds += 1;
    this.askedMs = now;
    const anchor = anchors[this.rounds % Math.max(1, anchors.length)];
    this.unanswered = anchor?.ip;
    // Nobody is known to be active: all that may be are asked.
    const asked = anchor === undefined ? table.recipients(readUntilMs(), true) : [anchor];
    for (const peer of asked)
      peers.tellOne("roster.ask", { node, digest: this.digests.get(peer.ip) ?? "" }, peer);
  }

  private askForStrangers(): void {
    const now = performance.now();
    const { table, peers, readUntilMs } = this.options;
    const pauseMs = now - this.becameMs < newMs ? 0 : activeAskMs;
    if (now - this.askedMs < pauseMs || isSmallFleet(table.knownNodes)) return;
    const anchors = table.rosterSources(readUntilMs());
    this.rounds += 1;
    this.askedMs = now;
    const anchor = anchors[this.rounds % Math.max(1, anchors.length)];
    if (anchor === undefined) return;
    const { ip, port, zone, strength } = this.options.standing();
    const node = { ip, port, zone, strength };
    peers.tellOne("roster.ask", { node, digest: this.digests.get(anchor.ip) ?? "" }, anchor);
  }

  private noteUnanswered(ip: string): void {
    const count = (this.unansweredCounts.get(ip) ?? 0) + 1;
    this.unansweredCounts.set(ip, count);
    if (count < mostUnanswered) return;
    this.unansweredCounts.delete(ip);
    this.options.table.markDead(ip);
    this.digests.delete(ip);
  }

  /** Tells those that stand by what changed since they were told. */
  private tellListeners(): void {
    const now = performance.now();
    const roster = this.roster();
    const { digest, version, fleetRevision, quarantinePosition = initialPosition, storeEra } = roster;
    const key = [digest, version, fleetRevision, formatPosition(quarantinePosition), storeEra].join(" ");
    if (key === this.toldKey) return;
    this.toldKey = key;
    this.toldMs = now;
    this.toldCrowding = this.crowding(this.options.standing());
    for (const [ip, listener] of this.listeners) {
      if (now - listener.askedMs >= listenerMs) this.listeners.delete(ip);
      else this.tellListener(listener, roster);
    }
  }

  /** Tells at once, not at the next look, that more nodes are wanted or that none are any more. */
  private onPulse(pulse: Heartbeat): void {
    if (!this.activeNow || (this.toldCrowding === 0 && !isOverutilized([pulse]))) return;
    const now = performance.now();
    const self = this.options.standing();
    if (pulse.zone !== self.zone || now - this.toldMs < promptMs) return;
    const crowding = this.crowding(self);
    if (crowding > this.toldCrowding || (crowding === 0 && this.toldCrowding > 0)) this.tellListeners();
  }

  private tellListener(listener: Listener, roster: Roster): void {
    const known = listener.digest === roster.digest;
    const told = known ? roster : { ...roster, entries: this.entries() };
    this.options.peers.tellOne("roster", told, listener.node);
    listener.digest = roster.digest;
  }

  private onAsk(params: unknown): void {
    decodeEither(AskParams, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ node, digest }) => {
        // One that started later than this node is missing from the list that it read.
        this.options.table.addLiveNode(node);
        const now = performance.now();
        const listener = { node, askedMs: now, digest };
        const hearsPulses = this.options.table
          .alive(this.options.readUntilMs())
          .some(({ status: pulse }) => pulse.ip === node.ip);
        if (!hearsPulses) this.listeners.set(node.ip, listener);
        this.tellListener(listener, this.roster());
      });
  }

  /** The roster without entries. */
  private roster(): Roster {
    const { table, readAgeMs, readUntilMs } = this.options;
    const self = this.options.standing();
    const { host, boot, ip, port, version, storeEra } = self;
    const fleetRevision = this.options.presenceRevision();
    const quarantinePosition = this.options.quarantinePosition();
    const crowding = this.crowding(self);
    const digest = `${table.digest(readUntilMs())} ${String(this.activeNow)} ${String(self.ready)} ${crowding}`;
    const age = readAgeMs();
    const read = Number.isFinite(age) ? { readAgeMs: Math.round(age) } : {};
    const era = storeEra === undefined ? {} : { storeEra };
    const known = { version, fleetRevision, quarantinePosition, ...era };
    return { host, boot, ip, port, ...known, digest, ...read };
  }

  /** Only of this zone: what other zones use is told by their own nodes. */
  private crowding(self: NodeStatus): number {
    const nodes = this.activeNow ? [...this.options.table.active(this.options.readUntilMs()), self] : [];
    return overutilizationLevel(nodes.filter(({ zone }) => zone === self.zone));
  }

  private entries(): Roster["entries"] {
    const { table, readUntilMs } = this.options;
    const readMs = readUntilMs();
    const entries = table.alive(readMs).map(({ status: pulse, lastHeardMs: heardMs }) => ({
      standing: encodeStanding(pulse),
      ageMs: Math.max(0, Math.round(readMs - heardMs)),
    }));
    if (this.activeNow) entries.push({ standing: encodeStanding(this.options.standing()), ageMs: 0 });
    return entries;
  }

  private onRoster(params: unknown): void {
    decodeEither(Roster, params)
      .ifLeft((failure) => {
        this.options.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight((roster) => {
        if (this.activeNow) {
          this.meetStrangers(roster);
          return;
        }
        this.take(roster);
        this.rosterReceived.fire(roster);
        this.decide();
      });
  }

  /** Tells active nodes that this active one doesn't hear of itself, so that they tell it as well. */
  private meetStrangers({ ip, digest, entries = [] }: Roster): void {
    const now = performance.now();
    const { table, peers } = this.options;
    if (entries.length > 0) this.digests.set(ip, digest);
    const known = new Set(
      [this.options.standing(), ...table.active(this.options.readUntilMs())].map((node) => node.ip),
    );
    const strangers = entries.filter(({ standing }) => !known.has(standing.ip));
    for (const { standing } of strangers) table.addContact(standing, now);
    if (strangers.length > 0) peers.tellEveryone();
  }

  private take(roster: Roster): void {
    const now = performance.now();
    const { table } = this.options;
    this.unansweredCounts.delete(roster.ip);
    if (this.unanswered === roster.ip) this.unanswered = undefined;
    if (roster.readAgeMs !== undefined) this.readHeard = { ageMs: roster.readAgeMs, atMs: now };
    if (roster.entries === undefined) {
      // Nothing changed, so all that it named are still heard by it.
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
