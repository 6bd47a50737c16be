import assert from "node:assert/strict";
import { test } from "node:test";
import {
  DagRun,
  type FinalState,
  firstAttempt,
  isFinal,
  limitsOf,
  NO_STORED_ATTEMPTS,
  type Outcome,
  type Plan,
  planLimits,
  type StoredAttempts,
  startOrder,
} from "../src/graphs/index.js";
import { Random } from "../src/model/index.js";
import { DEFAULT_GRAPHS } from "../src/settings/graph-options.js";
import { CLASS, planOf, randomPlan, stepOf } from "./graph-fixtures.js";
import { expectedFinalStates } from "./graph-rules.js";

const OPTIONS = { ...DEFAULT_GRAPHS, otherClasses: CLASS };

interface RunOptions {
  readonly past?: StoredAttempts;
  readonly onRetry?: (step: number) => void;
  readonly frozen?: ReadonlyMap<number, FinalState>;
  readonly clearings?: ReadonlyMap<number, number>;
}

const runOf = (plan: Plan, options: RunOptions = {}): DagRun =>
  new DagRun({
    plan,
    order: startOrder(plan),
    limits: planLimits(plan, OPTIONS),
    frozen: options.frozen ?? new Map(),
    clearings: options.clearings ?? new Map(),
    storedAttempts: options.past ?? NO_STORED_ATTEMPTS,
    pastRun: () => "go",
    onRetry: options.onRetry ?? (() => undefined),
  });

const statesOf = (run: DagRun): readonly string[] => run.plan.steps.map((_, at) => run.stateOf(at));

/** The stored jobs of a run, as the key-value store has them. */
class AttemptRecords implements StoredAttempts {
  readonly ended = new Map<string, Outcome>();
  readonly opened = new Set<string>();
  /** Number of submissions of each attempt. */
  readonly submissions = new Map<string, number>();

  outcome(step: number, attempt: number): Outcome | null {
    return this.ended.get(`${step}.${attempt}`) ?? null;
  }

  isOpen(step: number, attempt: number): boolean {
    return this.opened.has(`${step}.${attempt}`);
  }

  submit(step: number, attempt: number): void {
    const key = `${step}.${attempt}`;
    this.opened.add(key);
    this.submissions.set(key, (this.submissions.get(key) ?? 0) + 1);
  }

  end(key: string, outcome: Outcome): void {
    this.opened.delete(key);
    this.ended.set(key, outcome);
  }
}

/**
 * Runs a plan to its end with events in random order and a takeover by a new engine now and then. Final states must not
 * change on the way, and each attempt must be submitted once.
 */
const runToEnd = (plan: Plan, random: Random, outcomeOf: (step: number, attempt: number) => Outcome): DagRun => {
  const records = new AttemptRecords();
  const retries = new Set<number>();
  const newEngine = (): DagRun => {
    retries.clear();
    return runOf(plan, { past: records, onRetry: (step) => retries.add(step) });
  };
  let run = newEngine();
  const finalStates = new Map<number, string>();
  const checkFinalStates = (): void => {
    for (const [at, state] of statesOf(run).entries()) {
      const before = finalStates.get(at);
      if (before !== undefined) assert.equal(state, before, `step ${at} left its final state`);
      if (isFinal(state as FinalState)) finalStates.set(at, state);
    }
  };
  for (let turn = 0; run.result === null; turn += 1) {
    assert.ok(turn < 2_000, `stuck: ${statesOf(run).join(" ")}`);
    const action = random.int(0, 5);
    if (action === 0) run = newEngine();
    else if (action <= 2) {
      const at = run.takeNext(() => true);
      if (at !== null) {
        const attempt = run.nextAttempt(at);
        records.submit(at, attempt);
        // A takeover between the submission and its response.
        if (random.chance(0.1)) run = newEngine();
        else run.submitted(at, attempt);
      }
    } else if (action === 3 && retries.size > 0) {
      const at = random.pick([...retries]);
      retries.delete(at);
      run.retryDue(at);
    } else if (records.opened.size > 0) {
      const key = random.pick([...records.opened]);
      const [step = 0, attempt = 0] = key.split(".").map(Number);
      records.end(key, outcomeOf(step, attempt));
      if (random.chance(0.1)) run = newEngine();
      else {
        run.ended(step, attempt, outcomeOf(step, attempt));
        // The end is reported twice, as by a repeated transaction.
        if (random.chance(0.2)) run.ended(step, attempt, outcomeOf(step, attempt));
      }
    }
    checkFinalStates();
  }
  for (const [key, count] of records.submissions) assert.equal(count, 1, `${key} submitted ${count} times`);
  return run;
};

