/** The operators' options: types, defaults, schema and loading. The names are those of the options file. */
import { readFileSync } from "node:fs";
import type { Schema } from "@cfworker/json-schema";
import { SettingsError } from "./errors.js";
import { type GraphOptions, graphOptionsSchema, readGraphOptions } from "./graph-options.js";

/** What operators may set: a JSON file, checked against `optionsSchema`, all of it optional. */
export interface OperatorOptions {
  /** Share of the candidate machines that stays on the shortlist, above 0 and up to 1 (κ in the paper on the method). */
  readonly kappa: number;
  /** Longest time between two scheduling rounds, in milliseconds. */
  readonly roundMs: number;
  /** Free capacity kept for the next job, as a multiple of a usual job of each class. */
  readonly headroom: number;
  /** A machine that is empty and not needed is returned to the cloud after this time, in seconds. */
  readonly idleReturnS: number;
  /** Missed heartbeats, in heartbeat intervals, after which a machine is probed and then given up. */
  readonly silentReports: number;
  /** Where to record a trace for what-if questions; null: nowhere. */
  readonly record: TraceOptions | null;
  /** Graphs of dependent jobs; null: none are taken. */
  readonly graphs: GraphOptions | null;
  /** Whether controllers connect to each other, and relay calls where a link is cut. */
  readonly mesh: boolean;
}

/** The newest `files` files of at most `fileMb` MB each are kept in the folder. */
export interface TraceOptions {
  readonly folder: string;
  readonly fileMb: number;
  readonly files: number;
}

/** The options where there is no file. */
export const DEFAULT_OPTIONS: OperatorOptions = {
  kappa: 0.5,
  roundMs: 1_000,
  headroom: 1,
  idleReturnS: 15,
  silentReports: 1.5,
  record: null,
  graphs: null,
  mesh: false,
};

/** JSON schema of the options file. */
export const optionsSchema = {
  $schema: "http://json-schema.org/draft-07/schema#",
  title: "rainridge operators' settings",
  type: "object",
  additionalProperties: false,
  properties: {
    kappa: { type: "number", exclusiveMinimum: 0, maximum: 1 },
    roundMs: { type: "integer", minimum: 10, maximum: 60_000 },
    headroom: { type: "number", minimum: 0, maximum: 20 },
    idleReturnS: { type: "number", minimum: 0, maximum: 3_600 },
    silentReports: { type: "number", minimum: 1.3, maximum: 100 },
    record: {
      anyOf: [
        { type: "null" },
        {
          type: "object",
          additionalProperties: false,
          required: ["folder", "fileMb", "files"],
          properties: {
            folder: { type: "string", minLength: 1 },
            fileMb: { type: "number", minimum: 0.01, maximum: 10_000 },
            files: { type: "integer", minimum: 1, maximum: 1_000 },
          },
        },
      ],
    },
    graphs: graphOptionsSchema,
    mesh: { type: "boolean" },
  },
} as const;

/** Reads an options file; null: the defaults. Rejects with SettingsError. */
export const loadOptions = async (file: string | null): Promise<OperatorOptions> => {
  if (file === null) return DEFAULT_OPTIONS;
  const stated = await checkOptions(file, readJsonFile(file));
  return { ...DEFAULT_OPTIONS, ...stated, graphs: readGraphOptions(stated.graphs) };
};

const readJsonFile = (file: string): unknown => {
  try {
    return JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    const problem = error instanceof SyntaxError ? "not JSON" : "cannot be read";
    throw new SettingsError(`${file}: ${problem}`, { cause: error });
  }
};

/** Interprets the schema: that takes a tenth of the time of compiling it, and a start must be quick. */
const matchesSchema = async (value: unknown): Promise<boolean> => {
  const { Validator } = await import("@cfworker/json-schema");
  // Its type has mutable lists, which it doesn't change.
  const schema: object = optionsSchema;
  return new Validator(schema as Schema, "7").validate(value).valid;
};

const checkOptions = async (file: string, value: unknown): Promise<Partial<OperatorOptions>> => {
  if (await matchesSchema(value)) return value as Partial<OperatorOptions>;
  // Names the fault: whoever has to read it can wait.
  const { Ajv } = await import("ajv");
  const validate = new Ajv().compile<Partial<OperatorOptions>>(optionsSchema);
  if (validate(value)) return value;
  const first = validate.errors?.[0];
  const unknownName = first?.params.additionalProperty ?? "";
  throw new SettingsError(`${file}: ${first?.instancePath || "/"}${unknownName} ${first?.message ?? "invalid"}`);
};
