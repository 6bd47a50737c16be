import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { judge, MalformedLine, type Outcome, readKnownRed } from "./known-red.js";

const LINE = "a | b: two, at once | the model has no such link | #34";

test("a line names the test, the cause and the issue; anything else is one line that names the place", () => {
  assert.deepEqual(readKnownRed(`${LINE}\n\n`), [
    { test: "a | b: two, at once", cause: "the model has no such link", issue: "#34" },
  ]);
  assert.deepEqual(readKnownRed(""), []);
  const wrong: readonly (readonly [string, RegExp])[] = [
    ["just a name", /^KNOWN-RED\.txt:1: not "test \| cause \| #issue"$/],
    [`${LINE}\na | b | 34`, /^KNOWN-RED\.txt:2: not /],
    [" | cause | #1", /^KNOWN-RED\.txt:1: not /],
    [`${LINE}\n${LINE}`, /^KNOWN-RED\.txt:2: .*: named twice$/],
    [[1, 2, 3, 4].map((at) => `t${at} | c | #1`).join("\n"), /^KNOWN-RED\.txt: 4 lines, 3 at most$/],
  ];
  for (const [text, message] of wrong) {
    assert.throws(
      () => readKnownRed(text),
      (error) => error instanceof MalformedLine && message.test(error.message) && !error.message.includes("\n"),
    );
  }
});

test("exactly the named failures are passed over and said; a name without a failing test is a fault", () => {
  const known = readKnownRed("red | c | #1");
  const outcome = (name: string, result: Outcome["result"]): Outcome => ({ name, result });
  const green = outcome("green", "passed");
  assert.deepEqual(judge([], [green]), { passes: true, lines: [] });
  assert.deepEqual(judge(known, [green, outcome("red", "failed")]), {
    passes: true,
    lines: ["known red: red | c | #1"],
  });
  const faults: readonly (readonly [readonly Outcome[], string])[] = [
    [[outcome("red", "failed"), outcome("other", "failed")], "failed: other"],
    [[outcome("red", "passed")], "KNOWN-RED.txt: passed, so its line has to go: red"],
    [[green, outcome("red", "skipped")], "KNOWN-RED.txt: skipped, so its line has to go: red"],
    [[green], "KNOWN-RED.txt: no such test: red"],
    [[outcome("red", "failed"), outcome("red", "failed")], "KNOWN-RED.txt: 2 tests have this name: red"],
  ];
  for (const [outcomes, line] of faults) {
    const { passes, lines } = judge(known, outcomes);
    assert.equal(passes, false, line);
    assert.ok(lines.includes(line), lines.join("; "));
  }
  assert.equal(judge([], []).passes, false, "nothing was run");
});

test("the run itself ends well or badly accordingly", () => {
  const folder = mkdtempSync(join(tmpdir(), "rainridge-"));
  const list = join(folder, "KNOWN-RED.txt");
  const program = fileURLToPath(new URL("run.js", import.meta.url));
  // Else the run inside would take itself for a part of this one.
  const { NODE_TEST_CONTEXT: _, ...env } = process.env;
  const play = (tests: string, known: string): { status: number | null; stdout: string; stderr: string } => {
    writeFileSync(join(folder, "package.json"), '{"type":"module"}');
    writeFileSync(join(folder, "a.test.js"), `import { test } from "node:test";\n${tests}`);
    writeFileSync(list, known);
    return spawnSync(process.execPath, [program, folder, list], { encoding: "utf8", env });
  };
  const green = 'test("green", () => undefined);';
  const red = 'test("red", () => { throw new Error("no"); });';
  assert.equal(play(green, "").status, 0);
  assert.equal(play(green + red, "").status, 1);
  const passedOver = play(green + red, "red | c | #1");
  assert.equal(passedOver.status, 0, passedOver.stdout);
  assert.match(passedOver.stdout, /\nknown red: red \| c \| #1\n$/);
  assert.match(passedOver.stdout, /ℹ pass 1\n/);
  assert.equal(play(green, "green | c | #1").status, 1);
  const malformed = play(green, "green");
  assert.deepEqual([malformed.status, malformed.stderr], [1, 'KNOWN-RED.txt:1: not "test | cause | #issue"\n']);
  // A file that can't even be loaded is no test with a name.
  assert.equal(play('throw new Error("no");', "red | c | #1").status, 1);
});
