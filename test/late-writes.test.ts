import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import { Random } from "./random.js";
import { type Cluster, randomJob } from "./sim/cluster.js";
import { GraphSite, JOB_FIELDS } from "./sim/graph-site.js";
import { nightOf } from "./sim/night.js";

/** A transaction as it got to the state service, whoever sent it. */
interface Late {
  readonly body: string;
  readonly at: number;
}

/** `c/range/wk-1/0` and `c/range/wk-2/3` are of one kind. */
const kindOf = (key: string): string => key.split("/").slice(0, 2).join("/");

/**
 * Looks, while the site runs, at what each transaction of the last while would change if it were carried out now: late,
 * as the twin of one that was tried again for want of an answer does. Returns the kinds of keys that any of them would have changed, with an example.
 */
const watchLate = (cluster: Cluster, alter: (body: string) => string = (body) => body): ReadonlyMap<string, string> => {
  const sent: Late[] = [];
  const found = new Map<string, string>();
  cluster.state.onTransaction = (body) => {
    sent.push({ body: alter(body), at: cluster.world.now });
  };
  const look = (): void => {
    // One of the last moment may just be under way for the first time.
    for (const { body, at } of sent) {
      if (cluster.world.now - at < S / 2) continue;
      for (const key of cluster.state.lateEffect(body)) {
        if (!found.has(kindOf(key)))
          found.set(kindOf(key), `${key} ${(cluster.world.now - at) / S} s late: ${body.slice(0, 300)}`);
      }
    }
    // No longer than a cut holds a message back.
    while ((sent[0]?.at ?? cluster.world.now) < cluster.world.now - 90 * S) sent.shift();
    cluster.world.after(1.7 * S, look);
  };
  cluster.world.after(S, look);
  return found;
};

/**
 * What is said again at the next look where it is wrong (docs/meetings.md, "Late writes"): whether a holder can take nothing
 * more, which its next tick mends.
 */
const MENDS_ITSELF = ["c/full"];

const harmful = (found: ReadonlyMap<string, string>): readonly string[] =>
  [...found].filter(([kind]) => !MENDS_ITSELF.includes(kind)).map(([, example]) => example);

test("no transaction of a day with takeovers and cancellations changes anything when it is carried out late or once more", async () => {
  for (const mesh of [false, true]) {
    let found: ReadonlyMap<string, string> = new Map();
    const cluster = await nightOf({
      mesh,
      seed: mesh ? 72 : 73,
      more: (c) => {
        found = watchLate(c);
        const random = new Random(5);
        for (let number = 0; number < 30; number += 1) {
          const job = { ...randomJob(random, number), ref: `wk-7000${10 + number}` };
          const at = random.int(2 * S, 150 * S);
          c.world.at(at, () => c.submit(job, { runUs: job.shape === "daemon" ? null : random.int(3, 30) * S }));
          if (random.chance(0.3)) c.world.at(at + random.int(0, 20 * S), () => c.users.cancel(job.ref));
        }
      },
    });
    cluster.crash(cluster.holder(), 0.2 * S);
    await cluster.run(20 * S);
    cluster.state.outage(12 * S);
    await cluster.run(20 * S);
    cluster.site.cutZone("west", 40 * S, "hold");
    await cluster.run(10 * S);
    for (const at of [0, 1, 2]) cluster.crash(at);
    await cluster.run(40 * S);
    cluster.crash(cluster.holder(), 20 * S);
    await cluster.run(90 * S);
    assert.deepEqual(harmful(found), []);
    assert.deepEqual(cluster.errors, []);
  }
});

test("conditions that are left out are caught", async () => {
  let found: ReadonlyMap<string, string> = new Map();
  const bare = (body: string): string => JSON.stringify({ ...(JSON.parse(body) as object), if: [] });
  const cluster = await nightOf({ mesh: false, more: (c) => (found = watchLate(c, bare)) });
  await cluster.run(30 * S);
  const kinds = [...found.keys()];
  for (const kind of ["c/job", "c/range"])
    assert.ok(
      kinds.some((seen) => seen.startsWith(kind)),
      kind,
    );
});

const step = (task_id: string, more: object = {}): object => ({ task_id, ...more });

test("the same with graphs: withdrawn, cleared, uploaded in parts and put together", async () => {
  const site = new GraphSite(31);
  const found = watchLate(site);
  await site.run(10 * S);
  await site.post("dr-a", [step("a"), step("b", { upstream: ["a"] })]);
  await site.post("dr-b", [step("a"), step("b", { upstream: ["a"] })]);
  await site.run(4 * S);
  await site.ask("POST", "/v2/graphs/dr-b/abort");
  await site.until("dr-a", ["success", "failed"]);
  await site.ask("POST", "/v2/graphs/dr-a/clear", { step: "b" });
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
    await site.ask("POST", "/v2/graphs", {
      ref: "dr-c",
      part,
      parts: 3,
      text: text.slice(part * size, (part + 1) * size),
    });
  }
  site.crash(site.holder(), 0.2 * S);
  await site.run(60 * S);
  // What was never put together is dropped in the end.
  await site.ask("POST", "/v2/graphs", { ref: "dr-d", part: 0, parts: 2, text: "half" });
  await site.run(40 * S);
  assert.deepEqual(harmful(found), []);
});
