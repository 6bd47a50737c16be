/** The commands `serve` and `check` of a controller, and the clients `submit`, `show`, `abort` and `links`. */
import type { Command } from "commander";
import { CommandError, EXIT_FAILURE, EXIT_SUCCESS, printLine } from "./cli.js";
import type { ServeFlags } from "./serve.js";

const CONFIG_HELP = "settings of the platform (TOML)";
const OPTIONS_HELP = "the operators' own settings (JSON); or the variable RAINRIDGE_OPTIONS";

/** Adds `serve`, also as the root command, and `check`, which validates the settings. */
export const addControllerCommands = (program: Command): void => {
  const serve = async (flags: ServeFlags): Promise<void> => {
    const serving = await import("./serve.js");
    await serving.serve(await serving.loadConfiguration(flags));
  };
  program.option("--config <file>", CONFIG_HELP).option("--options <file>", OPTIONS_HELP).action(serve);
  program
    .command("serve")
    .description("serve as one controller of a deployment until killed")
    .requiredOption("--config <file>", CONFIG_HELP)
    .option("--options <file>", OPTIONS_HELP)
    .addHelpText("after", "\nExample:\n  rainridge serve --config settings.toml --options rainridge.json")
    .action(serve);
  program
    .command("check")
    .description("check the settings without serving")
    .requiredOption("--config <file>", CONFIG_HELP)
    .option("--options <file>", OPTIONS_HELP)
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge check --config settings.toml")
    .action(async (flags: ServeFlags & { readonly json?: boolean }) => {
      const { settings } = await (await import("./serve.js")).loadConfiguration(flags);
      const { cancellationTerms, termsInSeconds } = await import("../settings/cancellation.js");
      const { shardLeaseDuration } = await import("../settings/shard-lease.js");
      const terms = termsInSeconds(cancellationTerms(settings.workers, shardLeaseDuration(settings)));
      if (flags.json === true) {
        printLine(JSON.stringify({ valid: true, label: settings.label, cancellation: terms }));
        return;
      }
      printLine("settings are valid");
      const { rightS, startS, workerLeaseS, totalS, leftS } = terms;
      printLine(`cancelled tasks are gone after ${totalS} s at most, ${leftS} s before cancel_s is over:`);
      printLine(`  ${rightS} s for a holder that has not learnt of it, ${startS} s for a start under way,`);
      printLine(`  ${workerLeaseS} s for the lease of the worker that it answered last`);
    });
};

interface ClientFlags {
  readonly server: string;
}

/** Adds `submit`, `show` and `abort`, which print the JSON of the response unchanged, and `links`. */
export const addClientCommands = (program: Command): void => {
  const addClientCommand = (
    name: "submit" | "show" | "abort",
    argument: string,
    text: string,
    example: string,
    selectCall: (client: typeof import("../client.js")) => (server: string, value: string) => Promise<string>,
  ): void => {
    program
      .command(`${name} <${argument}>`)
      .description(text)
      .requiredOption("--server <host:port>", "address of a controller")
      .addHelpText("after", `\nExample:\n  ${example}`)
      .action(async (value: string, flags: ClientFlags) => {
        const client = await import("../client.js");
        try {
          printLine(await selectCall(client)(flags.server, value));
        } catch (error) {
          if (error instanceof client.ClientError) throw new CommandError(error.message);
          throw error;
        }
        // An idle keep-alive connection would delay the end of the process.
        process.exit(0);
      });
  };
  const serverFlag = "--server 127.0.0.1:7400";
  addClientCommand(
    "submit",
    "file",
    "submit the job that a JSON file describes",
    `rainridge submit ${serverFlag} job.json`,
    (c) => c.submitJob,
  );
  addClientCommand(
    "show",
    "job",
    "show a job's state, and what it waits for",
    `rainridge show ${serverFlag} wk-000412`,
    (c) => c.showJob,
  );
  addClientCommand("abort", "job", "cancel a job", `rainridge abort ${serverFlag} wk-000412`, (c) => c.abortJob);
  program
    .command("links")
    .description("show what a controller reaches, and what troubles it with its machines")
    .requiredOption("--server <host:port>", "address of a controller")
    .option("--json", "answer as JSON")
    .addHelpText(
      "after",
      `\nExit status: 0 no troubles, 1 troubles or no answer.\n\nExample:\n  rainridge links ${serverFlag}`,
    )
    .action(async (flags: ClientFlags & { readonly json?: boolean }) => {
      const [client, links] = await Promise.all([import("../client.js"), import("./links-text.js")]);
      try {
        const answer: unknown = JSON.parse(await client.showLinks(flags.server));
        const troubles = links.linkTroubles(answer);
        printLine(flags.json === true ? JSON.stringify({ ...(answer as object), troubles }) : links.linksText(answer));
        process.exit(troubles.length === 0 ? EXIT_SUCCESS : EXIT_FAILURE);
      } catch (error) {
        if (error instanceof client.ClientError) throw new CommandError(error.message);
        throw error;
      }
    });
};
