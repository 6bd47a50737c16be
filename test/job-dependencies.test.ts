import assert from "node:assert/strict";
import { test } from "node:test";
import { DependencyGraph } from "../src/cluster/dependency-graph.js";
import { FastSite, jobBehaviour, jobOf, noopObserver, S, sampleSite } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import { encodeJobRecord } from "../src/storage/job-records.js";
import { jobKey, outcomeKey } from "../src/storage/keys.js";
import { Cluster, plainJob, type Submission, trueJob } from "./sim/cluster.js";

const dependentJob = (number: number, dependencies: readonly number[], fields: Partial<Submission> = {}): Submission =>
  plainJob(idOf(number), {
    shards: 2,
    cpus: 1,
    sizeGb: 0.1,
    rank: "best_effort",
    ...(dependencies.length === 0 ? {} : { awaits: dependencies.map(idOf) }),
    ...fields,
  });
const idOf = (number: number): string => `wk-${String(700_000 + number)}`;
const RUN = { runUs: 5 * S };

/** Submits the jobs in order, each once all its dependencies are accepted. */
const submitInTurn = (cluster: Cluster, jobs: readonly Submission[], runUs = 5 * S): void => {
  const pending = [...jobs];
  const next = (): void => {
    const accepted = new Set(cluster.checker.accepted());
    while (pending[0]?.awaits === undefined || pending[0].awaits.every((id) => accepted.has(id))) {
      const job = pending.shift();
      if (job === undefined) return;
      cluster.submit(job, { runUs });
    }
    cluster.world.after(S / 20, next);
  };
  next();
};

test("a job starts once all its dependencies are done, in a diamond and in a chain", async () => {
  const cluster = new Cluster(31);
  submitInTurn(cluster, [
    dependentJob(0, []),
    dependentJob(1, [0]),
    dependentJob(2, [0]),
    dependentJob(3, [1, 2]),
    dependentJob(4, [3]),
  ]);
  await cluster.run(120 * S);
  assert.deepEqual(cluster.unfinished(), []);
  const first = (number: number): number =>
    cluster.taskStarts.find(({ task }) => task.startsWith(`${idOf(number)}/`))?.at ?? 0;
  // 4 s instead of 5 s: machines differ in speed by 10 %.
  assert.ok(first(1) > first(0) + 4 * S && first(3) > Math.max(first(1), first(2)) + 4 * S);
  assert.deepEqual(cluster.errors, []);
});

test("the checker detects a task that starts before its dependencies, and a job that is not cancelled with its dependency", async () => {
  const startsTooEarly = new Cluster(32);
  startsTooEarly.users.alter = (request) => {
    if (request.method !== "POST" || request.target !== "/v2/runs") return request;
    return { ...request, body: JSON.stringify({ ...(JSON.parse(request.body) as object), awaits: undefined }) };
  };
  submitInTurn(startsTooEarly, [dependentJob(0, []), dependentJob(1, [0])]);
  await assert.rejects(startsTooEarly.run(60 * S), /too_early/);
  const orphan = new Cluster(33);
  submitInTurn(orphan, [dependentJob(0, []), dependentJob(1, [0])], 300 * S);
  orphan.network.tamper = (from, _, { method, target }, response) =>
    from === "user" && method === "GET" && target.endsWith(idOf(1))
      ? { status: 200, body: JSON.stringify({ ref: idOf(1), phase: "pending" }) }
      : response;
  orphan.world.at(20 * S, () => orphan.users.cancel(idOf(0)));
  await assert.rejects(orphan.run(120 * S), /orphaned/);
});

test("cancelling a job cancels all that depend on it, however deep, and leaves its dependencies", async () => {
  const cluster = new Cluster(34);
  const jobs = [
    dependentJob(0, []),
    dependentJob(1, [0]),
    dependentJob(2, [1]),
    ...Array.from({ length: 40 }, (_, at) => dependentJob(3 + at, [2 + at])),
  ];
  submitInTurn(cluster, jobs, 20 * S);
  await cluster.run(15 * S);
  cluster.users.cancel(idOf(1));
  await cluster.run(8 * S);
  // Every controller reports the cancellation at once, before all outcomes are recorded.
  for (const node of cluster.site.addresses.controllers) cluster.users.queryOnce(idOf(42), node);
  await cluster.run(2 * S);
  assert.equal(cluster.checker.terminalPhaseOf(idOf(42)), "withdrawn");
  await cluster.run(60 * S);
  assert.equal(cluster.checker.terminalPhaseOf(idOf(0)), "done");
  for (let at = 1; at < 43; at += 1) assert.notEqual(cluster.state.value(outcomeKey(idOf(at))), undefined, idOf(at));
});

