/**
 * Late delivery of direct start commands, which only leaders of the previous version send. Here the first leader runs
 * that version, and a leader of this version follows it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { explore, Scenario } from "./sim/event-orders.js";

for (const [name, onRecord] of [
  ["a start of an earlier leader", "up to date"],
  ["a start of an earlier leader that is not on record", "none"],
] as const) {
  test(`in every order of events, ${name} runs no task twice after a reset of the worker's counters, after a leader of the previous version`, async () => {
    const lateStarts = { inherited: true, answered: false };
    const { fault } = await explore(4, () => new Scenario(undefined, lateStarts, onRecord, "first leader"));
    assert.equal(fault, null);
  });
}
