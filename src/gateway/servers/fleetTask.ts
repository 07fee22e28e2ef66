/** Keeps the fleet up to date with the servers' registrations, read from the store or pulled from a peer that reads it. */
import * as Schema from "effect/Schema";
import type * as purify from "purify-ts";
import { decode, decodeEither } from "../../common/decode.ts";
import { toFailure, type Failure } from "../../common/errors.ts";
import type { Handler } from "../../common/rpc.ts";
import { LoopTask } from "../../common/loopTask.ts";
import { incarnationOf, startedAfter, type BackendServer } from "../../serving/backendServer.ts";
import type { ChangeScope, Registration } from "../../serving/fleet.ts";
import { storeRetryMs } from "../../serving/membership/storeReaders.ts";
import type { NoticeChange } from "../../serving/serverNotices.ts";
import type { PeerVersions } from "../membership/peerCalls.ts";
import type { RowSet, Store } from "../../serving/store.ts";
import {
  initialPosition,
  formatPosition,
  isAfter,
  laterOf,
  StorePosition,
} from "../../serving/storePosition.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import { ChangesResult, FleetDelta, FleetDeltas } from "./fleetDeltas.ts";
import type { StoreHealth } from "../store/storeHealth.ts";

/**
 * Pause between reads, ms. A server that is shutting down must get no requests after 2 s. Registrations change with every
 * heartbeat of a server, so a long poll for changes would return at once each time; a periodic read costs one call.
 */
const periodMs = 500;
/** Pause of a standby node that doesn't read the store, ms: it only drops expired registrations. */
const standbyPeriodMs = 1_000;
/** Pause between attempts of a node that the store refuses while it serves others, ms. */
const probeIntervalMs = 1_500;

/** Maximum number of rejected rows remembered, which bounds memory; past it they are forgotten and logged again. */
const maxRejectedEntries = 1_000;

/** A server announced that it is shutting down. */
const LeavingMessage = Schema.Struct({ incarnation: Schema.String });
type LeavingMessage = typeof LeavingMessage.Type;

/** A peer's request for changes after the revision that it pulled last. */
const ChangesParams = Schema.Struct({
  after: Schema.Number,
  scope: Schema.Literals(["all", "presence"]),
  /** Store position up to which the caller knows all changes of this scope from other peers. */
  known: Schema.optionalKey(StorePosition),
});

/** Options of a `FleetTask`. */
export interface FleetTaskOptions {
  readonly store: Store;
  readonly storeHealth: StoreHealth;
  readonly context: GatewayContext;
  readonly table: string;
  readonly decode: (id: string, text: string) => purify.Either<Failure, BackendServer>;
  /** Whether this node is one of the store readers. */
  readonly shouldReadStore: () => boolean;
  /** Whether this node is active, rather than on standby. */
  readonly active: () => boolean;
  /** Number of nodes that read the store like this one while it answers nobody. */
  readonly retryingNodes: () => number;
  /** Whether the store answered a peer recently. */
  readonly storeReachableByPeers: () => boolean;
  /** Whether the known servers are up to date. */
  readonly isCurrent: () => boolean;
  /** Calls a peer. */
  readonly callPeer: (peer: PeerVersions, method: string, params: unknown) => Promise<unknown>;
  /** Called when a read changed what peers know. */
  readonly onChange: () => void;
  /** Notifies peers that a server is shutting down. */
  readonly broadcastLeaving: (message: LeavingMessage) => void;
  /** Sends changes that this node read from the store to all active peers. */
  readonly broadcastChanges: (delta: Omit<FleetDelta, "ip" | "boot">) => void;
}

/** What was last pulled from a peer. */
interface PulledState {
  readonly boot: number;
  readonly revision: number;
  readonly scope: ChangeScope;
}