test("a job that depends on a cancelled one is accepted and cancelled, one that depends on a done one starts", async () => {
  const cluster = new Cluster(35);
  cluster.submit(dependentJob(0, []), { runUs: 60 * S });
  cluster.submit(dependentJob(1, []), RUN);
  await cluster.run(30 * S);
  cluster.users.cancel(idOf(0));
  await cluster.run(10 * S);
  submitInTurn(cluster, [dependentJob(2, [0]), dependentJob(3, [1]), dependentJob(4, [2, 3])]);
  await cluster.run(50 * S);
  assert.deepEqual(
    [2, 3, 4].map((number) => cluster.checker.terminalPhaseOf(idOf(number))),
    ["withdrawn", "done", "withdrawn"],
  );
});

test("cancelling a job that is already done cancels no dependent", async () => {
  const cluster = new Cluster(36);
  cluster.submit(dependentJob(0, []), RUN);
  await cluster.run(30 * S);
  cluster.submit(dependentJob(1, [0]), { runUs: 30 * S });
  cluster.users.cancel(idOf(0));
  await cluster.run(60 * S);
  assert.deepEqual(
    [cluster.checker.terminalPhaseOf(idOf(0)), cluster.checker.terminalPhaseOf(idOf(1))],
    ["done", "done"],
  );
});

const submitDirectly = async (cluster: Cluster, body: object, node = 0): Promise<readonly [number, string]> => {
  let answer: readonly [number, string] = [0, ""];
  const request = { method: "POST", target: "/v2/runs", body: JSON.stringify(body) };
  const controller = cluster.site.controllerAt(node);
  void controller?.handle(request).then(({ status, body: text }) => {
    answer = [status, text];
  });
  await cluster.run(4 * S);
  return answer;
};

test("an invalid dependency list is rejected with an error line that names the field", async () => {
  const cluster = new Cluster(37);
  cluster.submit(dependentJob(0, []), { runUs: 100 * S });
  await cluster.run(10 * S);
  const job = dependentJob(1, []);
  const invalidLists: [unknown, number, RegExp][] = [
    ["wk-700000", 400, /^awaits: not a list$/],
    [["x"], 400, /^awaits: not a list of job ids$/],
    [[7], 400, /^awaits: not a list of job ids$/],
    [[idOf(0), idOf(0)], 400, /^awaits: wk-700000 twice$/],
    [[idOf(1)], 400, /^awaits: names the job itself$/],
    [[idOf(0), idOf(9)], 422, /^awaits: wk-700009 was never accepted$/],
  ];
  for (const [awaits, status, expectedError] of invalidLists) {
    const [got, text] = await submitDirectly(cluster, { ...job, awaits });
    assert.equal(got, status, text);
    assert.match((JSON.parse(text) as { error: string }).error, expectedError);
  }
  // A dependency that another controller has just accepted is known.
  const [first] = await submitDirectly(cluster, dependentJob(2, []), 1);
  assert.equal(first, 201);
  assert.equal((await submitDirectly(cluster, dependentJob(3, [2]), 2))[0], 201);
  // A repeated submission is answered with the job's state, even if its dependency list differs.
  assert.equal((await submitDirectly(cluster, { ...dependentJob(3, []), awaits: [idOf(99)] }, 0))[0], 200);
  cluster.state.outage(20 * S);
  assert.equal((await submitDirectly(cluster, { ...job, awaits: [idOf(9)] }))[0], 503);
});

