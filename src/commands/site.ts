/** The commands `serve` and `check` of a controller, and the clients `submit`, `show`, `abort` and `links`. */
import type { Command } from "commander";
import { CommandError, DONE, REFUSED, say } from "./cli.js";
import type { ServeFlags } from "./serving.js";

const CONFIG = "settings of the platform (TOML)";
const OPTIONS = "the operators' own settings (JSON); or the variable RAINRIDGE_OPTIONS";

/** Adds `serve`, also as the root command, and `check`, which validates the settings. */
export const addServe = (program: Command): void => {
  const serve = async (flags: ServeFlags): Promise<void> => {
    const serving = await import("./serving.js");
    await serving.serve(await serving.load(flags));
  };
  program.option("--config <file>", CONFIG).option("--options <file>", OPTIONS).action(serve);
  program
    .command("serve")
    .description("serve as one controller of a deployment until killed")
    .requiredOption("--config <file>", CONFIG)
    .option("--options <file>", OPTIONS)
    .addHelpText("after", "\nExample:\n  rainridge serve --config settings.toml --options rainridge.json")
    .action(serve);
  program
    .command("check")
    .description("check the settings without serving")
    .requiredOption("--config <file>", CONFIG)
    .option("--options <file>", OPTIONS)
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge check --config settings.toml")
    .action(async (flags: ServeFlags & { readonly json?: boolean }) => {
      const { settings } = await (await import("./serving.js")).load(flags);
      const { cancellationTerms, termsInSeconds } = await import("../settings/cancellation.js");
      const { shardLeaseDuration } = await import("../settings/shard-lease.js");
      const terms = termsInSeconds(cancellationTerms(settings.workers, shardLeaseDuration(settings)));
      if (flags.json === true) {
        say(JSON.stringify({ valid: true, label: settings.label, cancellation: terms }));
        return;
      }
      say("settings are valid");
      const { rightS, startS, workerLeaseS, totalS, leftS } = terms;
      say(`cancelled tasks are gone after ${totalS} s at most, ${leftS} s before cancel_s is over:`);
      say(`  ${rightS} s for a holder that has not learnt of it, ${startS} s for a start under way,`);
      say(`  ${workerLeaseS} s for the lease of the worker that it answered last`);
    });
};

interface ClientFlags {
  readonly server: string;
}

/** Adds `submit`, `show` and `abort`, which print the JSON of the response unchanged, and `links`. */
export const addClients = (program: Command): void => {
  const add = (
    name: "submit" | "show" | "abort",
    argument: string,
    text: string,
    example: string,
    pick: (client: typeof import("../client.js")) => (server: string, what: string) => Promise<string>,
  ): void => {
    program
      .command(`${name} <${argument}>`)
      .description(text)
      .requiredOption("--server <host:port>", "address of a controller")
      .addHelpText("after", `\nExample:\n  ${example}`)
      .action(async (what: string, flags: ClientFlags) => {
        const client = await import("../client.js");
        try {
          say(await pick(client)(flags.server, what));
        } catch (error) {
          if (error instanceof client.ClientError) throw new CommandError(error.message);
          throw error;
        }
        // An idle keep-alive connection would delay the end of the process.
        process.exit(0);
      });
  };
  const server = "--server 127.0.0.1:7400";
  add(
    "submit",
    "file",
    "submit the job that a JSON file describes",
    `rainridge submit ${server} job.json`,
    (c) => c.submitJob,
  );
  add(
    "show",
    "job",
    "show a job's state, and what it waits for",
    `rainridge show ${server} wk-000412`,
    (c) => c.showJob,
  );
  add("abort", "job", "cancel a job", `rainridge abort ${server} wk-000412`, (c) => c.abortJob);
  program
    .command("links")
    .description("show what a controller reaches, and what troubles it with its machines")
    .requiredOption("--server <host:port>", "address of a controller")
    .option("--json", "answer as JSON")
    .addHelpText(
      "after",
      `\nExit status: 0 no troubles, 1 troubles or no answer.\n\nExample:\n  rainridge links ${server}`,
    )
    .action(async (flags: ClientFlags & { readonly json?: boolean }) => {
      const [client, links] = await Promise.all([import("../client.js"), import("./links.js")]);
      try {
        const answer: unknown = JSON.parse(await client.showLinks(flags.server));
        const troubles = links.troublesIn(answer);
        say(flags.json === true ? JSON.stringify({ ...(answer as object), troubles }) : links.linksText(answer));
        process.exit(troubles.length === 0 ? DONE : REFUSED);
      } catch (error) {
        if (error instanceof client.ClientError) throw new CommandError(error.message);
        throw error;
      }
    });
};
