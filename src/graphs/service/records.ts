import { deflateRawSync, inflateRawSync } from "node:zlib";
import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import { TypedFastBitSet } from "typedfastbitset";
import { asArray, asObject, type JsonObject, readNonNegative, readOptional, readString } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { RecordCodec, type ValueCodec } from "../../protocol/record-codec.js";
import type { OutcomeRecord } from "../../storage/outcome-records.js";
import type { Outcome } from "../run/dag-run.js";
import { FINALS, type FinalState } from "../run/states.js";

/**
 * Keys. A run's header lies below `c/` while the run goes on, so that every controller's view has it. Its plan, where
 * that is too large for the header, and its saved states lie outside of what is watched, and stay where they are.
 */
export const graphKey = (id: string): string => `c/graph/${id}`;
export const graphOfKey = (key: string): string | null =>
  key.startsWith("c/graph/") ? key.slice("c/graph/".length) : null;
/** Counts of a large run, for controllers that do not hold it. */
export const summaryKey = (id: string): string => `c/gsum/${id}`;
export const endedPrefix = "ge/";
export const endedKey = (id: string): string => `${endedPrefix}${id}`;
export const planKey = (id: string, digest: string, chunk: number): string => `g/${id}/p/${digest}/${chunk}`;
export const segmentPrefix = (id: string): string => `g/${id}/s/`;
export const segmentKey = (id: string, segment: number): string => `${segmentPrefix(id)}${segment}`;
export const partPrefix = (id: string): string => `g/${id}/u/`;
export const partKey = (id: string, part: number, piece: number): string =>
  `${partPrefix(id)}${String(part).padStart(4, "0")}/${String(piece).padStart(2, "0")}`;
/** The run of a DAG that was accepted last; only kept where steps depend on it. */
export const lastRunKey = (owner: string, dag: string): string =>
  `gl/${bytesToHex(sha256(Buffer.from(JSON.stringify([owner, dag]), "utf8"))).slice(0, 32)}`;
/** There while something lies below `g/` that no header speaks of yet. */
export const uploadKey = (id: string): string => `c/upload/${id}`;
export const uploadOfKey = (key: string): string | null =>
  key.startsWith("c/upload/") ? key.slice("c/upload/".length) : null;

const RUN_ID = /^dr-[A-Za-z0-9_-]{1,36}$/;
export const isRunId = (text: string): boolean => RUN_ID.test(text);

const BASE = 36;
const INDEX_WIDTH = 4;

/**
 * A step's job is told by its run, the run's definition, the step and the attempt: whoever submits it comes to the same
 * id, so that no attempt is submitted twice, and whoever uploads descriptions knows it beforehand. Digits of the
 * definition keep a job that somebody else has chosen the id of from passing as a step. In order of the steps.
 */
export const jobIdOf = (run: string, digest: string, step: number, attempt: number): string =>
  `${jobPrefix(run, digest)}${step.toString(BASE).padStart(INDEX_WIDTH, "0")}.${attempt}`;

export const jobPrefix = (run: string, digest: string): string => `wk-${run}.${digest.slice(0, 8)}.`;

export const partsOfJobId = (id: string): { readonly step: number; readonly attempt: number } | null => {
  const [, step, attempt] = /\.([0-9a-z]{4})\.(\d+)$/.exec(id) ?? [];
  if (step === undefined || attempt === undefined) return null;
  return { step: Number.parseInt(step, BASE), attempt: Number(attempt) };
};

/** How an attempt ended, by its job's last word. */
export const outcomeOf = (end: OutcomeRecord): Outcome => {
  if (end.phase === "done") return "done";
  if (end.cancellationReason === undefined) return "killed";
  return end.cancellationReason === "error" || end.cancellationReason === "timeout"
    ? end.cancellationReason
    : "aborted";
};

/** Where a plan is kept: in the record itself, or in so many chunks. */
export type PlanPlace = { readonly text: string } | { readonly chunks: number };

/** A clearing that is accepted and not carried out yet. */
export interface Clear {
  readonly steps: readonly number[];
  readonly downstream: boolean;
}

export interface Header {
  /** Of the plan. */
  readonly digest: string;
  /** Of what the user sent: tells a repetition from another run under the same id. */
  readonly request: string;
  readonly dag: string;
  readonly owner: string;
  readonly block: number;
  readonly steps: number;
  /** Runs of the DAG that may be under way at once. */
  readonly mostRuns: number;
  /** Steps of one saved segment. */
  readonly segment: number;
  readonly plan: PlanPlace;
  /** Time of day in milliseconds; 0 where none was to be had. */
  readonly acceptedMs: number;
  readonly aborted: boolean;
  readonly timedOut: boolean;
  /** Clearings carried out so far. */
  readonly round: number;
  readonly clear: Clear | null;
  /** The run of the same DAG accepted before this one, where steps depend on it. */
  readonly before: string | null;
}

/** Nothing of the run is to go on. */
export const isCalledOff = ({ aborted, timedOut }: Header): boolean => aborted || timedOut;

export type RunEnd = "success" | "failed" | "withdrawn";

/** A run's last word; the header as it last was, how it ended, and when. */
export interface Ended {
  readonly header: Header;
  readonly phase: RunEnd;
  readonly counts: Readonly<Record<string, number>>;
  readonly endedMs: number;
  /** Final states, where one segment holds them all; else they are below `g/`. */
  readonly states: Segment | null;
}

