import type { JobSpec } from "../protocol/job.js";
import { jobSpecCodec } from "../protocol/job-spec-codec.js";
import {
  asArray,
  asObject,
  type JsonObject,
  MalformedMessageError,
  readNonNegative,
  readString,
  readUint64,
  type Uint64,
} from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";

/**
 * Keys. All that is still going on lies below `c/`, so that a start-up list and the watch do not grow with the
 * jobs that ever ended; those have their last word below `e/`, one key a job, for ever.
 */
export const CURRENT_PREFIX = "c/";
/**
 * Blocks of machines that are leased separately. One holds all of a deployment of some tens of machines: cut in
 * three, the room kept standing for the next job would be needed three times over.
 */
export const SHARD_COUNT = 1;

/** One home for a team, so that one ledger keeps its limit; one for a machine, so that one holder commands it. */
export const shardOf = (name: string): number => {
  let hash = 0;
  for (const char of name) hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  return hash % SHARD_COUNT;
};
export const CLUSTER_LEADER_KEY = "c/leader";
export const SHARD_EPOCH_KEY = "c/number";
export const MACHINE_TYPES_KEY = "c/types";
export const memberKey = (label: string): string => `c/member/${label}`;
export const shardKey = (shard: number): string => `c/block/${shard}`;
export const jobKey = (id: string): string => `c/job/${id}`;
export const taskRangeKey = (id: string, range: number): string => `c/range/${id}/${range}`;
/** There while the block's holder can take nothing more; all controllers accept for it, so all have to know. */
export const backpressureKey = (shard: number): string => `c/full/${shard}`;
/** Zones in which nobody has been answered for a while, and since when (`SilenceRecord`). */
export const unreachableZonesKey = (shard: number): string => `c/silence/${shard}`;
/** Part of a list of awaited jobs that is too long for its job's own record. The digest is the list's: nothing else is ever there. */
export const dependencyListKey = (id: string, digest: string, part: number): string =>
  `c/awaits/${id}/${digest}/${part}`;
export const outcomeKey = (id: string): string => `e/${id}`;

const withoutPrefix = (prefix: string, key: string): string | null =>
  key.startsWith(prefix) ? key.slice(prefix.length) : null;
export const jobOfKey = (key: string): string | null => withoutPrefix("c/job/", key);
export const jobOfDependencyListKey = (key: string): string | null =>
  withoutPrefix("c/awaits/", key)?.split("/")[0] ?? null;
export const memberOfKey = (key: string): string | null => withoutPrefix("c/member/", key);
export const taskRangeOfKey = (key: string): { id: string; range: number } | null => {
  const rest = withoutPrefix("c/range/", key);
  if (rest === null) return null;
  const slash = rest.lastIndexOf("/");
  return { id: rest.slice(0, slash), range: Number(rest.slice(slash + 1)) };
};

export interface MemberRecord {
  readonly leaseId: Uint64;
  readonly incarnation: string;
}

export interface ShardRecord {
  readonly label: string;
  readonly incarnation: string;
  readonly epoch: number;
}

/** Where a list of awaited jobs lies that is too long for its job's record. */
export interface DependencyListLocation {
  readonly digest: string;
  readonly parts: number;
}

export interface JobRecord {
  readonly spec: JobSpec;
  readonly shard: number;
  readonly cancelled: boolean;
  /** Where the list of awaited jobs lies, if it is not in the specification. */
  readonly dependencyList?: DependencyListLocation;
  /** Time of day in milliseconds at which it was accepted, where that is known. */
  readonly acceptedMs?: number;
  /** Where it was not its user who cancelled it. */
  readonly cancellationReason?: CancellationReason;
  /** By task, failures that count against the attempt that this job is; kept for jobs of graphs only. */
  readonly failuresByTask?: Readonly<Record<string, number>>;
}

/** `error`, `timeout`: the attempt was given up. `graph`: withdrawn with what it is part of. `cleared`: to be redone. */
export const CANCELLATION_REASONS = ["error", "timeout", "graph", "cleared"] as const;
export type CancellationReason = (typeof CANCELLATION_REASONS)[number];

export interface OutcomeRecord {
  readonly phase: "done" | "cancelled";
  readonly completedTasks: number;
  readonly cancellationReason?: CancellationReason;
}

/** By zone, the time of day (milliseconds) after which no worker there was answered. */
export interface UnreachableZonesRecord {
  /** The block's number under which this was written. */
  readonly epoch: number;
  readonly unansweredSinceMs: Readonly<Record<string, number>>;
}

/** What is durable of one task. `attempt` is the last one used; a machine means that it may be there. */
export type TaskRecord =
  | { readonly kind: "waiting"; readonly attempt: number }
  | { readonly kind: "placed"; readonly attempt: number; readonly machine: string }
  | { readonly kind: "done" };

const encodeTask = (task: TaskRecord): unknown => {
  switch (task.kind) {
    case "waiting":
      return task.attempt;
    case "placed":
      return [task.attempt, task.machine];
    case "done":
      return -1;
  }
};

/** Bytes of a range's value as sent. */
export const taskRangeBytes = (records: readonly TaskRecord[]): number => {
  let bytes = 8;
  for (const record of records) {
    if (record.kind === "done") bytes += 3;
    else if (record.kind === "waiting") bytes += String(record.attempt).length + 1;
    else bytes += String(record.attempt).length + Buffer.byteLength(record.machine) + 6;
  }
  return bytes;
};

