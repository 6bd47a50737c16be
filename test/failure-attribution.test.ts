import assert from "node:assert/strict";
import { test } from "node:test";
import type { Job } from "../src/cluster/job.js";
import type { Machine } from "../src/cluster/machine.js";
import type { Task } from "../src/cluster/task.js";
import { LogEvent } from "../src/coordination/log-events.js";
import { waitingJobs } from "../src/coordination/scheduling/job-order.js";
import {
  allowedStarts,
  attributeFailure,
  clearFailureHistory,
} from "../src/coordination/workers/failure-attribution.js";
import { S } from "../src/model/index.js";
import { type Micros, seconds } from "../src/transport/clock.js";
import { JOB_SPEC, makeShard } from "./shard-fixtures.js";
import { Cluster, plainJob } from "./sim/cluster.js";

const makeFixture = (machines: number) => {
  const { shard, world, context } = makeShard(machines);
  const all = [...shard.machines.values()];
  const add = (id: string, tasks: number): Job => {
    const job = shard.addJob({ ...JOB_SPEC, id, tasks }, 1, false);
    shard.createNextTaskRange(job);
    return job;
  };
  const start = (job: Job, machine: Machine | undefined): Task => {
    const [task] = job.waitingTasks;
    assert.ok(task !== undefined && machine !== undefined);
    shard.assignTask(task, machine);
    Object.assign(task, { state: "running", runningSince: context.clock.now() });
    return task;
  };
  const fail = (task: Task): string => {
    const machine = task.machine as Machine;
    const cause = attributeFailure(task, machine, shard.jobs, shard.machines, context.clock.now());
    shard.releaseTask(task);
    return cause;
  };
  const advance = (s: number): void => {
    world.now += s * S;
  };
  return { shard, all, add, start, fail, advance, now: () => context.clock.now() };
};

test("a broken job array does not make a machine faulty, however many of its tasks fail at once", () => {
  // If each failure counts separately, eight failed tasks in one heartbeat get the machine drained.
  const { all, add, start, fail, advance, now } = makeFixture(12);
  const job = add("wk-1", 90);
  const tasks = all.flatMap((machine) => Array.from({ length: 7 }, () => start(job, machine)));
  advance(1);
  const causes = tasks.map(fail);
  assert.ok(!causes.includes("machine"));
  assert.ok(job.onProbation);
  // The quarantine of the first machine ends as soon as the failures are attributed to the job.
  for (const {
    lifecycle: { quarantinedUntil },
    lifecycle: { recentFailures },
  } of all) {
    assert.ok(quarantinedUntil <= now());
    assert.equal(recentFailures.size, 0);
  }
});

test("two broken jobs on the same machine do not make it faulty either", () => {
  const { all, add, start, fail } = makeFixture(3);
  const [a, b] = [add("wk-1", 4), add("wk-2", 4)];
  assert.equal(fail(start(a, all[0])), "undecided");
  assert.equal(fail(start(b, all[0])), "undecided");
});

test("a machine on which jobs fail that run stably elsewhere is faulty", () => {
  const { all, add, start, fail, advance } = makeFixture(3);
  const [a, b] = [add("wk-1", 4), add("wk-2", 4)];
  start(a, all[1]);
  start(b, all[2]);
  advance(30);
  assert.equal(fail(start(a, all[0])), "undecided");
  assert.equal(fail(start(b, all[0])), "machine");
});

test("a job on probation runs one task at a time with growing back-off until a task runs stably", () => {
  const { shard, all, add, start, fail, advance, now } = makeFixture(4);
  const job = add("wk-1", 40);
  assert.equal(allowedStarts(job, now()), Number.POSITIVE_INFINITY);
  for (const task of [start(job, all[0]), start(job, all[1])]) fail(task);
  const trials: number[] = [];
  for (let at = 0; at < 1_200; at += 1) {
    advance(0.1);
    if (job.retryAfter > now() || allowedStarts(job, now()) === 0) continue;
    trials.push(at / 10);
    const task = start(job, all[at % 4]);
    assert.equal(allowedStarts(job, now()), 0, "one at a time");
    assert.equal(fail(task), "job");
  }
  assert.ok(trials.length >= 5 && trials.length <= 10, `${trials.length} trials in two minutes: ${trials}`);
  const last = start(job, all[2]);
  advance(11);
  assert.equal(last.state, "running");
  assert.equal(allowedStarts(job, now()), Number.POSITIVE_INFINITY);
  clearFailureHistory(job);
  assert.equal(job.onProbation, false);
  assert.equal(shard.jobs.size, 1);
});

test("after late failures, a job's starts are limited until another of its tasks has run for much longer", () => {
  const { all, add, start, fail, advance, now } = makeFixture(4);
  const job = add("wk-1", 8);
  const wave = [start(job, all[0]), start(job, all[1]), start(job, all[2])];
  advance(15);
  // The remaining task has run for longer than ten seconds, but no longer than those that failed.
  for (const task of wave.slice(0, 2)) fail(task);
  assert.ok(job.onProbation);
  assert.equal(allowedStarts(job, now()), 0);
  advance(20);
  assert.equal(allowedStarts(job, now()), Number.POSITIVE_INFINITY);
});

test("a job on probation does not hold back the other jobs of its team", () => {
  const { shard, all, add, start, fail, now } = makeFixture(3);
  const job = add("wk-1", 40);
  const healthy = add("wk-2", 4);
  for (const task of [start(job, all[0]), start(job, all[1])]) fail(task);
  job.retryAfter = (now() + seconds(5)) as Micros;
  const snapshot = {
    shard,
    now: now(),
    settings: { teams: new Map(), objectives: [] },
    guaranteesOvercommitted: false,
  };
  assert.deepEqual(
    waitingJobs(snapshot as unknown as Parameters<typeof waitingJobs>[0]).map(({ spec }) => spec.id),
    [healthy.spec.id],
  );
});

test("broken jobs make no machine faulty, are rarely restarted, and do not prevent other jobs from completing", async () => {
  const cluster = new Cluster(21);
  cluster.machineCapacity.ordinary = 20;
  cluster.cloud.boots = { ...cluster.cloud.boots, never: 0 };
  const job = (at: number): string => `wk-0000${String(at).padStart(2, "0")}`;
  for (let at = 0; at < 6; at += 1) cluster.submit(plainJob(job(at), { shards: 8 }), { runUs: 200 * S });
  cluster.world.at(60 * S, () => {
    for (let at = 10; at < 14; at += 1) cluster.submit(plainJob(job(at), { shards: 20 }), { failsAlways: true });
  });
  cluster.world.at(70 * S, () => {
    for (let at = 20; at < 23; at += 1) cluster.submit(plainJob(job(at), { shards: 8 }), { runUs: 10 * S });
  });
  await cluster.run(180 * S);
  assert.equal(cluster.logged(LogEvent.MachineFaulty), false);
  assert.equal(cluster.logged(LogEvent.JobOnProbation), true);
  const starts = (from: number, to: number, after: number): number =>
    cluster.taskStarts.filter(({ task, at }) => task >= job(from) && task < job(to) && at > after * S).length;
  // Almost two minutes of four jobs; the first burst of at most eighty starts is over by then.
  assert.ok(starts(10, 20, 80) <= 4 * 12, `${starts(10, 20, 80)} starts of jobs that always fail`);
  for (const at of [20, 21, 22]) assert.equal(cluster.checker.terminalPhaseOf(job(at)), "done", job(at));
});
