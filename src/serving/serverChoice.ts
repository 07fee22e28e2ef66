/**
 * Selects the backend server for a request: the one with the earliest expected first byte. Handles bursts,
 * servers of uneven speed, and prompts with shared prefixes, which would otherwise be prefilled on every
 * server.
 */
import { hashText, mixHash } from "../common/textHash.ts";
import type { BackendServer } from "./backendServer.ts";
import type { CacheTransfer } from "./configuration.ts";
import type { PromptPart } from "./exchange.ts";
import { prefillTokensPerMs } from "./engineSpeed.ts";
import type { Load } from "./loadTracker.ts";
import { chancesOf, drawn, nextInTurn, weightedCostMs } from "./pace/weightedChoice.ts";
import { transferMs } from "./prefixCache/cacheTransfer.ts";
import type { CachedPrefix, PrefixFetch, ServerView } from "./serverView.ts";

/**
 * Cost of each request in flight at an engine beside the time to first token, ms: every request lengthens the
 * token intervals of all others, so the less loaded engine is worth a later first token.
 */
const concurrentRequestCostMs = 4;
/** Assumed time of one plain call, ms, before any measurement. */
export const plainCallMs = 40;
/** Ratio of the shared prefix that is assumed to be cached on the server preferred by its hash. */
const cachedRatio = 0.9;
/**
 * Ratio of those tokens that a fetch from there is assumed to bring: it may have evicted them, or not have prefilled
 * them yet. Counting on all of them, engines got more prompts than they could start in time.
 */
const fetchedRatio = 0.5;
/**
 * Up to this ratio of its slots in use an engine counts as lightly loaded: its decoding steps are hardly
 * longer.
 */
const lightLoadRatio = 0.5;
/**
 * Penalty of a server in another availability zone, ms: the round trip, and paid traffic. Less than the cost
 * of one request in flight, so that no zone's servers are overloaded beside idle ones.
 */
const otherZonePenaltyMs = 2;
/** Ratio of the prefill time of a shared prefix that keeping it on one server is worth. */
const scatterRatio = 0.5;
/** Expected cost of one failure, ms: waiting for it and sending the request again. */
const failureCostMs = 400;

/** Input of a server choice. */
export interface ChoiceInput extends ServerView {
  readonly candidates: readonly BackendServer[];
  /** Latency that the caller wants, ms; not considered if absent. */
  readonly targetMs?: number | undefined;
  /** The availability zone of this node. */
  readonly zone: string;
  /** Random number from 0 to 1, drawn for each choice: breaks ties between equal servers. */
  readonly randomDraw: number;
  /** Servers that were already sent this request and are not tried again. */
  readonly tried: ReadonlySet<string>;
  readonly promptTokens: number;
  /** Prefill factor of the requested model. */
  readonly prefillFactor: number;
  /** Minimum time to first token without the prefill, ms. */
  readonly overheadMs: number;
  /** Expected wait for a slot of a server with this many requests and slots, ms. */
  readonly slotWaitMs: (requests: number, slots: number) => number;
  readonly prefix: readonly PromptPart[];
  /** Model and adapter: each has its own prefix cache. */
  readonly cacheScope: string;
  /** How engines fetch cached prompt parts from each other; undefined if they can't. */
  readonly cacheTransfer?: CacheTransfer | undefined;
}

/** A server with its expected time to first byte, ms. */
export interface ServerEstimate {
  readonly server: BackendServer;
  readonly expectedMs: number;
  /** Cost by which servers are compared, ms. */
  readonly costMs: number;
  /** Whether servers are chosen by chances that the costs determine, as reports are outdated. */
  readonly isWeighted: boolean;
  /** The chances of the servers among which this one was chosen so, by id. */
  readonly chances?: ReadonlyMap<string, number> | undefined;
  /** The same for a server without failures or slowdown, as a reference for its responses, ms. */
  readonly baselineMs: number;
  /** Expected time to first token without the prefill, from the work queued at the server, ms. */
  readonly queueMs: number;
  /** The speed that was assumed, relative to a typical server. */
  readonly speed: number;
  /** Known requests in flight there. */
  readonly requests: number;
  /**
   * Engine time for the prefill of the part of the prompt that is not expected in its cache, ms; 0 for plain
   * servers.
   */
  readonly prefillMs: number;
  /** No other prefill is in progress there, and at most `lightLoadRatio` of its slots are in use. */
  readonly lightlyLoaded: boolean;
  /** `prefillMs` at prefill factor 1. */
  readonly referencePrefillMs: number;
  /** Leading prompt tokens that are expected to be cached there, after the fetch if there is one. */
  readonly cachedTokens: number;
  /** Whether that is known from the server's events, rather than assumed from its hash. */
  readonly cacheKnown: boolean;
  /** Age of that knowledge, ms. */
  readonly cacheAgeMs?: number | undefined;
  /** Where the server should fetch a part of the prompt from, rather than prefill it. */
  readonly fetch?: PrefixFetch | undefined;
}

/**
 * The best server, or undefined if every candidate was tried. Ejected servers are used only if no others are
 * left.
 */
