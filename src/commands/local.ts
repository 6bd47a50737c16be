/** The command `local`: a whole deployment on loopback, with emulated machines, that runs jobs or a graph. */
import { readFileSync } from "node:fs";
import type { Command } from "commander";
import type { Submission } from "../model/index.js";
import type { GraphOptions } from "../settings/graph-options.js";
import {
  CommandError,
  EXIT_FAILURE,
  EXIT_SUCCESS,
  Progress,
  parsePositiveNumber,
  parseWholeNumber,
  printLine,
} from "./cli.js";
import { PROGRAM_PATH } from "./whatif-package.js";

interface LocalFlags {
  readonly machines: number;
  readonly speed: number;
  readonly seed: number;
  readonly port: number;
  readonly jobs?: string;
  readonly graph?: string;
  readonly options?: string;
  readonly stay?: boolean;
  readonly json?: boolean;
}

const POLL_INTERVAL_MS = 250;
const MAX_MACHINES = 400;

const readJobs = async (file: string): Promise<readonly Submission[]> => {
  const [{ Ajv }, { jobSchema }] = await Promise.all([import("ajv"), import("../whatif/index.js")]);
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    const why = error instanceof SyntaxError ? "not JSON" : ((error as NodeJS.ErrnoException).code ?? "cannot be read");
    throw new CommandError(`${file}: ${why}`, true);
  }
  const validate = new Ajv({ allowUnionTypes: true })
    .addSchema(jobSchema)
    .compile<Submission[]>({ type: "array", minItems: 1, items: { $ref: "rainridge-job" } });
  if (validate(value)) return value;
  const first = validate.errors?.[0];
  const extra: unknown = first?.params.additionalProperty ?? first?.params.missingProperty ?? "";
  throw new CommandError(
    `${file}: ${first?.instancePath || "/"} ${first?.message ?? "invalid"} ${String(extra)}`.trim(),
    true,
  );
};

const runLocal = async (flags: LocalFlags): Promise<void> => {
  if (flags.machines < 4 || flags.machines > MAX_MACHINES) {
    throw new CommandError(`--machines ${flags.machines}: must be 4 to ${MAX_MACHINES}`, true);
  }
  const [model, { Ledger }, { loadOptions }, { outcomeText }] = await Promise.all([
    import("../model/index.js"),
    import("../whatif/index.js"),
    import("../settings/options.js"),
    import("./outcome-text.js"),
  ]);
  const options = await loadOptions(flags.options ?? null).catch((error: unknown) => {
    throw new CommandError(error instanceof Error ? error.message : String(error), true);
  });
  const graph = flags.graph === undefined ? null : await prepareGraph(flags.graph, flags.options);
  const defaultJobs = graph === null ? model.sampleJobs(flags.seed) : [];
  const jobs = flags.jobs === undefined ? defaultJobs : await readJobs(flags.jobs);
  const spec = model.sampleSite(flags.machines);
  const ledgers: InstanceType<typeof Ledger>[] = [];
  const printDiagnostic = (text: string): void => {
    process.stderr.write(`${text}\n`);
  };
  const site = await model.LocalSite.start({
    spec,
    // A graph to run enables the graph service, also where the options do not.
    options: graph === null ? options : { ...options, graphs: graph.options },
    seed: flags.seed,
    port: flags.port,
    speed: flags.speed,
    evenBoots: true,
    program: PROGRAM_PATH,
    onError: (what) => printDiagnostic(`rainridge: ${what}`),
    watch: (timeline) => {
      const ledger = new Ledger(() => timeline.now, spec);
      ledgers.push(ledger);
      return { witness: ledger, hearing: ledger };
    },
  }).catch((error: unknown) => {
    if (error instanceof model.PortError) throw new CommandError(`${error.message}; another --port`, true);
    throw error;
  });
  const [ledger] = ledgers;
  if (ledger === undefined) throw new Error("the local site was started without a ledger");
  process.once("exit", () => site.kill());
  let interrupted = false;
  const stopped = new Promise<void>((resolve) => {
    const end = (): void => {
      interrupted = true;
      resolve();
    };
    process.once("SIGINT", end);
    process.once("SIGTERM", end);
  });
  const { controllers, state, cloud } = site.addresses;
  printDiagnostic(
    `controllers ${controllers.join(", ")}; state service ${state}; cloud ${cloud}; logs in ${site.folder}`,
  );
  for (const job of jobs) {
    ledger.opened(job, 0);
    site.submit(job);
  }
  const progress = new Progress(true);
  const allJobsEnded = new Promise<void>((resolve) => {
    const poll = (): void => {
      if (interrupted) return;
      ledger.sample();
      const { machines, running, queued } = ledger.latest;
      const done = jobs.length - ledger.openJobs;
      progress.show(
        `${Math.round(site.timeline.now / 1e6)} s: ${machines} machines, ${running} tasks running, ${queued} waiting, ${ledger.openJobs} of ${jobs.length} jobs open, ${done} ended or serving`,
      );
      if (ledger.openJobs === 0) resolve();
      else setTimeout(poll, POLL_INTERVAL_MS);
    };
    poll();
  });
  const graphSucceeded =
    graph === null ? Promise.resolve(true) : graph.submitAndWatch(controllers[0] ?? "", (text) => progress.show(text));
  const [, succeeded] = (await Promise.race([Promise.all([allJobsEnded, graphSucceeded]), stopped])) ?? [
    undefined,
    false,
  ];
  progress.end();
  const openAtEnd = ledger.openJobs;
  if (flags.stay === true && !interrupted) {
    printDiagnostic(
      `all jobs have ended; serving until Ctrl-C. Try: rainridge submit --server ${controllers[0] ?? ""} job.json`,
    );
    await stopped;
  }
  const outcome = ledger.outcome({
    mode: "loopback",
    trace: flags.jobs ?? "sample",
    seed: flags.seed,
    ended: openAtEnd === 0 ? "finished" : "until",
    unmatched: [],
    remarks: [],
  });
  await site.stop();
  if (flags.json === true) printLine(JSON.stringify(outcome));
  else if (jobs.length > 0) printLine(outcomeText(outcome));
  process.exit(openAtEnd === 0 && succeeded ? EXIT_SUCCESS : EXIT_FAILURE);
};

