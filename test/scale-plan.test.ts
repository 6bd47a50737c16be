import assert from "node:assert/strict";
import { test } from "node:test";
import { CapacityBackoff } from "../src/coordination/autoscaling/capacity-backoff.js";
import type { CloudOffers } from "../src/coordination/autoscaling/cloud-offers.js";
import { DemandHistory } from "../src/coordination/autoscaling/demand-history.js";
import { planScaling } from "../src/coordination/autoscaling/scale-plan.js";
import { makeSchedulingFixture } from "./scheduling-fixtures.js";

test("scale-out requests and scale-in choices state their reasons, and the backoff grows with each refusal", () => {
  const { snapshot, add, shard, clock, world } = makeSchedulingFixture(2);
  const backoff = new CapacityBackoff();
  const offers: CloudOffers = {
    pendingRequests: [],
    unavailableUntil: (key) => backoff.until(key),
    unreachableZones: new Set(),
    demandHistory: new DemandHistory(),
  };
  world.now += 200_000_000;
  for (const machine of shard.machines.values()) machine.reachability.lastHeartbeatAt = clock.now();
  const idle = planScaling(snapshot(), offers);
  assert.deepEqual(idle.scaleOut, []);
  assert.deepEqual(
    idle.scaleIn.map(({ machine, reason }) => [machine.name, reason]),
    [
      ["n-0", "idle"],
      ["n-1", "idle"],
    ],
  );
  add({ shards: 12, cpus: 4 }, "wk-1");
  const plan = planScaling(snapshot(), offers);
  assert.deepEqual(
    plan.scaleOut.map(({ offer, count, reasons }) => [offer.zone, offer.spot, count, [...reasons]]),
    [["west", false, 1, ["waiting"]]],
  );
  assert.deepEqual(plan.scaleIn, []);
  const [wanted] = plan.scaleOut;
  assert.ok(wanted !== undefined);
  const times = [0, 1, 2, 5, 9].map((count) => {
    const fresh = new CapacityBackoff();
    for (let grants = 0; grants <= count; grants += 1) fresh.recordGrant(wanted.offer, 2, 1, clock.now());
    return (fresh.until("big/west/false") - clock.now()) / 1_000_000;
  });
  assert.deepEqual(times, [4, 8, 16, 40, 40]);
  backoff.recordGrant(wanted.offer, 1, 0, clock.now());
  assert.equal(planScaling(snapshot(), offers).scaleOut[0]?.offer.zone, "east");
  backoff.recordGrant(wanted.offer, 1, 1, clock.now());
  assert.equal(planScaling(snapshot(), offers).scaleOut[0]?.offer.zone, "west");
});
