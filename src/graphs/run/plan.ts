/** The plan of a run: its steps in topological order, and its stored form. */
import { gunzipSync, gzipSync } from "node:zlib";
import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import type { JsonObject } from "../../protocol/json.js";
import { RecordCodec } from "../../protocol/record-codec.js";
import type { TriggerRule } from "./rules.js";

export const WEIGHT_RULES = ["downstream", "upstream", "absolute"] as const;
export type WeightRule = (typeof WEIGHT_RULES)[number];

/** Only `job` runs a job; steps of other kinds end as soon as they start. `skip`: a task mapped over an empty list. */
export type StepKind = "job" | "empty" | "short_circuit" | "branch" | "skip";

export interface Retry {
  /** Attempts after the first; null: as many as the job class permits. */
  readonly retries: number | null;
  /** Delay before a retry, in seconds. */
  readonly delayS: number;
  /** Whether the delay doubles with each retry. */
  readonly exponential: boolean;
  /** Upper bound of the delay, in seconds; null: none. */
  readonly maxDelayS: number | null;
}

/** One step of a run (Airflow's task instance), with mapping, groups, defaults and templates already resolved. */
export interface Step {
  /** `group.task`, followed by `[3]` for the fourth instance of a mapped task. */
  readonly id: string;
  readonly kind: StepKind;
  /** Numbers of the direct upstream steps; all lower than this step's own. */
  readonly upstream: readonly number[];
  readonly rule: TriggerRule;
  readonly retry: Retry;
  /** Running time of an attempt, in seconds; null: the graph sets no limit. */
  readonly timeoutS: number | null;
  readonly pool: string | null;
  readonly weight: number;
  readonly weightRule: WeightRule;
  readonly dependsOnPast: boolean;
  readonly setup: boolean;
  /** Direct downstream steps that a branch or short circuit skips when it succeeds. */
  readonly cuts: readonly number[];
  /** Whether a cut skips all indirect downstream steps, too, whatever their trigger rules. */
  readonly cutsAll: boolean;
  /** Index into the plan's `jobs`; null for steps that run no job. */
  readonly job: number | null;
}

/** The definition of one run, steps in topological order. Made once, when the graph is accepted. */
export interface Plan {
  readonly dagId: string;
  readonly description: string;
  readonly owner: string;
  readonly tags: readonly string[];
  /** Logical date, `YYYY-MM-DD`. */
  readonly ds: string;
  readonly maxActiveTasks: number;
  readonly maxActiveRuns: number;
  readonly timeoutS: number | null;
  /** Job submissions without `ref`. Steps with equal submissions share one. */
  readonly jobs: readonly JsonObject[];
  readonly steps: readonly Step[];
}

/** In bytes of JSON. A larger stored plan is damaged: decoding it fails. */
const MAX_PLAN_BYTES = 32 * 1_024 * 1_024;

/** Values of the fields that a stored step omits. */
export const DEFAULT_STEP: Step = {
  id: "",
  kind: "job",
  upstream: [],
  rule: "all_success",
  retry: { retries: null, delayS: 0, exponential: false, maxDelayS: null },
  timeoutS: null,
  pool: null,
  weight: 1,
  weightRule: "downstream",
  dependsOnPast: false,
  setup: false,
  cuts: [],
  cutsAll: false,
  job: null,
};

const isEqual = (a: unknown, b: unknown): boolean => a === b || JSON.stringify(a) === JSON.stringify(b);

/** Only the fields that differ from the defaults: a step of a wide graph takes some 40 bytes before compression. */
const withoutDefaults = (step: Step): Partial<Step> =>
  Object.fromEntries(Object.entries(step).filter(([name, value]) => !isEqual(value, DEFAULT_STEP[name as keyof Step])));

const retryCodec = new RecordCodec<Retry>({
  retries: "retries",
  delayS: "delayS",
  exponential: "exponential",
  maxDelayS: "maxDelayS",
});

const stepCodec = new RecordCodec<Step>({
  id: "id",
  kind: "kind",
  upstream: "upstream",
  rule: "rule",
  retry: { name: "retry", codec: retryCodec },
  timeoutS: "timeoutS",
  pool: "pool",
  weight: "weight",
  weightRule: "weightRule",
  dependsOnPast: "dependsOnPast",
  setup: "setup",
  cuts: "cuts",
  cutsAll: "cutsAll",
  job: "job",
});

/** Stores only those fields of a step that differ from `DEFAULT_STEP`. */
const planCodec = new RecordCodec<Plan>({
  dagId: "dagId",
  description: "description",
  owner: "owner",
  tags: "tags",
  ds: "ds",
  maxActiveTasks: "maxActiveTasks",
  maxActiveRuns: "maxActiveRuns",
  timeoutS: "timeoutS",
  jobs: "jobs",
  steps: {
    name: "steps",
    codec: {
      encode: (step) => stepCodec.encode(withoutDefaults(step)),
      decode: (stored) => ({ ...DEFAULT_STEP, ...stepCodec.decode(stored) }),
    },
  },
});

/** The plan as base64 text for the key-value store, and a digest that differs between different plans. */
export const encodePlan = (plan: Plan): { readonly text: string; readonly digest: string } => {
  const json = JSON.stringify(planCodec.encode(plan));
  const digest = bytesToHex(sha256(Buffer.from(json, "utf8"))).slice(0, 16);
  return { text: gzipSync(json, { level: 6 }).toString("base64"), digest };
};

/** Throws unless the text was made by `encodePlan`. */
export const decodePlan = (text: string): Plan => {
  const json = gunzipSync(Buffer.from(text, "base64"), { maxOutputLength: MAX_PLAN_BYTES }).toString("utf8");
  return planCodec.decode(JSON.parse(json));
};

/** Numbers of the direct downstream steps of each step. */
export const downstreamOf = (plan: Plan): readonly (readonly number[])[] => {
  const lists: number[][] = plan.steps.map(() => []);
  for (const [at, step] of plan.steps.entries()) for (const up of step.upstream) lists[up]?.push(at);
  return lists;
};

/** Longest path from each step to the end of the graph, in seconds of estimated run time, the step's own included. */
export const criticalPaths = (plan: Plan): Float64Array => {
  const { steps, jobs } = plan;
  const paths = new Float64Array(steps.length);
  for (let at = steps.length - 1; at >= 0; at -= 1) {
    const step = steps[at];
    if (step === undefined) continue;
    const estimate = step.job === null ? 0 : Number(jobs[step.job]?.guessS ?? 0);
    const path = (paths[at] ?? 0) + estimate;
    paths[at] = path;
    for (const up of step.upstream) if ((paths[up] ?? 0) < path) paths[up] = path;
  }
  return paths;
};
