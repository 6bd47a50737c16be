import assert from "node:assert/strict";
import { test } from "node:test";
import { S } from "../src/model/index.js";
import type { Cluster } from "./sim/cluster.js";
import { CANCELLATION_BOUND, FAULTS, KNOWN_COMBINATIONS, submitLongJobs } from "./sim/fault-combinations.js";
import { assertRecovered, playFaultyDay } from "./sim/faulty-day.js";

/**
 * By hand: RAINRIDGE_MEETINGS=all plays all pairs at all offsets with three seeds, RAINRIDGE_PART=2/8 the second eighth of
 * them (docs/results.md).
 */
const ALL = process.env.RAINRIDGE_MEETINGS === "all";
const [PART = 1, PARTS = 1] = (process.env.RAINRIDGE_PART ?? "1/1").split("/").map(Number);
const OFFSETS = ALL ? [0, 3, 9, 23] : [3];
const MEETING_SEEDS = (process.env.RAINRIDGE_MEETING_SEEDS ?? (ALL ? "71,72,73" : "71")).split(",").map(Number);
/** In CI: each trouble with the next one but two in the list, so that each meets two others. */
const STEP = 3;

const names = Object.keys(FAULTS);
const pairs = names.flatMap((first, at) =>
  names.flatMap((second, other) => (ALL || other === (at + STEP) % names.length ? [[first, second] as const] : [])),
);

/** Once the last trouble has begun: the longest one, and what it held back, then the calm after it. */
const comesRight = async (cluster: Cluster): Promise<void> => {
  await cluster.run(65 * S);
  cluster.checker.calmFrom = cluster.world.now;
  await cluster.run(170 * S);
  const { longestUs } = cluster.checker.afterCancelled;
  assert.ok(longestUs <= CANCELLATION_BOUND, `${longestUs / S} of ${CANCELLATION_BOUND / S} s`);
  assertRecovered(cluster);
};

for (const [name, troubles] of Object.entries(KNOWN_COMBINATIONS)) {
  for (const mesh of [false, true]) {
    test(`${name}, mesh ${mesh ? "on" : "off"}`, async () => {
      for (const seed of MEETING_SEEDS) {
        const cluster = await playFaultyDay({ mesh, seed, more: submitLongJobs }, ...troubles);
        await cluster.run(45 * S);
        await comesRight(cluster);
      }
    });
  }
}

for (const [number, [first, second]] of pairs.entries()) {
  if (number % PARTS !== PART - 1) continue;
  for (const offset of OFFSETS) {
    for (const seed of MEETING_SEEDS) {
      test(`${first}; ${offset} s later: ${second} (seed ${seed})`, async () => {
        const cluster = await playFaultyDay({ mesh: seed % 2 === 1, seed, more: submitLongJobs });
        FAULTS[first]?.(cluster);
        await cluster.run(offset * S);
        FAULTS[second]?.(cluster);
        await comesRight(cluster);
      });
    }
  }
}