const seededOutcomes =
  (seed: number) =>
  (step: number, attempt: number): Outcome => {
    const luck = new Random(seed * 1_000_003 + step * 101 + attempt).int(0, 9);
    return luck < 6 ? "done" : luck < 8 ? "error" : luck === 8 ? "timeout" : "killed";
  };

test("random runs end as Airflow's trigger rules require, for any order of events and any number of takeovers", () => {
  for (let seed = 1; seed <= 400; seed += 1) {
    const random = new Random(seed);
    const plan = randomPlan(random);
    const outcomeOf = seededOutcomes(seed);
    const limits = planLimits(plan, OPTIONS);
    const run = runToEnd(plan, random, outcomeOf);
    const expected = expectedFinalStates(plan, outcomeOf, (at) => limits[at]?.attempts ?? 1);
    assert.deepEqual(statesOf(run), expected, `seed ${seed}`);
  }
});

test("the reference evaluation of trigger rules detects a wrong rule", () => {
  let detected = 0;
  for (let seed = 1; seed <= 60; seed += 1) {
    const plan = randomPlan(new Random(seed));
    const broken = { ...plan, steps: plan.steps.map((step) => ({ ...step, rule: "all_done" as const })) };
    const outcomeOf = seededOutcomes(seed);
    const ends = statesOf(runToEnd(broken, new Random(seed), outcomeOf));
    if (JSON.stringify(ends) !== JSON.stringify(expectedFinalStates(plan, outcomeOf, () => 3))) detected += 1;
  }
  assert.ok(detected > 20, `${detected}`);
});

test("the work for an event does not grow with the size of the graph", () => {
  const visitsOf = (width: number): number => {
    const steps = Array.from({ length: width }, (_, at) => [
      stepOf({ id: `a${at}` }),
      stepOf({ id: `b${at}`, upstream: [2 * at] }),
    ]).flat();
    const run = runOf(planOf(steps));
    run.submitted(0, 1);
    const before = run.visitedSteps;
    run.ended(0, 1, "done");
    return run.visitedSteps - before;
  };
  assert.equal(visitsOf(10), 1);
  assert.equal(visitsOf(5_000), 1);
});

test("a failure propagates along a chain of ten thousand steps without deep recursion", () => {
  const steps = Array.from({ length: 10_000 }, (_, at) => stepOf({ id: `s${at}`, upstream: at === 0 ? [] : [at - 1] }));
  const run = runOf(planOf(steps));
  run.submitted(0, 1);
  run.ended(0, 1, "killed");
  assert.equal(run.count("upstream_failed"), 9_999);
  assert.equal(run.result, "failed");
});

test("a graph may set fewer attempts and longer delays than its job class, but not loosen its limits", () => {
  const ask = (retries: number | null, delayS: number, timeoutS: number | null) =>
    limitsOf(stepOf({ id: "s", timeoutS, retry: { retries, delayS, exponential: true, maxDelayS: 10 } }), {
      ...CLASS,
      timeoutS: 60,
    });
  assert.equal(ask(null, 0, null).attempts, 3);
  assert.equal(ask(50, 0, null).attempts, 3);
  assert.equal(ask(0, 0, null).attempts, 1);
  assert.equal(ask(null, 0, 600).timeout, 60_000_000);
  assert.equal(ask(null, 0, 6).timeout, 6_000_000);
  assert.deepEqual(
    [1, 2, 3, 4].map((tries) => ask(null, 0, null).delay(tries) / 1e6),
    [1, 2, 4, 4],
  );
  assert.deepEqual(
    [1, 2, 3, 4].map((tries) => ask(null, 3, null).delay(tries) / 1e6),
    [3, 6, 10, 10],
  );
});

