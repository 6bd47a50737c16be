/** Section `graphs` of the operators' options: types, defaults and schema. The names are those of the options file. */

/** Retries of the steps of one job class. */
export interface ClassRetries {
  /** Attempts in all, the first one included. */
  readonly attempts: number;
  /** Pause before the second attempt, in seconds; doubled for each further one, up to `mostBackOffS`. */
  readonly backOffS: number;
  readonly mostBackOffS: number;
  /** Running time of an attempt, in seconds; null: no limit. */
  readonly timeoutS: number | null;
  /** So many failures of one task, wherever it was placed, fail an attempt. */
  readonly errors: number;
  /** Which failures count. Lost machines and preemption never do. */
  readonly counts: readonly ("error" | "no_such")[];
}

/** What is allowed to graphs of jobs. */
export interface GraphOptions {
  /** By job class. */
  readonly classes: Readonly<Record<string, ClassRetries>>;
  /** For classes that are not named. */
  readonly otherClasses: ClassRetries;
  /** Slots of each pool, over all graphs. Steps that name another pool are refused. */
  readonly pools: Readonly<Record<string, number>>;
  /** Runs that may be under way at once. */
  readonly mostRuns: number;
  /** Steps of one run, mapped ones counted singly. */
  readonly mostSteps: number;
  /** Accepted steps of one run that may wait or run at once, whatever its `max_active_tasks`. */
  readonly mostOpen: number;
}

/** Retries where the operators state nothing. */
export const DEFAULT_RETRIES: ClassRetries = {
  attempts: 3,
  backOffS: 5,
  mostBackOffS: 300,
  timeoutS: null,
  errors: 3,
  counts: ["error"],
};

/** What an empty section `graphs` means. */
export const DEFAULT_GRAPHS: GraphOptions = {
  classes: {},
  otherClasses: DEFAULT_RETRIES,
  pools: {},
  mostRuns: 2_000,
  mostSteps: 20_000,
  mostOpen: 1_000,
};

const retriesSchema = {
  type: "object",
  additionalProperties: false,
  properties: {
    attempts: { type: "integer", minimum: 1, maximum: 60 },
    backOffS: { type: "number", minimum: 0, maximum: 86_400 },
    mostBackOffS: { type: "number", minimum: 0, maximum: 86_400 },
    timeoutS: { anyOf: [{ type: "null" }, { type: "number", exclusiveMinimum: 0, maximum: 31_536_000 }] },
    errors: { type: "integer", minimum: 1, maximum: 1_000 },
    counts: { type: "array", items: { enum: ["error", "no_such"] }, uniqueItems: true },
  },
} as const;

/** JSON schema of the section; null: no graphs are taken. */
export const graphOptionsSchema = {
  anyOf: [
    { type: "null" },
    {
      type: "object",
      additionalProperties: false,
      properties: {
        classes: { type: "object", additionalProperties: retriesSchema, maxProperties: 1_000 },
        otherClasses: retriesSchema,
        pools: {
          type: "object",
          additionalProperties: { type: "integer", minimum: 0, maximum: 1_000_000 },
          maxProperties: 1_000,
        },
        mostRuns: { type: "integer", minimum: 1, maximum: 10_000 },
        mostSteps: { type: "integer", minimum: 1, maximum: 50_000 },
        mostOpen: { type: "integer", minimum: 1, maximum: 50_000 },
      },
    },
  ],
} as const;

/** Parts of an options object, not yet typed field by field. */
type PartsOf<T> = { readonly [Name in keyof T]?: unknown };

/** Adds the defaults to what the operators have stated; `value` has passed the schema. Null: no graphs are taken. */
export const readGraphOptions = (value: PartsOf<GraphOptions> | null | undefined): GraphOptions | null => {
  if (value === null || value === undefined) return null;
  const stated = value as Partial<GraphOptions>;
  const otherClasses = { ...DEFAULT_RETRIES, ...stated.otherClasses };
  const classes = Object.entries(stated.classes ?? {}).map(([name, retries]) => [
    name,
    { ...otherClasses, ...retries },
  ]);
  return { ...DEFAULT_GRAPHS, ...stated, otherClasses, classes: Object.fromEntries(classes) };
};
