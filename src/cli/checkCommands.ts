/** `parsleynotch check-settings` and `check-config`: say what is wrong with a file before anything starts. */
import * as fs from "node:fs";
import * as commander from "commander";
import { decodeConfiguration, readSettingsFile } from "../../platform/index.ts";
import { unwrap } from "../common/decode.ts";
import { Failure } from "../common/errors.ts";

/** Makes `check-settings`. */
export function checkSettingsCommand(): commander.Command {
  return new commander.Command("check-settings")
    .description("Check a host's settings file")
    .argument("<file>", "the settings file")
    .action((file: string) => {
      const settings = unwrap(readSettingsFile(file));
      process.stdout.write(`ok: host ${settings.host} in ${settings.zone}\n`);
    });
}

/** Makes `check-config`. */
export function checkConfigCommand(): commander.Command {
  return new commander.Command("check-config")
    .description("Check a configuration as operators write it to the platform's store")
    .argument("<file>", "the configuration, as text")
    .action((file: string) => {
      const { version, routes, services } = unwrap(decodeConfiguration(readText(file)));
      process.stdout.write(`ok: version ${version}, ${routes.length} routes, ${services.length} services\n`);
    });
}

function readText(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw new Failure("bad-configuration", `can't read ${file}: ${String(error)}`);
  }
}
