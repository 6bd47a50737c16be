/**
 * Direct start commands may be delivered late: a leader of this version after one of the previous version, which sends
 * them.
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
