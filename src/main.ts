#!/usr/bin/env node
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
  // Else the options of `check` would be taken for those of serving.
  .enablePositionalOptions()
  .version(version())
  .configureOutput({ outputError: (text, write) => write(text.replace(/^error: /, "rainridge: ")) })
  .exitOverride();

const [first] = process.argv.slice(2);
addServe(program);
// A controller's start loads nothing that it does not need.
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
  // Commander has said what there is to say; help and version are no errors.
  if (error instanceof CommanderError) return error.exitCode === 0 ? DONE : MISUSE;
  const known = error instanceof CommandError;
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`rainridge: ${message.split("\n")[0] ?? "failed"}\n`);
  return known && error.misuse ? MISUSE : REFUSED;
};

// Else the root command, which serves, would complain of too many arguments.
if (first !== undefined && !first.startsWith("-") && !program.commands.some((command) => command.name() === first)) {
  process.stderr.write(`rainridge: unknown command ${first}; see rainridge --help\n`);
  process.exit(MISUSE);
}

// Whoever reads the output may stop reading, as `head` does.
process.stdout.on("error", (error: NodeJS.ErrnoException) => process.exit(error.code === "EPIPE" ? DONE : REFUSED));

program.parseAsync().catch((error: unknown) => {
  process.exit(ended(error));
});
