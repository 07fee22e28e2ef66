/**
 * Decides how long to wait for a server, when to try another one instead, and when no server is worth trying. Handles
 * unresponsive and slow servers without mistaking a busy one for them, and load beyond what can be served in time.
 */
import { isRepeatable, type Route } from "./configuration.ts";
import { callerEventTimeoutMs } from "./requestDeadlines.ts";

/**
 * A request that is safe to retry is sent to another server if there is no response after this multiple of the
 * route's target.
 */
const unresponsiveTargets = 3;
/** The same for the first event of a resumable stream. */
const unresponsiveStreamTargets = 2.5;
/** Shortest time after which a server counts as unresponsive, ms: the longest calls take 220 ms. */
const minUnresponsiveMs = 400;
/** Ratio of the caller's timeout between events after which a stream is resumed on another server. */
const eventGapTimeoutRatio = 0.6;
/**
 * A request is refused immediately if its first byte is expected after this multiple of the caller's remaining time.
 */
const missedDeadlineFactor = 1.5;

/**
 * Whether the request may be sent to another server if `priorRuns` servers may have run it and one more is running it
 * now.
 */
export function mayRetry(route: Route, priorRuns: number): boolean {
  return isRepeatable(route) && priorRuns + 1 < route.maxAttempts;
}

/** What the timeout of a send depends on. */
export interface SendConditions {
  readonly route: Route;
  /** Servers that may have run the request before this send. */
  readonly priorRuns: number;
  /** Time until the caller disconnects without a first byte, ms. */
  readonly timeLeftMs: number;
  /** Expected time until the first byte, ms. */
  readonly expectedFirstByteMs: number;
  /** Whether another server could be tried instead. */
  readonly hasAlternative: boolean;
}

/** Timeout of the first byte, ms: all of the caller's time, unless another server can be tried. */
export function firstByteTimeoutMs({
  route,
  priorRuns,
  timeLeftMs,
  expectedFirstByteMs,
  hasAlternative,
}: SendConditions): number {
  // Without an alternative an unresponsive server isn't given up either, as its work would be lost for nothing.
  if (!hasAlternative || !mayRetry(route, priorRuns)) return timeLeftMs;
  const targets = route.kind === "stream" ? unresponsiveStreamTargets : unresponsiveTargets;
  // A busy server isn't unresponsive: its work on the request would be lost by trying another one.
  const busyMs = 2 * expectedFirstByteMs + route.targetMs;
  return Math.min(timeLeftMs, Math.max(minUnresponsiveMs, targets * route.targetMs, busyMs));
}

/** Timeout between two events of a stream, ms. */
export function eventGapTimeoutMs(route: Route, priorRuns: number): number {
  return callerEventTimeoutMs(route) * (mayRetry(route, priorRuns) ? eventGapTimeoutRatio : 1);
}

/**
 * Whether it is useless to send the request. One that no engine can start before its caller disconnects would only
 * take engine time from requests that can be served.
 */
export function willMissDeadline(expectedFirstByteMs: number, timeLeftMs: number): boolean {
  return expectedFirstByteMs >= timeLeftMs * missedDeadlineFactor;
}
