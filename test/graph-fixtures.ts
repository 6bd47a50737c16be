import { DEFAULT_STEP, type Plan, type Step, TRIGGER_RULES } from "../src/graphs/index.js";
import type { Random } from "../src/model/index.js";
import { DEFAULT_RETRIES } from "../src/settings/graph-options.js";

/** Retry limits of the tests' job classes: three attempts; the first counted failure of a task ends an attempt. */
export const CLASS = { ...DEFAULT_RETRIES, attempts: 3, backOffS: 1, mostBackOffS: 4, errors: 1 };

export const JOB = {
  jobclass: "batch",
  owner: "open",
  shape: "sweep",
  rank: "high",
  shards: 1,
  cpus: 1,
  accelerators: 0,
  ramGb: 1,
  bundle: "img-a",
  sizeGb: 0.2,
  flavors: null,
  area: null,
  together: false,
  spread: false,
  loaner: false,
  guessS: 5,
  saveEveryS: 0,
  saveTakesS: 0,
  dueS: null,
};

export const stepOf = (fields: Partial<Step> & { readonly id: string }): Step => ({
  ...DEFAULT_STEP,
  job: fields.kind === undefined || fields.kind === "job" ? 0 : null,
  ...fields,
});

export const planOf = (steps: readonly Step[], fields: Partial<Plan> = {}): Plan => ({
  dagId: "dag",
  description: "",
  owner: "open",
  tags: [],
  ds: "2026-01-01",
  maxActiveTasks: 1_000,
  maxActiveRuns: 1_000,
  timeoutS: null,
  jobs: [JOB],
  steps,
  ...fields,
});

/** A random plan of up to `maxSteps` steps with random kinds, upstream steps, trigger rules, retries and weights. */
export const randomPlan = (random: Random, maxSteps = 14): Plan => {
  const count = random.int(1, maxSteps);
  const steps: Step[] = [];
  for (let at = 0; at < count; at += 1) {
    const upstream = steps.map((_, up) => up).filter(() => random.chance(2 / Math.max(2, at)));
    const kindRoll = random.int(0, 11);
    const kind = kindRoll === 0 ? "skip" : kindRoll === 1 ? "empty" : kindRoll === 2 ? "short_circuit" : "job";
    steps.push(
      stepOf({
        id: `s${at}`,
        kind,
        upstream,
        rule: random.chance(0.5) ? "all_success" : random.pick(TRIGGER_RULES),
        retry: {
          retries: random.pick([null, null, 0, 1]),
          delayS: random.int(0, 2),
          exponential: random.chance(0.3),
          maxDelayS: null,
        },
        setup: random.chance(0.2),
        weight: random.pick([1, 1, 5]),
        weightRule: random.pick(["downstream", "upstream", "absolute"]),
      }),
    );
  }
  for (const [at, step] of steps.entries()) {
    if (step.kind !== "short_circuit") continue;
    const direct = steps.flatMap((down, number) => (down.upstream.includes(at) ? [number] : []));
    const cuts = random.chance(0.5) ? direct : direct.filter(() => random.chance(0.5));
    steps[at] = { ...step, cuts, cutsAll: random.chance(0.5) };
  }
  return planOf(steps);
};
