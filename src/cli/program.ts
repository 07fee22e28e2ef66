/** Runs the command line: loads the named subcommand, or all of them for the help text. */
import * as commander from "commander";

/** Subcommands by name, each loaded on demand. */
export type Commands = Readonly<Record<string, () => Promise<commander.Command>>>;

/** Runs the named subcommand. */
export async function runProgram(commands: Commands): Promise<void> {
  const program = new commander.Command("parsleynotch")
    .description("Serves many models from a pool of accelerators that cannot hold all of them at once.")
    .version("0.1.0")
    .showHelpAfterError();
  const named = commands[process.argv[2] ?? ""];
  for (const load of named === undefined ? Object.values(commands) : [named])
    program.addCommand(await load());
  await program.parseAsync(process.argv);
}
