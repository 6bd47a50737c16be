/** Leaders of the version before start tasks by direct commands, which may be delivered late: such leaders only. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { explore, Play } from "./sim/event-orders.js";

for (const [name, onRecord] of [
  ["a start of an earlier leader", "up to date"],
  ["a start of an earlier leader that is not on record", "none"],
] as const) {
  test(`whatever comes in which order, ${name} runs nothing twice in a worker's next life, under leaders of the version before`, async () => {
    const delivers = { inherited: true, answered: false };
    const { broken } = await explore(4, () => new Play(undefined, delivers, onRecord, "all leaders"));
    assert.equal(broken, null);
  });
}

test("the exploration catches a copy of an answered direct start in a worker's next life", async () => {
  const delivers = { inherited: false, answered: true };
  const { broken } = await explore(4, () => new Play(undefined, delivers, "up to date", "all leaders"));
  assert.match(broken ?? "nothing found", /runs where it was called gone/);
});
