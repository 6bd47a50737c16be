import { jobSpecForm } from "../protocol/job-spec-form.js";
import {
  asArray,
  asObject,
  type Fields,
  Malformed,
  readAmount,
  readString,
  readWhole,
  type Whole,
} from "../protocol/json.js";
import { RecordForm } from "../protocol/record-form.js";
import type { JobSpec } from "../protocol/user.js";

/**
 * Keys. All that is still going on lies below `c/`, so that a start-up list and the watch do not grow with the
 * jobs that ever ended; those have their last word below `e/`, one key a job, for ever.
 */
export const CURRENT = "c/";
/**
 * Blocks of machines that are leased separately. One holds all of a deployment of some tens of machines: cut in
 * three, the room kept standing for the next job would be needed three times over.
 */
export const BLOCKS = 1;

/** One home for a team, so that one ledger keeps its limit; one for a machine, so that one holder commands it. */
export const homeBlock = (name: string): number => {
  let hash = 0;
  for (const char of name) hash = (hash * 31 + char.charCodeAt(0)) % 1_000_003;
  return hash % BLOCKS;
};
export const LEADER_KEY = "c/leader";
export const NUMBER_KEY = "c/number";
export const TYPES_KEY = "c/types";
export const memberKey = (label: string): string => `c/member/${label}`;
export const blockKey = (block: number): string => `c/block/${block}`;
export const jobKey = (id: string): string => `c/job/${id}`;
export const rangeKey = (id: string, range: number): string => `c/range/${id}/${range}`;
/** There while the block's holder can take nothing more; all controllers accept for it, so all have to know. */
export const fullKey = (block: number): string => `c/full/${block}`;
/** Zones in which nobody has been answered for a while, and since when (`SilenceRecord`). */
export const silenceKey = (block: number): string => `c/silence/${block}`;
/** Part of a list of awaited jobs that is too long for its job's own record. The digest is the list's: nothing else is ever there. */
export const awaitedKey = (id: string, digest: string, part: number): string => `c/awaits/${id}/${digest}/${part}`;
export const endKey = (id: string): string => `e/${id}`;

const after = (prefix: string, key: string): string | null =>
  key.startsWith(prefix) ? key.slice(prefix.length) : null;
export const jobOfKey = (key: string): string | null => after("c/job/", key);
export const jobOfAwaitedKey = (key: string): string | null => after("c/awaits/", key)?.split("/")[0] ?? null;
export const memberOfKey = (key: string): string | null => after("c/member/", key);
export const rangeOfKey = (key: string): { id: string; range: number } | null => {
  const rest = after("c/range/", key);
  if (rest === null) return null;
  const slash = rest.lastIndexOf("/");
  return { id: rest.slice(0, slash), range: Number(rest.slice(slash + 1)) };
};

export interface MemberRecord {
  readonly lease: Whole;
  readonly incarnation: string;
}

export interface BlockRecord {
  readonly label: string;
  readonly incarnation: string;
  readonly number: number;
}

/** Where a list of awaited jobs lies that is too long for its job's record. */
export interface AwaitedList {
  readonly digest: string;
  readonly parts: number;
}

export interface JobRecord {
  readonly spec: JobSpec;
  readonly block: number;
  readonly cancelled: boolean;
  /** Where the list of awaited jobs lies, if it is not in the specification. */
  readonly awaited?: AwaitedList;
  /** Time of day in milliseconds at which it was accepted, where that is known. */
  readonly acceptedMs?: number;
  /** Where it was not its user who cancelled it. */
  readonly why?: EndReason;
  /** By task, failures that count against the attempt that this job is; kept for jobs of graphs only. */
  readonly errors?: Readonly<Record<string, number>>;
}

/** `error`, `timeout`: the attempt was given up. `graph`: withdrawn with what it is part of. `cleared`: to be redone. */
export const END_REASONS = ["error", "timeout", "graph", "cleared"] as const;
export type EndReason = (typeof END_REASONS)[number];

export interface EndRecord {
  readonly phase: "done" | "cancelled";
  readonly done: number;
  readonly why?: EndReason;
}

/** By zone, the time of day (milliseconds) after which no worker there was answered. */
export interface SilenceRecord {
  /** The block's number under which this was written. */
  readonly number: number;
  readonly zones: Readonly<Record<string, number>>;
}

/** What is durable of one task. `attempt` is the last one used; a machine means that it may be there. */
export type TaskRecord =
  | { readonly kind: "waiting"; readonly attempt: number }
  | { readonly kind: "placed"; readonly attempt: number; readonly machine: string }
  | { readonly kind: "done" };

