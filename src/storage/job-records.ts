/**
 * Records of jobs that have not ended, and of lists of dependencies that are too long for them.
 * @module
 */
import type { JobSpec } from "../protocol/job-spec.js";
import { jobSpecCodec } from "../protocol/job-spec.js";
import { asArray, asObject, type JsonObject, readNonNegative } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";
import { type CancellationReason, decodeCancellationReason } from "./cancellation-reason.js";
import { dependencyListKey } from "./keys.js";

/** Where a list of dependencies lies that is too long for its job's record (`dependencyListKey`). */
export interface DependencyListLocation {
  readonly digest: string;
  /** Number of records that the list is cut into. */
  readonly parts: number;
}

/** A job that was accepted and has not ended. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly shard: number;
  readonly cancelled: boolean;
  /** Where the list of dependencies lies, if it is not in the specification. */
  readonly dependencyList?: DependencyListLocation;
  /** Time of day in milliseconds at which it was accepted, where that is known. */
  readonly acceptedMs?: number;
  /** Where it was not its user who cancelled it. */
  readonly cancellationReason?: CancellationReason;
  /** By task, failures that count against the attempt that this job is; kept for jobs of graphs only. */
  readonly failuresByTask?: Readonly<Record<string, number>>;
}

const dependencyListCodec = new RecordCodec<DependencyListLocation>({ digest: "digest", parts: "parts" });
const jobCodec = new RecordCodec<JobRecord>({
  spec: { name: "spec", codec: jobSpecCodec },
  shard: "block",
  cancelled: "cancelled",
  dependencyList: { name: "awaited", codec: dependencyListCodec },
  acceptedMs: "acceptedMs",
  cancellationReason: "why",
  failuresByTask: "errors",
});

/** The stored form of a job. */
export const encodeJobRecord = (record: JobRecord): JsonObject => jobCodec.encode(record);

/** The job of a stored object that is not checked further; see `decodeJobRecord`. */
const readFields = (fields: JsonObject): JobRecord => {
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

/** Jobs by the stored object that they were read from: each answer to a user and each change reads the same object. */
const decodedRecords = new WeakMap<JsonObject, JobRecord>();

/**
 * Reads a job. Written by this program alone and never edited elsewhere, so the inner form of the specification, of the
 * list's location and of the failures is taken as it is. Throws `MalformedMessageError` where the value or the
 * specification is no object, or the shard no number.
 */
export const decodeJobRecord = (value: unknown): JobRecord => {
  const fields = asObject(value, "job record");
  const known = decodedRecords.get(fields);
  if (known !== undefined) return known;
  const record = readFields(fields);
  decodedRecords.set(fields, record);
  return record;
};

/**
 * The jobs that this one depends on, wherever its list lies; null while a part of the list is not among the entries.
 */
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
