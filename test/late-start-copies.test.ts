/**
 * Guards against a task that runs on two machines, or again after its cancellation, because a copy of what started it
 * arrives late, after a machine or a controller has come back within a second.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { HostClock, S } from "../src/model/index.js";
import type { Micros } from "../src/transport/clock.js";
import type { HttpRequest } from "../src/transport/http.js";
import { Cluster, plainJob } from "./sim/cluster.js";

const TASK = "wk-890001/0";

/** What becomes of the task between its start and the copy. */
const CHANGES = ["moved", "cancelled", "unchanged"] as const;
type Change = (typeof CHANGES)[number];

/** What comes back within a second, just before the copies arrive. */
const RETURNS = ["machine", "machine with reset counters", "leader", "all"] as const;
type Return = (typeof RETURNS)[number];

/** A request that has arrived. */
interface Sent {
  readonly from: string;
  readonly to: string;
  readonly request: HttpRequest;
}

/**
 * Delivers copies where the requests went to. Nobody waits for the responses; those in which the machine lists the task
 * as starting or running are added to `listed`.
 */
const deliverCopies = (cluster: Cluster, sent: readonly Sent[], listed: string[]): void => {
  for (const { from, to, request } of sent) {
    const client = cluster.network.client(from, new HostClock(cluster.world, 1, 0));
    void client.call(to, request, S as Micros).then((outcome) => {
      if (outcome.kind !== "answer" || request.target !== "/orders") return;
      const shards: { shard: string; phase: string }[] = JSON.parse(outcome.body).shards ?? [];
      if (shards.some(({ shard, phase }) => shard === TASK && phase !== "exited")) listed.push(outcome.body);
    });
  }
};

const comeBack = (cluster: Cluster, what: Return, machine: string): void => {
  const worker = cluster.cloud.running().find(({ info }) => info.name === machine)?.worker;
  if (what !== "leader") worker?.restart(what === "machine");
  if (what === "leader" || what === "all") cluster.crash(cluster.shardLeader(), 0.3 * S);
};

/** The start of the task as a direct command under the highest token sent; leaders of this version send none. */
const directStart = (from: string, to: string, sent: readonly Sent[]): Sent => {
  const tokens = sent
    .filter((each) => each.to === to)
    .map(({ request }) => JSON.parse(request.body || "{}").baton ?? 0);
  const orders = [{ verb: "launch", shard: TASK, try: 1 }];
  const body = JSON.stringify({ baton: Math.max(...tokens), tenure: 1, orders });
  return { from, to, request: { method: "POST", target: "/orders", body } };
};

/** Starts a task, changes it, lets something come back, and delivers copies of all that was sent while it started. */
const play = async (seed: number, change: Change, what: Return, direct = false): Promise<void> => {
  const cluster = new Cluster(seed);
  cluster.cloud.boots = { never: 0, late: 0, early: 0 };
  cluster.submit(plainJob("wk-890000", { shards: 1, area: "east", guessS: 300 }), { runUs: 300 * S });
  await cluster.run(30 * S);
  const [machine] = cluster.checker.machinesOf("wk-890000/0");
  const worker = cluster.cloud.running().find(({ info }) => info.name === machine)?.worker;
  assert.ok(worker && machine !== undefined, "the first job has not started");
  const { address } = worker.host;
  const sent: Sent[] = [];
  // The machine's heartbeats are copied as well as the commands to it: the responses to them start tasks.
  cluster.network.onRequest = (from, to, request) => {
    if (to === address || from === address) sent.push({ from, to, request });
  };
  const job = plainJob("wk-890001", { shards: 1, cpus: 1, area: "east", guessS: 300, sizeGb: 0.001 });
  cluster.submit(job, { runUs: 300 * S });
  await cluster.run(20 * S);
  assert.deepEqual(cluster.checker.machinesOf(TASK), [machine], "the second job has not started there");
  if (change === "moved") worker.notice(60 * S);
  if (change === "cancelled") cluster.users.cancel("wk-890001");
  await cluster.run(40 * S);
  assert.equal(cluster.checker.isRunning(TASK), change !== "cancelled");
  assert.equal(cluster.checker.machinesOf(TASK).includes(machine), change === "unchanged");
  comeBack(cluster, what, machine);
  const copied = sent.splice(0);
  const listed: string[] = [];
  assert.ok(copied.some(({ from }) => from === address) && copied.some(({ to }) => to === address));
  if (direct) copied.push(directStart(cluster.site.addresses.controllers[0] ?? "", address, copied));
  for (const afterS of [0.01, 0.4, 1, 4]) cluster.world.after(afterS * S, () => deliverCopies(cluster, copied, listed));
  // Throws if a task runs on two machines, or runs after its confirmed cancellation.
  await cluster.run(60 * S);
  assert.equal(cluster.checker.isRunning(TASK), change !== "cancelled", cluster.describeJob("wk-890001"));
  if (change !== "unchanged") assert.deepEqual(listed, [], "a copy was carried out");
  const directStarts = [...copied, ...sent].filter(
    ({ to, request }) => to === address && request.body.includes("launch"),
  );
  assert.deepEqual(directStarts, [], "a start that was no response");
  assert.deepEqual(cluster.errors, []);
};

for (const change of CHANGES) {
  for (const what of RETURNS) {
    test(`late copies of a start do nothing: the task is ${change}, back within a second: ${what}`, async () => {
      for (const seed of [17, 18, 19]) await play(seed, change, what);
    });
  }
}

test("the simulation detects a late copy of a start that was a direct command", async () => {
  await assert.rejects(play(17, "moved", "machine with reset counters", true), /a copy was carried out/);
});
