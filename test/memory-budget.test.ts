/** Guards against a heap limit in the deploy file that leaves the process too little memory outside the heap. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { maxHeapMb, oldGenerationMb } from "../src/settings/memory-budget.js";

/** The smallest controller that the deploy file is meant for (docs/overload.md). */
const SMALLEST = { memoryMb: 180, maxConnections: 3_500 };

test("the heap limit of the deploy file fits into the memory budget of the smallest controller", () => {
  const run = readFileSync("deploy/service.toml", "utf8");
  const heapMb = Number(/--max-old-space-size=(\d+)/.exec(run)?.[1]);
  assert.ok(heapMb <= maxHeapMb(SMALLEST), `heap limit of ${heapMb} MB, expected at most ${maxHeapMb(SMALLEST)} MB`);
  assert.ok(run.includes("--max-semi-space-size=4 "), "the budget assumes three semi-spaces of 4 MB");
});

test("the largest heap limit shrinks with more connections and grows with more memory", () => {
  assert.ok(maxHeapMb({ ...SMALLEST, maxConnections: 7_000 }) < maxHeapMb(SMALLEST));
  assert.equal(maxHeapMb({ ...SMALLEST, memoryMb: 280 }), maxHeapMb(SMALLEST) + 100);
});

test("the old generation limit is the heap limit minus the young generation", () => {
  assert.equal(oldGenerationMb(108 * 1_048_576), 96);
});
