/** The commands `graph ...`: check and show graph files, and submit, watch and control runs. */
import { writeFileSync } from "node:fs";
import { type Command, InvalidArgumentError } from "commander";
import {
  appendValue,
  CommandError,
  EXIT_FAILURE,
  EXIT_MISUSE,
  EXIT_SUCCESS,
  formatTable,
  Progress,
  printLine,
} from "./cli.js";
import {
  compileFile,
  FileProblems,
  loadDefinitionReader,
  loadGraphsPackage,
  type RunFlags,
  today,
} from "./graph-files.js";

interface JsonFlag {
  readonly json?: boolean;
}

interface ServerFlag {
  readonly server: string;
}

const parseDay = (text: string): string => {
  if (!/^\d{4}-\d{2}-\d{2}$/.test(text)) throw new InvalidArgumentError("not a day like 2026-01-31");
  return text;
};

const addRunOptions = (command: Command): Command =>
  command
    .option("--param <name=value>", "a param of the run; may be repeated", appendValue, [])
    .option("--ds <day>", "the run's logical date (today)", parseDay)
    .option("--options <file>", "operators' settings (JSON), for pools and limits");

const addServerOption = (command: Command): Command =>
  command.requiredOption("--server <host:port>", "address of a controller");

const exampleText = (text: string): string => `\nExample:\n  ${text}`;

/** Runs a command. Prints problems of its graph file with line and column, and sets exit status 1. */
const reportFileProblems = async (json: boolean | undefined, run: () => Promise<void>): Promise<void> => {
  try {
    await run();
  } catch (error) {
    if (!(error instanceof FileProblems)) throw error;
    const { placedText, problemText } = await loadDefinitionReader();
    if (json === true) {
      const problems = error.problems.map((one) => ({ line: one.line, column: one.column, message: problemText(one) }));
      printLine(JSON.stringify({ valid: false, problems }));
    } else {
      for (const problem of error.problems) process.stderr.write(`rainridge: ${placedText(error.file, problem)}\n`);
    }
    process.exitCode = EXIT_FAILURE;
  }
};

const addSchema = (group: Command): void => {
  group
    .command("schema")
    .description("print the JSON schema of graph files")
    .addHelpText("after", exampleText("rainridge graph schema > graph.schema.json"))
    .action(async () => printLine(JSON.stringify((await loadDefinitionReader()).graphSchema, null, 2)));
};

const addCheck = (group: Command): void => {
  addRunOptions(
    group.command("check").argument("<file>").description("check a graph file: everything that submission would"),
  )
    .option("--config <file>", "settings of the platform (TOML): also checks teams and their limits")
    .option("--types <file>", "machine types as the cloud lists them (JSON): also checks that steps fit")
    .option("--json", "answer as JSON")
    .addHelpText("after", exampleText("rainridge graph check nightly.yaml --param regions='[\"north\"]'"))
    .action(async (file: string, flags: RunFlags & JsonFlag & { readonly config?: string; readonly types?: string }) =>
      reportFileProblems(flags.json, async () => {
        const { plan } = await compileFile(file, "dr-check", flags);
        if (flags.config !== undefined) {
          const { infeasibleStep } = await import("./graph-limits.js");
          const infeasible = await infeasibleStep(plan, flags.config, flags.types);
          if (infeasible !== null)
            throw new FileProblems(file, [{ path: [], message: infeasible, line: null, column: null }]);
        }
        const steps = plan.steps.length;
        printLine(
          flags.json === true
            ? JSON.stringify({ valid: true, dag_id: plan.dagId, steps })
            : `${file}: ${steps} steps, valid`,
        );
      }),
    );
};

const addShow = (group: Command): void => {
  addRunOptions(group.command("show").argument("<file>").description("show a graph as a tree, or draw it"))
    .option("--svg <out>", "draw it into this file")
    .addHelpText("after", exampleText("rainridge graph show nightly.yaml --svg nightly.svg"))
    .action(async (file: string, flags: RunFlags & { readonly svg?: string }) =>
      reportFileProblems(false, async () => {
        const { plan } = await compileFile(file, "dr-show", flags);
        const { drawingOf, MAX_DRAWN_TASKS, outline, treeOf } = await loadGraphsPackage();
        if (flags.svg === undefined) {
          printLine(treeOf(plan));
          return;
        }
        const tasks = outline(plan).length;
        if (tasks > MAX_DRAWN_TASKS)
          throw new CommandError(`${file}: ${tasks} tasks; a drawing holds ${MAX_DRAWN_TASKS}`);
        writeFileSync(flags.svg, await drawingOf(plan));
        printLine(`${flags.svg}: ${tasks} tasks drawn`);
      }),
    );
};

