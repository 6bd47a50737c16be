import assert from "node:assert/strict";
import { test } from "node:test";
import { JobApi } from "../src/coordination/api/job-api.js";
import type { Services } from "../src/coordination/context.js";
import { OutcomeReader } from "../src/coordination/jobs/outcome-reader.js";
import { LogEvent } from "../src/coordination/log-events.js";
import { HostClock, S, Simulation } from "../src/model/index.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import type { KeyValueEntry } from "../src/protocol/key-value-store.js";
import { encodeJobRecord } from "../src/storage/job-records.js";
import type { KeyValueStore } from "../src/storage/key-value-store.js";
import { jobKey, taskRangeKey } from "../src/storage/keys.js";
import { encodeTaskRange } from "../src/storage/task-range-records.js";
import type { Micros } from "../src/transport/clock.js";
import { Cluster, plainJob, UNDERSIZED_CONTROLLERS } from "./sim/cluster.js";

test("a flood of status requests stays within its share of key-value store requests, and submissions stay fast", async () => {
  const cluster = new Cluster(41);
  for (let at = 0; at < 30; at += 1) {
    const ref = `wk-0000${String(at).padStart(2, "0")}`;
    cluster.submit(plainJob(ref, { shards: 2, cpus: 1 }), { runUs: 300 * S });
  }
  await cluster.run(40 * S);
  const requests = (): number => cluster.state.received;
  const before = requests();
  await cluster.run(20 * S);
  const baselineRate = (requests() - before) / 20;
  // 600 status requests a second, more than ten times the rate before.
  for (let at = 0; at < 30; at += 1) {
    for (let user = 0; user < 10; user += 1) {
      const ref = `wk-0000${String(at).padStart(2, "0")}`;
      for (let half = 0; half < 40; half += 1)
        cluster.world.after((half * 0.5 + user * 0.05) * S, () => cluster.users.queryOnce(ref));
    }
  }
  const submitTimes: number[] = [];
  for (let at = 0; at < 20; at += 1) {
    const ref = `wk-0001${String(at).padStart(2, "0")}`;
    cluster.world.after(at * S, () => {
      const submittedAt = cluster.world.now;
      cluster.submit(plainJob(ref, { shards: 1, cpus: 1 }), { runUs: 5 * S });
      const checkRecord = (): void => {
        if (cluster.state.value(jobKey(ref)) !== undefined) submitTimes.push(cluster.world.now - submittedAt);
        else cluster.world.after(10_000, checkRecord);
      };
      checkRecord();
    });
  }
  const start = requests();
  await cluster.run(20 * S);
  const floodRate = (requests() - start) / 20;
  assert.equal(submitTimes.length, 20);
  assert.ok(Math.max(...submitTimes) < S, `the longest took ${Math.max(...submitTimes) / S} s`);
  const { state } = cluster.site.setup.spec;
  assert.ok(
    floodRate - baselineRate < 0.3 * state.rps,
    `${floodRate} requests a second, ${baselineRate} without, of ${state.rps}`,
  );
});

test("a large job's records are decoded once per version, not once per status request", async () => {
  // Controllers that do not lead the shard decoded all 25,000 recorded tasks of a job at every status request for it.
  const job = plainJob("wk-000001", { shards: 256 });
  let reads = 0;
  const range = (version: number): KeyValueEntry => ({
    key: "",
    version,
    get value() {
      reads += 1;
      return encodeTaskRange(Array.from({ length: 128 }, () => ({ kind: "placed", attempt: 1, machine: "n-1" })));
    },
  });
  const entries = new Map<string, KeyValueEntry>([
    [
      jobKey(job.ref),
      {
        key: jobKey(job.ref),
        version: 1,
        value: encodeJobRecord({ spec: decodeSubmission(job), shard: 0, cancelled: false }),
      },
    ],
    [taskRangeKey(job.ref, 0), range(2)],
    [taskRangeKey(job.ref, 1), range(3)],
  ]);
  const settings = { store: { requestsPerS: 150 }, controllers: 3 };
  const services = { cache: { entries, sync: async () => true }, settings } as unknown as Services;
  const jobApi = new JobApi(services, new Map(), {
    taskCounts: () => null,
    isLeader: () => false,
    isCancelledIndirectly: () => false,
  });
  const ask = async (): Promise<unknown> =>
    JSON.parse((await jobApi.handle({ method: "GET", target: `/v2/runs/${job.ref}`, body: "" })).body);
  for (let at = 0; at < 50; at += 1) {
    assert.deepEqual(await ask(), { ref: job.ref, phase: "running", done: 0, running: 256 });
  }
  assert.equal(reads, 2);
  entries.set(taskRangeKey(job.ref, 1), range(4));
  await ask();
  assert.equal(reads, 3);
});

const createOutcomeReader = (storeAvailable: () => boolean) => {
  const world = new Simulation();
  const clock = new HostClock(world, 1, 0);
  const ended = new Set<string>();
  let requests = 0;
  const wait = (): Promise<void> => new Promise((resolve) => world.after(5_000, resolve));
  const entry = (key: string): KeyValueEntry => ({ key, version: 1, value: { phase: "done", done: 1 } });
  const store = {
    get: async (key: string) => {
      requests += 1;
      await wait();
      if (!storeAvailable()) return { kind: "refused" };
      return ended.has(key) ? { kind: "ok", value: entry(key) } : { kind: "missing" };
    },
    page: async (prefix: string, from: string, count: number) => {
      requests += 1;
      await wait();
      if (!storeAvailable()) return { kind: "refused" };
      const keys = [...ended].filter((key) => key.startsWith(prefix) && key > from).sort();
      const entries = keys.slice(0, count).map(entry);
      return { kind: "ok", value: { entries, more: keys.length > count, revision: 1 } };
    },
  } as unknown as KeyValueStore;
  const found = new Set<string>();
  const log = { error: () => undefined, info: () => undefined, debug: () => undefined };
  const reader = new OutcomeReader(store, clock, log, 100_000 as Micros, (id) => found.add(id));
  return { world, ended, reader, found, requests: () => requests };
};

