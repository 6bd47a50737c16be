/** The command `whatif load`. */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import type { LoadResult, LoadSpec } from "../whatif/index.js";
import { CommandError, Progress, say, span, table } from "./cli.js";
import { withWhatif } from "./with-whatif.js";

/** Flags of `whatif load`; times are in microseconds, memory in MB. */
export interface LoadFlags {
  readonly machines: string;
  readonly core: number;
  readonly memory: number;
  readonly sockets: number;
  readonly report: number;
  readonly lease: number;
  readonly writes: number;
  readonly until: number;
  readonly endAll: number;
  readonly unbounded?: boolean;
  readonly both?: boolean;
  readonly seed: number;
  readonly progress?: boolean;
  readonly json?: boolean;
  readonly svg?: string;
}

const sizesOf = (text: string): readonly number[] =>
  text.split(",").map((part) => {
    if (!/^\d{1,6}$/.test(part) || Number(part) < 1) throw new CommandError(`--machines ${part}: not a number`, true);
    return Number(part);
  });

const percent = (share: number): string => `${(share * 100).toFixed(0)}%`;

const rowOf = (result: LoadResult): readonly string[] => [
  String(result.machines),
  result.bounded ? "yes" : "no",
  String(result.up),
  String(result.running),
  percent(result.processor),
  percent(result.sockets),
  String(result.refused),
  `${result.turnedAway} of ${result.submissions}`,
  String(result.killedByLease),
  String(result.ended),
  result.reachedAt === null ? "none" : `${result.firstLimit} at ${span(result.reachedAt)}`,
];

const HEAD = [
  "machines",
  "bounded",
  "up",
  "tasks",
  "processor",
  "sockets",
  "refused",
  "turned away",
  "killed by lease",
  "processes ended",
  "first limit",
];

/** Simulates controllers with fleets of several sizes, and prints their load and the first limit that each reaches. */
export const load = (flags: LoadFlags): Promise<void> =>
  withWhatif(async (whatif) => {
    if (flags.endAll >= flags.until && flags.endAll > 0) throw new CommandError("--end-all: not before --until", true);
    const kinds = flags.both === true ? [false, true] : [flags.unbounded !== true];
    const progress = new Progress(flags.progress === true);
    const results: LoadResult[] = [];
    for (const machines of sizesOf(flags.machines)) {
      for (const bounded of kinds) {
        const spec: LoadSpec = {
          machines,
          bounded,
          controller: { cpuShare: flags.core, memoryMb: flags.memory, connections: flags.sockets },
          reportUs: flags.report,
          leaseUs: flags.lease,
          writesPerS: flags.writes,
          endAllAtUs: flags.endAll === 0 ? null : flags.endAll,
          untilUs: flags.until,
          seed: flags.seed,
        };
        results.push(await whatif.playLoad(spec, (now) => progress.show(`${machines} machines: ${span(now)} played`)));
      }
    }
    progress.end();
    if (flags.svg !== undefined) {
      const { loadPlot } = await whatif.loadPlots();
      mkdirSync(dirname(flags.svg), { recursive: true });
      writeFileSync(flags.svg, await loadPlot(results));
    }
    say(flags.json === true ? JSON.stringify(results) : table(HEAD, results.map(rowOf)));
  });
