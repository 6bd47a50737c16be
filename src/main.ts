#!/usr/bin/env node
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { Command } from "commander";
import { abortJob, ClientError, showJob, submitJob } from "./client.js";
import { Controller } from "./coordination/controller.js";
import { loadOptions } from "./settings/options.js";
import { loadSettings, SettingsError } from "./settings/settings.js";
import { countRequests } from "./stats.js";
import { seconds, systemClock } from "./transport/clock.js";
import { NetHttpClient, splitAddress } from "./transport/http-client.js";
import { HttpServer } from "./transport/http-server.js";
import { describeError } from "./transport/log.js";
import { createLog } from "./transport/pino-log.js";

/** Of the limit on connections; the rest is for requests of our own under way. */
const INCOMING_SHARE = 0.8;
const IDLE_SHARE = 0.08;

interface ServeFlags {
  readonly config?: string;
  readonly options?: string;
}

const version = (): string => {
  const text = readFileSync(new URL("../package.json", import.meta.url), "utf8");
  return String((JSON.parse(text) as { version?: unknown }).version);
};

const fail = (message: string): never => {
  process.stderr.write(`rainridge: ${message}\n`);
  process.exit(2);
};

const load = async (flags: ServeFlags): Promise<Parameters<typeof start>> => {
  try {
    if (flags.config === undefined) throw new SettingsError("--config FILE: missing");
    return [loadSettings(flags.config), await loadOptions(flags.options ?? process.env.RAINRIDGE_OPTIONS ?? null)];
  } catch (error) {
    if (error instanceof SettingsError) return fail(error.message);
    throw error;
  }
};

const start = async (
  settings: ReturnType<typeof loadSettings>,
  options: Awaited<ReturnType<typeof loadOptions>>,
): Promise<void> => {
  const log = createLog(settings.label, process.env.LOG_LEVEL);
  // Nothing that arrives from outside may end the process; what slips through is a defect to be read about.
  process.on("uncaughtException", (error) => log.error("uncaught exception", { error: describeError(error) }));
  process.on("unhandledRejection", (error) => log.error("unhandled rejection", { error: describeError(error) }));
  const clock = systemClock;
  const { maxConnections } = settings.quota;
  // A thousand machines report here, and idle connections to all of them as well would pass the limit.
  const http = new NetHttpClient(clock, Math.max(16, Math.floor(maxConnections * IDLE_SHARE)));
  const outside = { clock, log, http, random: Math.random };
  const incarnation = randomBytes(8).toString("hex");
  const controller = new Controller(outside, settings, options, incarnation);
  const server = new HttpServer(
    clock,
    {
      maxConnections: Math.max(16, Math.floor(maxConnections * INCOMING_SHARE)),
      requestTimeout: seconds(10),
      idleTimeout: seconds(60),
      maxBusy: 512,
    },
    countRequests(clock, log, (request) => controller.handle(request)),
    (error) => log.error("request failed", { error: describeError(error) }),
  );
  const { host, port } = splitAddress(settings.clientListen);
  await server.listen(host, port);
  log.info("serving", { listen: settings.clientListen, incarnation });
  controller.start();
};

const program = new Command("rainridge")
  .description("A cluster scheduler: serves as one controller of a deployment")
  // Else the options of `check` would be taken for those of serving.
  .enablePositionalOptions()
  .version(version())
  .option("--config <file>", "settings of the platform (TOML)")
  .option("--options <file>", "the operators' own settings (JSON); or the variable RAINRIDGE_OPTIONS")
  .action(async (flags: ServeFlags) => start(...(await load(flags))));

program
  .command("check")
  .description("check the settings without serving")
  .requiredOption("--config <file>", "settings of the platform (TOML)")
  .option("--options <file>", "the operators' own settings (JSON)")
  .action(async (flags: ServeFlags) => {
    await load(flags);
    process.stdout.write("settings are valid\n");
  });

interface ClientFlags {
  readonly server: string;
}

const client = (
  name: string,
  argument: string,
  text: string,
  run: (server: string, what: string) => Promise<string>,
): void => {
  program
    .command(`${name} <${argument}>`)
    .description(text)
    .requiredOption("--server <host:port>", "address of a controller")
    .action(async (what: string, flags: ClientFlags) => {
      try {
        process.stdout.write(`${await run(flags.server, what)}\n`);
        process.exit(0);
      } catch (error) {
        if (!(error instanceof ClientError)) throw error;
        process.stderr.write(`rainridge: ${error.message}\n`);
        process.exit(1);
      }
    });
};

client("submit", "file", "submit the job that a JSON file describes", submitJob);
client("show", "job", "show a job's state", showJob);
client("abort", "job", "cancel a job", abortJob);

program.parseAsync().catch((error: unknown) => fail(describeError(error).split("\n")[0] ?? "failed"));
