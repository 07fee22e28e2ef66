/** `parsleynotch check-settings` and `check-config`: validate a file before anything is started with it. */
import * as fs from "node:fs";
import * as commander from "commander";
import { decodeConfiguration, readSettingsFile } from "../../platform/index.ts";
import { unwrap } from "../common/decode.ts";
import { Failure } from "../common/errors.ts";

/** Creates the `check-settings` command. */
export function checkSettingsCommand(): commander.Command {
  return new commander.Command("check-settings")
    .description("Validate a host's settings file")
    .argument("<file>", "settings file")
    .action((file: string) => {
      const settings = unwrap(readSettingsFile(file));
      process.stdout.write(`ok: host ${settings.host} in ${settings.zone}\n`);
    });
}

/** Creates the `check-config` command. */
export function checkConfigCommand(): commander.Command {
  return new commander.Command("check-config")
    .description("Validate a configuration in the format that operators write to the platform's store")
    .argument("<file>", "configuration file")
    .action((file: string) => {
      const { version, routes, services } = unwrap(decodeConfiguration(readText(file)));
      process.stdout.write(`ok: version ${version}, ${routes.length} routes, ${services.length} services\n`);
    });
}

function readText(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw new Failure("bad-configuration", `cannot read ${file}: ${String(error)}`);
  }
}
