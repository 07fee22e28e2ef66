/** Hashed identities of prompt parts, as sent between nodes. */
import { hashText, mixHash } from "../../common/textHash.ts";
import type { Service } from "../configuration.ts";
import type { PromptPart, RequestMetadata } from "../exchange.ts";

/**
 * Smaller parts are left out of events, messages and state: their prefill takes less than 10 ms, and there are many.
 */
export const minPartTokens = 256;

/**
 * 32 bits per part and model. With the at most 400 parts that are published of an engine, one lookup in ten million finds
 * another part by mistake; the engine then prefills what it lacks.
 */
export function partKey(model: string, partId: string): number {
  return mixHash(hashText(partId, hashText(`${model} `)));
}

/** A part of a request's prompt with its key. */
export interface KeyedPart {
  readonly key: number;
  readonly tokens: number;
}

/** The parts of a prompt, in order. */
export function keyedParts(model: string, prefix: readonly PromptPart[]): KeyedPart[] {
  return prefix.map(({ id, tokens }) => ({ key: partKey(model, id), tokens }));
}

/**
 * The parts of a request's prompt if the caches of its servers are tracked. Events state the model and not the adapter, and
 * each adapter has its own cache, so what is cached for a request with an adapter is unknown.
 */
export function trackedParts(
  { engine }: Service,
  { model, adapter, prefix }: Pick<RequestMetadata, "model" | "adapter" | "prefix">,
): KeyedPart[] | undefined {
  if (engine?.maxCacheReaders === undefined || model === undefined || adapter !== undefined) return undefined;
  return prefix.length === 0 ? undefined : keyedParts(model, prefix);
}

/**
 * Leading tokens of the prompt that are cached, given the cached tokens of each part: a part counts only if all before it
 * are cached completely. Parts too small to be tracked count with the part that follows them.
 */
export function leadingTokens(parts: readonly KeyedPart[], cachedTokens: (key: number) => number): number {
  let total = 0;
  let untracked = 0;
  for (const { key, tokens } of parts) {
    if (tokens < minPartTokens) {
      untracked += tokens;
      continue;
    }
    const cached = Math.min(tokens, cachedTokens(key));
    if (cached === 0) return total;
    total += untracked + cached;
    untracked = 0;
    if (cached < tokens) return total;
  }
  return total;
}
