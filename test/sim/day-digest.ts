/** Digests of random days: equal digests mean that two versions of the program sent and stored the same bytes. */
import { createHash } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { BUSY_PERIOD, LONGEST_FAULT, randomDay } from "./random-day.js";
import { type LineListener, TrafficRecorder } from "./traffic-recorder.js";

/** Digest of the recorded traffic of one day. */
export interface DayDigest {
  /** Lines of the recorder: requests, responses, frames and changes of keys. */
  readonly records: number;
  /** SHA-256 over these lines, each with its line end, in hexadecimal. */
  readonly sha256: string;
}

/** Digests by seed. */
export type DayDigests = Readonly<Record<string, DayDigest>>;

/** Plays the day of a seed until its last fault has ended; `onLine` receives every record, for a trace. */
export const dayDigest = async (seed: number, onLine: LineListener = () => undefined): Promise<DayDigest> => {
  const cluster = randomDay(seed);
  const hash = createHash("sha256");
  let records = 0;
  new TrafficRecorder(cluster, (line) => {
    records += 1;
    hash.update(line);
    hash.update("\n");
    onLine(line);
  });
  await cluster.run(BUSY_PERIOD + LONGEST_FAULT);
  return { records, sha256: hash.digest("hex") };
};

export const readDigests = (file: string): DayDigests => JSON.parse(readFileSync(file, "utf8")) as DayDigests;

/** Writes one line per seed, so that a change of one day changes one line. */
export const writeDigests = (file: string, digests: DayDigests): void => {
  const lines = Object.entries(digests).map(([seed, { records, sha256 }]) => {
    return `  "${seed}": { "records": ${records}, "sha256": "${sha256}" }`;
  });
  writeFileSync(file, `{\n${lines.join(",\n")}\n}\n`);
};
