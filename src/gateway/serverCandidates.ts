/** Which backend servers could serve one request: now, or once what they said of themselves allows it. */
import { holds, type BackendServer } from "../serving/backendServer.ts";
import type { Service } from "../serving/configuration.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import type { GatewayContext } from "./gatewayContext.ts";

/** What the candidates are found with. */
export interface ServerCandidatesOptions {
  readonly context: GatewayContext;
  readonly service: Service;
  readonly metadata: RequestMetadata;
}

/** The candidates of one request. */
export class ServerCandidates {
  /** Servers that had the request and aren't asked again. */
  readonly tried = new Set<string>();

  constructor(private readonly options: ServerCandidatesOptions) {}

  /** What a refusal is about: the model at engines, the whole server elsewhere. */
  get scope(): string {
    return this.options.metadata.model ?? "";
  }

  /** Servers that may be sent the request now. */
  get ready(): BackendServer[] {
    const now = performance.now();
    return this.eligible().filter((server) => this.acceptsNow(server, now));
  }

  /** Servers that could serve the request, and by their own word take none now: a rate limit, or a pause. */
  get throttled(): BackendServer[] {
    if (this.options.context.notices.isEmpty) return [];
    const now = performance.now();
    return this.eligible().filter((server) => !this.tried.has(server.id) && !this.acceptsNow(server, now));
  }

  /** Does any server refuse requests like this at the moment, and may take them again any time? */
  get anyRefusing(): boolean {
    const now = performance.now();
    const { refusals } = this.options.context;
    return this.reachable(this.available, this.requiredModel, this.options.metadata.adapter).some(
      ({ id }) => !this.tried.has(id) && !refusals.isAvailable(id, this.scope, now),
    );
  }

  /** Does any server hold the model asked for, whatever its adapters? */
  get hasModel(): boolean {
    const { model } = this.options.metadata;
    return model !== undefined && this.reachable(this.available, model, undefined).length > 0;
  }

  /** The model that a server must hold; undefined at plain servers. */
  private get requiredModel(): string | undefined {
    const { service, metadata } = this.options;
    return service.engine === undefined ? undefined : metadata.model;
  }

  private get available(): readonly BackendServer[] {
    return this.options.context.fleet.available(this.options.service.name);
  }

  private acceptsNow(server: BackendServer, nowMs: number): boolean {
    const { notices, permits } = this.options.context;
    return notices.acceptsRequests(server, nowMs) && permits.admits(server, nowMs);
  }

  /** Servers that don't refuse requests like this; where there is no other, one that has just said that it leaves. */
  private eligible(): BackendServer[] {
    const { metadata, service, context } = this.options;
    const now = performance.now();
    const isOpen = ({ id }: BackendServer): boolean => context.refusals.isAvailable(id, this.scope, now);
    const servers = this.reachable(this.available, this.requiredModel, metadata.adapter).filter(isOpen);
    if (servers.length > 0) return servers;
    const leaving = context.fleet.leavingSince(service.name, now - context.drainMs);
    return this.reachable(leaving, this.requiredModel, metadata.adapter).filter(isOpen);
  }

  /**
   * Servers that hold the model and adapter if they are named. One that can't be reached is none, not even where it is
   * the only one: guards "every request runs into a dead server": its registration outlives a crash by seconds, and each
   * request that was sent to it meanwhile was refused with no word on when to come back.
   */
  private reachable(
    servers: readonly BackendServer[],
    model: string | undefined,
    adapter: string | undefined,
  ): BackendServer[] {
    const now = performance.now();
    const { outliers } = this.options.context;
    // A few of 80 engines hold a model, so that is asked first: a request that waits its turn chooses 20 times a second.
    return servers
      .filter((server) => model === undefined || holds(server, model, adapter))
      .filter((server) => !outliers.health(server.id, now).unreachable);
  }
}
