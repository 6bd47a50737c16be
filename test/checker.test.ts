import assert from "node:assert/strict";
import { test } from "node:test";
import { json, S } from "../src/model/index.js";
import type { HttpRequest, HttpResponse } from "../src/transport/http.js";
import { Checker, type Rule, RuleViolation } from "./sim/checker.js";
import { Cluster, plainJob, type Submission, trueJob } from "./sim/cluster.js";
import { hangCancelledMachines } from "./sim/fault-combinations.js";
import { runningMachineAddresses } from "./sim/faulty-day.js";

type Tamper = (from: string, to: string, request: HttpRequest, response: HttpResponse) => HttpResponse;

/** Runs a small day without faults in which `set` makes the service violate a rule; returns the violated rule. */
const ruleBrokenIn = async (
  setUp: (cluster: Cluster) => void,
  alter?: (settings: string) => string,
): Promise<Rule | null> => {
  const cluster = new Cluster(7, {}, alter);
  setUp(cluster);
  try {
    await cluster.run(150 * S);
  } catch (error) {
    const cause = (error as Error).cause;
    if (cause instanceof RuleViolation) return cause.rule;
    throw error;
  }
  return null;
};

const replaceResponses =
  (
    matches: (request: HttpRequest, response: HttpResponse) => boolean,
    replacement: (request: HttpRequest) => HttpResponse,
  ): Tamper =>
  (from, _to, request, response) =>
    from === "user" && matches(request, response) ? replacement(request) : response;

const idOf = (request: HttpRequest): string => /runs\/([^/]+)/.exec(request.target)?.[1] ?? "";
const isPoll = (request: HttpRequest): boolean => request.method === "GET" && request.target.startsWith("/v2/runs/");

test("the day without faults that the violations start from breaks no rule", async () => {
  const rule = await ruleBrokenIn((cluster) => {
    cluster.submit(plainJob("wk-000001"));
    cluster.submit(plainJob("wk-000002", { shape: "daemon", rank: "prod", spread: true, shards: 2 }));
    cluster.world.at(40 * S, () => cluster.users.cancel("wk-000002"));
    cluster.world.at(20 * S, () => cluster.users.queryOnce("wk-900000"));
  });
  assert.equal(rule, null);
});

test("the checker reports a task that runs on two machines", async () => {
  const rule = await ruleBrokenIn((cluster) => {
    cluster.submit(plainJob("wk-000001", { area: "east" }), { runUs: 90 * S });
    cluster.submit(plainJob("wk-000002", { area: "west" }), { runUs: 90 * S });
    cluster.world.at(40 * S, () => cluster.submit(plainJob("wk-000003", { shards: 1 }), { runUs: 60 * S }));
    // Like a controller that starts a task on a second machine without proof that the first has lost it.
    const copied = new Set<string>();
    cluster.duplicateStarts((task) => {
      if (!task.startsWith("wk-000003") || copied.size > 0) return false;
      copied.add(task);
      return true;
    });
  });
  assert.equal(rule, "ran_twice");
});

test("the checker reports a team above its quota", async () => {
  const rule = await ruleBrokenIn(
    (cluster) => cluster.submit(plainJob("wk-000001", { owner: "capped", shards: 12 })),
    (settings) => settings.replace("cpus_max = 16.0", "cpus_max = 64.0"),
  );
  assert.equal(rule, "quota");
});

test("the checker reports a task on an ineligible machine", async () => {
  for (const [fields, lie] of [
    [{ loaner: false }, { loaner: true }],
    [{ area: "west" }, { area: "east" }],
    [{ flavors: ["small"] }, { flavors: ["big"] }],
    [
      { shape: "daemon", spread: true, shards: 4, rank: "prod" },
      { area: "east", spread: false },
    ],
  ] as const) {
    const rule = await ruleBrokenIn((cluster) => {
      cluster.users.alter = (request) =>
        request.target === "/v2/runs"
          ? { ...request, body: JSON.stringify({ ...(JSON.parse(request.body) as object), ...lie }) }
          : request;
      cluster.submit(plainJob("wk-000001", fields as Partial<Submission>));
    });
    assert.equal(rule, "wrong_place", JSON.stringify(fields));
  }
});