/** Saved states of the steps from `segment * size` on. Each set is a bitmap, deflated. */
export interface Segment {
  readonly finals: Readonly<Partial<Record<FinalState, string>>>;
  /** Clearing of each step, a byte a step, deflated; null: none has been cleared. */
  readonly clearings: string | null;
}

const pack = (bytes: Uint8Array): string => deflateRawSync(bytes).toString("base64");
const unpack = (text: string, most: number): Buffer =>
  inflateRawSync(Buffer.from(text, "base64"), { maxOutputLength: most });

/** Bytes that a segment takes at most: five bitmaps and the clearings, hardly compressible at worst. */
const BYTES_PER_STEP = 1.6;
const MOST_SEGMENT = 4_096;
export const segmentSize = (valueBytes: number): number =>
  Math.max(64, Math.min(MOST_SEGMENT, Math.floor((valueBytes * 0.8) / BYTES_PER_STEP / 32) * 32));

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
    const words = (set: TypedFastBitSet): Uint8Array => {
      const packed = Buffer.alloc(Math.ceil(size / 8));
      set.forEach((at) => {
        packed[at >> 3] = (packed[at >> 3] ?? 0) | (1 << (at & 7));
      });
      return packed;
    };
    return {
      finals: Object.fromEntries([...states].map(([state, set]) => [state, pack(words(set))])),
      clearings: cleared ? pack(bytes) : null,
    };
  });
};

/** Saved states after a clearing: those that are not cleared keep theirs, the others count their attempts anew. */
export const clearedSegments = (
  { steps, segment }: Header,
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

export interface Saved {
  readonly finals: Map<number, FinalState>;
  readonly clearings: Map<number, number>;
}

/** The inverse of `writeSegments`. */
export const readSegments = (size: number, segments: readonly (Segment | undefined)[]): Saved => {
  const finals = new Map<number, FinalState>();
  const clearings = new Map<number, number>();
  for (const [number, segment] of segments.entries()) {
    if (segment === undefined) continue;
    for (const state of FINALS) {
      const text = segment.finals[state];
      if (text === undefined) continue;
      const set = new TypedFastBitSet();
      for (const [at, byte] of unpack(text, size).entries()) {
        for (let bit = 0; bit < 8; bit += 1) if ((byte & (1 << bit)) !== 0) set.add(at * 8 + bit);
      }
      set.forEach((at) => {
        finals.set(number * size + at, state);
      });
    }
    if (segment.clearings === null) continue;
    for (const [at, clearing] of unpack(segment.clearings, size).entries()) {
      if (clearing > 0) clearings.set(number * size + at, clearing);
    }
  }
  return { finals, clearings };
};

/** What lies below `g/` of a run that is not accepted yet: parts that have come, or chunks of its plan. */
export interface Upload {
  readonly parts?: number;
  readonly have?: readonly number[];
  readonly plan?: string;
  readonly chunks?: number;
}

const uploadForm = new RecordCodec<Upload>({ parts: "parts", have: "have", plan: "plan", chunks: "chunks" });

// Written by this program alone.
export const readUpload = (value: unknown): Upload => uploadForm.decode(asObject(value, "upload"));
export const writeUpload = (upload: Upload): JsonObject => uploadForm.encode(upload);

const readPlace = (value: unknown): PlanPlace => {
  const fields = asObject(value, "plan");
  return typeof fields.text === "string" ? { text: fields.text } : { chunks: readNonNegative(fields, "chunks") };
};

const readClear = (fields: JsonObject, name: string): Clear => {
  const clear = asObject(fields[name], name);
  return { steps: asArray(clear.steps, "steps").map(Number), downstream: clear.downstream === true };
};

const planPlaceForm: ValueCodec<PlanPlace> = {
  encode: (place) => ("text" in place ? { text: place.text } : { chunks: place.chunks }),
  decode: readPlace,
};
const clearForm = new RecordCodec<Clear>({ steps: "steps", downstream: "downstream" });
const headerForm = new RecordCodec<Header>({
  digest: "digest",
  request: "request",
  dag: "dag",
  owner: "owner",
  block: "block",
  steps: "steps",
  mostRuns: "mostRuns",
  segment: "segment",
  plan: { name: "plan", codec: planPlaceForm },
  acceptedMs: "acceptedMs",
  aborted: "aborted",
  timedOut: "timedOut",
  round: "round",
  clear: { name: "clear", codec: clearForm },
  before: "before",
});

export const writeHeader = (header: Header): JsonObject => headerForm.encode(header);

export const readHeader = (value: unknown): Header => {
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
    plan: readPlace(fields.plan),
    acceptedMs: readNonNegative(fields, "acceptedMs"),
    aborted: fields.aborted === true,
    timedOut: fields.timedOut === true,
    round: readNonNegative(fields, "round"),
    clear: readOptional(fields, "clear", readClear),
    before: readOptional(fields, "before", readString),
  };
};

// Written by this program alone, so the inner shape of segments and counts is taken as it is.
const segmentForm = new RecordCodec<Segment>({ finals: "finals", clearings: "clearings" });

export const readSegment = (value: unknown): Segment => segmentForm.decode(asObject(value, "segment"));
export const writeSegment = (segment: Segment): JsonObject => segmentForm.encode(segment);

const endedForm = new RecordCodec<Ended>({
  header: { name: "header", codec: headerForm },
  phase: "phase",
  counts: "counts",
  endedMs: "endedMs",
  states: { name: "states", codec: segmentForm },
});

export const writeEnded = (ended: Ended): JsonObject => endedForm.encode(ended);

export const readEnded = (value: unknown): Ended => {
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
