import { Ajv } from "ajv";
import type { GraphDocument } from "./document.js";
import type { Problem } from "./problem.js";

const isDescribed = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === "object" && value !== null && !Array.isArray(value) && ("default" in value || "type" in value);

/** Patterns of others run on our processor: they are left out. */
const KEPT = ["type", "enum", "minimum", "maximum", "minLength", "maxLength", "minItems", "maxItems", "items"];

/**
 * The run's params: those given, else the graph's defaults. A default may be a value, or, as Airflow's `Param`, an
 * object with `default` and what JSON Schema says of types and bounds.
 */
export const paramsOf = (
  graph: GraphDocument,
  given: Readonly<Record<string, unknown>>,
  problems: Problem[],
): Readonly<Record<string, unknown>> => {
  const declared = graph.params ?? {};
  const values: Record<string, unknown> = {};
  // Not kept any longer: it remembers every schema that it has seen.
  const ajv = new Ajv({ strict: false });
  for (const name of Object.keys(given)) {
    if (!Object.hasOwn(declared, name)) problems.push({ path: ["params", name], message: "no such param" });
  }
  for (const [name, described] of Object.entries(declared)) {
    const path = ["params", name];
    const own = Object.hasOwn(given, name);
    if (!isDescribed(described)) {
      values[name] = own ? given[name] : described;
      continue;
    }
    if (!own && !("default" in described)) problems.push({ path, message: "has no default and is not given" });
    values[name] = own ? given[name] : described.default;
    const schema = Object.fromEntries(Object.entries(described).filter(([word]) => KEPT.includes(word)));
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