test("a dependency list too long for one value is stored in parts, survives a failover, and is deleted with its job", async () => {
  const cluster = new Cluster(38);
  const count = 900;
  for (let number = 0; number < count; number += 1) {
    // All dependencies except the one submitted below ended earlier.
    cluster.state.put(outcomeKey(idOf(number)), { phase: "done", done: 2 });
    cluster.checker.jobs.set(idOf(number), { ...endedJob, id: idOf(number) });
    cluster.users.registerAccepted(dependentJob(number, []));
    for (const at of [0, 1]) cluster.checker.taskDone(`${idOf(number)}/${at}`);
  }
  cluster.submit(dependentJob(count, []), { runUs: 60 * S });
  await cluster.run(15 * S);
  const all = Array.from({ length: count + 1 }, (_, number) => number);
  cluster.submit(dependentJob(2_000, all), RUN);
  await cluster.run(25 * S);
  const parts = (): number => cluster.state.keys("c/awaits/").length;
  assert.ok(parts() > 1, `${parts()} parts`);
  for (const key of cluster.state.keys("c/awaits/")) {
    assert.ok(JSON.stringify(cluster.state.value(key)).length <= 8 * 1_024);
  }
  cluster.crash(cluster.shardLeader(), 2 * S);
  await cluster.run(100 * S);
  assert.equal(cluster.checker.terminalPhaseOf(idOf(2_000)), "done");
  await cluster.run(30 * S);
  assert.equal(parts(), 0);
  assert.equal(cluster.state.value(jobKey(idOf(2_000))), undefined);
});

const endedJob = {
  id: "",
  team: "open",
  service: false,
  tasks: 2,
  cpus: 1,
  types: null,
  zone: null,
  together: false,
  spread: false,
  spot: false,
  jobClass: "batch",
};

test("the state of a dependency graph follows from records alone, in any order in which they are read", () => {
  // Acceptances, outcomes and cancellations, applied in orders in which a controller may read their records.
  const dependencies = new DependencyGraph();
  const cancelledIds: string[] = [];
  const readyIds: string[] = [];
  dependencies.onCancelledByDependency = (id) => cancelledIds.push(id);
  dependencies.onReady = (id) => readyIds.push(id);
  dependencies.upsert("b", ["a"], false);
  assert.deepEqual(dependencies.unresolved(), ["a"]);
  dependencies.upsert("a", [], false);
  assert.deepEqual(dependencies.unresolved(), []);
  assert.equal(dependencies.isReady("b"), false);
  dependencies.upsert("c", ["b", "a"], false);
  dependencies.remove("a");
  assert.deepEqual(dependencies.unresolvedFor("c"), ["a"]);
  dependencies.recordTerminalPhase("a", "done");
  assert.deepEqual([readyIds, dependencies.isReady("b"), dependencies.isReady("c")], [["b"], true, false]);
  dependencies.upsert("b", ["a"], true);
  assert.deepEqual([cancelledIds, dependencies.isCancelled("c"), dependencies.isCancelled("b")], [["c"], true, true]);
  dependencies.remove("b");
  dependencies.upsert("d", ["c"], false);
  assert.equal(dependencies.isCancelled("d"), true);
  // A chain of 100,000 jobs does not overflow the stack.
  const deep = new DependencyGraph();
  for (let at = 0; at < 100_000; at += 1) deep.upsert(`j${at}`, at === 0 ? [] : [`j${at - 1}`], false);
  deep.upsert("j0", [], true);
  assert.equal(deep.isCancelled("j99999"), true);
});

test("a job inherits the rank and the deadline of its dependents while they are current", async () => {
  const cluster = new Cluster(39);
  const due = { rank: "high", dueS: 300, guessS: 10 } as const;
  submitInTurn(
    cluster,
    [dependentJob(0, [], { guessS: 20 }), dependentJob(1, [0], { guessS: 30 }), dependentJob(2, [1], due)],
    60 * S,
  );
  await cluster.run(20 * S);
  const job = (number: number) => cluster.site.controllerAt(cluster.shardLeader())?.findJob(idOf(number));
  assert.deepEqual([job(0)?.effectiveRank, job(1)?.effectiveRank, job(2)?.effectiveRank], [1, 1, 1]);
  const [first, second, last] = [0, 1, 2].map((number) => job(number)?.effectiveDeadline ?? 0);
  assert.ok(first === (second ?? 0) - 30 * S && second === (last ?? 0) - 10 * S, `${first} ${second} ${last}`);
  cluster.users.cancel(idOf(2));
  await cluster.run(10 * S);
  assert.deepEqual([job(0)?.effectiveRank, job(0)?.effectiveDeadline], [3, null]);
});