export const encodeTaskRange = (tasks: readonly TaskRecord[]): unknown => ({ t: tasks.map(encodeTask) });

export const decodeTaskRange = (value: unknown): readonly TaskRecord[] =>
  asArray(asObject(value, "range").t, "t").map((entry): TaskRecord => {
    if (entry === -1) return { kind: "done" };
    if (typeof entry === "number") return { kind: "waiting", attempt: entry };
    const [attempt, machine] = asArray(entry, "task");
    if (typeof attempt !== "number" || typeof machine !== "string") throw new MalformedMessageError("task record");
    return { kind: "placed", attempt, machine };
  });

/** Undefined where there is none, or one that is not known here. */
const decodeCancellationReason = (fields: JsonObject): CancellationReason | undefined =>
  CANCELLATION_REASONS.find((reason) => reason === fields.why);

const memberCodec = new RecordCodec<MemberRecord>({ leaseId: "lease", incarnation: "incarnation" });
const shardCodec = new RecordCodec<ShardRecord>({ label: "label", incarnation: "incarnation", epoch: "number" });
const unreachableZonesCodec = new RecordCodec<UnreachableZonesRecord>({ epoch: "number", unansweredSinceMs: "zones" });
const outcomeCodec = new RecordCodec<OutcomeRecord>({
  phase: "phase",
  completedTasks: "done",
  cancellationReason: "why",
});
const dependencyListCodec = new RecordCodec<DependencyListLocation>({ digest: "digest", parts: "parts" });
const jobCodec = new RecordCodec<JobRecord>({
  spec: { name: "spec", form: jobSpecCodec },
  shard: "block",
  cancelled: "cancelled",
  dependencyList: { name: "awaited", form: dependencyListCodec },
  acceptedMs: "acceptedMs",
  cancellationReason: "why",
  failuresByTask: "errors",
});

export const encodeMemberRecord = (record: MemberRecord): JsonObject => memberCodec.encode(record);
export const encodeShardRecord = (record: ShardRecord): JsonObject => shardCodec.encode(record);
export const encodeUnreachableZones = (record: UnreachableZonesRecord): JsonObject =>
  unreachableZonesCodec.encode(record);
export const encodeOutcomeRecord = (record: OutcomeRecord): JsonObject => outcomeCodec.encode(record);
export const encodeJobRecord = (record: JobRecord): JsonObject => jobCodec.encode(record);

// Written by this program alone and never edited elsewhere, so its inner shape is taken as it is.
export const decodeJobRecord = (value: unknown): JobRecord => {
  const fields = asObject(value, "job record");
  const reason = decodeCancellationReason(fields);
  return {
    spec: jobSpecCodec.decode(asObject(fields.spec, "spec")),
    shard: readNonNegative(fields, "block"),
    cancelled: fields.cancelled === true,
    ...(fields.awaited === undefined ? {} : { dependencyList: dependencyListCodec.decode(fields.awaited) }),
    ...(typeof fields.acceptedMs === "number" ? { acceptedMs: fields.acceptedMs } : {}),
    ...(reason === undefined ? {} : { cancellationReason: reason }),
    ...(fields.errors === undefined ? {} : { failuresByTask: fields.errors as Readonly<Record<string, number>> }),
  };
};

/** The jobs that it awaits, wherever its list lies; null while a part of it is not in the view. */
export const recordedDependencies = (
  { spec, dependencyList }: JobRecord,
  entries: ReadonlyMap<string, { readonly value: unknown }>,
): readonly string[] | null => {
  if (dependencyList === undefined) return spec.dependencies ?? [];
  const ids: string[] = [];
  for (let part = 0; part < dependencyList.parts; part += 1) {
    const entry = entries.get(dependencyListKey(spec.id, dependencyList.digest, part));
    if (entry === undefined) return null;
    for (const id of asArray(entry.value, "awaited")) if (typeof id === "string") ids.push(id);
  }
  return ids;
};

export const decodeMemberRecord = (value: unknown): MemberRecord => {
  const fields = asObject(value, "member");
  return { leaseId: readUint64(fields, "lease"), incarnation: readString(fields, "incarnation") };
};

export const decodeShardRecord = (value: unknown): ShardRecord => {
  const fields = asObject(value, "block");
  return {
    label: readString(fields, "label"),
    incarnation: readString(fields, "incarnation"),
    epoch: readNonNegative(fields, "number"),
  };
};

export const decodeUnreachableZones = (value: unknown): UnreachableZonesRecord => {
  const fields = asObject(value, "silence");
  const zones = asObject(fields.zones, "zones");
  return {
    epoch: readNonNegative(fields, "number"),
    unansweredSinceMs: Object.fromEntries(Object.keys(zones).map((zone) => [zone, readNonNegative(zones, zone)])),
  };
};

export const decodeOutcomeRecord = (value: unknown): OutcomeRecord => {
  const fields = asObject(value, "end");
  const phase = readString(fields, "phase") === "done" ? "done" : "cancelled";
  const reason = decodeCancellationReason(fields);
  return {
    phase,
    completedTasks: readNonNegative(fields, "done"),
    ...(reason === undefined ? {} : { cancellationReason: reason }),
  };
};
