/** Keeps the fleet up to date with the servers' registrations: read from the store, or told by a peer that reads. */
import * as Schema from "effect/Schema";
import type * as purify from "purify-ts";
import { decode, decodeEither } from "../common/decode.ts";
import { toFailure, type Failure } from "../common/errors.ts";
import type { Handler } from "../common/rpc.ts";
import { LoopTask } from "../common/loopTask.ts";
import { BackendServer, incarnationOf, startedAfter } from "../serving/backendServer.ts";
import type { ChangeScope, Registration } from "../serving/fleet.ts";
import type { NoticeChange } from "../serving/serverNotices.ts";
import type { PeerVersions } from "./peerCalls.ts";
import type { RowSet, Store } from "../serving/store.ts";
import {
  initialPosition,
  formatPosition,
  isAfter,
  laterOf,
  StorePosition,
} from "../serving/storePosition.ts";
import type { GatewayContext } from "./gatewayContext.ts";
import type { StoreHealth } from "./storeHealth.ts";

/**
 * Pause between reads, ms. A server that leaves must get nothing after 2 s, and registrations change with
 * every heartbeat, so a wait for changes would return at once each time; a read in time costs one call.
 */
const periodMs = 500;
/** Pause of a node that stands by and doesn't read, ms: it only drops what has lapsed. */
const standbyMs = 1_000;
/** Pause between tries of a node that the store turns away while it serves others, ms. */
const probeMs = 1_500;

/** Rejected entries remembered, so that a table full of them takes no memory; past it each is logged anew. */
const mostRejected = 1_000;

/** A server said that it leaves. */
const LeavingMessage = Schema.Struct({ incarnation: Schema.String });
type LeavingMessage = typeof LeavingMessage.Type;

/** A peer asks for what changed after the revision that it pulled last. */
const ChangesParams = Schema.Struct({ after: Schema.Number, scope: Schema.Literals(["all", "presence"]) });

/** What changed at the servers, for a peer that doesn't read the store. */
const ChangesResult = Schema.Struct({
  /** The store's position up to which it is known, and the first one known of its era. */
  asOf: StorePosition,
  eraStart: StorePosition,
  revision: Schema.Number,
  complete: Schema.Boolean,
  registrations: Schema.Array(Schema.Struct({ server: BackendServer, position: StorePosition })),
  gone: Schema.Array(Schema.Struct({ id: Schema.String, asOf: StorePosition })),
});

/** Options of a `FleetTask`. */
export interface FleetTaskOptions {
  readonly store: Store;
  readonly storeHealth: StoreHealth;
  readonly context: GatewayContext;
  readonly table: string;
  readonly decode: (id: string, text: string) => purify.Either<Failure, BackendServer>;
  /** Is it on this node to read? */
  readonly shouldReadStore: () => boolean;
  /** Does this node take callers, rather than stand by? */
  readonly active: () => boolean;
  /** Did the store answer a peer lately? */
  readonly storeReachableByPeers: () => boolean;
  /** Calls a peer. */
  readonly callPeer: (peer: PeerVersions, method: string, params: unknown) => Promise<unknown>;
  /** What was read differs from what peers were told. */
  readonly onChange: () => void;
  /** Tells peers that a server leaves. */
  readonly broadcastLeaving: (message: LeavingMessage) => void;
}

/** What was pulled from a peer last. */
interface Pulled {
  readonly boot: number;
  readonly revision: number;
  readonly scope: ChangeScope;
}

/** Reads registrations at a steady pace while it is on this node to read. */
export class FleetTask extends LoopTask {
  private position: StorePosition | undefined;
  private lastTryMs = Number.NEGATIVE_INFINITY;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  /** When the store was last known to answer no peer, ms. */
  private unservedMs = Number.NEGATIVE_INFINITY;
  /** The store's position up to which peers that read it told of changes, or this node read in an earlier era. */
  private heardAsOf = initialPosition;
  /** The revision of each peer that was pulled last. */
  private readonly pulled = new Map<string, Pulled>();
  private readonly pulling = new Set<string>();
  /** Entries that name no server, by key, with what was wrong: each is logged once, not at each read. */
  private readonly rejected = new Map<string, string>();

  constructor(private readonly options: FleetTaskOptions) {
    super("fleet");
    options.storeHealth.returned.on(() => {
      this.onReturn();
    });
    options.store.eras.changed.on(() => {
      this.heardAsOf = this.knownUpTo;
      this.position = undefined;
      this.wake();
    });
    options.context.notices.changed.on((notice) => {
      this.onNotice(notice);
    });
  }

