/** Entry point of the `parsleynotch` command: a subcommand per role, plus operator, benchmark and demo commands. */
import { runProgram, type Commands } from "./program.ts";
import { reportFailures } from "./reportFailures.ts";

/**
 * Subcommands, loaded on demand: a gateway node doesn't load the code of stand-ins and benchmarks, which would cost
 * memory and start-up time.
 */
const commands: Commands = {
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

await reportFailures(() => runProgram(commands));
