/** Reports the failure of a command in the log, on standard error and by the exit code. */
import { toFailure } from "../common/errors.ts";
import { createLog } from "../common/log.ts";

/** Runs a command; never rejects. */
export async function reportFailures(run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (error) {
    const failure = toFailure(error);
    createLog("cli").error({ event: "failed", kind: failure.kind, message: failure.message });
    process.stderr.write(`parsleynotch: ${failure.kind}: ${failure.message}\n`);
    process.exitCode = failure.response.exitCode;
  }
}
