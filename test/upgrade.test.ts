import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import { parseSettings } from "../src/settings/parse-settings.js";
import { decodeJobRecord } from "../src/storage/job-records.js";
import { decodeMemberRecord, decodeShardRecord } from "../src/storage/membership-records.js";
import { decodeOutcomeRecord } from "../src/storage/outcome-records.js";
import { decodeTaskRange, encodeTaskRange } from "../src/storage/task-range-records.js";
import { decodeUnreachableZones } from "../src/storage/unreachable-zones-record.js";
import { settingsText } from "./fixtures.js";
import { Cluster, plainJob } from "./sim/cluster.js";
import { submitLongJobs } from "./sim/fault-combinations.js";
import { assertRecovered, type Fault } from "./sim/faulty-day.js";
import {
  LOWER_LIMITS,
  type Rollout,
  startRollout,
  submitDependencyChains,
  withAnnouncedLimits,
} from "./sim/rollout.js";

// Records shared by both versions, as the old version writes them (docs/compatibility.md) ---------------------------

const SPEC =
  '{"id":"wk-000412","jobClass":"train","team":"vision","shape":"array","priority":"high","tasks":16,"demand":{"cpu":8000,"gpu":1000,"ram":64000},"types":["g8"],"zone":null,"oneZone":true,"spread":false,"spot":true,"image":"img-07","imageGb":6.2,"estimateS":240,"checkpointS":30,"saveS":4,"deadlineS":900}';

const SPEC_IN_MEMORY: JobSpec = {
  id: "wk-000412",
  jobClass: "train",
  team: "vision",
  shape: "array",
  priority: "high",
  tasks: 16,
  demand: { cpu: 8_000, gpu: 1_000, ram: 64_000 },
  types: ["g8"],
  zone: null,
  singleZone: true,
  spread: false,
  spot: true,
  image: "img-07",
  imageGb: 6.2,
  estimatedRunS: 240,
  checkpointIntervalS: 30,
  checkpointDurationS: 4,
  deadlineS: 900,
};

test("records of the old version are decoded correctly", () => {
  const job = decodeJobRecord(JSON.parse(`{"spec":${SPEC},"block":0,"cancelled":true}`));
  assert.deepEqual(job, { spec: SPEC_IN_MEMORY, shard: 0, cancelled: true });
  assert.deepEqual(decodeTaskRange(JSON.parse('{"t":[0,3,-1,[2,"n-000231"]]}')), [
    { kind: "waiting", attempt: 0 },
    { kind: "waiting", attempt: 3 },
    { kind: "done" },
    { kind: "placed", attempt: 2, machine: "n-000231" },
  ]);
  assert.deepEqual(decodeOutcomeRecord(JSON.parse('{"phase":"cancelled","done":3,"why":"error"}')), {
    phase: "cancelled",
    completedTasks: 3,
    cancellationReason: "error",
  });
  assert.deepEqual(decodeMemberRecord(JSON.parse('{"lease":7,"incarnation":"abc"}')), {
    leaseId: 7,
    incarnation: "abc",
  });
  assert.deepEqual(decodeShardRecord(JSON.parse('{"label":"ctl-1","incarnation":"abc","number":12}')), {
    label: "ctl-1",
    incarnation: "abc",
    epoch: 12,
  });
  assert.deepEqual(decodeUnreachableZones(JSON.parse('{"number":4,"zones":{"east":1700000000000}}')), {
    epoch: 4,
    unansweredSinceMs: { east: 1_700_000_000_000 },
  });
});

test("records of the new version have the fields that the old one reads, and others only where it ignores them", async () => {
  const cluster = new Cluster(51, {}, withAnnouncedLimits);
  cluster.submit(plainJob("wk-000001", { dueS: 100 }), { runUs: 200 * S });
  cluster.submit(plainJob("wk-000002"), { runUs: 3 * S });
  await cluster.run(40 * S);
  const keysOf = (key: string): readonly string[] => Object.keys(cluster.state.value(key) as object).sort();
  assert.deepEqual(keysOf("c/job/wk-000001"), ["acceptedMs", "block", "cancelled", "spec"]);
  const { spec } = cluster.state.value("c/job/wk-000001") as { spec: object };
  assert.deepEqual(Object.keys(spec).sort(), Object.keys(JSON.parse(SPEC)).sort());
  assert.deepEqual(keysOf("c/range/wk-000001/0"), ["t"]);
  assert.deepEqual(keysOf("e/wk-000002"), ["done", "phase"]);
  assert.deepEqual(keysOf("c/block/0"), ["incarnation", "label", "number"]);
  assert.deepEqual(keysOf("c/member/ctl-0"), ["incarnation", "lease"]);
  const kinds = new Set(cluster.state.keys("c/").map((key) => key.split("/")[1]));
  assert.deepEqual([...kinds].sort(), ["answered", "block", "job", "leader", "member", "number", "range", "types"]);
  assert.deepEqual(encodeTaskRange([{ kind: "placed", attempt: 2, machine: "n-1" }]), { t: [[2, "n-1"]] });
});

