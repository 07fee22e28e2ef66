/**
 * What a gateway node believes about the backend servers: their registrations, corrected by orders that
 * are newer than the registration, and by what was learned while the store was away.
 */
import { holds, startedAfter, type BackendServer, type Resident } from "./backendServer.ts";
import { ServerNotices } from "./serverNotices.ts";
import { initialPosition, isAfter, type StorePosition } from "./storePosition.ts";

/**
 * After the store was out of reach, registrations that lapsed meanwhile are back within two seconds if
 * their server lives. Taking them out at once would leave no server at all; 2.2 s adds one poll.
 */
const lapsedGraceMs = 2_200;

/**
 * A server that is known to be gone isn't believed to be back for this long, ms, because a copy of the store names it: the
 * store drops the entry of a server that is silent for three heartbeats.
 */
const goneHoldsMs = 6_000;

/**
 * How long a change by an order goes before what registrations say, ms: one may be a heartbeat of 1.2 s and
 * a read of 0.65 s old, and was made from a state some hundred ms old.
 */
const changeHoldsMs = 2_300;

/** An unload that waits for running requests takes at most this much longer, ms: the longest time-out of a route. */
const slowUnloadMs = 15_000;

/** A change of one engine's memory by an order, known before its next registration. */
export interface ResidencyChange {
  readonly serverId: string;
  /** The incarnation that took the order. */
  readonly startedAtMs?: number | undefined;
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly present: boolean;
}

/** A registration as read. */
export interface Registration {
  readonly server: BackendServer;
  /** Of the store's row. */
  readonly position: StorePosition;
}

/** Servers remembered as gone: ids aren't used again, and nodes that missed a removal learn of it in seconds. */
const mostGone = 1_000;

/**
 * Which changes a peer wants to hear. `presence` leaves out those of models and adapters, which are most: a node that
 * stands by gets hardly any requests, and engines tell of models that they don't hold.
 */
export type ChangeScope = "all" | "presence";

/** What changed at the servers after a revision. */
export interface FleetChanges {
  /** The revision as of now; of this node alone. */
  readonly revision: number;
  /** All servers are named, so that one that isn't is gone. */
  readonly complete: boolean;
  readonly registrations: readonly Registration[];
  /** Servers that are gone, each with the store's position that says so. */
  readonly gone: readonly { readonly id: string; readonly asOf: StorePosition }[];
}

interface Entry {
  /** As registered, and with the changes since. */
  registered: BackendServer;
  server: BackendServer;
  position: StorePosition;
  /** The revision at which it last changed, by scope. */
  readonly changedAt: Record<ChangeScope, number>;
  /** The newest change of each model and adapter. */
  readonly changes: Map<string, { change: ResidencyChange; untilMs: number }>;
}

/** The era of the store as this node came to know it. */
interface Era {
  /** The first position known of it: what lies before may be from the copy. */
  readonly start: StorePosition;
  readonly sinceMs: number;
}

/** The backend servers known to this node. */
export class Fleet {
  private readonly entries = new Map<string, Entry>();
  /** Removed while the store was away, when they count as gone, ms, and the store's position that says so. */
  private readonly lapsed = new Map<string, { untilMs: number; asOf: StorePosition }>();
  /** Servers that are gone, the store's position that says so, and the revision at which they went. */
  private readonly gone = new Map<string, { asOf: StorePosition; revision: number }>();
  /** Registrations that may be from before what is known, and until when, ms. */
  private readonly doubtful = new Map<string, { registration: Registration; untilMs: number }>();
  private era: Era = { start: initialPosition, sinceMs: Number.NEGATIVE_INFINITY };
  /** The newest revision at which a server went that isn't remembered any more. */
  private forgottenRevision = 0;
  private graceUntil = 0;
  private revisionCount = 0;
  private presenceCount = 0;
  /** What `available` gives, by service; emptied with each change. */
  private readonly availableNow = new Map<string, readonly BackendServer[]>();

  constructor(private readonly notices = new ServerNotices()) {
    notices.changed.on(() => {
      this.availableNow.clear();
    });
  }