export function chooseServer(input: ChoiceInput): ServerEstimate | undefined {
  const untried = input.candidates.filter((server) => !input.tried.has(server.id));
  const healthy = untried.filter((server) => !input.health(server.id).ejected);
  const explored = input.tried.size > 0 ? [] : healthy.filter((server) => input.explores?.(server) ?? false);
  const paced = healthy.filter((server) => input.admits?.(server) ?? true);
  const servers = [explored, paced, healthy, untried].find((some) => some.length > 0) ?? [];
  if (servers.length === 0) return undefined;
  const preferred = preferredServers(input, healthy.length > 0 ? healthy : untried);
  const preferredFor = (server: BackendServer): BackendServer | undefined =>
    preferred.get(preferenceScope(input, server));
  const estimates = rotated(servers, input.randomDraw).map((server) =>
    estimateFor(input, server, preferredFor(server)),
  );
  const scatterMs = scatterCostMs(input, estimates);
  const externalCostMs = ({ server, prefillMs }: ServerEstimate): number =>
    (input.crossingMs?.(server) ?? (server.zone === input.zone ? 0 : otherZonePenaltyMs)) +
    (server.engine ? (input.decodingCostMs?.(server, prefillMs) ?? 0) : 0) +
    (server.id === preferredFor(server)?.id ? 0 : scatterMs);
  return estimates.every(({ isWeighted }) => isWeighted)
    ? byChance(input, estimates, externalCostMs)
    : earliest(estimates, externalCostMs);
}

/**
 * Cost of servers other than the preferred one while none is known to have most of the shared prefix, ms: several nodes
 * that receive such prompts at once would have it prefilled on several servers.
 */
function scatterCostMs(input: ChoiceInput, estimates: readonly ServerEstimate[]): number {
  if (input.cached === undefined) return 0;
  const sharedTokens = sharedPrefixTokens(input.prefix);
  if (estimates.some(({ cachedTokens }) => cachedTokens >= sharedTokens / 2)) return 0;
  return scatterRatio * ((sharedTokens / prefillTokensPerMs) * input.prefillFactor);
}

/** The estimate with the earliest first byte, including costs for others; the first one of equals. */
function earliest(
  options: readonly ServerEstimate[],
  externalCostMs: (option: ServerEstimate) => number,
): ServerEstimate | undefined {
  const totalMs = (option: ServerEstimate): number => option.costMs + externalCostMs(option);
  return options.reduce<ServerEstimate | undefined>(
    (best, option) => (best === undefined || totalMs(option) < totalMs(best) ? option : best),
    undefined,
  );
}

/**
 * Starts at a random server. Prevents all nodes from choosing the same of several idle servers: with hundreds
 * of nodes that each had one or two requests and no reports from each other, the first server got four times
 * its share.
 */
function rotated(servers: readonly BackendServer[], draw: number): readonly BackendServer[] {
  const start = Math.floor(draw * servers.length);
  return [...servers.slice(start), ...servers.slice(0, start)];
}

function estimateFor(
  input: ChoiceInput,
  server: BackendServer,
  preferred: BackendServer | undefined,
): ServerEstimate {
  const load = input.load(server.id);
  const health = input.health(server.id);
  const speed = input.speed?.(server) ?? 1;
  const known = input.cached?.(server);
  const cached = expectedCache(input, server, known, preferred);
  const prefill = server.engine ? prefillOf(input, speed, cached) : noPrefill;
  const { prefillMs, fetch } = prefill;
  const queueMs = server.engine ? engineQueueMs(input, server, load) : plainServerMs(server, load) / speed;
  const concurrencyMs = server.engine ? load.requests * concurrentRequestCostMs : 0;
  const baselineMs = queueMs + concurrencyMs + prefillMs;
  const expectedMs = baselineMs * health.slowdown + health.failureShare * failureCostMs;
  const weightedMs = outdatedCostMs(input, server, speed);
  const lightlyLoaded = load.pendingMs === 0 && load.requests <= lightLoadRatio * server.slots;
  const referencePrefillMs = prefillMs / input.prefillFactor;
  const { requests } = load;
  return {
    server,
    expectedMs,
    costMs: weightedMs ?? expectedMs,
    isWeighted: weightedMs !== undefined,
    baselineMs,
    queueMs,
    speed,
    requests,
    prefillMs,
    lightlyLoaded,
    referencePrefillMs,
    cachedTokens: Math.max(cached.tokens, fetch?.tokens ?? 0),
    cacheKnown: known?.tokens !== undefined,
    cacheAgeMs: known?.ageMs,
    fetch,
  };
}

/** What a server is expected to have cached. */
interface ExpectedCache {
  readonly tokens: number;
  readonly fetch?: PrefixFetch | undefined;
}

/** Expected prefill at one server, and where it should fetch a part of the prompt from if that is faster. */
interface Prefill {
  readonly prefillMs: number;
  readonly fetch?: PrefixFetch | undefined;
}

const noPrefill: Prefill = { prefillMs: 0 };

