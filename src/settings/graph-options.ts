/** Section `graphs` of the operators' options: types, defaults and schema. Field names are those of the file. */

/** Retry policy for the steps of one job class. */
export interface ClassRetries {
  /** Most attempts, including the first one. */
  readonly attempts: number;
  /** Delay before the second attempt, in seconds; doubled for each further attempt, up to `mostBackOffS`. */
  readonly backOffS: number;
  readonly mostBackOffS: number;
  /** Longest running time of an attempt, in seconds; null: no limit. */
  readonly timeoutS: number | null;
  /** Number of failures of one task, on any machines, after which the attempt fails. */
  readonly errors: number;
  /** Failure reasons that count. Lost machines and preemption never count. */
  readonly counts: readonly ("error" | "no_such")[];
}

/** Limits for graphs of dependent jobs. */
export interface GraphOptions {
  /** Retry policies by job class. */
  readonly classes: Readonly<Record<string, ClassRetries>>;
  /** Retry policy of the job classes that are not in `classes`. */
  readonly otherClasses: ClassRetries;
  /** Number of slots of each pool, shared by all graphs. Steps that name an unknown pool are rejected. */
  readonly pools: Readonly<Record<string, number>>;
  /** Most concurrent runs. */
  readonly mostRuns: number;
  /** Most steps of one run; each instance of a mapped step counts. */
  readonly mostSteps: number;
  /** Most accepted steps of one run that are queued or running at once; applies besides its `max_active_tasks`. */
  readonly mostOpen: number;
}

/** Default retry policy. */
export const DEFAULT_RETRIES: ClassRetries = {
  attempts: 3,
  backOffS: 5,
  mostBackOffS: 300,
  timeoutS: null,
  errors: 3,
  counts: ["error"],
};

/** Values of an empty section `graphs`. */
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

/** JSON schema of the section; null: graphs are not accepted. */
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

/** Some fields of an options object whose values are not typed yet. */
type UntypedFields<T> = { readonly [Name in keyof T]?: unknown };

/** Fills in the defaults of a section that has passed the schema. Null: graphs are not accepted. */
export const readGraphOptions = (value: UntypedFields<GraphOptions> | null | undefined): GraphOptions | null => {
  if (value === null || value === undefined) return null;
  const configured = value as Partial<GraphOptions>;
  const otherClasses = { ...DEFAULT_RETRIES, ...configured.otherClasses };
  const classes = Object.entries(configured.classes ?? {}).map(([name, retries]) => [
    name,
    { ...otherClasses, ...retries },
  ]);
  return { ...DEFAULT_GRAPHS, ...configured, otherClasses, classes: Object.fromEntries(classes) };
};
