/**
 * Compares stored records, their keys, and frames between controllers byte for byte with `test/fixtures/records.txt`
 * and `test/fixtures/frames.txt`, and decodes them again. Versions of the program that run side by side share these
 * formats, so lines may be added to the files, but existing lines must not change. The values are typed literals, so
 * that fields can be renamed in memory; the files contain the stored names.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { gunzipSync } from "node:zlib";
import {
  DEFAULT_STEP,
  decodePlan,
  type EndedRun,
  encodePlan,
  endedKey,
  FINAL_STATES,
  graphKey,
  jobIdOf,
  lastRunKey,
  type Plan,
  parseStepJobId,
  partKey,
  partPrefix,
  planKey,
  type RunHeader,
  readEnded,
  readHeader,
  readSegment,
  readSegments,
  readUpload,
  runIdOfKey,
  type Segment,
  segmentKey,
  segmentPrefix,
  summaryKey,
  type Upload,
  uploadKey,
  uploadOfKey,
  writeEnded,
  writeHeader,
  writeSegment,
  writeSegments,
  writeUpload,
} from "../src/graphs/index.js";
import { AGE_NEVER, encodeFrame, FrameDecoder, type MeshFrame } from "../src/mesh/index.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import { formatJson, parseJson } from "../src/protocol/json.js";
import {
  type AnsweredStartsRecord,
  decodeAnsweredStarts,
  encodeAnsweredStarts,
} from "../src/storage/answered-starts-record.js";
import { CANCELLATION_REASONS } from "../src/storage/cancellation-reason.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord, recordedDependencies } from "../src/storage/job-records.js";
import {
  answeredStartsKey,
  backpressureKey,
  CLUSTER_LEADER_KEY,
  dependencyListKey,
  jobKey,
  jobOfDependencyListKey,
  jobOfKey,
  MACHINE_TYPES_KEY,
  memberKey,
  memberOfKey,
  outcomeKey,
  SHARD_EPOCH_KEY,
  shardKey,
  taskRangeKey,
  taskRangeOfKey,
  unreachableZonesKey,
} from "../src/storage/keys.js";
import {
  decodeMemberRecord,
  decodeShardRecord,
  encodeMemberRecord,
  encodeShardRecord,
  type MemberRecord,
  type ShardRecord,
} from "../src/storage/membership-records.js";
import { decodeOutcomeRecord, encodeOutcomeRecord, type OutcomeRecord } from "../src/storage/outcome-records.js";
import {
  decodeTaskRange,
  encodeTaskRange,
  type TaskRecord,
  taskRangeBytes,
} from "../src/storage/task-range-records.js";
import {
  decodeUnreachableZones,
  encodeUnreachableZones,
  type UnreachableZonesRecord,
} from "../src/storage/unreachable-zones-record.js";
import { FixtureLines } from "./fixture-lines.js";

const records = new FixtureLines("records.txt");
const frames = new FixtureLines("frames.txt");

const plainSpec: JobSpec = {
  id: "wk-plain",
  jobClass: "web",
  team: "open",
  shape: "array",
  priority: "normal",
  tasks: 3,
  demand: { cpu: 1_500, gpu: 0, ram: 4_000 },
  types: null,
  zone: null,
  singleZone: false,
  spread: false,
  spot: false,
  image: "img:1",
  imageGb: 1.5,
  estimatedRunS: 60,
  checkpointIntervalS: 0,
  checkpointDurationS: 0,
  deadlineS: null,
};

const fullSpec: JobSpec = {
  ...plainSpec,
  id: "wk-full",
  shape: "gang",
  priority: "production",
  demand: { cpu: 2_000, gpu: 1_000, ram: 0 },
  types: ["big", "small"],
  zone: "east",
  singleZone: true,
  spread: true,
  spot: true,
  image: 'img: \u00e9\u{1f600}"\\',
  checkpointIntervalS: 30,
  checkpointDurationS: 2.5,
  deadlineS: 600,
  dependencies: ["wk-a", "wk-b"],
  origin: { graph: "dr-1", position: 7 },
};

const withSpec = (spec: JobSpec): JobRecord => ({ spec, shard: 0, cancelled: false });

const jobs: Readonly<Record<string, JobRecord>> = {
  "job/plain": withSpec(plainSpec),
  "job/full": {
    spec: fullSpec,
    shard: 2,
    cancelled: true,
    dependencyList: { digest: "0123456789abcdef01234567", parts: 2 },
    acceptedMs: 1_773_446_400_123,
    cancellationReason: "graph",
    failuresByTask: { "0": 1, "12": 3 },
  },
  "job/service": withSpec({ ...plainSpec, id: "wk-service", shape: "service", priority: "high" }),
  "job/low": withSpec({ ...plainSpec, id: "wk-low", priority: "low" }),
  "job/awaits": { ...withSpec({ ...plainSpec, dependencies: ["wk-a"] }), acceptedMs: 0 },
  "job/origin": { ...withSpec({ ...plainSpec, origin: { graph: "dr-2", position: 0 } }), failuresByTask: {} },
  "job/noTypes": withSpec({ ...plainSpec, types: [] }),
  ...Object.fromEntries(
    CANCELLATION_REASONS.map((reason): [string, JobRecord] => [
      `job/${reason}`,
      { ...withSpec(plainSpec), cancelled: true, cancellationReason: reason },
    ]),
  ),
};

/** Job records with their fields in the orders in which the job API and the task state writer first store them. */
const jobsAsFirstWritten: Readonly<Record<string, JobRecord>> = {
  "job/accepted with a list of its own": {
    spec: plainSpec,
    shard: 0,
    cancelled: false,
    acceptedMs: 1_773_446_400_123,
    dependencyList: { digest: "0123456789abcdef01234567", parts: 2 },
  },
  "job/given up": {
    spec: plainSpec,
    shard: 0,
    cancelled: true,
    failuresByTask: { "0": 1 },
    cancellationReason: "error",
  },
};

