/** `parsleynotch gateway`: runs the gateway node of one host on the users' platform. */
import * as commander from "commander";
import { settingsEnvironmentVariable } from "../../platform/index.ts";
import { runGateway } from "./runGateway.ts";

/** Creates the subcommand. */
export function gatewayCommand(): commander.Command {
  return new commander.Command("gateway")
    .description(
      "Run a gateway node: serves callers' requests, the directory, readiness and metrics, and places models",
    )
    .addOption(
      new commander.Option("--settings <file>", "the host's settings file")
        .env(settingsEnvironmentVariable)
        .makeOptionMandatory(),
    )
    .action(async ({ settings: path }: { settings: string }) => {
      await runGateway(path);
    });
}
