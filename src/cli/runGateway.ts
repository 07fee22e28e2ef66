/** Runs the gateway node of one host until SIGTERM. */
import { connectPlatform, readSettingsFile } from "../../platform/index.ts";
import { unwrap } from "../common/decode.ts";
import { createHostLog } from "../common/hostLog.ts";
import { GatewayNode } from "../gateway/gatewayNode.ts";

/** Starts the node with the settings file at `path`. */
export async function runGateway(path: string): Promise<void> {
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
}