  /** Grows with each change that peers want to hear. */
  get revision(): number {
    return this.revisionCount;
  }

  /** The revision of the newest change of which servers there are. */
  get presenceRevision(): number {
    return this.presenceCount;
  }

  /** The first position known of the store's era. */
  get eraStart(): StorePosition {
    return this.era.start;
  }

  /**
   * The store came back from a copy, known here since `sinceMs`; `start` is the first position known of its era. Servers that
   * it lacks are written again within seconds if they live, as after an outage.
   */
  enterEra(start: StorePosition, sinceMs: number): boolean {
    if (start.era <= this.era.start.era) return false;
    this.era = { start, sinceMs };
    this.doubtful.clear();
    this.storeRecovered(sinceMs);
    return true;
  }

  /** Takes a registration; true if it says anything new beside being newer. */
  applyRegistration(registration: Registration, nowMs: number): boolean {
    const { server, position } = registration;
    const gone = this.gone.get(server.id);
    // Guards "a server that left is sent requests again": a node that the store turned away still has the
    // registration and tells it to its peers. One that came back has a newer position than its removal.
    if (gone !== undefined && !isAfter(position, gone.asOf)) return false;
    const entry = this.entries.get(server.id);
    // Guards "requests go to an engine that restarted empty": its last word from before the restart may be written
    // after the first from after it, so the start decides between them and not the order of arrival.
    if (entry !== undefined && startedAfter(entry.registered, server)) return false;
    // Registrations may come out of order: an older one must not bring back a server that is leaving.
    if (entry !== undefined && !startedAfter(server, entry.registered) && !isAfter(position, entry.position))
      return false;
    this.lapsed.delete(server.id);
    const trustedFromMs = this.trustedFromMs(registration);
    if (nowMs < trustedFromMs) {
      if (server.leaving && entry !== undefined) return this.noteLeaving(entry, registration, nowMs);
      this.doubtful.set(server.id, { registration, untilMs: trustedFromMs });
      return false;
    }
    this.gone.delete(server.id);
    this.doubtful.delete(server.id);
    if (entry === undefined || startedAfter(server, entry.registered)) {
      const revision = this.nextRevision("presence");
      const changedAt = { all: revision, presence: revision };
      this.entries.set(server.id, { registered: server, server, position, changedAt, changes: new Map() });
      this.availableNow.clear();
      return true;
    }
    entry.position = position;
    return this.replace(entry, { ...server, leaving: server.leaving || entry.registered.leaving }, nowMs);
  }

  /** Servers known here that are not among all registrations as of the store's position `asOf`. */
  idsMissingFrom(registrations: readonly Registration[], asOf: StorePosition): string[] {
    const seen = new Set(registrations.map((registration) => registration.server.id));
    const known = [...this.entries].filter(([, entry]) => !isAfter(entry.position, asOf)).map(([id]) => id);
    return [...new Set([...known, ...this.doubtful.keys()])].filter((id) => !seen.has(id));
  }

  /** Every registration. */
  registrations(): Registration[] {
    return [...this.entries.values()].map(registrationOf);
  }

  /**
   * What changed after `revision`, to tell a peer. Told whole each time, 90 servers of 1 KB went to every node twice a
   * second, 35 MB/s over 195 nodes.
   */
  changesAfter(revision: number, scope: ChangeScope): FleetChanges {
    const complete = revision === 0 || revision < this.forgottenRevision || revision > this.revisionCount;
    const changed = [...this.entries.values()].filter((entry) => entry.changedAt[scope] > revision);
    const gone = [...this.gone].filter(([, { revision: wentAt }]) => wentAt > revision);
    return {
      revision: this.revisionCount,
      complete,
      registrations: complete ? this.registrations() : changed.map(registrationOf),
      gone: complete ? [] : gone.map(([id, { asOf }]) => ({ id, asOf })),
    };
  }

