import { randomBytes } from "node:crypto";
import { Controller } from "../coordination/controller.js";
import { loadOptions } from "../settings/options.js";
import { loadSettings, SettingsError } from "../settings/settings.js";
import { countRequests } from "../stats.js";
import { seconds, systemClock } from "../transport/clock.js";
import { NetHttpClient, splitAddress } from "../transport/http-client.js";
import { HttpServer } from "../transport/http-server.js";
import { describeError } from "../transport/log.js";
import { createLog } from "../transport/pino-log.js";
import { CommandError } from "./cli.js";

/** Of the limit on connections; the rest is for requests of our own under way. */
const INCOMING_SHARE = 0.8;
const IDLE_SHARE = 0.08;

export interface ServeFlags {
  readonly config?: string;
  readonly options?: string;
}

export interface Loaded {
  readonly settings: ReturnType<typeof loadSettings>;
  readonly options: Awaited<ReturnType<typeof loadOptions>>;
}

/** Reads and checks both files; a fault is one line naming the field. */
export const load = async (flags: ServeFlags): Promise<Loaded> => {
  try {
    if (flags.config === undefined) throw new SettingsError("--config FILE: missing");
    const settings = loadSettings(flags.config);
    return { settings, options: await loadOptions(flags.options ?? process.env.RAINRIDGE_OPTIONS ?? null) };
  } catch (error) {
    if (error instanceof SettingsError) throw new CommandError(error.message, true);
    throw error;
  }
};

/** Serves as one controller until killed. */
export const serve = async ({ settings, options }: Loaded): Promise<void> => {
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
  try {
    await server.listen(host, port);
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? "failed";
    throw new CommandError(`client_listen: ${settings.clientListen}: ${code}`, true);
  }
  log.info("serving", { listen: settings.clientListen, incarnation });
  controller.start();
};
