/**
 * The backend servers as this gateway node knows them: their registrations, corrected by orders that are
 * newer than the registration and by what was observed while the store was unavailable.
 */
import { holds, incarnationOf, startedAfter, type BackendServer, type Resident } from "./backendServer.ts";
import { ServerNotices } from "./serverNotices.ts";
import { initialPosition, isAfter, type StorePosition } from "./storePosition.ts";

/**
 * After a store outage, live servers renew registrations that expired meanwhile within two seconds. Dropping
 * expired ones at once would leave no servers; 2.2 s adds one poll.
 */
const expiryGraceMs = 2_200;

/**
 * After a restore, a registration from the backup doesn't bring back a removed server for this long, ms: by
 * then the store has dropped the entry of a dead server, which it does after three missed heartbeats.
 */
const removalHoldMs = 6_000;

/**
 * How long a change by an order takes precedence over registrations, ms: a registration may be as old as a
 * heartbeat (1.2 s) plus a read (0.65 s), and describes a state that was some hundred ms old.
 */
const changePrecedenceMs = 2_300;

/** Additional time for an unload that waits for running requests, ms: the longest timeout of a route. */
const maxUnloadMs = 15_000;

/** A change of one engine's memory by an order, known before its next registration. */
export interface ResidencyChange {
  readonly serverId: string;
  /** The incarnation that accepted the order. */
  readonly startedAtMs?: number | undefined;
  readonly model: string;
  readonly adapter?: string | undefined;
  readonly present: boolean;
}

/** A registration as read from the store. */
export interface Registration {
  readonly server: BackendServer;
  /** Position of the store's row. */
  readonly position: StorePosition;
}

/**
 * Limit of remembered removals: ids are not reused, and nodes that missed a removal learn of it within
 * seconds.
 */
const maxRemovals = 1_000;

/**
 * The changes a peer asks for. `presence` leaves out changes of models and adapters, which are most of them:
 * a standby node gets hardly any requests, and an engine refuses requests for models that it doesn't hold.
 */
export type ChangeScope = "all" | "presence";

/** Changes of the servers after a revision. */
export interface FleetChanges {
  /** The current revision; valid on this node only. */
  readonly revision: number;
  /** The registrations are a full listing: a server that is not named is gone. */
  readonly complete: boolean;
  readonly registrations: readonly Registration[];
  /** Removed servers, each with the store's position of the removal. */
  readonly gone: readonly { readonly id: string; readonly asOf: StorePosition }[];
}

interface Entry {
  /** As registered, and with newer changes applied. */
  registered: BackendServer;
  server: BackendServer;
  position: StorePosition;
  /** The revision of the last change, by scope. */
  readonly changedAt: Record<ChangeScope, number>;
  /** The newest change of each model and adapter. */
  readonly changes: Map<string, { change: ResidencyChange; untilMs: number }>;
}

/** The current era of the store as this node knows it. */
interface KnownEra {
  /** The first known position of the era: anything older may come from the backup. */
  readonly start: StorePosition;
  readonly sinceMs: number;
}

/** The backend servers known to this node. */
export class Fleet {
  private readonly entries = new Map<string, Entry>();
  /**
   * Servers whose removal awaits the end of the grace period: when they count as gone, ms, and the store's
   * position of the removal.
   */
  private readonly expiring = new Map<string, { untilMs: number; asOf: StorePosition }>();
  /** Removed servers: the store's position of the removal, and the revision at which it was applied. */
  private readonly removals = new Map<string, { asOf: StorePosition; revision: number }>();
  /** Registrations that may be older than the known state, and until when they are held back, ms. */
  private readonly heldBack = new Map<string, { registration: Registration; untilMs: number }>();
  private era: KnownEra = { start: initialPosition, sinceMs: Number.NEGATIVE_INFINITY };
  /** The newest revision of a removal that is no longer remembered. */
  private droppedRevision = 0;
  private graceUntilMs = 0;
  private currentRevision = 0;
  private currentPresenceRevision = 0;
  /** Cached results of `available` by service; cleared on each change. */
  private readonly availableByService = new Map<string, readonly BackendServer[]>();

  constructor(private readonly notices = new ServerNotices()) {
    notices.changed.on(() => {
      this.availableByService.clear();
    });
  }