// Mixed versions during a rolling upgrade ---------------------------------------------------------------------------

const submitJobStream = (cluster: Cluster, from: number, until: number): void => {
  let number = 0;
  const submitNext = (): void => {
    number += 1;
    const ref = `wk-${String(number).padStart(6, "0")}`;
    cluster.submit(plainJob(ref, { shards: 1 + (number % 4), cpus: 1, loaner: true }), { runUs: 6 * S });
    if (number % 5 === 0) cluster.world.after(2 * S, () => cluster.users.cancel(ref));
    if (cluster.world.now < until) cluster.world.after(S, submitNext);
  };
  cluster.world.at(from, submitNext);
};

const UPGRADES: Readonly<Record<string, (rollout: Rollout) => void>> = {
  "one by one": ({ cluster, upgrade }) => {
    for (const at of [0, 1, 2]) cluster.world.at((40 + at * 12) * S, () => upgrade(at));
  },
  "the leader first, then failovers from old to new and back": ({ cluster, upgrade, isNew }) => {
    cluster.world.at(40 * S, () => upgrade(cluster.shardLeader()));
    for (const at of [50, 58]) cluster.world.at(at * S, () => cluster.crash(cluster.shardLeader(), 2 * S));
    for (const at of [0, 1, 2]) cluster.world.at((66 + at * 4) * S, () => (isNew(at) ? undefined : upgrade(at)));
  },
  "one crashes before its upgrade and restarts old, a store outage meanwhile": ({ cluster, upgrade }) => {
    cluster.world.at(40 * S, () => upgrade(0));
    cluster.world.at(44 * S, () => cluster.crash(1, 2 * S));
    cluster.world.at(48 * S, () => cluster.state.outage(12 * S));
    cluster.world.at(55 * S, () => upgrade(2));
    cluster.world.at(70 * S, () => upgrade(1));
  },
};

const FAULTS: Readonly<Record<string, Fault>> = {
  "no fault": () => undefined,
  "delayed writes": (c) => c.world.at(42 * S, () => c.state.lateWrites(0.2, 60 * S)),
  "a zone partitioned, the leader crashes": (c) => {
    c.world.at(60 * S, () => c.site.cutZone("west", 30 * S, "hold"));
    c.world.at(100 * S, () => c.crash(c.shardLeader(), 3 * S));
    c.world.at(112 * S, () => c.crash(c.shardLeader(), 0.5 * S));
  },
  "responses lost, a store outage during dependency chains": (c) => {
    c.world.at(95 * S, () => c.state.loseAnswers(0.3, 30 * S));
    c.world.at(125 * S, () => c.state.outage(20 * S));
  },
};

for (const [upgradeIndex, [name, upgrade]] of Object.entries(UPGRADES).entries()) {
  for (const [faultIndex, [faultName, injectFault]] of Object.entries(FAULTS).entries()) {
    test(`both versions serve in one cluster: ${name}; ${faultName}; then dependency chains and lower limits`, async () => {
      const rollout = startRollout(61 + upgradeIndex * 4 + faultIndex, (upgradeIndex + faultIndex) % 2 === 0);
      const { cluster } = rollout;
      cluster.machineCapacity.ordinary = 12;
      submitLongJobs(cluster);
      submitJobStream(cluster, 5 * S, 140 * S);
      upgrade(rollout);
      injectFault(cluster);
      const last = submitDependencyChains(cluster, 84 * S, 140 * S);
      cluster.world.at(105 * S, () => cluster.state.lower(LOWER_LIMITS));
      await cluster.run(160 * S);
      for (const node of [0, 1, 2]) assert.ok(rollout.isNew(node), "not all controllers are upgraded");
      cluster.checker.faultsEndedAt = cluster.world.now;
      await cluster.run(170 * S);
      assertRecovered(cluster);
      assert.deepEqual(cluster.errors, []);
      const finals = last.map((id) => cluster.checker.terminalPhaseOf(id));
      assert.ok(finals.includes("done") && finals.includes("withdrawn"), finals.join());
      assert.deepEqual(
        finals.filter((final) => final === null),
        [],
      );
      assert.equal(cluster.state.tooLarge, 0, "requests above the size limit");
    });
  }
}

