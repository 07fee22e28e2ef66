/** Backend servers that could serve one request: now, or once their rate limit or back-off allows it. */
import { holds, type BackendServer } from "../../serving/backendServer.ts";
import type { Service } from "../../serving/configuration.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** Options of `ServerCandidates`. */
export interface ServerCandidatesOptions {
  readonly context: GatewayContext;
  readonly service: Service;
  readonly metadata: RequestMetadata;
  /** The software version that the servers must have; undefined for any. */
  readonly softwareVersion: () => string | undefined;
}

/** Candidate servers of one request. */
export class ServerCandidates {
  /** Ids of servers that were sent the request and aren't tried again. */
  readonly tried = new Set<string>();

  constructor(private readonly options: ServerCandidatesOptions) {}

  /** Scope of a refusal: the model for engines, the whole server otherwise. */
  get scope(): string {
    return this.options.metadata.model ?? "";
  }

  /** Servers that may be sent the request now. */
  get ready(): BackendServer[] {
    const now = performance.now();
    const ready = this.eligible().filter((server) => this.acceptsNow(server, now));
    const settled = ready.filter((server) => this.isSettled(server, now));
    const stored = settled.filter((server) => this.isStored(server));
    if (stored.length > 0) return stored;
    return settled.length > 0 ? settled : ready;
  }

  /** Whether no server of the required software version is left that takes new requests. */
  get lacksVersion(): boolean {
    if (this.options.softwareVersion() === undefined) return false;
    return this.available.length + this.leavingAt(performance.now()).length === 0;
  }

  /** Whether the requested model is held by servers of other software versions only, so that it won't be loaded again. */
  get lacksModelAtVersion(): boolean {
    const model = this.requiredModel;
    if (model === undefined || this.options.softwareVersion() === undefined) return false;
    const { fleet } = this.options.context;
    return (
      !this.available.some((server) => holds(server, model, undefined)) &&
      fleet.hasHolder(this.options.service.name, model, undefined)
    );
  }

  /** Servers that could serve the request but stated a limit or back-off that prevents it now. */
  get throttled(): BackendServer[] {
    const { notices, concurrency } = this.options.context;
    if (notices.isEmpty && !concurrency.active) return [];
    const now = performance.now();
    return this.eligible().filter((server) => !this.tried.has(server.id) && !this.acceptsNow(server, now));
  }

  /** Servers that could serve the request and whose requests in flight are limited. */
  get limited(): readonly BackendServer[] {
    const now = performance.now();
    return this.eligible().filter((server) => this.options.context.concurrency.isLimited(server, now));
  }

  /** The servers that the request waits for, if all are limited and this node has no share of their slots; else empty. */
  get withoutShare(): readonly BackendServer[] {
    const { concurrency, ip } = this.options.context;
    if (!concurrency.active) return [];
    const now = performance.now();
    const { throttled } = this;
    const hasShare = (server: BackendServer): boolean =>
      !concurrency.isLimited(server, now) || concurrency.shareOf(server, ip, now) > 0;
    return throttled.some(hasShare) ? [] : throttled;
  }

  /** Whether any server currently refuses requests of this scope and may accept them again at any time. */
  get anyRefusing(): boolean {
    const now = performance.now();
    const { refusals } = this.options.context;
    return this.reachable(this.available, this.requiredModel, this.options.metadata.adapter).some(
      ({ id }) => !this.tried.has(id) && !refusals.isAvailable(id, this.scope, now),
    );
  }

  /** The servers that could serve the request, if this node can connect to none of them; otherwise empty. */
  get outOfReach(): readonly BackendServer[] {
    const { available } = this;
    const { adapter } = this.options.metadata;
    const { reachability } = this.options.context;
    const model = this.requiredModel;
    const holdersOf = (adapterName: string | undefined): readonly BackendServer[] =>
      available.filter((server) => model === undefined || holds(server, model, adapterName));
    const servers =
      [holdersOf(adapter), holdersOf(undefined), available].find((some) => some.length > 0) ?? [];
    return servers.some(({ id }) => reachability.isReachable(id)) ? [] : servers;
  }

  /** Whether any server holds the requested model, regardless of adapters. */
  get hasModel(): boolean {
    const { model } = this.options.metadata;
    return model !== undefined && this.reachable(this.available, model, undefined).length > 0;
  }

  /** The model that a server must hold; undefined for plain services. */
  private get requiredModel(): string | undefined {
    const { service, metadata } = this.options;
    return service.engine === undefined ? undefined : metadata.model;
  }

  private get available(): readonly BackendServer[] {
    const servers = this.options.context.fleet.available(this.options.service.name);
    return this.options.softwareVersion() === undefined
      ? servers
      : servers.filter((server) => this.hasVersion(server));
  }

  /** Servers that announced their shutdown so recently that they may still be sent requests. */
  private leavingAt(nowMs: number): BackendServer[] {
    const { fleet, drainMs } = this.options.context;
    return fleet
      .leavingSince(this.options.service.name, nowMs - drainMs)
      .filter((server) => this.hasVersion(server));
  }

  /** Whether the server has the required software version; one that reports none can't be told apart. */
  private hasVersion({ softwareVersion }: BackendServer): boolean {
    const required = this.options.softwareVersion();
    return required === undefined || softwareVersion === undefined || softwareVersion === required;
  }

  /** A new version isn't used until all nodes know it, as its streams could be resumed where it isn't known. */
  private isSettled({ service, softwareVersion }: BackendServer, nowMs: number): boolean {
    if (softwareVersion === undefined) return true;
    return this.options.context.versionHistory.isSettled(service, softwareVersion, nowMs);
  }

  /** The streams of a version that the store doesn't name could be taken for another version's after all nodes restarted. */
  private isStored({ service, softwareVersion }: BackendServer): boolean {
    if (softwareVersion === undefined) return true;
    return this.options.context.versionHistory.confirmStored(service, softwareVersion);
  }

  private acceptsNow(server: BackendServer, nowMs: number): boolean {
    const { notices, permits, concurrency } = this.options.context;
    return (
      notices.acceptsRequests(server, nowMs) &&
      permits.admits(server, nowMs) &&
      concurrency.admits(server, nowMs)
    );
  }

  /** Servers that don't refuse requests of this scope; if there are none, those that recently announced a shutdown. */
  private eligible(): BackendServer[] {
    const { metadata, context } = this.options;
    const now = performance.now();
    const isOpen = ({ id }: BackendServer): boolean => context.refusals.isAvailable(id, this.scope, now);
    const servers = this.reachable(this.available, this.requiredModel, metadata.adapter).filter(isOpen);
    if (servers.length > 0) return servers;
    return this.reachable(this.leavingAt(now), this.requiredModel, metadata.adapter).filter(isOpen);
  }

  /**
   * Reachable servers that hold the given model and adapter. An unreachable server is excluded even if it is the only
   * one: its registration outlives a crash by seconds, and every request sent to it meanwhile was refused without a
   * Retry-After.
   */
  private reachable(
    servers: readonly BackendServer[],
    model: string | undefined,
    adapter: string | undefined,
  ): BackendServer[] {
    const now = performance.now();
    const { outliers, reachability } = this.options.context;
    // Filters by model first, as only a few of 80 engines hold it and a waiting request selects 20 times a second.
    return servers
      .filter((server) => model === undefined || holds(server, model, adapter))
      .filter(({ id }) => reachability.isReachable(id) && !outliers.health(id, now).unreachable);
  }
}