function prefillOf(input: ChoiceInput, speed: number, { tokens, fetch }: ExpectedCache): Prefill {
  const prefillMsWith = (cachedTokens: number): number =>
    ((Math.max(0, input.promptTokens - cachedTokens) / prefillTokensPerMs) * input.prefillFactor) / speed;
  const prefillMs = prefillMsWith(tokens);
  if (fetch === undefined) return { prefillMs };
  const fetchedMs = fetch.transferMs + prefillMsWith(fetch.tokens);
  return fetchedMs < prefillMs ? { prefillMs: fetchedMs, fetch } : { prefillMs };
}

/**
 * What a server has cached as far as it is known. Without knowledge most of the shared part is assumed to be cached at the
 * preferred server, and nothing elsewhere.
 */
function expectedCache(
  input: ChoiceInput,
  server: BackendServer,
  known: CachedPrefix | undefined,
  preferred: BackendServer | undefined,
): ExpectedCache {
  const { prefix, cacheTransfer } = input;
  if (preferred === undefined) return { tokens: known?.tokens ?? 0, fetch: known?.fetch };
  const assumed = sharedPrefixTokens(prefix) * cachedRatio;
  const isPreferred = server.id === preferred.id;
  const tokens = known?.tokens ?? (isPreferred ? assumed : 0);
  if (known?.fetch !== undefined)
    return known.fetch.tokens > tokens ? { tokens, fetch: known.fetch } : { tokens };
  if (isPreferred || cacheTransfer === undefined || tokens >= assumed) return { tokens };
  // What is known of the preferred server's cache replaces the assumption about it as a source, too.
  if (input.cached?.(preferred)?.tokens !== undefined) return { tokens };
  const fetch = {
    source: preferred.address,
    tokens: Math.max(tokens, assumed * fetchedRatio),
    transferMs: transferMs(cacheTransfer, assumed - tokens),
  };
  return { tokens, fetch };
}

function engineQueueMs({ overheadMs, slotWaitMs }: ChoiceInput, server: BackendServer, load: Load): number {
  return overheadMs + load.pendingMs + slotWaitMs(load.requests, server.slots);
}

/** A plain server processes as many requests concurrently as it has slots; the others queue. */
function plainServerMs(server: BackendServer, load: Load): number {
  const waiting = Math.max(0, load.requests + 1 - server.slots);
  // Servers slow down when nearly full, so the less loaded one is preferred.
  return plainCallMs * (1 + waiting / server.slots + (0.5 * load.requests) / server.slots);
}

/** Cost of a plain server if peers' reports are older than its calls; undefined otherwise. */
function outdatedCostMs(input: ChoiceInput, server: BackendServer, speed: number): number | undefined {
  const callMs = server.engine ? undefined : input.outdatedCallMs?.(server);
  if (callMs === undefined) return undefined;
  return weightedCostMs({
    ...{ server, speed, callMs, load: input.load(server.id), targetMs: input.targetMs },
    unexplainedWaitMs: input.unexplainedWaitMs?.(server) ?? 0,
    failureMs: input.health(server.id).failureShare * failureCostMs,
  });
}

/** The server whose turn it is by the costs, or one drawn by them if the view has no turns. */
function byChance(
  input: ChoiceInput,
  options: readonly ServerEstimate[],
  externalCostMs: (option: ServerEstimate) => number,
): ServerEstimate | undefined {
  const chances = chancesOf(
    new Map(options.map((option) => [option.server.id, option.costMs + externalCostMs(option)])),
  );
  const { turn } = input;
  const id = turn === undefined ? drawn(chances, input.randomDraw) : nextInTurn(chances, turn);
  const chosen = options.find(({ server }) => server.id === id);
  return chosen === undefined ? undefined : { ...chosen, chances };
}

/** Tokens of all parts but the last, which belongs to this request or session only. */
export function sharedPrefixTokens(prefix: readonly PromptPart[]): number {
  return prefix.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * The servers that requests with the same shared parts are sent to, by scope: rendezvous (highest random weight)
 * hashing, so that all nodes agree without communication and few prompts move when a server is added or
 * removed.
 */
function preferredServers(
  input: ChoiceInput,
  servers: readonly BackendServer[],
): ReadonlyMap<string, BackendServer> {
  const preferred = new Map<string, BackendServer>();
  if (input.prefix.length < 2) return preferred;
  const parts = input.prefix.slice(0, -1).map((part) => part.id);
  const key = hashText(`${input.cacheScope} ${parts.join(",")} `);
  const highest = new Map<string, number>();
  for (const server of servers) {
    const weight = mixHash(hashText(server.id, key));
    const scope = preferenceScope(input, server);
    if (weight <= (highest.get(scope) ?? -1)) continue;
    highest.set(scope, weight);
    preferred.set(scope, server);
  }
  return preferred;
}

/**
 * The servers among which one is preferred for a prefix: those of a zone if the cost of a crossing is known, as all
 * prompts with the prefix would otherwise cross to one zone; all servers if not.
 */
function preferenceScope({ crossingMs }: ChoiceInput, server: BackendServer): string {
  return crossingMs === undefined ? "" : server.zone;
}
