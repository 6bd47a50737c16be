/**
 * Responses to heartbeats are lost while they start tasks, and the starts are not repeated: jobs are cancelled, or the
 * machine gets a reclaim notice, before the worker's next heartbeat (docs/incidents/lost-start-of-cancelled-job.md).
 * RAINRIDGE_LOST_START_SEEDS=1-200 plays more days.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LogEvent } from "../src/coordination/log-events.js";
import { Random, S } from "../src/model/index.js";
import { Cluster, plainJob } from "./sim/cluster.js";
import { assertRecovered, playFaultyDay } from "./sim/faulty-day.js";
import { latestStartCounts, loseStarts } from "./sim/lost-starts.js";

const [FIRST_SEED = 1, LAST_SEED = 4] = (process.env.RAINRIDGE_LOST_START_SEEDS ?? "1-4").split("-").map(Number);
const SEEDS = Array.from({ length: LAST_SEED - FIRST_SEED + 1 }, (_, at) => FIRST_SEED + at);
/** Once the troubles are over, no job waits for longer while a machine that fits has capacity (given rule). */
const MAX_WAIT = 90 * S;

/** A cluster with one machine, which has just finished a small job. */
const startWithOneMachine = async (seed: number): Promise<Cluster> => {
  const cluster = new Cluster(seed, { mesh: seed % 2 === 1 });
  cluster.cloud.boots = { never: 0, late: 0, early: 0 };
  cluster.machineCapacity.spot = 0;
  cluster.machineCapacity.ordinary = 1;
  const fields = { shards: 1, cpus: 1, area: "east", flavors: ["big"], sizeGb: 0.1 };
  cluster.submit(plainJob("wk-700000", { ...fields, guessS: 2 }), { runUs: 2 * S });
  await cluster.run(40 * S);
  assert.equal(cluster.checker.terminalPhaseOf("wk-700000"), "done");
  assert.equal(cluster.cloud.running().length, 1);
  return cluster;
};

/** A job that takes up the whole machine. */
const fullMachineJob = (ref: string) =>
  plainJob(ref, { shards: 4, cpus: 4, area: "east", flavors: ["big"], sizeGb: 0.1, guessS: 300 });

for (const seed of SEEDS) {
  // Guards against a machine that stays occupied by a cancelled job whose starts were lost: the next job waited for ever.
  test(`a job is started on a machine whose last starts were lost and cancelled (seed ${seed})`, async () => {
    const cluster = await startWithOneMachine(seed);
    const lost = loseStarts(
      cluster,
      20 * S,
      (job) => job === "wk-700001",
      (job) => cluster.users.cancel(job),
    );
    cluster.submit(fullMachineJob("wk-700001"), { runUs: 300 * S });
    await cluster.run(5 * S);
    assert.equal(lost.size, 1, "no start was lost");
    assert.equal(cluster.checker.terminalPhaseOf("wk-700001"), "withdrawn");
    cluster.checker.faultsEndedAt = cluster.world.now;
    const submittedAt = cluster.world.now;
    cluster.submit(fullMachineJob("wk-700002"), { runUs: 300 * S });
    await cluster.run(MAX_WAIT);
    const startedAt =
      cluster.taskStarts.find(({ task }) => task.startsWith("wk-700002/"))?.at ?? Number.POSITIVE_INFINITY;
    assert.ok(startedAt - submittedAt <= MAX_WAIT, cluster.describeJob("wk-700002"));
    assert.deepEqual(cluster.errors, []);
  });
}

/** A stream of jobs and gangs whose starts are often lost; what loses one is cancelled or its machine gets a notice. */
const playLostStarts = async (seed: number): Promise<void> => {
  const random = new Random(seed);
  let number = 0;
  const submitExtraJobs = (cluster: Cluster): void => {
    cluster.world.after(20 * S, function submitNext() {
      number += 1;
      const ref = `wk-71${String(number).padStart(4, "0")}`;
      const shape = number % 4 === 0 ? "ensemble" : "sweep";
      cluster.submit(plainJob(ref, { shape, shards: 3, cpus: 2, sizeGb: 0.1, guessS: 8 }), { runUs: 8 * S });
      if (cluster.world.now < 130 * S) cluster.world.after(1.5 * S, submitNext);
    });
  };
  const cluster = await playFaultyDay({ mesh: seed % 2 === 1, seed, submitExtraJobs });
  const lost = loseStarts(
    cluster,
    70 * S,
    () => random.chance(0.4),
    (job, address) => {
      if (job.startsWith("wk-90")) return;
      const worker = cluster.cloud.running().find((machine) => machine.worker?.host.address === address)?.worker;
      if (random.chance(0.7)) cluster.world.after(random.int(0, 1.2 * S), () => cluster.users.cancel(job));
      else if (random.chance(0.2)) worker?.notice(40 * S);
    },
  );
  await cluster.run(75 * S);
  assert.ok(lost.size > 5, `${lost.size} jobs lost a start`);
  cluster.checker.faultsEndedAt = cluster.world.now;
  await cluster.run(170 * S);
  assert.ok(cluster.logged(LogEvent.StartsRevoked), "no start was revoked");
  assert.equal(latestStartCounts(cluster)?.revoked, 0);
  assertRecovered(cluster);
};

for (const seed of SEEDS) {
  // Guards against capacity and limits held by starts that were lost and revoked in any of these ways.
  test(`no revoked start holds capacity after starts were lost for a minute (seed ${seed})`, () =>
    playLostStarts(seed));
}
