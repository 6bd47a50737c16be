import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { Ajv } from "ajv";
import { cancellationTerms } from "../src/settings/cancellation.js";
import { SettingsError } from "../src/settings/errors.js";
import { DEFAULT_OPTIONS, loadOptions, optionsSchema } from "../src/settings/options.js";
import { loadSettings, parseSettings } from "../src/settings/parse-settings.js";
import { shardLeaseDuration } from "../src/settings/shard-lease.js";
import { settingsText } from "./fixtures.js";

const assertRefused = (text: string, field: string): void => {
  assert.throws(
    () => parseSettings(text),
    (error) => error instanceof SettingsError && error.message.includes(field) && !error.message.includes("\n"),
    field,
  );
};

const withWorkerTimes = (leaseSeconds: number, cancelSeconds: number): string =>
  settingsText()
    .replace(/^lease_s.*$/m, `lease_s = ${leaseSeconds}.0`)
    .replace(/^cancel_s.*$/m, `cancel_s = ${cancelSeconds}.0`);

test("settings are read, and unknown fields are ignored", () => {
  const settings = parseSettings(`colour = "blue"\n${settingsText()}\n[deployment.moon]\nphase = 1\n`);
  assert.equal(settings.label, "ctl-0");
  assert.equal(settings.teams.get("capped")?.limit.cpu, 16_000);
  assert.equal(settings.teams.get("open")?.limit.cpu, null);
});

test("a one-line error names a missing or invalid field", () => {
  const valid = settingsText();
  assertRefused(valid.replace(/^label.*$/m, ""), "label");
  assertRefused(valid.replace(/^client_listen.*$/m, 'client_listen = "somewhere"'), "client_listen");
  assertRefused(valid.replace(/^report_s.*$/m, 'report_s = "often"'), "deployment.workers.report_s");
  assertRefused(valid.replace(/^txn_ops.*$/m, "txn_ops = 0"), "deployment.state.txn_ops");
  assertRefused(valid.replace(/^cancel_s.*$/m, "cancel_s = 12.0"), "cancel_s");
  assertRefused("label = ", "TOML");
});

test("shard lease and worker lease together stay below the cancellation bound", () => {
  for (const [lease, cancel] of [
    [36, 66],
    [22, 52],
    [10, 300],
    [5, 13],
    [3, 7],
  ] as const) {
    const settings = parseSettings(withWorkerTimes(lease, cancel));
    assert.ok(
      shardLeaseDuration(settings) + settings.workers.lease * 1.001 + 300_000 < settings.workers.cancellationBound,
    );
    // Including a start command that was in flight when the shard lease expired.
    const {
      shardLease,
      startCommand,
      workerLease,
      total,
      margin: left,
    } = cancellationTerms(settings.workers, shardLeaseDuration(settings));
    assert.equal(shardLease + startCommand + workerLease, total);
    assert.ok(startCommand >= 1_800_000 && workerLease > settings.workers.lease);
    assert.equal(total + left, settings.workers.cancellationBound);
    assert.ok(left > 0, `${lease} of ${cancel}: ${left}`);
  }
  // Was once accepted, although a delayed start command could arrive later than `cancel_s` allows.
  assertRefused(withWorkerTimes(3, 5), "deployment.workers.cancel_s");
  assertRefused(withWorkerTimes(20, 22), "deployment.workers.cancel_s");
});

test("operators' options are optional and checked against the schema", async () => {
  assert.deepEqual(await loadOptions(null), DEFAULT_OPTIONS);
  const file = join(mkdtempSync(join(tmpdir(), "rainridge-")), "options.json");
  writeFileSync(file, '{"kappa":0.5}');
  assert.deepEqual(await loadOptions(file), { ...DEFAULT_OPTIONS, kappa: 0.5 });
  for (const [text, word] of [
    ['{"kappa":2}', "kappa"],
    ['{"capa":1}', "capa"],
    ["{", "JSON"],
  ] as const) {
    writeFileSync(file, text);
    await assert.rejects(loadOptions(file), (error) => error instanceof SettingsError && error.message.includes(word));
  }
});

test("the interpreted and the compiled schema of the options accept the same values", async () => {
  const file = join(mkdtempSync(join(tmpdir(), "rainridge-")), "options.json");
  const compiled = new Ajv().compile(optionsSchema);
  const record = { folder: "traces", fileMb: 1, files: 2 };
  const values: readonly unknown[] = [
    ...[
      {},
      { kappa: 1 },
      { roundMs: 10 },
      { mesh: true },
      { record: null },
      { record },
      { graphs: null },
      { graphs: {} },
    ],
    ...[
      null,
      1,
      "text",
      [],
      { kappa: 0 },
      { kappa: "1" },
      { roundMs: 10.5 },
      { roundMs: 9 },
      { mesh: 1 },
      { idleReturnS: -1 },
    ],
    ...[
      { headroom: 21 },
      { silentReports: 1 },
      { other: 1 },
      { record: { ...record, files: 0 } },
      { record: { folder: "" } },
    ],
    ...[{ record: { ...record, other: 1 } }, { graphs: 1 }, { graphs: { mostRuns: -1 } }, { graphs: { other: 1 } }],
  ];
  for (const value of values) {
    writeFileSync(file, JSON.stringify(value));
    const accepted = await loadOptions(file).then(
      () => true,
      () => false,
    );
    assert.equal(accepted, compiled(value), JSON.stringify(value));
  }
});

test("a settings error has a code and its cause", async () => {
  const missing = join(mkdtempSync(join(tmpdir(), "rainridge-")), "missing");
  const hasCause = (error: unknown): boolean =>
    error instanceof SettingsError && error.code === "SETTINGS_INVALID" && error.cause instanceof Error;
  assert.throws(() => loadSettings(missing), hasCause);
  assert.throws(() => loadSettings(missing), { message: `${missing}: ENOENT` });
  assert.throws(() => parseSettings("label = "), hasCause);
  await assert.rejects(loadOptions(missing), hasCause);
  await assert.rejects(loadOptions(missing), { message: `${missing}: cannot be read` });
});
