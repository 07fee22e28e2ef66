/** How long a request may be kept before its caller gives up or its answer is worth nothing. */
import type { Route } from "./configuration.ts";

/** A caller of a stream leaves when nothing came for this long, or longer for slow routes, ms. */
const leastPatienceMs = 2_000;
/** Time for the refusal to reach the caller before it leaves by itself, ms. */
const answerMarginMs = 250;

/** Latest moment for the whole answer and for its first byte, on the node's steady clock, ms. */
export interface RequestDeadlines {
  readonly responseDeadlineMs: number;
  readonly firstByteDeadlineMs: number;
}

/**
 * Patience of a request that arrived at `arrivedMs`. A stream's caller waits for the first event no longer
 * than for any other, however long its deadline is.
 */
export function deadlinesOf(
  route: Route,
  deadlineMs: number | undefined,
  arrivedMs: number,
): RequestDeadlines {
  const whole = Math.min(route.timeoutMs, deadlineMs ?? route.timeoutMs);
  const answerByMs = arrivedMs + whole;
  if (route.kind !== "stream") return { responseDeadlineMs: answerByMs, firstByteDeadlineMs: answerByMs };
  const gap = gapPatienceMs(route) - answerMarginMs;
  return { responseDeadlineMs: answerByMs, firstByteDeadlineMs: arrivedMs + Math.min(whole, gap) };
}

/** How long a stream's caller waits for the next event, ms. */
export function gapPatienceMs(route: Route): number {
  return Math.max(leastPatienceMs, 4 * route.targetMs, 8 * route.pauseMs);
}
