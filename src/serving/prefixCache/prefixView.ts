/** What is known of the servers' caches for one prompt, as the server choice sees it. */
import { hashText, mixHash } from "../../common/textHash.ts";
import type { BackendServer } from "../backendServer.ts";
import type { CacheTransfer } from "../configuration.ts";
import type { CachedPrefix, PrefixFetch } from "../serverView.ts";
import type { CacheKnowledge, KnownPrefix } from "./cacheKnowledge.ts";
import { transferMs } from "./cacheTransfer.ts";
import type { KeyedPart } from "./partKey.ts";

/** Sources with at least this ratio of the most that any source has count as equal: the nearest of them is used. */
const equalSourceRatio = 0.95;
/** If at least this ratio of the shared prefix is known to be cached, it doesn't matter what else is. */
const sufficientRatio = 0.9;

/** Options of `createPrefixView`. */
export interface PrefixViewOptions {
  readonly knowledge: Pick<CacheKnowledge, "lookup">;
  /** The parts of the prompt. */
  readonly parts: readonly KeyedPart[];
  readonly promptTokens: number;
  /** Servers that others can fetch from: not leaving, not ejected, reachable. Called only if a prompt has shared parts. */
  readonly sources: () => readonly BackendServer[];
  readonly transfer: CacheTransfer | undefined;
  readonly nowMs: number;
}

/** A server that is known to have a part of the prompt. */
interface Source {
  readonly server: BackendServer;
  readonly tokens: number;
}

/** Returns what a server is known to have cached, and where it should fetch more; computed once for each server. */
export function createPrefixView(options: PrefixViewOptions): (server: BackendServer) => CachedPrefix {
  const { knowledge, parts, promptTokens, transfer, nowMs } = options;
  const lookups = new Map<string, KnownPrefix | undefined>();
  const lookup = (server: BackendServer): KnownPrefix | undefined => {
    if (!lookups.has(server.id)) lookups.set(server.id, knowledge.lookup(server, parts, nowMs));
    return lookups.get(server.id);
  };
  const sharedTokens = parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0);
  let sources: readonly Source[] | undefined;
  const results = new Map<string, CachedPrefix>();
  const cachedAt = (server: BackendServer): CachedPrefix => {
    const known = lookup(server);
    const isSufficient = known !== undefined && known.tokens >= sufficientRatio * sharedTokens;
    const isKnown = known !== undefined && (known.complete || isSufficient);
    const tokens = isKnown ? Math.min(promptTokens, known.tokens) : undefined;
    const ageMs = isKnown ? known.ageMs : undefined;
    if (transfer === undefined) return { tokens, ageMs };
    sources ??= options
      .sources()
      .map((source) => ({ server: source, tokens: lookup(source)?.fetchableTokens ?? 0 }))
      .filter((source) => source.tokens > 0);
    return {
      tokens,
      ageMs,
      fetch: fetchFrom(sources, server, Math.min(promptTokens, known?.tokens ?? 0), transfer),
    };
  };
  return (server) => {
    // A choice asks for the preferred server once for each candidate.
    const result = results.get(server.id) ?? cachedAt(server);
    results.set(server.id, result);
    return result;
  };
}

/** The nearest server that has the most beyond `tokens`; several receivers are spread over equal ones. */
function fetchFrom(
  sources: readonly Source[],
  receiver: BackendServer,
  tokens: number,
  transfer: CacheTransfer,
): PrefixFetch | undefined {
  const useful = sources.filter((source) => source.server.id !== receiver.id && source.tokens > tokens);
  if (useful.length === 0) return undefined;
  const most = Math.max(...useful.map((source) => source.tokens));
  const equal = useful.filter((source) => source.tokens >= equalSourceRatio * most);
  const near = equal.filter(({ server }) => server.zone === receiver.zone);
  const weight = ({ server }: Source): number => mixHash(hashText(server.id, hashText(`${receiver.id} `)));
  const [source] = (near.length > 0 ? near : equal).sort((a, b) => weight(a) - weight(b));
  if (source === undefined) return undefined;
  return {
    source: source.server.address,
    tokens: source.tokens,
    transferMs: transferMs(transfer, source.tokens - tokens),
  };
}
