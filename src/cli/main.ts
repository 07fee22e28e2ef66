/** The `parsleynotch` binary: one subcommand per role, plus operator and demo commands. */
import { runProgram, type Commands } from "./program.ts";
import { reportFailures } from "./reportFailures.ts";

/**
 * Subcommands, loaded when named: a gateway node then doesn't hold the code of stand-ins and benches in
 * memory, nor spend start-up time on it.
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
