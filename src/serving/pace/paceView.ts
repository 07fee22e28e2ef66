/** What a server choice is told of the servers' speeds and paces. */
import type { BackendServer } from "../backendServer.ts";
import type { LoadTracker } from "../loadTracker.ts";
import { plainCallMs } from "../serverChoice.ts";
import type { ServerView } from "../serverView.ts";
import type { PacedRequest, ServerPaces } from "./serverPaces.ts";
import type { ServerSpeeds } from "./serverSpeeds.ts";
import type { ServerTurns } from "./serverTurns.ts";
import { unexplainedWaits } from "./unexplainedLoad.ts";

/** Mean age of peers' load reports, ms. Calls that take longer are still in flight when they are known. */
const reportAgeMs = 200;
/** The state of a node that the view reads. */
export interface PaceState {
  readonly loads: LoadTracker;
  readonly speeds: ServerSpeeds;
  readonly paces: ServerPaces;
  readonly turns: ServerTurns;
}

/** The part of the view of one request. */
export function paceViewOf(
  { loads, speeds, paces, turns }: PaceState,
  request: PacedRequest,
  nowMs: number,
): Pick<ServerView, "speed" | "admits" | "explores" | "outdatedCallMs" | "unexplainedWaitMs" | "turn"> {
  const typicalMsOf = (service: string): number => speeds.typicalMs(service, nowMs) ?? plainCallMs;
  const callMsOf = (server: BackendServer): number =>
    typicalMsOf(server.service) / speeds.speedOf(server, nowMs);
  let waits: ((server: BackendServer) => number) | undefined;
  return {
    speed: (server) => speeds.speedOf(server, nowMs),
    // Of engines, the time to first token depends on their other work more than on their state.
    admits: (server) =>
      server.engine || paces.admits(server, loads.loadOf(server.id, nowMs).requests, request, nowMs),
    explores: (server) => !server.engine && paces.explores(server, request, nowMs),
    turn: (serverId) => turns.creditOf(serverId),
    outdatedCallMs: (server) => {
      if (typicalMsOf(server.service) >= reportAgeMs) return undefined;
      if (paces.isAlone(server.service, nowMs)) return undefined;
      return callMsOf(server);
    },
    unexplainedWaitMs: (server) => {
      const { service } = server;
      waits ??= unexplainedWaits(
        {
          servers: speeds.serversOf(service),
          requestsOf: (id) => loads.loadOf(id, nowMs).requests,
          sustainedSince: (id, sinceMs) => loads.sustainedSince(id, sinceMs, nowMs),
          answersPerSOf: (other) => speeds.answersPerSOf(other, nowMs),
          answersPerS: paces.requestsPerS(service, nowMs),
          typicalMs: typicalMsOf(service),
          callMsOf,
        },
        nowMs,
      );
      return waits(server);
    },
  };
}
