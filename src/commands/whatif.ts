import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Command } from "commander";
import type { Outcome, Remark, ScenarioSpec } from "../whatif/index.js";
import { CommandError, collect, duration, Progress, say, span, table, wholeNumber } from "./cli.js";

type Whatif = typeof import("../whatif/index.js");

/** The package loads only when it is used; its own errors are one line, and the call is at fault. */
const withWhatif = async (run: (whatif: Whatif) => Promise<void>): Promise<void> => {
  const whatif = await import("../whatif/index.js");
  try {
    await run(whatif);
  } catch (error) {
    if (error instanceof whatif.TraceError) throw new CommandError(error.message, true);
    throw error;
  }
};

const remarkLine = ({ line, what }: Remark): string => (line === 0 ? what : `line ${line}: ${what}`);
const percent = (share: number | null): string => (share === null ? "-" : `${(share * 100).toFixed(1)} %`);

const ENDED: Readonly<Record<Outcome["ended"], string>> = {
  finished: "nothing was left to do",
  until: "the time set was over",
  stuck: "nothing moved any more, though jobs were open",
};

const LATE_SHOWN = 20;

/** A result for a person. */
export const summaryOf = (outcome: Outcome): string => {
  const { totals, waits, byCause, jobs, unmatched, remarks } = outcome;
  const parts = [
    `${outcome.trace}, ${outcome.mode} model, seed ${outcome.seed}: ended after ${span(outcome.endedUs)}, ${ENDED[outcome.ended]}`,
    "",
    table(
      ["jobs", "done", "late", "never started", "starts", "stopped", "lost", "failed"],
      [
        [
          totals.jobs,
          totals.done,
          totals.late,
          totals.neverStarted,
          totals.starts,
          totals.stopped,
          totals.lost,
          totals.failed,
        ].map(String),
      ],
    ),
    "",
    table(
      ["machines", "refusals", "cost", "price", "utilisation"],
      [
        [
          String(totals.machines),
          String(totals.refusals),
          totals.cost.toFixed(2),
          totals.price === null ? "-" : totals.price.toFixed(2),
          percent(totals.utilisation),
        ],
      ],
    ),
    "",
    table(
      ["class", "first starts", "half within", "90 % within", "99 % within", "longest"],
      Object.entries(waits).map(([name, wait]) => [
        name,
        String(wait.starts),
        span(wait.p50Us),
        span(wait.p90Us),
        span(wait.p99Us),
        span(wait.mostUs),
      ]),
    ),
    "",
    table(
      ["starts by what kept them", "starts"],
      Object.entries(byCause).map(([cause, count]) => [cause, String(count)]),
    ),
  ];
  const late = jobs
    .filter(({ lateUs }) => lateUs !== null && lateUs > 0)
    .sort((a, b) => (b.lateUs ?? 0) - (a.lateUs ?? 0));
  if (late.length > 0) {
    parts.push(
      "",
      table(
        ["late job", "class", "state", "late by"],
        late.slice(0, LATE_SHOWN).map(({ id, jobClass, phase, lateUs }) => [id, jobClass, phase, span(lateUs)]),
      ),
    );
    if (late.length > LATE_SHOWN) parts.push(`and ${late.length - LATE_SHOWN} more`);
  }
  const never = jobs.filter(
    ({ phase }) => phase === "never started" || phase === "refused" || phase === "not accepted",
  );
  if (never.length > 0) {
    parts.push(
      "",
      table(
        ["job without a start", "state"],
        never.slice(0, LATE_SHOWN).map(({ id, phase }) => [id, phase]),
      ),
    );
    if (never.length > LATE_SHOWN) parts.push(`and ${never.length - LATE_SHOWN} more`);
  }
  if (unmatched.length > 0) {
    parts.push("", "Events without a counterpart in this replay:");
    for (const { at, event, about, why } of unmatched) parts.push(`  ${span(at)}: ${event} ${about}: ${why}`);
  }
  if (remarks.length > 0) {
    parts.push("", "Remarks:");
    for (const remark of remarks) parts.push(`  ${remarkLine(remark)}`);
  }
  return parts.join("\n");
};

