/**
 * Compares messages of users, workers, cloud and key-value store byte for byte with `test/fixtures/messages.txt`: the
 * encoding of messages sent, and the decoding of messages received. The other side of each protocol is not part of this
 * program, so no line of that file may change. The values are typed literals, so that fields can be renamed in memory.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CloudClient } from "../src/coordination/autoscaling/cloud-client.js";
import type { ListedMachine, MachineType } from "../src/protocol/cloud.js";
import {
  decodeSubmission,
  encodePhase,
  encodeStatus,
  encodeSubmission,
  type JobPhase,
} from "../src/protocol/job-messages.js";
import { type JobShape, type JobSpec, PRIORITIES } from "../src/protocol/job-spec.js";
import { formatJson, type JsonObject, parseJson } from "../src/protocol/json.js";
import type { KeyChange, KeyValueEntry, WriteOperation } from "../src/protocol/key-value-store.js";
import { encodeLinks, type LinkTable, type MachineLinks } from "../src/protocol/links.js";
import { requestedResources } from "../src/protocol/resources.js";
import {
  type Command,
  decodeHeartbeatText,
  encodeCommandRequest,
  encodeHeartbeatResponse,
  encodeRedirect,
  type Heartbeat,
  type TaskStatus,
} from "../src/protocol/worker.js";
import { KeyValueStore } from "../src/storage/key-value-store.js";
import { type Clock, type Micros, ms, seconds } from "../src/transport/clock.js";
import type { HttpClient } from "../src/transport/http.js";
import type { Log } from "../src/transport/log.js";
import { FixtureLines } from "./fixture-lines.js";

const messages = new FixtureLines("messages.txt");

const clock: Clock = { now: () => 0 as Micros, after: () => ({ cancel: () => undefined }) };
const log: Log = { error: () => undefined, info: () => undefined, debug: () => undefined };

/**
 * An HTTP client that compares each request with the fixture of this name, and returns the response of that fixture.
 */
const fixtureHttpClient = (name: string, status = 200): HttpClient => {
  let count = 0;
  return {
    call: async (address, { method, target, body }) => {
      count += 1;
      messages.assertMatches(`${name}/request ${count}`, `${address} ${method} ${target} ${body}`);
      return { kind: "answer", status, body: messages.text(`${name}/answer ${count}`), retryAfterS: null };
    },
  };
};

const BUDGET = { requestsPerS: 1_000, writesPerS: 1_000, writesPerTransaction: 10 };
const storeFor = (name: string, status?: number): KeyValueStore =>
  new KeyValueStore({
    http: fixtureHttpClient(name, status),
    address: "state:1",
    clock,
    log,
    budget: BUDGET,
    random: () => 0,
  });
const cloudFor = (name: string, status?: number): CloudClient =>
  new CloudClient(fixtureHttpClient(name, status), "cloud:1", clock, log, 100);

const LARGE = 18_446_744_073_709_551_615n;

test("reads and watches of the key-value store have their wire form", async () => {
  const entry: KeyValueEntry = { key: "c/job/wk-1", value: { a: [1, null], b: "x" }, version: LARGE };
  assert.deepEqual(await storeFor("store/get").get("c/job/wk-1"), { kind: "ok", value: entry });
  const second: KeyValueEntry = { key: "c/leader", value: null, version: 3 };
  assert.deepEqual(await storeFor("store/list").list("c/"), {
    kind: "ok",
    value: { entries: [entry, second], revision: 7 },
  });
  assert.deepEqual(await storeFor("store/page").page("c/", "c/a", 20), {
    kind: "ok",
    value: { entries: [entry], more: true, revision: 7 },
  });
  const changes: readonly KeyChange[] = [
    { kind: "put", key: "c/a", value: { x: 1 }, version: 8 },
    { kind: "delete", key: "c/b", version: LARGE },
  ];
  assert.deepEqual(await storeFor("store/watch").watch("c/", 7, seconds(5)), {
    kind: "ok",
    value: { changes, revision: 9 },
  });
  assert.deepEqual(await storeFor("store/watch without changes").watch("c/", LARGE, ms(1)), {
    kind: "ok",
    value: { changes: [], revision: 9 },
  });
});

