/** Decides which runs are moved off an engine that leaves, and where. */
import type { BackendServer } from "../backendServer.ts";
import {
  engineTwins,
  hasRoomFor,
  leastUsedOfTwo,
  type CopySubject,
  type CopyTargetView,
} from "./copyTargets.ts";
import type { RunSize } from "./runSize.ts";

/** Time reserved for the end of a run before its engine ends, ms: steps get longer while other runs are copied. */
const endMarginMs = 500;

/** Progress of a run. */
export interface RunProgress {
  readonly size: RunSize;
  readonly events: number;
  /** From the first event to the last, ms. */
  readonly eventsMs: number;
  readonly tokensPerEvent: number;
  /** Time of a decoding step on an engine without other work, ms. */
  readonly stepMs: number;
}

/** Expected time until the run ends, ms, at the rate of its events so far. */
export function remainingRunMs({ size, events, eventsMs, tokensPerEvent, stepMs }: RunProgress): number {
  const tokensLeft = Math.max(0, size.outputTokens - events * tokensPerEvent);
  const observedMs = events > 1 ? eventsMs / ((events - 1) * tokensPerEvent) : stepMs;
  return tokensLeft * Math.max(stepMs, observedMs);
}

/** Whether the run would be cut off by the end of its engine in `engineLeftMs`. */
export function outlastsEngine(runMs: number, engineLeftMs: number): boolean {
  return runMs > engineLeftMs - endMarginMs;
}

/** The best engine to continue the run: with room and a free slot, in its zone if there is one, as copies take half the time. */
export function chooseMoveTarget(
  view: CopyTargetView,
  subject: CopySubject,
  candidates: readonly BackendServer[],
): BackendServer | undefined {
  const engines = engineTwins(candidates, subject).filter(
    (server) => view.requestsAt(server) < server.slots && hasRoomFor(view, server, subject.tokens),
  );
  const nearby = engines.filter(({ zone }) => zone === subject.source.zone);
  return leastUsedOfTwo(view, nearby.length > 0 ? nearby : engines);
}
