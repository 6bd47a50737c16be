import assert from "node:assert/strict";
import { test } from "node:test";
import { LogEvent } from "../src/coordination/log-events.js";
import { S } from "../src/model/index.js";
import { Cluster, plainJob } from "./sim/cluster.js";
import {
  bootInstantly,
  delayHeartbeatCopies,
  hangCancelledMachines,
  submitLongJobs,
  submitSmallJobs,
} from "./sim/fault-combinations.js";
import { assertRecovered, type Fault, playFaultyDay, runningMachineAddresses } from "./sim/faulty-day.js";

/**
 * Combinations of faults that once violated a rule of the checker. Each test also asserts that its combination really
 * occurred (table in docs/fault-combinations.md). RAINRIDGE_MEETING_SEEDS=71,72,73,74 plays each with four seeds.
 */
const SEEDS = (process.env.RAINRIDGE_MEETING_SEEDS ?? "71").split(",").map(Number);

const runUntilRecovered = async (cluster: Cluster, faultsUs = 70 * S, recoveryUs = 170 * S): Promise<void> => {
  await cluster.run(faultsUs);
  cluster.checker.faultsEndedAt = cluster.world.now;
  await cluster.run(recoveryUs);
  assertRecovered(cluster);
};

/** Submits long one-task jobs of the team with a limit, more of them than the limit admits. */
const submitJobsBeyondLimit: Fault = (c) => {
  for (let number = 0; number < 24; number += 1) {
    const job = plainJob(`wk-8400${String(number).padStart(2, "0")}`, { owner: "capped", shards: 1, cpus: 1 });
    c.submit({ ...job, guessS: 100, sizeGb: 0.1 }, { runUs: 100 * S });
  }
};

const countRunningOfCappedTeam = (c: Cluster): number =>
  Array.from({ length: 24 }, (_, number) => `wk-8400${String(number).padStart(2, "0")}/0`).filter((task) =>
    c.checker.isRunning(task),
  ).length;

const countCancelled = (c: Cluster, ids: readonly string[]): number =>
  ids.filter((id) => c.checker.terminalPhaseOf(id) === "withdrawn").length;

const testCombination = (
  name: string,
  setup: Fault | undefined,
  play: (cluster: Cluster) => Promise<void>,
  faultsUs?: number,
): void => {
  for (const seed of SEEDS) {
    test(seed === SEEDS[0] ? name : `${name} (seed ${seed})`, async () => {
      const cluster = await playFaultyDay({
        mesh: seed % 2 === 1,
        seed,
        ...(setup === undefined ? {} : { submitExtraJobs: setup }),
      });
      await play(cluster);
      await runUntilRecovered(cluster, faultsUs);
    });
  }
};

testCombination(
  "the leader changes ten times in two minutes, three of them during an outage of the key-value store",
  submitLongJobs,
  async (c) => {
    const before = c.takeovers;
    for (let at = 0; at < 12; at += 1) {
      c.world.after(at * 11 * S, () => c.crash(c.shardLeader(), 3 * S));
      if (at === 5) c.world.after(at * 11 * S + S, () => c.state.outage(25 * S));
      c.world.after(at * 11 * S + 4 * S, () => c.users.cancel(`wk-80000${at % 5}`));
    }
    await c.run(132 * S);
    assert.ok(c.takeovers - before >= 9, `${c.takeovers - before} takeovers`);
  },
);

testCombination(
  "jobs of a team at its limit are cancelled while their machines are partitioned and the leader changes",
  submitJobsBeyondLimit,
  async (c) => {
    assert.equal(countRunningOfCappedTeam(c), 16);
    const victims = Array.from({ length: 6 }, (_, number) => `wk-8400${String(number).padStart(2, "0")}`);
    const places = new Set(victims.flatMap((id) => c.checker.machinesOf(`${id}/0`)));
    for (const { info, worker } of c.cloud.running()) {
      if (places.has(info.name)) c.site.cutMachine(worker?.host.address ?? "", 50 * S, "hold");
    }
    for (const id of victims) c.users.cancel(id);
    const before = c.takeovers;
    c.world.after(2 * S, () => c.crash(c.shardLeader(), 5 * S));
    await c.run(20 * S);
    assert.ok(
      c.takeovers > before && countCancelled(c, victims) === 6,
      "no failover, or not all cancellations confirmed",
    );
  },
);

testCombination(
  "jobs of a team at its limit are cancelled while their workers hang and the leader changes",
  submitJobsBeyondLimit,
  async (c) => {
    assert.equal(countRunningOfCappedTeam(c), 16);
    const before = c.takeovers;
    const ids = [...hangCancelledMachines(c, 15 * S), ...hangCancelledMachines(c, 60 * S)];
    c.world.after(S, () => c.crash(c.shardLeader(), 5 * S));
    await c.run(20 * S);
    assert.ok(
      c.takeovers > before && ids.length > 0 && countCancelled(c, ids) > 0,
      "no failover, or no cancellation confirmed",
    );
  },
);

