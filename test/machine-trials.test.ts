/** Guards against machines that are never used again once some tasks have failed on them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "../src/cluster/job.js";
import type { Machine } from "../src/cluster/machine.js";
import { decideRound, newRoundState } from "../src/coordination/scheduling/placement-round.js";
import { applyAction } from "../src/coordination/scheduling/round-action.js";
import {
  declareFaulty,
  endFaultByCompletion,
  endFaultByStableRun,
  recordFailedTrial,
} from "../src/coordination/workers/machine-trials.js";
import { S } from "../src/model/index.js";
import { makeSchedulingFixture } from "./scheduling-fixtures.js";
import { clusterWithOneMachineAZone, plainJob } from "./sim/cluster.js";

const makeFixture = (machines: number) => {
  const fixture = makeSchedulingFixture(machines);
  const { world, clock, shard, snapshot, machine } = fixture;
  const all = [...shard.machines.values()];
  const round = (): void => {
    for (const each of all) each.reachability.lastHeartbeatAt = clock.now();
    for (const action of decideRound(snapshot(), newRoundState())) applyAction(shard, action);
  };
  const advance = (seconds: number): void => {
    world.now += seconds * S;
  };
  /** Number of the job's tasks that a round places on the machine. */
  const placedBy = (job: Job, on: Machine): number => {
    round();
    return [...job.placedTasks].filter((task) => task.machine === on).length;
  };
  return { ...fixture, machine, all, round, advance, placedBy };
};

test("a faulty machine gets one trial task after a back-off, and all tasks once that has completed", () => {
  const { machine, clock, shard, add, advance, placedBy } = makeFixture(1);
  declareFaulty(machine, clock.now());
  const job = add({ shards: 3 }, "wk-1");
  assert.equal(placedBy(job, machine), 0);
  advance(21);
  assert.equal(placedBy(job, machine), 1, "one task as a trial");
  advance(60);
  assert.equal(placedBy(job, machine), 1, "no other one while that runs");
  const [trial] = job.placedTasks;
  assert.ok(trial !== undefined);
  assert.ok(endFaultByCompletion(machine, trial, clock.now()));
  shard.releaseTask(trial);
  assert.equal(placedBy(job, machine), 3);
});

test("a trial that fails delays the next one, by half a minute at most", () => {
  const { machine, clock, shard, add, advance, placedBy } = makeFixture(1);
  declareFaulty(machine, clock.now());
  const job = add({ shards: 1 }, "wk-1");
  const delays: number[] = [];
  for (let trial = 0; trial < 4; trial += 1) {
    const from = clock.now();
    for (let waited = 0; waited < 60 && placedBy(job, machine) === 0; waited += 1) advance(1);
    delays.push((clock.now() - from) / S);
    const [task] = job.placedTasks;
    assert.ok(task !== undefined && machine.lifecycle.fault !== null);
    recordFailedTrial(machine.lifecycle.fault, task, clock.now());
    shard.releaseTask(task);
  }
  assert.deepEqual(delays, [20, 30, 30, 30]);
});

test("a trial that is moved or cancelled makes room for another one", () => {
  const { machine, clock, shard, add, advance, placedBy } = makeFixture(1);
  declareFaulty(machine, clock.now());
  const job = add({ shards: 2 }, "wk-1");
  advance(21);
  assert.equal(placedBy(job, machine), 1);
  const [trial] = job.placedTasks;
  assert.ok(trial !== undefined);
  shard.releaseTask(trial);
  assert.equal(placedBy(job, machine), 1);
});

test("a replica that runs for long enough ends the fault, a shorter one does not", () => {
  const { machine, clock, add, advance, placedBy } = makeFixture(1);
  declareFaulty(machine, clock.now());
  machine.lifecycle.recentFailures.set("wk-9", { at: clock.now(), count: 3 });
  const job = add({ shape: "daemon", shards: 1, rank: "prod" }, "wk-1");
  advance(21);
  assert.equal(placedBy(job, machine), 1);
  const [trial] = job.placedTasks;
  Object.assign(trial ?? {}, { state: "running", runningSince: clock.now() });
  advance(9);
  assert.equal(endFaultByStableRun(machine, clock.now()), false);
  advance(2);
  assert.ok(endFaultByStableRun(machine, clock.now()));
  assert.equal(machine.lifecycle.fault, null);
  assert.equal(machine.lifecycle.recentFailures.size, 0, "one more failure is not a fault again");
});

test("a faulty machine gets no trial while another machine has capacity, and no gang", () => {
  const { machine, all, clock, add, advance, round, placedBy } = makeFixture(2);
  declareFaulty(machine, clock.now());
  advance(21);
  const small = add({ shards: 3 }, "wk-1");
  assert.equal(placedBy(small, machine), 0);
  assert.equal(placedBy(small, all[1] as Machine), 3);
  const gang = add({ shape: "ensemble", shards: 8 }, "wk-2");
  round();
  assert.equal(gang.placedTasks.size, 0, "it would need both machines");
});

// Guards against a job that waits for ever beside a sound machine, which failed some tasks and keeps a replica (review/6).
test("a job that fits on one machine only runs there once that machine no longer fails its tasks", async () => {
  for (const seed of [1, 2, 3]) {
    const cluster = clusterWithOneMachineAZone(seed);
    cluster.submit(
      plainJob("wk-000001", { shape: "daemon", rank: "prod", shards: 2, cpus: 1, spread: true, flavors: ["big"] }),
    );
    cluster.world.at(60 * S, () => {
      const machine = cluster.cloud.running().find(({ info }) => info.zone === "east");
      machine?.worker?.makeFaulty(50 * S);
      cluster.submit(plainJob("wk-000002", { area: "east" }), { runUs: 5 * S });
    });
    await cluster.run(111 * S);
    assert.ok(cluster.logged("machine faulty"), "the test needs a machine that is called faulty");
    assert.equal(cluster.checker.terminalPhaseOf("wk-000002"), null);
    await cluster.run(90 * S);
    assert.equal(cluster.checker.terminalPhaseOf("wk-000002"), "done", cluster.describeJob("wk-000002"));
    assert.ok(cluster.logged("machine recovered"));
  }
});

// Guards against a sound machine that a single broken job has put out of use for all others, also after its end.
test("a machine that failed a broken job only is used again after the job is cancelled", async () => {
  const cluster = clusterWithOneMachineAZone(4);
  cluster.submit(
    plainJob("wk-000001", { shape: "daemon", rank: "prod", shards: 2, cpus: 1, spread: true, flavors: ["big"] }),
  );
  cluster.world.at(60 * S, () => cluster.submit(plainJob("wk-000002", { area: "east" }), { failsAlways: true }));
  cluster.world.at(112 * S, () => cluster.users.cancel("wk-000002"));
  cluster.world.at(113 * S, () => cluster.submit(plainJob("wk-000003", { area: "east" }), { runUs: 5 * S }));
  await cluster.run(111 * S);
  assert.ok(cluster.logged("machine faulty"), "the test needs a machine that is called faulty");
  await cluster.run(92 * S);
  assert.equal(cluster.checker.terminalPhaseOf("wk-000003"), "done", cluster.describeJob("wk-000003"));
});
