/** Problems of graph definitions and their texts for users. */

/** Location in a definition: field names and list indices from its root. */
export type Path = readonly (string | number)[];

/** One fault of a definition. */
export interface Problem {
  readonly path: Path;
  readonly message: string;
}

/** A problem with its line and column, counted from 1; null where the definition was not read from a text. */
export interface PlacedProblem extends Problem {
  readonly line: number | null;
  readonly column: number | null;
}

/** The definition is invalid; `problems` lists the reasons. */
export class GraphError extends Error {
  constructor(readonly problems: readonly Problem[]) {
    super(problems.map(problemText).join("; "));
  }
}

/** Text of a path, such as `tasks[0].job.cpus`. */
export const pathText = (path: Path): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? part : `${text}.${part}`;
  }, "");

/** Text of a problem in one line: the path, unless it is empty, then the message. */
export const problemText = ({ path, message }: Problem): string =>
  path.length === 0 ? message : `${pathText(path)}: ${message}`;

/** Text of a problem as `file:line:column: problem`, without line and column if the line is null. */
export const placedText = (file: string, problem: PlacedProblem): string => {
  const place = problem.line === null ? "" : `:${problem.line}:${problem.column ?? 1}`;
  return `${file}${place}: ${problemText(problem)}`;
};
