import assert from "node:assert/strict";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { dayDigest, readDigests } from "./sim/day-digest.js";

const FIXTURE = fileURLToPath(new URL("../../../test/fixtures/behaviour-digests.json", import.meta.url));

/** Command that writes a trace; comparing the traces of both versions shows the first message that differs. */
const traceCommand = (seed: number): string =>
  `node target/test/test/behaviour-digest.js --trace ${seed} FILE (on both versions, then cmp or diff)`;

const expected = readDigests(FIXTURE);

test("the fixture has digests of at least six days", () => {
  assert.ok(Object.keys(expected).length >= 6);
});

for (const [name, digest] of Object.entries(expected)) {
  const seed = Number(name);
  test(`the day of seed ${seed} sends and stores the same bytes at the same times`, async () => {
    const actual = await dayDigest(seed);
    assert.deepEqual(actual, digest, `behaviour differs; to see where: ${traceCommand(seed)}`);
  });
}

test("a day played twice in one process has the same digest", async () => {
  const seed = Number(Object.keys(expected)[0]);
  assert.deepEqual(await dayDigest(seed), await dayDigest(seed));
});
