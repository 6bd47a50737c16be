import { deflateRawSync, inflateRawSync } from "node:zlib";
import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import { TypedFastBitSet } from "typedfastbitset";
import { asArray, asObject, type JsonObject, readNonNegative, readOptional, readString } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { RecordCodec, type ValueCodec } from "../../protocol/record-codec.js";
import type { OutcomeRecord } from "../../storage/outcome-records.js";
import type { Outcome } from "../run/dag-run.js";
import { FINAL_STATES, type FinalState } from "../run/states.js";

/**
 * Keys and stored forms of DAG runs. While a run is active its header is stored below `c/`, so that every controller's
 * watch cache holds it. A plan too large for the header and the saved step states are stored outside the watched
 * prefix, and stay there when the run ends.
 */
export const graphKey = (id: string): string => `c/graph/${id}`;
export const runIdOfKey = (key: string): string | null =>
  key.startsWith("c/graph/") ? key.slice("c/graph/".length) : null;
/** Key of a large run's counts of steps by state, for controllers that do not lead its shard. */
export const summaryKey = (id: string): string => `c/gsum/${id}`;
export const endedPrefix = "ge/";
export const endedKey = (id: string): string => `${endedPrefix}${id}`;
export const planKey = (id: string, digest: string, chunk: number): string => `g/${id}/p/${digest}/${chunk}`;
export const segmentPrefix = (id: string): string => `g/${id}/s/`;
export const segmentKey = (id: string, segment: number): string => `${segmentPrefix(id)}${segment}`;
export const partPrefix = (id: string): string => `g/${id}/u/`;
export const partKey = (id: string, part: number, piece: number): string =>
  `${partPrefix(id)}${String(part).padStart(4, "0")}/${String(piece).padStart(2, "0")}`;
/** Key of the id of the DAG's last accepted run; stored only if some step has `depends_on_past`. */
export const lastRunKey = (owner: string, dag: string): string =>
  `gl/${bytesToHex(sha256(Buffer.from(JSON.stringify([owner, dag]), "utf8"))).slice(0, 32)}`;
/** Key of the marker that exists while there are records below `g/` that no header refers to yet. */
export const uploadKey = (id: string): string => `c/upload/${id}`;
export const uploadOfKey = (key: string): string | null =>
  key.startsWith("c/upload/") ? key.slice("c/upload/".length) : null;

const RUN_ID = /^dr-[A-Za-z0-9_-]{1,36}$/;
export const isRunId = (text: string): boolean => RUN_ID.test(text);

const INDEX_RADIX = 36;
const INDEX_WIDTH = 4;

/**
 * The id of a step's job, derived from run, plan digest, step and attempt: every controller computes the same id, so no
 * attempt is submitted twice, and a client that uploads job descriptions knows it in advance. The digits of the digest
 * prevent a job whose id another user chose from being taken for a step's. Ids sort in the order of the steps.
 */
export const jobIdOf = (run: string, digest: string, step: number, attempt: number): string =>
  `${jobPrefix(run, digest)}${step.toString(INDEX_RADIX).padStart(INDEX_WIDTH, "0")}.${attempt}`;

export const jobPrefix = (run: string, digest: string): string => `wk-${run}.${digest.slice(0, 8)}.`;

/** Step and attempt of a step's job; null if the job id does not have that form. */
export const parseStepJobId = (id: string): { readonly step: number; readonly attempt: number } | null => {
  const [, step, attempt] = /\.([0-9a-z]{4})\.(\d+)$/.exec(id) ?? [];
  if (step === undefined || attempt === undefined) return null;
  return { step: Number.parseInt(step, INDEX_RADIX), attempt: Number(attempt) };
};

/** How an attempt ended, according to its job's outcome record. */
export const outcomeOf = (end: OutcomeRecord): Outcome => {
  if (end.phase === "done") return "done";
  if (end.cancellationReason === undefined) return "killed";
  return end.cancellationReason === "error" || end.cancellationReason === "timeout"
    ? end.cancellationReason
    : "aborted";
};

/** Where a plan is stored: in the header itself (`text`), or in this number of separate chunks. */
export type PlanLocation = { readonly text: string } | { readonly chunks: number };

/** A request to clear steps that has been accepted but not carried out yet. */
export interface ClearRequest {
  readonly steps: readonly number[];
  readonly downstream: boolean;
}

