/** Summaries of load runs: attainment per accelerator, moves, token times; as JSON and as a table. */
import * as hdr from "hdr-histogram-js";
import type { LoadRun } from "./loadBench.ts";

/** Percentiles of a set of times, in ms. */
export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Summary of one run. */
export interface LoadSummary {
  readonly scenario: string;
  readonly policy: string;
  readonly moveWeight: number;
  readonly requests: number;
  /** Fraction of all requests with a complete response within their deadline. */
  readonly attainment: number;
  readonly attainmentPerAccelerator: number;
  /** Requests without status 200: error responses (4xx, 5xx) and lost connections. */
  readonly refused: number;
  readonly refusedBy: Readonly<Record<string, number>>;
  /** Requests with status 200 whose response was late or incomplete. */
  readonly late: number;
  readonly loads: number;
  readonly unloads: number;
  readonly moves: number;
  readonly firstTokenMs: Percentiles;
  readonly betweenTokensMs: Percentiles;
  /** Time until a rejection reached its caller. */
  readonly refusalMs: Percentiles;
  /** Lowest attainment of any customer. */
  readonly worstCustomer: number;
  readonly cpuShare: number;
  readonly rssMb: number;
  readonly controlBytesPerSecond: number;
}

/** Summarizes one run. */
export function summaryOf(run: LoadRun): LoadSummary {
  const { outcomes, options } = run;
  const inTime = (o: LoadRun["outcomes"][number]): boolean =>
    o.complete && o.totalMs <= o.arrival.kind.deadlineMs;
  const met = outcomes.filter(inTime).length;
  const refused = outcomes.filter((o) => o.status !== 200);
  const attainment = met / Math.max(1, outcomes.length);
  const customers = [...new Set(outcomes.map((o) => o.arrival.customer))].map((customer) => {
    const own = outcomes.filter((o) => o.arrival.customer === customer);
    return own.filter(inTime).length / own.length;
  });
  return {
    scenario: options.scenario,
    policy: options.policy,
    moveWeight: options.moveWeight,
    requests: outcomes.length,
    attainment: round(attainment, 4),
    attainmentPerAccelerator: round(attainment / run.accelerators, 5),
    refused: refused.length,
    refusedBy: Object.fromEntries(
      [...new Set(refused.map((o) => o.refusal ?? "broken"))].map((kind) => [
        kind,
        refused.filter((o) => o.refusal === kind).length,
      ]),
    ),
    late: outcomes.length - met - refused.length,
    loads: run.loads,
    unloads: run.unloads,
    moves: run.loads + run.unloads,
    firstTokenMs: percentiles(
      outcomes.flatMap((o) => (o.complete && o.firstMs !== undefined ? [o.firstMs] : [])),
    ),
    betweenTokensMs: percentiles(outcomes.flatMap((o) => o.gapsMs)),
    refusalMs: percentiles(refused.map((o) => o.totalMs)),
    worstCustomer: round(Math.min(1, ...customers), 4),
    cpuShare: round(run.cpuShare, 3),
    rssMb: round(run.rssMb, 0),
    controlBytesPerSecond: round(run.controlBytesPerSecond, 0),
  };
}

/** Formats summaries as a text table. */
export function tableOf(summaries: readonly LoadSummary[]): string {
  const header =
    "scenario policy moveWeight | attainment per-accelerator refused late | loads unloads | TTFT p50/p95/p99 TBT p50/p95/p99 refusal p99 | worst-customer cpu control-B/s";
  const rows = summaries.map((s) =>
    [
      `${s.scenario} ${s.policy} ${s.moveWeight} |`,
      `${s.attainment} ${s.attainmentPerAccelerator} ${s.refused} ${s.late} | ${JSON.stringify(s.refusedBy)}`,
      `${s.loads} ${s.unloads} |`,
      `${slashed(s.firstTokenMs)} ${slashed(s.betweenTokensMs)} ${s.refusalMs.p99} |`,
      `${s.worstCustomer} ${s.cpuShare} ${s.controlBytesPerSecond}`,
    ].join(" "),
  );
  return [header, ...rows].join("\n");
}

function percentiles(values: readonly number[]): Percentiles {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000 });
  for (const value of values) histogram.recordValue(Math.max(1, Math.round(value * 1000)));
  const at = (percentile: number): number =>
    values.length === 0 ? 0 : round(histogram.getValueAtPercentile(percentile) / 1000, 1);
  return { p50: at(50), p95: at(95), p99: at(99) };
}

function slashed(p: Percentiles): string {
  return `${p.p50}/${p.p95}/${p.p99}`;
}

function round(value: number, digits: number): number {
  const scale = 10 ** digits;
  return Math.round(value * scale) / scale;
}