test("the fast model respects dependencies and cancels the dependents of a cancelled job", () => {
  const ended = new Map<string, string>();
  const began = new Map<string, number>();
  const site = new FastSite({
    spec: sampleSite(20),
    options: DEFAULT_OPTIONS,
    seed: 5,
    watch: (world) => ({
      witness: {
        ...noopObserver,
        taskOn: (task) => {
          const id = jobOf(task);
          if (!began.has(id)) began.set(id, world.now);
        },
        taskDone: (task) => ended.set(jobOf(task), "done"),
      },
      hearing: {
        submitted: () => undefined,
        polled: () => undefined,
        cancelAsked: () => undefined,
        cancelAnswered: () => undefined,
        dropped: (id) => ended.set(id, "dropped"),
      },
    }),
  });
  const job = (number: number, awaits: readonly number[]): Submission => ({
    ...dependentJob(number, awaits),
    owner: "signatures",
    jobclass: "verify",
    shards: 1,
  });
  for (const [number, awaits] of [
    [0, []],
    [1, [0]],
    [2, [1]],
    [3, [1]],
  ] as const)
    site.submit(job(number, awaits), RUN);
  site.world.after(12 * S, () => site.cancel(idOf(3)));
  site.world.runAtOnce(150 * S);
  assert.deepEqual(
    [0, 1, 2, 3].map((number) => ended.get(idOf(number)) ?? null),
    ["done", "done", "done", null],
  );
  const at = (number: number): number => began.get(idOf(number)) ?? 0;
  assert.ok(at(1) > at(0) + 4 * S && at(2) > at(1) + 4 * S);
});

test("a job that an older version accepted with a never-submitted dependency stays pending, and its status is reported", async () => {
  const cluster = new Cluster(40);
  await cluster.run(5 * S);
  const job = dependentJob(1, [9]);
  cluster.state.put(jobKey(job.ref), encodeJobRecord({ spec: decodeSubmission(job), shard: 0, cancelled: false }));
  cluster.checker.jobs.set(job.ref, trueJob(job));
  await cluster.run(3 * S);
  for (const node of [0, 1, 2]) {
    const [status, text] = await submitDirectly(cluster, job, node);
    assert.deepEqual([status, (JSON.parse(text) as { phase: string }).phase], [200, "pending"]);
  }
  cluster.users.registerAccepted(job);
  cluster.users.cancel(job.ref);
  await cluster.run(10 * S);
  assert.equal(cluster.checker.terminalPhaseOf(job.ref), "withdrawn");
  assert.equal(cluster.checker.starts, 0);
});

test("after a failover with hundreds of resolved dependencies, starts do not wait for lookups, which read pages", async () => {
  const cluster = new Cluster(41);
  cluster.machineCapacity.ordinary = 40;
  const pairs = 300;
  const addRecordedJob = (job: Submission): void => {
    cluster.state.put(jobKey(job.ref), encodeJobRecord({ spec: decodeSubmission(job), shard: 0, cancelled: false }));
    cluster.checker.jobs.set(job.ref, trueJob(job));
    cluster.site.truth.behaviours.set(job.ref, { ...jobBehaviour(job), ...RUN });
  };
  for (let at = 0; at < pairs; at += 1) {
    const first = idOf(2 * at);
    cluster.state.put(outcomeKey(first), { phase: "done", done: 2 });
    cluster.checker.jobs.set(first, { ...endedJob, id: first });
    for (const task of [0, 1]) cluster.checker.taskDone(`${first}/${task}`);
    addRecordedJob(dependentJob(2 * at + 1, [2 * at], { shards: 1 }));
  }
  addRecordedJob(dependentJob(9_000, [], { rank: "high" }));
  let lookups = 0;
  cluster.network.onRequest = (_, __, { target }) => {
    if (target.startsWith("/kv/e/") || target.startsWith("/kv?under=e/")) lookups += 1;
  };
  for (let at = 0; at < 300 && cluster.taskStarts.length === 0; at += 1) await cluster.run(S / 10);
  // Single reads would be 900 lookups: 300 outcomes on each of three controllers.
  assert.ok(cluster.taskStarts.length > 0 && lookups <= 60, `${lookups} lookups before the first start`);
  await cluster.run(120 * S);
  const begun = new Set(cluster.taskStarts.map(({ task }) => task.split("/")[0]));
  assert.equal(begun.size, pairs + 1);
  assert.deepEqual(cluster.errors, []);
});
