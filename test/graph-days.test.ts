import assert from "node:assert/strict";
import { test } from "node:test";
import { loadDescription, type Outcome, type Plan, parseStepJobId, planLimits } from "../src/graphs/index.js";
import { Random, S } from "../src/model/index.js";
import { randomPlan } from "./graph-fixtures.js";
import { expectedFinalStates } from "./graph-rules.js";
import { plainJob } from "./sim/cluster.js";
import { GRAPH_OPTIONS, GraphSite, JOB_FIELDS } from "./sim/graph-site.js";
import { injectFault } from "./sim/random-faults.js";

const { compile, GraphError, readDocument } = await loadDescription();

/** Number of seeds; RAINRIDGE_GRAPH_SEEDS=1000 runs many more by hand (docs/results.md). */
const SEED_COUNT = Number(process.env.RAINRIDGE_GRAPH_SEEDS ?? 12);
const FIRST_SEED = Number(process.env.RAINRIDGE_FROM ?? 1);
/** Number of fault kinds used: all but those that make tasks fail at random. */
const FAULT_KINDS_WITHOUT_TASK_FAILURES = 9;

interface Graph {
  readonly id: string;
  readonly body: unknown;
  readonly plan: Plan;
}

/** A random graph as a user would submit it, with its compiled plan; null if the definition is refused. */
const randomGraph = (random: Random, id: string): Graph | null => {
  const { steps } = randomPlan(random);
  const tasks = steps.map((step, at) => ({
    task_id: step.id,
    upstream: step.upstream.map((up) => steps[up]?.id),
    trigger_rule: step.rule,
    setup: step.setup,
    priority_weight: step.weight,
    weight_rule: step.weightRule,
    ...(step.kind === "job" ? { retry_delay: step.retry.delayS } : {}),
    ...(step.retry.retries === null ? {} : { retries: step.retry.retries }),
    ...(step.kind === "empty" ? { empty: true } : {}),
    ...(step.kind === "skip" ? { expand: { x: "none" } } : {}),
    ...(step.kind === "short_circuit"
      ? { short_circuit: at % 2 === 0 ? "{{ params.go }}" : "no", ignore_downstream_trigger_rules: step.cutsAll }
      : {}),
  }));
  const graph = {
    dag_id: id,
    owner: random.pick(["open", "capped"]),
    params: { none: [], go: true },
    default_args: { job: { ...JOB_FIELDS, loaner: random.chance(0.5) } },
    tasks,
  };
  try {
    const plan = compile(readDocument(graph), { id, ds: "2026-01-01", params: {} }, GRAPH_OPTIONS);
    return { id, plan, body: { ref: id, ds: "2026-01-01", graph } };
  } catch (error) {
    if (error instanceof GraphError) return null;
    throw error;
  }
};

/** Outcome of each attempt, predetermined by seed, graph, step and attempt number. */
const fixedOutcomes =
  (seed: number, graph: number) =>
  (step: number, attempt: number): Outcome =>
    new Random(seed * 1_000_003 + graph * 10_007 + step * 101 + attempt).chance(0.2) ? "error" : "done";

/** The step and all steps downstream of it. */
const withDownstream = (plan: Plan, step: number): ReadonlySet<number> => {
  const all = new Set([step]);
  for (const [at, { upstream }] of plan.steps.entries()) if (upstream.some((up) => all.has(up))) all.add(at);
  return all;
};

/** A simulated cluster with random graphs, whose course is checked against the trigger rules. */
class Scenario {
  readonly graphs: Graph[] = [];
  /** By id of a graph with a clear: number of clears by step; null if no definite response was received. */
  readonly clearings = new Map<string, Map<number, number> | null>();
  readonly aborted = new Set<string>();
  /** Final states as reported to users, by run and step. */
  private readonly reportedFinals = new Map<string, string>();
  readonly site: GraphSite;
  /** By key of a step's job record: how often it was created. */
  readonly created = new Map<string, number>();
  private readonly existing = new Set<string>();

