/** Builds the services that all parts of a controller share. */

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
 * Both limits of the key-value store are shared by all controllers, whose shares of the work differ: nearly all writes
 * are the shard leader's, which with less than this had its starts wait while a third of the budget was left.
 */
const REQUEST_SHARE = 0.7;
const WRITE_SHARE = 0.85;

/** What the services of one controller are built from. */
export interface ServicesSetup {
  readonly environment: ControllerEnvironment;
  readonly settings: Settings;
  readonly options: OperatorOptions;
  /** The mesh's client where there is a mesh, else the environment's. */
  readonly http: HttpClient;
  /** When the workers were last found to be cut off from here, or reachable again; null: never. */
  readonly workerPathChangedAt: () => Micros | null;
}

/** The services of one controller; the load shedder starts to take samples at once. */
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
    // Polls may lag by seconds: under load they share longer intervals.
    syncSlowdown: () => (loadShedder.atLeast("degraded") ? 5 : loadShedder.atLeast("reduced") ? 2 : 1),
  });
  const transactions = new TransactionBatcher(store, clock, random);
  const eventListener = environment.eventListener ?? null;
  const onInspected = environment.onInspected ?? null;
  const wallClock = environment.wallClock ?? null;
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
    onInspected,
  };
};
