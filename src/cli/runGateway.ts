/** Runs the gateway node of one host until SIGTERM. */
import { connectPlatform, readSettingsFile } from "../../platform/index.ts";
import { unwrap } from "../common/decode.ts";
import { createHostLog } from "../common/hostLog.ts";
import { GatewayNode } from "../gateway/gatewayNode.ts";
import { disabledPartsVariable, withoutParts } from "./disabledParts.ts";

/** Starts the node with the settings file at `path`. */
export async function runGateway(path: string): Promise<void> {
  const hostSettings = unwrap(readSettingsFile(path));
  const disabledParts = process.env[disabledPartsVariable] ?? "";
  const { settings, platform } = withoutParts(
    { settings: hostSettings, platform: connectPlatform(hostSettings) },
    disabledParts,
  );
  const hostLog = createHostLog("gateway");
  const node = new GatewayNode({ settings, platform, log: hostLog.log });
  if (disabledParts !== "") hostLog.log.info({ event: "parts-disabled", parts: disabledParts });
  let isStopping = false;
  process.on("SIGTERM", () => {
    if (isStopping) return;
    isStopping = true;
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
