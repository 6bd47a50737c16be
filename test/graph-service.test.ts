import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import type { GraphOptions } from "../src/settings/graph-options.js";
import { CLASS, JOB } from "./graph-fixtures.js";
import { plainJob } from "./sim/cluster.js";
import { type Answer, GraphSite, JOB_FIELDS } from "./sim/graph-site.js";

const startSite = async (seed: number, options: Partial<GraphOptions> = {}): Promise<GraphSite> => {
  const site = new GraphSite(seed, options);
  await site.run(3 * S);
  return site;
};

const chainOf = (count: number): readonly unknown[] =>
  Array.from({ length: count }, (_, at) => ({ task_id: `t${at}`, upstream: at === 0 ? [] : [`t${at - 1}`] }));

test("every controller reports the same end of a run, and the ended run's header is deleted", async () => {
  const site = await startSite(1);
  const posted = await site.submitGraph("dr-a", [
    { task_id: "a" },
    { task_id: "b", upstream: ["a"] },
    { task_id: "c", upstream: ["a"] },
    { task_id: "d", upstream: ["b", "c"] },
  ]);
  assert.deepEqual([posted.status, posted.body.phase], [201, "pending"]);
  await site.waitForPhase("dr-a", ["success"]);
  for (const node of [0, 1, 2]) {
    const { body } = await site.request("GET", "/v2/graphs/dr-a", "", node);
    assert.deepEqual([body.phase, body.counts], ["success", { success: 4 }]);
  }
  assert.equal(site.state.value("c/graph/dr-a"), undefined);
  const again = await site.submitGraph("dr-a", [{ task_id: "a" }]);
  assert.equal(again.status, 409);
  const listed = await site.request("GET", "/v2/graphs?state=ended");
  assert.deepEqual(
    listed.body.graphs?.map(({ ref, phase }) => [ref, phase]),
    [["dr-a", "success"]],
  );
  assert.deepEqual(site.errors, []);
});

test("a repeated submission returns the run's status; a reused id or an unrunnable graph is refused", async () => {
  const site = await startSite(2);
  assert.equal((await site.submitGraph("dr-a", chainOf(2))).status, 201);
  assert.equal((await site.submitGraph("dr-a", chainOf(2))).status, 200);
  const other = await site.submitGraph("dr-a", chainOf(3));
  assert.deepEqual([other.status, other.body.error], [409, "dr-a is another graph: choose a new id"]);
  assert.equal((await site.submitGraph("dr/a", chainOf(1))).status, 400);
  const huge = await site.submitGraph("dr-b", [{ task_id: "a", job: { cpus: 400 } }]);
  assert.equal(huge.status, 422);
  assert.match(huge.body.error ?? "", /step a/);
  const cycle = await site.submitGraph("dr-c", [
    { task_id: "a", upstream: ["b"] },
    { task_id: "b", upstream: ["a"] },
  ]);
  assert.deepEqual([cycle.status, cycle.body.error], [400, "tasks[0]: cycle: a >> b >> a"]);
  assert.equal((await site.request("GET", "/v2/graphs/dr-x")).status, 404);
  assert.equal((await site.request("POST", "/v2/graphs", "{")).status, 400);
});

test("a step that fails on every machine is tried as often as its job class permits, then fails", async () => {
  const site = await startSite(3);
  const tried = new Set<string>();
  site.stepBehaviour = (job) => {
    if (!job.includes(".0001.")) return {};
    tried.add(job);
    return { failsAlways: true };
  };
  await site.submitGraph("dr-a", [
    ...chainOf(3),
    { task_id: "alarm", upstream: ["t1"], trigger_rule: "one_failed" },
    { task_id: "end", upstream: ["t2", "alarm"], trigger_rule: "none_failed" },
  ]);
  const { body } = await site.waitForPhase("dr-a", ["failed"]);
  assert.deepEqual(body.counts, { success: 2, failed: 1, upstream_failed: 2 });
  assert.equal(tried.size, CLASS.attempts);
});

