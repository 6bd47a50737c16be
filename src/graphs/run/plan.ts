import { gunzipSync, gzipSync } from "node:zlib";
import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import type { JsonObject } from "../../protocol/json.js";
import { RecordCodec } from "../../protocol/record-codec.js";
import type { TriggerRule } from "./rules.js";

export const WEIGHT_RULES = ["downstream", "upstream", "absolute"] as const;
export type WeightRule = (typeof WEIGHT_RULES)[number];

/** `job` runs a job; the others decide at once and run nothing. `skip`: mapped over an empty list. */
export type StepKind = "job" | "empty" | "short_circuit" | "branch" | "skip";

export interface Retry {
  /** Attempts after the first; null: as many as the class permits. */
  readonly retries: number | null;
  readonly delayS: number;
  readonly exponential: boolean;
  readonly maxDelayS: number | null;
}

/** One step of a run, mapping, groups, defaults and templates worked out. */
export interface Step {
  /** `group.task`, with `[3]` behind it for the fourth of a mapped one. */
  readonly id: string;
  readonly kind: StepKind;
  /** Numbers of the direct upstream steps; all lower than this step's own. */
  readonly upstream: readonly number[];
  readonly rule: TriggerRule;
  readonly retry: Retry;
  /** Of running time; null: no limit of the graph's own. */
  readonly timeoutS: number | null;
  readonly pool: string | null;
  readonly weight: number;
  readonly weightRule: WeightRule;
  readonly dependsOnPast: boolean;
  readonly setup: boolean;
  /** Where it decides, the direct downstream steps that are skipped once it has succeeded. */
  readonly cuts: readonly number[];
  /** Whether what a cut skips passes it on to all that comes after, whatever their rules say. */
  readonly cutsAll: boolean;
  /** Which of the plan's `jobs` it runs; null for steps that run nothing. */
  readonly job: number | null;
}

/** All that a run needs, in topological order. Made once, when the graph is accepted. */
export interface Plan {
  readonly dagId: string;
  readonly description: string;
  readonly owner: string;
  readonly tags: readonly string[];
  readonly ds: string;
  readonly maxActiveTasks: number;
  readonly maxActiveRuns: number;
  readonly timeoutS: number | null;
  /** As a user would submit them, less `ref`. Steps with the same demands share one. */
  readonly jobs: readonly JsonObject[];
  readonly steps: readonly Step[];
}

/** A plan of this many bytes of JSON is taken for damaged. */
const MOST_TEXT = 32 * 1_024 * 1_024;

/** What a step is that says nothing. */
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

const same = (a: unknown, b: unknown): boolean => a === b || JSON.stringify(a) === JSON.stringify(b);

/** Only what differs from the defaults, so that a step of a wide graph is some forty bytes before compression. */
const slim = (step: Step): Partial<Step> =>
  Object.fromEntries(Object.entries(step).filter(([name, value]) => !same(value, DEFAULT_STEP[name as keyof Step])));

const retryForm = new RecordCodec<Retry>({
  retries: "retries",
  delayS: "delayS",
  exponential: "exponential",
  maxDelayS: "maxDelayS",
});

const stepForm = new RecordCodec<Step>({
  id: "id",
  kind: "kind",
  upstream: "upstream",
  rule: "rule",
  retry: { name: "retry", codec: retryForm },
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

/** Of steps, what differs from the defaults is stored. */
const planForm = new RecordCodec<Plan>({
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
      encode: (step) => stepForm.encode(slim(step)),
      decode: (stored) => ({ ...DEFAULT_STEP, ...stepForm.decode(stored) }),
    },
  },
});

/** As text for the state service, with the digest that tells two definitions apart. */
export const encodePlan = (plan: Plan): { readonly text: string; readonly digest: string } => {
  const json = JSON.stringify(planForm.encode(plan));
  const digest = bytesToHex(sha256(Buffer.from(json, "utf8"))).slice(0, 16);
  return { text: gzipSync(json, { level: 6 }).toString("base64"), digest };
};

/** Throws where the text is not one that `encodePlan` made. */
export const decodePlan = (text: string): Plan => {
  const json = gunzipSync(Buffer.from(text, "base64"), { maxOutputLength: MOST_TEXT }).toString("utf8");
  return planForm.decode(JSON.parse(json));
};

/** Numbers of each step's direct downstream steps. */
export const downstreamOf = (plan: Plan): readonly (readonly number[])[] => {
  const lists: number[][] = plan.steps.map(() => []);
  for (const [at, step] of plan.steps.entries()) for (const up of step.upstream) lists[up]?.push(at);
  return lists;
};

/** Longest way to an end, in seconds of the owners' estimates, the step's own included. */
export const criticalPaths = (plan: Plan): Float64Array => {
  const { steps, jobs } = plan;
  const after = new Float64Array(steps.length);
  for (let at = steps.length - 1; at >= 0; at -= 1) {
    const step = steps[at];
    if (step === undefined) continue;
    const estimate = step.job === null ? 0 : Number(jobs[step.job]?.guessS ?? 0);
    const path = (after[at] ?? 0) + estimate;
    after[at] = path;
    for (const up of step.upstream) if ((after[up] ?? 0) < path) after[up] = path;
  }
  return after;
};
