/** Reads and compiles graph files, with the flags that apply to a run. */
import { readFileSync, statSync } from "node:fs";
import type { GraphDocument, PlacedProblem, Plan } from "../graphs/index.js";
import { SettingsError } from "../settings/errors.js";
import { DEFAULT_GRAPHS, type GraphOptions } from "../settings/graph-options.js";
import { loadOptions } from "../settings/options.js";
import { CommandError } from "./cli.js";

/** Exports of the graphs package. */
export type GraphsPackage = typeof import("../graphs/index.js");

/** The graphs package, loaded on first use. */
export const loadGraphsPackage = (): Promise<GraphsPackage> => import("../graphs/index.js");

/** The parser and compiler of graph definitions, loaded on first use. */
export const loadDefinitionReader = async (): ReturnType<GraphsPackage["loadDescription"]> =>
  (await loadGraphsPackage()).loadDescription();

/** Flags of a run: parameters as `name=value`, logical date (YYYY-MM-DD) and path of the operators' options. */
export interface RunFlags {
  readonly param: readonly string[];
  readonly ds?: string;
  readonly options?: string;
}

/** A parsed graph file. `place` adds line and column in the file to a problem. */
export interface ParsedGraph {
  readonly document: GraphDocument;
  readonly params: Readonly<Record<string, unknown>>;
  readonly place: (problem: { path: readonly (string | number)[]; message: string }) => PlacedProblem;
}

/** Problems of a graph file, each with its line and column if known. */
export class FileProblems extends Error {
  constructor(
    readonly file: string,
    readonly problems: readonly PlacedProblem[],
  ) {
    super(file);
  }
}

/** Parses `name=value` pairs; a value that is not valid JSON is a string. */
export const parseParams = (given: readonly string[]): Readonly<Record<string, unknown>> =>
  Object.fromEntries(
    given.map((text) => {
      const at = text.indexOf("=");
      if (at < 1) throw new CommandError(`--param ${text}: not name=value`, true);
      const value = text.slice(at + 1);
      try {
        return [text.slice(0, at), JSON.parse(value) as unknown];
      } catch (error) {
        if (!(error instanceof SyntaxError)) throw error;
        return [text.slice(0, at), value];
      }
    }),
  );

/** Graph section of the operators' options, or its defaults. Throws a `CommandError` if the file is invalid. */
export const loadGraphOptions = async (file: string | undefined): Promise<GraphOptions> => {
  try {
    return (await loadOptions(file ?? null)).graphs ?? DEFAULT_GRAPHS;
  } catch (error) {
    if (error instanceof SettingsError) throw new CommandError(error.message, true);
    throw error;
  }
};

const MAX_FILE_BYTES = 64 * 1_024 * 1_024;

/** Reads a graph file. Throws `FileProblems` if its content is invalid, a `CommandError` if it cannot be read. */
export const readGraph = async (file: string, flags: RunFlags): Promise<ParsedGraph> => {
  const { readText, readDocument, GraphError } = await loadDefinitionReader();
  let text: string;
  try {
    if (statSync(file).size > MAX_FILE_BYTES)
      throw new CommandError(`${file}: larger than 64 MiB, the limit of a graph file`, true);
    text = readFileSync(file, "utf8");
  } catch (error) {
    if (error instanceof CommandError) throw error;
    throw new CommandError(`${file}: ${(error as NodeJS.ErrnoException).code ?? "cannot be read"}`, true);
  }
  let place: ParsedGraph["place"] = (problem) => ({ ...problem, line: null, column: null });
  try {
    const read = readText(text);
    ({ place } = read);
    return { document: readDocument(read.value), params: parseParams(flags.param), place };
  } catch (error) {
    if (error instanceof GraphError) throw new FileProblems(file, error.problems.map(place));
    throw error;
  }
};

/** The current date in UTC, as YYYY-MM-DD. */
export const today = (): string => new Date().toISOString().slice(0, 10);

/** Reads a graph file and compiles it into the plan of run `id`. Throws like `readGraph`. */
export const compileFile = async (
  file: string,
  id: string,
  flags: RunFlags,
): Promise<{ readonly plan: Plan; readonly read: ParsedGraph }> => {
  const { compile, GraphError } = await loadDefinitionReader();
  const read = await readGraph(file, flags);
  try {
    const runWords = { id, ds: flags.ds ?? today(), params: read.params };
    return { plan: compile(read.document, runWords, await loadGraphOptions(flags.options)), read };
  } catch (error) {
    if (error instanceof GraphError) throw new FileProblems(file, error.problems.map(read.place));
    throw error;
  }
};
