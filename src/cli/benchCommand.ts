/** `parsleynotch bench control`: measures control-plane slopes on loopback and writes a JSON report. */
import * as fs from "node:fs/promises";
import * as commander from "commander";
import { runControlBench, type Point } from "../bench/controlBench.ts";

const defaultPoints: readonly Point[] = [
  { engines: 4, entries: 2, changesPerSecond: 0 },
  { engines: 16, entries: 2, changesPerSecond: 0 },
  { engines: 64, entries: 2, changesPerSecond: 0 },
  { engines: 4, entries: 1, changesPerSecond: 0 },
  { engines: 4, entries: 4, changesPerSecond: 0 },
  { engines: 4, entries: 8, changesPerSecond: 0 },
  { engines: 4, entries: 2, changesPerSecond: 2 },
  { engines: 4, entries: 2, changesPerSecond: 8 },
];

/** The `bench` command group. */
export function benchCommand(): commander.Command {
  const group = new commander.Command("bench").description(
    "Load and experiment tools (loopback only, bounded in time)",
  );
  group
    .command("control")
    .description(
      "Control-plane calls, bytes and CPU per entry node as engines, entry nodes and config changes grow",
    )
    .option("--measure-ms <ms>", "measuring time per point", "3000")
    .option("--out <file>", "write the JSON report here")
    .action(async (opts: { measureMs: string; out?: string }) => {
      const measureMs = Number(opts.measureMs);
      const results = await runControlBench({ points: defaultPoints, measureMs });
      const report = {
        command: `parsleynotch bench control --measure-ms ${measureMs}`,
        at: new Date().toISOString(),
        results,
      };
      if (opts.out !== undefined) await fs.writeFile(opts.out, `${JSON.stringify(report, null, 2)}\n`);
      process.stdout.write(
        "engines entries changes/s | calls/s/node bytes/s/node cpu-ms/call process-cpu heap-MB\n",
      );
      for (const r of results) {
        process.stdout.write(
          `${r.engines} ${r.entries} ${r.changesPerSecond} | ${r.callsPerSecond} ${r.bytesPerSecond} ${r.cpuMsPerCall} ${r.processCpuShare} ${r.heapMb}\n`,
        );
      }
    });
  return group;
}