  constructor(readonly seed: number) {
    this.site = new GraphSite(seed);
    this.site.stepBehaviour = (job) => {
      const parts = parseStepJobId(job);
      const graph = Number(/^wk-dr-(\d+)/.exec(job)?.[1] ?? 0);
      const fails = parts !== null && fixedOutcomes(seed, graph)(parts.step, parts.attempt) === "error";
      return { failsAlways: fails, runUs: (1 + ((parts?.step ?? 0) % 4)) * S };
    };
    this.site.state.onApplied = (keys) => {
      for (const key of keys) {
        if (!key.startsWith("c/job/wk-dr-")) continue;
        if (this.site.state.value(key) === undefined) this.existing.delete(key);
        else if (!this.existing.has(key)) {
          this.existing.add(key);
          this.checkNotEarly(key);
          this.created.set(key, (this.created.get(key) ?? 0) + 1);
        }
      }
    };
  }

  /**
   * Reports an error if a step was submitted too early: under rules that depend on all upstream steps, it must not
   * start before the last upstream step with a job has ended.
   */
  private checkNotEarly(key: string): void {
    const { seed, site } = this;
    const graph = this.graphs.find(({ id }) => key.startsWith(`c/job/wk-${id}.`));
    const parts = parseStepJobId(key);
    const step = parts === null ? undefined : graph?.plan.steps[parts.step];
    if (graph !== undefined && this.clearings.has(graph.id)) return;
    if (graph === undefined || step === undefined || step.rule === "always" || step.rule.startsWith("one_")) return;
    const limits = planLimits(graph.plan, GRAPH_OPTIONS);
    const outcomeOf = fixedOutcomes(seed, Number(graph.id.slice(3)));
    const expected = expectedFinalStates(graph.plan, outcomeOf, (at) => limits[at]?.attempts ?? 1);
    for (const up of step.upstream) {
      if (graph.plan.steps[up]?.kind !== "job" || !["success", "failed"].includes(expected[up] ?? "")) continue;
      const index = up.toString(36).padStart(4, "0");
      const outcomes = site.state.keys(`e/wk-${graph.id}.`).filter((end) => end.includes(`.${index}.`));
      let tries = 1;
      while (tries < (limits[up]?.attempts ?? 1) && outcomeOf(up, tries) === "error") tries += 1;
      if (outcomes.length < tries)
        site.errors.push(`${key} was submitted before ${graph.plan.steps[up]?.id} had ended`);
    }
  }

  /** Submits the graph at time `at`, and retries as users do until it is accepted. */
  submit(graph: Graph, at: number): void {
    this.graphs.push(graph);
    const attempt = (): void => {
      void this.site.put("POST", "/v2/graphs", graph.body).then((status) => {
        if (status === 201 || status === 200) return;
        assert.ok(status === 0 || status >= 429, `${graph.id}: ${status}`);
        this.site.world.after(2 * S, attempt);
      });
    };
    this.site.world.at(at, attempt);
  }

  clear(graph: Graph, step: number, at: number): void {
    const { site } = this;
    site.world.at(at, () => {
      const earlier = this.clearings.get(graph.id);
      // From here on, final states may be reset by the clear.
      this.clearings.set(graph.id, earlier ?? null);
      const body = { step: graph.plan.steps[step]?.id };
      void site.put("POST", `/v2/graphs/${graph.id}/clear`, body).then((status) => {
        if (status >= 400 && status < 500 && status !== 429) this.clearings.set(graph.id, new Map());
        if (status === 200) {
          this.clearings.set(graph.id, new Map([...withDownstream(graph.plan, step)].map((one) => [one, 1])));
        }
      });
    });
  }

  abort(graph: Graph, at: number): void {
    const { site } = this;
    const attempt = (): void => {
      void site.put("POST", `/v2/graphs/${graph.id}/abort`, "").then((status) => {
        if (status === 200) this.aborted.add(graph.id);
        else site.world.after(S, attempt);
      });
    };
    site.world.at(at, attempt);
  }

  /** Polls the steps' states and reports an error if a final state changes without a clear. */
  watchFinals(untilUs: number): void {
    for (const { id } of this.graphs) {
      void this.site.steps(id).then((steps) => {
        if (this.clearings.has(id)) return;
        for (const { step, state } of steps) {
          const key = `${id} ${step}`;
          const before = this.reportedFinals.get(key);
          if (before !== undefined && before !== state) {
            this.site.errors.push(`${key} went from ${before} to ${state}`);
          }
          if (["success", "failed", "upstream_failed", "skipped"].includes(state)) this.reportedFinals.set(key, state);
        }
      });
    }
    if (this.site.world.now < untilUs) this.site.world.after(7 * S, () => this.watchFinals(untilUs));
  }