test("the loss of a machine does not count as a failed attempt of a step", async () => {
  const site = await startSite(4);
  await site.submitGraph("dr-a", chainOf(1), {});
  site.stepBehaviour = () => ({ runUs: 20 * S });
  await site.submitGraph("dr-b", [{ task_id: "a", retries: 0 }]);
  for (let turn = 0; turn < 3; turn += 1) {
    await site.run(10 * S);
    for (const { info } of site.cloud.running()) site.cloud.take(info.name, "failed");
  }
  await site.waitForPhase("dr-b", ["success"]);
});

test("an abort cancels running, waiting and in-flight steps", async () => {
  for (let seed = 5; seed < 13; seed += 1) {
    const site = await startSite(seed);
    site.stepBehaviour = () => ({ runUs: 60 * S });
    await site.submitGraph(
      "dr-a",
      Array.from({ length: 40 }, (_, at) => ({ task_id: `t${at}` })),
    );
    // The abort falls at different points of the submissions.
    await site.run((seed - 5) * 0.4 * S);
    const aborted = await site.request("POST", "/v2/graphs/dr-a/abort", "", seed % 3);
    assert.deepEqual([aborted.status, aborted.body.phase], [200, "withdrawn"]);
    await site.run(45 * S);
    const { body } = await site.waitForPhase("dr-a", ["withdrawn"]);
    assert.equal((body.counts?.failed ?? 0) + (body.counts?.skipped ?? 0), 40);
    assert.equal(site.state.value("c/graph/dr-a"), undefined, "header record deleted");
    assert.ok(![...site.checker.jobs.keys()].some((job) => site.checker.isRunning(`${job}/0`)), "no task left running");
  }
});

test("a cleared step and its downstream steps run again; the other steps keep their states", async () => {
  const site = await startSite(14);
  let broken = true;
  const runs: string[] = [];
  site.stepBehaviour = (job) => {
    runs.push(job.slice(-6));
    return job.includes(".0001.") && broken ? { failsAlways: true } : {};
  };
  await site.submitGraph("dr-a", [...chainOf(3), { task_id: "other" }]);
  await site.waitForPhase("dr-a", ["failed"]);
  broken = false;
  runs.length = 0;
  const cleared = await site.request("POST", "/v2/graphs/dr-a/clear", { step: "t1" }, 1);
  assert.deepEqual([cleared.status, cleared.body.phase], [200, "running"]);
  const { body } = await site.waitForPhase("dr-a", ["success"]);
  assert.deepEqual(body.counts, { success: 4 });
  assert.deepEqual(runs.map((run) => run.slice(0, 4)).sort().length, 2);
  // Clears a step without its downstream steps while the run is active.
  site.stepBehaviour = (job) => ({ runUs: job.includes(".0000.") ? 60 * S : 3 * S });
  await site.submitGraph("dr-b", [
    { task_id: "slow" },
    { task_id: "quick" },
    { task_id: "after", upstream: ["quick"] },
  ]);
  await site.run(40 * S);
  assert.equal(
    (await site.request("POST", "/v2/graphs/dr-b/clear", { step: "quick", downstream: false }, 2)).status,
    200,
  );
  const end = await site.waitForPhase("dr-b", ["success"]);
  assert.deepEqual(end.body.counts, { success: 3 });
  const attempts = [...site.checker.jobs.keys()].filter((job) => job.startsWith("wk-dr-b"));
  assert.equal(attempts.length, 4, attempts.join());
});

test("dagrun_timeout ends the run, and execution_timeout ends an attempt", async () => {
  const site = await startSite(15);
  site.stepBehaviour = () => ({ runUs: 500 * S });
  await site.submitGraph("dr-a", chainOf(2), { dagrun_timeout: 20 });
  const { body } = await site.waitForPhase("dr-a", ["failed"], 90);
  assert.deepEqual(body.counts, { failed: 1, upstream_failed: 1 });
  await site.submitGraph("dr-b", [{ task_id: "a", execution_timeout: 5, retries: 1 }]);
  const late = await site.waitForPhase("dr-b", ["failed"], 120);
  assert.deepEqual(late.body.counts, { failed: 1 });
  assert.equal([...site.checker.jobs.keys()].filter((job) => job.startsWith("wk-dr-b")).length, 2);
});

