/**
 * Choice among plain servers if peers' reports are older than their calls. Taken literally, such reports make all nodes
 * choose the server that had the fewest requests before: with 24 nodes and reports that are 100 to 300 ms old, calls of
 * 30 ms had a p95 of 150 ms at 70 % utilization. Each server has a chance instead, by slots and speed, and reports only
 * shift the chances.
 */
import type { BackendServer } from "../backendServer.ts";
import type { Load } from "../loadTracker.ts";

/** How much the reported requests per slot lower the weight of a server whose reports are outdated; more overshoots. */
const reportedLoadWeight = 0.2;
/** Reported requests per slot beyond which a server's weight doesn't fall further. */
const maxReportedRatio = 2;
/** Cost by which the chance of a server falls to 1/e, ms. */
const costScaleMs = 10;

/** Chance below which a server isn't chosen for its credit. */
const minChance = 0.001;

/** What a server's chance depends on. */
export interface WeightedServer {
  readonly server: BackendServer;
  readonly load: Load;
  readonly speed: number;
  /** Time of a call there, ms. */
  readonly callMs: number;
  /** Latency that the caller wants, ms; a later response costs the time by which it is late. */
  readonly targetMs: number | undefined;
  /** Time that requests in flight take that the server's responses don't explain, ms. */
  readonly unexplainedWaitMs: number;
  /** Expected cost of failures, ms. */
  readonly failureMs: number;
}

/** Cost of a server, ms; its chance falls exponentially with it. */
export function weightedCostMs(option: WeightedServer): number {
  const { server, load, speed, callMs, targetMs, unexplainedWaitMs, failureMs } = option;
  const lateMs = Math.max(0, callMs - (targetMs ?? Number.POSITIVE_INFINITY));
  const reportedRatio = Math.min(maxReportedRatio, load.requests / server.slots);
  const preference = Math.log(server.slots * speed) - reportedLoadWeight * reportedRatio;
  return failureMs + lateMs + unexplainedWaitMs - costScaleMs * preference;
}

/** Chances of servers with these costs. */
export function chancesOf(costsMs: ReadonlyMap<string, number>): ReadonlyMap<string, number> {
  const leastMs = Math.min(...costsMs.values());
  const weights = [...costsMs].map(
    ([id, costMs]) => [id, Math.exp((leastMs - costMs) / costScaleMs)] as const,
  );
  const sum = weights.reduce((total, [, weight]) => total + weight, 0);
  return new Map(weights.map(([id, weight]) => [id, weight / sum]));
}

/** The server whose turn it is: that has got the fewest requests compared with its chances, including this one. */
export function nextInTurn(
  chances: ReadonlyMap<string, number>,
  creditOf: (serverId: string) => number,
): string | undefined {
  let best: string | undefined;
  let highest = Number.NEGATIVE_INFINITY;
  for (const [id, chance] of chances) {
    // A server that should hardly get any requests gets none for a credit from before.
    const value = chance < minChance ? chance - 2 : creditOf(id) + chance;
    if (value <= highest) continue;
    best = id;
    highest = value;
  }
  return best;
}

/** A server drawn by the chances. */
export function drawn(chances: ReadonlyMap<string, number>, draw: number): string | undefined {
  let rest = draw;
  let last: string | undefined;
  for (const [id, chance] of chances) {
    if (rest < chance) return id;
    rest -= chance;
    last = id;
  }
  return last;
}