  /** Time since the last read that succeeded, ms; infinite while the store doesn't answer. */
  get readAgeMs(): number {
    return this.options.storeHealth.reachable
      ? performance.now() - this.lastReadMs
      : Number.POSITIVE_INFINITY;
  }

  /** A peer says that a server leaves. */
  onLeaving(params: unknown): void {
    decodeEither(LeavingMessage, params)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ incarnation }) => {
        this.options.context.notices.applyPeerLeaving(incarnation, performance.now());
      });
  }

  /** Methods for peers. */
  get handlers(): Record<string, Handler> {
    return {
      "fleet.changes": (params) => {
        const { after, scope } = decode(ChangesParams, params);
        return Promise.resolve(this.changesAfter(after, scope));
      },
    };
  }

  /** A peer knows of changes that were not pulled from it; `scope` is what of them matters here. */
  async pullIfNewer(peer: PeerVersions, scope: ChangeScope): Promise<void> {
    if (this.pulling.has(peer.ip)) return;
    const last = this.pulled.get(peer.ip);
    // What was left out while this node stood by is pulled when it becomes active.
    const goesOn = last?.boot === peer.boot && (last.scope === "all" || scope === "presence");
    const after = goesOn ? last.revision : 0;
    if (goesOn && after >= peer.fleetRevision) return;
    if (this.options.shouldReadStore() && this.readAgeMs < periodMs * 2) return;
    this.pulling.add(peer.ip);
    try {
      const params = { after, scope };
      const changes = decode(ChangesResult, await this.options.callPeer(peer, "fleet.changes", params));
      this.pulled.set(peer.ip, { boot: peer.boot, revision: changes.revision, scope });
      this.take(changes);
    } catch (error) {
      this.options.context.log.debug({
        event: "fleet-not-pulled",
        peer: peer.host,
        detail: toFailure(error).message,
      });
    } finally {
      this.pulling.delete(peer.ip);
    }
  }

  /**
   * Registrations may have lapsed while the store was away. Guards "a server that left is sent requests": where the store
   * turned away this node alone, none has lapsed, and removals are final.
   */
  private onReturn(): void {
    const now = performance.now();
    this.options.context.fleet.storeRecovered(Math.min(now, this.unservedMs + this.periodMs));
  }

  private onNotice({ incarnation, ...notice }: NoticeChange): void {
    const { context: serving, broadcastLeaving: tellLeaving } = this.options;
    serving.log.info({ event: "server-notice", server: incarnation, ...notice });
    if (notice.leaving && notice.source === "answer") tellLeaving({ incarnation });
    // Requests that wait for the server look for another one.
    serving.fleetChanged.fire(undefined);
  }

  private changesAfter(revision: number, scope: ChangeScope): typeof ChangesResult.Type {
    const { eraStart } = this.options.context.fleet;
    return { asOf: this.knownUpTo, eraStart, ...this.options.context.fleet.changesAfter(revision, scope) };
  }

  private get knownUpTo(): StorePosition {
    return laterOf(this.position ?? initialPosition, this.heardAsOf);
  }

  protected override async run(): Promise<void> {
    while (!this.stopped) {
      const startedMs = performance.now();
      if (!this.options.storeReachableByPeers()) this.unservedMs = startedMs;
      if (this.options.shouldReadStore() || this.shouldProbe(startedMs)) await this.readOnce();
      this.tidy();
      const pause = Math.max(50, this.periodMs - (performance.now() - startedMs));
      await this.pause(pause);
    }
  }

  private get periodMs(): number {
    return this.options.active() || this.options.shouldReadStore() ? periodMs : standbyMs;
  }

  /** While the store doesn't answer this node and others read, it tries at times whether it does again. */
  private shouldProbe(now: number): boolean {
    return !this.options.storeHealth.reachable && now - this.lastTryMs >= probeMs;
  }

  private async readOnce(): Promise<void> {
    this.lastTryMs = performance.now();
    const { store, storeHealth: link, table } = this.options;
    const since = this.position;
    try {
      const set = await (since === undefined ? store.list(table) : store.changes(table, since, 0));
      link.succeeded();
      this.lastReadMs = performance.now();
      this.enterEra(set.position);
      this.position = set.position;
      this.learn(set, since === undefined);
    } catch (error) {
      const failure = toFailure(error);
      if (failure.kind === "history-lost") this.position = undefined;
      else link.failed(failure);
    }
  }

  /** What is read of a new era may be older than what is known. */
  private enterEra(start: StorePosition): void {
    const { context: serving, store } = this.options;
    const { fleet, log } = serving;
    store.eras.observe(start.era);
    if (!fleet.enterEra(start, store.eras.sinceMs)) return;
    log.warn({ event: "store-copy", before: formatPosition(this.knownUpTo), start: formatPosition(start) });
  }

  private learn(set: RowSet, complete: boolean): void {
    const { context: serving } = this.options;
    const registrations = set.rows.flatMap((row) => {
      const decoded = this.options.decode(row.key, row.value);
      decoded.ifLeft((failure) => {
        this.reject(row.key, failure);
      });
      return decoded.map((server) => [{ server, position: row.position }]).orDefault([]);
    });
    const now = performance.now();
    let changed = this.learnAll(registrations, now);
    const gone = complete ? serving.fleet.idsMissingFrom(registrations, set.position) : set.removed;
    changed = this.removeAll(gone, set.position, now) || changed;
    if (changed) this.options.onChange();
  }

  private take(changes: typeof ChangesResult.Type): void {
    const now = performance.now();
    const { fleet, fleetChanged } = this.options.context;
    this.enterEra(changes.eraStart);
    let changed = this.learnAll(changes.registrations, now);
    if (changes.complete) {
      const gone = fleet.idsMissingFrom(changes.registrations, changes.asOf);
      changed = this.removeAll(gone, changes.asOf, now) || changed;
    }
    for (const { id, asOf } of changes.gone) changed = this.removeAll([id], asOf, now) || changed;
    if (changed) fleetChanged.fire(undefined);
    this.heardAsOf = laterOf(this.heardAsOf, changes.asOf);
  }

  private learnAll(registrations: readonly Registration[], now: number): boolean {
    const { fleet } = this.options.context;
    let changed = false;
    for (const registration of registrations) {
      const known = fleet.get(registration.server.id);
      this.notePassedOver(registration);
      if (!fleet.applyRegistration(registration, now)) continue;
      changed = true;
      if (known !== undefined && startedAfter(registration.server, known))
        this.forgetIncarnation(registration.server);
      const wasLeaving = known?.leaving;
      if (wasLeaving !== registration.server.leaving) this.logChange(registration.server);
    }
    if (changed) this.options.context.fleetChanged.fire(undefined);
    return changed;
  }

  /** Counts a registration that is older than the known one and so is passed over. */
  private notePassedOver({ server, position }: Registration): void {
    const { fleet, log, metrics } = this.options.context;
    const known = fleet.positionOf(server.id);
    if (known === undefined || !isAfter(known, position)) return;
    metrics.outdatedRegistrations.inc();
    log.debug({
      event: "registration-outdated",
      server: server.id,
      leaving: server.leaving,
      position: formatPosition(position),
      known: formatPosition(known),
    });
  }

  /** What was learned of a server before it restarted doesn't hold for it now. */
  private forgetIncarnation({ id, startedAtMs }: BackendServer): void {
    const { outliers, refusals, pool, log } = this.options.context;
    outliers.remove(id);
    refusals.forget(id);
    pool.forget(id);
    log.info({ event: "server-restarted", server: id, startedAtMs });
  }

  private reject(key: string, failure: Failure): void {
    if (this.rejected.get(key) === failure.message) return;
    if (this.rejected.size >= mostRejected) this.rejected.clear();
    this.rejected.set(key, failure.message);
    this.options.context.log.warn({ event: "registration-rejected", server: key, detail: failure.message });
  }

  private removeAll(ids: readonly string[], asOf: StorePosition, now: number): boolean {
    const { fleet, log } = this.options.context;
    let changed = false;
    for (const id of ids) {
      if (!fleet.remove(id, asOf, now)) continue;
      log.info({ event: "server-removed", server: id });
      changed = true;
    }
    return changed;
  }

  /** Drops lapsed registrations, and what was kept for servers that are gone. */
  private tidy(): void {
    const { context: serving } = this.options;
    if (serving.fleet.expire(performance.now())) {
      serving.fleetChanged.fire(undefined);
      this.options.onChange();
    }
    const servers = serving.fleet.all();
    const known = new Set(servers.map((server) => server.id));
    serving.pool.retain(known);
    serving.outliers.retain(known);
    serving.refusals.retain(known);
    serving.notices.retain(servers, performance.now());
    const incarnations = new Set(servers.map(incarnationOf));
    serving.permits.retain(incarnations);
    serving.permitIssuer.retain(incarnations);
  }

  private logChange(server: BackendServer): void {
    this.options.context.log.info({
      event: server.leaving ? "server-leaving" : "server-found",
      server: server.id,
      service: server.service,
      goneInMs: server.goneInMs,
    });
  }
}