const tasks: readonly TaskRecord[] = [
  { kind: "waiting", attempt: 0 },
  { kind: "placed", attempt: 1, machine: "n-1" },
  { kind: "done" },
  { kind: "waiting", attempt: 12 },
];

const header: RunHeader = {
  digest: "0123456789abcdef",
  request: "00112233445566778899aabbccddeeff",
  mostRuns: 16,
  dag: "nightly",
  owner: "open",
  block: 0,
  steps: 3,
  segment: 64,
  plan: { text: "H4sI" },
  acceptedMs: 1_773_446_400_123,
  aborted: false,
  timedOut: false,
  round: 0,
  clear: null,
  before: null,
};

/** A run header with its fields in the order in which the acceptance of the run stores them. */
const acceptedHeader: RunHeader = {
  digest: header.digest,
  request: header.request,
  dag: header.dag,
  owner: header.owner,
  block: header.block,
  steps: header.steps,
  mostRuns: header.mostRuns,
  segment: header.segment,
  plan: header.plan,
  acceptedMs: header.acceptedMs,
  aborted: header.aborted,
  timedOut: header.timedOut,
  round: header.round,
  clear: header.clear,
  before: header.before,
};

const fullHeader: RunHeader = {
  ...header,
  plan: { chunks: 3 },
  aborted: true,
  timedOut: true,
  round: 2,
  clear: { steps: [0, 2], downstream: true },
  before: "dr-0",
};

/** Compressed bitmaps; their content is opaque to this test. */
const segment: Segment = { finals: { success: "Y2AAAA==", upstream_failed: "YwAA" }, clearings: "Y2AEAA==" };
const emptySegment: Segment = { finals: {}, clearings: null };

