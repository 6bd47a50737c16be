/** Reads the settings of a controller from TOML. Only this module contains the field names of the file. */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { availableResources } from "../protocol/resources.js";
import { seconds } from "../transport/clock.js";
import { SettingsError } from "./errors.js";
import type {
  CloudSettings,
  PeerSettings,
  ProcessQuota,
  ServiceLevelObjective,
  Settings,
  StoreSettings,
  Team,
  WorkerSettings,
} from "./settings.js";
import { failSetting, SettingsTable, type TomlTable } from "./settings-table.js";
import { shardLeaseDuration } from "./shard-lease.js";

/** A job's specification has to fit into one value of the store. */
const MIN_VALUE_KB = 1;
/** Storing a job's outcome record takes two writes in one transaction. */
const MIN_TRANSACTION_WRITES = 2;
const BYTES_PER_KB = 1_024;

/** Reads a settings file. Throws SettingsError if the file is unreadable or invalid. */
export const loadSettings = (file: string): Settings => {
  let source: string;
  try {
    source = readFileSync(file, "utf8");
  } catch (error) {
    const reason = (error as NodeJS.ErrnoException).code ?? "cannot be read";
    throw new SettingsError(`${file}: ${reason}`, { cause: error });
  }
  return parseSettings(source);
};

/**
 * Reads settings from TOML text. Unknown fields are ignored. Throws SettingsError for the first missing or invalid
 * field, and if `cancel_s` is too short to leave time for a shard lease.
 */
export const parseSettings = (source: string): Settings => {
  const settings = readSettings(new SettingsTable(parseToml(source), ""));
  if (settings.workers.heartbeatInterval <= 0) failSetting("deployment.workers.report_s", "must be above 0");
  shardLeaseDuration(settings);
  return settings;
};

const parseToml = (source: string): TomlTable => {
  try {
    return parse(source);
  } catch (error) {
    throw new SettingsError(`not TOML: ${String(error).split("\n")[0]}`, { cause: error });
  }
};

const readSettings = (root: SettingsTable): Settings => {
  // All tables are read first, so that the error names a missing table rather than the first field in it.
  const services = root.table("outside");
  const deployment = root.table("deployment");
  const workers = deployment.table("workers");
  const store = deployment.table("state");
  const cloud = deployment.table("cloud");
  const quota = deployment.table("quota");
  return {
    label: root.text("label"),
    zone: root.text("area"),
    clientListen: root.endpoint("client_listen"),
    meshListen: root.endpoint("mesh_addr"),
    peers: root.list("siblings").map(readPeer),
    cloudAddress: services.endpoint("cloud"),
    storeAddress: services.endpoint("state"),
    maxClockError: seconds(deployment.optionalNumber("clock_error_ms") / 1_000),
    controllers: deployment.wholeNumber("count"),
    zones: deployment.list("zones").map(readZone),
    teams: new Map(
      deployment
        .list("teams")
        .map(readTeam)
        .map((team) => [team.name, team]),
    ),
    objectives: deployment.list("objectives").map(readObjective),
    workers: readWorkers(workers),
    store: readStore(store),
    cloud: readCloud(cloud),
    quota: readQuota(quota),
  };
};

const readPeer = (value: unknown, index: number): PeerSettings => {
  const peer = SettingsTable.from(value, `siblings[${index}].`);
  return { label: peer.text("label"), zone: peer.text("area"), address: peer.endpoint("endpoint") };
};

const readZone = (value: unknown, index: number): string =>
  typeof value === "string" ? value : failSetting(`deployment.zones[${index}]`, "not a string");

const readTeam = (value: unknown, index: number): Team => {
  const team = SettingsTable.from(value, `deployment.teams[${index}].`);
  return {
    name: team.text("name"),
    guaranteed: availableResources(team.optionalNumber("cpus"), team.optionalNumber("gpus"), 0),
    limit: { cpu: readTeamLimit(team, "cpus_max"), gpu: readTeamLimit(team, "gpus_max") },
  };
};

/** A team's limit in thousandths, rounded down like capacities; null: no limit. */
const readTeamLimit = (team: SettingsTable, name: string): number | null => {
  const limit = team.optionalNumber(name);
  return limit === 0 ? null : Math.floor(limit * 1_000 + 1e-6);
};

const readObjective = (value: unknown, index: number): ServiceLevelObjective => {
  const objective = SettingsTable.from(value, `deployment.objectives[${index}].`);
  const jobClass = objective.value("class");
  const within = objective.value("within_s");
  const share = objective.value("share");
  return {
    kind: objective.text("kind"),
    jobClass: typeof jobClass === "string" ? jobClass : null,
    within: typeof within === "number" ? seconds(within) : null,
    share: typeof share === "number" ? share : 1,
  };
};

const readWorkers = (workers: SettingsTable): WorkerSettings => ({
  heartbeatInterval: workers.duration("report_s"),
  lease: workers.duration("lease_s"),
  cancellationBound: workers.duration("cancel_s"),
});

/** Table `next` holds limits that will apply to the store at some later time; limits absent from it do not change. */
const readStore = (store: SettingsTable): StoreSettings => {
  const nextPath = store.pathOf("next");
  const next = SettingsTable.from(store.value("next") ?? {}, `${nextPath}.`, nextPath);
  const lowerLimit = (name: string, current: number, minimum: number): number =>
    next.has(name) ? Math.min(current, next.number(name, minimum)) : current;
  const valueKb = store.number("value_kb", 1);
  const transactionWrites = store.wholeNumber("txn_ops");
  return {
    requestsPerS: lowerLimit("rps", store.number("rps", 1), 1),
    writesPerS: lowerLimit("write_rps", store.number("write_rps", 1), 1),
    valueBytes: Math.floor(lowerLimit("value_kb", valueKb, MIN_VALUE_KB) * BYTES_PER_KB),
    transactionWrites: next.has("txn_ops")
      ? Math.min(transactionWrites, readNextTransactionWrites(next))
      : transactionWrites,
    currentValueBytes: Math.floor(valueKb * BYTES_PER_KB),
  };
};

const readNextTransactionWrites = (next: SettingsTable): number => {
  const writes = next.wholeNumber("txn_ops");
  if (writes >= MIN_TRANSACTION_WRITES) return writes;
  return failSetting(next.pathOf("txn_ops"), `must be at least ${MIN_TRANSACTION_WRITES}`);
};

const readCloud = (cloud: SettingsTable): CloudSettings => ({
  requestsPerS: cloud.number("rps", 0.1),
  listLag: cloud.duration("list_lag_s"),
});

const readQuota = (quota: SettingsTable): ProcessQuota => ({
  memoryMb: quota.number("mem_mb", 1),
  maxConnections: quota.wholeNumber("max_connections"),
});
