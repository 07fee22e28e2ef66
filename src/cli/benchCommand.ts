/** `parsleynotch bench control|plan|path|load`: runs benchmarks on loopback and writes JSON reports. */
import * as fs from "node:fs/promises";
import * as commander from "commander";
import * as Schema from "effect/Schema";
import { runControlBench, type BenchPoint } from "../bench/controlBench.ts";
import { runLoad, type LoadRunOptions } from "../bench/loadBench.ts";
import { summaryOf, tableOf, type LoadSummary } from "../bench/loadReport.ts";
import { runPathBench } from "../bench/pathBench.ts";
import { runPlanBench, type PoolSize } from "../bench/planBench.ts";
import { policies, type PolicyName } from "../bench/policies.ts";
import { scenarios, type ScenarioName } from "../bench/scenarios.ts";
import { Failure } from "../common/errors.ts";
import { checkSettings, CountSetting } from "./settings.ts";

const defaultPoints: readonly BenchPoint[] = [
  { engines: 4, entries: 2, changesPerSecond: 0 },
  { engines: 16, entries: 2, changesPerSecond: 0 },
  { engines: 64, entries: 2, changesPerSecond: 0 },
  { engines: 4, entries: 1, changesPerSecond: 0 },
  { engines: 4, entries: 4, changesPerSecond: 0 },
  { engines: 4, entries: 8, changesPerSecond: 0 },
  { engines: 4, entries: 2, changesPerSecond: 2 },
  { engines: 4, entries: 2, changesPerSecond: 8 },
];

const namesOf = <K extends string>(table: Readonly<Record<K, unknown>>): K[] => Object.keys(table) as K[];
const planSizes: readonly PoolSize[] = [
  { engines: 12, models: 59 },
  { engines: 30, models: 59 },
  { engines: 30, models: 200 },
  { engines: 100, models: 200 },
  { engines: 100, models: 590 },
  { engines: 300, models: 590 },
];
const ControlSettings = Schema.Struct({
  measureMs: CountSetting.check(Schema.isLessThanOrEqualTo(60_000)),
  out: Schema.optionalKey(Schema.String),
});
const PlanSettings = Schema.Struct({
  rounds: CountSetting.check(Schema.isLessThanOrEqualTo(100)),
  out: Schema.optionalKey(Schema.String),
});
const PathSettings = Schema.Struct({
  requests: CountSetting.check(Schema.isLessThanOrEqualTo(5000)),
  out: Schema.optionalKey(Schema.String),
});
const LoadSettings = Schema.Struct({
  scenario: Schema.Literals(namesOf(scenarios)),
  policies: Schema.String,
  moveWeights: Schema.String,
  warmupSeconds: CountSetting.check(Schema.isLessThanOrEqualTo(600)),
  seconds: CountSetting.check(Schema.isLessThanOrEqualTo(600)),
  seed: CountSetting,
  entries: CountSetting.check(Schema.isLessThanOrEqualTo(16)),
  out: Schema.optionalKey(Schema.String),
});

/** The requested runs: each policy once, and the demand policies once per move weight. */
function runsOf(s: typeof LoadSettings.Type): LoadRunOptions[] {
  const weights = s.moveWeights.split(",").map(Number);
  if (weights.some((weight) => !(weight >= 0 && weight <= 1)))
    throw new Failure("bad-settings", `--move-weights must be numbers from 0 to 1, got ${s.moveWeights}`);
  return s.policies.split(",").flatMap((policy) => {
    if (!(policy in policies)) throw new Failure("bad-settings", `--policies: unknown policy ${policy}`);
    const name = policy as PolicyName;
    const moveWeights = policies[name].placement === "demand" ? weights : [0.5];
    return moveWeights.map((moveWeight) => ({
      scenario: s.scenario satisfies ScenarioName,
      policy: name,
      moveWeight,
      warmupMs: s.warmupSeconds * 1000,
      durationMs: s.seconds * 1000,
      seed: s.seed,
      entries: s.entries,
    }));
  });
}

async function writeReport(file: string | undefined, report: unknown): Promise<void> {
  if (file !== undefined) await fs.writeFile(file, `${JSON.stringify(report, null, 2)}\n`);
}

