/**
 * Compares the behaviour of two versions of the program over many seeded days; run after building the tests.
 *
 *   node target/test/test/behaviour-digest.js --seeds FROM-TO [--write FILE | --compare FILE]
 *   node target/test/test/behaviour-digest.js --trace SEED FILE
 *
 * `--write` saves after each day, so that an interrupted run keeps the finished days. `--trace` writes one line per
 * record: traces of two versions, compared with `cmp` or `diff`, show the first message that differs.
 * Exit status: 0 all days played and equal, 1 a day differs, failed or is missing in FILE, 2 usage.
 */
import { closeSync, openSync, writeSync } from "node:fs";
import { parseArgs } from "node:util";
import { type DayDigest, type DayDigests, dayDigest, readDigests, writeDigests } from "./sim/day-digest.js";

const USAGE = "usage: behaviour-digest.js --seeds FROM-TO [--write FILE | --compare FILE] | --trace SEED FILE";

type Comparison = "not compared" | "equal" | "different" | "nothing to compare with";

const compare = (actual: DayDigest, expected: DayDigests | null, seed: number): Comparison => {
  if (expected === null) return "not compared";
  const before = expected[seed];
  if (before === undefined) return "nothing to compare with";
  return before.sha256 === actual.sha256 && before.records === actual.records ? "equal" : "different";
};

const firstLineOf = (error: unknown): string =>
  String(error instanceof Error ? error.message : error).split("\n")[0] ?? "";

interface SeedRange {
  readonly first: number;
  readonly last: number;
}

const parseSeeds = (text: string | undefined): SeedRange | null => {
  const match = /^(\d+)-(\d+)$/.exec(text ?? "");
  if (match === null) return null;
  const range = { first: Number(match[1]), last: Number(match[2]) };
  return range.first <= range.last ? range : null;
};

const playSeeds = async ({ first, last }: SeedRange, writeTo?: string, compareTo?: string): Promise<boolean> => {
  const expected = compareTo === undefined ? null : readDigests(compareTo);
  const digests: Record<string, DayDigest> = {};
  const counts: Record<Comparison | "failed", number> = {
    equal: 0,
    different: 0,
    "nothing to compare with": 0,
    "not compared": 0,
    failed: 0,
  };
  for (let seed = first; seed <= last; seed += 1) {
    try {
      const digest = await dayDigest(seed);
      digests[seed] = digest;
      if (writeTo !== undefined) writeDigests(writeTo, digests);
      const comparison = compare(digest, expected, seed);
      counts[comparison] += 1;
      console.log(`seed ${seed}: ${digest.records} records, ${digest.sha256}, ${comparison}`);
    } catch (error) {
      counts.failed += 1;
      console.log(`seed ${seed}: failed: ${firstLineOf(error)}`);
    }
  }
  const summary = Object.entries(counts).map(([outcome, count]) => `${count} ${outcome}`);
  console.log(`${last - first + 1} days: ${summary.join(", ")}`);
  return counts.different + counts.failed + counts["nothing to compare with"] === 0;
};

const writeTrace = async (seed: number, file: string): Promise<void> => {
  const handle = openSync(file, "w");
  try {
    const { records, sha256 } = await dayDigest(seed, (line) => writeSync(handle, `${line}\n`));
    console.log(`seed ${seed}: ${records} records, ${sha256}, written to ${file}`);
  } finally {
    closeSync(handle);
  }
};

const main = async (): Promise<number> => {
  const { values, positionals } = parseArgs({
    options: {
      seeds: { type: "string" },
      write: { type: "string" },
      compare: { type: "string" },
      trace: { type: "string" },
    },
    allowPositionals: true,
  });
  const [traceFile] = positionals;
  if (values.trace !== undefined && traceFile !== undefined) {
    await writeTrace(Number(values.trace), traceFile);
    return 0;
  }
  const seeds = parseSeeds(values.seeds);
  if (seeds === null || (values.write !== undefined && values.compare !== undefined)) {
    console.error(USAGE);
    return 2;
  }
  return (await playSeeds(seeds, values.write, values.compare)) ? 0 : 1;
};

process.exitCode = await main();