/** Reads registrations periodically while this node is a store reader. */
export class FleetTask extends LoopTask {
  private position: StorePosition | undefined;
  private lastAttemptMs = Number.NEGATIVE_INFINITY;
  private lastReadMs = Number.NEGATIVE_INFINITY;
  /** When the store was last known not to answer any peer, ms. */
  private storeUnreachableMs = Number.NEGATIVE_INFINITY;
  /** Store position up to which changes were pulled from store readers, or read by this node in an earlier era. */
  private pulledUpTo = initialPosition;
  /** What was last pulled from each peer, by address. */
  private readonly pulled = new Map<string, PulledState>();
  private readonly pulling = new Set<string>();
  /**
   * Store position up to which all changes of a scope were pulled from nodes that read the store. Each reader states every
   * change, and without this a node would get each of them from all readers.
   */
  private readonly completeUpTo: Record<ChangeScope, StorePosition> = {
    all: initialPosition,
    presence: initialPosition,
  };
  /** Store position up to which another reader sent all changes to the active nodes, so that they aren't sent again. */
  private announcedUpTo = initialPosition;
  private readonly deltas: FleetDeltas;
  /** Rows that could not be decoded, by key, with the error: each is logged once, not at every read. */
  private readonly rejected = new Map<string, string>();

  constructor(private readonly options: FleetTaskOptions) {
    super("fleet");
    this.deltas = new FleetDeltas({
      revision: () => options.context.fleet.revision,
      changesAfter: (revision, known) => this.changesAfter(revision, "all", known),
      announcedUpTo: () => this.announcedUpTo,
      broadcast: options.broadcastChanges,
    });
    options.storeHealth.recovered.on(() => {
      this.onStoreRecovered();
    });
    options.store.eras.changed.on(() => {
      this.pulledUpTo = this.knownUpTo;
      this.position = undefined;
      this.wake();
    });
    options.context.notices.changed.on((notice) => {
      this.onNotice(notice);
    });
  }

  /** Time since the last successful read, ms; infinite while the store doesn't answer. */
  get readAgeMs(): number {
    return this.options.storeHealth.reachable
      ? performance.now() - this.lastReadMs
      : Number.POSITIVE_INFINITY;
  }