/** The `bench` command group. */
export function benchCommand(): commander.Command {
  const group = new commander.Command("bench").description(
    "Benchmarks and load tests (loopback only, limited in time)",
  );
  group
    .command("control")
    .description(
      "Measure control-plane calls, bytes and CPU per entry node for growing numbers of engines, entry nodes and config changes",
    )
    .option("--measure-ms <ms>", "measurement time per point (at most 60000)", "3000")
    .option("--out <file>", "write a JSON report to this file")
    .action(async (raw: Record<string, unknown>) => {
      const { measureMs, out } = checkSettings(ControlSettings, raw);
      const results = await runControlBench({ points: defaultPoints, measureMs });
      const report = {
        command: `parsleynotch bench control --measure-ms ${measureMs}`,
        at: new Date().toISOString(),
        results,
      };
      await writeReport(out, report);
      process.stdout.write(
        "engines entries changes/s | calls/s/node bytes/s/node cpu-ms/call process-cpu heap-MB\n",
      );
      for (const r of results) {
        process.stdout.write(
          `${r.engines} ${r.entries} ${r.changesPerSecond} | ${r.callsPerSecond} ${r.bytesPerSecond} ${r.cpuMsPerCall} ${r.processCpuShare} ${r.heapMb}\n`,
        );
      }
    });
  group
    .command("plan")
    .description(
      "Measure the time to compute a placement plan for growing numbers of engines and models (no I/O)",
    )
    .option("--rounds <n>", "plans per size (at most 100)", "5")
    .option("--out <file>", "write a JSON report to this file")
    .action(async (raw: Record<string, unknown>) => {
      const { rounds, out } = checkSettings(PlanSettings, raw);
      const results = runPlanBench(planSizes, rounds);
      const report = { command: `parsleynotch bench plan --rounds ${rounds}`, results };
      await writeReport(out, report);
      process.stdout.write("engines models | median-ms most-ms\n");
      for (const r of results) process.stdout.write(`${r.engines} ${r.models} | ${r.medianMs} ${r.mostMs}\n`);
    });
  group
    .command("path")
    .description(
      "Measure the latency that an entry node adds to a completion, compared with calling the engine directly",
    )
    .option("--requests <n>", "requests per path (at most 5000)", "300")
    .option("--out <file>", "write a JSON report to this file")
    .action(async (raw: Record<string, unknown>) => {
      process.env.PARSLEYNOTCH_LOG_LEVEL ??= "error";
      const { requests, out } = checkSettings(PathSettings, raw);
      const result = await runPathBench(requests);
      const report = { command: `parsleynotch bench path --requests ${requests}`, result };
      await writeReport(out, report);
      process.stdout.write(`${JSON.stringify(result)}\n`);
    });
  group
    .command("load")
    .description(
      "Measure attainment per accelerator and number of moves under seeded load, per placement and routing policy",
    )
    .option("--scenario <name>", `one of ${namesOf(scenarios).join(", ")}`, "hundreds")
    .option(
      "--policies <list>",
      `comma-separated, of ${namesOf(policies).join(", ")}`,
      "system,static-rr,lru-ll",
    )
    .option(
      "--move-weights <list>",
      "template moveWeight values for the demand policies, comma-separated",
      "0.2,0.8",
    )
    .option("--warmup-seconds <s>", "duration of the warm-up before measuring (at most 600)", "30")
    .option("--seconds <s>", "duration of the measurement (at most 600)", "60")
    .option("--seed <n>", "seed of the request trace", "20261202")
    .option("--entries <n>", "number of entry nodes (at most 16)", "2")
    .option("--out <file>", "write a JSON report to this file")
    .action(async (raw: Record<string, unknown>) => {
      process.env.PARSLEYNOTCH_LOG_LEVEL ??= "error";
      const s = checkSettings(LoadSettings, raw);
      const summaries: LoadSummary[] = [];
      for (const run of runsOf(s)) {
        const summary = summaryOf(await runLoad(run));
        summaries.push(summary);
        process.stdout.write(`${tableOf([summary])}\n`);
      }
      const report = {
        command: `parsleynotch bench load`,
        settings: s,
        at: new Date().toISOString(),
        summaries,
      };
      await writeReport(s.out, report);
    });
  return group;
}
