/**
 * How long a server is given, when another one is asked instead, and when none is worth asking. Answers silent
 * and slow servers without mistaking a busy one for them, and load beyond what can be served in time.
 */
import { isRepeatable, type Route } from "./configuration.ts";
import { gapPatienceMs } from "./requestDeadlines.ts";

/** An answer to a repeatable call that isn't there after this many times the route's target is asked elsewhere. */
const silentTargets = 3;
/** The same for the first event of a stream that may be resumed. */
const silentStreamTargets = 2.5;
/** Shortest time after which a server counts as silent, ms: the longest calls take 220 ms. */
const leastSilentMs = 400;
/** Part of the caller's patience with a pause after which a stream is continued elsewhere. */
const pausePart = 0.6;
/** A request is refused at once if its first byte is expected this many times later than its caller waits. */
const hopelessFactor = 1.5;

/** May the request be sent to another server, if `ran` servers may have run it and one more does now? */
export function mayRepeat(route: Route, ran: number): boolean {
  return isRepeatable(route) && ran + 1 < route.maxAttempts;
}

/** What the time limit of a send is set from. */
export interface SendLimits {
  readonly route: Route;
  /** Servers that may have run the request before this send. */
  readonly priorRuns: number;
  /** Until the caller leaves without a first byte, ms. */
  readonly remainingMs: number;
  /** Until the first byte as expected, ms. */
  readonly expectedFirstByteMs: number;
  /** Another server could be asked instead. */
  readonly hasAlternative: boolean;
}

/** How long the first byte may take, ms: all the caller has, unless another server can be asked. */
export function firstByteTimeoutMs({
  route,
  priorRuns: ran,
  remainingMs: leftMs,
  expectedFirstByteMs: expectedMs,
  hasAlternative: another,
}: SendLimits): number {
  // Nor is a silent server given up where there is no other: its work would be lost for nothing.
  if (!another || !mayRepeat(route, ran)) return leftMs;
  const targets = route.kind === "stream" ? silentStreamTargets : silentTargets;
  // A busy server is not a silent one: what it was sent is work that would be lost by going elsewhere.
  const busyMs = 2 * expectedMs + route.targetMs;
  return Math.min(leftMs, Math.max(leastSilentMs, targets * route.targetMs, busyMs));
}

/** How long a stream may pause, ms. */
export function eventGapTimeoutMs(route: Route, ran: number): number {
  return gapPatienceMs(route) * (mayRepeat(route, ran) ? pausePart : 1);
}

/**
 * Is it no use to send the request at all? One that no engine can start before its caller leaves would only
 * take engine time from those that can be served.
 */
export function willMissDeadline(expectedMs: number, leftMs: number): boolean {
  return expectedMs >= leftMs * hopelessFactor;
}
