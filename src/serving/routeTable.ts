/** Matches requests to routes and selects the service of a route with a traffic split. */
import * as crypto from "node:crypto";
import { weightedChoice } from "../common/weightedChoice.ts";
import type { Configuration, Route, Service } from "./configuration.ts";
import { CustomerTable } from "./customers/customerTable.ts";
import { callerEventTimeoutMs } from "./requestDeadlines.ts";

/** Routes of one configuration, indexed by host. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();
  private readonly services = new Map<string, Service>();
  private readonly gapLimitsMs = new Map<string, number>();
  readonly version: number;
  /** Number of priorities that routes may have: 0 and above. */
  readonly priorityLevels: number;
  /** Undefined if requests need no API key. */
  readonly customers: CustomerTable | undefined;

  constructor(readonly configuration: Configuration) {
    this.version = configuration.version;
    this.priorityLevels = 1 + Math.max(0, ...configuration.routes.map(({ priority }) => priority));
    if (configuration.customers !== undefined) this.customers = new CustomerTable(configuration.customers);
    for (const service of configuration.services) this.services.set(service.name, service);
    for (const { name } of configuration.services) {
      const limitMs = gapLimitOf(configuration.routes.filter((route) => leadsTo(route, name)));
      if (limitMs !== undefined) this.gapLimitsMs.set(name, limitMs);
    }
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host);
      if (routes === undefined) this.byHost.set(host, [route]);
      else routes.push(route);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /** The route of the host with the longest prefix of the path. */
  match(host: string, path: string): Route | undefined {
    return this.byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
  }

  /** The service by name; undefined if this configuration lacks it. */
  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** Shortest time that callers of the service's routes wait for a stream's first event, ms; 0 without such routes. */
  callerWaitMs(service: string): number {
    const waitsMs = this.configuration.routes
      .filter((route) => route.kind === "stream" && leadsTo(route, service))
      .map((route) => callerEventTimeoutMs(route));
    return waitsMs.length === 0 ? 0 : Math.min(...waitsMs);
  }

  /**
   * Gap limit of the service's most urgent streams, ms; undefined if they have none or can be resumed on another server,
   * so that a stream that falls behind isn't lost.
   */
  gapLimitMs(service: string): number | undefined {
    return this.gapLimitsMs.get(service);
  }

  /** Selects the service of a request by weight; the same request id always gets the same service. */
  selectService(route: Route, requestId: string): string | undefined {
    if (route.shares.length <= 1) return route.shares[0]?.service;
    return weightedChoice(route.shares, ({ weight }) => weight, hashFraction(requestId))?.service;
  }
}

function leadsTo(route: Route, service: string): boolean {
  return route.shares.some((share) => share.service === service);
}

/** The strictest gap limit of the most urgent streams among the routes that can't be resumed, ms. */
function gapLimitOf(routes: readonly Route[]): number | undefined {
  const streams = routes.filter(({ kind }) => kind === "stream");
  const priority = Math.min(...streams.map((route) => route.priority));
  const limitsMs = streams
    .filter((route) => route.priority === priority && !route.resumable && route.pauseMs > 0)
    .map(({ pauseMs }) => pauseMs);
  return limitsMs.length === 0 ? undefined : Math.min(...limitsMs);
}

/** A uniformly distributed number from 0 to 1, derived from the text. */
export function hashFraction(text: string): number {
  return crypto.createHash("md5").update(text).digest().readUInt32BE(0) / 0x1_0000_0000;
}
