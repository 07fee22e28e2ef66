/** What a node observed of servers since its last load message, as sent to its peers. */
import * as Schema from "effect/Schema";

/**
 * By incarnation: number of responses, geometric mean of their observed over expected time (of plain servers the time of
 * a call, ms), number of failures.
 */
export const AnswerReport = Schema.Record(
  Schema.String,
  Schema.Tuple([Schema.Number, Schema.Number, Schema.Number]),
);
/** A decoded report. */
export type AnswerReport = typeof AnswerReport.Type;

interface Sums {
  count: number;
  logSum: number;
  failures: number;
}

/** Collects a node's own observations until they are sent. */
export class AnswerCollector {
  private sums = new Map<string, Sums>();

  /** Adds the logarithm of an observed time. */
  addAnswer(incarnation: string, logValue: number): void {
    const sums = this.sumsOf(incarnation);
    sums.count += 1;
    sums.logSum += logValue;
  }

  addFailure(incarnation: string): void {
    this.sumsOf(incarnation).failures += 1;
  }

  /** The observations since the last call; undefined if there are none. */
  take(): AnswerReport | undefined {
    if (this.sums.size === 0) return undefined;
    const report = [...this.sums].map(([incarnation, { count, logSum, failures }]) => {
      const value = count === 0 ? 1 : Math.exp(logSum / count);
      return [incarnation, [count, Number(value.toPrecision(3)), failures]] as const;
    });
    this.sums = new Map();
    return Object.fromEntries(report);
  }

  private sumsOf(incarnation: string): Sums {
    const known = this.sums.get(incarnation);
    if (known !== undefined) return known;
    const sums = { count: 0, logSum: 0, failures: 0 };
    this.sums.set(incarnation, sums);
    return sums;
  }
}