test("a task range of the old version above the new value limit is read, shrinks and is deleted as its job ends", async () => {
  const rollout = startRollout(81, false, (text) =>
    withAnnouncedLimits(text).replace("value_kb = 2.0", "value_kb = 1.0"),
  );
  const { cluster, upgrade } = rollout;
  cluster.machineCapacity.ordinary = 60;
  cluster.cloud.boots = { never: 0, late: 0, early: 0 };
  const large = plainJob("wk-000001", { shards: 150, cpus: 1, sizeGb: 0.1, guessS: 60 });
  cluster.submit(large, { runUs: 60 * S });
  cluster.submit(plainJob("wk-000002", { shards: 150, cpus: 1, sizeGb: 0.1, guessS: 300 }), { runUs: 400 * S });
  await cluster.run(50 * S);
  const bytes = JSON.stringify(cluster.state.value("c/range/wk-000001/0")).length;
  assert.ok(bytes > 1_024, `${bytes} bytes`);
  for (const at of [0, 1, 2]) upgrade(at);
  await cluster.run(10 * S);
  cluster.state.lower({ ...LOWER_LIMITS, valueBytes: 1_024 });
  cluster.submit(plainJob("wk-000003", { shards: 40, cpus: 1, sizeGb: 0.1 }), { runUs: 5 * S });
  await cluster.run(20 * S);
  // The long job is cancelled while its record is too large to be rewritten.
  cluster.users.cancel("wk-000002");
  await cluster.run(120 * S);
  for (const id of ["wk-000001", "wk-000003"]) assert.equal(cluster.checker.terminalPhaseOf(id), "done", id);
  assert.equal(cluster.checker.terminalPhaseOf("wk-000002"), "withdrawn");
  assert.equal(cluster.state.value("c/job/wk-000002"), undefined);
});

test("a job whose record is above the new value limit can be cancelled and queried, and ends", async () => {
  const rollout = startRollout(83, false);
  const { cluster, upgrade } = rollout;
  const flavors = ["big", ...Array.from({ length: 300 }, (_, at) => `none-${at}`)];
  cluster.submit(plainJob("wk-000001", { flavors, shards: 2, guessS: 300 }), { runUs: 300 * S });
  cluster.submit(plainJob("wk-000002", { flavors, shards: 2, guessS: 40 }), { runUs: 40 * S });
  await cluster.run(30 * S);
  assert.ok(JSON.stringify(cluster.state.value("c/job/wk-000001")).length > LOWER_LIMITS.valueBytes);
  for (const at of [0, 1, 2]) upgrade(at);
  await cluster.run(10 * S);
  cluster.state.lower(LOWER_LIMITS);
  cluster.users.cancel("wk-000001");
  await cluster.run(80 * S);
  const finals = ["wk-000001", "wk-000002"].map((id) => cluster.checker.terminalPhaseOf(id));
  assert.deepEqual([finals, cluster.state.tooLarge], [["withdrawn", "done"], 0]);
  // A repeated submission is answered with the job's state, although a new job of this size would be rejected.
  for (const job of cluster.users.known().all) void cluster.users.resubmit(job);
  await cluster.run(5 * S);
});

test("limits lowered without announcement are detected, and oversized requests are not repeated unchanged", async () => {
  const cluster = new Cluster(82);
  cluster.machineCapacity.ordinary = 40;
  submitJobStream(cluster, 5 * S, 60 * S);
  cluster.submit(plainJob("wk-900001", { shards: 100, cpus: 1, sizeGb: 0.1, guessS: 30 }), { runUs: 30 * S });
  await cluster.run(15 * S);
  cluster.state.lower({ valueBytes: 1_000, txnOps: 4 });
  cluster.submit(plainJob("wk-900002", { shards: 120, cpus: 1, sizeGb: 0.1, guessS: 30 }), { runUs: 10 * S });
  await cluster.run(150 * S);
  assertRecovered(cluster);
  assert.ok(cluster.state.tooLarge > 0 && cluster.state.tooLarge < 60, `${cluster.state.tooLarge} refused`);
});

test("settings: the lower of two limits applies, and limits that are too low are rejected with the field's name", () => {
  const { store } = parseSettings(withAnnouncedLimits(settingsText(0)));
  assert.deepEqual(store, {
    requestsPerS: 150,
    writesPerS: 28,
    valueBytes: 2_048,
    transactionWrites: 6,
    currentValueBytes: 8_192,
  });
  assert.equal(
    parseSettings(withAnnouncedLimits(settingsText(0)).replace("write_rps = 28.0", "write_rps = 90.0")).store
      .writesPerS,
    40,
  );
  for (const [from, to, expectedError] of [
    ["value_kb = 2.0", "value_kb = 0.5", /deployment\.state\.next\.value_kb: must be at least 1$/],
    ["txn_ops = 6", "txn_ops = 1", /deployment\.state\.next\.txn_ops: must be at least 2$/],
    ["write_rps = 28.0", "write_rps = 0.2", /deployment\.state\.next\.write_rps: must be at least 1$/],
  ] as const) {
    assert.throws(() => parseSettings(withAnnouncedLimits(settingsText(0)).replace(from, to)), expectedError);
  }
});