const headers: Readonly<Record<string, RunHeader>> = {
  "graph/plain": header,
  "graph/full": fullHeader,
  "graph/clear": { ...header, clear: { steps: [], downstream: false } },
};
const endedRuns: Readonly<Record<string, EndedRun>> = {
  "ended/success": { header, phase: "success", counts: { success: 3 }, endedMs: 5, states: segment },
  "ended/failed": { header: fullHeader, phase: "failed", counts: {}, endedMs: 0, states: null },
  "ended/withdrawn": { header, phase: "withdrawn", counts: { none: 1 }, endedMs: 1, states: emptySegment },
};
const segments: Readonly<Record<string, Segment>> = { "segment/full": segment, "segment/empty": emptySegment };
const uploads: Readonly<Record<string, Upload>> = {
  "upload/parts": { parts: 3, have: [0, 2] },
  "upload/plan": { plan: "0123456789abcdef", chunks: 2 },
  "upload/both": { parts: 2, have: [0, 1], plan: "0123456789abcdef", chunks: 0 },
};
const members: Readonly<Record<string, MemberRecord>> = {
  "member/plain": { leaseId: 7, incarnation: "ab-1" },
  "member/large lease": { leaseId: 18_446_744_073_709_551_615n, incarnation: "ab-2" },
};
const shards: Readonly<Record<string, ShardRecord>> = {
  "block/plain": { label: "ctl-0", incarnation: "ab-1", epoch: 12 },
};
const outcomes: Readonly<Record<string, OutcomeRecord>> = {
  "end/done": { phase: "done", completedTasks: 3 },
  "end/cancelled": { phase: "cancelled", completedTasks: 0 },
  ...Object.fromEntries(
    CANCELLATION_REASONS.map((reason): [string, OutcomeRecord] => [
      `end/${reason}`,
      { phase: "cancelled", completedTasks: 1, cancellationReason: reason },
    ]),
  ),
};
const unreachableZones: Readonly<Record<string, UnreachableZonesRecord>> = {
  "silence/none": { epoch: 1, unansweredSinceMs: {} },
  "silence/two": { epoch: 12, unansweredSinceMs: { east: 1_773_446_400_123, west: 0 } },
};
const answeredStarts: Readonly<Record<string, AnsweredStartsRecord>> = {
  "answered/all": { epoch: 1, revision: 0, unansweredMachines: [] },
  "answered/but two": { epoch: 12, revision: 18_446_744_073_709_551_615n, unansweredMachines: ["n-1", "n-22"] },
};

interface Form<T> {
  readonly values: Readonly<Record<string, T>>;
  readonly write: (value: T) => unknown;
  readonly read: (stored: unknown) => T;
}

const assertFormKept = <T>({ values, write, read }: Form<T>): void => {
  for (const [name, value] of Object.entries(values)) {
    records.assertMatches(name, formatJson(write(value)));
    const found = read(parseJson(records.text(name)));
    assert.deepEqual(found, value, name);
    records.assertMatches(name, formatJson(write(found)));
  }
};

test("job records are encoded in their stored form and decoded again", () => {
  assertFormKept({ values: jobs, write: encodeJobRecord, read: decodeJobRecord });
});

test("job records are encoded in the field order in which they are first written", () => {
  for (const [name, record] of Object.entries(jobsAsFirstWritten)) {
    records.assertMatches(name, formatJson(encodeJobRecord(record)));
    assert.deepEqual(decodeJobRecord(parseJson(records.text(name))), record, name);
  }
});

test("a job record that is decoded and encoded again has its optional fields in decoding order", () => {
  for (const name of Object.keys(jobsAsFirstWritten)) {
    records.assertMatches(
      `${name}, written again`,
      formatJson(encodeJobRecord(decodeJobRecord(parseJson(records.text(name))))),
    );
  }
});

test("a specification preserves unknown fields of a newer version, and gains no fields that an older version omitted", () => {
  for (const name of ["job/newer specification", "job/older specification"]) {
    records.assertMatches(name, formatJson(encodeJobRecord(decodeJobRecord(parseJson(records.text(name))))));
  }
  // Outside the specification, only the known fields of the record are written again.
  const newer = decodeJobRecord(parseJson(records.text("job/newer record")));
  records.assertMatches("job/newer record, written again", formatJson(encodeJobRecord(newer)));
});

test("task range records are encoded in their stored form and decoded again", () => {
  for (const [name, range] of Object.entries({ "range/all": tasks, "range/none": [] })) {
    records.assertMatches(name, formatJson(encodeTaskRange(range)));
    assert.deepEqual(decodeTaskRange(parseJson(records.text(name))), range);
  }
  assert.equal(taskRangeBytes(tasks), 26);
});

