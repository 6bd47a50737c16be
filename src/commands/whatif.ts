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

/** `name:key=value,key=value`; a name alone is the trace as it stands. */
const variantSpec = (text: string, flags: CompareFlags): { readonly name: string; readonly spec: ScenarioSpec } => {
  const at = text.indexOf(":");
  const name = at < 0 ? text : text.slice(0, at);
  const set = at < 0 ? [] : text.slice(at + 1).split(",");
  return { name, spec: { ...specOf(flags.trace ?? "", { ...flags, set }), name } };
};

const isOutcome = (value: unknown): value is Outcome =>
  typeof value === "object" && value !== null && "finishing" in value && "totals" in value;

const compareVariants = (files: readonly string[], flags: CompareFlags): Promise<void> =>
  withWhatif(async (whatif) => {
    if (flags.variant.length > 0 && flags.trace === undefined)
      throw new CommandError("--variant goes with --trace", true);
    const ready: { name: string; outcomes: Outcome[] }[] = [];
    const open: { readonly name: string; readonly spec: ScenarioSpec }[] = [];
    for (const file of files) {
      const value = whatif.readJsonFile(file);
      if (isOutcome(value)) ready.push({ name: file, outcomes: [value] });
      else {
        const spec = whatif.readScenario(file);
        open.push({ name: spec.name ?? file, spec });
      }
    }
    open.push(...flags.variant.map((text) => variantSpec(text, flags)));
    if (ready.length + open.length < 2)
      throw new CommandError("nothing to compare: two results, scenarios or variants at least", true);
    if (ready.length > 0 && open.length > 0)
      throw new CommandError("results and scenarios cannot be mixed: their seeds differ", true);
    const seeds =
      ready.length > 0 ? [ready[0]?.outcomes[0]?.seed ?? 1] : Array.from({ length: flags.seeds }, (_, at) => at + 1);
    const progress = new Progress(flags.progress === true);
    const outcomes: Outcome[][] = open.map(() => []);
    const cells = open.flatMap(({ spec }, which) => seeds.map((seed, at) => ({ spec, seed, which, at })));
    let done = 0;
    await whatif.replayAll(cells, flags.threads ?? null, (id, outcome) => {
      const cell = cells[id];
      const list = cell === undefined ? undefined : outcomes[cell.which];
      if (cell !== undefined && list !== undefined) list[cell.at] = outcome;
      done += 1;
      progress.show(`${done} of ${cells.length} replays`);
    });
    progress.end();
    const variants = [...ready, ...open.map(({ name }, at) => ({ name, outcomes: outcomes[at] ?? [] }))];
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
      say(JSON.stringify(comparison));
      return;
    }
    const { interval } = await whatif.loadReport();
    const [first, ...others] = comparison.variants;
    say(
      table(
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
      for (const [what, jobs] of [
        ["becomes late", becomesLate],
        ["no longer late", noLongerLate],
      ] as const) {
        say(`\n${name}: ${jobs.length} ${what}`);
        for (const { job, jobClass, lateByUs } of jobs.slice(0, LATE_SHOWN))
          say(`  ${job} (${jobClass}), by ${span(lateByUs)}`);
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

const runSweep = (file: string, flags: SweepFlags): Promise<void> =>
  withWhatif(async (whatif) => {
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
      say(JSON.stringify(rows));
      return;
    }
    const names = Object.keys(rows[0]?.figures ?? {});
    say(
      table(
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

const LEAD = 6_000_000;

interface VerifyFlags {
  readonly seed: number;
  readonly port: number;
  readonly tie?: number;
  readonly json?: boolean;
  readonly progress?: boolean;
}

const verify = (trace: string, flags: VerifyFlags): Promise<void> =>
  withWhatif(async (whatif) => {
    const [{ PortError }, { PROGRAM }] = await Promise.all([import("../model/index.js"), import("./local.js")]);
    const spec = specOf(trace, {});
    const given = await whatif.prepare(spec, flags.seed);
    // In both runs the controllers have come up and listed the machines before the first event.
    const request = { ...given, events: given.events.map((event) => ({ ...event, at: event.at + LEAD })) };
    const progress = new Progress(flags.progress === true);
    const replayed = await whatif.replay(spec, request);
    const real = await whatif
      .playOnLoopback({
        ...request,
        port: flags.port,
        program: PROGRAM,
        onError: (what) => process.stderr.write(`rainridge: ${what}\n`),
        onSite: (site) => process.once("exit", () => site.kill()),
        progress: (now, ledger) =>
          progress.show(`${span(now)} of ${span(replayed.endedUs)} played, ${ledger.openJobs} jobs open`),
      })
      .catch((error: unknown) => {
        if (error instanceof PortError) throw new CommandError(error.message, true);
        throw error;
      });
    progress.end();
    const tieUs = flags.tie ?? request.site.workers.reportUs;
    const result = whatif.agreement(real, replayed, tieUs);
    if (flags.json === true)
      say(JSON.stringify({ ...result, tieUs, loopback: real.finishing, replay: replayed.finishing }));
    else {
      say(
        `${result.jobs} jobs finished in both; ${result.pairs} pairs, of which ${result.ties} within ${span(tieUs)} of each other (ties)`,
      );
      say(`finishing times differ by ${span(result.medianGapUs)} in the middle, ${span(result.mostGapUs)} at most`);
      for (const id of result.onlyInOne) say(`  ${id} finished in one of the two only`);
      for (const { first, second, behindUs, aheadUs } of result.disorders) {
        say(`  ${first} before ${second} by ${span(behindUs)} on loopback, after it by ${span(aheadUs)} in the replay`);
      }
      say(result.agrees ? "the finishing order is the same" : "the finishing orders differ");
    }
    if (!result.agrees) throw new CommandError(`${trace}: finishing orders differ`);
    process.exit(0);
  });

interface ConvertFlags {
  readonly out: string;
  readonly config?: string;
  readonly json?: boolean;
}

const settingsFrom = async (file: string) => {
  const { load } = await import("./serving.js");
  return (await load({ config: file })).settings;
};

const said = (
  out: string,
  events: readonly { readonly event: string }[],
  remarks: readonly Remark[],
  json: boolean,
): void => {
  const jobs = events.filter(({ event }) => event === "submit").length;
  if (json) say(JSON.stringify({ out, jobs, events: events.length, remarks }));
  else {
    say(`${out}: ${jobs} jobs, ${events.length} events`);
    for (const remark of remarks) say(remarkLine(remark));
  }
};

const convertFiles = (files: readonly string[], flags: ConvertFlags): Promise<void> =>
  withWhatif(async (whatif) => {
    let site: { readonly header: ReturnType<Whatif["headerOf"]> } | null = null;
    if (flags.config !== undefined) {
      const settings = await settingsFrom(flags.config);
      const types = await catalogue(settings.cloudAddress);
      site = { header: whatif.headerOf(whatif.siteOf(settings, types), "converted", null) };
    }
    const { header, events, remarks } = await whatif.convert(files, site);
    await whatif.writeTrace(flags.out, header, events);
    said(flags.out, events, remarks, flags.json === true);
  });

const quietLog = { error: () => undefined, info: () => undefined, debug: () => undefined };

/** The machine types, asked of the site's cloud. */
const catalogue = async (address: string) => {
  const [{ NetHttpClient }, { Cloud }, { systemClock }] = await Promise.all([
    import("../transport/http-client.js"),
    import("../coordination/cloud.js"),
    import("../transport/clock.js"),
  ]);
  const reply = await new Cloud(new NetHttpClient(systemClock, 1), address, systemClock, quietLog, 1).types();
  if (reply.kind !== "ok") throw new CommandError(`${address}: the cloud does not tell its machine types`);
  return reply.value.types;
};

interface RecordFlags {
  readonly config: string;
  readonly out: string;
  readonly for?: number;
  readonly progress?: boolean;
  readonly json?: boolean;
}

const record = (flags: RecordFlags): Promise<void> =>
  withWhatif(async (whatif) => {
    const [{ NetHttpClient }, { systemClock }] = await Promise.all([
      import("../transport/http-client.js"),
      import("../transport/clock.js"),
    ]);
    const settings = await settingsFrom(flags.config);
    const began = systemClock.now();
    const iso = new Date().toISOString();
    const events: import("../whatif/index.js").TraceEvent[] = [];
    const progress = new Progress(flags.progress === true);
    const observer = new whatif.SiteObserver(
      new NetHttpClient(systemClock, 4),
      systemClock,
      quietLog,
      settings,
      Math.random,
      (event) => {
        events.push(whatif.traceEventOf(event, systemClock.now() - began));
        progress.show(`${events.length} events`);
      },
    );
    const stopped = new Promise<void>((resolve) => {
      process.once("SIGINT", () => resolve());
      process.once("SIGTERM", () => resolve());
      if (flags.for !== undefined) setTimeout(resolve, flags.for / 1_000);
    });
    await Promise.race([observer.start(), stopped]);
    if (observer.types.length === 0)
      throw new CommandError(`${settings.cloudAddress}: the cloud does not tell its machine types`);
    await stopped;
    observer.stop();
    progress.end();
    const remarks: Remark[] = [];
    const mended = whatif.mend(events, (what) => remarks.push({ line: 0, what }));
    const header = whatif.headerOf(whatif.siteOf(settings, observer.types), "recorded", iso);
    await whatif.writeTrace(flags.out, header, mended.events);
    said(flags.out, mended.events, remarks, flags.json === true);
    process.exit(0);
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
    .command("compare [files...]")
    .description(
      "compare scenarios over several seeds, or results of run --out; the first is what the others are held against",
    )
    .option("--trace <file>", "trace for --variant")
    .option(
      "--variant <name:settings>",
      "a variant of the trace: baseline, or low:kappa=0.2,headroom=2 (repeatable)",
      collect,
      [],
    )
    .option("--seeds <n>", "replays of each", wholeNumber, 5)
    .option("--threads <n>", "replays at the same time", wholeNumber)
    .option("--fast", "the fast model, for --variant")
    .option("--progress", "tell how far it has come")
    .option("--json", "answer as JSON")
    .option("--html <file>", "write a report with plots, which opens from disk")
    .option("--svg <dir>", "write the plots apart")
    .addHelpText(
      "after",
      `
Examples:
  rainridge whatif compare before/outcome.json after/outcome.json
  rainridge whatif compare --trace night.jsonl.gz --variant now --variant tight:teams.search.cpusMax=64 --seeds 20 --fast --html report.html`,
    )
    .action(compareVariants);
  group
    .command("sweep <spec>")
    .description("search settings by grid or at random against aims; goes on where it was after a kill")
    .requiredOption("--out <file>", "results (JSON Lines), added to as they come")
    .option("--threads <n>", "replays at the same time", wholeNumber)
    .option("--progress", "tell how far it has come")
    .option("--svg <file>", "write the Pareto plot")
    .option("--json", "answer as JSON")
    .addHelpText(
      "after",
      "\nExample:\n  rainridge whatif sweep examples/traces/sweep.json --out results.jsonl --svg pareto.svg",
    )
    .action(runSweep);
  group
    .command("verify <trace>")
    .description("play a trace on real sockets and in replay, in real time, and compare the order in which jobs finish")
    .option("--seed <n>", "luck of both", wholeNumber, 1)
    .option("--port <n>", "first of the eight ports", wholeNumber, 7_440)
    .option("--tie <time>", "jobs closer than this in either run are ties; one reporting period by default", duration)
    .option("--progress", "tell how far it has come")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif verify examples/traces/short.jsonl --progress")
    .action(verify);
  group
    .command("record")
    .description("record a trace of a running site from outside, through its state service and cloud, until Ctrl-C")
    .requiredOption("--config <file>", "settings of one of its controllers (TOML)")
    .requiredOption("--out <file>", "trace to write (.gz: compressed)")
    .option("--for <time>", "end after this time, such as 2h", duration)
    .option("--progress", "tell how many events there are")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif record --config settings.toml --out night.jsonl.gz --for 8h")
    .action(record);
  group
    .command("convert <files...>")
    .description("put recorded traces, or logs at LOG_LEVEL=debug, of several controllers together into one trace")
    .requiredOption("--out <file>", "trace to write (.gz: compressed)")
    .option("--config <file>", "settings of a controller, where there are only logs")
    .option("--json", "answer as JSON")
    .addHelpText("after", "\nExample:\n  rainridge whatif convert traces/trace-*.jsonl --out night.jsonl.gz")
    .action(convertFiles);
  group
    .command("schema <of>")
    .description("print a JSON Schema: of trace, site, scenario, sweep or synth files")
    .addHelpText("after", "\nExample:\n  rainridge whatif schema trace")
    .action((of: string) =>
      withWhatif(async (whatif) => {
        const schema = whatif.schemaOf(of);
        if (schema === null)
          throw new CommandError(`${of}: no such schema; trace, site, scenario, sweep or synth`, true);
        say(JSON.stringify(schema, null, 2));
      }),
    );
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
