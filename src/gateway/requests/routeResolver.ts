/** Finds the route of a request in a configuration that is known to be in force. */
import { Failure, type ErrorKind } from "../../common/errors.ts";
import type { Route, Service } from "../../serving/configuration.ts";
import { urgencyOf, type Customer, type Urgency } from "../../serving/customers/customer.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import type { RouteTable } from "../../serving/routeTable.ts";
import type { ActiveConfiguration } from "../store/activeConfiguration.ts";
import type { ConfigurationRefresh } from "../store/configurationRefresh.ts";
import { streamIdOf } from "../streams/resumableStream.ts";

/** Maximum wait of a request for the configuration to be confirmed, ms. */
const maxWaitMs = 1_000;

/** How to serve a request. */
export interface ResolvedRoute {
  readonly route: Route;
  readonly service: Service;
  /** For whom to serve it; undefined if the configuration has no customers, or on an open route. */
  readonly customer: CustomerIdentity | undefined;
  readonly urgency: Urgency;
  readonly maxBodyBytes: number;
}

/** The customer of a request. */
export interface CustomerIdentity {
  readonly name: string;
  /** Undefined if only another node, which passed the request on, knows the customer. */
  readonly customer: Customer | undefined;
}

/** Options of a `RouteResolver`. */
export interface RouteResolverOptions {
  readonly configuration: ActiveConfiguration;
  readonly refresh: Pick<ConfigurationRefresh, "state" | "ensureCurrent" | "ensureNewest">;
  /** API keys are accepted for this long without knowledge of whether they still exist, ms. */
  readonly maxKeyAgeMs?: number;
}

/** Why a request has no route. */
type Denial = Extract<ErrorKind, "unknown-route" | "unknown-customer">;

const denials: Readonly<Record<Denial, (request: string) => string>> = {
  "unknown-route": (request) => `no route for ${request}`,
  "unknown-customer": (request) => `no customer holds the API key of the request for ${request}`,
};

/** Decides by the configuration as of the decision, never by one of unknown age. */
export class RouteResolver {
  constructor(private readonly options: RouteResolverOptions) {}

  /**
   * The route and the customer of a request for `path` that arrived at `arrivedMs`; `customer` names the one found by the
   * node that passed the request on. Rejects with `no-configuration` while it isn't known which configuration is in
   * force, and with `unknown-route` or `unknown-customer` if the one in force has no such route or API key.
   */
  async resolve(
    metadata: RequestMetadata,
    path: string,
    arrivedMs: number,
    customer?: string,
  ): Promise<ResolvedRoute> {
    const { refresh } = this.options;
    const limitMs = (): number =>
      Math.min(maxWaitMs, arrivedMs + (metadata.deadlineMs ?? maxWaitMs) - performance.now());
    await refresh.ensureCurrent(limitMs());
    if (refresh.state === "unconfirmed") throw this.unconfirmedFailure();
    const found = this.match(metadata, path, customer);
    if (typeof found !== "string") return found;
    await refresh.ensureNewest(limitMs());
    const latest = this.match(metadata, path, customer);
    return typeof latest !== "string" ? latest : this.deny(latest, metadata, path);
  }

  private match(metadata: RequestMetadata, path: string, forwardedFor?: string): ResolvedRoute | Denial {
    const { table } = this;
    const route = table.match(metadata.host, path);
    if (route === undefined) return "unknown-route";
    const customer = this.identify(metadata, forwardedFor);
    if (customer === undefined && table.customers !== undefined && route.open !== true)
      return "unknown-customer";
    const service = table.service(table.selectService(route, streamIdOf(metadata)) ?? "");
    if (service === undefined) throw new Failure("not-run", `route ${route.name} refers to no known service`);
    const urgency = urgencyOf(route, customer?.customer, table.priorityLevels);
    return { route, service, customer, urgency, maxBodyBytes: table.configuration.limits.maxBodyBytes };
  }

  private identify({ apiKey }: RequestMetadata, forwardedFor?: string): CustomerIdentity | undefined {
    const { customers } = this.table;
    if (forwardedFor !== undefined) return { name: forwardedFor, customer: customers?.get(forwardedFor) };
    if (customers === undefined || apiKey === undefined) return undefined;
    const { maxKeyAgeMs = Number.POSITIVE_INFINITY, configuration } = this.options;
    if (configuration.ageMs > maxKeyAgeMs) throw this.unconfirmedFailure();
    const customer = customers.holderOf(apiKey);
    return customer === undefined ? undefined : { name: customer.name, customer };
  }

  private get table(): RouteTable {
    const table = this.options.configuration.current;
    if (table === undefined)
      throw new Failure("no-configuration", "no configuration loaded yet; retry later");
    return table;
  }

  private deny(denial: Denial, { host }: RequestMetadata, path: string): never {
    const { refresh, configuration } = this.options;
    if (refresh.state !== "current" || configuration.outdated) throw this.unconfirmedFailure();
    throw new Failure(denial, `${denials[denial](host + path)} (${this.knowledge})`);
  }

  private unconfirmedFailure(): Failure {
    return new Failure("no-configuration", `configuration not confirmed (${this.knowledge}); retry later`);
  }

  private get knowledge(): string {
    const { version, ageMs, source = "none" } = this.options.configuration;
    return `version ${version}, confirmed ${Math.round(ageMs)} ms ago by ${source}`;
  }
}
