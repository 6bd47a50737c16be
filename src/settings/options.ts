/** The operators' options: types, defaults, schema and loading. Field names are those of the options file. */
import { readFileSync } from "node:fs";
import type { Schema } from "@cfworker/json-schema";
import { SettingsError } from "./errors.js";
import { type GraphOptions, graphOptionsSchema, readGraphOptions } from "./graph-options.js";

/** Options from the operators' JSON file, which is checked against `optionsSchema`. All of them are optional there. */
export interface OperatorOptions {
  /** Share of the candidate machines kept on the shortlist, above 0 and up to 1 (κ in the paper on the method). */
  readonly kappa: number;
  /** Longest time between two scheduling rounds, in milliseconds. */
  readonly roundMs: number;
  /** Free capacity kept for the next job, as a multiple of a typical job of each class. */
  readonly headroom: number;
  /** Idle time after which a machine that is not needed is returned to the cloud, in seconds. */
  readonly idleReturnS: number;
  /** Time without a heartbeat after which a machine is probed and then declared failed, in heartbeat intervals. */
  readonly silentReports: number;
  /** Where to record a trace for what-if simulations; null: no trace is recorded. */
  readonly record: TraceOptions | null;
  /** Limits for graphs of dependent jobs; null: graphs are not accepted. */
  readonly graphs: GraphOptions | null;
  /** Whether controllers connect to each other and relay requests around broken links. */
  readonly mesh: boolean;
}

/** The folder of the trace files, of which the newest `files` are kept, each of at most `fileMb` MB. */
export interface TraceOptions {
  readonly folder: string;
  readonly fileMb: number;
  readonly files: number;
}

/** Options used if there is no options file, and for fields that the file omits. */
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

/** Reads an options file; null: the defaults. Rejects with SettingsError if the file is unreadable or invalid. */
export const loadOptions = async (file: string | null): Promise<OperatorOptions> => {
  if (file === null) return DEFAULT_OPTIONS;
  const configured = await checkOptions(file, readJsonFile(file));
  return { ...DEFAULT_OPTIONS, ...configured, graphs: readGraphOptions(configured.graphs) };
};

const readJsonFile = (file: string): unknown => {
  try {
    return JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    const problem = error instanceof SyntaxError ? "not JSON" : "cannot be read";
    throw new SettingsError(`${file}: ${problem}`, { cause: error });
  }
};

/** Interprets the schema, which takes a tenth of the time of compiling it, to keep start-up short. */
const matchesSchema = async (value: unknown): Promise<boolean> => {
  const { Validator } = await import("@cfworker/json-schema");
  // The library's type declares mutable lists, but does not modify them.
  const schema: object = optionsSchema;
  return new Validator(schema as Schema, "7").validate(value).valid;
};

const checkOptions = async (file: string, value: unknown): Promise<Partial<OperatorOptions>> => {
  if (await matchesSchema(value)) return value as Partial<OperatorOptions>;
  // Compiling the schema is slower, but its error names the invalid field.
  const { Ajv } = await import("ajv");
  const validate = new Ajv().compile<Partial<OperatorOptions>>(optionsSchema);
  if (validate(value)) return value;
  const firstError = validate.errors?.[0];
  const unknownName = firstError?.params.additionalProperty ?? "";
  throw new SettingsError(
    `${file}: ${firstError?.instancePath || "/"}${unknownName} ${firstError?.message ?? "invalid"}`,
  );
};
