/** Builds the services shared by all parts of a controller. */

import { DependencyGraph } from "../../cluster/dependency-graph.js";
import type { OperatorOptions } from "../../settings/options.js";
import type { Settings } from "../../settings/settings.js";
import { KeyValueStore } from "../../storage/key-value-store.js";
import { CURRENT_PREFIX } from "../../storage/keys.js";
import { TransactionBatcher } from "../../storage/transaction-batcher.js";
import { requestInterval, SYNC_REQUEST_SHARE, WATCH_REQUEST_SHARE, WatchCache } from "../../storage/watch-cache.js";
import type { Micros } from "../../transport/clock.js";
import type { HttpClient } from "../../transport/http.js";
import type { Services } from "../context.js";
import { LoadShedder } from "../overload/load-shedder.js";
import type { ControllerEnvironment } from "./controller-environment.js";

/**
 * This controller's shares of the key-value store's request and write limits. All controllers share these limits, but
 * nearly all writes are the shard leader's: with smaller shares, its task starts waited while a third of the budget was
 * unused.
 */
const REQUEST_SHARE = 0.7;
const WRITE_SHARE = 0.85;

/** Inputs of `createServices`. */
export interface ServicesSetup {
  readonly environment: ControllerEnvironment;
  readonly settings: Settings;
  readonly options: OperatorOptions;
  /** The mesh's client if there is a mesh, otherwise the environment's. */
  readonly http: HttpClient;
  /** When the path to the workers was last found cut or restored; null: never, or there is no mesh. */
  readonly workerPathChangedAt: () => Micros | null;
}

/** Creates the services of one controller; the load shedder starts sampling at once. */
export const createServices = ({
  environment,
  settings,
  options,
  http,
  workerPathChangedAt,
}: ServicesSetup): Services => {
  const { clock, log, random } = environment;
  const store = new KeyValueStore({
    http,
    address: settings.storeAddress,
    clock,
    log,
    budget: {
      requestsPerS: settings.store.requestsPerS * REQUEST_SHARE,
      writesPerS: settings.store.writesPerS * WRITE_SHARE,
      writesPerTransaction: settings.store.transactionWrites,
      valueBytes: settings.store.valueBytes,
    },
    random,
  });
  const loadShedder = new LoadShedder(clock, log, environment.load ?? null);
  const { requestsPerS } = settings.store;
  const cache = new WatchCache({
    store,
    prefix: CURRENT_PREFIX,
    clock,
    log,
    watchInterval: requestInterval(WATCH_REQUEST_SHARE, requestsPerS, settings.controllers),
    syncInterval: requestInterval(SYNC_REQUEST_SHARE, requestsPerS, settings.controllers),
    // Answers to job status polls may be seconds old: under load, more polls share one sync request.
    syncSlowdown: () => (loadShedder.atLeast("degraded") ? 5 : loadShedder.atLeast("reduced") ? 2 : 1),
  });
  const transactions = new TransactionBatcher(store, clock, random);
  const eventListener = environment.eventListener ?? null;
  const onInspected = environment.onInspected ?? null;
  const wallClock = environment.wallClock ?? null;
  const maxTasks = environment.maxTasks ?? Number.POSITIVE_INFINITY;
  const dependencies = new DependencyGraph();
  return {
    clock,
    log,
    http,
    random,
    wallClock,
    workerPathChangedAt,
    settings,
    options,
    store,
    transactions,
    cache,
    dependencies,
    eventListener,
    loadShedder,
    maxTasks,
    onInspected,
  };
};
