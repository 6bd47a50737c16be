/** The command `whatif graphs`. */
import type { GraphCost, GraphLoadResult, GraphLoadSpec, GraphShape } from "../whatif/index.js";
import { formatDuration, formatTable, Progress, printLine } from "./cli.js";
import { PROGRAM_PATH, withWhatifPackage } from "./whatif-package.js";

/** Flags of `whatif graphs`; times are in microseconds, writes per second. */
export interface GraphLoadFlags {
  readonly shape: GraphShape;
  readonly steps: number;
  readonly graphs: number;
  readonly machines: number;
  readonly writes: number;
  readonly run: number;
  readonly until: number;
  readonly over: number;
  readonly endAll: number;
  readonly seed: number;
  readonly loopback?: boolean;
  readonly cost?: boolean;
  readonly port: number;
  readonly json?: boolean;
}

const formatShortDuration = (us: number): string =>
  us < 10_000_000 ? `${(us / 1_000).toFixed(0)} ms` : formatDuration(us);

const rowsOf = (result: GraphLoadResult): readonly (readonly string[])[] => [
  ["runs ended", `${result.ended} of ${result.graphs}, ${result.steps} steps each`],
  ["lasted", formatDuration(result.lastedUs)],
  [
    "end to acceptance, half / 99 %",
    `${formatShortDuration(result.accepted.p50)} / ${formatShortDuration(result.accepted.p99)}`,
  ],
  [
    "end to start, half / 99 % / most",
    `${formatShortDuration(result.latency.p50)} / ${formatShortDuration(result.latency.p99)} / ${formatShortDuration(result.latency.most)}`,
  ],
  ...(result.recoveredUs === null ? [] : [["all runs read again after", formatDuration(result.recoveredUs)]]),
  ["graphs' own writes a step", result.ownWrites.toFixed(3)],
  ["all writes a step", result.allWrites.toFixed(2)],
];

const costRows = (cost: GraphCost): readonly (readonly string[])[] => [
  ["runs", `${cost.graphs} of ${cost.steps} steps`],
  ["compiled in", formatShortDuration(cost.compileUs)],
  ["plan on record", `${cost.planBytes} bytes`],
  [
    "memory of all runs",
    cost.heapBytes === null ? "needs node --expose-gc" : `${(cost.heapBytes / 1e6).toFixed(1)} MB`,
  ],
  ["processor time a step", `${cost.stepUs.toFixed(1)} µs`],
  ["steps looked at, a step", cost.looksPerStep.toFixed(2)],
];

/** Measures the delay from the end of a step to the start of the next, and the writes to the state service per step. */
export const measureGraphLoad = (flags: GraphLoadFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const spec: GraphLoadSpec = {
      shape: flags.shape,
      steps: flags.steps,
      graphs: flags.graphs,
      machines: flags.machines,
      writesPerS: flags.writes,
      runUs: flags.run,
      untilUs: flags.until,
      overUs: flags.over,
      endAllAtUs: flags.endAll === 0 ? null : flags.endAll,
      seed: flags.seed,
      loopback: flags.loopback === true ? { port: flags.port, program: PROGRAM_PATH } : null,
    };
    if (flags.cost === true) {
      const cost = await whatif.graphCost(spec);
      printLine(flags.json === true ? JSON.stringify(cost) : formatTable(["", flags.shape], costRows(cost)));
      return;
    }
    const progress = new Progress(true);
    const result = await whatif.playGraphLoad(spec, (now, ended) =>
      progress.show(`${formatDuration(now)}: ${ended} of ${flags.graphs} ended`),
    );
    progress.end();
    printLine(flags.json === true ? JSON.stringify(result) : formatTable(["", `${flags.shape}`], rowsOf(result)));
    process.exit(0);
  });
