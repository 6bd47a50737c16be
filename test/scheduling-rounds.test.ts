import assert from "node:assert/strict";
import { test } from "node:test";
import type { ShardContext } from "../src/coordination/context.js";
import type { TaskStateWriter } from "../src/coordination/jobs/task-state-writer.js";
import { Scheduler } from "../src/coordination/scheduling/scheduler.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import type { Micros } from "../src/transport/clock.js";
import { JOB_SPEC, makeShard } from "./shard-fixtures.js";

test("placements run no further ahead of their records than the write budget, whatever else is queued", () => {
  const { shard, context, taskStates } = makeShard(200);
  const placedJobs: string[] = [];
  const scheduler = new Scheduler(
    // Ten writes a second, and hundreds of queued outcome records.
    {
      ...context,
      transactions: { ...context.transactions, writesPerSecond: 10, pendingCount: () => 500 },
    } as unknown as ShardContext,
    {
      ...taskStates,
      recordPlacement: (range: { placementPendingSince: Micros | null; job: { spec: JobSpec } }) => {
        if (range.placementPendingSince === null) placedJobs.push(range.job.spec.id);
        range.placementPendingSince = context.clock.now();
      },
    } as unknown as TaskStateWriter,
  );
  for (let at = 0; at < 60; at += 1) shard.addJob({ ...JOB_SPEC, id: `wk-${at}`, tasks: 20 }, 1, false);
  scheduler.runRound();
  assert.equal(placedJobs.length, 20, "the writes of two seconds");
  // Each range is placed as a whole: one write carries all its placements.
  assert.ok(placedJobs.every((id) => shard.jobs.get(id)?.placedTasks.size === 20));
  scheduler.runRound();
  assert.equal(placedJobs.length, 20, "no further placements until some records are written");
  for (const id of placedJobs.slice(0, 5))
    for (const range of shard.jobs.get(id)?.ranges ?? []) range.placementPendingSince = null;
  scheduler.runRound();
  assert.equal(placedJobs.length, 25);
});

test("the inspections of a round grow with machines and tasks, not with their product", () => {
  const { shard, context, taskStates } = makeShard(1_500);
  for (let at = 0; at < 100; at += 1) {
    const service = at % 4 === 0;
    shard.addJob(
      {
        ...JOB_SPEC,
        id: `wk-${at}`,
        tasks: service ? 9 : 150,
        image: `img-${at % 5}`,
        ...(service ? { shape: "service", spot: false, spread: true, demand: { cpu: 1_000, gpu: 0, ram: 2_000 } } : {}),
      },
      1,
      false,
    );
  }
  const scheduler = new Scheduler(context, taskStates);
  scheduler.runRound();
  const placed = [...shard.jobs.values()].reduce((sum, job) => sum + job.placedTasks.size, 0);
  assert.ok(placed > 10_000, `${placed} placed`);
  // Inspecting each machine for each task would take 17 million inspections.
  assert.ok(scheduler.inspectionCounter.count < 1_500_000, `${scheduler.inspectionCounter.count} inspections`);
  const before = scheduler.inspectionCounter.count;
  scheduler.runRound();
  const idle = scheduler.inspectionCounter.count - before;
  assert.ok(idle < 100_000, `${idle} inspections in a round with nothing to place`);
});
