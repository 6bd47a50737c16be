/** Types of graph definitions and their check against the JSON schema. Field names are those of graph files. */
import { Ajv, type ErrorObject } from "ajv";
import { GraphError, type Path, type Problem } from "./problem.js";
import { graphSchema } from "./schema.js";

/** Settings of a task, also used as `default_args`. Times are seconds. */
export interface TaskArgs {
  readonly owner?: string;
  readonly trigger_rule?: string;
  readonly retries?: number;
  readonly retry_delay?: number;
  readonly retry_exponential_backoff?: boolean;
  readonly max_retry_delay?: number;
  readonly execution_timeout?: number;
  readonly pool?: string;
  readonly priority_weight?: number;
  readonly weight_rule?: string;
  readonly depends_on_past?: boolean;
  readonly job?: Readonly<Record<string, unknown>>;
}

export interface TaskDocument extends TaskArgs {
  readonly task_id: string;
  readonly upstream?: readonly string[];
  readonly empty?: boolean;
  readonly short_circuit?: string;
  readonly ignore_downstream_trigger_rules?: boolean;
  readonly branch?: string;
  readonly expand?: Readonly<Record<string, string | readonly unknown[]>>;
  readonly setup?: boolean;
}

export interface GroupDocument {
  readonly group_id: string;
  readonly upstream?: readonly string[];
  readonly default_args?: TaskArgs;
  readonly dependencies?: readonly string[];
  readonly tasks: readonly TaskDocument[];
  readonly task_groups?: readonly GroupDocument[];
}

/** A graph definition as written, valid by `graphSchema`. */
export interface GraphDocument {
  readonly dag_id: string;
  readonly description?: string;
  readonly owner: string;
  readonly tags?: readonly string[];
  readonly params?: Readonly<Record<string, unknown>>;
  readonly default_args?: TaskArgs;
  readonly max_active_tasks?: number;
  readonly max_active_runs?: number;
  readonly dagrun_timeout?: number;
  readonly dependencies?: readonly string[];
  readonly tasks: readonly TaskDocument[];
  readonly task_groups?: readonly GroupDocument[];
}

const validate = new Ajv({ allowUnionTypes: true, strictTypes: false }).compile<GraphDocument>(graphSchema);

const problemOf = (error: ErrorObject): Problem => {
  const path: Path = error.instancePath
    .split("/")
    .slice(1)
    .map((part) => part.replaceAll("~1", "/").replaceAll("~0", "~"))
    .map((part) => (/^\d+$/.test(part) ? Number(part) : part));
  const { missingProperty, additionalProperty, allowedValues, pattern } = error.params as Record<string, unknown>;
  if (typeof missingProperty === "string") return { path: [...path, missingProperty], message: "missing" };
  if (typeof additionalProperty === "string") return { path: [...path, additionalProperty], message: "no such field" };
  if (Array.isArray(allowedValues)) return { path, message: `must be one of ${allowedValues.join(", ")}` };
  if (error.keyword === "pattern") return { path, message: `must look like ${String(pattern)}` };
  return { path, message: error.message ?? "invalid" };
};

/** Throws a `GraphError` with the first field that violates the schema. */
export const readDocument = (value: unknown): GraphDocument => {
  if (validate(value)) return value;
  const errors = validate.errors ?? [];
  // Where `anyOf` allows several forms, the error within one of them is more specific than that of `anyOf`.
  const mostSpecific = errors.find(({ keyword }) => keyword !== "anyOf") ?? errors[0];
  throw new GraphError([mostSpecific === undefined ? { path: [], message: "invalid" } : problemOf(mostSpecific)]);
};
