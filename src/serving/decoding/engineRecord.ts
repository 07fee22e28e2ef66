/** What one node knows of the prefill and the streams at one incarnation of an engine. */
import type { DecodingState } from "./decodingReport.ts";
import { neededIntervalMs } from "./gapProjection.ts";

/** Half-life of observations, ms: servers change their speed within seconds. */
const halfLifeMs = 3_000;
/** Weight of the estimate itself against observations, ms of prefill. */
const priorMs = 150;
/** Limit of one observation, as a ratio of the estimate: a server that stalls says nothing about its speed. */
const maxRatio = 4;
/** An observed gap is remembered for this long, ms; it then shrinks with the others. */
const gapMemoryMs = 3_000;

/**
 * Weights of a shorter and of a longer event interval for the step time: prefill between the steps makes intervals longer,
 * so the estimate follows the fastest tenth.
 */
const fasterWeight = 0.3;
const slowerWeight = 0.03;
/** A step time is known for this long after its last observation, ms. */
const stepMemoryMs = 10_000;

/** Prefill sent at a time, estimated ms. */
interface StartedPrefill {
  readonly atMs: number;
  readonly ms: number;
}

/** Observations and recent work; times are monotonic. */
export class EngineRecord {
  private started: StartedPrefill[] = [];
  private observedMs = 0;
  private estimatedMs = 0;
  private updatedAtMs = 0;
  private step = { ms: 0, atMs: Number.NEGATIVE_INFINITY };
  private gap = { ms: 0, atMs: Number.NEGATIVE_INFINITY };

  /** Prefill was sent there. */
  addStarted(ms: number, nowMs: number, keepMs: number): void {
    this.started = this.started.filter(({ atMs }) => nowMs - atMs <= keepMs);
    if (ms > 0) this.started.push({ atMs: nowMs, ms });
  }

  /** First events came after `observedMs` instead of `estimatedMs` of prefill. */
  observe(observedMs: number, estimatedMs: number, nowMs: number): void {
    const kept = this.keptAt(nowMs);
    this.observedMs = this.observedMs * kept + Math.min(observedMs, maxRatio * estimatedMs);
    this.estimatedMs = this.estimatedMs * kept + estimatedMs;
    this.updatedAtMs = nowMs;
  }

  /** Two events of a stream came this far apart. */
  observeGap(ms: number, nowMs: number): void {
    if (ms >= this.longestGapMs(nowMs)) this.gap = { ms, atMs: nowMs };
  }

  /** A step took at most this long. */
  observeStep(ms: number, nowMs: number): void {
    const known = this.stepMs(nowMs);
    const weight = known === undefined ? 1 : ms < known ? fasterWeight : slowerWeight;
    this.step = { ms: (known ?? 0) + weight * (ms - (known ?? 0)), atMs: nowMs };
  }

  /** Duration of a decoding step without prefill, ms; undefined if it wasn't observed lately. */
  stepMs(nowMs: number): number | undefined {
    return nowMs - this.step.atMs <= stepMemoryMs ? this.step.ms : undefined;
  }

  startedSince(sinceMs: number): number {
    return this.started.reduce((sum, { atMs, ms }) => (atMs >= sinceMs ? sum + ms : sum), 0);
  }

  /** Ratio of real to estimated prefill time; returns to 1 without observations. */
  ratio(nowMs: number): number {
    const kept = this.keptAt(nowMs);
    return (this.observedMs * kept + priorMs) / (this.estimatedMs * kept + priorMs);
  }

  longestGapMs(nowMs: number): number {
    const ageMs = nowMs - this.gap.atMs;
    return ageMs <= gapMemoryMs ? this.gap.ms : this.gap.ms * 2 ** (-(ageMs - gapMemoryMs) / halfLifeMs);
  }

  private keptAt(nowMs: number): number {
    return 2 ** (-Math.max(0, nowMs - this.updatedAtMs) / halfLifeMs);
  }
}

/** A stream with a gap limit. */
export interface RunningStream {
  readonly gapLimitMs: number;
  /** Monotonic time, ms. */
  readonly deadlineMs: number;
  /** Events still expected; at least one until it ends. */
  eventsLeft: number;
}

/** Prompts and streams of this node at one engine. */
export class OwnWork {
  /** Pending prefill by rank, estimated ms. */
  readonly pendingByRank: number[] = [];
  /** Prefill sent there so far, estimated ms, and when the last was sent. */
  startedTotalMs = 0;
  startedAtMs = Number.NEGATIVE_INFINITY;
  /** Running streams with a gap limit. */
  readonly streams = new Set<RunningStream>();

  addStarted(ms: number, nowMs: number): void {
    this.startedTotalMs += ms;
    this.startedAtMs = nowMs;
  }

  addPending(rank: number, ms: number): void {
    for (let lower = this.pendingByRank.length; lower <= rank; lower += 1) this.pendingByRank.push(0);
    this.pendingByRank[rank] = Math.max(0, (this.pendingByRank[rank] ?? 0) + ms);
  }

  stateAt(nowMs: number): DecodingState {
    const { pendingByRank } = this;
    const needed = [...this.streams].map(({ gapLimitMs, deadlineMs, eventsLeft }) =>
      neededIntervalMs(gapLimitMs, deadlineMs - nowMs, eventsLeft),
    );
    const intervalMs = needed.length === 0 ? 0 : Math.min(...needed);
    return { intervalMs, pendingByRank };
  }
}