  /** A registration was removed, as of the store's position `asOf`; true if it is gone at once. */
  remove(id: string, asOf: StorePosition, nowMs: number): boolean {
    const doubt = this.doubtful.get(id);
    if (doubt !== undefined && !isAfter(doubt.registration.position, asOf)) this.doubtful.delete(id);
    const entry = this.entries.get(id);
    // A peer that lags behind may tell of a removal though the server is registered again.
    if (entry === undefined || isAfter(entry.position, asOf)) return false;
    if (nowMs < this.graceUntil) {
      this.lapsed.set(id, { untilMs: this.graceUntil, asOf });
      return false;
    }
    return this.drop(id, asOf);
  }

  /** The store is back after it was out of reach: removals are not final for a while. */
  storeRecovered(nowMs: number): void {
    this.graceUntil = Math.max(this.graceUntil, nowMs + lapsedGraceMs);
  }

  /** Drops lapsed registrations whose grace is over, and takes doubtful ones that stand; true if anything changed. */
  expire(nowMs: number): boolean {
    let changed = false;
    for (const [id, { untilMs, asOf }] of this.lapsed) {
      if (nowMs < untilMs) continue;
      this.lapsed.delete(id);
      if (this.drop(id, asOf)) changed = true;
    }
    for (const [id, { registration, untilMs }] of this.doubtful) {
      if (nowMs < untilMs) continue;
      this.doubtful.delete(id);
      if (this.applyRegistration(registration, nowMs)) changed = true;
    }
    return changed;
  }

  /**
   * Until when a registration is not believed over what is known, ms. Guards "a server that left is sent requests again
   * as the store came back from a copy": the copy shows it as it was.
   */
  private trustedFromMs({ server, position }: Registration): number {
    const { start, sinceMs } = this.era;
    const entry = this.entries.get(server.id);
    if (position.era !== start.era || isAfter(position, start)) return Number.NEGATIVE_INFINITY;
    if (entry !== undefined && startedAfter(server, entry.registered)) return Number.NEGATIVE_INFINITY;
    const known = entry?.position ?? this.gone.get(server.id)?.asOf;
    if (known === undefined || known.era === position.era) return Number.NEGATIVE_INFINITY;
    return sinceMs + (entry === undefined ? goneHoldsMs : lapsedGraceMs);
  }

  /** A server that said that it leaves still does, whatever else of its registration is from before what is known. */
  private noteLeaving(entry: Entry, { server, position }: Registration, nowMs: number): boolean {
    const { goneInMs } = server;
    entry.position = position;
    const leaving = { ...entry.registered, leaving: true };
    return this.replace(entry, goneInMs === undefined ? leaving : { ...leaving, goneInMs }, nowMs);
  }

  /** True if the registration differs from the one before. */
  private replace(entry: Entry, registered: BackendServer, nowMs: number): boolean {
    const changed = JSON.stringify(registered) !== JSON.stringify(entry.registered);
    if (changed) this.noteChange(entry, registered);
    entry.registered = registered;
    this.refresh(entry, nowMs);
    return changed;
  }

  private drop(id: string, asOf: StorePosition): boolean {
    this.gone.set(id, { asOf, revision: this.nextRevision("presence") });
    this.forgetOldestGone();
    this.availableNow.clear();
    return this.entries.delete(id);
  }

  private refresh(entry: Entry, nowMs: number): void {
    entry.server = withChanges(entry, nowMs);
    this.availableNow.clear();
  }

  private forgetOldestGone(): void {
    const [oldest] = this.gone;
    if (this.gone.size <= mostGone || oldest === undefined) return;
    this.gone.delete(oldest[0]);
    this.forgottenRevision = Math.max(this.forgottenRevision, oldest[1].revision);
  }

  private noteChange({ registered, changedAt }: Entry, next: BackendServer): void {
    // What lies at hand matters to the lease holder alone, which reads the store itself.
    if (told(registered, "all") === told(next, "all")) return;
    const scope = told(registered, "presence") === told(next, "presence") ? "all" : "presence";
    changedAt.all = this.nextRevision(scope);
    if (scope === "presence") changedAt.presence = changedAt.all;
  }

  private nextRevision(scope: ChangeScope): number {
    this.revisionCount += 1;
    if (scope === "presence") this.presenceCount = this.revisionCount;
    return this.revisionCount;
  }

