/** `parsleynotch explain`: prints the timeline of one request from the logs of the hosts. */
import * as fs from "node:fs";
import * as path from "node:path";
import * as commander from "commander";
import { Failure } from "../common/errors.ts";
import { readLog, type LogLine } from "../explain/logLine.ts";
import { requestTimeline } from "../explain/requestTimeline.ts";

const standardInput = 0;

/** Creates the subcommand. */
export function explainCommand(): commander.Command {
  return new commander.Command("explain")
    .description("Show the timeline of a request from the logs of all hosts")
    .argument("<request-id>", "request id of one attempt of a caller")
    .argument("[logs...]", "log files, one per host; standard input by default")
    .action((requestId: string, logs: string[]) => {
      const read = logs.length === 0 ? [readLog("log", readText(standardInput))] : logs.map(readFile);
      const lines: LogLine[] = read.flatMap((log) => log.lines);
      for (const line of requestTimeline(lines, requestId)) process.stdout.write(`${line}\n`);
      const skipped = read.reduce((sum, log) => sum + log.skipped, 0);
      if (skipped > 0) process.stderr.write(`${skipped} lines skipped: not parsleynotch log lines\n`);
    });
}

function readFile(file: string): ReturnType<typeof readLog> {
  return readLog(path.basename(file).replace(/\.log$/, ""), readText(file));
}

function readText(file: string | number): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw new Failure("bad-request", `cannot read ${String(file)}: ${String(error)}`);
  }
}
