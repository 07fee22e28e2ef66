/**
 * Estimates the cost of sending a request to a server of another availability zone. Hosts have links of 7 to 140 Mbit/s
 * and traffic between zones is paid by the byte, so a request with a long prompt should leave its zone only for a clearly
 * earlier response, while a short one may leave it for little.
 */

/** The request and the host's link. */
export interface Crossing {
  /** Bandwidth of the host's link, Mbit/s. */
  readonly linkMbps: number;
  /** Size of the request and of the expected response, bytes. */
  readonly bytes: number;
  /** Requests in flight at servers that this host sent. */
  readonly requests: number;
  /** Time within which the caller wants the response or its first event, ms. */
  readonly targetMs: number;
}

/** Minimum cost, ms: the round trip between zones. */
const minCostMs = 2;
/** The cost is at most this ratio of the caller's target, so that no request is late for the sake of its zone. */
const maxTargetRatio = 0.1;

/**
 * The cost in ms: the time for which the bytes occupy the host's link, times the number of requests that share the link,
 * as each of them is delayed by that time.
 */
export function crossingCostMs({ linkMbps, bytes, requests, targetMs }: Crossing): number {
  const transferMs = (bytes * 8) / (linkMbps * 1000);
  return Math.max(minCostMs, Math.min(maxTargetRatio * targetMs, transferMs * (1 + requests)));
}
