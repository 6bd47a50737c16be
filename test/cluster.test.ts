import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "./random.js";
import { Cluster, randomJob } from "./sim/cluster.js";
import { S } from "./sim/world.js";

const SEEDS = 24;

/** Every kind of trouble the users listed, drawn at random, often several at once. */
const trouble = (cluster: Cluster, random: Random): void => {
  const length = (): number => random.int(5, 40) * S;
  const node = random.int(0, 2);
  const machines = cluster.cloud.running();
  const mode = random.pick(["hold", "reset"] as const);
  switch (random.int(0, 11)) {
    case 0:
      cluster.crash(node);
      break;
    case 1:
      for (const at of [0, 1, 2]) cluster.crash(at);
      break;
    case 2:
      for (const at of [0, 1, 2]) cluster.world.after(at * 6 * S, () => cluster.crash(at));
      break;
    case 3:
      cluster.state.outage(random.int(3, 25) * S);
      break;
    case 4:
      cluster.state.refuse(cluster.nodeAddress(node), length());
      break;
    case 5:
      cluster.cutFromState(node, length(), mode);
      break;
    case 6:
      for (const machine of machines.slice(0, random.int(1, 3))) {
        cluster.cutMachine(machine.worker?.host.address ?? "", length(), mode);
      }
      break;
    case 7:
      for (const machine of machines) if (random.chance(0.25)) machine.worker?.hang(length());
      break;
    case 8:
      for (const machine of machines) {
        if (!machine.info.spot || !random.chance(0.6)) continue;
        if (random.chance(0.5)) machine.worker?.notice(8 * S);
        cluster.world.after(8 * S, () => cluster.cloud.take(machine.ref));
      }
      break;
    case 9:
      if (machines.length > 0 && random.chance(0.5)) {
        const sick = random.pick(machines).worker;
        if (sick !== null) sick.sick = true;
      }
      break;
    case 10:
      cluster.cloud.outageUntil = cluster.world.now + length();
      break;
    default:
      cluster.state.unanswered = 0.2;
      cluster.world.after(length(), () => {
        cluster.state.unanswered = 0;
      });
  }
};

const day = async (seed: number): Promise<void> => {
  const cluster = new Cluster(seed);
  const random = new Random(seed + 1_000);
  const busy = 150 * S;
  for (let number = 0; number < 26; number += 1) {
    const job = randomJob(random, number);
    const at = number < 6 ? 2 * S : random.int(2 * S, busy);
    cluster.world.at(at, () => cluster.submit(job, { runUs: job.shape === "daemon" ? null : random.int(3, 30) * S }));
    const given = random.chance(0.2);
    if (given) cluster.world.at(at + random.int(0, 40 * S), () => cluster.cancel(job.ref));
  }
  for (let number = 0; number < 8; number += 1) cluster.world.at(random.int(0, busy), () => cluster.pollStranger());
  for (let number = random.int(3, 7); number > 0; number -= 1) {
    cluster.world.at(random.int(10 * S, busy), () => trouble(cluster, random));
  }
  await cluster.run(busy);
  await cluster.run(400 * S);
  assert.deepEqual(cluster.errors, [], `seed ${seed}: errors logged`);
  const open = cluster.unfinished();
  assert.deepEqual(open, [], `seed ${seed}: never finished\n${cluster.story(open[0] ?? "-")}`);
  assert.deepEqual(cluster.missingReplicas(), [], `seed ${seed}: replicas missing at the end`);
  assert.ok(cluster.checker.starts > 20, `seed ${seed}: hardly anything ran`);
};

test("all rules hold through random days with overlapping troubles", { timeout: 600_000 }, async () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) await day(seed);
});
