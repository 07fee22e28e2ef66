/** Computes how long a request may be kept before its caller gives up or the response is worthless. */
import type { Route } from "./configuration.ts";

/** The caller of a stream disconnects if it receives nothing for this long, or longer on slow routes, ms. */
const minEventTimeoutMs = 2_000;
/** Time for the refusal to reach the caller before it disconnects, ms. */
const refusalMarginMs = 250;

/** Latest time of the complete response and of its first byte, on the monotonic clock of the node, ms. */
export interface RequestDeadlines {
  readonly responseDeadlineMs: number;
  readonly firstByteDeadlineMs: number;
}

/**
 * Deadlines of a request that arrived at `arrivedMs`. The caller of a stream waits for the first event no longer than
 * for any other, however late its deadline is.
 */
export function deadlinesOf(
  route: Route,
  deadlineMs: number | undefined,
  arrivedMs: number,
): RequestDeadlines {
  const responseTimeoutMs = Math.min(route.timeoutMs, deadlineMs ?? route.timeoutMs);
  const responseDeadlineMs = arrivedMs + responseTimeoutMs;
  if (route.kind !== "stream") return { responseDeadlineMs, firstByteDeadlineMs: responseDeadlineMs };
  const firstEventTimeoutMs = callerEventTimeoutMs(route) - refusalMarginMs;
  return {
    responseDeadlineMs,
    firstByteDeadlineMs: arrivedMs + Math.min(responseTimeoutMs, firstEventTimeoutMs),
  };
}

/** How long the caller of a stream waits for the next event, ms. */
export function callerEventTimeoutMs(route: Route): number {
  return Math.max(minEventTimeoutMs, 4 * route.targetMs, 8 * route.pauseMs);
}