const addJobs = (group: Command): void => {
  addRunOptions(
    group.command("jobs").argument("<file>").description("print the jobs that a run's steps will be, one a line"),
  )
    .requiredOption("--id <run>", "the run's id")
    .addHelpText("after", exampleText("rainridge graph jobs nightly.yaml --id dr-night_2026-01-31 --ds 2026-01-31"))
    .action(async (file: string, flags: RunFlags & { readonly id: string }) =>
      reportFileProblems(false, async () => {
        const { encodePlan, firstAttempt, jobIdOf } = await loadGraphsPackage();
        const { plan } = await compileFile(file, flags.id, flags);
        const { digest } = encodePlan(plan);
        for (const [at, step] of plan.steps.entries()) {
          if (step.job === null) continue;
          const ref = jobIdOf(flags.id, digest, at, firstAttempt(0));
          printLine(JSON.stringify({ step: step.id, job: { ref, ...plan.jobs[step.job] } }));
        }
      }),
    );
};

const addRun = (group: Command): void => {
  addServerOption(addRunOptions(group.command("run").argument("<file>").description("submit a run of a graph")))
    .option("--id <run>", "the run's id; the same one again repeats the same submission")
    .option("--watch", "wait for the end; status 1 unless it is a success")
    .option("--json", "answers as JSON")
    .addHelpText("after", exampleText("rainridge graph run nightly.yaml --server 127.0.0.1:7400 --watch"))
    .action(
      async (
        file: string,
        flags: RunFlags & ServerFlag & JsonFlag & { readonly id?: string; readonly watch?: boolean },
      ) =>
        reportFileProblems(flags.json, async () => {
          const client = await import("./graph-client.js");
          const { isRunId } = await loadGraphsPackage();
          const { plan, read } = await compileFile(file, flags.id ?? "dr-check", flags);
          const generatedId = `dr-${plan.dagId.replaceAll(".", "_").slice(0, 20)}_${Date.now().toString(36)}`;
          const id = flags.id ?? generatedId;
          if (!isRunId(id)) throw new CommandError(`--id ${id}: not an id like dr-night_2026-01-31`, true);
          const body = { ref: id, graph: read.document, params: read.params, ds: flags.ds ?? today() };
          const progress = new Progress(true);
          const responseBody = await client.submitGraph(flags.server, body, (done, of) =>
            progress.show(`part ${done} of ${of}`),
          );
          progress.end();
          if (flags.watch !== true) {
            printLine(flags.json === true ? responseBody : client.statusLine(JSON.parse(responseBody) as never));
            process.exit(EXIT_SUCCESS);
          }
          await watchUntilEnd(flags.server, id, flags.json === true);
        }),
    );
};

const watchUntilEnd = async (server: string, id: string, json: boolean): Promise<never> => {
  const client = await import("./graph-client.js");
  const progress = new Progress(!json);
  const last = await client.watchGraph(server, id, (status) => progress.show(client.statusLine(status)));
  progress.end();
  printLine(json ? JSON.stringify(last) : client.statusLine(last));
  return process.exit(last.phase === "success" ? EXIT_SUCCESS : EXIT_FAILURE);
};

const addStatus = (group: Command): void => {
  addServerOption(group.command("status").argument("<run>").description("tell how a run stands"))
    .option("--watch", "until it is over; status 1 unless it is a success")
    .option("--steps", "each step with its state and job")
    .option("--json", "answers as JSON")
    .addHelpText("after", exampleText("rainridge graph status dr-night_2026-01-31 --server 127.0.0.1:7400 --steps"))
    .action(
      async (id: string, flags: ServerFlag & JsonFlag & { readonly watch?: boolean; readonly steps?: boolean }) => {
        const client = await import("./graph-client.js");
        if (flags.watch === true) await watchUntilEnd(flags.server, id, flags.json === true);
        const status = await client.graphStatus(flags.server, id);
        printLine(flags.json === true ? JSON.stringify(status) : client.statusLine(status));
        if (flags.steps === true) await printSteps(flags.server, id, flags.json === true);
        process.exit(EXIT_SUCCESS);
      },
    );
};

