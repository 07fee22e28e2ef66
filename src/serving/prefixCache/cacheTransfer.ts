/** Estimates how long an engine takes to fetch cached prompt parts from another one. */
import type { CacheTransfer } from "../configuration.ts";

/** Time to set up a transfer, ms: the request to the other engine and the allocation of memory. */
const setupMs = 5;

/** Expected time until `tokens` are fetched, ms, while no other transfer uses the links. */
export function transferMs({ bytesPerToken, linkMbps }: CacheTransfer, tokens: number): number {
  return setupMs + (tokens * bytesPerToken * 8) / (linkMbps * 1000);
}