test("the checker reports a cancelled task that keeps running", async () => {
  const rule = await ruleBrokenIn((cluster) => {
    cluster.submit(plainJob("wk-000001", { shape: "daemon", rank: "prod" }));
    // The cancellation is confirmed to the user but never reaches the controllers.
    cluster.users.alter = (request) =>
      request.target.endsWith("/abort") ? { ...request, target: "/up", method: "GET" } : request;
    cluster.network.tamper = replaceResponses(
      (request) => request.target === "/up" || isPoll(request),
      (request) => json(200, { ref: idOf(request), phase: cluster.world.now > 40 * S ? "withdrawn" : "pending" }),
    );
    cluster.world.at(40 * S, () => cluster.users.cancel("wk-000001"));
  });
  assert.equal(rule, "ran_cancelled");
});

test("the checker reports lost and invented jobs, early completion and changed terminal phases", async () => {
  const cases: [Rule, (request: HttpRequest, now: number) => HttpResponse | null][] = [
    ["forgotten", (request, now) => (isPoll(request) && now > 30 * S ? json(404, {}) : null)],
    ["forgotten", (request, now) => (request.target === "/v2/runs" && now > 30 * S ? json(422, {}) : null)],
    ["invented", (request) => (isPoll(request) ? json(200, { ref: idOf(request), phase: "pending" }) : null)],
    ["not_done", (request) => (isPoll(request) ? json(200, { ref: idOf(request), phase: "done" }) : null)],
    ["went_back", (request, now) => (isPoll(request) && now > 60 * S ? json(200, { phase: "pending" }) : null)],
    ["went_back", (request, now) => (isPoll(request) && now > 30 * S ? json(200, { phase: "withdrawn" }) : null)],
  ];
  for (const [expected, lie] of cases) {
    const rule = await ruleBrokenIn((cluster) => {
      cluster.network.tamper = (from, _to, request, response) =>
        from === "user" ? (lie(request, cluster.world.now) ?? response) : response;
      cluster.submit(plainJob("wk-000001"), { runUs: 5 * S });
      cluster.users.pollForever("wk-000001");
      cluster.world.at(50 * S, () => cluster.submit(plainJob("wk-000001"), { runUs: 5 * S }));
      cluster.world.at(20 * S, () => cluster.users.queryOnce("wk-900000"));
    });
    assert.equal(rule, expected);
  }
});

test("the checker reports a job without a status response for 75 s after faults ended, even if all jobs lack one", async () => {
  const silence = async (calm: boolean): Promise<Rule | null> =>
    ruleBrokenIn((cluster) => {
      // No status query succeeds, so that no job fares worse than the others.
      cluster.network.tamper = replaceResponses(
        (request) => isPoll(request) && cluster.world.now > 40 * S,
        () => json(503, {}),
      );
      for (let at = 1; at < 5; at += 1) cluster.submit(plainJob(`wk-00000${at}`), { runUs: 300 * S });
      if (calm)
        cluster.world.at(50 * S, () => {
          cluster.checker.faultsEndedAt = cluster.world.now;
        });
    });
  assert.equal(await silence(true), "forgotten");
  // While faults last, missing responses for all jobs violate no rule.
  assert.equal(await silence(false), null);
});

/**
 * Feeds the checker 18 small and 2 large jobs of one class; `startSecond` gives the second in which each runs, or null.
 */
const playDay = (startSecond: (at: number) => number | null): Checker => {
  let now = 0;
  const checker = new Checker(() => now, new Map(), 45 * S);
  for (let at = 0; at < 20; at += 1) {
    const job = plainJob(`wk-${String(at).padStart(6, "0")}`, { shards: at < 18 ? 1 : 50 });
    checker.jobs.set(job.ref, trueJob(job));
    checker.submitted(job.ref, 201, "pending");
  }
  for (now = S; now < 400 * S; now += S) {
    for (let at = 0; at < 20; at += 1) {
      if (startSecond(at) !== now / S) continue;
      const id = `wk-${String(at).padStart(6, "0")}`;
      for (let task = 0; task < (at < 18 ? 1 : 50); task += 1) {
        const machine = { name: `n-${task}`, type: "big", zone: "east", spot: false };
        checker.taskOn(`${id}/${task}`, machine);
        checker.taskDone(`${id}/${task}`);
        checker.taskOff(`${id}/${task}`, machine);
      }
    }
    checker.tick();
  }
  return checker;
};

