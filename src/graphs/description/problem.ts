/** Where in a definition, as names and list indices from its top. */
export type Path = readonly (string | number)[];

/** One thing that is wrong with a definition. */
export interface Problem {
  readonly path: Path;
  readonly message: string;
}

/** A problem and where it stands in the text; counted from 1, null where there is no text. */
export interface PlacedProblem extends Problem {
  readonly line: number | null;
  readonly column: number | null;
}

/** The definition can't be used; its problems tell why. */
export class GraphError extends Error {
  constructor(readonly problems: readonly Problem[]) {
    super(problems.map(problemText).join("; "));
  }
}

export const pathText = (path: Path): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? part : `${text}.${part}`;
  }, "");

/** One line: the field, then what is wrong with it. */
export const problemText = ({ path, message }: Problem): string =>
  path.length === 0 ? message : `${pathText(path)}: ${message}`;

export const placedText = (file: string, problem: PlacedProblem): string => {
  const place = problem.line === null ? "" : `:${problem.line}:${problem.column ?? 1}`;
  return `${file}${place}: ${problemText(problem)}`;
};
