/** What this node knows of the engines that could get the copy of a run. */
import { holds, type BackendServer } from "../../serving/backendServer.ts";
import type { EngineLimits } from "../../serving/configuration.ts";
import type { CopyTargetView } from "../../serving/runTransfer/copyTargets.ts";
import type { GatewayContext } from "../gatewayContext.ts";

/** Memory of the service's engines, and its use as of `nowMs`. */
export function copyViewOf(
  context: GatewayContext,
  service: string,
  { capacityTokens = 0 }: EngineLimits,
  nowMs: number,
): CopyTargetView {
  const { usage } = context.runTransfers;
  return {
    capacityTokens,
    meanRunTokens: usage.meanRunTokens(service),
    requestsAt: ({ id }) => context.loads.loadOf(id, nowMs).requests,
    copyTokensAt: ({ id }) => usage.tokensAt(id, nowMs),
    random: Math.random,
  };
}

/** The service's servers that hold the model and accept requests of it, can be connected to and aren't ejected. */
export function copyCandidates(
  context: GatewayContext,
  service: string,
  model: string,
  nowMs: number,
): readonly BackendServer[] {
  const { fleet, outliers, reachability, refusals, notices } = context;
  return fleet.available(service).filter((server) => {
    if (!holds(server, model, undefined)) return false;
    if (!reachability.isReachable(server.id) || !notices.acceptsRequests(server, nowMs)) return false;
    const health = outliers.health(server.id, nowMs);
    return !health.ejected && !health.unreachable && refusals.isAvailable(server.id, model, nowMs);
  });
}