const csvOf = (outcome: Outcome): string => {
  const head = [
    "job",
    "class",
    "team",
    "rank",
    "tasks",
    "state",
    "submitUs",
    "firstStartUs",
    "finishUs",
    "waitUs",
    "dueUs",
    "lateUs",
  ];
  const rows = outcome.jobs.map((job) =>
    [
      job.id,
      job.jobClass,
      job.team,
      job.rank,
      job.tasks,
      job.phase,
      job.submitUs,
      job.firstStartUs,
      job.finishUs,
      job.waitUs,
      job.dueUs,
      job.lateUs,
    ]
      .map((value) => (value === null ? "" : String(value)))
      .map((value) => (/[",\n]/.test(value) ? `"${value.replaceAll('"', '""')}"` : value))
      .join(","),
  );
  return `${[head.join(","), ...rows].join("\n")}\n`;
};

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

export const specOf = (trace: string, flags: Partial<RunFlags>): ScenarioSpec => ({
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

const run = (trace: string, flags: RunFlags): Promise<void> =>
  withWhatif(async (whatif) => {
    if (flags.at !== undefined && flags.add === undefined) throw new CommandError("--at goes with --add", true);
    const spec = specOf(trace, flags);
    const request = await whatif.prepare(spec, flags.seed);
    const progress = new Progress(flags.progress === true);
    const recording = flags.record === undefined ? null : new whatif.Recording(request.header);
    const outcome = await whatif.replay(spec, {
      ...request,
      progress: (now, ledger) => progress.show(`${span(now)} played, ${ledger.openJobs} jobs open`),
      ...(recording === null ? {} : { onPlayed: recording.played, witness: (now) => recording.witness(now) }),
    });
    progress.end();
    if (recording !== null && flags.record !== undefined) {
      await whatif.writeTrace(flags.record, { ...recording.header, site: request.site }, recording.events);
    }
    if (flags.out !== undefined) {
      mkdirSync(flags.out, { recursive: true });
      writeFileSync(join(flags.out, "outcome.json"), `${JSON.stringify(outcome, null, 1)}\n`);
      writeFileSync(join(flags.out, "jobs.csv"), csvOf(outcome));
    }
    say(flags.json === true ? JSON.stringify(outcome) : summaryOf(outcome));
  });

const check = (file: string, flags: { readonly json?: boolean; readonly lenient?: boolean }): Promise<void> =>
  withWhatif(async (whatif) => {
    const { header, events, remarks } = await whatif.readTrace(file, flags.lenient === true);
    const counts = new Map<string, number>();
    let tasks = 0;
    for (const event of events) {
      counts.set(event.event, (counts.get(event.event) ?? 0) + 1);
      if (event.event === "submit") tasks += event.job.shards;
    }
    const spanUs = events.at(-1)?.at ?? 0;
    if (flags.json === true) {
      say(
        JSON.stringify({
          site: header.site.name,
          source: header.source,
          spanUs,
          tasks,
          events: Object.fromEntries(counts),
          remarks,
        }),
      );
      return;
    }
    say(
      `${file}: site ${header.site.name}, ${header.source}, ${span(spanUs)}, ${tasks} tasks, ${header.standing.length} machines at the beginning`,
    );
    say(
      table(
        ["event", "count"],
        [...counts].map(([kind, count]) => [kind, String(count)]),
      ),
    );
    for (const remark of remarks) say(remarkLine(remark));
  });

const synth = (
  file: string,
  flags: { readonly out: string; readonly seed?: number; readonly json?: boolean },
): Promise<void> =>
  withWhatif(async (whatif) => {
    const given = whatif.readSynthSpec(whatif.readJsonFile(file), file);
    const { header, events } = whatif.synthesize({ ...given, seed: flags.seed ?? given.seed });
    await whatif.writeTrace(flags.out, header, events);
    const jobs = events.filter(({ event }) => event === "submit").length;
    say(
      flags.json === true
        ? JSON.stringify({ out: flags.out, events: events.length, jobs })
        : `${flags.out}: ${jobs} jobs, ${events.length} events`,
    );
  });

/** What if: replaying traces against changed policies. */
export const addWhatif = (program: Command): void => {
  const group = program
    .command("whatif")
    .description("replay a trace against a changed policy, compare, and search for better settings")
    // Subcommands made later inherit it from here only if it is set before.
    .enablePositionalOptions();
  group
    .command("run <trace>")
    .description("replay a trace and tell how each job fares")
    .option("--site <file>", "a site (JSON) in place of the trace's own")
    .option("--options <file>", "operators' settings (JSON)")
    .option(
      "--set <key=value>",
      "change a setting: kappa=0.3, teams.search.cpusMax=64, jobs.reindex.rank=normal, capacity.large.east.spot=4 (repeatable)",
      collect,
      [],
    )
    .option("--seed <n>", "luck: boots, fetches, speeds, delays", wholeNumber, 1)
    .option("--until <time>", "end after this time of the trace, such as 90m", duration)
    .option("--add <trace>", "add the load of a second trace")
    .option("--at <time>", "when the second trace begins, such as 2h", duration)
    .option("--fast", "the fast model: decisions only, times in place of requests")
    .option("--lenient", "leave faulty events out, and say so, instead of refusing the trace")
    .option("--progress", "tell how far it has come")
    .option("--json", "the whole result as JSON")
    .option("--out <dir>", "write outcome.json and jobs.csv there")
    .option("--record <file>", "record the replay as a trace of its own")
    .addHelpText(
      "after",
      `
Examples:
  rainridge whatif run examples/traces/night.jsonl.gz
  rainridge whatif run night.jsonl.gz --set teams.search.cpusMax=64 --set kappa=0.3 --fast
  rainridge whatif run reindex.jsonl.gz --add export.jsonl.gz --at 2h --out result`,
    )
    .action(run);
  group
    .command("check <trace>")
    .description("check a trace: the first fault is named by line and field")
    .option("--lenient", "list faulty events instead of stopping at the first")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif check night.jsonl.gz")
    .action(check);
  group
    .command("synth <spec>")
    .description("draw a trace from distributions, with troubles at set times")
    .requiredOption("--out <file>", "trace to write (.gz: compressed)")
    .option("--seed <n>", "in place of the specification's", wholeNumber)
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif synth examples/traces/night.json --out night.jsonl.gz")
    .action(synth);
};
