/** Turns a graph definition into the plan of one run: defaults, mapping, templates, branches and checks. */
import { decodeSubmission } from "../../protocol/job-messages.js";
import { MalformedMessageError } from "../../protocol/json.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import type { Plan, Step, StepKind, WeightRule } from "../run/plan.js";
import type { TriggerRule } from "../run/rules.js";
import type { GraphDocument } from "./document.js";
import { type FlatTask, flatten } from "./flatten.js";
import { paramsOf } from "./params.js";
import { GraphError, type Problem } from "./problem.js";
import { TemplateError, Templates, type TemplateVariables, withoutPrototypes } from "./templates.js";
import { sortTasks } from "./topological-order.js";
import { unsatisfiableSteps } from "./unsatisfiable-rules.js";

/** The parameters of one run of a definition. */
export interface RunContext {
  readonly id: string;
  /** The run's logical date, `YYYY-MM-DD`. */
  readonly ds: string;
  readonly params: Readonly<Record<string, unknown>>;
}

export type CompileLimits = Pick<GraphOptions, "mostSteps" | "pools">;

const MAX_EDGES = 200_000;
/** Further problems are mostly consequences of the first ones. */
const MAX_PROBLEMS = 50;

const NUMBER_FIELDS: ReadonlySet<string> = new Set([
  "shards",
  "cpus",
  "accelerators",
  "ramGb",
  "sizeGb",
  "guessS",
  "saveEveryS",
  "saveTakesS",
  "dueS",
]);
const BOOLEAN_FIELDS: ReadonlySet<string> = new Set(["together", "spread", "loaner"]);
const JOB_DEFAULTS: Readonly<Record<string, unknown>> = {
  shape: "sweep",
  rank: "normal",
  shards: 1,
  accelerators: 0,
  flavors: null,
  area: null,
  together: false,
  spread: false,
  loaner: false,
  saveEveryS: 0,
  saveTakesS: 0,
  dueS: null,
};
const TRUE_WORDS: ReadonlySet<string> = new Set(["true", "yes", "1", "on"]);
const FALSE_WORDS: ReadonlySet<string> = new Set(["false", "no", "0", "off", "none", ""]);

/** One instance of a mapped task, or a task that is not mapped. */
interface Instance {
  readonly id: string;
  readonly variables: TemplateVariables;
}

/** Turns a definition into the plan of one run. Throws a `GraphError` with the problems found, up to a bound. */
export const compile = (graph: GraphDocument, context: RunContext, limits: CompileLimits): Plan =>
  new Compiler(graph, context, limits).plan();

class Compiler {
  private readonly problems: Problem[] = [];
  private readonly templates = new Templates();
  private readonly jobs: Readonly<Record<string, unknown>>[] = [];
  private readonly jobNumbers = new Map<string, number>();
  private readonly steps: Step[] = [];
  /** Numbers of the steps of each task, by task id. */
  private readonly stepNumbers = new Map<string, readonly number[]>();
  private readonly params: Readonly<Record<string, unknown>>;
  /** `params` for templates: without prototypes. */
  private readonly templateParams: unknown;

  constructor(
    private readonly graph: GraphDocument,
    private readonly context: RunContext,
    private readonly limits: CompileLimits,
  ) {
    this.params = paramsOf(graph, context.params, this.problems);
    this.templateParams = withoutPrototypes(this.params);
  }

  private addProblem(path: Problem["path"], message: string): void {
    this.problems.push({ path, message });
    if (this.problems.length >= MAX_PROBLEMS) this.throwProblems();
  }

  private throwProblems(): void {
    if (this.problems.length > 0) throw new GraphError(this.problems);
  }

  plan(): Plan {
    const { graph, context } = this;
    const { mostSteps } = this.limits;
    const flatGraph = flatten(graph, this.problems, mostSteps);
    if (flatGraph.tasks.size > mostSteps) this.addProblem(["tasks"], `more than ${mostSteps} steps`);
    if (flatGraph.tasks.size === 0) this.addProblem(["tasks"], "no task");
    this.throwProblems();
    const sorted = sortTasks(flatGraph.upstream);
    if (sorted.kind === "cycle") {
      const [first = ""] = sorted.path;
      this.addProblem(flatGraph.tasks.get(first)?.path ?? ["tasks"], `cycle: ${sorted.path.join(" >> ")}`);
      this.throwProblems();
      throw new GraphError(this.problems);
    }
    let edges = 0;
    for (const id of sorted.ids) {
      const task = flatGraph.tasks.get(id);
      if (task === undefined) continue;
      const upstream = [...(flatGraph.upstream.get(id) ?? [])].flatMap((up) => this.stepNumbers.get(up) ?? []);
      upstream.sort((a, b) => a - b);
      const instances = this.instancesOf(task);
      edges += upstream.length * Math.max(1, instances.length);
      if (edges > MAX_EDGES)
        this.addProblem(task.path, `more than ${MAX_EDGES} dependencies: put an empty task between`);
      this.throwProblems();
      this.stepNumbers.set(
        id,
        instances.map((instance) => this.addStep(task, instance, upstream)),
      );
    }
    this.addCuts(flatGraph.tasks, flatGraph.upstream);
    this.throwProblems();
    const plan: Plan = {
      dagId: graph.dag_id,
      description: graph.description ?? "",
      owner: graph.owner,
      tags: graph.tags ?? [],
      ds: context.ds,
      maxActiveTasks: graph.max_active_tasks ?? Number.MAX_SAFE_INTEGER,
      maxActiveRuns: graph.max_active_runs ?? Number.MAX_SAFE_INTEGER,
      timeoutS: graph.dagrun_timeout ?? null,
      jobs: this.jobs,
      steps: this.steps,
    };
    const taskOf = new Map([...this.stepNumbers].flatMap(([id, list]) => list.map((at) => [at, id] as const)));
    for (const at of unsatisfiableSteps(plan)) {
      const step = plan.steps[at];
      const path = flatGraph.tasks.get(taskOf.get(at) ?? "")?.path ?? ["tasks"];
      if (step !== undefined)
        this.addProblem([...path, "trigger_rule"], `${step.rule} can never be met for ${step.id}`);
    }
    this.throwProblems();
    return plan;
  }

