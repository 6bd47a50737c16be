/** Bodies of users' requests for graphs, and their checks. */
import { Ajv } from "ajv";

const MAX_PARTS = 256;

/** A request to run a graph. */
export interface Submission {
  readonly ref: string;
  readonly graph: unknown;
  readonly params?: Readonly<Record<string, unknown>>;
  /** Logical date, `YYYY-MM-DD`. */
  readonly ds?: string;
}

/** One part of a submission that is uploaded in several requests. */
export interface Part {
  readonly ref: string;
  readonly part: number;
  readonly parts: number;
  readonly text: string;
}

const ajv = new Ajv();
const ref = { type: "string" } as const;
export const isSubmission = ajv.compile<Submission>({
  type: "object",
  required: ["ref", "graph"],
  properties: {
    ref,
    graph: { type: "object" },
    params: { type: "object" },
    ds: { type: "string", pattern: "^\\d{4}-\\d{2}-\\d{2}$" },
  },
});
export const isPart = ajv.compile<Part>({
  type: "object",
  required: ["ref", "part", "parts", "text"],
  properties: {
    ref,
    part: { type: "integer", minimum: 0 },
    parts: { type: "integer", minimum: 1, maximum: MAX_PARTS },
    text: { type: "string" },
  },
});
export const isClear = ajv.compile<{ readonly step: string; readonly downstream?: boolean }>({
  type: "object",
  required: ["step"],
  properties: { step: { type: "string" }, downstream: { type: "boolean" } },
});

/** Text for the user about the request body that the given validator has just refused. */
export const validationMessage = (validate: typeof isSubmission | typeof isPart | typeof isClear): string => {
  const [error] = validate.errors ?? [];
  const missing: unknown = error?.params.missingProperty;
  if (typeof missing === "string") return `${missing}: missing`;
  return `${error?.instancePath.slice(1).replaceAll("/", ".") || "body"}: ${error?.message ?? "invalid"}`;
};
