/**
 * Messages from and to users: job submissions, phases and statuses. The tables of this module are the only place that
 * contains the field names and keywords of this protocol.
 */
import type { JobShape, JobSpec, Priority } from "./job-spec.js";
import {
  asArray,
  asObject,
  type JsonObject,
  MalformedMessageError,
  readBoolean,
  readKeyword,
  readNames,
  readNonNegative,
  readOptional,
  readString,
} from "./json.js";
import { type Resources, requestedResources } from "./resources.js";

/** Phase of a job as reported to users. `done` and `cancelled` are terminal. */
export type JobPhase = "queued" | "running" | "done" | "cancelled";

/** Field names of a submission in the protocol. */
const FIELD = {
  id: "ref",
  jobClass: "jobclass",
  team: "owner",
  shape: "shape",
  priority: "rank",
  tasks: "shards",
  cpus: "cpus",
  gpus: "accelerators",
  ramGb: "ramGb",
  image: "bundle",
  imageGb: "sizeGb",
  types: "flavors",
  zone: "area",
  singleZone: "together",
  spread: "spread",
  spot: "loaner",
  estimatedRunS: "guessS",
  checkpointIntervalS: "saveEveryS",
  checkpointDurationS: "saveTakesS",
  deadlineS: "dueS",
  dependencies: "awaits",
} as const;

const SHAPE_BY_KEYWORD: Readonly<Record<string, JobShape>> = { sweep: "array", ensemble: "gang", daemon: "service" };
const PRIORITY_BY_KEYWORD: Readonly<Record<string, Priority>> = {
  prod: "production",
  high: "high",
  normal: "normal",
  best_effort: "low",
};
const KEYWORD_OF_PHASE: Readonly<Record<JobPhase, string>> = {
  queued: "pending",
  running: "running",
  done: "done",
  cancelled: "withdrawn",
};

const JOB_ID = /^wk-[A-Za-z0-9_.-]{1,64}$/;
const MAX_NAME_LENGTH = 200;
const MAX_TASKS = 100_000;
/** A status lists at most this many unfinished dependencies, together with their total number. */
const MAX_LISTED_DEPENDENCIES = 20;
/** Resources are held in thousandths of the units of the protocol. */
const RESOURCE_UNITS = 1_000;

/** Whether the text is a syntactically valid job id. */
export const isJobId = (text: string): boolean => JOB_ID.test(text);

/** Decodes a submission. Throws MalformedMessageError where a field is missing or invalid according to the protocol. */
export const decodeSubmission = (body: unknown): JobSpec => {
  const fields = asObject(body, "job");
  const id = readJobId(fields);
  const tasks = readTaskCount(fields);
  const types = readOptional(fields, FIELD.types, readNames);
  const demand = readDemand(fields);
  const dependencies = readDependencies(fields, id);
  return {
    id,
    jobClass: readName(fields, FIELD.jobClass),
    team: readName(fields, FIELD.team),
    shape: readKeyword(fields, FIELD.shape, SHAPE_BY_KEYWORD),
    priority: readKeyword(fields, FIELD.priority, PRIORITY_BY_KEYWORD),
    tasks,
    demand,
    types,
    zone: readOptional(fields, FIELD.zone, readString),
    singleZone: readBoolean(fields, FIELD.singleZone),
    spread: readBoolean(fields, FIELD.spread),
    spot: readBoolean(fields, FIELD.spot),
    image: readName(fields, FIELD.image),
    imageGb: readNonNegative(fields, FIELD.imageGb),
    estimatedRunS: readNonNegative(fields, FIELD.estimatedRunS),
    checkpointIntervalS: readNonNegative(fields, FIELD.checkpointIntervalS),
    checkpointDurationS: readNonNegative(fields, FIELD.checkpointDurationS),
    deadlineS: readOptional(fields, FIELD.deadlineS, readNonNegative),
    ...(dependencies.length === 0 ? {} : { dependencies }),
  };
};

const readJobId = (fields: JsonObject): string => {
  const id = readString(fields, FIELD.id);
  if (!isJobId(id)) throw new MalformedMessageError(`${FIELD.id}: not a job id`);
  return id;
};

