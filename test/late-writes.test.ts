/**
 * Transactions that are applied late or twice must change nothing: each is guarded by conditions on versions.
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import { Random } from "./random.js";
import { type Cluster, randomJob } from "./sim/cluster.js";
import { playFaultyDay } from "./sim/faulty-day.js";
import { GraphSite, JOB_FIELDS } from "./sim/graph-site.js";

/** A transaction received by the key-value store from any controller. */
interface SentTransaction {
  readonly body: string;
  readonly sentAt: number;
}

/** By kind of key, one example of a change that a late transaction would make. */
type LateEffects = ReadonlyMap<string, string>;

/** A transaction younger than this may still be in flight for the first time. */
const MIN_AGE = S / 2;
/** Longest time for which a partition delays a message. */
const MAX_AGE = 90 * S;
const PROBE_INTERVAL = 1.7 * S;

/** `c/range/wk-1/0` and `c/range/wk-2/3` are of one kind. */
const kindOf = (key: string): string => key.split("/").slice(0, 2).join("/");

/**
 * Determines periodically what each transaction of the last 90 s would change if it were applied now, like a delayed
 * original whose retry has already been applied. Collects the kinds of keys that would have changed, with an example.
 * `alter`: applied to each transaction before it is examined.
 */
const watchLateEffects = (cluster: Cluster, alter: (body: string) => string = (body) => body): LateEffects => {
  const { state, world } = cluster;
  const transactions: SentTransaction[] = [];
  const effects = new Map<string, string>();
  state.onTransaction = (body) => {
    transactions.push({ body: alter(body), sentAt: world.now });
  };
  const recordEffects = ({ body, sentAt }: SentTransaction): void => {
    const age = world.now - sentAt;
    if (age < MIN_AGE) return;
    for (const key of state.lateEffect(body)) {
      if (!effects.has(kindOf(key))) effects.set(kindOf(key), `${key} ${age / S} s late: ${body.slice(0, 300)}`);
    }
  };
  const probe = (): void => {
    transactions.forEach(recordEffects);
    while ((transactions[0]?.sentAt ?? world.now) < world.now - MAX_AGE) transactions.shift();
    world.after(PROBE_INTERVAL, probe);
  };
  world.after(S, probe);
  return effects;
};

/**
 * Keys whose late writes do no harm because they are corrected periodically (docs/fault-combinations.md, "Late
 * writes"). `c/full`: whether a shard leader accepts no more jobs, which its next tick corrects.
 */
const SELF_CORRECTING_KINDS = ["c/full"];

const harmfulEffects = (effects: LateEffects): readonly string[] =>
  [...effects].filter(([kind]) => !SELF_CORRECTING_KINDS.includes(kind)).map(([, example]) => example);

test("with failovers and cancellations, no transaction changes anything when it is applied late or twice", async () => {
  for (const mesh of [false, true]) {
    let effects: LateEffects = new Map();
    const cluster = await playFaultyDay({
      mesh,
      seed: mesh ? 72 : 73,
      submitExtraJobs: (c) => {
        effects = watchLateEffects(c);
        const random = new Random(5);
        for (let number = 0; number < 30; number += 1) {
          const job = { ...randomJob(random, number), ref: `wk-7000${10 + number}` };
          const at = random.int(2 * S, 150 * S);
          c.world.at(at, () => c.submit(job, { runUs: job.shape === "daemon" ? null : random.int(3, 30) * S }));
          if (random.chance(0.3)) c.world.at(at + random.int(0, 20 * S), () => c.users.cancel(job.ref));
        }
      },
    });
    cluster.crash(cluster.shardLeader(), 0.2 * S);
    await cluster.run(20 * S);
    cluster.state.outage(12 * S);
    await cluster.run(20 * S);
    cluster.site.cutZone("west", 40 * S, "hold");
    await cluster.run(10 * S);
    for (const at of [0, 1, 2]) cluster.crash(at);
    await cluster.run(40 * S);
    cluster.crash(cluster.shardLeader(), 20 * S);
    await cluster.run(90 * S);
    assert.deepEqual(harmfulEffects(effects), []);
    assert.deepEqual(cluster.errors, []);
  }
});

test("transactions without their conditions are detected to change something when applied late", async () => {
  let effects: LateEffects = new Map();
  const withoutConditions = (body: string): string => JSON.stringify({ ...(JSON.parse(body) as object), if: [] });
  const cluster = await playFaultyDay({
    mesh: false,
    submitExtraJobs: (c) => (effects = watchLateEffects(c, withoutConditions)),
  });
  await cluster.run(30 * S);
  const kinds = [...effects.keys()];
  for (const kind of ["c/job", "c/range"])
    assert.ok(
      kinds.some((seen) => seen.startsWith(kind)),
      kind,
    );
});

const step = (task_id: string, more: object = {}): object => ({ task_id, ...more });

test("no late transaction changes anything when graphs are aborted, cleared or uploaded in parts", async () => {
  const site = new GraphSite(31);
  const effects = watchLateEffects(site);
  await site.run(10 * S);
  await site.submitGraph("dr-a", [step("a"), step("b", { upstream: ["a"] })]);
  await site.submitGraph("dr-b", [step("a"), step("b", { upstream: ["a"] })]);
  await site.run(4 * S);
  await site.request("POST", "/v2/graphs/dr-b/abort");
  await site.waitForPhase("dr-a", ["success", "failed"]);
  await site.request("POST", "/v2/graphs/dr-a/clear", { step: "b" });
  const tasks = Array.from({ length: 900 }, (_, at) =>
    step(`step-with-a-rather-long-name-${at}`, { job: { guessS: at % 7 } }),
  );
  const text = JSON.stringify({
    ref: "dr-c",
    ds: "2026-01-01",
    graph: { dag_id: "d", owner: "open", default_args: { job: JOB_FIELDS }, tasks },
  });
  const size = Math.ceil(text.length / 3);
  for (const part of [1, 0, 2]) {
    await site.request("POST", "/v2/graphs", {
      ref: "dr-c",
      part,
      parts: 3,
      text: text.slice(part * size, (part + 1) * size),
    });
  }
  site.crash(site.shardLeader(), 0.2 * S);
  await site.run(60 * S);
  // An incomplete upload is deleted after a while.
  await site.request("POST", "/v2/graphs", { ref: "dr-d", part: 0, parts: 2, text: "half" });
  await site.run(40 * S);
  assert.deepEqual(harmfulEffects(effects), []);
});
