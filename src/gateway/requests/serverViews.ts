/** Builds the view of the servers for one request from what the parts of the node know. */
import { holds, type BackendServer } from "../../serving/backendServer.ts";
import { isRepeatable, type Route, type Service } from "../../serving/configuration.ts";
import type { RequestMetadata } from "../../serving/exchange.ts";
import { paceViewOf } from "../../serving/pace/paceView.ts";
import { trackedParts } from "../../serving/prefixCache/partKey.ts";
import { createPrefixView } from "../../serving/prefixCache/prefixView.ts";
import type { ServerView } from "../../serving/serverView.ts";
import { crossingCostMs } from "../../serving/zones/crossingCost.ts";
import type { GatewayContext } from "../gatewayContext.ts";
import { decodingViewOf } from "./decodingView.ts";

/** The request for which servers are compared. */
export interface ViewSubject {
  readonly context: GatewayContext;
  readonly service: Service;
  readonly route: Route;
  readonly metadata: RequestMetadata;
  /** Size of the request's body. */
  readonly bodyBytes: number;
  /** Of the request at engines; see `Urgency`. */
  readonly rank: number;
}

/** What is known at `nowMs`. */
export function serverViewOf(subject: ViewSubject, nowMs: number): ServerView {
  const { context, route } = subject;
  const decoding = decodingViewOf(subject, nowMs);
  return {
    load: (id) => decoding?.loadOf(id) ?? context.loads.loadOf(id, nowMs),
    health: (id) => context.outliers.health(id, nowMs),
    ...paceViewOf(context, { draw: context.random(), repeatable: isRepeatable(route) }, nowMs),
    crossingMs: crossingMsOf(subject),
    cached: cachedBy(subject, nowMs),
    ...(decoding === undefined
      ? {}
      : { decodingCostMs: (server, prefillMs) => decoding.costMs(server, prefillMs) }),
  };
}

/** Undefined if the bandwidth of the host's link isn't known. */
function crossingMsOf({ context, route, bodyBytes }: ViewSubject): ServerView["crossingMs"] {
  const { linkMbps, loads, responseSizes, zone } = context;
  if (linkMbps === undefined) return undefined;
  const bytes = bodyBytes + responseSizes.expected(route.name);
  const costMs = crossingCostMs({
    ...{ linkMbps, bytes, requests: loads.ownRequests },
    targetMs: route.targetMs,
  });
  return (server) => (server.zone === zone ? 0 : costMs);
}

function cachedBy({ context, service, metadata }: ViewSubject, nowMs: number): ServerView["cached"] {
  const parts = trackedParts(service, metadata);
  if (parts === undefined) return undefined;
  return createPrefixView({
    ...{ knowledge: context.cacheKnowledge, parts, promptTokens: metadata.promptTokens, nowMs },
    sources: () => fetchSources(context, service.name, metadata.model, nowMs),
    transfer: service.engine?.cacheTransfer,
  });
}

/**
 * Servers whose caches others can fetch from: with the model, as unloading it drops its caches, not leaving, not ejected,
 * and reachable from this node.
 */
function fetchSources(
  context: GatewayContext,
  service: string,
  model: string | undefined,
  nowMs: number,
): readonly BackendServer[] {
  const { fleet, outliers, reachability } = context;
  if (model === undefined) return [];
  return fleet.available(service).filter((server) => {
    if (!holds(server, model, undefined) || !reachability.isReachable(server.id)) return false;
    const health = outliers.health(server.id, nowMs);
    return !health.ejected && !health.unreachable;
  });
}