interface StepsPage {
  readonly steps: readonly {
    readonly step: string;
    readonly state: string;
    readonly try?: number;
    readonly job?: string;
  }[];
  readonly next: number | null;
}

const printSteps = async (server: string, id: string, json: boolean): Promise<void> => {
  const { requestJson } = await import("./graph-client.js");
  for (let from: number | null = 0; from !== null; ) {
    const page = JSON.parse(await requestJson(server, "GET", `/v2/graphs/${id}/steps?from=${from}`)) as StepsPage;
    if (json) for (const step of page.steps) printLine(JSON.stringify(step));
    else {
      const rows = page.steps.map((step) => [step.step, step.state, String(step.try ?? "-"), step.job ?? "-"]);
      printLine(formatTable(["step", "state", "try", "job"], rows));
    }
    from = page.next;
  }
};

const addRunControls = (group: Command): void => {
  const addRunCommand = (name: string, text: string): Command =>
    addServerOption(group.command(name).description(text).argument("<run>"))
      .option("--json", "answer as JSON")
      .addHelpText(
        "after",
        exampleText(
          `rainridge graph ${name} dr-night_2026-01-31${name === "clear" ? " check" : ""} --server 127.0.0.1:7400`,
        ),
      );
  const printStatusAndExit = async (responseBody: string, json: boolean | undefined): Promise<never> => {
    const { statusLine } = await import("./graph-client.js");
    printLine(json === true ? responseBody : statusLine(JSON.parse(responseBody) as never));
    return process.exit(EXIT_SUCCESS);
  };
  addRunCommand("abort", "end a run and all of its steps").action(async (id: string, flags: ServerFlag & JsonFlag) => {
    const { requestJson } = await import("./graph-client.js");
    await printStatusAndExit(await requestJson(flags.server, "POST", `/v2/graphs/${id}/abort`), flags.json);
  });
  addRunCommand("clear", "have a step, and what comes after it, run again")
    .argument("<step>")
    .option("--no-downstream", "the step alone")
    .action(async (id: string, step: string, flags: ServerFlag & JsonFlag & { readonly downstream: boolean }) => {
      const { requestJson } = await import("./graph-client.js");
      const body = { step, downstream: flags.downstream };
      await printStatusAndExit(await requestJson(flags.server, "POST", `/v2/graphs/${id}/clear`, body), flags.json);
    });
  addServerOption(group.command("list").description("list the runs that are under way, or those that have ended"))
    .option("--ended", "those that have ended")
    .option("--json", "one JSON object a line")
    .addHelpText("after", exampleText("rainridge graph list --server 127.0.0.1:7400"))
    .action(async (flags: ServerFlag & JsonFlag & { readonly ended?: boolean }) => {
      const { requestJson } = await import("./graph-client.js");
      interface Page {
        readonly graphs: readonly {
          readonly ref: string;
          readonly phase: string;
          readonly dag_id: string;
          readonly owner: string;
        }[];
        readonly next: string | null;
      }
      const rows: string[][] = [];
      for (let from: string | null = ""; from !== null; ) {
        const state = flags.ended === true ? "&state=ended" : "";
        const page = JSON.parse(await requestJson(flags.server, "GET", `/v2/graphs?from=${from}${state}`)) as Page;
        for (const run of page.graphs) {
          if (flags.json === true) printLine(JSON.stringify(run));
          rows.push([run.ref, run.phase, run.dag_id, run.owner]);
        }
        from = page.next;
      }
      if (flags.json !== true) printLine(formatTable(["run", "phase", "dag", "owner"], rows));
      process.exit(EXIT_SUCCESS);
    });
};

/** Adds `graph ...`: graphs of dependent steps in Airflow's terms. */
export const addGraph = (program: Command): void => {
  const group = program.command("graph").description("graphs of dependent steps, in Airflow's terms");
  group.addHelpText("after", `\nExit status: 0 done, 1 refused or failed, ${EXIT_MISUSE} misuse.`);
  addSchema(group);
  addCheck(group);
  addShow(group);
  addJobs(group);
  addRun(group);
  addStatus(group);
  addRunControls(group);
};
