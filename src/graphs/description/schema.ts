/** JSON schema of graph files. */
import { WEIGHT_RULES } from "../run/plan.js";
import { TRIGGER_RULES } from "../run/rules.js";

const name = { type: "string", pattern: "^[A-Za-z0-9_.-]{1,100}$" } as const;
const text = { type: "string", maxLength: 2_000 } as const;
const label = { type: "string", minLength: 1, maxLength: 200 } as const;
const durationS = { type: "number", minimum: 0, maximum: 31_536_000 } as const;
const names = { type: "array", items: { type: "string", maxLength: 200 }, maxItems: 10_000 } as const;
const template = { type: "string", pattern: "\\{\\{", maxLength: 2_000 } as const;
const amount = { anyOf: [{ type: "number", minimum: 0 }, template] } as const;
const flag = { anyOf: [{ type: "boolean" }, template] } as const;

/** A job as in the user API, except that numbers and booleans may be templates. */
const job = {
  type: "object",
  additionalProperties: false,
  properties: {
    jobclass: label,
    shape: { enum: ["sweep", "ensemble"] },
    rank: { enum: ["prod", "high", "normal", "best_effort"] },
    shards: amount,
    cpus: amount,
    accelerators: amount,
    ramGb: amount,
    flavors: { anyOf: [{ type: "null" }, { type: "array", items: label, maxItems: 100 }] },
    area: { anyOf: [{ type: "null" }, label] },
    together: flag,
    spread: flag,
    loaner: flag,
    bundle: label,
    sizeGb: amount,
    guessS: amount,
    saveEveryS: amount,
    saveTakesS: amount,
    dueS: { anyOf: [{ type: "null" }, { type: "number", minimum: 0 }, template] },
  },
} as const;

const taskArgs = {
  owner: label,
  trigger_rule: { enum: TRIGGER_RULES },
  retries: { type: "integer", minimum: 0, maximum: 1_000 },
  retry_delay: durationS,
  retry_exponential_backoff: { type: "boolean" },
  max_retry_delay: durationS,
  execution_timeout: { type: "number", exclusiveMinimum: 0, maximum: 31_536_000 },
  pool: name,
  priority_weight: { type: "integer", minimum: -1_000_000, maximum: 1_000_000 },
  weight_rule: { enum: WEIGHT_RULES },
  depends_on_past: { type: "boolean" },
  job: { $ref: "#/definitions/job" },
} as const;

/** A DAG as written by its author. Times are seconds. */
export const graphSchema = {
  $schema: "http://json-schema.org/draft-07/schema#",
  $id: "rainridge-graph",
  title: "rainridge graph",
  type: "object",
  required: ["dag_id", "owner", "tasks"],
  additionalProperties: false,
  properties: {
    dag_id: name,
    description: text,
    owner: label,
    tags: { type: "array", items: label, maxItems: 100 },
    params: { type: "object", maxProperties: 200, propertyNames: { pattern: "^[A-Za-z_][A-Za-z0-9_]{0,99}$" } },
    default_args: { type: "object", additionalProperties: false, properties: taskArgs },
    max_active_tasks: { type: "integer", minimum: 1, maximum: 100_000 },
    max_active_runs: { type: "integer", minimum: 1, maximum: 10_000 },
    dagrun_timeout: { type: "number", exclusiveMinimum: 0, maximum: 31_536_000 },
    dependencies: { $ref: "#/definitions/dependencies" },
    tasks: { type: "array", items: { $ref: "#/definitions/task" } },
    task_groups: { type: "array", items: { $ref: "#/definitions/group" } },
  },
  definitions: {
    job,
    dependencies: { type: "array", items: { type: "string", minLength: 1, maxLength: 100_000 }, maxItems: 100_000 },
    task: {
      type: "object",
      required: ["task_id"],
      additionalProperties: false,
      properties: {
        task_id: name,
        upstream: names,
        ...taskArgs,
        /** Succeeds at once without a job, to join dependencies. */
        empty: { type: "boolean" },
        short_circuit: text,
        ignore_downstream_trigger_rules: { type: "boolean" },
        branch: text,
        expand: {
          type: "object",
          minProperties: 1,
          maxProperties: 4,
          additionalProperties: { anyOf: [{ type: "string" }, { type: "array", maxItems: 50_000 }] },
        },
        setup: { type: "boolean" },
      },
    },
    group: {
      type: "object",
      required: ["group_id", "tasks"],
      additionalProperties: false,
      properties: {
        group_id: name,
        tooltip: text,
        upstream: names,
        default_args: { type: "object", additionalProperties: false, properties: taskArgs },
        dependencies: { $ref: "#/definitions/dependencies" },
        tasks: { type: "array", items: { $ref: "#/definitions/task" } },
        task_groups: { type: "array", items: { $ref: "#/definitions/group" } },
      },
    },
  },
} as const;
