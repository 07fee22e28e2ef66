/**
 * Chooses the backend server for a request: the one whose first byte is expected soonest. Answers bursts,
 * uneven servers and prompts with shared parts, where every server would read every prefix again.
 */
import { hashText, mixHash } from "../common/textHash.ts";
import type { BackendServer } from "./backendServer.ts";
import type { PromptPart } from "./exchange.ts";
import { prefillTokensPerMs } from "./engineSpeed.ts";
import type { Load } from "./loadTracker.ts";
import type { Health } from "./outlierDetector.ts";

/**
 * What a request in flight at an engine counts for beside the first token of the next, ms: each one makes the pauses
 * of all others longer, so of two engines the emptier one is worth a later first token.
 */
const engineRequestMs = 4;
/** Work of one plain call, ms, before anything was measured. */
export const plainCallMs = 40;
/** Part of the shared prompt taken as cached on the server that its hash prefers. */
const cachedShare = 0.9;
/** Up to this part of its slots in use an engine counts as quiet: its steps are hardly longer. */
const quietPart = 0.5;
/**
 * What a server in another availability zone counts for more, ms: the way there and back, and bytes that are paid for.
 * Less than one request in flight, so that no zone's servers are crowded beside idle ones.
 */
const otherZoneMs = 2;
/** What one failure costs in expectation, ms: sending again and waiting for it. */
const failureMs = 400;

/** What decides between servers. */
export interface Choice {
  readonly candidates: readonly BackendServer[];
  /** The availability zone of this node. */
  readonly zone: string;
  /** Drawn anew for each choice, from 0 to 1: decides between equal servers. */
  readonly randomDraw: number;
  /** Servers that already had this request and are not asked again. */
  readonly tried: ReadonlySet<string>;
  readonly promptTokens: number;
  /** Pace of the model asked for. */
  readonly prefillFactor: number;
  /** Least time to a first token beside the reading of the prompt, ms. */
  readonly overheadMs: number;
  /** Until a request gets a slot of a server with so many requests and slots, ms. */
  readonly slotWaitMs: (requests: number, slots: number) => number;
  readonly prefix: readonly PromptPart[];
  /** Model and adapter: caches are kept for each on its own. */
  readonly cacheScope: string;
  readonly load: (serverId: string) => Load;
  readonly health: (serverId: string) => Health;
}

/** A server, and the time to its first byte expected of it, ms. */
export interface ServerEstimate {
  readonly server: BackendServer;
  readonly expectedMs: number;
  /** The same of a server in full health, which its answers are measured by, ms. */
  readonly baselineMs: number;
  /** Until the first token of a request that needs no reading, by what is ahead of it at the server, ms. */
  readonly queueMs: number;
  /** Requests in flight there, as far as is known. */
  readonly requests: number;
  /** Engine time of reading what isn't expected in its cache, ms; 0 at plain servers. */
  readonly prefillMs: number;
  /** No other prompt is being read there, and there are slots to spare. */
  readonly lightlyLoaded: boolean;
  /** Reading what isn't expected in its cache at pace 1, ms. */
  readonly referencePrefillMs: number;
}

/** The best server, or undefined if every candidate was tried. Ejected ones only if nothing else is left. */
export function chooseServer(choice: Choice): ServerEstimate | undefined {
  const fresh = choice.candidates.filter((server) => !choice.tried.has(server.id));
  const sound = fresh.filter((server) => !choice.health(server.id).ejected);
  const servers = sound.length > 0 ? sound : fresh;
  if (servers.length === 0) return undefined;
  const home = cacheHome(choice, servers);
  return soonest(
    rotated(servers, choice.randomDraw).map((server) => expectation(choice, server, server.id === home)),
    choice.zone,
  );
}

/** The option whose first byte comes soonest, ways between zones included; of equal ones the first. */
function soonest(options: readonly ServerEstimate[], zone: string): ServerEstimate | undefined {
  const costMs = ({ server, expectedMs }: ServerEstimate): number =>
    expectedMs + (server.zone === zone ? 0 : otherZoneMs);
  return options.reduce<ServerEstimate | undefined>(
    (best, option) => (best === undefined || costMs(option) < costMs(best) ? option : best),
    undefined,
  );
}

/**
 * From a drawn one on. Guards "all nodes choose the same of several idle servers": hundreds of nodes that each had a
 * request or two, and heard nothing of each other, sent four times its share to the first one.
 */
function rotated(servers: readonly BackendServer[], draw: number): readonly BackendServer[] {
  const start = Math.floor(draw * servers.length);
  return [...servers.slice(start), ...servers.slice(0, start)];
}

function expectation(choice: Choice, server: BackendServer, isHome: boolean): ServerEstimate {
  const load = choice.load(server.id);
  const health = choice.health(server.id);
  const workMs = server.engine ? readingMs(choice, isHome) : 0;
  const queueMs = server.engine ? engineQueueMs(choice, server, load) : plainMs(server, load);
  const crowdMs = server.engine ? load.requests * engineRequestMs : 0;
  const healthyMs = queueMs + crowdMs + workMs;
  const expectedMs = healthyMs * health.slowdown + health.failureShare * failureMs;
  const quiet = load.pendingMs === 0 && load.requests <= quietPart * server.slots;
  const referenceMs = workMs / choice.prefillFactor;
  const { requests } = load;
  return {
    server,
    expectedMs,
    baselineMs: healthyMs,
    queueMs,
    requests,
    prefillMs: workMs,
    lightlyLoaded: quiet,
    referencePrefillMs: referenceMs,
  };
}

function readingMs(choice: Choice, isHome: boolean): number {
  const cached = isHome ? sharedPrefixTokens(choice.prefix) * cachedShare : 0;
  return (Math.max(0, choice.promptTokens - cached) / prefillTokensPerMs) * choice.prefillFactor;
}

function engineQueueMs({ overheadMs, slotWaitMs }: Choice, server: BackendServer, load: Load): number {
  return overheadMs + load.pendingMs + slotWaitMs(load.requests, server.slots);
}

/** Up to its slots a plain server works on requests at once; what is beyond them waits in line. */
function plainMs(server: BackendServer, load: Load): number {
  const waiting = Math.max(0, load.requests + 1 - server.slots);
  // Servers slow down when they are nearly full, so the emptier one goes first.
  return plainCallMs * (1 + waiting / server.slots + (0.5 * load.requests) / server.slots);
}

/** All but the last part, which belongs to the request or its session alone. */
export function sharedPrefixTokens(prefix: readonly PromptPart[]): number {
  return prefix.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * The server at which requests with the same shared parts meet: highest random weight, so that all nodes
 * agree without talking and few prompts move when a server comes or goes.
 */
function cacheHome(choice: Choice, servers: readonly BackendServer[]): string | undefined {
  if (choice.prefix.length < 2) return undefined;
  const parts = choice.prefix.slice(0, -1).map((part) => part.id);
  const key = hashText(`${choice.cacheScope} ${parts.join(",")} `);
  let home: string | undefined;
  let highest = -1;
  for (const server of servers) {
    const weight = mixHash(hashText(server.id, key));
    if (weight <= highest) continue;
    highest = weight;
    home = server.id;
  }
  return home;
}
