/** The memory of a controller: the heap's limit was given without regard to what the process needs beside its heap. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { maxHeapMb, oldGenerationMb } from "../src/settings/memory-budget.js";

/** The smallest controller that one deploy file is meant for (docs/overload.md). */
const SMALLEST = { memoryMb: 180, maxConnections: 3_500 };

test("the heap of the deploy file leaves the smallest controller room for all else that it needs", () => {
  const run = readFileSync("deploy/service.toml", "utf8");
  const heapMb = Number(/--max-old-space-size=(\d+)/.exec(run)?.[1]);
  assert.ok(heapMb <= maxHeapMb(SMALLEST), `${heapMb} MB of heap, ${maxHeapMb(SMALLEST)} MB are left for it`);
  assert.ok(run.includes("--max-semi-space-size=4 "), "the budget counts on three semi-spaces of 4 MB");
});

test("more connections leave less for the heap, more memory leaves more", () => {
  assert.ok(maxHeapMb({ ...SMALLEST, maxConnections: 7_000 }) < maxHeapMb(SMALLEST));
  assert.equal(maxHeapMb({ ...SMALLEST, memoryMb: 280 }), maxHeapMb(SMALLEST) + 100);
});

test("the old generation is the heap's limit without the young generation", () => {
  assert.equal(oldGenerationMb(108 * 1_048_576), 96);
});
