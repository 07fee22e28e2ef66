// Runs the tests in several mocha processes, each with one spec file, and prints one result. See README.md.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { parseArgs } from "node:util";
import mocha from "mocha";
import { isUnit, nextRun, runsOf } from "./tests/schedule.mjs";

const root = path.resolve(import.meta.dirname, "..");
const reporter = path.join(import.meta.dirname, "tests/reporter.cjs");
const mochaProgram = path.join(root, "node_modules/mocha/bin/mocha.js");
/** Time for the rest of a worker's output after its exit, ms. */
const outputTimeoutMs = 2_000;
/** Printed by test/setup.ts for each test of KNOWN-RED.txt. */
const knownRedLine = /^ {2}known red, passed over: .*\n/gm;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    jobs: { type: "string", short: "j" },
    specs: { type: "string", default: "test" },
    unit: { type: "boolean", default: false },
    titles: { type: "string" },
    record: { type: "boolean", default: false },
    "dry-run": { type: "boolean", default: false },
  },
});
// Tests with many processes take up to two cores, and their time limits assume that these are free.
const jobs = Math.max(1, Number(values.jobs ?? Math.floor(os.availableParallelism() / 2)) || 1);

const { timeout, require: required } = JSON.parse(fs.readFileSync(path.join(root, ".mocharc.json"), "utf8"));
const specsFolder = path.resolve(root, values.specs);
const suiteFile = path.join(specsFolder, "suite.json");
const suite = JSON.parse(fs.readFileSync(suiteFile, "utf8"));
const folder = fs.mkdtempSync(path.join(os.tmpdir(), "test-results-"));

/** The spec files to run, relative to the root. */
function specFiles() {
  const all = fs
    .readdirSync(specsFolder, { recursive: true })
    .filter((file) => file.endsWith(".spec.ts"))
    .map((file) => path.relative(root, path.join(specsFolder, file)))
    .sort();
  if (values.unit) return all.filter((file) => isUnit(file, suite));
  if (positionals.length === 0) return all;
  const chosen = positionals.map((file) => path.relative(root, path.resolve(file)));
  const missing = chosen.filter((file) => !all.includes(file));
  if (missing.length > 0) throw new Error(`no such spec file: ${missing.join(", ")}`);
  return all.filter((file) => chosen.includes(file));
}

/** Runs one mocha process to its end; resolves with its results, which lack `ended` if it died. */
async function execute(run, index) {
  const file = path.join(folder, `${index}.json`);
  const args = [
    ...["--import", "tsx", mochaProgram, "--no-config", "--exit", "--timeout", String(timeout)],
    ...required.flatMap((module) => ["--require", module]),
    ...(values["dry-run"] ? ["--dry-run"] : []),
    ...["--reporter", reporter, ...run.files],
  ];
  const child = childProcess.spawn(process.execPath, args, {
    cwd: root,
    env: { ...process.env, PARSLEYNOTCH_TEST_RESULTS: file, ...partVariable(run) },
    stdio: ["ignore", "pipe", "pipe"],
  });
  let output = "";
  for (const stream of [child.stdout, child.stderr])
    stream.setEncoding("utf8").on("data", (chunk) => (output += chunk));
  const status = await new Promise((resolve) => {
    child.once("error", (error) => resolve(error.message));
    // Processes that a dead worker leaves behind may keep its output open, so `close` isn't waited for without limit.
    child.once("exit", (code, signal) => {
      const timer = setTimeout(resolve, outputTimeoutMs, signal ?? code);
      child.once("close", () => {
        clearTimeout(timer);
        resolve(signal ?? code);
      });
    });
  });
  const results = fs.existsSync(file) ? JSON.parse(fs.readFileSync(file, "utf8")) : {};
  return { run, output, status, results: { passes: 0, pending: 0, failures: [], titles: [], ...results } };
}

function partVariable({ part }) {
  return part === undefined ? {} : { PARSLEYNOTCH_TEST_PART: part };
}

/** Why the worker's result can't be trusted, or nothing. */
function faultOf({ status, results }) {
  if (results.ended !== true) return `worker ended before its tests did (${status})`;
  if (results.failures.length === 0 && status !== 0) return `worker exited with ${status} after its tests`;
  if (results.total === 0) return "no test in the file";
  return undefined;
}

/** Runs everything; resolves with the outcome of each run. */
async function executeAll(waiting) {
  const running = new Map();
  const outcomes = [];
  let index = 0;
  while (waiting.length + running.size > 0) {
    for (;;) {
      const run = nextRun(waiting, [...running.keys()], jobs);
      if (run === undefined) break;
      waiting.splice(waiting.indexOf(run), 1);
      index += 1;
      running.set(run, execute(run, index));
    }
    const outcome = await Promise.race(running.values());
    running.delete(outcome.run);
    outcomes.push(outcome);
    print(outcome);
  }
  return outcomes;
}

function print({ run, output, results }) {
  const { seconds, processorSeconds } = results;
  const took =
    seconds === undefined
      ? ""
      : ` (${seconds.toFixed(1)} s, ${processorSeconds.toFixed(1)} s of processor time)`;
  process.stdout.write(`${run.name}${took}\n${output.replace(knownRedLine, "").trimEnd()}\n\n`);
}

/** Prints mocha's closing lines for all runs. */
function printSummary(outcomes, failures, durationMs) {
  for (const { output } of outcomes)
    for (const [line] of output.matchAll(knownRedLine)) process.stdout.write(line);
  const sum = (count) => outcomes.reduce((total, { results }) => total + count(results), 0);
  const stats = {
    ...{ passes: sum(({ passes }) => passes), pending: sum(({ pending }) => pending) },
    ...{ failures: failures.length, duration: durationMs },
  };
  mocha.reporters.Base.prototype.epilogue.call({ stats, failures });
  return stats;
}

/** A failure as mocha's reporters expect it. */
function failureOf(titlePath, error) {
  return {
    err: error,
    titlePath: () => titlePath,
    fullTitle: () => titlePath.join(" "),
    isPending: () => false,
  };
}

function record(outcomes) {
  for (const { run, results } of outcomes)
    if (results.ended === true) suite.seconds[run.name] = Math.round(results.seconds * 10) / 10;
  const sorted = Object.entries(suite.seconds).sort(([, a], [, b]) => b - a);
  fs.writeFileSync(
    suiteFile,
    `${JSON.stringify({ ...suite, seconds: Object.fromEntries(sorted) }, null, 2)}\n`,
  );
}

const startedMs = performance.now();
const runs = runsOf(specFiles(), suite);
try {
  const outcomes = await executeAll([...runs]);
  const failures = outcomes.flatMap((outcome) => {
    const fault = faultOf(outcome);
    return [
      ...outcome.results.failures.map(({ titlePath, error }) => failureOf(titlePath, error)),
      ...(fault === undefined
        ? []
        : [failureOf([outcome.run.name, fault], { message: fault, stack: `${fault}\n${outcome.output}` })]),
    ];
  });
  const stats = printSummary(outcomes, failures, performance.now() - startedMs);
  const titles = outcomes.flatMap(({ results }) => results.titles).sort();
  if (values.titles !== undefined) fs.writeFileSync(values.titles, `${titles.join("\n")}\n`);
  if (values.record) record(outcomes);
  if (stats.passes + stats.pending + stats.failures === 0) console.error("  no test was run");
  if (failures.length > 0 || stats.passes + stats.pending === 0) process.exitCode = 1;
} finally {
  fs.rmSync(folder, { recursive: true });
}
