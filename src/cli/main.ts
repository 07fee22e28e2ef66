/** The `parsleynotch` binary: one subcommand per role, plus operator and demo commands. */
import * as commander from "commander";
import { toFailure } from "../common/errors.ts";
import { createLog } from "../common/log.ts";
import { benchCommand } from "./benchCommand.ts";
import { demoCommand } from "./demoCommand.ts";
import { engineCommand, entryCommand, platformCommand, serviceCommand } from "./roleCommands.ts";
import { templateCommand } from "./templateCommand.ts";

const program = new commander.Command("parsleynotch")
  .description("Serves many models from a pool of accelerators smaller than they need.")
  .version("0.1.0")
  .showHelpAfterError();

program.addCommand(entryCommand());
program.addCommand(platformCommand());
program.addCommand(engineCommand());
program.addCommand(serviceCommand());
program.addCommand(templateCommand());
program.addCommand(demoCommand());
program.addCommand(benchCommand());

try {
  await program.parseAsync(process.argv);
} catch (error) {
  const failure = toFailure(error);
  createLog("cli").error({ event: "failed", kind: failure.kind, message: failure.message });
  process.stderr.write(`parsleynotch: ${failure.kind}: ${failure.message}\n`);
  process.exitCode = failure.answer.exitCode;
}
