#!/usr/bin/env node
/** Entry point: registers the commands, runs the one that was given and sets the exit status. */
import { readFileSync } from "node:fs";
import { Command, CommanderError } from "commander";
import { CommandError, DONE, MISUSE, REFUSED } from "./commands/cli.js";
import { addClients, addServe } from "./commands/site.js";

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

const [first] = process.argv.slice(2);
addServe(program);
// Serving does not load the modules of the other commands.
if (first !== "--config" && first !== "serve") {
  const [local, whatif, graph] = await Promise.all([
    import("./commands/local.js"),
    import("./commands/whatif.js"),
    import("./commands/graph.js"),
  ]);
  addClients(program);
  graph.addGraph(program);
  local.addLocal(program);
  whatif.addWhatif(program);
}

const ended = (error: unknown): number => {
  // Commander has already printed its message; --help and --version end with exit status 0.
  if (error instanceof CommanderError) return error.exitCode === 0 ? DONE : MISUSE;
  const known = error instanceof CommandError;
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`rainridge: ${message.split("\n")[0] ?? "failed"}\n`);
  return known && error.misuse ? MISUSE : REFUSED;
};

// Otherwise the root command, which serves, would reject the name as a surplus argument.
if (first !== undefined && !first.startsWith("-") && !program.commands.some((command) => command.name() === first)) {
  process.stderr.write(`rainridge: unknown command ${first}; see rainridge --help\n`);
  process.exit(MISUSE);
}

// A reader such as `head` may close the pipe early, which is not a failure.
process.stdout.on("error", (error: NodeJS.ErrnoException) => process.exit(error.code === "EPIPE" ? DONE : REFUSED));

program.parseAsync().catch((error: unknown) => {
  process.exit(ended(error));
});