  /** Grows with each change that peers are sent. */
  get revision(): number {
    return this.currentRevision;
  }

  /** The revision of the newest change in the presence of servers. */
  get presenceRevision(): number {
    return this.currentPresenceRevision;
  }

  /** The first known position of the store's era. */
  get eraStart(): StorePosition {
    return this.era.start;
  }

  /**
   * The store was restored from a backup, which this node knows since `sinceMs`; `start` is the first known
   * position of the new era. Live servers that the backup lacks register again within seconds, as after an
   * outage.
   */
  enterEra(start: StorePosition, sinceMs: number): boolean {
    if (start.era <= this.era.start.era) return false;
    this.era = { start, sinceMs };
    this.heldBack.clear();
    this.storeRecovered(sinceMs);
    return true;
  }

  /** Applies a registration; true if it differs from the known one in more than its position. */
  applyRegistration(registration: Registration, nowMs: number): boolean {
    const { server, position } = registration;
    const removal = this.removals.get(server.id);
    // Prevents requests to a removed server: a node that the store refused still has the registration and
    // sends it to its peers. A server that came back has a newer position than its removal.
    if (removal !== undefined && !isAfter(position, removal.asOf)) return false;
    const entry = this.entries.get(server.id);
    // Prevents requests to an engine that restarted empty: its last registration from before the restart may
    // be written after the first one from after it, so start times decide rather than the order of arrival.
    if (entry !== undefined && startedAfter(entry.registered, server)) return false;
    // Registrations may arrive out of order: an older one must not make a server available again that is
    // shutting down.
    if (entry !== undefined && !startedAfter(server, entry.registered) && !isAfter(position, entry.position))
      return false;
    this.expiring.delete(server.id);
    const acceptedFromMs = this.acceptedFromMs(registration);
    if (nowMs < acceptedFromMs) {
      if (server.leaving && entry !== undefined) return this.markLeaving(entry, registration, nowMs);
      this.heldBack.set(server.id, { registration, untilMs: acceptedFromMs });
      return false;
    }
    this.removals.delete(server.id);
    this.heldBack.delete(server.id);
    if (entry === undefined || startedAfter(server, entry.registered)) {
      const revision = this.nextRevision("presence");
      const changedAt = { all: revision, presence: revision };
      this.entries.set(server.id, { registered: server, server, position, changedAt, changes: new Map() });
      this.availableByService.clear();
      return true;
    }
    entry.position = position;
    const stillLeaving = entry.registered.leaving && !server.leaving;
    return this.replace(entry, stillLeaving ? { ...server, leaving: true } : server, nowMs);
  }

  /** Known servers that are not in a full listing as of the store's position `asOf`. */
  idsMissingFrom(registrations: readonly Registration[], asOf: StorePosition): string[] {
    const seen = new Set(registrations.map((registration) => registration.server.id));
    const known = [...this.entries].filter(([, entry]) => !isAfter(entry.position, asOf)).map(([id]) => id);
    return [...new Set([...known, ...this.heldBack.keys()])].filter((id) => !seen.has(id));
  }

  /** Every registration. */
  registrations(): Registration[] {
    return [...this.entries.values()].map(registrationOf);
  }

  /**
   * Changes after `revision`, to send to a peer that knows all up to the store's position `known` from other peers. Sending full listings took 35 MB/s over 195 nodes: 90
   * servers of 1 KB to every node twice a second.
   */
  changesAfter(revision: number, scope: ChangeScope, known = initialPosition): FleetChanges {
    const complete = revision === 0 || revision < this.droppedRevision || revision > this.currentRevision;
    const changed = [...this.entries.values()].filter(
      (entry) => entry.changedAt[scope] > revision && isAfter(entry.position, known),
    );
    const removed = [...this.removals].filter(
      ([, { revision: removedAt, asOf }]) => removedAt > revision && isAfter(asOf, known),
    );
    return {
      revision: this.currentRevision,
      complete,
      registrations: complete ? this.registrations() : changed.map(registrationOf),
      gone: complete ? [] : removed.map(([id, { asOf }]) => ({ id, asOf })),
    };
  }