const writeTask = (task: TaskRecord): unknown => {
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
export const rangeBytes = (records: readonly TaskRecord[]): number => {
  let bytes = 8;
  for (const record of records) {
    if (record.kind === "done") bytes += 3;
    else if (record.kind === "waiting") bytes += String(record.attempt).length + 1;
    else bytes += String(record.attempt).length + Buffer.byteLength(record.machine) + 6;
  }
  return bytes;
};

export const writeRange = (tasks: readonly TaskRecord[]): unknown => ({ t: tasks.map(writeTask) });

export const readRange = (value: unknown): readonly TaskRecord[] =>
  asArray(asObject(value, "range").t, "t").map((entry): TaskRecord => {
    if (entry === -1) return { kind: "done" };
    if (typeof entry === "number") return { kind: "waiting", attempt: entry };
    const [attempt, machine] = asArray(entry, "task");
    if (typeof attempt !== "number" || typeof machine !== "string") throw new Malformed("task record");
    return { kind: "placed", attempt, machine };
  });

/** Undefined where there is none, or one that is not known here. */
const readReason = (fields: Fields): EndReason | undefined => END_REASONS.find((reason) => reason === fields.why);

const memberForm = new RecordForm<MemberRecord>({ lease: "lease", incarnation: "incarnation" });
const blockForm = new RecordForm<BlockRecord>({ label: "label", incarnation: "incarnation", number: "number" });
const silenceForm = new RecordForm<SilenceRecord>({ number: "number", zones: "zones" });
const endForm = new RecordForm<EndRecord>({ phase: "phase", done: "done", why: "why" });
const awaitedListForm = new RecordForm<AwaitedList>({ digest: "digest", parts: "parts" });
const jobForm = new RecordForm<JobRecord>({
  spec: { name: "spec", form: jobSpecForm },
  block: "block",
  cancelled: "cancelled",
  awaited: { name: "awaited", form: awaitedListForm },
  acceptedMs: "acceptedMs",
  why: "why",
  errors: "errors",
});

export const writeMember = (record: MemberRecord): Fields => memberForm.encode(record);
export const writeBlock = (record: BlockRecord): Fields => blockForm.encode(record);
export const writeSilence = (record: SilenceRecord): Fields => silenceForm.encode(record);
export const writeEnd = (record: EndRecord): Fields => endForm.encode(record);
export const writeJob = (record: JobRecord): Fields => jobForm.encode(record);

// Written by this program alone and never edited elsewhere, so its inner shape is taken as it is.
export const readJob = (value: unknown): JobRecord => {
  const fields = asObject(value, "job record");
  const reason = readReason(fields);
  return {
    spec: jobSpecForm.decode(asObject(fields.spec, "spec")),
    block: readAmount(fields, "block"),
    cancelled: fields.cancelled === true,
    ...(fields.awaited === undefined ? {} : { awaited: awaitedListForm.decode(fields.awaited) }),
    ...(typeof fields.acceptedMs === "number" ? { acceptedMs: fields.acceptedMs } : {}),
    ...(reason === undefined ? {} : { why: reason }),
    ...(fields.errors === undefined ? {} : { errors: fields.errors as Readonly<Record<string, number>> }),
  };
};

/** The jobs that it awaits, wherever its list lies; null while a part of it is not in the view. */
export const awaitsOf = (
  { spec, awaited }: JobRecord,
  entries: ReadonlyMap<string, { readonly value: unknown }>,
): readonly string[] | null => {
  if (awaited === undefined) return spec.awaits ?? [];
  const ids: string[] = [];
  for (let part = 0; part < awaited.parts; part += 1) {
    const entry = entries.get(awaitedKey(spec.id, awaited.digest, part));
    if (entry === undefined) return null;
    for (const id of asArray(entry.value, "awaited")) if (typeof id === "string") ids.push(id);
  }
  return ids;
};

export const readMember = (value: unknown): MemberRecord => {
  const fields = asObject(value, "member");
  return { lease: readWhole(fields, "lease"), incarnation: readString(fields, "incarnation") };
};

export const readBlock = (value: unknown): BlockRecord => {
  const fields = asObject(value, "block");
  return {
    label: readString(fields, "label"),
    incarnation: readString(fields, "incarnation"),
    number: readAmount(fields, "number"),
  };
};

export const readSilence = (value: unknown): SilenceRecord => {
  const fields = asObject(value, "silence");
  const zones = asObject(fields.zones, "zones");
  return {
    number: readAmount(fields, "number"),
    zones: Object.fromEntries(Object.keys(zones).map((zone) => [zone, readAmount(zones, zone)])),
  };
};

export const readEnd = (value: unknown): EndRecord => {
  const fields = asObject(value, "end");
  const phase = readString(fields, "phase") === "done" ? "done" : "cancelled";
  const reason = readReason(fields);
  return { phase, done: readAmount(fields, "done"), ...(reason === undefined ? {} : { why: reason }) };
};
