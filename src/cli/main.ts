/** The `parsleynotch` binary: one subcommand per role, plus operator and demo commands. */
import * as commander from "commander";
import { toFailure } from "../common/errors.ts";
import { createLog } from "../common/log.ts";

/**
 * Subcommands, loaded when named: a gateway node then doesn't hold the code of stand-ins and benches in
 * memory, nor spend start-up time on it.
 */
const commands: Readonly<Record<string, () => Promise<commander.Command>>> = {
  gateway: async () => (await import("./gatewayCommand.ts")).gatewayCommand(),
  explain: async () => (await import("./explainCommand.ts")).explainCommand(),
  "check-settings": async () => (await import("./checkCommands.ts")).checkSettingsCommand(),
  "check-config": async () => (await import("./checkCommands.ts")).checkConfigCommand(),
  entry: async () => (await import("./roleCommands.ts")).entryCommand(),
  platform: async () => (await import("./roleCommands.ts")).platformCommand(),
  engine: async () => (await import("./roleCommands.ts")).engineCommand(),
  service: async () => (await import("./roleCommands.ts")).serviceCommand(),
  template: async () => (await import("./templateCommand.ts")).templateCommand(),
  demo: async () => (await import("./demoCommand.ts")).demoCommand(),
  bench: async () => (await import("./benchCommand.ts")).benchCommand(),
};

const program = new commander.Command("parsleynotch")
  .description("Serves many models from a pool of accelerators smaller than they need.")
  .version("0.1.0")
  .showHelpAfterError();

try {
  const named = commands[process.argv[2] ?? ""];
  for (const load of named === undefined ? Object.values(commands) : [named])
    program.addCommand(await load());
  await program.parseAsync(process.argv);
} catch (error) {
  const failure = toFailure(error);
  createLog("cli").error({ event: "failed", kind: failure.kind, message: failure.message });
  process.stderr.write(`parsleynotch: ${failure.kind}: ${failure.message}\n`);
  process.exitCode = failure.answer.exitCode;
}
