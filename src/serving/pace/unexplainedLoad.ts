/**
 * Tells requests in flight that only seem to be, as reports are older than calls, from those that a server doesn't
 * answer. Without it a plain server that stopped responding was chosen as often as an idle one, although peers had
 * reported three requests in flight there for 700 ms.
 */
import type { BackendServer } from "../backendServer.ts";

/** Requests that are in flight for this time without interruption are sustained, ms: over several reports of a peer. */
const sustainedMs = 400;
/** Upper limit of the wait, ms: as much as a failure costs. */
const maxWaitMs = 400;
/** Numbers of requests vary by this many standard deviations of a Poisson distribution. */
const chanceDeviations = 2;
/** A server can be avoided at no cost if the others can process this multiple of the service's load. */
const minSpareCapacity = 2;

/** What is known of the servers of one service. */
export interface LoadEvidence {
  readonly servers: readonly BackendServer[];
  /** Requests known in flight at the server, and those of them that have been so without interruption since a time. */
  readonly requestsOf: (serverId: string) => number;
  readonly sustainedSince: (serverId: string, sinceMs: number) => number;
  /** Recent responses per second of the server and of the service, over all nodes. */
  readonly answersPerSOf: (server: BackendServer) => number;
  readonly answersPerS: number;
  /** Time of a call at a typical server, and at this one, ms. */
  readonly typicalMs: number;
  readonly callMsOf: (server: BackendServer) => number;
}

/**
 * By server, the time until it has processed the requests that its rate of responses doesn't explain, ms. By Little's law
 * that rate times the time of a call is the number in flight. Where the other servers can process the service's load
 * easily, momentary numbers count too, as far as they exceed those of the other servers by more than chance; elsewhere
 * only sustained ones do, as all nodes would avoid the server until its queue is long gone.
 */
export function unexplainedWaits(evidence: LoadEvidence, nowMs: number): (server: BackendServer) => number {
  const { requestsOf, answersPerSOf } = evidence;
  let known: Totals | undefined;
  return (server) => {
    known ??= totalsOf(evidence);
    const requests = requestsOf(server.id);
    if (requests === 0) return 0;
    const perS = answersPerSOf(server);
    const explained = (perS * evidence.callMsOf(server)) / 1_000;
    const sustained = evidence.sustainedSince(server.id, nowMs - sustainedMs);
    const unexplained = Math.max(
      sustained - explained,
      momentary(server, requests, explained, evidence, known),
    );
    if (unexplained <= 0) return 0;
    return perS > 0 ? Math.min(maxWaitMs, (1_000 * unexplained) / perS) : maxWaitMs;
  };
}

interface Totals {
  readonly slots: number;
  readonly requests: number;
}

function totalsOf({ servers, requestsOf }: LoadEvidence): Totals {
  return {
    slots: servers.reduce((sum, { slots }) => sum + slots, 0),
    requests: servers.reduce((sum, { id }) => sum + requestsOf(id), 0),
  };
}

/** Requests beyond those that are usual for the server, if the other servers have capacity to spare. */
function momentary(
  server: BackendServer,
  requests: number,
  explained: number,
  { answersPerS, typicalMs }: LoadEvidence,
  total: Totals,
): number {
  const otherSlots = total.slots - server.slots;
  const otherRequests = total.requests - requests;
  const neededSlots = Math.max(otherRequests, (answersPerS * typicalMs) / 1_000);
  if (otherSlots < minSpareCapacity * neededSlots) return 0;
  // All have more in flight than responses explain when the load has just risen.
  const usual = Math.max(explained, otherSlots > 0 ? (otherRequests / otherSlots) * server.slots : 0);
  return requests - usual - 1 - chanceDeviations * Math.sqrt(usual);
}