  async check(): Promise<void> {
    const { site, seed } = this;
    assert.deepEqual(site.errors, [], `seed ${seed}: errors logged`);
    for (const { id, plan } of this.graphs) {
      const limits = planLimits(plan, GRAPH_OPTIONS);
      const attempts = (at: number): number => limits[at]?.attempts ?? 1;
      const clearing = this.clearings.get(id);
      const originalOutcomeOf = fixedOutcomes(seed, Number(id.slice(3)));
      const outcomeOf = (at: number, attempt: number): Outcome =>
        originalOutcomeOf(at, (clearing?.get(at) ?? 0) * 64 + attempt);
      const expected = expectedFinalStates(plan, outcomeOf, attempts);
      const steps = await site.steps(id, true);
      const lines = (): string =>
        site.log
          .filter((line) => line.includes(id))
          .slice(-40)
          .join("\n");
      const phase = (site.state.value(`ge/${id}`) as { phase?: string } | undefined)?.phase;
      if (this.aborted.has(id)) {
        assert.ok(phase !== undefined, `seed ${seed}: ${id} never ended after its abort\n${lines()}`);
        continue;
      }
      if (clearing === null) continue;
      assert.ok(phase === "success" || phase === "failed", `seed ${seed}: ${id} never ended\n${lines()}`);
      assert.deepEqual(
        steps.map(({ state }) => state),
        expected,
        `seed ${seed} ${id}\n${lines()}`,
      );
      for (const [at, step] of plan.steps.entries()) {
        if (clearing !== undefined) break;
        // A step that ran made as many attempts as its outcomes and job class imply, and each was submitted once.
        const submissions = [...this.created].filter(([key]) => {
          const parts = parseStepJobId(key);
          return key.startsWith(`c/job/wk-${id}.`) && parts?.step === at;
        });
        assert.ok(
          submissions.every(([, count]) => count === 1),
          `seed ${seed}: ${id} ${step.id} submitted twice`,
        );
        let tries = 1;
        while (tries < attempts(at) && outcomeOf(at, tries) === "error") tries += 1;
        const ran = step.kind === "job" && (expected[at] === "success" || expected[at] === "failed");
        assert.equal(submissions.length, ran ? tries : 0, `seed ${seed}: attempts of ${id} ${step.id}`);
      }
    }
    const leftover = site.state.keys("c/").filter((key) => /^c\/(graph|gsum|job\/wk-dr-)/.test(key));
    assert.deepEqual(leftover, [], `seed ${seed}: records left behind`);
  }
}

const runScenario = async (seed: number): Promise<void> => {
  const random = new Random(seed + 7_000);
  const scenario = new Scenario(seed);
  const { site } = scenario;
  const submissionEnd = 120 * S;
  for (let number = 0; scenario.graphs.length < 5; number += 1) {
    const graph = randomGraph(random, `dr-${number}`);
    if (graph !== null) scenario.submit(graph, random.int(2 * S, submissionEnd));
  }
  for (let number = 0; number < 6; number += 1) {
    const job = plainJob(`wk-${number}`, { shards: random.int(1, 4) });
    site.world.at(random.int(2 * S, submissionEnd), () => site.submit(job, { runUs: 6 * S }));
  }
  for (let number = random.int(2, 5); number > 0; number -= 1) {
    site.world.at(random.int(5 * S, submissionEnd), () => injectFault(site, random, FAULT_KINDS_WITHOUT_TASK_FAILURES));
  }
  // In every other scenario, a user clears a step of one graph and aborts another.
  const [first, second] = scenario.graphs;
  if (seed % 2 === 0 && first !== undefined && second !== undefined) {
    scenario.clear(first, random.int(0, first.plan.steps.length - 1), random.int(10 * S, 200 * S));
    scenario.abort(second, random.int(10 * S, 150 * S));
  }
  site.world.at(5 * S, () => scenario.watchFinals(500 * S));
  await site.run(900 * S);
  await scenario.check();
};

test("random graphs end as Airflow's trigger rules say despite random faults", { timeout: 6_000_000 }, async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed += 1) await runScenario(seed);
});

