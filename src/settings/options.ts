import { readFileSync } from "node:fs";
import { SettingsError } from "./errors.js";
import { type GraphOptions, graphOptionsSchema, readGraphOptions } from "./graph-options.js";

/** The operators' own settings: JSON, checked against `optionsSchema`, all of them optional. */
export interface OperatorOptions {
  /** Share of the candidates that stays on the shortlist (the paper's κ). */
  readonly kappa: number;
  /** Longest time between two placement rounds. */
  readonly roundMs: number;
  /** Free room kept for the next job, as a multiple of a usual job of each class. */
  readonly headroom: number;
  /** An empty machine beyond what is wanted goes back after this time. */
  readonly idleReturnS: number;
  /** Missed reports after which a machine is probed and then given up. */
  readonly silentReports: number;
  /** Where to keep a trace of what happens, for what-if; null: nowhere. */
  readonly record: TraceOptions | null;
  /** Graphs of dependent steps; null: none are taken. */
  readonly graphs: GraphOptions | null;
  /** Connections between controllers, and calls through each other where a link is cut. */
  readonly mesh: boolean;
}

/** The newest `files` files of at most `fileMb` MB each stay in the folder. */
export interface TraceOptions {
  readonly folder: string;
  readonly fileMb: number;
  readonly files: number;
}

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

/** The schema compiler is only loaded where there is a file to check: a start must be quick. */
export const loadOptions = async (file: string | null): Promise<OperatorOptions> => {
  if (file === null) return DEFAULT_OPTIONS;
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    throw new SettingsError(`${file}: ${error instanceof SyntaxError ? "not JSON" : "cannot be read"}`);
  }
  const { Ajv } = await import("ajv");
  const validate = new Ajv().compile<Partial<OperatorOptions>>(optionsSchema);
  if (!validate(value)) {
    const first = validate.errors?.[0];
    const name = first?.params.additionalProperty ?? "";
    throw new SettingsError(`${file}: ${first?.instancePath || "/"}${name} ${first?.message ?? "invalid"}`);
  }
  return { ...DEFAULT_OPTIONS, ...value, graphs: readGraphOptions(value.graphs) };
};