test("records of members, shards, outcomes, unreachable zones and answered starts are encoded in their stored form", () => {
  assertFormKept({ values: members, write: encodeMemberRecord, read: decodeMemberRecord });
  assertFormKept({ values: shards, write: encodeShardRecord, read: decodeShardRecord });
  assertFormKept({ values: outcomes, write: encodeOutcomeRecord, read: decodeOutcomeRecord });
  assertFormKept({ values: unreachableZones, write: encodeUnreachableZones, read: decodeUnreachableZones });
  assertFormKept({ values: answeredStarts, write: encodeAnsweredStarts, read: decodeAnsweredStarts });
});

test("a dependency list that is stored in parts is joined in the order of the parts", () => {
  const record: JobRecord = { ...withSpec(plainSpec), dependencyList: { digest: "d", parts: 2 } };
  const entries = new Map(
    [0, 1].map((part) => [
      dependencyListKey(plainSpec.id, "d", part),
      { value: parseJson(records.text(`awaited part/${part}`)) },
    ]),
  );
  assert.deepEqual(recordedDependencies(record, entries), ["wk-a", "wk-b", "wk-c"]);
});

test("records of graph runs are encoded in their stored form and decoded again", () => {
  assertFormKept({ values: headers, write: writeHeader, read: readHeader });
  assertFormKept({ values: endedRuns, write: writeEnded, read: readEnded });
  assertFormKept({ values: segments, write: writeSegment, read: readSegment });
  assertFormKept({ values: uploads, write: writeUpload, read: readUpload });
});

test("the header of a graph run is encoded in the field order of its acceptance", () => {
  records.assertMatches("graph/as accepted", formatJson(writeHeader(acceptedHeader)));
  assert.deepEqual(readHeader(parseJson(records.text("graph/as accepted"))), header);
});

// The compressed bytes may differ between versions of the compressor. So the fixture is only decoded, and newly encoded
// bitmaps are decoded again.
test("saved step states are decoded from their bitmaps", () => {
  const saved = readSegments(64, [readSegment(parseJson(records.text("segment/all states")))]);
  const finals = FINAL_STATES.map((state, at) => [at * 3, state] as const);
  assert.deepEqual(
    [...saved.finals].sort(([a], [b]) => a - b),
    finals,
  );
  assert.deepEqual([...saved.clearings], [[4, 2]]);
  const [written] = writeSegments(64, 64, finals, new Map([[4, 2]]));
  assert.deepEqual(readSegments(64, [written]), saved);
});

const plan: Plan = {
  dagId: "nightly",
  description: "each night",
  owner: "open",
  tags: ["a"],
  ds: "2026-03-14",
  maxActiveTasks: 8,
  maxActiveRuns: 2,
  timeoutS: 3_600,
  jobs: [{ jobclass: "web", guessS: 5 }],
  steps: [
    { ...DEFAULT_STEP, id: "first", job: 0 },
    {
      id: "second",
      kind: "branch",
      upstream: [0],
      rule: "all_done",
      retry: { retries: 2, delayS: 5, exponential: true, maxDelayS: 60 },
      timeoutS: 10,
      pool: "p",
      weight: 3,
      weightRule: "upstream",
      dependsOnPast: true,
      setup: true,
      cuts: [2],
      cutsAll: true,
      job: null,
    },
    { ...DEFAULT_STEP, id: "third", upstream: [0, 1], kind: "empty" },
  ],
};

test("a plan is encoded in its stored form with the same digest", () => {
  assert.deepEqual(decodePlan(records.text("plan/text")), plan);
  const { text, digest } = encodePlan(plan);
  records.assertMatches("plan/digest", digest);
  assert.deepEqual(decodePlan(text), plan);
  records.assertMatches("plan/json", gunzipSync(Buffer.from(text, "base64")).toString("utf8"));
});

