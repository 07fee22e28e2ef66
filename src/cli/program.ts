/** Runs the command line: the subcommand that is named, or all of them for the help text. */
import * as commander from "commander";

/** Subcommands by name, each loaded when it is needed. */
export type Commands = Readonly<Record<string, () => Promise<commander.Command>>>;

/** Runs the named subcommand. */
export async function runProgram(commands: Commands): Promise<void> {
  const program = new commander.Command("parsleynotch")
    .description("Serves many models from a pool of accelerators smaller than they need.")
    .version("0.1.0")
    .showHelpAfterError();
  const named = commands[process.argv[2] ?? ""];
  for (const load of named === undefined ? Object.values(commands) : [named])
    program.addCommand(await load());
  await program.parseAsync(process.argv);
}