test("max_active_runs limits a DAG's runs, and depends_on_past makes a step wait for the previous run", async () => {
  const site = await startSite(16);
  const tasks = [
    { task_id: "a", depends_on_past: true },
    { task_id: "b", upstream: ["a"] },
  ];
  site.stepBehaviour = () => ({ runUs: 10 * S });
  for (const id of ["dr-1", "dr-2", "dr-3"]) await site.submitGraph(id, tasks, { max_active_runs: 2 });
  await site.run(25 * S);
  const phases: (string | undefined)[] = [];
  for (const id of ["dr-1", "dr-2", "dr-3"]) phases.push((await site.request("GET", `/v2/graphs/${id}`)).body.phase);
  assert.equal(phases[2], "pending");
  for (const id of ["dr-1", "dr-2", "dr-3"]) await site.waitForPhase(id, ["success"]);
  // A failed step blocks the step of the same name in the next run.
  site.stepBehaviour = () => ({ failsAlways: true });
  await site.submitGraph("dr-4", tasks, { max_active_runs: 2 });
  await site.waitForPhase("dr-4", ["failed"]);
  await site.submitGraph("dr-5", tasks, { max_active_runs: 2 });
  const { body } = await site.waitForPhase("dr-5", ["failed"]);
  assert.deepEqual(body.counts, { upstream_failed: 2 });
});

test("a pool limits its running steps over all runs, max_active_tasks those of one run", async () => {
  const site = await startSite(17);
  site.stepBehaviour = () => ({ runUs: 8 * S });
  const pooled = [0, 1, 2].map((at) => ({ task_id: `p${at}`, pool: "gate" }));
  await site.submitGraph("dr-a", pooled);
  await site.submitGraph("dr-b", pooled);
  await site.submitGraph(
    "dr-c",
    Array.from({ length: 6 }, (_, at) => ({ task_id: `t${at}` })),
    { max_active_tasks: 3 },
  );
  let most = 0;
  let mostOwn = 0;
  for (let turn = 0; turn < 240; turn += 1) {
    await site.run(S / 4);
    const open = (prefix: string): number =>
      [...site.checker.jobs.keys()].filter((job) => job.startsWith(prefix) && site.checker.isRunning(`${job}/0`))
        .length;
    most = Math.max(most, open("wk-dr-a") + open("wk-dr-b"));
    mostOwn = Math.max(mostOwn, open("wk-dr-c"));
  }
  assert.equal(most, 2);
  assert.ok(mostOwn <= 3 && mostOwn > 0, `${mostOwn}`);
  for (const id of ["dr-a", "dr-b", "dr-c"]) await site.waitForPhase(id, ["success"]);
});

test("a definition is accepted in parts, sent in any order, to any controller and repeatedly", async () => {
  const site = await startSite(18);
  const tasks = Array.from({ length: 900 }, (_, at) => ({
    task_id: `task-with-a-rather-long-name-${at}`,
    upstream: at === 0 ? [] : ["task-with-a-rather-long-name-0"],
    job: { guessS: at % 7 },
  }));
  const graph = { dag_id: "d", owner: "open", default_args: { job: JOB_FIELDS }, tasks };
  const text = JSON.stringify({ ref: "dr-a", graph });
  const parts = Array.from({ length: 4 }, (_, at) => text.slice(at * 40_000, (at + 1) * 40_000));
  assert.equal(parts.join(""), text);
  const send = (part: number, node: number): Promise<Answer> =>
    site.request("POST", "/v2/graphs", { ref: "dr-a", part, parts: 4, text: parts[part] }, node);
  assert.deepEqual((await send(2, 1)).body, { ref: "dr-a", phase: "partial", parts: 4, have: 1 });
  assert.equal((await send(0, 0)).body.have, 2);
  assert.equal((await send(0, 2)).body.have, 2);
  assert.equal((await site.request("GET", "/v2/graphs/dr-a")).status, 404);
  const more = await site.request("POST", "/v2/graphs", { ref: "dr-a", part: 0, parts: 5, text: parts[0] });
  assert.deepEqual([more.status, more.body.error], [409, "dr-a is under way in 4 parts: choose a new id"]);
  const other = await site.request("POST", "/v2/graphs", { ref: "dr-a", part: 0, parts: 4, text: "other" });
  assert.equal(other.status, 409);
  assert.equal((await send(3, 1)).status, 202);
  assert.equal((await send(1, 2)).status, 201);
  assert.equal((await send(1, 0)).status, 200);
  const page = await site.request("GET", "/v2/graphs/dr-a/steps?from=800");
  assert.equal((page.body.steps as readonly unknown[]).length, 100);
  assert.equal((await site.request("POST", "/v2/graphs/dr-a/abort")).status, 200);
  await site.waitForPhase("dr-a", ["withdrawn"], 200);
  await site.run(120 * S);
  assert.equal(site.state.value("g/dr-a/u/0000/00"), undefined, "parts deleted");
  assert.equal(site.state.value("c/upload/dr-a"), undefined);
});