test("keys have their stored form and are parsed again", () => {
  const keys: Readonly<Record<string, string>> = {
    "key/leader": CLUSTER_LEADER_KEY,
    "key/number": SHARD_EPOCH_KEY,
    "key/types": MACHINE_TYPES_KEY,
    "key/member": memberKey("ctl-0"),
    "key/block": shardKey(0),
    "key/job": jobKey("wk-1"),
    "key/range": taskRangeKey("wk-1", 12),
    "key/full": backpressureKey(0),
    "key/silence": unreachableZonesKey(0),
    "key/answered": answeredStartsKey(0),
    "key/awaited": dependencyListKey("wk-1", "d", 3),
    "key/end": outcomeKey("wk-1"),
    "key/graph": graphKey("dr-1"),
    "key/summary": summaryKey("dr-1"),
    "key/ended run": endedKey("dr-1"),
    "key/plan": planKey("dr-1", "d", 4),
    "key/segments": segmentPrefix("dr-1"),
    "key/segment": segmentKey("dr-1", 5),
    "key/parts": partPrefix("dr-1"),
    "key/part": partKey("dr-1", 6, 7),
    "key/last run": lastRunKey("open", "nightly"),
    "key/upload": uploadKey("dr-1"),
    "key/job of a step": jobIdOf("dr-1", "0123456789abcdef", 40, 2),
  };
  for (const [name, key] of Object.entries(keys)) records.assertMatches(name, key);
  assert.equal(memberOfKey(records.text("key/member")), "ctl-0");
  assert.equal(jobOfKey(records.text("key/job")), "wk-1");
  assert.deepEqual(taskRangeOfKey(records.text("key/range")), { id: "wk-1", range: 12 });
  assert.equal(jobOfDependencyListKey(records.text("key/awaited")), "wk-1");
  assert.equal(runIdOfKey(records.text("key/graph")), "dr-1");
  assert.equal(uploadOfKey(records.text("key/upload")), "dr-1");
  assert.deepEqual(parseStepJobId(records.text("key/job of a step")), { step: 40, attempt: 2 });
});

const request = { method: "POST", target: "/orders?a=b", body: '{"baton":1}' };
const meshFrames: Readonly<Record<string, MeshFrame>> = {
  hello: { type: "hello", label: "ctl-0", incarnation: "ab-\u00e9" },
  beat: {
    type: "heartbeat",
    heartbeat: { sequence: 5, loadLevel: 3, storeAgeMs: 250, cloudAgeMs: AGE_NEVER, cutOffFromWorkers: true },
  },
  "beat/zero": {
    type: "heartbeat",
    heartbeat: { sequence: 0, loadLevel: 0, storeAgeMs: 0, cloudAgeMs: 0, cutOffFromWorkers: false },
  },
  ask: { type: "relay-request", id: 9, address: "10.0.0.1:80", timeoutMs: 2_000, request },
  "ask/self": {
    type: "relay-request",
    id: 0,
    address: "",
    timeoutMs: 1,
    request: { method: "GET", target: "/up", body: "" },
  },
  "told/answer": {
    type: "relay-response",
    id: 9,
    outcome: { kind: "answer", status: 200, body: "{}", retryAfterS: null },
  },
  "told/retry": { type: "relay-response", id: 9, outcome: { kind: "answer", status: 503, body: "", retryAfterS: 5 } },
  "told/unsent": { type: "relay-response", id: 9, outcome: { kind: "unsent" } },
  "told/lost": { type: "relay-response", id: 4_294_967_295, outcome: { kind: "lost" } },
};

test("frames between controllers are encoded in their wire form and decoded again", () => {
  for (const [name, frame] of Object.entries(meshFrames)) {
    frames.assertMatches(name, encodeFrame(frame).toString("hex"));
    const [read] = new FrameDecoder().decode(Buffer.from(frames.text(name), "hex"));
    assert.deepEqual(read, frame, name);
    assert.ok(read !== undefined);
    frames.assertMatches(name, encodeFrame(read).toString("hex"));
  }
});

test("a frame of an unknown type is skipped, and bytes after the known fields of a frame are ignored", () => {
  const text = [frames.text("unknown type"), frames.text("longer hello"), frames.text("beat")].join("");
  const read = new FrameDecoder().decode(Buffer.from(text, "hex"));
  assert.deepEqual(read, [meshFrames.hello, meshFrames.beat]);
});

test("every line of the record and frame fixtures is used", () => {
  records.assertAllUsed();
  frames.assertAllUsed();
});
