import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "../src/cluster/job.js";
import { decideRound, newRoundState } from "../src/coordination/scheduling/placement-round.js";
import type { RoundAction } from "../src/coordination/scheduling/round-action.js";
import type { Micros } from "../src/transport/clock.js";
import { makeSchedulingFixture } from "./scheduling-fixtures.js";

const waitReasons = (actions: readonly RoundAction[]): string[] =>
  actions.flatMap((action) => (action.kind === "wait" ? [`${action.job.spec.id}: ${action.reason}`] : []));

test("a waiting job is reported with the reason that holds in the present round", () => {
  const { add, round, shard } = makeSchedulingFixture(1);
  add({ owner: "capped", shards: 20, cpus: 1 }, "wk-limited");
  add({ shards: 3, cpus: 12, rank: "normal" }, "wk-large");
  add({ shape: "ensemble", shards: 4, cpus: 8, rank: "best_effort" }, "wk-gang");
  add({ shards: 2, cpus: 16, together: true, rank: "best_effort" }, "wk-one-zone");
  // The limited team fills the machine up to its own limit: 16 CPUs.
  assert.deepEqual(waitReasons(round()), [
    "wk-limited: team limit",
    "wk-large: no capacity",
    "wk-one-zone: no zone",
    "wk-gang: no capacity",
  ]);
  for (const task of [...(shard.jobs.get("wk-limited")?.placedTasks ?? [])]) shard.releaseTask(task);
  shard.jobs.delete("wk-limited");
  assert.deepEqual(waitReasons(round()), ["wk-large: no capacity", "wk-one-zone: no zone", "wk-gang: no capacity"]);
  assert.equal(shard.jobs.get("wk-large")?.placedTasks.size, 1);
});

test("a job submitted at the time of the snapshot is placed even if the clock advances before the round runs", () => {
  const { add, snapshot, world } = makeSchedulingFixture(1);
  add({ shards: 2 }, "wk-1");
  const snapshotBefore = snapshot();
  world.now += 40;
  const actions = [...decideRound(snapshotBefore, newRoundState())];
  assert.ok(
    actions.some(({ kind }) => kind === "place"),
    JSON.stringify(actions.map(({ kind }) => kind)),
  );
});

test("each preemption reports the task that it is for and a reason for each victim", () => {
  const lower = makeSchedulingFixture(1);
  lower.add({ shards: 4, cpus: 4, rank: "normal", saveEveryS: 5, saveTakesS: 1.2 }, "wk-low");
  lower.round();
  const low = lower.shard.jobs.get("wk-low");
  assert.ok(low !== undefined && low.placedTasks.size === 4);
  lower.add({ shards: 1, cpus: 6, rank: "high" }, "wk-high");
  // The tasks are not known to run yet. A start may be in progress, so they are not preempted.
  assert.deepEqual(
    lower.round().filter(({ kind }) => kind === "preempt"),
    [],
  );
  lower.markRunning(low);
  for (const task of lower.shard.jobs.get("wk-high")?.waitingTasks ?? []) task.nextPreemptionSearch = 0 as Micros;
  const preemption = lower.round().find((action) => action.kind === "preempt");
  assert.ok(preemption?.kind === "preempt");
  assert.equal(preemption.by.job.spec.id, "wk-high");
  assert.deepEqual(
    preemption.victims.map(({ reason, graceS }) => [reason, graceS]),
    [
      ["outranked", 2],
      ["outranked", 2],
    ],
  );

  const entitled = makeSchedulingFixture(1);
  entitled.add({ shards: 4, cpus: 4, owner: "open" }, "wk-beyond");
  entitled.round();
  entitled.markRunning(entitled.shard.jobs.get("wk-beyond") as Job);
  entitled.add({ shards: 1, cpus: 4, owner: "capped" }, "wk-entitled");
  // Not preempted at once: capacity may become free by itself.
  assert.equal(
    entitled.round().some(({ kind }) => kind === "preempt"),
    false,
  );
  entitled.world.now += 7_000_000;
  entitled.machine.reachability.lastHeartbeatAt = entitled.clock.now();
  const guarantee = entitled.round().find((action) => action.kind === "preempt");
  assert.ok(guarantee?.kind === "preempt" && guarantee.victims[0]?.reason === "guarantee");
});