  /** A registration was removed, as of the store's position `asOf`; true if it is dropped at once. */
  remove(id: string, asOf: StorePosition, nowMs: number): boolean {
    const held = this.heldBack.get(id);
    if (held !== undefined && !isAfter(held.registration.position, asOf)) this.heldBack.delete(id);
    const entry = this.entries.get(id);
    // A peer that lags behind may report a removal although the server is registered again.
    if (entry === undefined || isAfter(entry.position, asOf)) return false;
    if (nowMs < this.graceUntilMs) {
      this.expiring.set(id, { untilMs: this.graceUntilMs, asOf });
      return false;
    }
    return this.drop(id, asOf);
  }

  /** The store is available again after an outage: removals take effect only after a grace period. */
  storeRecovered(nowMs: number): void {
    this.graceUntilMs = Math.max(this.graceUntilMs, nowMs + expiryGraceMs);
  }

  /**
   * Drops expired registrations after their grace period, and applies held-back ones that are still valid;
   * true if anything changed.
   */
  expire(nowMs: number): boolean {
    let changed = false;
    for (const [id, { untilMs, asOf }] of this.expiring) {
      if (nowMs < untilMs) continue;
      this.expiring.delete(id);
      if (this.drop(id, asOf)) changed = true;
    }
    for (const [id, { registration, untilMs }] of this.heldBack) {
      if (nowMs < untilMs) continue;
      this.heldBack.delete(id);
      if (this.applyRegistration(registration, nowMs)) changed = true;
    }
    return changed;
  }

  /**
   * The time from which a registration takes precedence over the known state, ms. Prevents requests to a
   * removed server after the store was restored from a backup, which still lists it.
   */
  private acceptedFromMs({ server, position }: Registration): number {
    const { start, sinceMs } = this.era;
    const entry = this.entries.get(server.id);
    if (position.era !== start.era || isAfter(position, start)) return Number.NEGATIVE_INFINITY;
    if (entry !== undefined && startedAfter(server, entry.registered)) return Number.NEGATIVE_INFINITY;
    const known = entry?.position ?? this.removals.get(server.id)?.asOf;
    if (known === undefined || known.era === position.era) return Number.NEGATIVE_INFINITY;
    return sinceMs + (entry === undefined ? removalHoldMs : expiryGraceMs);
  }

  /**
   * A server that announced its shutdown stays unavailable, even if the rest of its registration is older
   * than the known state.
   */
  private markLeaving(entry: Entry, { server, position }: Registration, nowMs: number): boolean {
    const { goneInMs } = server;
    entry.position = position;
    const leaving = { ...entry.registered, leaving: true };
    return this.replace(entry, goneInMs === undefined ? leaving : { ...leaving, goneInMs }, nowMs);
  }

  /** True if the registration differs from the previous one. */
  private replace(entry: Entry, registered: BackendServer, nowMs: number): boolean {
    // Most registrations are read again unchanged, and are then the same object.
    if (registered === entry.registered && entry.changes.size === 0) return false;
    const changed = JSON.stringify(registered) !== JSON.stringify(entry.registered);
    if (changed) this.recordChange(entry, registered);
    entry.registered = registered;
    this.refresh(entry, nowMs);
    return changed;
  }

  private drop(id: string, asOf: StorePosition): boolean {
    this.removals.set(id, { asOf, revision: this.nextRevision("presence") });
    this.dropOldestRemoval();
    this.availableByService.clear();
    return this.entries.delete(id);
  }

  private refresh(entry: Entry, nowMs: number): void {
    entry.server = withChanges(entry, nowMs);
    this.availableByService.clear();
  }

  private dropOldestRemoval(): void {
    const [oldest] = this.removals;
    if (this.removals.size <= maxRemovals || oldest === undefined) return;
    this.removals.delete(oldest[0]);
    this.droppedRevision = Math.max(this.droppedRevision, oldest[1].revision);
  }

  private recordChange({ registered, changedAt }: Entry, next: BackendServer): void {
    // Cached weights matter only to the lease holder, which reads the store itself.
    if (sharedPart(registered, "all") === sharedPart(next, "all")) return;
    const scope = sharedPart(registered, "presence") === sharedPart(next, "presence") ? "all" : "presence";
    changedAt.all = this.nextRevision(scope);
    if (scope === "presence") changedAt.presence = changedAt.all;
  }

  private nextRevision(scope: ChangeScope): number {
    this.currentRevision += 1;
    if (scope === "presence") this.currentPresenceRevision = this.currentRevision;
    return this.currentRevision;
  }