testCombination(
  "four one-task jobs a second for two minutes, a quarter of them cancelled, keep within the write limit",
  undefined,
  async (c) => {
    const ids = submitSmallJobs(c, 4, 120 * S);
    const writesBefore = c.state.requestedWrites;
    await c.run(120 * S);
    const perJob = (c.state.requestedWrites - writesBefore) / ids.length;
    assert.ok(ids.length > 470, `${ids.length} jobs`);
    // The store admits 40 writes/s. A job needs writes for acceptance, placement, outcome and replacing records.
    assert.ok(perJob < 7, `${perJob} writes per job`);
    await c.run(12 * S);
    const open = ids.filter((id) => c.checker.terminalPhaseOf(id) === null).length;
    assert.ok(open < 20, `${open} of ${ids.length} jobs not finished 12 s after the last submission`);
    assert.ok(countCancelled(c, ids) > 60, "too few jobs were cancelled before they completed");
  },
);

testCombination(
  "delayed copies of heartbeats reach every controller as a new shard leader takes over",
  submitLongJobs,
  async (c) => {
    const copies = delayHeartbeatCopies(c, 0.5, 40 * S);
    for (const at of [5, 14, 26]) c.world.after(at * S, () => c.crash(c.shardLeader(), 4 * S));
    await c.run(45 * S);
    assert.ok(copies.delivered > 30, `${copies.delivered} copies`);
  },
);

testCombination(
  "delayed copies of heartbeats arrive after workers restarted with their counters reset",
  submitLongJobs,
  async (c) => {
    const copies = delayHeartbeatCopies(c, 0.5, 30 * S);
    c.world.after(6 * S, () => {
      for (const { worker } of c.cloud.running().slice(0, 4)) worker?.restart(c.random.chance(0.5));
    });
    for (const at of [7, 18]) c.world.after(at * S, () => c.crash(c.shardLeader(), 0.3 * S));
    await c.run(45 * S);
    assert.ok(copies.delivered > 30, `${copies.delivered} copies`);
  },
);

testCombination("jobs are cancelled during failover", submitLongJobs, async (c) => {
  let at = 0;
  const before = c.takeovers;
  for (const wait of [0, 14, 28]) c.world.after(wait * S, () => c.crash(c.shardLeader(), 6 * S));
  // One cancellation every half second, throughout all failovers.
  for (; at < 80; at += 1) {
    const ref = `wk-8500${String(at).padStart(2, "0")}`;
    c.submit(plainJob(ref, { shards: 2, cpus: 1, sizeGb: 0.1, guessS: 60 }), { runUs: 60 * S });
    c.world.after((at * S) / 2, () => c.users.cancel(ref));
  }
  await c.run(50 * S);
  assert.ok(c.takeovers - before >= 3, `${c.takeovers - before} takeovers`);
});

testCombination("all controllers are down for longer than the worker lease", submitLongJobs, async (c) => {
  const startsBefore = c.checker.starts;
  for (const at of [0, 1, 2]) c.crash(at, 26 * S);
  await c.run(25 * S);
  assert.equal(c.checker.isRunning("wk-900001/0"), false, "its worker's lease should have expired");
  c.users.cancel("wk-800004");
  await c.run(15 * S);
  assert.ok(c.checker.starts > startsBefore, "no task was started after the outage");
});

testCombination(
  "workers cannot reach any controller, while direct commands reach the workers",
  submitLongJobs,
  async (c) => {
    const muted = runningMachineAddresses(c, 4);
    let commands = 0;
    c.network.onRequest = (_, to, { target }) => {
      if (muted.has(to) && target === "/orders") commands += 1;
    };
    c.site.dropFromMachines(muted, 45 * S);
    const ids = hangCancelledMachines(c, 0);
    c.world.after(15 * S, () => c.crash(c.shardLeader(), 5 * S));
    await c.run(46 * S);
    assert.ok(commands > 0 && ids.length > 0, `${commands} commands to workers that reach no controller`);
  },
);

testCombination("leases expire when no worker reaches a controller", submitLongJobs, async (c) => {
  c.site.dropFromMachines(runningMachineAddresses(c, 999), 45 * S);
  c.users.cancel("wk-800004");
  await c.run(46 * S);
  // The leases expire although commands still reach the workers.
  assert.ok(c.logged(LogEvent.WorkerIncarnationChanged), "no worker lease expired");
});