test("a graph submitted while all machines are draining starts once there are new ones", async () => {
  const site = await startSite(19);
  await site.submitGraph("dr-w", chainOf(2));
  await site.waitForPhase("dr-w", ["success"]);
  for (const { info, worker } of site.cloud.running()) {
    worker?.notice(20 * S);
    site.world.after(20 * S, () => site.cloud.take(info.name));
  }
  assert.equal((await site.submitGraph("dr-a", chainOf(4))).status, 201);
  await site.waitForPhase("dr-a", ["success"]);
});

/**
 * Submits `count` jobs, those selected by `isGraph` as graphs of one step, the others as single jobs. Returns the task
 * starts in order, with the wait of each since its submission.
 */
const startsOf = async (
  isGraph: (at: number) => boolean,
  count: number,
): Promise<readonly { readonly name: string; readonly waitS: number }[]> => {
  const site = await startSite(20);
  site.machineCapacity.spot = 0;
  site.machineCapacity.ordinary = 1;
  site.stepBehaviour = () => ({ runUs: 9 * S });
  const submittedAt = new Map<string, number>();
  for (let at = 0; at < count; at += 1) {
    const name = `${at}`.padStart(3, "0");
    const demand = {
      cpus: 2 + (at % 3),
      rank: at % 5 === 0 ? "high" : "normal",
      flavors: ["big"],
      area: "east",
    } as const;
    submittedAt.set(name, site.world.now);
    const job = { ...JOB, ...demand } as const;
    if (isGraph(at)) void site.request("POST", "/v2/graphs", singleStepGraph(`dr-${name}`, job), 0);
    else site.submit(plainJob(`wk-${name}`, { ...job, shape: "sweep" }), { runUs: 9 * S });
    await site.run(1.5 * S);
  }
  await site.run(400 * S);
  return site.taskStarts.map(({ task, at }) => {
    const name = /^wk-(?:dr-)?(\d{3})/.exec(task)?.[1] ?? "";
    return { name, waitS: (at - (submittedAt.get(name) ?? 0)) / S };
  });
};

const singleStepGraph = (ref: string, job: Readonly<Record<string, unknown>>): unknown => {
  const { owner, ...rest } = job;
  return { ref, ds: "2026-01-01", graph: { dag_id: ref, owner, tasks: [{ task_id: "a", job: rest }] } };
};

test("a graph submitted during a failover of its shard runs, and an active run goes on", async () => {
  for (const all of [false, true]) {
    const site = await startSite(22);
    await site.submitGraph("dr-a", chainOf(5));
    await site.run(6 * S);
    if (all) for (const at of [0, 1, 2]) site.crash(at);
    else site.crash(site.shardLeader());
    assert.ok([200, 201].includes((await site.submitGraph("dr-b", chainOf(3))).status));
    for (const id of ["dr-a", "dr-b"]) await site.waitForPhase(id, ["success"]);
    assert.deepEqual(site.errors, []);
  }
});

