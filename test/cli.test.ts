import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { settingsText } from "./fixtures.js";

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));

test("the settings can be checked without serving, and a bad one gives one line", () => {
  // The option used to be taken for the one of serving, and `check` asked for it again.
  const file = join(mkdtempSync(join(tmpdir(), "rainridge-")), "settings.toml");
  writeFileSync(file, settingsText());
  const good = spawnSync(process.execPath, [MAIN, "check", "--config", file], { encoding: "utf8" });
  assert.deepEqual([good.status, good.stdout], [0, "settings are valid\n"], good.stderr);
  writeFileSync(file, settingsText().replace(/^area.*$/m, ""));
  const bad = spawnSync(process.execPath, [MAIN, "check", "--config", file], { encoding: "utf8" });
  assert.equal(bad.status, 2);
  assert.match(bad.stderr, /^rainridge: area: [^\n]*\n$/);
});
