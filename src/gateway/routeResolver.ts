/** Finds the route of a request in a configuration that is known to be in force. */
import { Failure } from "../common/errors.ts";
import type { Route, Service } from "../serving/configuration.ts";
import type { RequestMetadata } from "../serving/exchange.ts";
import type { RouteTable } from "../serving/routeTable.ts";
import type { ActiveConfiguration } from "./activeConfiguration.ts";
import type { ConfigurationRefresh } from "./configurationRefresh.ts";
import { streamIdOf } from "./resumableStream.ts";

/** Maximum wait of a request for the configuration to be confirmed, ms. */
const maxWaitMs = 1_000;

/** How to serve a request. */
export interface ResolvedRoute {
  readonly route: Route;
  readonly service: Service;
  readonly maxBodyBytes: number;
}

/** Options of a `RouteResolver`. */
export interface RouteResolverOptions {
  readonly configuration: ActiveConfiguration;
  readonly refresh: Pick<ConfigurationRefresh, "state" | "ensureCurrent" | "ensureNewest">;
}

/** Decides by the configuration as of the decision, never by one of unknown age. */
export class RouteResolver {
  constructor(private readonly options: RouteResolverOptions) {}

  /**
   * The route of a request for `path` that arrived at `arrivedMs`. Rejects with `no-configuration` while it isn't known which
   * configuration is in force, and with `unknown-route` if the one in force has no such route.
   */
  async resolve(metadata: RequestMetadata, path: string, arrivedMs: number): Promise<ResolvedRoute> {
    const { refresh } = this.options;
    const limitMs = (): number =>
      Math.min(maxWaitMs, arrivedMs + (metadata.deadlineMs ?? maxWaitMs) - performance.now());
    await refresh.ensureCurrent(limitMs());
    if (refresh.state === "unconfirmed") throw this.unconfirmedFailure();
    const found = this.match(metadata, path);
    if (found !== undefined) return found;
    await refresh.ensureNewest(limitMs());
    return this.match(metadata, path) ?? this.rejectUnknown(metadata, path);
  }

  private match(metadata: RequestMetadata, path: string): ResolvedRoute | undefined {
    const { table } = this;
    const route = table.match(metadata.host, path);
    if (route === undefined) return undefined;
    const service = table.service(table.selectService(route, streamIdOf(metadata)) ?? "");
    if (service === undefined) throw new Failure("not-run", `route ${route.name} refers to no known service`);
    return { route, service, maxBodyBytes: table.configuration.limits.maxBodyBytes };
  }

  private get table(): RouteTable {
    const table = this.options.configuration.current;
    if (table === undefined)
      throw new Failure("no-configuration", "no configuration loaded yet; retry later");
    return table;
  }

  private rejectUnknown({ host }: RequestMetadata, path: string): never {
    const { refresh, configuration } = this.options;
    if (refresh.state !== "current" || configuration.outdated) throw this.unconfirmedFailure();
    throw new Failure("unknown-route", `no route for ${host}${path} (${this.knowledge})`);
  }

  private unconfirmedFailure(): Failure {
    return new Failure("no-configuration", `configuration not confirmed (${this.knowledge}); retry later`);
  }

  private get knowledge(): string {
    const { version, ageMs, source = "none" } = this.options.configuration;
    return `version ${version}, confirmed ${Math.round(ageMs)} ms ago by ${source}`;
  }
}
