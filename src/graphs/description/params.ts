/** Values of a run's params and their checks. */
import { Ajv } from "ajv";
import type { GraphDocument } from "./document.js";
import type { Problem } from "./problem.js";

const isParamDefinition = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === "object" && value !== null && !Array.isArray(value) && ("default" in value || "type" in value);

/** Supported JSON schema keywords. `pattern` is left out: a user's regular expression could block the controller. */
const SUPPORTED_KEYWORDS = [
  "type",
  "enum",
  "minimum",
  "maximum",
  "minLength",
  "maxLength",
  "minItems",
  "maxItems",
  "items",
];

/**
 * The run's params: the given values, else the graph's defaults. A graph declares a param as a plain default or, like
 * Airflow's `Param`, as an object with `default` and JSON schema keywords. Problems are appended to `problems`.
 */
export const paramsOf = (
  graph: GraphDocument,
  given: Readonly<Record<string, unknown>>,
  problems: Problem[],
): Readonly<Record<string, unknown>> => {
  const declared = graph.params ?? {};
  const values: Record<string, unknown> = {};
  // A new instance each time: Ajv caches every schema that it compiles, which would leak memory.
  const ajv = new Ajv({ strict: false });
  for (const name of Object.keys(given)) {
    if (!Object.hasOwn(declared, name)) problems.push({ path: ["params", name], message: "no such param" });
  }
  for (const [name, definition] of Object.entries(declared)) {
    const path = ["params", name];
    const isGiven = Object.hasOwn(given, name);
    if (!isParamDefinition(definition)) {
      values[name] = isGiven ? given[name] : definition;
      continue;
    }
    if (!isGiven && !("default" in definition)) problems.push({ path, message: "has no default and is not given" });
    values[name] = isGiven ? given[name] : definition.default;
    const schema = Object.fromEntries(
      Object.entries(definition).filter(([keyword]) => SUPPORTED_KEYWORDS.includes(keyword)),
    );
    try {
      if (!ajv.validate(schema, values[name])) {
        problems.push({ path, message: ajv.errors?.[0]?.message ?? "does not fit" });
      }
    } catch (error) {
      problems.push({ path, message: `not a usable schema: ${String((error as Error).message).slice(0, 100)}` });
    }
  }
  return values;
};