  /** Applies the effect of an order. */
  applyChange(change: ResidencyChange, nowMs: number): void {
    const entry = this.entries.get(change.serverId);
    if (entry === undefined) return;
    // Orders from before a restart have no effect any more, as the engine lost its memory.
    if ((change.startedAtMs ?? 0) !== (entry.registered.startedAtMs ?? 0)) return;
    const key = `${change.model}/${change.adapter ?? ""}`;
    entry.changes.set(key, { change, untilMs: nowMs + changePrecedenceMs });
    this.refresh(entry, nowMs);
  }

  /** The server responded that it doesn't hold the model or adapter: takes effect like an unload order. */
  markAbsent(server: BackendServer, model: string, adapter: string | undefined, nowMs: number): void {
    const { id: serverId, startedAtMs } = server;
    this.applyChange({ serverId, startedAtMs, model, adapter, present: false }, nowMs);
  }

  /** The position of the current registration; undefined for an unknown server. */
  positionOf(id: string): StorePosition | undefined {
    return this.entries.get(id)?.position;
  }

  get(id: string): BackendServer | undefined {
    return this.entries.get(id)?.server;
  }

  /** Whether this incarnation of the server is known; a restarted server with the same id is another one. */
  hasIncarnation(server: BackendServer): boolean {
    const known = this.get(server.id);
    return known !== undefined && incarnationOf(known) === incarnationOf(server);
  }

  /** Servers of the service that accept new requests. Computed once and cached until a server changes. */
  available(service: string): readonly BackendServer[] {
    const known = this.availableByService.get(service);
    if (known !== undefined) return known;
    const servers = this.all().filter(
      (server) =>
        server.service === service && !server.leaving && this.notices.leavingSinceMs(server) === undefined,
    );
    this.availableByService.set(service, servers);
    return servers;
  }

  /** Servers of the service that announced their shutdown after `sinceMs` and are still registered as ready. */
  leavingSince(service: string, sinceMs: number): readonly BackendServer[] {
    return this.all().filter(
      (server) =>
        server.service === service &&
        !server.leaving &&
        (this.notices.leavingSinceMs(server) ?? Number.NEGATIVE_INFINITY) > sinceMs,
    );
  }

  /** Every known server, including those that are shutting down. */
  all(): BackendServer[] {
    return [...this.entries.values()].map((entry) => entry.server);
  }

  /** The software versions of the servers of each service, as far as they report them. */
  softwareVersions(): Map<string, Set<string>> {
    const versions = new Map<string, Set<string>>();
    for (const { registered } of this.entries.values()) {
      const { service, softwareVersion } = registered;
      if (softwareVersion === undefined) continue;
      const known = versions.get(service);
      if (known === undefined) versions.set(service, new Set([softwareVersion]));
      else known.add(softwareVersion);
    }
    return versions;
  }

  /** Whether any available server holds the model, and the adapter if one is named. */
  hasHolder(service: string, model: string, adapter: string | undefined): boolean {
    return this.available(service).some((server) => holds(server, model, adapter));
  }
}

function registrationOf({ registered, position }: Entry): Registration {
  return { server: registered, position };
}

/** The part of a server that is sent to peers within the scope, for comparison. */
function sharedPart(server: BackendServer, scope: ChangeScope): string {
  const { residents, ...rest } = server;
  return JSON.stringify({ ...rest, atHand: [], residents: scope === "all" ? residents : [] });
}

/**
 * Prevents requests to an engine that is unloading their model: an unload waits for running requests, and
 * until it completes the registration still shows the model while the engine refuses every new request for
 * it.
 */
function isObsolete(
  registered: BackendServer,
  change: ResidencyChange,
  untilMs: number,
  nowMs: number,
): boolean {
  const isModelUnload = change.adapter === undefined && !change.present;
  const stillShown = registered.residents.some((resident) => resident.model === change.model);
  return nowMs >= untilMs + (isModelUnload && stillShown ? maxUnloadMs : 0);
}

function withChanges(entry: Entry, nowMs: number): BackendServer {
  let server = entry.registered;
  for (const [key, { change, untilMs }] of entry.changes) {
    if (isObsolete(entry.registered, change, untilMs, nowMs)) entry.changes.delete(key);
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