test("transactions of the key-value store have their wire form", async () => {
  const writes: readonly WriteOperation[] = [
    { kind: "put", key: "c/a", value: { x: 1 } },
    { kind: "put", key: "c/b", value: [], lease: LARGE },
    { kind: "delete", key: "c/c" },
  ];
  const conditions = new Map<string, number | bigint>([
    ["c/a", 0],
    ["c/b", LARGE],
  ]);
  assert.deepEqual(await storeFor("store/transaction").transact(conditions, writes), { kind: "ok", version: 10 });
  assert.deepEqual(await storeFor("store/empty transaction").transact(new Map(), []), { kind: "ok", version: 10 });
  assert.deepEqual(await storeFor("store/conflict", 409).transact(conditions, writes), {
    kind: "conflict",
    keys: ["c/a"],
  });
  assert.deepEqual(await storeFor("store/no lease", 400).transact(conditions, writes), { kind: "refused" });
  assert.deepEqual(await storeFor("store/too large", 400).transact(conditions, writes), { kind: "too large" });
});

test("lease requests to the key-value store have their wire form", async () => {
  assert.deepEqual(await storeFor("store/grant").grantLease(seconds(20)), { kind: "ok", value: LARGE });
  assert.deepEqual(await storeFor("store/renew").renewLease(LARGE), { kind: "ok", value: true });
  assert.deepEqual(await storeFor("store/end").revokeLease(5), { kind: "ok", value: true });
});

test("requests to the cloud and its responses have their wire form", async () => {
  const types: readonly MachineType[] = [
    {
      name: "big",
      capacity: { cpu: 16_000, gpu: 2_000, ram: 64_500 },
      cacheGb: 60,
      fetchGbPerS: 1,
      price: 1,
      spotPrice: 0.4,
      bootS: 15,
      zones: ["east", "west"],
    },
    {
      name: "small",
      capacity: { cpu: 500, gpu: 0, ram: 1_000 },
      cacheGb: 5,
      fetchGbPerS: 0.5,
      price: 0.25,
      spotPrice: 0.25,
      bootS: 10,
      zones: [],
    },
  ];
  const catalog = await cloudFor("cloud/types").listMachineTypes();
  assert.ok(catalog.kind === "ok");
  assert.deepEqual(catalog.value.types, types);
  // Stored unchanged as received.
  messages.assertMatches("cloud/types/answer 1", formatJson(catalog.value.raw));
  const machine: ListedMachine = {
    name: "n-1",
    address: "10.0.0.1:80",
    type: "big",
    zone: "east",
    spot: true,
    state: "running",
    ageS: 12.5,
  };
  const machines: readonly ListedMachine[] = [
    machine,
    { ...machine, name: "n-2", address: null, spot: false, state: "booting", ageS: 0 },
    { ...machine, name: "n-3", address: null, spot: false, state: "failed", ageS: 1 },
  ];
  assert.deepEqual(await cloudFor("cloud/list").listMachines(), { kind: "ok", value: machines });
  const provisioned = await cloudFor("cloud/rent").provision("ask-1", "big", "east", true, 2);
  assert.deepEqual(provisioned, { kind: "ok", value: ["n-4", "n-5"] });
  const refused = await cloudFor("cloud/no capacity", 503).provision("ask-2", "small", "west", false, 1);
  assert.deepEqual(refused, { kind: "refused" });
  assert.deepEqual(await cloudFor("cloud/delete").deleteMachines(["n-1", "n-2"]), { kind: "ok", value: true });
});

