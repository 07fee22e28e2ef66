/** The `gateway` subcommand alone, as one script: its compiled code can be cached. */
import { settingsVariable } from "../../platform/index.ts";
import { reportFailures } from "./reportFailures.ts";
import { runGateway } from "./runGateway.ts";

const settings = process.env[settingsVariable];
const words = process.argv.slice(3);

void reportFailures(async () => {
  // As the platform runs it; anything else is for the full command line, which takes longer to load.
  if (settings !== undefined && settings !== "" && words.length === 0) {
    await runGateway(settings);
    return;
  }
  const { runProgram } = await import("./program.ts");
  const { gatewayCommand } = await import("./gatewayCommand.ts");
  await runProgram({ gateway: () => Promise.resolve(gatewayCommand()) });
});