  private variablesFor(task: FlatTask, map: Readonly<Record<string, unknown>>, index: number): TemplateVariables {
    const { graph, context } = this;
    return {
      params: this.templateParams,
      map: withoutPrototypes(map),
      map_index: index,
      ds: context.ds,
      ds_nodash: context.ds.replaceAll("-", ""),
      run_id: context.id,
      dag_id: graph.dag_id,
      task_id: task.id,
      owner: task.args.owner ?? graph.owner,
    };
  }

  private instancesOf(task: FlatTask): readonly Instance[] {
    const { expand } = task.document;
    if (expand === undefined) return [{ id: task.id, variables: this.variablesFor(task, {}, -1) }];
    let maps: Readonly<Record<string, unknown>>[] = [{}];
    for (const [name, source] of Object.entries(expand)) {
      const values = typeof source === "string" ? this.params[source] : source;
      if (!Array.isArray(values)) {
        this.addProblem([...task.path, "expand", name], `${String(source)} is not a param that holds a list`);
        return [];
      }
      if (maps.length * values.length > this.limits.mostSteps) {
        this.addProblem([...task.path, "expand"], `more than ${this.limits.mostSteps} steps`);
        return [];
      }
      maps = maps.flatMap((map) => values.map((value: unknown) => ({ ...map, [name]: value })));
    }
    if (this.steps.length + maps.length > this.limits.mostSteps) {
      this.addProblem([...task.path, "expand"], `more than ${this.limits.mostSteps} steps`);
      return [];
    }
    // A task mapped over an empty list is skipped; trigger rules decide its downstream steps.
    if (maps.length === 0) return [{ id: task.id, variables: this.variablesFor(task, {}, -1) }];
    return maps.map((map, at) => ({ id: `${task.id}[${at}]`, variables: this.variablesFor(task, map, at) }));
  }

  private kindOf({ document, path }: FlatTask, mappedOverNothing: boolean): StepKind {
    const kinds: StepKind[] = [];
    if (document.empty === true) kinds.push("empty");
    if (document.short_circuit !== undefined) kinds.push("short_circuit");
    if (document.branch !== undefined) kinds.push("branch");
    if (kinds.length > 1) this.addProblem(path, `either ${kinds.join(" or ")}`);
    if (kinds.length > 0 && document.job !== undefined)
      this.addProblem([...path, "job"], `a step that is ${kinds[0]} runs none`);
    if ((document.branch ?? document.short_circuit) !== undefined && document.expand !== undefined) {
      this.addProblem([...path, "expand"], "a step that decides can't be mapped");
    }
    return mappedOverNothing ? "skip" : (kinds[0] ?? "job");
  }

  private addStep(task: FlatTask, { id, variables }: Instance, upstream: readonly number[]): number {
    const { args, document, path } = task;
    const kind = this.kindOf(task, document.expand !== undefined && id === task.id);
    if (args.pool !== undefined && !Object.hasOwn(this.limits.pools, args.pool)) {
      this.addProblem([...path, "pool"], `no pool ${args.pool}`);
    }
    this.steps.push({
      id,
      kind,
      upstream,
      rule: (args.trigger_rule ?? "all_success") as TriggerRule,
      retry: {
        retries: args.retries ?? null,
        delayS: args.retry_delay ?? 0,
        exponential: args.retry_exponential_backoff ?? false,
        maxDelayS: args.max_retry_delay ?? null,
      },
      timeoutS: args.execution_timeout ?? null,
      pool: kind === "job" ? (args.pool ?? null) : null,
      weight: args.priority_weight ?? 1,
      weightRule: (args.weight_rule ?? "downstream") as WeightRule,
      dependsOnPast: args.depends_on_past ?? false,
      setup: document.setup ?? false,
      cuts: [],
      cutsAll: false,
      job: kind === "job" ? this.jobOf(task, variables) : null,
    });
    return this.steps.length - 1;
  }

