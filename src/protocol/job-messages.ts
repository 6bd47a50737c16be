import type { JobShape, JobSpec, Priority } from "./job-spec.js";
import {
  asArray,
  asObject,
  type JsonObject,
  MalformedMessageError,
  readBoolean,
  readNonNegative,
  readOptional,
  readString,
} from "./json.js";
import { requestedResources } from "./resources.js";

export type JobPhase = "queued" | "running" | "done" | "cancelled";

const WIRE_SHAPE: Readonly<Record<string, JobShape>> = { sweep: "array", ensemble: "gang", daemon: "service" };
const WIRE_PRIORITY: Readonly<Record<string, Priority>> = {
  prod: "production",
  high: "high",
  normal: "normal",
  best_effort: "low",
};
const WIRE_PHASE: Readonly<Record<JobPhase, string>> = {
  queued: "pending",
  running: "running",
  done: "done",
  cancelled: "withdrawn",
};

const JOB_ID = /^wk-[A-Za-z0-9_.-]{1,64}$/;
const MAX_TASKS = 100_000;

export const isJobId = (text: string): boolean => JOB_ID.test(text);

const lookup = <T>(table: Readonly<Record<string, T>>, fields: JsonObject, name: string): T => {
  const value = Object.hasOwn(table, readString(fields, name)) ? table[readString(fields, name)] : undefined;
  if (value === undefined) throw new MalformedMessageError(`${name}: unknown value`);
  return value;
};

const readName = (fields: JsonObject, name: string): string => {
  const value = readString(fields, name);
  if (value === "" || value.length > 200) throw new MalformedMessageError(`${name}: empty or too long`);
  return value;
};

/** The jobs that have to be done first; null and none are the same. */
const decodeDependencies = (fields: JsonObject, id: string): readonly string[] => {
  const awaits = readOptional(fields, "awaits", (f, name) => asArray(f[name], name)) ?? [];
  const known = new Set<string>();
  for (const entry of awaits) {
    if (typeof entry !== "string" || !isJobId(entry)) throw new MalformedMessageError("awaits: not a list of job ids");
    if (entry === id) throw new MalformedMessageError("awaits: names the job itself");
    if (known.has(entry)) throw new MalformedMessageError(`awaits: ${entry} twice`);
    known.add(entry);
  }
  return [...known];
};

/** Throws Malformed on anything that the protocol calls missing or invalid. */
export const decodeSubmission = (body: unknown): JobSpec => {
  const fields = asObject(body, "job");
  const id = readString(fields, "ref");
  if (!isJobId(id)) throw new MalformedMessageError("ref: not a job id");
  const tasks = readNonNegative(fields, "shards");
  if (!Number.isInteger(tasks) || tasks < 1 || tasks > MAX_TASKS)
    throw new MalformedMessageError("shards: not a number of tasks");
  const types = readOptional(fields, "flavors", (f, name) =>
    asArray(f[name], name).map((entry) => {
      if (typeof entry !== "string") throw new MalformedMessageError("flavors: not names");
      return entry;
    }),
  );
  const demand = requestedResources(
    readNonNegative(fields, "cpus"),
    readOptional(fields, "accelerators", readNonNegative) ?? 0,
    readNonNegative(fields, "ramGb"),
  );
  if (!Object.values(demand).every(Number.isSafeInteger)) throw new MalformedMessageError("cpus: out of range");
  if (demand.cpu === 0 && demand.gpu === 0 && demand.ram === 0)
    throw new MalformedMessageError("cpus: nothing asked for");
  const awaits = decodeDependencies(fields, id);
  return {
    id,
    jobClass: readName(fields, "jobclass"),
    team: readName(fields, "owner"),
    shape: lookup(WIRE_SHAPE, fields, "shape"),
    priority: lookup(WIRE_PRIORITY, fields, "rank"),
    tasks,
    demand,
    types,
    zone: readOptional(fields, "area", readString),
    singleZone: readBoolean(fields, "together"),
    spread: readBoolean(fields, "spread"),
    spot: readBoolean(fields, "loaner"),
    image: readName(fields, "bundle"),
    imageGb: readNonNegative(fields, "sizeGb"),
    estimatedRunS: readNonNegative(fields, "guessS"),
    checkpointIntervalS: readNonNegative(fields, "saveEveryS"),
    checkpointDurationS: readNonNegative(fields, "saveTakesS"),
    deadlineS: readOptional(fields, "dueS", readNonNegative),
    ...(awaits.length === 0 ? {} : { dependencies: awaits }),
  };
};

const wireOf = <T extends string>(table: Readonly<Record<string, T>>, value: T): string =>
  Object.keys(table).find((name) => table[name] === value) ?? value;

/** The job as its user would have sent it; reading it gives the same specification again. */
export const encodeSubmission = (spec: JobSpec): JsonObject => ({
  ref: spec.id,
  jobclass: spec.jobClass,
  owner: spec.team,
  shape: wireOf(WIRE_SHAPE, spec.shape),
  rank: wireOf(WIRE_PRIORITY, spec.priority),
  shards: spec.tasks,
  cpus: spec.demand.cpu / 1_000,
  accelerators: spec.demand.gpu / 1_000,
  ramGb: spec.demand.ram / 1_000,
  bundle: spec.image,
  sizeGb: spec.imageGb,
  flavors: spec.types,
  area: spec.zone,
  together: spec.singleZone,
  spread: spec.spread,
  loaner: spec.spot,
  guessS: spec.estimatedRunS,
  saveEveryS: spec.checkpointIntervalS,
  saveTakesS: spec.checkpointDurationS,
  dueS: spec.deadlineS,
  ...(spec.dependencies === undefined ? {} : { awaits: spec.dependencies }),
});

export const encodePhase = (id: string, phase: JobPhase): JsonObject => ({ ref: id, phase: WIRE_PHASE[phase] });

/** `awaits`: what it still waits for, for people. */
export const encodeStatus = (
  id: string,
  phase: JobPhase,
  done: number,
  running: number,
  awaits: readonly string[] = [],
): JsonObject => ({
  ref: id,
  phase: WIRE_PHASE[phase],
  done,
  running,
  ...(awaits.length === 0 ? {} : { awaits: awaits.slice(0, MOST_SHOWN), awaitsInAll: awaits.length }),
});

const MOST_SHOWN = 20;