export interface RunHeader {
  /** Digest of the plan. */
  readonly digest: string;
  /** Digest of the user's request: distinguishes a repeated submission from another run with the same id. */
  readonly request: string;
  readonly dag: string;
  readonly owner: string;
  /** Shard of the run. */
  readonly block: number;
  readonly steps: number;
  /** Maximum number of active runs of the DAG. */
  readonly mostRuns: number;
  /** Number of steps per saved segment. */
  readonly segment: number;
  readonly plan: PlanLocation;
  /** Wall-clock time in milliseconds since the epoch; 0 if the controller had no wall clock. */
  readonly acceptedMs: number;
  readonly aborted: boolean;
  readonly timedOut: boolean;
  /** Number of clears carried out so far. */
  readonly round: number;
  readonly clear: ClearRequest | null;
  /** The previous run of the same DAG in order of acceptance, if some step has `depends_on_past`; else null. */
  readonly before: string | null;
}

/** Whether the run was aborted or timed out: its jobs are cancelled and no step starts any more. */
export const isStopped = ({ aborted, timedOut }: RunHeader): boolean => aborted || timedOut;

export type FinalPhase = "success" | "failed" | "withdrawn";

/** Record of a run that has ended: its last header, its final phase, and when it ended (wall clock). */
export interface EndedRun {
  readonly header: RunHeader;
  readonly phase: FinalPhase;
  readonly counts: Readonly<Record<string, number>>;
  readonly endedMs: number;
  /** Final states if one segment holds them all; null: the segments are stored below `g/`. */
  readonly states: Segment | null;
}

/** Saved states of the `size` steps from number `segment * size` on: for each state a deflated bitmap of its steps. */
export interface Segment {
  readonly finals: Readonly<Partial<Record<FinalState, string>>>;
  /** Number of the clear that each step last went through, one byte per step, deflated; null: none was cleared. */
  readonly clearings: string | null;
}

const deflate = (bytes: Uint8Array): string => deflateRawSync(bytes).toString("base64");
const inflate = (text: string, maxBytes: number): Buffer =>
  inflateRawSync(Buffer.from(text, "base64"), { maxOutputLength: maxBytes });

/** Upper bound of a segment's bytes per step: five bitmaps and a byte for the clearings, as if incompressible. */
const BYTES_PER_STEP = 1.6;
const MAX_SEGMENT_STEPS = 4_096;
/** Number of steps per segment, chosen so that a segment fits into a stored value of `valueBytes` bytes. */
export const segmentSize = (valueBytes: number): number =>
  Math.max(64, Math.min(MAX_SEGMENT_STEPS, Math.floor((valueBytes * 0.8) / BYTES_PER_STEP / 32) * 32));

/** Splits the final states and clearings of a run's steps into segments of `size` steps each. */
export const writeSegments = (
  steps: number,
  size: number,
  finals: Iterable<readonly [number, FinalState]>,
  clearings: ReadonlyMap<number, number>,
): readonly Segment[] => {
  const count = Math.max(1, Math.ceil(steps / size));
  const sets = Array.from({ length: count }, () => new Map<FinalState, TypedFastBitSet>());
  for (const [at, state] of finals) {
    const segment = sets[Math.floor(at / size)];
    const set = segment?.get(state) ?? new TypedFastBitSet();
    set.add(at % size);
    segment?.set(state, set);
  }
  return sets.map((states, segment): Segment => {
    const bytes = new Uint8Array(size);
    let cleared = false;
    for (const [at, clearing] of clearings) {
      if (Math.floor(at / size) !== segment) continue;
      bytes[at % size] = clearing;
      cleared = true;
    }
    const bitmapOf = (set: TypedFastBitSet): Uint8Array => {
      const packed = Buffer.alloc(Math.ceil(size / 8));
      set.forEach((at) => {
        packed[at >> 3] = (packed[at >> 3] ?? 0) | (1 << (at & 7));
      });
      return packed;
    };
    return {
      finals: Object.fromEntries([...states].map(([state, set]) => [state, deflate(bitmapOf(set))])),
      clearings: cleared ? deflate(bytes) : null,
    };
  });
};

/** Saved states after a clear: cleared steps lose their state and number their attempts anew, others keep theirs. */
export const clearedSegments = (
  { steps, segment }: RunHeader,
  finals: Iterable<readonly [number, FinalState]>,
  clearings: ReadonlyMap<number, number>,
  cleared: ReadonlySet<number>,
  round: number,
): readonly Segment[] => {
  const kept = [...finals].filter(([at]) => !cleared.has(at));
  const after = new Map(clearings);
  for (const at of cleared) after.set(at, round);
  return writeSegments(steps, segment, kept, after);
};

export const segmentWrites = (id: string, segments: readonly Segment[]): readonly WriteOperation[] =>
  segments.map((segment, at) => ({ kind: "put", key: segmentKey(id, at), value: writeSegment(segment) }));

export interface SavedStates {
  readonly finals: Map<number, FinalState>;
  readonly clearings: Map<number, number>;
}