test("the checker reports the largest jobs of a class as starved or as started too late", () => {
  assert.deepEqual(playDay(() => 10).starved(), []);
  assert.deepEqual(playDay(() => 10).lateLargestJobs(), []);
  // The large jobs never run, while nine tenths of the class as a whole complete.
  const passed = playDay((at) => (at < 18 ? 10 : null));
  assert.deepEqual(passed.starved(), ["largest of batch"]);
  assert.deepEqual(passed.lateLargestJobs(), ["wk-000018", "wk-000019"]);
  const late = playDay((at) => (at < 18 ? 10 : 241));
  assert.deepEqual(late.starved(), []);
  assert.deepEqual(late.lateLargestJobs(), ["wk-000018", "wk-000019"]);
  assert.deepEqual(playDay((at) => (at < 18 ? 10 : 239)).lateLargestJobs(), []);
});

test("the checker reports a start that follows a confirmed cancellation by more than the bound for starts", () => {
  let now = 0;
  const checker = new Checker(() => now, new Map(), 45 * S, 20 * S);
  const job = plainJob("wk-000001", { shards: 2 });
  checker.jobs.set(job.ref, trueJob(job));
  checker.submitted(job.ref, 201, "pending");
  checker.cancelAsked(job.ref);
  checker.cancelAnswered(job.ref, 200, "withdrawn");
  const machine = { name: "n-1", type: "big", zone: "east", spot: false };
  now = 19 * S;
  checker.taskOn("wk-000001/0", machine);
  checker.taskOff("wk-000001/0", machine);
  checker.tick();
  assert.deepEqual(checker.afterConfirmed, { starts: 1, longestUs: 19 * S });
  now = 21 * S;
  checker.taskOn("wk-000001/1", machine);
  assert.throws(() => checker.tick(), /ran_cancelled/);
});

test("the checker reports a cancelled task that continues after its worker hung", async () => {
  const rule = await ruleBrokenIn((cluster) => {
    cluster.submit(plainJob("wk-000001", { shards: 1 }), { runUs: 300 * S });
    cluster.world.at(40 * S, () => {
      hangCancelledMachines(cluster, 10 * S);
      // Like a controller whose responses renew the worker lease but omit the pending stop commands.
      cluster.network.tamper = (_, __, request, response) => {
        if (request.target !== "/hello" || response.status !== 200) return response;
        return { ...response, body: JSON.stringify({ ...(JSON.parse(response.body) as object), orders: [] }) };
      };
      cluster.site.dropToMachines(runningMachineAddresses(cluster, 99), 200 * S, ["requests"]);
      // Otherwise the machine is deleted, and the task ends with it.
      cluster.cloud.outageUntil = cluster.world.now + 200 * S;
    });
  });
  assert.equal(rule, "ran_cancelled");
});

test("the checker reports invalid submissions that are accepted, and refusals that do not name the missing field", async () => {
  for (const lie of [
    () => json(201, { phase: "pending" }),
    () => json(404, {}),
    ({ body }: HttpRequest) => (body.includes("100000") ? null : json(400, { error: "malformed" })),
  ]) {
    const rule = await ruleBrokenIn((cluster) => {
      cluster.network.tamper = (from, _to, request, response) =>
        from === "user" && request.body.includes("wk-odd") ? (lie(request) ?? response) : response;
      cluster.submit(plainJob("wk-000001"));
      cluster.world.at(20 * S, () => cluster.curious.sendUnusualRequests(20 * S));
    });
    assert.equal(rule, "odd");
  }
});

test("the checker reports a job that waits despite free capacity, unless its team is at its quota", () => {
  const left = (team: string, room: boolean): Rule | null => {
    let now = 0;
    const checker = new Checker(() => now, new Map([["capped", 1]]), 45 * S);
    const job = plainJob("wk-000001", { owner: team });
    checker.jobs.set(job.ref, trueJob(job));
    checker.submitted(job.ref, 201, "pending");
    checker.faultsEndedAt = 0;
    checker.hasRoom = () => room;
    try {
      for (now = S; now < 130 * S; now += S) checker.tick();
    } catch (error) {
      if (error instanceof RuleViolation) return error.rule;
      throw error;
    }
    return null;
  };
  assert.equal(left("open", true), "left_waiting");
  assert.equal(left("open", false), null);
  assert.equal(left("capped", true), null);
});