  /** Handles a peer's notification that a server is shutting down. */
  onLeaving(params: unknown): void {
    decodeEither(LeavingMessage, params)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ incarnation }) => {
        this.options.context.notices.applyPeerLeaving(incarnation, performance.now());
      });
  }

  /**
   * Handles changes that a store reader sent. Those that don't continue what is known of the reader are ignored: its next
   * heartbeat states a newer revision, and they are pulled.
   */
  onDelta(params: unknown): void {
    decodeEither(FleetDelta, params)
      .ifLeft((failure) => {
        this.options.context.log.warn({ event: "peer-message-rejected", detail: failure.message });
      })
      .ifRight(({ ip, boot, after, known = initialPosition, ...changes }) => {
        if (changes.readUpTo !== undefined)
          this.announcedUpTo = laterOf(this.announcedUpTo, changes.readUpTo);
        const last = this.pulled.get(ip);
        if (last?.boot !== boot || last.scope !== "all") return;
        if (after > last.revision || changes.revision <= last.revision || this.isUpToDateReader) return;
        // Changes that another reader sent are left out, and one of its messages was lost.
        if (isAfter(known, this.completeUpTo.all)) return;
        this.pulled.set(ip, { ...last, revision: changes.revision });
        this.applyChanges(changes);
        this.recordComplete("all", changes.readUpTo);
      });
  }

  /** RPC methods for peers. */
  get handlers(): Record<string, Handler> {
    return {
      "fleet.changes": (params) => {
        const { after, scope, known } = decode(ChangesParams, params);
        return Promise.resolve(this.changesAfter(after, scope, known));
      },
    };
  }

  /** Pulls the changes that the peer knows and that were not pulled from it yet, as far as they are within `scope`. */
  async pullIfNewer(peer: PeerVersions, scope: ChangeScope): Promise<void> {
    if (this.pulling.has(peer.ip)) return;
    const last = this.pulled.get(peer.ip);
    // Changes that were left out while this node was on standby are pulled when it becomes active.
    const isContinuation = last?.boot === peer.boot && (last.scope === "all" || scope === "presence");
    const after = isContinuation ? last.revision : 0;
    if (isContinuation && after >= peer.fleetRevision) return;
    if (this.isUpToDateReader) return;
    this.pulling.add(peer.ip);
    try {
      const params = { after, scope, known: this.completeUpTo[scope] };
      const changes = decode(ChangesResult, await this.options.callPeer(peer, "fleet.changes", params));
      this.pulled.set(peer.ip, { boot: peer.boot, revision: changes.revision, scope });
      this.applyChanges(changes);
      this.recordComplete(scope, changes.readUpTo);
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
   * Registrations may have expired because the store was unavailable. If it refused only this node, none has expired that
   * way and removals are final; without the distinction, servers that left would be sent requests.
   */
  private onStoreRecovered(): void {
    const now = performance.now();
    this.options.context.fleet.storeRecovered(Math.min(now, this.storeUnreachableMs + this.periodMs));
  }

  private onNotice({ incarnation, ...notice }: NoticeChange): void {
    const { context, broadcastLeaving } = this.options;
    context.log.info({ event: "server-notice", server: incarnation, ...notice });
    if (notice.leaving && notice.source === "answer") broadcastLeaving({ incarnation });
    // Requests that wait for this server may choose another one.
    context.fleetChanged.fire(undefined);
  }

  /** The peer read the store up to `readUpTo`, and everything that it knows was received. */
  private recordComplete(scope: ChangeScope, readUpTo: StorePosition | undefined): void {
    if (readUpTo === undefined) return;
    const scopes: readonly ChangeScope[] = scope === "all" ? ["all", "presence"] : ["presence"];
    for (const each of scopes) this.completeUpTo[each] = laterOf(this.completeUpTo[each], readUpTo);
  }

  private get isUpToDateReader(): boolean {
    return this.options.shouldReadStore() && this.readAgeMs < periodMs * 2;
  }

  /** Tells peers that this node's view changed; what a store reader read goes first, so that they needn't pull it. */
  private announceChange(): void {
    if (this.options.active() && this.options.shouldReadStore()) this.deltas.send();
    else this.deltas.skip();
    this.options.onChange();
  }

  private changesAfter(
    revision: number,
    scope: ChangeScope,
    known: StorePosition | undefined,
  ): ChangesResult {
    const { fleet } = this.options.context;
    const { eraStart } = fleet;
    // After a change of the store's era older positions may be valid again.
    const isSameEra = known?.era === this.position?.era;
    return {
      asOf: this.knownUpTo,
      eraStart,
      ...(this.position === undefined ? {} : { readUpTo: this.position }),
      ...fleet.changesAfter(revision, scope, isSameEra ? known : undefined),
    };
  }

  private get knownUpTo(): StorePosition {
    return laterOf(this.position ?? initialPosition, this.pulledUpTo);
  }

  protected override async run(): Promise<void> {
    while (!this.stopped) {
      const startedMs = performance.now();
      if (!this.options.storeReachableByPeers()) this.storeUnreachableMs = startedMs;
      if (!this.options.isCurrent()) this.options.context.versionHistory.recordGap(startedMs);
      const isDue = this.options.shouldReadStore() || this.shouldProbe(startedMs);
      const failed = isDue && !(await this.readOnce());
      this.removeExpired();
      const retryMs = failed ? storeRetryMs(this.options.retryingNodes(), Math.random()) : 0;
      const pause = Math.max(50, Math.max(this.periodMs, retryMs) - (performance.now() - startedMs));
      await this.pause(pause);
    }
  }

  private get periodMs(): number {
    return this.options.active() || this.options.shouldReadStore() ? periodMs : standbyPeriodMs;
  }

  /** While the store doesn't answer this node but answers others, this node probes it now and then. */
  private shouldProbe(now: number): boolean {
    return !this.options.storeHealth.reachable && now - this.lastAttemptMs >= probeIntervalMs;
  }

  /** Returns whether the store answered. */
  private async readOnce(): Promise<boolean> {
    this.lastAttemptMs = performance.now();
    const { store, storeHealth, table } = this.options;
    const since = this.position;
    try {
      const set = await (since === undefined ? store.list(table) : store.changes(table, since, 0));
      storeHealth.recordSuccess();
      this.lastReadMs = performance.now();
      this.enterEra(set.position);
      this.position = set.position;
      this.applyRead(set, since === undefined);
      return true;
    } catch (error) {
      const failure = toFailure(error);
      if (failure.kind !== "history-lost") {
        storeHealth.recordFailure(failure);
        return false;
      }
      this.position = undefined;
      return true;
    }
  }

  /** Starts a new era of the store, whose content may be older than what is known. */
  private enterEra(start: StorePosition): void {
    const { context, store } = this.options;
    const { fleet, log } = context;
    store.eras.observe(start.era);
    if (!fleet.enterEra(start, store.eras.sinceMs)) return;
    log.warn({ event: "store-copy", before: formatPosition(this.knownUpTo), start: formatPosition(start) });
  }

  private applyRead(set: RowSet, complete: boolean): void {
    const { context } = this.options;
    const registrations = set.rows.flatMap((row) => {
      const decoded = this.options.decode(row.key, row.value);
      decoded.ifLeft((failure) => {
        this.reject(row.key, failure);
      });
      return decoded.map((server) => [{ server, position: row.position }]).orDefault([]);
    });
    const now = performance.now();
    let changed = this.applyRegistrations(registrations, now);
    const gone = complete ? context.fleet.idsMissingFrom(registrations, set.position) : set.removed;
    changed = this.removeAll(gone, set.position, now) || changed;
    if (changed) this.announceChange();
  }

  private applyChanges(changes: ChangesResult): void {
    const now = performance.now();
    const { fleet, fleetChanged } = this.options.context;
    this.enterEra(changes.eraStart);
    let changed = this.applyRegistrations(changes.registrations, now);
    if (changes.complete) {
      const gone = fleet.idsMissingFrom(changes.registrations, changes.asOf);
      changed = this.removeAll(gone, changes.asOf, now) || changed;
    }
    for (const { id, asOf } of changes.gone) changed = this.removeAll([id], asOf, now) || changed;
    if (changed) fleetChanged.fire(undefined);
    this.pulledUpTo = laterOf(this.pulledUpTo, changes.asOf);
  }

  private applyRegistrations(registrations: readonly Registration[], now: number): boolean {
    const { fleet } = this.options.context;
    let changed = false;
    for (const registration of registrations) {
      const known = fleet.get(registration.server.id);
      this.recordOutdated(registration);
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

  /** Counts a registration that is ignored, as it is older than the known one. */
  private recordOutdated({ server, position }: Registration): void {
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

  /** Drops what was observed of a server before it restarted. */
  private forgetIncarnation({ id, startedAtMs }: BackendServer): void {
    const { outliers, refusals, pool, log } = this.options.context;
    outliers.remove(id);
    refusals.forget(id);
    pool.forget(id);
    log.info({ event: "server-restarted", server: id, startedAtMs });
  }

  private reject(key: string, failure: Failure): void {
    if (this.rejected.get(key) === failure.message) return;
    if (this.rejected.size >= maxRejectedEntries) this.rejected.clear();
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

  /** Drops expired registrations, and the state kept for servers that are gone. */
  private removeExpired(): void {
    const { context } = this.options;
    if (context.fleet.expire(performance.now())) {
      context.fleetChanged.fire(undefined);
      this.announceChange();
    }
    const servers = context.fleet.all();
    const known = new Set(servers.map((server) => server.id));
    context.pool.retain(known);
    context.outliers.retain(known);
    context.reachability.retain(known);
    context.refusals.retain(known);
    context.concurrency.retain(known, performance.now());
    context.notices.retain(servers, performance.now());
    const incarnations = new Set(servers.map(incarnationOf));
    context.speeds.retain(incarnations);
    context.decoding.retain(incarnations);
    context.paces.retain(incarnations);
    context.turns.retain(known);
    context.permits.retain(incarnations);
    context.permitIssuer.retain(incarnations);
  }

  private logChange(server: BackendServer): void {
    this.options.context.log.info({
      event: server.leaving ? "server-leaving" : "server-found",
      server: server.id,
      service: server.service,
      softwareVersion: server.softwareVersion,
      goneInMs: server.goneInMs,
    });
  }
}
