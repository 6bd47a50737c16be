/** The command `whatif load`. */
import { mkdirSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import type { LoadResult, LoadSpec } from "../whatif/index.js";
import { CommandError, formatDuration, formatTable, Progress, printLine } from "./cli.js";
import { withWhatifPackage } from "./whatif-package.js";

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

const parseFleetSizes = (text: string): readonly number[] =>
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
  result.reachedAt === null ? "none" : `${result.firstLimit} at ${formatDuration(result.reachedAt)}`,
];

const COLUMNS = [
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
export const measureLoad = (flags: LoadFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    if (flags.endAll >= flags.until && flags.endAll > 0) throw new CommandError("--end-all: not before --until", true);
    const boundedModes = flags.both === true ? [false, true] : [flags.unbounded !== true];
    const progress = new Progress(flags.progress === true);
    const results: LoadResult[] = [];
    for (const machines of parseFleetSizes(flags.machines)) {
      for (const bounded of boundedModes) {
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
        results.push(
          await whatif.playLoad(spec, (now) => progress.show(`${machines} machines: ${formatDuration(now)} played`)),
        );
      }
    }
    progress.end();
    if (flags.svg !== undefined) {
      const { loadPlot } = await whatif.loadPlots();
      mkdirSync(dirname(flags.svg), { recursive: true });
      writeFileSync(flags.svg, await loadPlot(results));
    }
    printLine(flags.json === true ? JSON.stringify(results) : formatTable(COLUMNS, results.map(rowOf)));
  });
