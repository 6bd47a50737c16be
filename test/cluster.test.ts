import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import { Random } from "./random.js";
import { Cluster, plainJob } from "./sim/cluster.js";
import { BUSY_PERIOD, type DayLimits, LONGEST_FAULT, randomDay } from "./sim/random-day.js";

/** Number of random days; manual runs use many more: RAINRIDGE_SEEDS=1000 (docs/results.md). */
const SEEDS = Number(process.env.RAINRIDGE_SEEDS ?? 24);
const FIRST_SEED = Number(process.env.RAINRIDGE_FROM ?? 1);

/** Maximum number per day of one-way losses, late copies of messages and similar faults. */
const HARSH_FAULTS = Number(process.env.RAINRIDGE_NIGHTS ?? 4);

/**
 * Maximum number per day of leader refusals, late transactions, slow responses, delayed commands and similar faults.
 */
const COMBINATIONS = Number(process.env.RAINRIDGE_MET ?? 3);

/**
 * Maximum number per day of job chains. Half of the days start on the version that does not support chains, and lower
 * the limits of the key-value store in the end.
 */
const CHAINS = Number(process.env.RAINRIDGE_CHAINS ?? 5);

const runDay = async (
  seed: number,
  limits: DayLimits = { chains: CHAINS, harshFaults: HARSH_FAULTS, combinations: COMBINATIONS },
): Promise<void> => {
  const cluster = randomDay(seed, limits);
  await cluster.run(BUSY_PERIOD);
  await cluster.run(LONGEST_FAULT);
  cluster.checker.faultsEndedAt = cluster.world.now;
  await cluster.run(400 * S - LONGEST_FAULT);
  assert.deepEqual(cluster.errors, [], `seed ${seed}: errors logged`);
  const unfinished = cluster.unfinished();
  assert.deepEqual(unfinished, [], `seed ${seed}: never finished\n${cluster.describeJob(unfinished[0] ?? "-")}`);
  const missing = cluster.missingReplicas();
  const jobId = missing[0]?.split("/")[0] ?? "-";
  assert.deepEqual(missing, [], `seed ${seed}: replicas missing at the end\n${cluster.describeJob(jobId)}`);
  assert.deepEqual(cluster.checker.starved(), [], `seed ${seed}: less than half served`);
  assert.deepEqual(cluster.checker.lateLargestJobs(), [], `seed ${seed}: largest jobs started too late`);
  assert.ok(cluster.checker.starts > 20, `seed ${seed}: hardly anything ran`);
};

test("all invariants hold through random days with overlapping faults", { timeout: 6_000_000 }, async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) await runDay(seed);
});

// Guards against a gang that waits for ever because the replicas in its zone are spread over one machine too many.
test("a gang starts where its zone has enough machines once replicas are moved together (random day 7172)", async () => {
  await runDay(7_172, { chains: 5, harshFaults: 8, combinations: 5 });
});

/** Changes the settings to those of a deployment with several hundred machines. */
const withLargeSettings = (text: string): string =>
  text
    .replace("report_s = 3.0", "report_s = 6.0")
    .replace("lease_s = 20.0", "lease_s = 36.0")
    .replace("cancel_s = 45.0", "cancel_s = 66.0")
    .replace("txn_ops = 12", "txn_ops = 24")
    .replace("max_connections = 500", "max_connections = 3500");

const runLargeDay = async (seed: number, scheduleFaults: (cluster: Cluster) => void): Promise<Cluster> => {
  const cluster = new Cluster(seed, {}, withLargeSettings);
  const random = new Random(seed + 500);
  cluster.machineCapacity.spot = 80;
  cluster.machineCapacity.ordinary = 80;
  for (let number = 0; number < 70; number += 1) {
    const service = number % 2 === 0;
    const job = plainJob(`wk-${String(number).padStart(6, "0")}`, {
      ...(service
        ? { shape: "daemon", jobclass: "web", rank: "prod", spread: true, cpus: 1 }
        : { loaner: true, cpus: 4 }),
      shards: service ? random.pick([2, 8, 9]) : random.int(20, 110),
      bundle: random.pick(["a", "b", "c", "d"]),
    });
    const at = number < 30 ? 2 * S : random.int(2 * S, 100 * S);
    cluster.world.at(at, () => cluster.submit(job, { runUs: service ? null : random.int(10, 50) * S }));
    if (random.chance(0.1)) cluster.world.at(at + random.int(0, 60 * S), () => cluster.users.cancel(job.ref));
  }
  scheduleFaults(cluster);
  await cluster.run(420 * S);
  assert.deepEqual(cluster.errors, [], `seed ${seed}: errors logged`);
  assert.deepEqual(cluster.unfinished(), [], `seed ${seed}: never finished`);
  assert.deepEqual(cluster.missingReplicas(), [], `seed ${seed}: replicas missing at the end`);
  assert.deepEqual(cluster.checker.starved(), [], `seed ${seed}: less than half served`);
  assert.ok(cluster.checker.starts > 1_500, `seed ${seed}: ${cluster.checker.starts} starts`);
  return cluster;
};

test("all invariants hold on hundreds of machines through job bursts, hangs, partitions and crashes of all controllers", {
  timeout: 600_000,
}, async () => {
  await runLargeDay(1, (cluster) => {
    cluster.world.at(50 * S, () => cluster.site.cutZone("east", 40 * S, "hold"));
    cluster.world.at(60 * S, () => cluster.crash(0));
    cluster.world.at(120 * S, () => {
      for (const machine of cluster.cloud.running()) if (machine.info.spot) cluster.cloud.take(machine.ref);
    });
    cluster.world.at(130 * S, () => cluster.state.outage(20 * S));
    cluster.world.at(146 * S, () => {
      for (const at of [0, 1, 2]) cluster.crash(at);
    });
  });
  await runLargeDay(2, (cluster) => {
    cluster.world.at(40 * S, () => {
      cluster.cloud.running().forEach(({ worker }, at) => {
        if (at % 4 === 0) worker?.hang(50 * S);
      });
    });
    cluster.world.at(70 * S, () => cluster.site.cutZone("west", 60 * S, "reset"));
    cluster.world.at(75 * S, () => cluster.site.cutFromState(0, 40 * S, "hold"));
    cluster.world.at(90 * S, () => {
      cluster.cloud.outageUntil = cluster.world.now + 20 * S;
    });
  });
});
