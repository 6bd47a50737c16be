/** Leaders of the version before start tasks by direct commands, which may be delivered late: a leader of this version after one. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { explore, Play } from "./sim/event-orders.js";

for (const [name, onRecord] of [
  ["a start of an earlier leader", "up to date"],
  ["a start of an earlier leader that is not on record", "none"],
] as const) {
  test(`whatever comes in which order, ${name} runs nothing twice in a worker's next life, after a leader of the version before`, async () => {
    const delivers = { inherited: true, answered: false };
    const { broken } = await explore(4, () => new Play(undefined, delivers, onRecord, "first leader"));
    assert.equal(broken, null);
  });
}
