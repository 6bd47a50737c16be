/** Loads the settings and options of a controller, and serves as one. */
import { randomBytes } from "node:crypto";
import { getHeapStatistics } from "node:v8";
import type { ClusterEventListener } from "../cluster/events.js";
import { CloudClient } from "../coordination/autoscaling/cloud-client.js";
import { Controller } from "../coordination/leadership/controller.js";
import type { MeshFactory } from "../coordination/leadership/mesh-port.js";
import type { ProcessLoad } from "../coordination/overload/load-shedder.js";
import { allocateConnections } from "../settings/connections.js";
import { SettingsError } from "../settings/errors.js";
import { maxHeapMb, maxTasksInMemory, oldGenerationMb } from "../settings/memory-budget.js";
import { loadOptions } from "../settings/options.js";
import { loadSettings } from "../settings/parse-settings.js";
import { countRequests } from "../stats.js";
import { type Clock, seconds, systemClock } from "../transport/clock.js";
import type { HttpClient } from "../transport/http.js";
import { NetHttpClient, splitAddress } from "../transport/http-client.js";
import { HttpServer } from "../transport/http-server.js";
import { describeError, type Log } from "../transport/log.js";
import { createLog, isDebug } from "../transport/pino-log.js";
import { CommandError } from "./cli.js";

/** Flags of `serve` and `check`: paths of the settings (TOML) and of the operators' options (JSON). */
export interface ServeFlags {
  readonly config?: string;
  readonly options?: string;
}

/** Validated settings of a controller and options of its operators. */
export interface LoadedConfiguration {
  readonly settings: ReturnType<typeof loadSettings>;
  readonly options: Awaited<ReturnType<typeof loadOptions>>;
}

/**
 * Reads and validates both files; without the options flag, `RAINRIDGE_OPTIONS` names their file. Throws a
 * `CommandError` of one line that names the invalid field.
 */
export const loadConfiguration = async (flags: ServeFlags): Promise<LoadedConfiguration> => {
  try {
    if (flags.config === undefined) throw new SettingsError("--config FILE: missing");
    const settings = loadSettings(flags.config);
    return { settings, options: await loadOptions(flags.options ?? process.env.RAINRIDGE_OPTIONS ?? null) };
  } catch (error) {
    if (error instanceof SettingsError) throw new CommandError(error.message, true);
    throw error;
  }
};

/** Listener for cluster events: records a trace, logs at debug level, or does both; null if neither is enabled. */
const createEventListener = async (
  { settings, options }: LoadedConfiguration,
  clock: Clock,
  log: Log,
  http: HttpClient,
): Promise<ClusterEventListener> => {
  const debug = isDebug(process.env.LOG_LEVEL);
  if (options.record === null) return debug ? (event) => log.debug("seen", { event }) : null;
  // Loaded only if recording is enabled.
  const { FileRecorder, headerOf, siteOf } = await import("../whatif/index.js");
  const startedAt = new Date().toISOString();
  let header: ReturnType<typeof headerOf> | null = null;
  const fetchMachineTypes = async (): Promise<void> => {
    const reply = await new CloudClient(http, settings.cloudAddress, clock, log, 1).listMachineTypes();
    if (reply.kind === "ok") header = headerOf(siteOf(settings, reply.value.types), "recorded", startedAt);
    else clock.after(seconds(5), () => void fetchMachineTypes());
  };
  void fetchMachineTypes();
  const recorder = new FileRecorder(clock, log, settings.label, options.record, () => header);
  return (event) => {
    recorder.take(event);
    if (debug) log.debug("seen", { event });
  };
};

/** Returns a function for the used shares of the memory and connection limits; memory is sampled once a second. */
const createLoadProbe = (
  { quota }: LoadedConfiguration["settings"],
  clock: Clock,
  connections: () => number,
): (() => ProcessLoad) => {
  let memory = 0;
  let sampledAt = Number.NEGATIVE_INFINITY;
  return () => {
    if (clock.now() - sampledAt > seconds(1)) {
      sampledAt = clock.now();
      const heap = getHeapStatistics();
      const rssShare = process.memoryUsage.rss() / (quota.memoryMb * 1_048_576);
      memory = Math.max(heap.used_heap_size / heap.heap_size_limit, rssShare);
    }
    return { memory, sockets: connections() / quota.maxConnections };
  };
};

/** Logs if the heap limit is so high that the process can exceed its memory quota, and be killed, below that limit. */
const logExcessiveHeapLimit = ({ quota }: LoadedConfiguration["settings"], log: Log): void => {
  const heapMb = oldGenerationMb(getHeapStatistics().heap_size_limit);
  const mostMb = maxHeapMb(quota);
  if (heapMb > mostMb) log.info("heap limit too high", { heapMb, mostMb, memoryMb: quota.memoryMb });
};

/** Factory of the mesh, the connections to the other controllers; its modules are loaded only if it is enabled. */
const loadMeshFactory = async (
  settings: LoadedConfiguration["settings"],
  incarnation: string,
  clock: Clock,
  log: Log,
  http: HttpClient,
): Promise<MeshFactory> => {
  const { createMeshFactory, TcpFrameTransport } = await import("../mesh/index.js");
  const transport = new TcpFrameTransport(settings.meshListen, log);
  return createMeshFactory({ settings, incarnation, clock, log, http, random: Math.random, transport });
};

/** Serves as one controller until killed. Throws a `CommandError` if it cannot listen at `client_listen`. */
export const serve = async ({ settings, options }: LoadedConfiguration): Promise<void> => {
  const log = createLog(settings.label, process.env.LOG_LEVEL);
  // No input may end the process; an uncaught exception is a defect, and is logged as one.
  process.on("uncaughtException", (error) => log.error("uncaught exception", { error: describeError(error) }));
  process.on("unhandledRejection", (error) => log.error("unhandled rejection", { error: describeError(error) }));
  if (process.env.RAINRIDGE_END_WITH_STDIN === "1") process.stdin.on("end", () => process.exit(0)).resume();
  const clock = systemClock;
  const connections = allocateConnections(settings.quota.maxConnections);
  // Idle connections are bounded: with a thousand workers that send heartbeats, one to each would exceed the limit.
  const http = new NetHttpClient(clock, connections.idleOutgoing);
  const eventListener = await createEventListener({ settings, options }, clock, log, http);
  const loadProbe = createLoadProbe(settings, clock, () => server.connections + http.connections);
  // Loaded only if graphs are enabled.
  const extension =
    options.graphs === null ? null : (await import("../graphs/index.js")).graphExtension(options.graphs);
  const incarnation = randomBytes(8).toString("hex");
  const mesh = options.mesh ? await loadMeshFactory(settings, incarnation, clock, log, http) : null;
  const environment = {
    clock,
    log,
    http,
    random: Math.random,
    eventListener,
    load: loadProbe,
    maxTasks: maxTasksInMemory(oldGenerationMb(getHeapStatistics().heap_size_limit)),
    wallClock: Date.now,
    extension,
    mesh,
  };
  const controller = new Controller(environment, settings, options, incarnation);
  const server: HttpServer = new HttpServer(
    clock,
    {
      maxConnections: connections.incoming,
      keepConnections: connections.keepAlive,
      requestTimeout: seconds(10),
      idleTimeout: seconds(60),
      maxConcurrentRequests: 512,
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
  logExcessiveHeapLimit(settings, log);
  log.info("serving", { listen: settings.clientListen, incarnation });
  controller.start();
};
