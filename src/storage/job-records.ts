/**
 * Records of jobs that have not ended, and of dependency lists that are too long for a job record.
 * @module
 */
import type { JobSpec } from "../protocol/job-spec.js";
import { jobSpecCodec } from "../protocol/job-spec.js";
import { asArray, asObject, type JsonObject, readNonNegative } from "../protocol/json.js";
import { RecordCodec } from "../protocol/record-codec.js";
import { type CancellationReason, decodeCancellationReason } from "./cancellation-reason.js";
import { dependencyListKey } from "./keys.js";

/** Location of a dependency list that is too long for its job record (`dependencyListKey`). */
export interface DependencyListLocation {
  readonly digest: string;
  /** Number of records into which the list is split. */
  readonly parts: number;
}

/** A job that was accepted and has not ended. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly shard: number;
  readonly cancelled: boolean;
  /** Location of the dependency list, where it is not in the specification. */
  readonly dependencyList?: DependencyListLocation;
  /** Wall-clock time in milliseconds at which the job was accepted; absent where unknown. */
  readonly acceptedMs?: number;
  /** Absent where the job is not cancelled, or where its user cancelled it. */
  readonly cancellationReason?: CancellationReason;
  /**
   * By task: failures that count against the step attempt that this job executes; kept for jobs of graphs only.
   */
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

/** Encodes a job record for the key-value store. */
export const encodeJobRecord = (record: JobRecord): JsonObject => jobCodec.encode(record);

/** Decodes the fields of a stored job record without further checks; see `decodeJobRecord`. */
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

/** Cache of decoded records by stored object, since each status request and each change decodes the same object. */
const decodedRecords = new WeakMap<JsonObject, JobRecord>();

/**
 * Decodes a job record. Only this program writes these records, so the inner fields of the specification, of the list's
 * location and of the failure counts are not validated. Throws `MalformedMessageError` where the value or the
 * specification is not an object, or the shard is not a number.
 */
export const decodeJobRecord = (value: unknown): JobRecord => {
  const fields = asObject(value, "job record");
  const cached = decodedRecords.get(fields);
  if (cached !== undefined) return cached;
  const record = readFields(fields);
  decodedRecords.set(fields, record);
  return record;
};

/**
 * The job's direct dependencies, from its specification or from the separate dependency list in `entries`; null while a
 * part of that list is missing.
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