const readTaskCount = (fields: JsonObject): number => {
  const tasks = readNonNegative(fields, FIELD.tasks);
  if (!Number.isInteger(tasks) || tasks < 1 || tasks > MAX_TASKS) {
    throw new MalformedMessageError(`${FIELD.tasks}: not a number of tasks`);
  }
  return tasks;
};

const readDemand = (fields: JsonObject): Resources => {
  const cpus = readNonNegative(fields, FIELD.cpus);
  const gpus = readOptional(fields, FIELD.gpus, readNonNegative) ?? 0;
  const ramGb = readNonNegative(fields, FIELD.ramGb);
  const demand = requestedResources(cpus, gpus, ramGb);
  const amounts = Object.values(demand);
  if (!amounts.every(Number.isSafeInteger)) throw new MalformedMessageError(`${FIELD.cpus}: out of range`);
  if (amounts.every((amount) => amount === 0)) throw new MalformedMessageError(`${FIELD.cpus}: nothing asked for`);
  return demand;
};

/** Reads the dependencies without duplicates; a null, absent or empty list means none. */
const readDependencies = (fields: JsonObject, id: string): readonly string[] => {
  const name = FIELD.dependencies;
  const entries = readOptional(fields, name, (present) => asArray(present[name], name)) ?? [];
  const dependencies = new Set<string>();
  for (const entry of entries) {
    if (typeof entry !== "string" || !isJobId(entry)) throw new MalformedMessageError(`${name}: not a list of job ids`);
    if (entry === id) throw new MalformedMessageError(`${name}: names the job itself`);
    if (dependencies.has(entry)) throw new MalformedMessageError(`${name}: ${entry} twice`);
    dependencies.add(entry);
  }
  return [...dependencies];
};

const readName = (fields: JsonObject, name: string): string => {
  const value = readString(fields, name);
  if (value === "" || value.length > MAX_NAME_LENGTH) throw new MalformedMessageError(`${name}: empty or too long`);
  return value;
};

/** Encodes a specification as a submission. Decoding the submission yields the same specification. */
export const encodeSubmission = (spec: JobSpec): JsonObject => ({
  [FIELD.id]: spec.id,
  [FIELD.jobClass]: spec.jobClass,
  [FIELD.team]: spec.team,
  [FIELD.shape]: keywordOf(SHAPE_BY_KEYWORD, spec.shape),
  [FIELD.priority]: keywordOf(PRIORITY_BY_KEYWORD, spec.priority),
  [FIELD.tasks]: spec.tasks,
  [FIELD.cpus]: spec.demand.cpu / RESOURCE_UNITS,
  [FIELD.gpus]: spec.demand.gpu / RESOURCE_UNITS,
  [FIELD.ramGb]: spec.demand.ram / RESOURCE_UNITS,
  [FIELD.image]: spec.image,
  [FIELD.imageGb]: spec.imageGb,
  [FIELD.types]: spec.types,
  [FIELD.zone]: spec.zone,
  [FIELD.singleZone]: spec.singleZone,
  [FIELD.spread]: spec.spread,
  [FIELD.spot]: spec.spot,
  [FIELD.estimatedRunS]: spec.estimatedRunS,
  [FIELD.checkpointIntervalS]: spec.checkpointIntervalS,
  [FIELD.checkpointDurationS]: spec.checkpointDurationS,
  [FIELD.deadlineS]: spec.deadlineS,
  ...(spec.dependencies === undefined ? {} : { [FIELD.dependencies]: spec.dependencies }),
});

const keywordOf = <T extends string>(table: Readonly<Record<string, T>>, value: T): string =>
  Object.keys(table).find((keyword) => table[keyword] === value) ?? value;

/** Encodes the response to a submission or a cancellation. */
export const encodePhase = (id: string, phase: JobPhase): JsonObject => ({ ref: id, phase: KEYWORD_OF_PHASE[phase] });

/**
 * Encodes the response to a job status request. `done`, `running`: numbers of tasks. `unfinished`: unmet dependencies.
 */
export const encodeStatus = (
  id: string,
  phase: JobPhase,
  done: number,
  running: number,
  unfinished: readonly string[] = [],
): JsonObject => ({
  ...encodePhase(id, phase),
  done,
  running,
  ...(unfinished.length === 0
    ? {}
    : { awaits: unfinished.slice(0, MAX_LISTED_DEPENDENCIES), awaitsInAll: unfinished.length }),
});
