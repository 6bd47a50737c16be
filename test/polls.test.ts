import assert from "node:assert/strict";
import { test } from "node:test";
import { jobKey, rangeKey, writeRange } from "../src/bookkeeping/records.js";
import type { Services } from "../src/coordination/context.js";
import { FrontDoor } from "../src/coordination/front-door.js";
import { S } from "../src/model/index.js";
import type { Entry } from "../src/protocol/state.js";
import { readSubmission } from "../src/protocol/user.js";
import { Cluster, plainJob } from "./sim/cluster.js";

test("a storm of questions takes no more than its share of the state service, and submissions go on at once", async () => {
  const cluster = new Cluster(41);
  for (let at = 0; at < 30; at += 1) {
    const ref = `wk-0000${String(at).padStart(2, "0")}`;
    cluster.submit(plainJob(ref, { shards: 2, cpus: 1 }), { runUs: 300 * S });
  }
  await cluster.run(40 * S);
  const requests = (): number => cluster.state.received;
  const before = requests();
  await cluster.run(20 * S);
  const calm = (requests() - before) / 20;
  // Ten times as many questions as before, and more.
  for (let at = 0; at < 30; at += 1) {
    for (let user = 0; user < 10; user += 1) {
      const ref = `wk-0000${String(at).padStart(2, "0")}`;
      for (let half = 0; half < 40; half += 1)
        cluster.world.after((half * 0.5 + user * 0.05) * S, () => cluster.users.askOnce(ref));
    }
  }
  const took: number[] = [];
  for (let at = 0; at < 20; at += 1) {
    const ref = `wk-0001${String(at).padStart(2, "0")}`;
    cluster.world.after(at * S, () => {
      const since = cluster.world.now;
      cluster.submit(plainJob(ref, { shards: 1, cpus: 1 }), { runUs: 5 * S });
      const look = (): void => {
        if (cluster.state.value(jobKey(ref)) !== undefined) took.push(cluster.world.now - since);
        else cluster.world.after(10_000, look);
      };
      look();
    });
  }
  const start = requests();
  await cluster.run(20 * S);
  const storm = (requests() - start) / 20;
  assert.equal(took.length, 20);
  assert.ok(Math.max(...took) < S, `the longest took ${Math.max(...took) / S} s`);
  const { state } = cluster.site.setup.spec;
  assert.ok(storm - calm < 0.3 * state.rps, `${storm} requests a second, ${calm} without, of ${state.rps}`);
});

test("a large job's records are read once for each of their versions, not once for each question", async () => {
  // 25,000 tasks on record were parsed for every question about them at the controllers that do not hold the block.
  const job = plainJob("wk-000001", { shards: 256 });
  let reads = 0;
  const range = (version: number): Entry => ({
    key: "",
    version,
    get value() {
      reads += 1;
      return writeRange(Array.from({ length: 128 }, () => ({ kind: "placed", attempt: 1, machine: "n-1" })));
    },
  });
  const entries = new Map<string, Entry>([
    [
      jobKey(job.ref),
      { key: jobKey(job.ref), version: 1, value: { spec: readSubmission(job), block: 0, cancelled: false } },
    ],
    [rangeKey(job.ref, 0), range(2)],
    [rangeKey(job.ref, 1), range(3)],
  ]);
  const services = { view: { entries, sync: async () => true }, settings: {} } as unknown as Services;
  const door = new FrontDoor(services, new Map(), { running: () => null, holds: () => false, withdrawn: () => false });
  const ask = async (): Promise<unknown> =>
    JSON.parse((await door.handle({ method: "GET", target: `/v2/runs/${job.ref}`, body: "" })).body);
  for (let at = 0; at < 50; at += 1) {
    assert.deepEqual(await ask(), { ref: job.ref, phase: "running", done: 0, running: 256 });
  }
  assert.equal(reads, 2);
  entries.set(rangeKey(job.ref, 1), range(4));
  await ask();
  assert.equal(reads, 3);
});
