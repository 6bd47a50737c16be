import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { Ajv } from "ajv";
import type { SiteSpec } from "../model/index.js";
import { SettingsError } from "../settings/errors.js";
import { loadOptions, type OperatorOptions } from "../settings/options.js";
import type { ReplayRequest } from "./conduct.js";
import { replayFaithfully } from "./faithful.js";
import { replayFast } from "./fast.js";
import { siteSchema } from "./format.js";
import type { Outcome } from "./outcome.js";
import { addLoad, applySettings, parseSetting } from "./overrides.js";
import { describe, readTrace, type Trace, TraceError } from "./trace.js";

/** A trace and what is changed about it; a file of this form can be named wherever a scenario is expected. */
export interface ScenarioSpec {
  readonly name?: string;
  readonly trace: string;
  readonly mode?: "faithful" | "fast";
  /** Files that replace the trace's site, and give operators' settings. */
  readonly site?: string;
  readonly options?: string;
  /** `key=value`, applied in turn. */
  readonly set?: readonly string[];
  readonly add?: string;
  readonly atUs?: number;
  readonly untilUs?: number;
  readonly seed?: number;
  /** Faulty events become remarks. */
  readonly lenient?: boolean;
}

const text = { type: "string", minLength: 1 } as const;
const us = { type: "integer", minimum: 0 } as const;

export const scenarioSchema = {
  $id: "rainridge-scenario",
  type: "object",
  additionalProperties: false,
  required: ["trace"],
  properties: {
    name: text,
    trace: text,
    mode: { enum: ["faithful", "fast"] },
    site: text,
    options: text,
    set: { type: "array", items: text },
    add: text,
    atUs: us,
    untilUs: us,
    seed: { type: "integer" },
    lenient: { type: "boolean" },
  },
} as const;

/** Reads a JSON file; throws TraceError with its name. */
export const readJsonFile = (file: string): unknown => {
  let content: string;
  try {
    content = readFileSync(file, "utf8");
  } catch (error) {
    throw new TraceError(`${file}: ${(error as NodeJS.ErrnoException).code ?? "cannot be read"}`);
  }
  try {
    return JSON.parse(content);
  } catch {
    throw new TraceError(`${file}: not JSON`);
  }
};

/** Checked against the schema of its kind; throws TraceError naming file and field. */
export const readChecked = <T>(file: string, schema: object, others: readonly object[] = []): T => {
  const value = readJsonFile(file);
  const ajv = new Ajv({ allowUnionTypes: true });
  for (const other of others) ajv.addSchema(other);
  const validate = ajv.compile<T>(schema);
  if (!validate(value)) throw new TraceError(`${file}: ${describe(validate.errors)}`);
  return value;
};

export const readScenario = (file: string): ScenarioSpec => readChecked<ScenarioSpec>(file, scenarioSchema);

const optionsFrom = async (file: string | undefined): Promise<Partial<OperatorOptions>> => {
  if (file === undefined) return {};
  try {
    return await loadOptions(file);
  } catch (error) {
    if (error instanceof SettingsError) throw new TraceError(error.message);
    throw error;
  }
};

/** Traces read by this process, so that twenty seeds read a file once. */
const cache = new Map<string, Promise<Trace>>();
const cachedTrace = (file: string, lenient: boolean): Promise<Trace> => {
  const key = `${lenient}/${file}`;
  const known = cache.get(key) ?? readTrace(file, lenient);
  cache.clear();
  cache.set(key, known);
  return known;
};

/** Reads all that a scenario names and works out what is to be replayed. */
export const prepare = async (spec: ScenarioSpec, seed: number): Promise<ReplayRequest> => {
  let trace = await cachedTrace(spec.trace, spec.lenient === true);
  if (spec.add !== undefined) trace = addLoad(trace, await readTrace(spec.add, spec.lenient === true), spec.atUs ?? 0);
  const site = spec.site === undefined ? trace.header.site : readChecked<SiteSpec>(spec.site, siteSchema);
  const options = await optionsFrom(spec.options);
  const changed = applySettings({ site, options, events: trace.events }, (spec.set ?? []).map(parseSetting));
  return {
    name: basename(spec.trace),
    header: trace.header,
    events: changed.events,
    remarks: trace.remarks,
    site: changed.site,
    options: changed.options,
    seed,
    untilUs: spec.untilUs ?? null,
  };
};

export const replay = async (spec: ScenarioSpec, request: ReplayRequest): Promise<Outcome> => {
  try {
    return spec.mode === "fast" ? replayFast(request) : await replayFaithfully(request);
  } catch (error) {
    // Settings that the controllers themselves refuse.
    if (error instanceof SettingsError) throw new TraceError(`site: ${error.message}`);
    throw error;
  }
};
