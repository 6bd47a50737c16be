import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { settingsText } from "./fixtures.js";

const EXAMPLE = fileURLToPath(new URL("../../../examples/traces/night.jsonl.gz", import.meta.url));
const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));

test("check validates settings without serving, and an invalid file gives a one-line error", () => {
  // Guards against `serve` consuming the option --config, so that `check` reported it as missing.
  const file = join(mkdtempSync(join(tmpdir(), "rainridge-")), "settings.toml");
  writeFileSync(file, settingsText());
  const good = spawnSync(process.execPath, [MAIN, "check", "--config", file], { encoding: "utf8" });
  assert.equal(good.status, 0, good.stderr);
  // The bound of a cancellation as a sum of named terms: 10 + 1.8 + 20.12 s, of the 45 s of cancel_s.
  const [first, total, ...terms] = good.stdout.split("\n");
  assert.equal(first, "settings are valid");
  assert.match(total ?? "", /^cancelled tasks are gone after 31\.92 s at most, 13\.08 s before cancel_s is over:$/);
  assert.match(
    terms.join(" "),
    /10 s for a holder .* 1\.8 s for a start under way, +20\.12 s for the lease of the worker/,
  );
  const json = spawnSync(process.execPath, [MAIN, "check", "--json", "--config", file], { encoding: "utf8" });
  const cancellation = { rightS: 10, startS: 1.8, workerLeaseS: 20.12, totalS: 31.92, leftS: 13.08 };
  assert.deepEqual(JSON.parse(json.stdout), { valid: true, label: "ctl-0", cancellation });
  writeFileSync(file, settingsText().replace(/^area.*$/m, ""));
  const bad = spawnSync(process.execPath, [MAIN, "check", "--config", file], { encoding: "utf8" });
  assert.equal(bad.status, 2);
  assert.match(bad.stderr, /^rainridge: area: [^\n]*\n$/);
});

const call = (...args: string[]): { status: number | null; stdout: string; stderr: string } =>
  spawnSync(process.execPath, [MAIN, ...args], { encoding: "utf8", maxBuffer: 64 * 1024 * 1024 });

test("every options file under deploy/ conforms to the schema", () => {
  const deploy = fileURLToPath(new URL("../../../deploy/", import.meta.url));
  const file = join(mkdtempSync(join(tmpdir(), "rainridge-")), "settings.toml");
  writeFileSync(file, settingsText());
  const names = readdirSync(deploy).filter((name) => name.endsWith(".json"));
  assert.ok(names.includes("all-on.json") && names.includes("record.json") && names.includes("graphs.json"));
  for (const name of names) {
    const { status, stderr } = call("check", "--config", file, "--options", join(deploy, name));
    assert.equal(status, 0, `${name}: ${stderr}`);
  }
});

const GRAPH = fileURLToPath(new URL("../../../examples/graphs/charge-plan.yaml", import.meta.url));

test("graph files are checked, shown and drawn, and each error is one line", () => {
  const checked = call("graph", "check", GRAPH, "--json");
  assert.deepEqual(
    [checked.status, JSON.parse(checked.stdout)],
    [0, { valid: true, dag_id: "charge-plan", steps: 14 }],
  );
  const shown = call("graph", "show", GRAPH);
  assert.match(shown.stdout, /\n {4}plans\.region \(4 steps\)\n/);
  const folder = mkdtempSync(join(tmpdir(), "rainridge-"));
  const drawn = call("graph", "show", GRAPH, "--svg", join(folder, "g.svg"));
  assert.equal(drawn.status, 0, drawn.stderr);
  assert.match(readFileSync(join(folder, "g.svg"), "utf8"), /<svg[\s\S]*plans\.merged/);
  const file = join(folder, "bad.yaml");
  writeFileSync(file, readFileSync(GRAPH, "utf8").replace("- {task_id: tariffs}", "- {task_id: packs}"));
  const bad = call("graph", "check", file);
  assert.equal(bad.status, 1);
  assert.match(bad.stderr, /^rainridge: [^\n]*bad\.yaml:51:\d+: task_groups\[0\]\.tasks\[1\]\.task_id: [^\n]*\n$/);
  const settings = join(folder, "settings.toml");
  writeFileSync(settings, settingsText());
  const limits = call("graph", "check", GRAPH, "--config", settings);
  assert.match(limits.stderr, /step read\.packs: unknown team/);
  const first = call("graph", "jobs", GRAPH, "--id", "dr-a", "--ds", "2026-01-01").stdout.split("\n")[0] ?? "";
  assert.match((JSON.parse(first) as { job: { ref: string } }).job.ref, /^wk-dr-a\.[0-9a-f]{8}\.0000\.1$/);
  assert.equal(call("graph", "check", GRAPH, "--param", "rehearse=maybe").status, 1);
  assert.equal(call("graph", "check", "/no/such").status, 2);
});

test("the example trace from the README replays to the end", () => {
  const run = call("whatif", "run", EXAMPLE, "--fast", "--json");
  assert.equal(run.status, 0, run.stderr);
  const outcome = JSON.parse(run.stdout) as {
    ended: string;
    totals: { jobs: number; done: number };
    unmatched: unknown[];
  };
  assert.deepEqual([outcome.ended, outcome.totals.jobs, outcome.unmatched], ["finished", 99, []]);
});

test("wrong usage gives a one-line error and status 2, and the help of commands has examples", () => {
  for (const [args, message] of [
    [["whatif", "run", "/no/such/trace"], /^rainridge: \/no\/such\/trace: ENOENT\n$/],
    [["whatif", "run", EXAMPLE, "--set", "kappa=9"], /^rainridge: --set kappa: kappa: must be <= 1\n$/],
    [
      ["whatif", "run", EXAMPLE, "--until", "soon"],
      /^rainridge: option '--until <time>' argument 'soon' is invalid\. not a time/,
    ],
    [["whatif", "compare", EXAMPLE], /^rainridge: [^\n]*not JSON\n$/],
    [["dance"], /^rainridge: unknown command dance[^\n]*\n$/],
    [["local", "--machines", "1"], /^rainridge: --machines 1: must be 4 to 400\n$/],
  ] as const) {
    const { status, stderr } = call(...args);
    assert.deepEqual([status, message.test(stderr)], [2, true], `${args.join(" ")}: ${stderr}`);
  }
  const names = ["serve", "check", "submit", "show", "abort", "local"].map((name) => [name]);
  for (const name of ["run", "compare", "sweep", "verify", "record", "convert", "check", "synth"])
    names.push(["whatif", name]);
  for (const name of names.slice(0, 7)) {
    const { status, stdout } = call(...name, "--help");
    assert.equal(status, 0);
    assert.match(stdout, /Examples?:\n {2}rainridge /, name.join(" "));
  }
});

test("the local site exits with a one-line error if its port is in use", async () => {
  const server = createServer();
  const port = await new Promise<number>((resolve) => {
    server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number }).port));
  });
  const { status, stderr } = call("local", "--port", String(port));
  assert.deepEqual([status, stderr], [2, `rainridge: 127.0.0.1:${port}: port in use; another --port\n`]);
  await new Promise((resolve) => server.close(resolve));
});
