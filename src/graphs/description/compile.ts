/** Turns a graph definition into the plan of one run: defaults, mapping, templates, branches and checks. */
import { decodeSubmission } from "../../protocol/job-messages.js";
import { MalformedMessageError } from "../../protocol/json.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import type { Plan, Step, StepKind, WeightRule } from "../run/plan.js";
import type { TriggerRule } from "../run/rules.js";
import type { GraphDocument } from "./document.js";
import { type FlatTask, flatten } from "./flatten.js";
import { sortTasks } from "./order.js";
import { paramsOf } from "./params.js";
import { GraphError, type Problem } from "./problem.js";
import { neverReached } from "./reach.js";
import { bare, type Names, TemplateError, Templates } from "./templates.js";

/** The parameters of one run of a definition. */
export interface RunWords {
  readonly id: string;
  /** The run's logical date, `YYYY-MM-DD`. */
  readonly ds: string;
  readonly params: Readonly<Record<string, unknown>>;
}

export type Bounds = Pick<GraphOptions, "mostSteps" | "pools">;

const MOST_EDGES = 200_000;
/** Further problems are mostly consequences of the first ones. */
const MOST_PROBLEMS = 50;

const NUMBERS: ReadonlySet<string> = new Set([
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
const FLAGS: ReadonlySet<string> = new Set(["together", "spread", "loaner"]);
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
const YES: ReadonlySet<string> = new Set(["true", "yes", "1", "on"]);
const NO: ReadonlySet<string> = new Set(["false", "no", "0", "off", "none", ""]);

/** One instance of a mapped task, or a task that is not mapped. */
interface Instance {
  readonly id: string;
  readonly names: Names;
}

/** Turns a definition into the plan of one run. Throws a `GraphError` with the problems found, up to a bound. */
export const compile = (graph: GraphDocument, words: RunWords, bounds: Bounds): Plan =>
  new Compiler(graph, words, bounds).plan();

class Compiler {
  private readonly problems: Problem[] = [];
  private readonly templates = new Templates();
  private readonly jobs: Readonly<Record<string, unknown>>[] = [];
  private readonly jobNumbers = new Map<string, number>();
  private readonly steps: Step[] = [];
  /** Numbers of the steps of each task, by task id. */
  private readonly numbers = new Map<string, readonly number[]>();
  private readonly params: Readonly<Record<string, unknown>>;
  /** `params` for templates: without prototypes. */
  private readonly bareParams: unknown;

  constructor(
    private readonly graph: GraphDocument,
    private readonly words: RunWords,
    private readonly bounds: Bounds,
  ) {
    this.params = paramsOf(graph, words.params, this.problems);
    this.bareParams = bare(this.params);
  }

  private fail(path: Problem["path"], message: string): void {
    this.problems.push({ path, message });
    if (this.problems.length >= MOST_PROBLEMS) this.giveUp();
  }

  private giveUp(): void {
    if (this.problems.length > 0) throw new GraphError(this.problems);
  }

  plan(): Plan {
    const { graph, words } = this;
    const { mostSteps } = this.bounds;
    const flat = flatten(graph, this.problems, mostSteps);
    if (flat.tasks.size > mostSteps) this.fail(["tasks"], `more than ${mostSteps} steps`);
    if (flat.tasks.size === 0) this.fail(["tasks"], "no task");
    this.giveUp();
    const sorted = sortTasks(flat.upstream);
    if (sorted.kind === "cycle") {
      const [first = ""] = sorted.path;
      this.fail(flat.tasks.get(first)?.path ?? ["tasks"], `cycle: ${sorted.path.join(" >> ")}`);
      this.giveUp();
      throw new GraphError(this.problems);
    }
    let edges = 0;
    for (const id of sorted.ids) {
      const task = flat.tasks.get(id);
      if (task === undefined) continue;
      const upstream = [...(flat.upstream.get(id) ?? [])].flatMap((up) => this.numbers.get(up) ?? []);
      upstream.sort((a, b) => a - b);
      const instances = this.instancesOf(task);
      edges += upstream.length * Math.max(1, instances.length);
      if (edges > MOST_EDGES) this.fail(task.path, `more than ${MOST_EDGES} dependencies: put an empty task between`);
      this.giveUp();
      this.numbers.set(
        id,
        instances.map((instance) => this.addStep(task, instance, upstream)),
      );
    }
    this.cuts(flat.tasks, flat.upstream);
    this.giveUp();
    const plan: Plan = {
      dagId: graph.dag_id,
      description: graph.description ?? "",
      owner: graph.owner,
      tags: graph.tags ?? [],
      ds: words.ds,
      maxActiveTasks: graph.max_active_tasks ?? Number.MAX_SAFE_INTEGER,
      maxActiveRuns: graph.max_active_runs ?? Number.MAX_SAFE_INTEGER,
      timeoutS: graph.dagrun_timeout ?? null,
      jobs: this.jobs,
      steps: this.steps,
    };
    const taskOf = new Map([...this.numbers].flatMap(([id, list]) => list.map((at) => [at, id] as const)));
    for (const at of neverReached(plan)) {
      const step = plan.steps[at];
      const path = flat.tasks.get(taskOf.get(at) ?? "")?.path ?? ["tasks"];
      if (step !== undefined) this.fail([...path, "trigger_rule"], `${step.rule} can never be met for ${step.id}`);
    }
    this.giveUp();
    return plan;
  }

  private namesFor(task: FlatTask, map: Readonly<Record<string, unknown>>, index: number): Names {
    const { graph, words } = this;
    return {
      params: this.bareParams,
      map: bare(map),
      map_index: index,
      ds: words.ds,
      ds_nodash: words.ds.replaceAll("-", ""),
      run_id: words.id,
      dag_id: graph.dag_id,
      task_id: task.id,
      owner: task.args.owner ?? graph.owner,
    };
  }

  private instancesOf(task: FlatTask): readonly Instance[] {
    const { expand } = task.document;
    if (expand === undefined) return [{ id: task.id, names: this.namesFor(task, {}, -1) }];
    let maps: Readonly<Record<string, unknown>>[] = [{}];
    for (const [name, source] of Object.entries(expand)) {
      const values = typeof source === "string" ? this.params[source] : source;
      if (!Array.isArray(values)) {
        this.fail([...task.path, "expand", name], `${String(source)} is not a param that holds a list`);
        return [];
      }
      if (maps.length * values.length > this.bounds.mostSteps) {
        this.fail([...task.path, "expand"], `more than ${this.bounds.mostSteps} steps`);
        return [];
      }
      maps = maps.flatMap((map) => values.map((value: unknown) => ({ ...map, [name]: value })));
    }
    if (this.steps.length + maps.length > this.bounds.mostSteps) {
      this.fail([...task.path, "expand"], `more than ${this.bounds.mostSteps} steps`);
      return [];
    }
    // A task mapped over an empty list is skipped; trigger rules decide its downstream steps.
    if (maps.length === 0) return [{ id: task.id, names: this.namesFor(task, {}, -1) }];
    return maps.map((map, at) => ({ id: `${task.id}[${at}]`, names: this.namesFor(task, map, at) }));
  }

  private kindOf({ document, path }: FlatTask, mappedOverNothing: boolean): StepKind {
    const kinds: StepKind[] = [];
    if (document.empty === true) kinds.push("empty");
    if (document.short_circuit !== undefined) kinds.push("short_circuit");
    if (document.branch !== undefined) kinds.push("branch");
    if (kinds.length > 1) this.fail(path, `either ${kinds.join(" or ")}`);
    if (kinds.length > 0 && document.job !== undefined)
      this.fail([...path, "job"], `a step that is ${kinds[0]} runs none`);
    if ((document.branch ?? document.short_circuit) !== undefined && document.expand !== undefined) {
      this.fail([...path, "expand"], "a step that decides can't be mapped");
    }
    return mappedOverNothing ? "skip" : (kinds[0] ?? "job");
  }

  private addStep(task: FlatTask, { id, names }: Instance, upstream: readonly number[]): number {
    const { args, document, path } = task;
    const kind = this.kindOf(task, document.expand !== undefined && id === task.id);
    if (args.pool !== undefined && !Object.hasOwn(this.bounds.pools, args.pool)) {
      this.fail([...path, "pool"], `no pool ${args.pool}`);
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
      job: kind === "job" ? this.jobOf(task, names) : null,
    });
    return this.steps.length - 1;
  }

  private text(path: Problem["path"], text: string, names: Names): string {
    try {
      return this.templates.render(text, names);
    } catch (error) {
      if (!(error instanceof TemplateError)) throw error;
      this.fail(path, error.message);
      return "";
    }
  }

  private field(path: Problem["path"], name: string, value: unknown, names: Names): unknown {
    if (Array.isArray(value)) return value.map((inner, at) => this.field([...path, at], name, inner, names));
    if (typeof value !== "string") return value;
    const text = this.text(path, value, names);
    if (FLAGS.has(name)) {
      if (!YES.has(text.toLowerCase()) && !NO.has(text.toLowerCase())) this.fail(path, `${text} is not true or false`);
      return YES.has(text.toLowerCase());
    }
    if (!NUMBERS.has(name)) return text;
    const number = text.trim() === "" ? Number.NaN : Number(text);
    if (!Number.isFinite(number)) this.fail(path, `${text} is not a number`);
    return number;
  }

  /** Number of the task's job in `jobs`. The job is checked as if a user submitted it. */
  private jobOf(task: FlatTask, names: Names): number {
    const path = [...task.path, "job"];
    const given = Object.entries(task.args.job ?? {}).map(
      ([name, value]) => [name, this.field([...path, name], name, value, names)] as const,
    );
    const owner = task.args.owner ?? this.graph.owner;
    const job = { ...JOB_DEFAULTS, ...Object.fromEntries(given), owner };
    const key = JSON.stringify(job);
    const known = this.jobNumbers.get(key);
    if (known !== undefined) return known;
    const before = this.problems.length;
    try {
      decodeSubmission({ ...job, ref: "wk-step" });
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      const [field = "", ...rest] = error.message.split(": ");
      // Where a template failed, that problem is listed already.
      if (this.problems.length === before) this.fail([...path, field], rest.join(": ") || error.message);
    }
    this.jobs.push(job);
    this.jobNumbers.set(key, this.jobs.length - 1);
    return this.jobs.length - 1;
  }

  /** Adds the steps that branches and short circuits skip. These depend on params only, so they are known by now. */
  private cuts(tasks: ReadonlyMap<string, FlatTask>, upstream: ReadonlyMap<string, ReadonlySet<string>>): void {
    const downstream = new Map<string, string[]>();
    for (const id of upstream.keys()) downstream.set(id, []);
    for (const [id, ups] of upstream) for (const up of ups) downstream.get(up)?.push(id);
    for (const task of tasks.values()) {
      const { document, path, id } = task;
      const [at] = this.numbers.get(id) ?? [];
      const step = at === undefined ? undefined : this.steps[at];
      if (at === undefined || step === undefined) continue;
      const direct = downstream.get(id) ?? [];
      let cut: readonly string[] = [];
      if (document.short_circuit !== undefined) {
        const said = this.text([...path, "short_circuit"], document.short_circuit, this.namesFor(task, {}, -1));
        const word = said.trim().toLowerCase();
        if (!YES.has(word) && !NO.has(word)) this.fail([...path, "short_circuit"], `${said} is not true or false`);
        if (NO.has(word)) cut = direct;
      }
      if (document.branch !== undefined) cut = this.notFollowed(task, direct, downstream);
      if (cut.length === 0) continue;
      this.steps[at] = {
        ...step,
        cuts: cut.flatMap((name) => this.numbers.get(name) ?? []),
        cutsAll: document.short_circuit !== undefined && (document.ignore_downstream_trigger_rules ?? true),
      };
    }
  }

  /** As in Airflow: the direct downstream tasks that are neither followed nor downstream of a followed task. */
  private notFollowed(
    task: FlatTask,
    direct: readonly string[],
    downstream: ReadonlyMap<string, readonly string[]>,
  ): readonly string[] {
    const path = [...task.path, "branch"];
    const said = this.text(path, task.document.branch ?? "", this.namesFor(task, {}, -1));
    const group = task.id.slice(0, Math.max(0, task.id.lastIndexOf(".")));
    const follow = said
      .split(/[\s,]+/)
      .filter((name) => name !== "")
      .map((name) => (group !== "" && direct.includes(`${group}.${name}`) ? `${group}.${name}` : name));
    for (const name of follow)
      if (!direct.includes(name)) this.fail(path, `${name} does not come right after ${task.id}`);
    const reached = new Set<string>(follow);
    const work = [...follow];
    for (let id = work.pop(); id !== undefined; id = work.pop()) {
      for (const down of downstream.get(id) ?? []) {
        if (reached.has(down)) continue;
        reached.add(down);
        work.push(down);
      }
    }
    return direct.filter((name) => !reached.has(name));
  }
}