test("a job too large for a stored record is refused at once, as a step and as a single job", async () => {
  // Without the check the response is 503 for ever: the state service refuses the record on every try.
  const site = await startSite(23);
  const flavors = Array.from({ length: 60 }, (_, at) => `${"long-name-of-a-type-".repeat(9)}${at}`).concat("big");
  const step = await site.submitGraph("dr-a", [{ task_id: "a", job: { flavors } }]);
  assert.deepEqual([step.status, step.body.error], [422, "step a: its job is too large for a record"]);
  const alone = await site.request("POST", "/v2/runs", plainJob("wk-1", { flavors }));
  assert.deepEqual([alone.status, alone.body.error], [400, "job: too large"]);
});

test("a page of steps stays within the limit of a response line, however long the steps' names are", async () => {
  const site = await startSite(24);
  const long = "n".repeat(95);
  const tasks = Array.from({ length: 150 }, (_, at) => ({ task_id: `${long}${at}` }));
  await site.submitGraph("dr-a", [], { task_groups: [{ group_id: "g".repeat(99), tasks }] });
  await site.run(5 * S);
  const page = await site.request("GET", "/v2/graphs/dr-a/steps");
  assert.equal((page.body.steps as readonly unknown[]).length, 150);
  assert.ok(JSON.stringify(page.body).length < 65_536);
  await site.request("POST", "/v2/graphs/dr-a/abort");
});

test("graphs and single jobs with equal resource requests start in the same order after the same waits", async () => {
  const [single, graphs, mixed] = [
    await startsOf(() => false, 30),
    await startsOf(() => true, 30),
    await startsOf((at) => at % 2 === 0, 30),
  ];
  const names = (starts: typeof single): readonly string[] => starts.map(({ name }) => name);
  assert.equal(single.length, 30);
  assert.deepEqual(names(graphs), names(single));
  assert.deepEqual(names(mixed), names(single));
  for (const other of [graphs, mixed]) {
    for (const [at, { name, waitS }] of other.entries()) {
      const before = single[at]?.waitS ?? 0;
      assert.ok(
        Math.abs(waitS - before) < 1.5,
        `${name} waited ${waitS.toFixed(1)} s instead of ${before.toFixed(1)} s`,
      );
    }
  }
});

test("a single job waits no longer behind a graph of many ready steps than behind as many single jobs", async () => {
  const waits = async (graph: boolean): Promise<readonly number[]> => {
    const site = await startSite(21);
    site.machineCapacity.spot = 0;
    site.machineCapacity.ordinary = 1;
    site.stepBehaviour = () => ({ runUs: 4 * S });
    const demand = { ...JOB, cpus: 4, rank: "normal", flavors: ["big"], area: "east" } as const;
    const { owner, ...job } = demand;
    if (graph) {
      const tasks = Array.from({ length: 60 }, (_, at) => ({ task_id: `t${at}`, job }));
      void site.request("POST", "/v2/graphs", { ref: "dr-a", ds: "2026-01-01", graph: { dag_id: "d", owner, tasks } });
    } else {
      for (let at = 0; at < 60; at += 1) {
        site.submit(plainJob(`wk-a${at}`, { ...demand, shape: "sweep" }), { runUs: 4 * S });
      }
    }
    await site.run(20 * S);
    const at = site.world.now;
    for (let single = 0; single < 4; single += 1) {
      site.submit(plainJob(`wk-single${single}`, { ...demand, shape: "sweep" }), { runUs: 4 * S });
    }
    await site.run(300 * S);
    return site.taskStarts.filter(({ task }) => task.startsWith("wk-single")).map((start) => (start.at - at) / S);
  };
  const behindGraph = await waits(true);
  const behindJobs = await waits(false);
  assert.equal(behindGraph.length, 4);
  for (const [at, wait] of behindGraph.entries()) {
    assert.ok(Math.abs(wait - (behindJobs[at] ?? 0)) < 6, `${wait} s against ${behindJobs[at]} s`);
  }
});