test("lookups of ended jobs are answered in the order of requests, within their share of store requests", async () => {
  const { world, ended, reader, found, requests } = createOutcomeReader(() => true);
  for (let at = 0; at < 4_000; at += 1) ended.add(`e/wk-${String(at).padStart(6, "0")}`);
  const answers = new Map<string, string>();
  const ask = (id: string): void => {
    void reader.find(id).then(({ kind }) => answers.set(id, kind));
  };
  // 20 jobs a second, some of them never submitted; each request is retried until it is answered.
  const asked: string[] = [];
  for (let at = 0; at < 400; at += 1) {
    const id = `wk-${String(at % 10 === 9 ? 900_000 + at : at * 9).padStart(6, "0")}`;
    asked.push(id);
    const again = (): void => {
      if (answers.get(id) === "ok" || answers.get(id) === "missing") return;
      ask(id);
      world.after(5 * S, again);
    };
    world.at(at * 50_000, again);
  }
  await world.run(60 * S, () => undefined);
  for (const id of asked) assert.equal(answers.get(id), id >= "wk-900000" ? "missing" : "ok", id);
  assert.ok(requests() < 600, `${requests()} requests in a minute`);
  assert.ok(found.size >= 360);
});

test("a failed lookup is answered as unknown, and the next request starts a new lookup", async () => {
  let storeAvailable = false;
  const { world, ended, reader } = createOutcomeReader(() => storeAvailable);
  ended.add("e/wk-1");
  const kinds: string[] = [];
  void reader.find("wk-1").then(({ kind }) => kinds.push(kind));
  await world.run(S, () => undefined);
  storeAvailable = true;
  void reader.find("wk-1").then(({ kind }) => kinds.push(kind));
  void reader.find("wk-2").then(({ kind }) => kinds.push(kind));
  await world.run(2 * S, () => undefined);
  assert.deepEqual(kinds, ["unknown", "ok", "missing"]);
});

test("a flood of status requests for jobs that were never submitted does not expire the shard lease", async () => {
  // Each status request led to a store request of its own, behind which the watch request was queued.
  const cluster = new Cluster(43);
  for (let at = 0; at < 10; at += 1) {
    cluster.submit(plainJob(`wk-00000${at}`, { shards: 2, cpus: 1 }), { runUs: 20 * S });
  }
  await cluster.run(30 * S);
  for (let at = 0; at < 12_000; at += 1) {
    cluster.world.after(at * 2_500, () => cluster.users.queryOnce(`wk-${900_000 + at}`));
  }
  for (let at = 10; at < 20; at += 1) {
    cluster.world.after(10 * S, () =>
      cluster.submit(plainJob(`wk-0000${at}`, { shards: 2, cpus: 1 }), { runUs: 5 * S }),
    );
  }
  await cluster.run(30 * S);
  assert.equal(cluster.logged(LogEvent.LeaseExpired), false);
  cluster.checker.faultsEndedAt = cluster.world.now;
  await cluster.run(90 * S);
  assert.deepEqual(cluster.unfinished(), []);
});

const FAULTS_DURING_FLOOD: Readonly<Record<string, (cluster: Cluster) => void>> = {
  "without a fault": () => undefined,
  "with a failover": (cluster) => cluster.crash(cluster.shardLeader(), 15 * S),
  "with a restart of all controllers": (cluster) => {
    for (const at of [0, 1, 2]) cluster.crash(at);
  },
  "with a store outage": (cluster) => cluster.state.outage(15 * S),
};

for (const [faultName, injectFault] of Object.entries(FAULTS_DURING_FLOOD)) {
  test(`after a flood of status requests, ${faultName}, every job's status is answered soon`, async () => {
    const cluster = new Cluster(44, { mesh: true }, undefined, UNDERSIZED_CONTROLLERS);
    const refs = Array.from({ length: 60 }, (_, at) => `wk-0000${String(at).padStart(2, "0")}`);
    for (const [at, ref] of refs.entries()) {
      cluster.world.at((1 + at / 4) * S, () =>
        cluster.submit(plainJob(ref, { shards: 1, cpus: 1 }), { runUs: 60 * S }),
      );
    }
    await cluster.run(40 * S);
    // Several times what these controllers can answer; requests received are processed even if their callers time out.
    for (let at = 0; at < 12_000; at += 1) {
      cluster.world.after(at * 2_500, () => cluster.users.queryOnce(cluster.random.pick(refs)));
    }
    cluster.world.after(8 * S, () => injectFault(cluster));
    await cluster.run(30 * S);
    cluster.checker.faultsEndedAt = cluster.world.now;
    const from = cluster.world.now;
    for (const [at, ref] of refs.entries()) cluster.world.after(at * 80_000, () => cluster.users.pollForever(ref));
    // Far below the 75 s after which the checker reports a job as forgotten.
    await cluster.run(40 * S);
    const accepted = cluster.checker.accepted();
    assert.ok(accepted.length > 40, `${accepted.length} accepted`);
    for (const ref of accepted) {
      assert.ok(cluster.checker.answeredAt(ref) > from, `${ref}: no answer within 40 s`);
    }
    await cluster.run(150 * S);
    assert.deepEqual(cluster.unfinished(), []);
  });
}
