/**
 * Runs all tests of a folder and tolerates the failures listed in KNOWN-RED.txt: `run.js [FOLDER [KNOWN-RED.txt]]`.
 * Exit status: 0 the run passes (see `evaluateRun`), 1 otherwise.
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { fileURLToPath } from "node:url";
import { evaluateRun, type KnownRed, MalformedLine, type Outcome, readKnownRed } from "./known-red.js";

const [folder = fileURLToPath(new URL(".", import.meta.url)), list = "KNOWN-RED.txt"] = process.argv.slice(2);

const knownRed = (): readonly KnownRed[] => {
  try {
    return existsSync(list) ? readKnownRed(readFileSync(list, "utf8")) : [];
  } catch (error) {
    if (!(error instanceof MalformedLine)) throw error;
    process.stderr.write(`${error.message}\n`);
    process.exit(1);
  }
};

const known = knownRed();
const files = readdirSync(folder)
  .filter((name) => name.endsWith(".test.js"))
  .map((name) => resolve(join(folder, name)));
const outcomes: Outcome[] = [];
const stream = run({ files, concurrency: true });
stream.on("test:pass", ({ name, skip }) => {
  outcomes.push({ name, result: skip === undefined || skip === false ? "passed" : "skipped" });
});
stream.on("test:fail", ({ name }) => {
  outcomes.push({ name, result: "failed" });
});
const report = stream.compose(new spec());
report.on("end", () => {
  const { passes, lines } = evaluateRun(known, outcomes);
  if (lines.length > 0) process.stdout.write(`\n${lines.join("\n")}\n`);
  process.exitCode = passes ? 0 : 1;
});
report.pipe(process.stdout);
