/**
 * Chooses the engine that gets the copy of a run. A copy takes memory from the requests of its engine, so it goes to the
 * one with the most room, and to none rather than to one that is nearly full.
 */
import { holds, type BackendServer } from "../backendServer.ts";

/** Part of an engine's memory that requests and copies may be expected to use together after the copy. */
const maxUsedRatio = 0.8;
/** Part of an engine's memory that the copies of one node may use. */
const maxCopyRatio = 0.15;

/** What is known of the engines. */
export interface CopyTargetView {
  /** Tokens that fit into the memory of one engine. */
  readonly capacityTokens: number;
  /** Mean size of a run, tokens. */
  readonly meanRunTokens: number;
  /** Requests in flight at the engine. */
  readonly requestsAt: (server: BackendServer) => number;
  /** Tokens of copies at the engine, as far as this node knows. */
  readonly copyTokensAt: (server: BackendServer) => number;
  /** Random number from 0 to 1. */
  readonly random: () => number;
}

/** The run to copy. */
export interface CopySubject {
  readonly source: BackendServer;
  readonly model: string;
  readonly adapter: string | undefined;
  readonly tokens: number;
}

/** The engines that could continue the run: other ones of the same software version with its model and adapter. */
export function engineTwins(
  candidates: readonly BackendServer[],
  { source, model, adapter }: CopySubject,
): BackendServer[] {
  return candidates.filter(
    (server) =>
      server.engine &&
      !server.leaving &&
      server.id !== source.id &&
      server.address !== source.address &&
      server.softwareVersion === source.softwareVersion &&
      holds(server, model, adapter),
  );
}

/** Whether the copy fits beside the requests and copies at the engine. */
export function hasRoomFor(view: CopyTargetView, server: BackendServer, tokens: number): boolean {
  const copyTokens = view.copyTokensAt(server) + tokens;
  const usedTokens = view.requestsAt(server) * view.meanRunTokens + copyTokens;
  return copyTokens <= maxCopyRatio * view.capacityTokens && usedTokens <= maxUsedRatio * view.capacityTokens;
}

/**
 * The less used one of two random engines: of the least used one all nodes would make their copies at the same time, as
 * they know the requests of the others with a delay.
 */
export function leastUsedOfTwo(
  view: CopyTargetView,
  servers: readonly BackendServer[],
): BackendServer | undefined {
  const usedAt = (server: BackendServer): number =>
    view.requestsAt(server) * view.meanRunTokens + view.copyTokensAt(server);
  const draw = (from: readonly BackendServer[]): BackendServer | undefined =>
    from[Math.min(from.length - 1, Math.floor(view.random() * from.length))];
  const first = draw(servers);
  const second = draw(servers.filter((server) => server !== first));
  if (first === undefined || second === undefined) return first;
  return usedAt(second) < usedAt(first) ? second : first;
}
