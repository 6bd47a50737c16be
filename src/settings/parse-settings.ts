import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { availableResources } from "../protocol/resources.js";
import { type Micros, seconds } from "../transport/clock.js";
import { SettingsError } from "./errors.js";
import type { ServiceLevelObjective, Settings, Team } from "./settings.js";
import { shardLeaseDuration } from "./shard-lease.js";

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
