/** Entry point with only the `gateway` subcommand, bundled as one script so that its compiled code can be cached. */
import { settingsEnvironmentVariable } from "../../platform/index.ts";
import { reportFailures } from "./reportFailures.ts";
import { runGateway } from "./runGateway.ts";

const settings = process.env[settingsEnvironmentVariable];
const extraArguments = process.argv.slice(3);

void reportFailures(async () => {
  // This is how the platform runs it. Any other invocation needs the command-line parser, which takes longer to load.
  if (settings !== undefined && settings !== "" && extraArguments.length === 0) {
    await runGateway(settings);
    return;
  }
  const { runProgram } = await import("./program.ts");
  const { gatewayCommand } = await import("./gatewayCommand.ts");
  await runProgram({ gateway: () => Promise.resolve(gatewayCommand()) });
});