test("runs finish correctly although many writes are applied late and without a response", async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const scenario = new Scenario(seed);
    const random = new Random(seed);
    for (let number = 0; scenario.graphs.length < 3; number += 1) {
      const graph = randomGraph(random, `dr-${number}`);
      if (graph !== null) scenario.submit(graph, 3 * S);
    }
    scenario.site.world.at(4 * S, () => {
      scenario.site.state.unanswered = 0.4;
    });
    for (const at of [30, 60, 90])
      scenario.site.world.at(at * S, () => scenario.site.crash(scenario.site.shardLeader()));
    scenario.site.world.at(150 * S, () => {
      scenario.site.state.unanswered = 0;
    });
    await scenario.site.run(700 * S);
    await scenario.check();
  }
});

test("an aborted run starts no task and leaves no job behind, whatever becomes of submissions in flight", async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const site = new GraphSite(seed);
    await site.run(3 * S);
    // Long enough for a job that is left behind to be still running at the end.
    site.stepBehaviour = () => ({ runUs: 2_000 * S });
    const tasks = Array.from({ length: 30 }, (_, at) => ({ task_id: `t${at}` }));
    site.state.unanswered = 0.4;
    let posted = 0;
    while (posted !== 200 && posted !== 201) {
      const graph = { dag_id: "d", owner: "open", default_args: { job: JOB_FIELDS }, tasks };
      ({ status: posted } = await site.request("POST", "/v2/graphs", { ref: "dr-1", ds: "2026-01-01", graph }));
    }
    await site.run((seed % 5) * 0.2 * S);
    while ((await site.request("POST", "/v2/graphs/dr-1/abort")).status !== 200) await site.run(S);
    const abortedAt = site.world.now;
    // New writes succeed from now on; earlier ones are still in flight, and the run ends before the last is applied.
    site.state.unanswered = 0;
    if (seed % 3 === 0) site.crash(site.shardLeader());
    await site.run(45 * S);
    const begun = site.taskStarts.length;
    await site.run(60 * S);
    assert.equal(site.taskStarts.length, begun, `seed ${seed}: started after the abort of ${abortedAt / S} s`);
    await site.waitForPhase("dr-1", ["withdrawn"], 200);
    const on = [...site.checker.jobs.keys()].filter((job) => site.checker.isRunning(`${job}/0`));
    assert.deepEqual(on, [], `seed ${seed}: still running\n${site.describeJob(on[0] ?? "-")}`);
    await site.run(60 * S);
    assert.deepEqual(site.state.keys("c/job/"), [], `seed ${seed}`);
    assert.equal(site.state.value("c/graph/dr-1"), undefined);
  }
});

test("a run survives a crash of its shard leader, or of all controllers, after any of its writes", async () => {
  const tasks = [
    { task_id: "s0" },
    { task_id: "s1", upstream: ["s0"] },
    { task_id: "s2", upstream: ["s0"], trigger_rule: "all_done" },
    { task_id: "s3", upstream: ["s1", "s2"], trigger_rule: "none_failed" },
  ];
  const graph = { dag_id: "d", owner: "open", default_args: { job: JOB_FIELDS }, tasks };
  const body = { ref: "dr-1", ds: "2026-01-01", graph };
  const plan = compile(readDocument(graph), { id: "dr-1", ds: "2026-01-01", params: {} }, GRAPH_OPTIONS);
  let writes = Number.POSITIVE_INFINITY;
  for (let crashAfter = 1; crashAfter < writes; crashAfter += 1) {
    const scenario = new Scenario(3);
    const { site } = scenario;
    const checkCreation = site.state.onApplied;
    let applied = 0;
    site.state.onApplied = (keys) => {
      checkCreation(keys);
      if (!keys.some((key) => key.includes("dr-1"))) return;
      applied += 1;
      if (applied !== crashAfter) return;
      // Crashes before a response to the write can arrive.
      if (crashAfter % 2 === 0) for (const at of [0, 1, 2]) site.crash(at);
      else site.crash(site.shardLeader());
    };
    await site.run(3 * S);
    scenario.submit({ id: "dr-1", body, plan }, 3 * S);
    await site.run(150 * S);
    await scenario.check();
    if (applied < crashAfter) writes = crashAfter;
  }
  assert.ok(writes > 15, `${writes} writes`);
});