/** A compiled graph and the options that its controllers need. */
interface LocalGraph {
  readonly options: GraphOptions;
  /** Submits the graph and waits for the end of its run; true if the run succeeded. */
  readonly submitAndWatch: (server: string, show: (text: string) => void) => Promise<boolean>;
}

/** Reads and compiles the graph, so that an invalid file is reported before any process starts. */
const prepareGraph = async (file: string, options: string | undefined): Promise<LocalGraph> => {
  const [files, client] = await Promise.all([import("./graph-files.js"), import("./graph-client.js")]);
  const flags = { param: [], ...(options === undefined ? {} : { options }) };
  const { read, plan } = await files.compileFile(file, "dr-local", flags).catch(async (error: unknown) => {
    if (!(error instanceof files.FileProblems)) throw error;
    const { placedText } = await files.loadDefinitionReader();
    const [first] = error.problems;
    throw new CommandError(first === undefined ? file : placedText(file, first));
  });
  return {
    options: await files.loadGraphOptions(options),
    submitAndWatch: async (server, show) => {
      const body = { ref: "dr-local", graph: read.document, params: read.params, ds: files.today() };
      await client.submitGraph(server, body, () => undefined);
      printLine(`${plan.dagId}: ${plan.steps.length} steps submitted as dr-local`);
      let previousLine = "";
      const last = await client.watchGraph(server, "dr-local", (status) => {
        const line = client.statusLine(status);
        show(line);
        if (line !== previousLine) printLine(line);
        previousLine = line;
      });
      return last.phase === "success";
    },
  };
};

/** Adds `local`, which runs a whole deployment on this machine and needs no set-up: a first trial of the program. */
export const addLocal = (program: Command): void => {
  program
    .command("local")
    .description("run a whole site on loopback: three controllers, emulated machines, state service, cloud and users")
    .option("--machines <n>", "machines that the emulated cloud has", parseWholeNumber, 16)
    .option("--speed <n>", "emulated tasks run so many times faster", parsePositiveNumber, 1)
    .option("--seed <n>", "luck of the sample's sizes, boots and fetches", parseWholeNumber, 1)
    .option("--port <n>", "first of the eight ports for controllers, state service and cloud", parseWholeNumber, 7_400)
    .option("--jobs <file>", "jobs to submit instead of the sample (JSON list)")
    .option("--graph <file>", "a graph to run instead of the sample (YAML or JSON)")
    .option("--options <file>", "operators' settings (JSON) for the controllers")
    .option("--stay", "go on serving until Ctrl-C, so that submit, show and abort can be tried")
    .option("--json", "the summary as JSON")
    .addHelpText(
      "after",
      `
Examples:
  rainridge local
  rainridge local --machines 40 --speed 4
  rainridge local --graph examples/graphs/charge-plan.yaml
  rainridge local --stay        # then: rainridge submit --server 127.0.0.1:7400 examples/job.json`,
    )
    .action(runLocal);
};