testCombination(
  "machines boot at once and receive tasks while writes are delayed and the leader crashes",
  undefined,
  async (c) => {
    let extraMachines = 0;
    const machinesBefore = c.cloud.running().length;
    bootInstantly(c);
    c.state.lateWrites(0.3, 25 * S);
    for (const at of [3, 8, 16]) c.world.after(at * S, () => c.crash(c.shardLeader(), 0.5 * S));
    for (let at = 1; at < 12; at += 1) {
      c.world.after(at * S, () => {
        extraMachines = Math.max(extraMachines, c.cloud.running().length - machinesBefore);
      });
    }
    await c.run(30 * S);
    assert.ok(
      extraMachines > 0 && c.state.appliedWithoutResponse > 0,
      `${extraMachines} machines, ${c.state.appliedWithoutResponse} delayed transactions`,
    );
  },
);

testCombination(
  "cancellations, status queries and repeated submissions coincide with the end of a job's last task",
  undefined,
  async (c) => {
    c.cancelOnCompletion(0.6, 60 * S);
    c.curious.probeAfterChanges(60 * S, 0);
    submitSmallJobs(c, 2, 50 * S);
    await c.run(60 * S);
    assert.ok(
      c.cancelledOnCompletion > 20 && c.curious.looks > 500,
      `${c.cancelledOnCompletion} cancellations, ${c.curious.looks} status queries`,
    );
  },
);

testCombination(
  "transactions are applied but their responses are lost, while users query job status",
  submitLongJobs,
  async (c) => {
    c.state.loseAnswers(0.3, 40 * S);
    c.curious.probeAfterChanges(50 * S, 0.2);
    c.cancelOnCompletion(0.3, 40 * S);
    c.world.after(20 * S, () => c.crash(c.shardLeader(), 0.5 * S));
    await c.run(50 * S);
    assert.ok(
      c.state.appliedWithoutResponse > 15 && c.curious.looks > 200,
      `${c.state.appliedWithoutResponse} lost responses, ${c.curious.looks} status queries`,
    );
  },
);

testCombination(
  "users query all controllers within milliseconds, resubmit and cancel, while the leader changes",
  submitLongJobs,
  async (c) => {
    c.curious.probeAfterChanges(60 * S, 0.3);
    submitSmallJobs(c, 2, 40 * S);
    c.site.slowState(0.3, 2 * S, 40 * S);
    for (const at of [10, 30]) c.world.after(at * S, () => c.crash(c.shardLeader(), 0.5 * S));
    await c.run(60 * S);
    assert.ok(c.curious.looks > 1_000, `${c.curious.looks} status queries`);
  },
);

testCombination(
  "invalid requests are refused correctly while the key-value store is slow and the leader changes",
  submitLongJobs,
  async (c) => {
    c.curious.sendUnusualRequests(60 * S);
    c.site.slowState(0.4, 3 * S, 30 * S);
    c.world.after(10 * S, () => c.crash(c.shardLeader(), 5 * S));
    await c.run(60 * S);
    assert.ok(c.checker.invalidRefused > 20, `${c.checker.invalidRefused} refused`);
  },
);

testCombination("jobs and job arrays restricted to one zone lose machines", undefined, async (c) => {
  for (let number = 0; number < 8; number += 1) {
    const zone = number % 2 === 0 ? { area: "west" } : { together: true };
    const ref = `wk-86000${number}`;
    c.submit(plainJob(ref, { shards: 5, cpus: 1, sizeGb: 0.1, guessS: 40, ...zone }), { runUs: 40 * S });
  }
  await c.run(8 * S);
  const machineNames = Array.from({ length: 8 }, (_, number) => c.checker.machinesOf(`wk-86000${number}/0`)[0] ?? "");
  assert.ok(
    machineNames.some((name) => name !== ""),
    "none of the jobs has started",
  );
  for (const name of new Set(machineNames.slice(0, 4))) if (name !== "") c.cloud.take(name);
  c.world.after(2 * S, () => c.crash(c.shardLeader(), 3 * S));
  await c.run(20 * S);
});

testCombination(
  "a zone with workers and the shard leader is partitioned for longer than the worker lease",
  submitLongJobs,
  async (c) => {
    const { controllers } = c.site.addresses;
    const inside = new Set(
      c.cloud.running().flatMap(({ info, worker }) => (info.zone === "east" && worker ? [worker.host.address] : [])),
    );
    // The shard leader is inside. Hosts inside the partition reach each other and no other host.
    inside.add(controllers[c.shardLeader()] ?? "");
    const before = c.takeovers;
    c.network.cut((a, b) => inside.has(a) !== inside.has(b) && a !== "user" && b !== "user", 45 * S, "hold");
    c.world.after(S, () => c.users.cancel("wk-800004"));
    await c.run(46 * S);
    assert.ok(c.takeovers > before, "no failover");
  },
);

