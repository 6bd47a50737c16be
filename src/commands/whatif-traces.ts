/** The commands `whatif check`, `synth`, `convert`, `record` and `schema`. */
import type { Remark } from "../whatif/index.js";
import { CommandError, formatDuration, formatTable, Progress, printLine } from "./cli.js";
import { formatRemark, type WhatifPackage, withWhatifPackage } from "./whatif-package.js";

/** Checks a trace and prints its number of events by kind. */
export const check = (file: string, flags: { readonly json?: boolean; readonly lenient?: boolean }): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const { header, events, remarks } = await whatif.readTrace(file, flags.lenient === true);
    const counts = new Map<string, number>();
    let tasks = 0;
    for (const event of events) {
      counts.set(event.event, (counts.get(event.event) ?? 0) + 1);
      if (event.event === "submit") tasks += event.job.shards;
    }
    const spanUs = events.at(-1)?.at ?? 0;
    if (flags.json === true) {
      printLine(
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
    printLine(
      `${file}: site ${header.site.name}, ${header.source}, ${formatDuration(spanUs)}, ${tasks} tasks, ${header.standing.length} machines at the beginning`,
    );
    printLine(
      formatTable(
        ["event", "count"],
        [...counts].map(([kind, count]) => [kind, String(count)]),
      ),
    );
    for (const remark of remarks) printLine(formatRemark(remark));
  });

/** Writes a synthetic trace, drawn from the distributions of a specification. */
export const synth = (
  file: string,
  flags: { readonly out: string; readonly seed?: number; readonly json?: boolean },
): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const spec = whatif.readSynthSpec(whatif.readJsonFile(file), file);
    const { header, events } = whatif.synthesize({ ...spec, seed: flags.seed ?? spec.seed });
    await whatif.writeTrace(flags.out, header, events);
    const jobs = events.filter(({ event }) => event === "submit").length;
    printLine(
      flags.json === true
        ? JSON.stringify({ out: flags.out, events: events.length, jobs })
        : `${flags.out}: ${jobs} jobs, ${events.length} events`,
    );
  });

interface ConvertFlags {
  readonly out: string;
  readonly config?: string;
  readonly json?: boolean;
}

const readSettings = async (file: string) => {
  const { loadConfiguration: load } = await import("./serve.js");
  return (await load({ config: file })).settings;
};

const printSummary = (
  out: string,
  events: readonly { readonly event: string }[],
  remarks: readonly Remark[],
  json: boolean,
): void => {
  const jobs = events.filter(({ event }) => event === "submit").length;
  if (json) printLine(JSON.stringify({ out, jobs, events: events.length, remarks }));
  else {
    printLine(`${out}: ${jobs} jobs, ${events.length} events`);
    for (const remark of remarks) printLine(formatRemark(remark));
  }
};

/** Merges recorded traces or debug logs of several controllers into one trace. */
export const convertFiles = (files: readonly string[], flags: ConvertFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    let site: { readonly header: ReturnType<WhatifPackage["headerOf"]> } | null = null;
    if (flags.config !== undefined) {
      const settings = await readSettings(flags.config);
      const types = await fetchMachineTypes(settings.cloudAddress);
      site = { header: whatif.headerOf(whatif.siteOf(settings, types), "converted", null) };
    }
    const { header, events, remarks } = await whatif.convert(files, site);
    await whatif.writeTrace(flags.out, header, events);
    printSummary(flags.out, events, remarks, flags.json === true);
  });

const silentLog = { error: () => undefined, info: () => undefined, debug: () => undefined };

/** Fetches the machine types from the cloud of a site. Throws a `CommandError` if it does not list them. */
const fetchMachineTypes = async (address: string) => {
  const [{ NetHttpClient }, { CloudClient }, { systemClock }] = await Promise.all([
    import("../transport/http-client.js"),
    import("../coordination/autoscaling/cloud-client.js"),
    import("../transport/clock.js"),
  ]);
  const reply = await new CloudClient(
    new NetHttpClient(systemClock, 1),
    address,
    systemClock,
    silentLog,
    1,
  ).listMachineTypes();
  if (reply.kind !== "ok") throw new CommandError(`${address}: no list of machine types from the cloud`);
  return reply.value.types;
};

interface RecordFlags {
  readonly config: string;
  readonly out: string;
  readonly for?: number;
  readonly progress?: boolean;
  readonly json?: boolean;
}

/** Records a trace of a running site from its state service and cloud, until a signal or the end of `--for`. */
export const record = (flags: RecordFlags): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const [{ NetHttpClient }, { systemClock }] = await Promise.all([
      import("../transport/http-client.js"),
      import("../transport/clock.js"),
    ]);
    const settings = await readSettings(flags.config);
    const startedAt = systemClock.now();
    const startedAtIso = new Date().toISOString();
    const events: import("../whatif/index.js").TraceEvent[] = [];
    const progress = new Progress(flags.progress === true);
    const observer = new whatif.SiteObserver(
      new NetHttpClient(systemClock, 4),
      systemClock,
      silentLog,
      settings,
      Math.random,
      (event) => {
        events.push(whatif.traceEventOf(event, systemClock.now() - startedAt));
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
      throw new CommandError(`${settings.cloudAddress}: no list of machine types from the cloud`);
    await stopped;
    observer.stop();
    progress.end();
    const remarks: Remark[] = [];
    const repaired = whatif.mend(events, (what) => remarks.push({ line: 0, what }));
    const header = whatif.headerOf(whatif.siteOf(settings, observer.types), "recorded", startedAtIso);
    await whatif.writeTrace(flags.out, header, repaired.events);
    printSummary(flags.out, repaired.events, remarks, flags.json === true);
    process.exit(0);
  });

/** Prints the JSON Schema of a kind of file. */
export const printSchema = (of: string): Promise<void> =>
  withWhatifPackage(async (whatif) => {
    const schema = whatif.schemaOf(of);
    if (schema === null) throw new CommandError(`${of}: no such schema; trace, site, scenario, sweep or synth`, true);
    printLine(JSON.stringify(schema, null, 2));
  });
