/** `parsleynotch gateway`: the gateway node of one host on the users' platform. */
import * as commander from "commander";
import { connectPlatform, readSettingsFile, settingsVariable } from "../../platform/index.ts";
import { unwrap } from "../common/decode.ts";
import { createHostLog } from "../common/hostLog.ts";
import { GatewayNode } from "../gateway/gatewayNode.ts";

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
      const settings = unwrap(readSettingsFile(path));
      const hostLog = createHostLog("gateway");
      const node = new GatewayNode({ settings, platform: connectPlatform(settings), log: hostLog.log });
      process.once("SIGTERM", () => {
        void node.stop().finally(() => {
          hostLog.flush();
          process.exit(0);
        });
      });
      process.on("SIGHUP", () => {
        hostLog.log.info({ event: "reload", note: "settings are read at start; routes come from the store" });
      });
      await node.start();
    });
}