  private renderText(path: Problem["path"], text: string, variables: TemplateVariables): string {
    try {
      return this.templates.render(text, variables);
    } catch (error) {
      if (!(error instanceof TemplateError)) throw error;
      this.addProblem(path, error.message);
      return "";
    }
  }

  private renderField(path: Problem["path"], name: string, value: unknown, variables: TemplateVariables): unknown {
    if (Array.isArray(value)) return value.map((inner, at) => this.renderField([...path, at], name, inner, variables));
    if (typeof value !== "string") return value;
    const text = this.renderText(path, value, variables);
    if (BOOLEAN_FIELDS.has(name)) {
      if (!TRUE_WORDS.has(text.toLowerCase()) && !FALSE_WORDS.has(text.toLowerCase()))
        this.addProblem(path, `${text} is not true or false`);
      return TRUE_WORDS.has(text.toLowerCase());
    }
    if (!NUMBER_FIELDS.has(name)) return text;
    const number = text.trim() === "" ? Number.NaN : Number(text);
    if (!Number.isFinite(number)) this.addProblem(path, `${text} is not a number`);
    return number;
  }

  /** Number of the task's job in `jobs`. The job is checked as if a user submitted it. */
  private jobOf(task: FlatTask, variables: TemplateVariables): number {
    const path = [...task.path, "job"];
    const given = Object.entries(task.args.job ?? {}).map(
      ([name, value]) => [name, this.renderField([...path, name], name, value, variables)] as const,
    );
    const owner = task.args.owner ?? this.graph.owner;
    const job = { ...JOB_DEFAULTS, ...Object.fromEntries(given), owner };
    const key = JSON.stringify(job);
    const existing = this.jobNumbers.get(key);
    if (existing !== undefined) return existing;
    const problemsBefore = this.problems.length;
    try {
      decodeSubmission({ ...job, ref: "wk-step" });
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      const [field = "", ...rest] = error.message.split(": ");
      // Where a template failed, that problem is listed already.
      if (this.problems.length === problemsBefore) this.addProblem([...path, field], rest.join(": ") || error.message);
    }
    this.jobs.push(job);
    this.jobNumbers.set(key, this.jobs.length - 1);
    return this.jobs.length - 1;
  }

  /** Adds the steps that branches and short circuits skip. These depend on params only, so they are known by now. */
  private addCuts(tasks: ReadonlyMap<string, FlatTask>, upstream: ReadonlyMap<string, ReadonlySet<string>>): void {
    const downstream = new Map<string, string[]>();
    for (const id of upstream.keys()) downstream.set(id, []);
    for (const [id, ups] of upstream) for (const up of ups) downstream.get(up)?.push(id);
    for (const task of tasks.values()) {
      const { document, path, id } = task;
      const [at] = this.stepNumbers.get(id) ?? [];
      const step = at === undefined ? undefined : this.steps[at];
      if (at === undefined || step === undefined) continue;
      const direct = downstream.get(id) ?? [];
      let cut: readonly string[] = [];
      if (document.short_circuit !== undefined) {
        const rendered = this.renderText(
          [...path, "short_circuit"],
          document.short_circuit,
          this.variablesFor(task, {}, -1),
        );
        const word = rendered.trim().toLowerCase();
        if (!TRUE_WORDS.has(word) && !FALSE_WORDS.has(word))
          this.addProblem([...path, "short_circuit"], `${rendered} is not true or false`);
        if (FALSE_WORDS.has(word)) cut = direct;
      }
      if (document.branch !== undefined) cut = this.skippedByBranch(task, direct, downstream);
      if (cut.length === 0) continue;
      this.steps[at] = {
        ...step,
        cuts: cut.flatMap((name) => this.stepNumbers.get(name) ?? []),
        cutsAll: document.short_circuit !== undefined && (document.ignore_downstream_trigger_rules ?? true),
      };
    }
  }

  /** As in Airflow: the direct downstream tasks that are neither followed nor downstream of a followed task. */
  private skippedByBranch(
    task: FlatTask,
    direct: readonly string[],
    downstream: ReadonlyMap<string, readonly string[]>,
  ): readonly string[] {
    const path = [...task.path, "branch"];
    const rendered = this.renderText(path, task.document.branch ?? "", this.variablesFor(task, {}, -1));
    const group = task.id.slice(0, Math.max(0, task.id.lastIndexOf(".")));
    const follow = rendered
      .split(/[\s,]+/)
      .filter((name) => name !== "")
      .map((name) => (group !== "" && direct.includes(`${group}.${name}`) ? `${group}.${name}` : name));
    for (const name of follow)
      if (!direct.includes(name)) this.addProblem(path, `${name} does not come right after ${task.id}`);
    const reached = new Set<string>(follow);
    const stack = [...follow];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      for (const down of downstream.get(id) ?? []) {
        if (reached.has(down)) continue;
        reached.add(down);
        stack.push(down);
      }
    }
    return direct.filter((name) => !reached.has(name));
  }
}