test("jobs of all priorities exceed the capacity while the key-value store is slow and the leader changes", async () => {
  const c = new Cluster(91, { mesh: true });
  c.machineCapacity.ordinary = 3;
  c.machineCapacity.spot = 2;
  for (let number = 0; number < 60; number += 1) {
    const rank = (["prod", "high", "normal", "best_effort"] as const)[number % 4] ?? "high";
    const ref = `wk-8700${String(number).padStart(2, "0")}`;
    c.world.at((2 + number) * S, () =>
      c.submit(plainJob(ref, { rank, shards: 6, cpus: 2, loaner: true, guessS: 20 }), { runUs: 20 * S }),
    );
  }
  c.world.at(5 * S, () => c.site.slowState(0.2, 2 * S, 60 * S));
  for (const at of [25, 45]) c.world.at(at * S, () => c.crash(c.shardLeader(), 4 * S));
  await c.run(65 * S);
  const waiting = c.unfinished().length;
  assert.ok(waiting > 10, `only ${waiting} jobs wait: capacity is not exhausted`);
  c.checker.faultsEndedAt = c.world.now;
  await c.run(400 * S);
  assert.deepEqual(c.unfinished(), []);
  assert.deepEqual(c.checker.starved(), []);
});

/**
 * Partitions a machine right before a task is placed on it. Its worker restarts with its counters reset before the
 * partition ends.
 */
const playDelayedStart = async (seed: number, duringPartition: (cluster: Cluster) => void): Promise<void> => {
  const c = new Cluster(seed);
  c.cloud.boots = { never: 0, late: 0, early: 0 };
  for (const [number, area] of ["east", "west"].entries()) {
    const job = plainJob(`wk-88000${number}`, { shards: 1, cpus: 2 - number, area, guessS: 300 });
    c.submit(job, { runUs: 300 * S });
  }
  await c.run(30 * S);
  const machineName = c.checker.machinesOf("wk-880000/0")[0];
  const host = c.cloud.running().find(({ info }) => info.name === machineName)?.worker?.host.address ?? "";
  // The cloud outage prevents deletions, the fast proof of loss; expiry of the worker lease remains.
  c.cloud.outageUntil = c.world.now + 60 * S;
  c.site.cutMachine(host, 40 * S, "hold");
  for (let number = 2; number < 4; number += 1) {
    const job = plainJob(`wk-88000${number}`, { shards: 1, cpus: 1, guessS: 300, sizeGb: 0.1 });
    c.submit(job, { runUs: 300 * S });
  }
  duringPartition(c);
  c.world.after(35 * S, () => {
    c.cloud
      .running()
      .find(({ info }) => info.name === machineName)
      ?.worker?.restart(false);
  });
  await c.run(80 * S);
  await c.run(60 * S);
};

test("a start delayed by a partition reaches a worker that has restarted with its counters reset", async () => {
  await playDelayedStart(17, () => undefined);
});

// Guards against a new leader that reschedules a task whose start its predecessor sent without receiving a response.
test("a start from a crashed leader reaches a worker that has restarted with its counters reset", async () => {
  for (const crashAfterS of [1.5, 2, 2.5, 3]) {
    await playDelayedStart(17, (c) =>
      c.world.after(crashAfterS * S, () => {
        c.crash(c.shardLeader(), 15 * S);
      }),
    );
  }
});

// Guards against running a task twice: the network duplicates a start sent as a direct command, and the copy arrives
// after the worker restarted. A new incarnation accepts any fencing token until it has received one.
test("a duplicate of a start command reaches a worker that has restarted with its counters reset", async () => {
  const c = new Cluster(17);
  c.cloud.boots = { never: 0, late: 0, early: 0 };
  c.submit(plainJob("wk-890000", { shards: 1, cpus: 2, area: "east", guessS: 300 }), { runUs: 300 * S });
  await c.run(30 * S);
  const first = c.checker.machinesOf("wk-890000/0")[0];
  const worker = c.cloud.running().find(({ info }) => info.name === first)?.worker;
  assert.ok(worker, "the first job has not started");
  const { address } = worker.host;
  c.network.keep((to) => to === address, 1, 60 * S);
  c.submit(plainJob("wk-890001", { shards: 1, cpus: 1, area: "east", guessS: 300, sizeGb: 0.1 }), { runUs: 300 * S });
  await c.run(20 * S);
  assert.deepEqual(c.checker.machinesOf("wk-890001/0"), [first]);
  // The termination notice moves its tasks to other machines.
  worker.notice(60 * S);
  await c.run(40 * S);
  assert.notDeepEqual(c.checker.machinesOf("wk-890001/0"), [first]);
  assert.ok(c.checker.isRunning("wk-890001/0"));
  worker.restart(false);
  assert.ok(c.network.release([address]) > 0, "no command was duplicated");
  await c.run(30 * S);
  assert.deepEqual(c.errors, []);
});