  /** Takes the effect of an order. */
  applyChange(change: ResidencyChange, nowMs: number): void {
    const entry = this.entries.get(change.serverId);
    if (entry === undefined) return;
    // What an engine was ordered before it restarted is lost with its memory.
    if ((change.startedAtMs ?? 0) !== (entry.registered.startedAtMs ?? 0)) return;
    const key = `${change.model}/${change.adapter ?? ""}`;
    entry.changes.set(key, { change, untilMs: nowMs + changeHoldsMs });
    this.refresh(entry, nowMs);
  }

  /** A server answered that it doesn't hold the model or adapter: believe it until it says otherwise. */
  markAbsent(server: BackendServer, model: string, adapter: string | undefined, nowMs: number): void {
    const { id: serverId, startedAtMs } = server;
    this.applyChange({ serverId, startedAtMs, model, adapter, present: false }, nowMs);
  }

  /** Of the registration in force; undefined where none is known. */
  positionOf(id: string): StorePosition | undefined {
    return this.entries.get(id)?.position;
  }

  get(id: string): BackendServer | undefined {
    return this.entries.get(id)?.server;
  }

  /** Servers of the service that take new requests. Gathered once for all requests until a server changes. */
  available(service: string): readonly BackendServer[] {
    const known = this.availableNow.get(service);
    if (known !== undefined) return known;
    const servers = this.all().filter(
      (server) =>
        server.service === service && !server.leaving && this.notices.leavingSinceMs(server) === undefined,
    );
    this.availableNow.set(service, servers);
    return servers;
  }

  /** Servers of the service that said after `sinceMs` that they leave, and are still registered as ready. */
  leavingSince(service: string, sinceMs: number): readonly BackendServer[] {
    return this.all().filter(
      (server) =>
        server.service === service &&
        !server.leaving &&
        (this.notices.leavingSinceMs(server) ?? Number.NEGATIVE_INFINITY) > sinceMs,
    );
  }

  /** Every server known, leaving ones too. */
  all(): BackendServer[] {
    return [...this.entries.values()].map((entry) => entry.server);
  }

  /** Does any server that takes requests hold it? */
  reachable(service: string, model: string, adapter: string | undefined): boolean {
    return this.available(service).some((server) => holds(server, model, adapter));
  }
}

function registrationOf({ registered, position }: Entry): Registration {
  return { server: registered, position };
}

/** The part of a server whose changes are worth telling within the scope, to compare by. */
function told(server: BackendServer, scope: ChangeScope): string {
  const { residents, ...rest } = server;
  return JSON.stringify({ ...rest, atHand: [], residents: scope === "all" ? residents : [] });
}

/**
 * Guards "requests go to an engine that drops their model": an unload waits for the requests that run, and
 * until it is done the registration shows the model while the engine refuses every new request for it.
 */
function isSettled(
  registered: BackendServer,
  change: ResidencyChange,
  untilMs: number,
  nowMs: number,
): boolean {
  const wholeModel = change.adapter === undefined && !change.present;
  const stillShown = registered.residents.some((resident) => resident.model === change.model);
  return nowMs >= untilMs + (wholeModel && stillShown ? slowUnloadMs : 0);
}

function withChanges(entry: Entry, nowMs: number): BackendServer {
  let server = entry.registered;
  for (const [key, { change, untilMs }] of entry.changes) {
    if (isSettled(entry.registered, change, untilMs, nowMs)) entry.changes.delete(key);
    else server = withChange(server, change);
  }
  return server;
}

function withChange(server: BackendServer, change: ResidencyChange): BackendServer {
  const others = server.residents.filter((r) => r.model !== change.model);
  const resident = server.residents.find((r) => r.model === change.model);
  if (change.adapter === undefined) {
    if (!change.present) return { ...server, residents: others };
    const added: Resident = resident ?? { model: change.model, version: 0, adapters: [] };
    return { ...server, residents: [...others, added] };
  }
  if (resident === undefined) return server;
  const rest = resident.adapters.filter((a) => a !== change.adapter);
  const adapters = change.present ? [...rest, change.adapter] : rest;
  return { ...server, residents: [...others, { ...resident, adapters }] };
}
