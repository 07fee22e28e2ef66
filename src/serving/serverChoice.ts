/**
 * Chooses the backend server for a request: the one whose first byte is expected soonest. Answers bursts,
 * uneven servers and prompts with shared parts, where every server would read every prefix again.
 */
import type { BackendServer } from "./backendServer.ts";
import type { PromptPart } from "./exchange.ts";
import type { Load } from "./loadBoard.ts";
import type { Health } from "./outliers.ts";
import { hashFraction } from "./routeTable.ts";

/** Prompt tokens an engine reads per ms; slower engines show in their slowdown. */
export const prefillTokensPerMs = 38.7;
/** What each request in flight adds to the first token of the next, ms: a share of one decoding step. */
const engineRequestMs = 4;
/** The first decoding step, ms. */
const firstTokenMs = 6;
/** Work of one plain call, ms, before anything was measured. */
export const plainCallMs = 40;
/** Part of the shared prompt taken as cached on the server that its hash prefers. */
const cachedShare = 0.9;
/** Up to so many requests in flight an engine counts as quiet. */
const quietRequests = 4;
/** What one failure costs in expectation, ms: sending again and waiting for it. */
const failureMs = 400;

/** What decides between servers. */
export interface Choice {
  readonly candidates: readonly BackendServer[];
  /** Servers that already had this request and are not asked again. */
  readonly tried: ReadonlySet<string>;
  readonly promptTokens: number;
  /** Pace of the model asked for. */
  readonly pace: number;
  readonly prefix: readonly PromptPart[];
  /** Model and adapter: caches are kept for each on its own. */
  readonly cacheScope: string;
  readonly load: (serverId: string) => Load;
  readonly health: (serverId: string) => Health;
}

/** A server, and the time to its first byte expected of it, ms. */
export interface Chosen {
  readonly server: BackendServer;
  readonly expectedMs: number;
  /** The same of a server in full health, which its answers are measured by, ms. */
  readonly healthyMs: number;
  /** The part of the expected time that is due to what is ahead of the request there, ms. */
  readonly queueMs: number;
  /** Engine time of reading what isn't expected in its cache, ms; 0 at plain servers. */
  readonly workMs: number;
  /** No other prompt is being read there, and few answers are being made. */
  readonly quiet: boolean;
  /** The time to the first token of a model at pace 1 that has the engine to itself, ms. */
  readonly referenceMs: number;
}

/** The best server, or undefined if every candidate was tried. Ejected ones only if nothing else is left. */
export function chooseServer(choice: Choice): Chosen | undefined {
  const fresh = choice.candidates.filter((server) => !choice.tried.has(server.id));
  const sound = fresh.filter((server) => !choice.health(server.id).ejected);
  const servers = sound.length > 0 ? sound : fresh;
  if (servers.length === 0) return undefined;
  const home = cacheHome(choice, servers);
  let best: Chosen | undefined;
  for (const server of servers) {
    const option = expectation(choice, server, server.id === home);
    if (best === undefined || option.expectedMs < best.expectedMs) best = option;
  }
  return best;
}

function expectation(choice: Choice, server: BackendServer, isHome: boolean): Chosen {
  const load = choice.load(server.id);
  const health = choice.health(server.id);
  const workMs = server.engine ? readingMs(choice, isHome) : 0;
  const aheadMs = server.engine ? load.pendingMs + engineBaseMs(load, choice.pace) : plainMs(server, load);
  const healthyMs = aheadMs + workMs;
  const queueMs = aheadMs;
  const expectedMs = healthyMs * health.slowdown + health.failureShare * failureMs;
  const quiet = load.pendingMs === 0 && load.requests <= quietRequests;
  const referenceMs = firstTokenMs + workMs / choice.pace;
  return { server, expectedMs, healthyMs, queueMs, workMs, quiet, referenceMs };
}

function readingMs(choice: Choice, isHome: boolean): number {
  const cached = isHome ? sharedTokens(choice.prefix) * cachedShare : 0;
  return (Math.max(0, choice.promptTokens - cached) / prefillTokensPerMs) * choice.pace;
}

function engineBaseMs(load: Load, pace: number): number {
  return (firstTokenMs + load.requests * engineRequestMs) * pace;
}

/** Up to its slots a plain server works on requests at once; what is beyond them waits in line. */
function plainMs(server: BackendServer, load: Load): number {
  const waiting = Math.max(0, load.requests + 1 - server.slots);
  // Servers slow down when they are nearly full, so the emptier one goes first.
  return plainCallMs * (1 + waiting / server.slots + (0.5 * load.requests) / server.slots);
}

/** All but the last part, which belongs to the request or its session alone. */
export function sharedTokens(prefix: readonly PromptPart[]): number {
  return prefix.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * The server at which requests with the same shared parts meet: highest random weight, so that all nodes
 * agree without talking and few prompts move when a server comes or goes.
 */
function cacheHome(choice: Choice, servers: readonly BackendServer[]): string | undefined {
  if (choice.prefix.length < 2) return undefined;
  const parts = choice.prefix.slice(0, -1).map((part) => part.id);
  const key = `${choice.cacheScope} ${parts.join(",")}`;
  let home: string | undefined;
  let highest = -1;
  for (const server of servers) {
    const weight = hashFraction(`${key} ${server.id}`);
    if (weight <= highest) continue;
    highest = weight;
    home = server.id;
  }
  return home;
}
