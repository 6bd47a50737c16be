#!/usr/bin/env node
/** Entry point: registers the commands, runs the one that was given and sets the exit status. */
import { readFileSync } from "node:fs";
import { Command, CommanderError } from "commander";
import { CommandError, EXIT_FAILURE, EXIT_MISUSE, EXIT_SUCCESS } from "./commands/cli.js";
import { addClientCommands, addControllerCommands } from "./commands/controller-commands.js";

const version = (): string => {
  const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
  return String((JSON.parse(text) as { version?: unknown }).version);
};

const program = new Command("rainridge")
  .description("A cluster scheduler: serves as one controller of a deployment, and tells what would happen if")
  // Without positional options, the options of `check` are parsed as those of the root command, which serves.
  .enablePositionalOptions()
  .version(version())
  .configureOutput({ outputError: (text, write) => write(text.replace(/^error: /, "rainridge: ")) })
  .exitOverride();

const [firstArgument] = process.argv.slice(2);
addControllerCommands(program);
// Serving does not load the modules of the other commands.
if (firstArgument !== "--config" && firstArgument !== "serve") {
  const [local, whatif, graph] = await Promise.all([
    import("./commands/local.js"),
    import("./commands/whatif.js"),
    import("./commands/graph.js"),
  ]);
  addClientCommands(program);
  graph.addGraph(program);
  local.addLocal(program);
  whatif.addWhatif(program);
}

const exitStatusOf = (error: unknown): number => {
  // Commander has already printed its message; --help and --version end with exit status 0.
  if (error instanceof CommanderError) return error.exitCode === 0 ? EXIT_SUCCESS : EXIT_MISUSE;
  const isCommandError = error instanceof CommandError;
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`rainridge: ${message.split("\n")[0] ?? "failed"}\n`);
  return isCommandError && error.isMisuse ? EXIT_MISUSE : EXIT_FAILURE;
};

// Otherwise the root command, which serves, would reject the name as a surplus argument.
if (
  firstArgument !== undefined &&
  !firstArgument.startsWith("-") &&
  !program.commands.some((command) => command.name() === firstArgument)
) {
  process.stderr.write(`rainridge: unknown command ${firstArgument}; see rainridge --help\n`);
  process.exit(EXIT_MISUSE);
}

// A reader such as `head` may close the pipe early, which is not a failure.
process.stdout.on("error", (error: NodeJS.ErrnoException) =>
  process.exit(error.code === "EPIPE" ? EXIT_SUCCESS : EXIT_FAILURE),
);

program.parseAsync().catch((error: unknown) => {
  process.exit(exitStatusOf(error));
});
