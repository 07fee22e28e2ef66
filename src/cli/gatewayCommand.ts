/** `parsleynotch gateway`: the gateway node of one host on the users' platform. */
import * as commander from "commander";
import { settingsVariable } from "../../platform/index.ts";
import { runGateway } from "./runGateway.ts";

/** Makes the subcommand. */
export function gatewayCommand(): commander.Command {
  return new commander.Command("gateway")
    .description("Run a gateway node: callers' requests, directory, readiness, placement, metrics")
    .addOption(
      new commander.Option("--settings <file>", "the host's settings file")
        .env(settingsVariable)
        .makeOptionMandatory(),
    )
    .action(async ({ settings: path }: { settings: string }) => {
      await runGateway(path);
    });
}
