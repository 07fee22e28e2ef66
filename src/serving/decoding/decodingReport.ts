/** What a node tells its peers about the prompts and streams that it has at engines, in a few numbers per engine. */
import * as Schema from "effect/Schema";

/** Engines rank requests from 0 to this. */
export const maxRank = 9;

/**
 * By incarnation of an engine, without trailing zeros: estimated prefill of all prompts sent there so far, ms; observed and
 * estimated time of the first events since the last report, ms; longest event gap since then, ms; duration of a decoding
 * step if newly observed, 0.1 ms; mean event interval that the running streams need, ms (0 if none run); pending prefill by
 * rank from 0, ms. The first one is a total, so that a lost report is made up for by the next one.
 */
export const DecodingReport = Schema.Record(Schema.String, Schema.Array(Schema.Number));
/** A decoded report. */
export type DecodingReport = typeof DecodingReport.Type;

/** One engine's entry of a report. */
export interface DecodingEntry {
  readonly startedTotalMs: number;
  readonly observedMs: number;
  readonly estimatedMs: number;
  readonly longestGapMs: number;
  /** 0 if not newly observed. */
  readonly stepMs: number;
  readonly state: DecodingState;
}

/** The part of an entry that stays valid until the next one. */
export interface DecodingState {
  /** 0 if no stream with a gap limit runs there. */
  readonly intervalMs: number;
  readonly pendingByRank: readonly number[];
}

/** Nothing running or pending. */
export const idleState: DecodingState = { intervalMs: 0, pendingByRank: [] };

/** The numbers of an entry, rounded to ms; negative or invalid ones count as 0. */
export function encodeEntry(entry: DecodingEntry): readonly number[] {
  const { startedTotalMs, observedMs, estimatedMs, longestGapMs, stepMs } = entry;
  const numbers = [
    startedTotalMs,
    observedMs,
    estimatedMs,
    longestGapMs,
    stepMs * 10,
    ...encodeState(entry.state),
  ];
  return withoutTrailingZeros(numbers.map((ms) => Math.max(0, Math.round(ms))));
}

/** Reads the numbers of an entry; missing ones are 0. */
export function decodeEntry(numbers: readonly number[]): DecodingEntry {
  const valid = numbers.map((ms) => (Number.isFinite(ms) ? Math.max(0, ms) : 0));
  const [startedTotalMs = 0, observedMs = 0, estimatedMs = 0, longestGapMs = 0, steps = 0] = valid;
  const [intervalMs = 0, ...pendingByRank] = valid.slice(5);
  const state = { intervalMs, pendingByRank };
  return { startedTotalMs, observedMs, estimatedMs, longestGapMs, stepMs: steps / 10, state };
}

/** Text that is equal for equal states. */
export function stateKey(state: DecodingState): string {
  return withoutTrailingZeros(encodeState(state).map(Math.round)).join(" ");
}

function encodeState({ intervalMs, pendingByRank }: DecodingState): number[] {
  return [intervalMs, ...pendingByRank];
}

function withoutTrailingZeros(numbers: readonly number[]): readonly number[] {
  return numbers.slice(0, numbers.findLastIndex((ms) => ms > 0) + 1);
}

/** What a node observed at an engine since its last report. */
export interface Increments {
  observedMs: number;
  estimatedMs: number;
  longestGapMs: number;
  stepMs: number;
}

/** Nothing was observed. */
export const noIncrements: Increments = { observedMs: 0, estimatedMs: 0, longestGapMs: 0, stepMs: 0 };
