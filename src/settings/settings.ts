import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { availableResources, type Resources } from "../protocol/job.js";
import { type Micros, seconds } from "../transport/clock.js";
import { cancellationTerms, maxWorkerLease, START_COMMAND_IN_FLIGHT, WORKER_KILL_DELAY } from "./cancellation.js";

export interface PeerSettings {
  readonly label: string;
  readonly zone: string;
  readonly address: string;
}

export interface Team {
  readonly name: string;
  readonly guaranteed: Resources;
  /** Null: no limit. Memory is never limited by a team. */
  readonly limit: { readonly cpu: number | null; readonly gpu: number | null };
}

/** What the users expect of a class, as far as the scheduler makes use of it. */
export interface ServiceLevelObjective {
  readonly kind: string;
  readonly jobClass: string | null;
  readonly within: Micros | null;
  readonly share: number;
}

export interface Settings {
  readonly label: string;
  readonly zone: string;
  readonly clientListen: string;
  readonly meshListen: string;
  readonly peers: readonly PeerSettings[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly controllers: number;
  /** Time of day differs from the true one by this much at most. */
  readonly maxClockError: Micros;
  readonly zones: readonly string[];
  readonly teams: ReadonlyMap<string, Team>;
  readonly objectives: readonly ServiceLevelObjective[];
  readonly workers: { readonly heartbeatInterval: Micros; readonly lease: Micros; readonly cancellationBound: Micros };
  readonly store: {
    readonly requestsPerS: number;
    readonly writesPerS: number;
    /** Of the limits now and those announced (`state.next`) the lower ones, from the beginning: they come without notice. */
    readonly valueBytes: number;
    readonly transactionWrites: number;
    /** How ranges of tasks are cut, which is not on record, follows from this limit for every version. */
    readonly layoutBytes: number;
  };
  readonly cloud: { readonly requestsPerS: number; readonly listLag: Micros };
  readonly quota: { readonly memoryMb: number; readonly maxConnections: number };
}

/** Message is one line naming the field. */
export class SettingsError extends Error {}

type Table = Readonly<Record<string, unknown>>;

const fail = (path: string, what: string): never => {
  throw new SettingsError(`${path}: ${what}`);
};

const table = (parent: Table, path: string, name: string): Table => {
  const value = parent[name];
  if (typeof value !== "object" || value === null || Array.isArray(value))
    return fail(path + name, "missing or not a table");
  return value as Table;
};

const list = (parent: Table, path: string, name: string): readonly unknown[] => {
  const value = parent[name] ?? [];
  return Array.isArray(value) ? value : fail(path + name, "not a list");
};

const text = (parent: Table, path: string, name: string): string => {
  const value = parent[name];
  return typeof value === "string" && value !== "" ? value : fail(path + name, "missing or not a string");
};

const endpoint = (parent: Table, path: string, name: string): string => {
  const value = text(parent, path, name);
  const port = Number(/^\d{1,3}(?:\.\d{1,3}){3}:(\d{1,5})$/.exec(value)?.[1] ?? Number.NaN);
  return port > 0 && port < 65_536 ? value : fail(path + name, "not an address like 10.0.0.1:8080");
};

const number = (parent: Table, path: string, name: string, least: number): number => {
  const value = parent[name];
  const plain = typeof value === "bigint" ? Number(value) : value;
  if (typeof plain !== "number" || !Number.isFinite(plain)) return fail(path + name, "missing or not a number");
  return plain >= least ? plain : fail(path + name, `must be at least ${least}`);
};

const whole = (parent: Table, path: string, name: string): number => {
  const value = number(parent, path, name, 1);
  return Number.isInteger(value) ? value : fail(path + name, "not a whole number");
};

const optional = (parent: Table, path: string, name: string): number =>
  parent[name] === undefined ? 0 : number(parent, path, name, 0);

const asTable = (value: unknown, path: string): Table =>
  typeof value === "object" && value !== null ? (value as Table) : fail(path, "not a table");

/** Lower limits that the state service will have from some moment on; what is not named stays as it is. */
const readLimits = (state: Table): Settings["store"] => {
  const path = "deployment.state.";
  const nextPath = `${path}next.`;
  const next = state.next === undefined ? {} : asTable(state.next, `${path}next`);
  const lower = (name: string, own: number, least: number): number =>
    next[name] === undefined ? own : Math.min(own, number(next, nextPath, name, least));
  const valueKb = number(state, path, "value_kb", 1);
  const transactionWrites = whole(state, path, "txn_ops");
  return {
    requestsPerS: lower("rps", number(state, path, "rps", 1), 1),
    writesPerS: lower("write_rps", number(state, path, "write_rps", 1), 1),
    valueBytes: Math.floor(lower("value_kb", valueKb, LEAST_VALUE_KB) * 1_024),
    transactionWrites:
      next.txn_ops === undefined ? transactionWrites : Math.min(transactionWrites, lastWrites(next, nextPath)),
    layoutBytes: Math.floor(valueKb * 1_024),
  };
};

/** A job's specification has to fit, and its last word takes two writes at once. */
const LEAST_VALUE_KB = 1;
const LEAST_WRITES = 2;

const lastWrites = (next: Table, path: string): number => {
  const writes = whole(next, path, "txn_ops");
  return writes >= LEAST_WRITES ? writes : fail(`${path}txn_ops`, `must be at least ${LEAST_WRITES}`);
};

const readTeam = (value: unknown, index: number): Team => {
  const path = `deployment.teams[${index}].`;
  const team = asTable(value, path);
  const limit = (name: string): number | null => {
    const most = optional(team, path, name);
    return most === 0 ? null : Math.floor(most * 1_000 + 1e-6);
  };
  return {
    name: text(team, path, "name"),
    guaranteed: availableResources(optional(team, path, "cpus"), optional(team, path, "gpus"), 0),
    limit: { cpu: limit("cpus_max"), gpu: limit("gpus_max") },
  };
};

const readObjective = (value: unknown, index: number): ServiceLevelObjective => {
  const path = `deployment.objectives[${index}].`;
  const objective = asTable(value, path);
  return {
    kind: text(objective, path, "kind"),
    jobClass: typeof objective.class === "string" ? objective.class : null,
    within: typeof objective.within_s === "number" ? seconds(objective.within_s) : null,
    share: typeof objective.share === "number" ? objective.share : 1,
  };
};

export const parseSettings = (source: string): Settings => {
  let root: Table;
  try {
    root = parse(source);
  } catch (error) {
    throw new SettingsError(`not TOML: ${String(error).split("\n")[0]}`);
  }
  const outside = table(root, "", "outside");
  const deployment = table(root, "", "deployment");
  const workers = table(deployment, "deployment.", "workers");
  const state = table(deployment, "deployment.", "state");
  const cloud = table(deployment, "deployment.", "cloud");
  const quota = table(deployment, "deployment.", "quota");
  const span = (parent: Table, path: string, name: string): Micros => seconds(number(parent, path, name, 0));
  const settings: Settings = {
    label: text(root, "", "label"),
    zone: text(root, "", "area"),
    clientListen: endpoint(root, "", "client_listen"),
    meshListen: endpoint(root, "", "mesh_addr"),
    peers: list(root, "", "siblings").map((value, index) => {
      const path = `siblings[${index}].`;
      const sibling = asTable(value, path);
      return {
        label: text(sibling, path, "label"),
        zone: text(sibling, path, "area"),
        address: endpoint(sibling, path, "endpoint"),
      };
    }),
    cloudAddress: endpoint(outside, "outside.", "cloud"),
    storeAddress: endpoint(outside, "outside.", "state"),
    maxClockError: seconds(optional(deployment, "deployment.", "clock_error_ms") / 1_000),
    controllers: whole(deployment, "deployment.", "count"),
    zones: list(deployment, "deployment.", "zones").map((zone, index) =>
      typeof zone === "string" ? zone : fail(`deployment.zones[${index}]`, "not a string"),
    ),
    teams: new Map(
      list(deployment, "deployment.", "teams")
        .map(readTeam)
        .map((team) => [team.name, team]),
    ),
    objectives: list(deployment, "deployment.", "objectives").map(readObjective),
    workers: {
      heartbeatInterval: span(workers, "deployment.workers.", "report_s"),
      lease: span(workers, "deployment.workers.", "lease_s"),
      cancellationBound: span(workers, "deployment.workers.", "cancel_s"),
    },
    store: readLimits(state),
    cloud: {
      requestsPerS: number(cloud, "deployment.cloud.", "rps", 0.1),
      listLag: span(cloud, "deployment.cloud.", "list_lag_s"),
    },
    quota: {
      memoryMb: number(quota, "deployment.quota.", "mem_mb", 1),
      maxConnections: whole(quota, "deployment.quota.", "max_connections"),
    },
  };
  if (settings.workers.heartbeatInterval <= 0) fail("deployment.workers.report_s", "must be above 0");
  shardLeaseDuration(settings);
  return settings;
};

export const loadSettings = (file: string): Settings => {
  let source: string;
  try {
    source = readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: ${(error as NodeJS.ErrnoException).code ?? "cannot be read"}`);
  }
  return parseSettings(source);
};

const MIN_LEASE_MARGIN = seconds(4);
const SHORTEST_SHARD_LEASE = seconds(1);
/**
 * A holder that is cut off keeps its block from the others for so long. Through an outage of the state service a
 * longer one helps little: nothing can be placed then, and workers keep what they run for a lease of their own.
 */
const LONGEST_SHARD_LEASE = seconds(10);

/**
 * A controller cut off from the state service cannot learn of a cancellation. It may answer its workers until
 * its lease is over, a start of its last moment may land after that, and workers may run tasks for a lease of their own
 * longer: all together stay below `cancel_s`.
 */
export const shardLeaseDuration = ({ workers }: Pick<Settings, "workers">): Micros => {
  const left = workers.cancellationBound - maxWorkerLease(workers.lease);
  const longest = Math.floor(
    left - Math.max(2 * WORKER_KILL_DELAY + START_COMMAND_IN_FLIGHT, Math.min(MIN_LEASE_MARGIN, left / 4)),
  );
  const lease = Math.min(longest, LONGEST_SHARD_LEASE) as Micros;
  if (longest < SHORTEST_SHARD_LEASE || cancellationTerms(workers, lease).left <= 0) {
    return fail("deployment.workers.cancel_s", `leaves ${left / 1_000_000} s beyond lease_s, too little for a lease`);
  }
  return lease;
};