test("a failing step is retried up to its job class's limit, then trigger rules decide its downstream steps", () => {
  const steps = [
    stepOf({ id: "first" }),
    stepOf({ id: "middle", upstream: [0] }),
    stepOf({ id: "after", upstream: [1] }),
    stepOf({ id: "alarm", upstream: [1], rule: "one_failed" }),
  ];
  const retries: number[] = [];
  const run = runOf(planOf(steps), { onRetry: (step) => retries.push(step) });
  const end = (at: number, outcome: Outcome): void => {
    assert.equal(
      run.takeNext(() => true),
      at,
    );
    const attempt = run.nextAttempt(at);
    run.submitted(at, attempt);
    run.ended(at, attempt, outcome);
  };
  end(0, "done");
  end(1, "error");
  assert.equal(run.stateOf(1), "up_for_retry");
  run.retryDue(1);
  end(1, "timeout");
  run.retryDue(1);
  end(1, "error");
  assert.deepEqual(retries, [1, 1]);
  assert.deepEqual(statesOf(run), ["success", "failed", "upstream_failed", "scheduled"]);
});

test("a repeated end of an earlier attempt changes nothing", () => {
  const run = runOf(planOf([stepOf({ id: "a" })]));
  run.submitted(0, 1);
  run.ended(0, 1, "error");
  run.retryDue(0);
  run.submitted(0, 2);
  run.ended(0, 1, "done");
  assert.deepEqual([run.stateOf(0), run.attemptOf(0)], ["queued", 2]);
});

test("steps start in the graph's own order, and a full pool delays only its own steps", () => {
  const steps = [stepOf({ id: "short" }), stepOf({ id: "long", pool: "gate" }), stepOf({ id: "tail", upstream: [1] })];
  const run = runOf(planOf(steps));
  assert.equal(
    run.takeNext(() => false),
    0,
  );
  assert.equal(
    run.takeNext(() => true),
    1,
  );
  const own = startOrder(planOf([...steps, stepOf({ id: "heavy", weight: 9, weightRule: "absolute" })]));
  assert.equal(own[3], 0);
});

test("a large graph is ordered by its heaviest paths, so that a chain of 20,000 steps is ordered in time", () => {
  // Computing the set of steps reachable from each step blocked a controller for minutes.
  const steps = Array.from({ length: 20_000 }, (_, at) =>
    stepOf({ id: `s${at}`, upstream: at === 0 ? [] : [at - 1], weight: 2 }),
  );
  const order = startOrder(planOf(steps));
  assert.deepEqual([order[0], order[1], order[19_999]], [0, 1, 19_999]);
});

test("a halted run ends when its open steps have ended, and steps that never started are skipped", () => {
  const run = runOf(planOf([stepOf({ id: "a" }), stepOf({ id: "b", upstream: [0] }), stepOf({ id: "c" })]));
  run.submitted(0, 1);
  run.halt();
  assert.equal(
    run.takeNext(() => true),
    null,
  );
  assert.equal(run.result, null);
  run.ended(0, 1, "done");
  run.finishHalted();
  assert.deepEqual(statesOf(run), ["success", "skipped", "skipped"]);
});

test("a cleared step waits for the end of an earlier open attempt and starts a new count of tries", () => {
  const records = new AttemptRecords();
  records.opened.add("0.1");
  const run = runOf(planOf([stepOf({ id: "a" }), stepOf({ id: "b", upstream: [0] })]), {
    past: records,
    clearings: new Map([[0, 1]]),
  });
  assert.equal(
    run.takeNext(() => true),
    null,
  );
  run.ended(0, 1, "aborted");
  assert.equal(
    run.takeNext(() => true),
    0,
  );
  assert.equal(run.nextAttempt(0), firstAttempt(1));
  assert.equal(run.stateOf(1), "none");
});
