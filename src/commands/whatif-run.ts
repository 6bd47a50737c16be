/** The commands `whatif run` and `whatif verify`. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { ScenarioSpec } from "../whatif/index.js";
import { CommandError, formatDuration, Progress, printLine } from "./cli.js";
import { jobsCsv, outcomeText } from "./outcome-text.js";
import { PROGRAM_PATH, withWhatifPackage } from "./whatif-package.js";

interface RunFlags {
  readonly site?: string;
  readonly options?: string;
  readonly set: readonly string[];
  readonly seed: number;
  readonly until?: number;
  readonly add?: string;
  readonly at?: number;
  readonly fast?: boolean;
  readonly lenient?: boolean;
  readonly progress?: boolean;
  readonly json?: boolean;
  readonly out?: string;
  readonly record?: string;
}

/** The scenario that a trace and the flags of `whatif run` describe. */
export const scenarioSpecOf = (trace: string, flags: Partial<RunFlags>): ScenarioSpec => ({
  trace,
  mode: flags.fast === true ? "fast" : "faithful",
  ...(flags.site === undefined ? {} : { site: flags.site }),
  ...(flags.options === undefined ? {} : { options: flags.options }),
  ...(flags.set === undefined || flags.set.length === 0 ? {} : { set: flags.set }),
  ...(flags.add === undefined ? {} : { add: flags.add }),
  ...(flags.at === undefined ? {} : { atUs: flags.at }),
  ...(flags.until === undefined ? {} : { untilUs: flags.until }),
  ...(flags.lenient === true ? { lenient: true } : {}),
});

/** Replays a trace and prints how each job fares; writes the outcome and a new trace where flags ask for it. */
export const run = (trace: string, flags: RunFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    if (flags.at !== undefined && flags.add === undefined) throw new CommandError("--at goes with --add", true);
    const spec = scenarioSpecOf(trace, flags);
    const request = await whatif.prepare(spec, flags.seed);
    const progress = new Progress(flags.progress === true);
    const recording = flags.record === undefined ? null : new whatif.Recording(request.header);
    const outcome = await whatif.replay(spec, {
      ...request,
      progress: (now, ledger) => progress.show(`${formatDuration(now)} played, ${ledger.openJobs} jobs open`),
      ...(recording === null ? {} : { onPlayed: recording.played, witness: (now) => recording.witness(now) }),
    });
    progress.end();
    if (recording !== null && flags.record !== undefined) {
      await whatif.writeTrace(flags.record, { ...recording.header, site: request.site }, recording.events);
    }
    if (flags.out !== undefined) {
      mkdirSync(flags.out, { recursive: true });
      writeFileSync(join(flags.out, "outcome.json"), `${JSON.stringify(outcome, null, 1)}\n`);
      writeFileSync(join(flags.out, "jobs.csv"), jobsCsv(outcome));
    }
    printLine(flags.json === true ? JSON.stringify(outcome) : outcomeText(outcome));
  });

/** Delay of the first event, in microseconds. */
const WARM_UP_US = 6_000_000;

interface VerifyFlags {
  readonly seed: number;
  readonly port: number;
  readonly tie?: number;
  readonly json?: boolean;
  readonly progress?: boolean;
}

/**
 * Plays a trace on loopback in real time and in replay, and compares the order in which jobs finish. Throws a
 * `CommandError` if the orders differ.
 */
export const verify = (trace: string, flags: VerifyFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const { PortError } = await import("../model/index.js");
    const spec = scenarioSpecOf(trace, {});
    const prepared = await whatif.prepare(spec, flags.seed);
    // The controllers of both runs must be up and have listed the machines before the first event.
    const request = { ...prepared, events: prepared.events.map((event) => ({ ...event, at: event.at + WARM_UP_US })) };
    const progress = new Progress(flags.progress === true);
    const replayed = await whatif.replay(spec, request);
    const onLoopback = await whatif
      .playOnLoopback({
        ...request,
        port: flags.port,
        program: PROGRAM_PATH,
        onError: (what) => process.stderr.write(`rainridge: ${what}\n`),
        onSite: (site) => process.once("exit", () => site.kill()),
        progress: (now, ledger) =>
          progress.show(
            `${formatDuration(now)} of ${formatDuration(replayed.endedUs)} played, ${ledger.openJobs} jobs open`,
          ),
      })
      .catch((error: unknown) => {
        if (error instanceof PortError) throw new CommandError(error.message, true);
        throw error;
      });
    progress.end();
    const tieUs = flags.tie ?? request.site.workers.reportUs;
    const result = whatif.agreement(onLoopback, replayed, tieUs);
    if (flags.json === true)
      printLine(JSON.stringify({ ...result, tieUs, loopback: onLoopback.finishing, replay: replayed.finishing }));
    else {
      printLine(
        `${result.jobs} jobs finished in both; ${result.pairs} pairs, of which ${result.ties} within ${formatDuration(tieUs)} of each other (ties)`,
      );
      printLine(
        `finishing times differ by ${formatDuration(result.medianGapUs)} in the middle, ${formatDuration(result.mostGapUs)} at most`,
      );
      for (const id of result.onlyInOne) printLine(`  ${id} finished in one of the two only`);
      for (const { first, second, behindUs, aheadUs } of result.disorders) {
        printLine(
          `  ${first} before ${second} by ${formatDuration(behindUs)} on loopback, after it by ${formatDuration(aheadUs)} in the replay`,
        );
      }
      printLine(result.agrees ? "the finishing order is the same" : "the finishing orders differ");
    }
    if (!result.agrees) throw new CommandError(`${trace}: finishing orders differ`);
    process.exit(0);
  });