const plainSpec: JobSpec = {
  id: "wk-1",
  jobClass: "web",
  team: "open",
  shape: "array",
  priority: "normal",
  tasks: 3,
  demand: requestedResources(1.5, 0, 4),
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
const shapes: readonly JobShape[] = ["array", "gang", "service"];
const specs: Readonly<Record<string, JobSpec>> = {
  "user/plain": plainSpec,
  "user/full": {
    ...plainSpec,
    demand: requestedResources(2, 1, 0.5),
    types: ["big", "small"],
    zone: "east",
    singleZone: true,
    spread: true,
    spot: true,
    checkpointIntervalS: 30,
    checkpointDurationS: 2.5,
    deadlineS: 600,
    dependencies: ["wk-a", "wk-b"],
  },
  ...Object.fromEntries(shapes.map((shape): [string, JobSpec] => [`user/${shape}`, { ...plainSpec, shape }])),
  ...Object.fromEntries(
    PRIORITIES.map((priority): [string, JobSpec] => [`user/${priority}`, { ...plainSpec, priority }]),
  ),
};

test("submissions of users are encoded in their wire form and decoded again", () => {
  for (const [name, spec] of Object.entries(specs)) {
    messages.assertMatches(name, formatJson(encodeSubmission(spec)));
    assert.deepEqual(decodeSubmission(parseJson(messages.text(name))), spec, name);
  }
  assert.deepEqual(decodeSubmission(parseJson(messages.text("user/fewest fields"))), plainSpec);
});

test("responses to users have their wire form", () => {
  const phases: readonly JobPhase[] = ["queued", "running", "done", "cancelled"];
  for (const phase of phases) messages.assertMatches(`phase/${phase}`, formatJson(encodePhase("wk-1", phase)));
  messages.assertMatches("status/running", formatJson(encodeStatus("wk-1", "running", 1, 2)));
  const unfinished = Array.from({ length: 21 }, (_, index) => `wk-${index}`);
  messages.assertMatches("status/awaits", formatJson(encodeStatus("wk-1", "queued", 0, 0, unfinished)));
});

const heartbeat: Heartbeat = {
  machine: "n-1",
  address: "10.0.0.1:80",
  type: "big",
  zone: "east",
  spot: false,
  incarnation: 5,
  sequence: 6,
  token: 0,
  reclaimNoticeS: null,
  tasks: [],
  taskListText: null,
  taskListUnchanged: false,
};
const running: TaskStatus = { task: "wk-1/0", attempt: 1, state: "running", reason: null };
const reportedTasks: readonly TaskStatus[] = [
  running,
  { ...running, attempt: LARGE, state: "fetching" },
  { ...running, state: "waiting" },
  { ...running, state: "saving" },
  { ...running, state: "exited", reason: "done" },
  { ...running, state: "exited", reason: "stopped" },
  { ...running, state: "exited", reason: "stopped" },
  { ...running, state: "exited", reason: "stopped" },
  { ...running, state: "exited", reason: "error" },
  { ...running, state: "exited", reason: "no_room" },
  { ...running, state: "exited", reason: "busy" },
  { ...running, state: "exited", reason: "unknown" },
  // An unknown state is decoded as running, and an unknown cause of an exit as an error.
  running,
  { ...running, state: "exited", reason: "error" },
];

test("heartbeats of workers are decoded from their wire form", () => {
  const none = (): null => null;
  assert.deepEqual(decodeHeartbeatText(messages.text("report/fewest fields"), none), heartbeat);
  const text = messages.text("report/full");
  const listing = text.slice(text.indexOf(',"shards":['));
  const full: Heartbeat = {
    ...heartbeat,
    spot: true,
    incarnation: LARGE,
    sequence: 9_007_199_254_740_993n,
    token: 7,
    reclaimNoticeS: 12.5,
    tasks: reportedTasks,
    taskListText: listing,
  };
  assert.deepEqual(decodeHeartbeatText(text, none), full);
  assert.deepEqual(
    decodeHeartbeatText(text, (machine) => (machine === "n-1" ? listing : null)),
    { ...full, tasks: [], taskListUnchanged: true },
  );
});

test("messages to workers have their wire form", () => {
  const commands: readonly Command[] = [
    { op: "start", task: "wk-1/0", attempt: 1 },
    { op: "stop", task: "wk-1/1", attempt: LARGE, graceS: 2.5 },
    { op: "forget", task: "wk-1/2", attempt: 0 },
  ];
  const sent: Readonly<Record<string, JsonObject>> = {
    "worker/answer": encodeHeartbeatResponse(LARGE, commands),
    "worker/answer without commands": encodeHeartbeatResponse(0, []),
    "worker/commands": encodeCommandRequest(7, LARGE, commands),
    "worker/redirect": encodeRedirect("10.0.0.1:8080"),
    "worker/redirect to nobody": encodeRedirect(null),
  };
  for (const [name, message] of Object.entries(sent)) messages.assertMatches(name, formatJson(message));
});

test("responses to operators about links have their wire form", () => {
  const table: LinkTable = {
    state: "reached",
    cloud: "not asked yet",
    workers: "heard",
    siblings: { "ctl-1": "reached" },
  };
  const machines: MachineLinks = {
    up: 7,
    unresponsive: ["n-1"],
    silent: ["n-2"],
    unreachableZones: ["east"],
    leaseValid: true,
    reservedForJob: "wk-1",
  };
  messages.assertMatches("links/held", formatJson(encodeLinks(table, machines)));
  messages.assertMatches("links/not held", formatJson(encodeLinks(table, null)));
  messages.assertMatches("links/without a mesh", formatJson(encodeLinks(null, { ...machines, reservedForJob: null })));
});

test("every line of the message fixtures is used", () => {
  messages.assertAllUsed();
});
