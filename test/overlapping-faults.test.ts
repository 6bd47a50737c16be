import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import type { Cluster } from "./sim/cluster.js";
import { CANCELLATION_BOUND, FAULTS, KNOWN_COMBINATIONS, submitLongJobs } from "./sim/fault-combinations.js";
import { assertRecovered, playFaultyDay } from "./sim/faulty-day.js";

/**
 * Manual runs: RAINRIDGE_MEETINGS=all runs all pairs at all offsets with three seeds, RAINRIDGE_PART=2/8 the second
 * eighth of them (docs/results.md).
 */
const ALL = process.env.RAINRIDGE_MEETINGS === "all";
const [PART = 1, PARTS = 1] = (process.env.RAINRIDGE_PART ?? "1/1").split("/").map(Number);
const OFFSETS = ALL ? [0, 3, 9, 23] : [3];
const SEEDS = (process.env.RAINRIDGE_MEETING_SEEDS ?? (ALL ? "71,72,73" : "71")).split(",").map(Number);
/** In CI, each fault is paired with the one three places further in the list, so that it overlaps with two others. */
const PAIR_DISTANCE = 3;

const names = Object.keys(FAULTS);
const pairs = names.flatMap((first, at) =>
  names.flatMap((second, other) =>
    ALL || other === (at + PAIR_DISTANCE) % names.length ? [[first, second] as const] : [],
  ),
);

/**
 * Called when the last fault has begun. Runs until the longest fault has ended and delayed messages have been
 * delivered, and then through a period without faults in which the cluster must recover.
 */
const runToRecovery = async (cluster: Cluster): Promise<void> => {
  await cluster.run(65 * S);
  cluster.checker.faultsEndedAt = cluster.world.now;
  await cluster.run(170 * S);
  const { longestUs } = cluster.checker.afterCancelled;
  assert.ok(longestUs <= CANCELLATION_BOUND, `${longestUs / S} of ${CANCELLATION_BOUND / S} s`);
  assertRecovered(cluster);
};

for (const [name, faults] of Object.entries(KNOWN_COMBINATIONS)) {
  for (const mesh of [false, true]) {
    test(`${name}, mesh ${mesh ? "on" : "off"}`, async () => {
      for (const seed of SEEDS) {
        const cluster = await playFaultyDay({ mesh, seed, submitExtraJobs: submitLongJobs }, ...faults);
        await cluster.run(45 * S);
        await runToRecovery(cluster);
      }
    });
  }
}

for (const [number, [first, second]] of pairs.entries()) {
  if (number % PARTS !== PART - 1) continue;
  for (const offset of OFFSETS) {
    for (const seed of SEEDS) {
      test(`${first}; ${offset} s later: ${second} (seed ${seed})`, async () => {
        const cluster = await playFaultyDay({ mesh: seed % 2 === 1, seed, submitExtraJobs: submitLongJobs });
        FAULTS[first]?.(cluster);
        await cluster.run(offset * S);
        FAULTS[second]?.(cluster);
        await runToRecovery(cluster);
      });
    }
  }
}
