import assert from "node:assert/strict";
import { test } from "node:test";
import type { Task } from "../src/cluster/task.js";
import { decideEvictions } from "../src/coordination/workers/graceful-eviction.js";
import { type Micros, seconds } from "../src/transport/clock.js";
import { makeSchedulingFixture } from "./scheduling-fixtures.js";

test("a graceful eviction stops tasks that will not end in time, and releases tasks that were never started", () => {
  const { add, round, shard, machine, markRunning, clock } = makeSchedulingFixture(1);
  add({ shards: 3, cpus: 2, guessS: 100, saveEveryS: 5, saveTakesS: 2 }, "wk-long");
  add({ shards: 1, cpus: 2, guessS: 5 }, "wk-short");
  round();
  for (const job of shard.jobs.values()) markRunning(job);
  const [unstarted] = shard.jobs.get("wk-long")?.placedTasks ?? [];
  (unstarted as Task).startCommand = { kind: "none" };
  assert.deepEqual([...decideEvictions(machine, clock.now())], []);
  machine.lifecycle.reclaimAt = (clock.now() + seconds(20)) as Micros;
  const actions = [...decideEvictions(machine, clock.now())];
  assert.deepEqual(
    actions.map((action) => [action.kind, action.task.job.spec.id, action.kind === "stop" ? action.graceS : 0]),
    [
      ["release", "wk-long", 0],
      ["stop", "wk-long", 2],
      ["stop", "wk-long", 2],
    ],
  );
  // The remaining time is too short for a checkpoint.
  machine.lifecycle.reclaimAt = (clock.now() + seconds(1)) as Micros;
  const late = [...decideEvictions(machine, clock.now())].filter(({ kind }) => kind === "stop");
  assert.deepEqual(
    late.map((action) => action.kind === "stop" && action.graceS),
    [0, 0, 0],
  );
});