/** The inverse of `writeSegments`. */
export const readSegments = (size: number, segments: readonly (Segment | undefined)[]): SavedStates => {
  const finals = new Map<number, FinalState>();
  const clearings = new Map<number, number>();
  for (const [number, segment] of segments.entries()) {
    if (segment === undefined) continue;
    for (const state of FINAL_STATES) {
      const text = segment.finals[state];
      if (text === undefined) continue;
      const set = new TypedFastBitSet();
      for (const [at, byte] of inflate(text, size).entries()) {
        for (let bit = 0; bit < 8; bit += 1) if ((byte & (1 << bit)) !== 0) set.add(at * 8 + bit);
      }
      set.forEach((at) => {
        finals.set(number * size + at, state);
      });
    }
    if (segment.clearings === null) continue;
    for (const [at, clearing] of inflate(segment.clearings, size).entries()) {
      if (clearing > 0) clearings.set(number * size + at, clearing);
    }
  }
  return { finals, clearings };
};

/** Upload marker of a run that is not accepted yet: lists its records below `g/`, which are parts or plan chunks. */
export interface Upload {
  readonly parts?: number;
  readonly have?: readonly number[];
  readonly plan?: string;
  readonly chunks?: number;
}

const uploadForm = new RecordCodec<Upload>({ parts: "parts", have: "have", plan: "plan", chunks: "chunks" });

// Only this program writes this record, so the field types are not validated.
export const readUpload = (value: unknown): Upload => uploadForm.decode(asObject(value, "upload"));
export const writeUpload = (upload: Upload): JsonObject => uploadForm.encode(upload);

const readPlanLocation = (value: unknown): PlanLocation => {
  const fields = asObject(value, "plan");
  return typeof fields.text === "string" ? { text: fields.text } : { chunks: readNonNegative(fields, "chunks") };
};

const readClear = (fields: JsonObject, name: string): ClearRequest => {
  const clear = asObject(fields[name], name);
  return { steps: asArray(clear.steps, "steps").map(Number), downstream: clear.downstream === true };
};

const planLocationForm: ValueCodec<PlanLocation> = {
  encode: (place) => ("text" in place ? { text: place.text } : { chunks: place.chunks }),
  decode: readPlanLocation,
};
const clearForm = new RecordCodec<ClearRequest>({ steps: "steps", downstream: "downstream" });
const headerForm = new RecordCodec<RunHeader>({
  digest: "digest",
  request: "request",
  dag: "dag",
  owner: "owner",
  block: "block",
  steps: "steps",
  mostRuns: "mostRuns",
  segment: "segment",
  plan: { name: "plan", codec: planLocationForm },
  acceptedMs: "acceptedMs",
  aborted: "aborted",
  timedOut: "timedOut",
  round: "round",
  clear: { name: "clear", codec: clearForm },
  before: "before",
});

export const writeHeader = (header: RunHeader): JsonObject => headerForm.encode(header);

export const readHeader = (value: unknown): RunHeader => {
  const fields = asObject(value, "graph");
  return {
    digest: readString(fields, "digest"),
    request: readString(fields, "request"),
    mostRuns: readNonNegative(fields, "mostRuns"),
    dag: readString(fields, "dag"),
    owner: readString(fields, "owner"),
    block: readNonNegative(fields, "block"),
    steps: readNonNegative(fields, "steps"),
    segment: readNonNegative(fields, "segment"),
    plan: readPlanLocation(fields.plan),
    acceptedMs: readNonNegative(fields, "acceptedMs"),
    aborted: fields.aborted === true,
    timedOut: fields.timedOut === true,
    round: readNonNegative(fields, "round"),
    clear: readOptional(fields, "clear", readClear),
    before: readOptional(fields, "before", readString),
  };
};

// Only this program writes these records, so the inner structure of segments and counts is not validated.
const segmentForm = new RecordCodec<Segment>({ finals: "finals", clearings: "clearings" });

export const readSegment = (value: unknown): Segment => segmentForm.decode(asObject(value, "segment"));
export const writeSegment = (segment: Segment): JsonObject => segmentForm.encode(segment);

const endedForm = new RecordCodec<EndedRun>({
  header: { name: "header", codec: headerForm },
  phase: "phase",
  counts: "counts",
  endedMs: "endedMs",
  states: { name: "states", codec: segmentForm },
});

export const writeEnded = (ended: EndedRun): JsonObject => endedForm.encode(ended);

export const readEnded = (value: unknown): EndedRun => {
  const fields = asObject(value, "ended");
  const phase = readString(fields, "phase");
  return {
    header: readHeader(fields.header),
    phase: phase === "success" || phase === "withdrawn" ? phase : "failed",
    counts: asObject(fields.counts, "counts") as Readonly<Record<string, number>>,
    endedMs: readNonNegative(fields, "endedMs"),
    states: fields.states === null || fields.states === undefined ? null : readSegment(fields.states),
  };
};
