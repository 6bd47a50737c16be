/** Guards against tasks that wait for ever because the only machine that they may use is left out. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMachine, type Machine } from "../src/cluster/machine.js";
import { S } from "../src/model/index.js";
import { makeSchedulingFixture, TYPE } from "./scheduling-fixtures.js";
import { clusterWithOneMachineAZone, plainJob } from "./sim/cluster.js";

const makeFixture = () => {
  const fixture = makeSchedulingFixture(2);
  const { shard, clock, machine: east } = fixture;
  const west = createMachine(
    { name: "n-west", typeName: TYPE.name, type: TYPE, zone: "west", spot: false },
    clock.now(),
  );
  west.state = "up";
  Object.assign(west.counters, { incarnation: 1, highestToken: east.counters.highestToken });
  shard.machines.set(west.name, west);
  const machinesOf = (job: { placedTasks: ReadonlySet<{ machine: Machine | null }> }): string[] =>
    [...job.placedTasks].map(({ machine }) => machine?.name ?? "").sort();
  return { ...fixture, east, west, machinesOf };
};

// Guards against a spread service that loses half of its replicas once one of them has failed on its zone's machine (review/7).
test("a replica returns to the machine on which it failed if the zone rules allow no other one", () => {
  const { add, round, west, machinesOf } = makeFixture();
  const job = add({ shape: "daemon", shards: 2, spread: true, rank: "prod" }, "wk-1");
  job.failedMachines.add(west.name);
  round();
  assert.equal(job.placedTasks.size, 2, "one replica in each zone");
  assert.ok(machinesOf(job).includes(west.name));
});

// Guards against a job that is bound to the zone of the machine on which it failed, and waits for a machine elsewhere.
test("a job that must run in one zone uses the machine there on which it failed", () => {
  const { add, round, shard, west, machinesOf } = makeFixture();
  for (const machine of shard.machines.values()) {
    if (machine !== west) machine.load.used = { ...machine.load.used, cpu: TYPE.capacity.cpu - 2_000 };
  }
  const job = add({ shards: 3, together: true }, "wk-1");
  job.failedMachines.add(west.name);
  round();
  assert.deepEqual(machinesOf(job), [west.name, west.name, west.name]);
});

test("a machine on which the job failed is left out while another one that it may use has capacity", () => {
  const { add, round, east, machinesOf } = makeFixture();
  east.load.used = { ...east.load.used, cpu: 2_000 };
  const job = add({ shards: 2 }, "wk-1");
  job.failedMachines.add(east.name);
  round();
  assert.equal(job.placedTasks.size, 2);
  assert.ok(!machinesOf(job).includes(east.name), "best fit alone would prefer it");
});

test("a failed replica of a spread service runs again once its zone's only machine no longer fails tasks", async () => {
  for (const seed of [1, 2, 3]) {
    const cluster = clusterWithOneMachineAZone(seed);
    // One machine in each zone, kept by a service of its own.
    cluster.submit(plainJob("wk-000001", { shape: "daemon", rank: "prod", shards: 2, cpus: 1, spread: true }));
    cluster.world.at(60 * S, () => {
      const machine = cluster.cloud.running().find(({ info }) => info.zone === "west");
      machine?.worker?.makeFaulty(8 * S);
      cluster.submit(plainJob("wk-000002", { shape: "daemon", rank: "prod", shards: 2, cpus: 1, spread: true }));
    });
    await cluster.run(68 * S);
    assert.ok(cluster.logged("task failed"), "the test needs a replica that fails");
    await cluster.run(90 * S);
    assert.deepEqual(cluster.missingReplicas(), [], cluster.describeJob("wk-000002"));
  }
});
