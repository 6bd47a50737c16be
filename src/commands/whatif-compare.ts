/** The commands `whatif compare` and `whatif sweep`. */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Outcome, ScenarioSpec } from "../whatif/index.js";
import { CommandError, formatDuration, formatTable, Progress, printLine } from "./cli.js";
import { MAX_JOBS_SHOWN } from "./outcome-text.js";
import { withWhatifPackage } from "./whatif-package.js";
import { scenarioSpecOf } from "./whatif-run.js";

interface CompareFlags {
  readonly variant: readonly string[];
  readonly trace?: string;
  readonly seeds: number;
  readonly threads?: number;
  readonly fast?: boolean;
  readonly progress?: boolean;
  readonly json?: boolean;
  readonly html?: string;
  readonly svg?: string;
}

/** Parses `name:key=value,key=value`; a name alone stands for the trace without changed settings. */
const parseVariant = (text: string, flags: CompareFlags): { readonly name: string; readonly spec: ScenarioSpec } => {
  const at = text.indexOf(":");
  const name = at < 0 ? text : text.slice(0, at);
  const set = at < 0 ? [] : text.slice(at + 1).split(",");
  return { name, spec: { ...scenarioSpecOf(flags.trace ?? "", { ...flags, set }), name } };
};

const isOutcome = (value: unknown): value is Outcome =>
  typeof value === "object" && value !== null && "finishing" in value && "totals" in value;

/** Compares outcome files, or replays of scenarios and variants over several seeds; the first is the baseline. */
export const compareVariants = (files: readonly string[], flags: CompareFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    if (flags.variant.length > 0 && flags.trace === undefined)
      throw new CommandError("--variant goes with --trace", true);
    const fromFiles: { name: string; outcomes: Outcome[] }[] = [];
    const toReplay: { readonly name: string; readonly spec: ScenarioSpec }[] = [];
    for (const file of files) {
      const value = whatif.readJsonFile(file);
      if (isOutcome(value)) fromFiles.push({ name: file, outcomes: [value] });
      else {
        const spec = whatif.readScenario(file);
        toReplay.push({ name: spec.name ?? file, spec });
      }
    }
    toReplay.push(...flags.variant.map((text) => parseVariant(text, flags)));
    if (fromFiles.length + toReplay.length < 2)
      throw new CommandError("nothing to compare: two results, scenarios or variants at least", true);
    if (fromFiles.length > 0 && toReplay.length > 0)
      throw new CommandError("results and scenarios cannot be mixed: their seeds differ", true);
    const seeds =
      fromFiles.length > 0
        ? [fromFiles[0]?.outcomes[0]?.seed ?? 1]
        : Array.from({ length: flags.seeds }, (_, at) => at + 1);
    const progress = new Progress(flags.progress === true);
    const outcomes: Outcome[][] = toReplay.map(() => []);
    const cells = toReplay.flatMap(({ spec }, which) => seeds.map((seed, at) => ({ spec, seed, which, at })));
    let done = 0;
    await whatif.replayAll(cells, flags.threads ?? null, (id, outcome) => {
      const cell = cells[id];
      const list = cell === undefined ? undefined : outcomes[cell.which];
      if (cell !== undefined && list !== undefined) list[cell.at] = outcome;
      done += 1;
      progress.show(`${done} of ${cells.length} replays`);
    });
    progress.end();
    const variants = [...fromFiles, ...toReplay.map(({ name }, at) => ({ name, outcomes: outcomes[at] ?? [] }))];
    const comparison = whatif.compare(variants, seeds);
    if (flags.html !== undefined || flags.svg !== undefined) {
      const { report } = await whatif.loadReport();
      const { html, plots } = await report(`What if: ${comparison.variants.join(" or ")}`, comparison, variants);
      if (flags.html !== undefined) writeFileSync(flags.html, html);
      if (flags.svg !== undefined) {
        mkdirSync(flags.svg, { recursive: true });
        for (const [name, svg] of Object.entries(plots)) writeFileSync(join(flags.svg, `${name}.svg`), svg);
      }
    }
    if (flags.json === true) {
      printLine(JSON.stringify(comparison));
      return;
    }
    const { interval } = await whatif.loadReport();
    const [first, ...others] = comparison.variants;
    printLine(
      formatTable(
        ["figure", ...comparison.variants, ...others.map((name) => `${name} - ${first}`), ...others.map(() => "")],
        comparison.rows.map(({ metric, unit, values, differences, verdicts }) => [
          metric,
          ...values.map((value) => interval(value, unit)),
          ...differences.slice(1).map((difference) => interval(difference, unit)),
          ...verdicts.slice(1).map((verdict) => verdict ?? ""),
        ]),
      ),
    );
    for (const { name, becomesLate, noLongerLate } of comparison.changes) {
      for (const [change, jobs] of [
        ["becomes late", becomesLate],
        ["no longer late", noLongerLate],
      ] as const) {
        printLine(`\n${name}: ${jobs.length} ${change}`);
        for (const { job, jobClass, lateByUs } of jobs.slice(0, MAX_JOBS_SHOWN))
          printLine(`  ${job} (${jobClass}), by ${formatDuration(lateByUs)}`);
      }
    }
  });

interface SweepFlags {
  readonly out: string;
  readonly threads?: number;
  readonly progress?: boolean;
  readonly json?: boolean;
  readonly svg?: string;
}

/** Searches settings as a sweep file specifies. Results already in the file of `--out` are not computed again. */
export const runSweep = (file: string, flags: SweepFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const spec = whatif.readSweep(file);
    const log = new whatif.ResultLog(flags.out, spec);
    const progress = new Progress(flags.progress === true);
    try {
      await whatif.sweep(spec, log, flags.threads ?? null, (done, all) => progress.show(`${done} of ${all} cells`));
    } finally {
      log.close();
    }
    progress.end();
    const rows = whatif.rowsOf(spec, log.results);
    if (flags.svg !== undefined) {
      const { paretoPlot } = await whatif.loadPlots();
      const points = rows.flatMap(({ set, figures, front }) => {
        const [x, y] = [figures[spec.pareto.x], figures[spec.pareto.y]];
        return x === null || x === undefined || y === null || y === undefined
          ? []
          : [{ x, y, front, label: set.join(" ") }];
      });
      writeFileSync(flags.svg, await paretoPlot(points, spec.pareto.x, spec.pareto.y));
    }
    if (flags.json === true) {
      printLine(JSON.stringify(rows));
      return;
    }
    const names = Object.keys(rows[0]?.figures ?? {});
    printLine(
      formatTable(
        ["settings", "worth", "front", ...names],
        rows.map(({ set, worth, front, figures }) => [
          set.join(" "),
          worth.toFixed(3),
          front ? "*" : "",
          ...names.map((name) => figures[name]?.toFixed(3) ?? "-"),
        ]),
      ),
    );
  });
