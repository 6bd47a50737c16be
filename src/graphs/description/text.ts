import { isCollection, isNode, LineCounter, parseDocument } from "yaml";
import { GraphError, type Path, type PlacedProblem, type Problem } from "./problem.js";

/** Larger files are refused unread: what they say would not fit into the largest run. */
export const MOST_TEXT = 4 * 1_024 * 1_024;
/** Each use of an alias counts as much as it brings in; a bomb of aliases of aliases passes this at once. */
const MOST_ALIASES = 100;

export interface ReadText {
  readonly value: unknown;
  readonly place: (problem: Problem) => PlacedProblem;
}

const first = (message: string): string =>
  // The parser reports the end of its own recursion as if it stood in the text.
  message.includes("call stack")
    ? "nested too deeply"
    : (message.split("\n")[0]?.replace(/ at line .*$/, "") ?? "malformed");

/** YAML or JSON, which is YAML, too. Throws a `GraphError` whose problem is placed where that is known. */
export const readText = (text: string): ReadText => {
  if (Buffer.byteLength(text) > MOST_TEXT) {
    throw new GraphError([{ path: [], message: `larger than ${MOST_TEXT / 1_048_576} MiB` }]);
  }
  const counter = new LineCounter();
  try {
    const document = parseDocument(text, { lineCounter: counter, prettyErrors: false, uniqueKeys: true, strict: true });
    const [error] = document.errors;
    if (error !== undefined) {
      const { line, col } = counter.linePos(error.pos[0]);
      throw new GraphError([{ path: [], message: `line ${line}, column ${col}: ${first(error.message)}` }]);
    }
    const value: unknown = document.toJS({ maxAliasCount: MOST_ALIASES });
    const offsetOf = (path: Path): number => {
      // What is missing stands nowhere: its nearest container does.
      for (let length = path.length; length > 0; length -= 1) {
        const node: unknown = document.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) return node.range[0];
      }
      const { contents } = document;
      return isCollection(contents) && contents.range ? contents.range[0] : 0;
    };
    const place = (problem: Problem): PlacedProblem => {
      const { line, col } = counter.linePos(offsetOf(problem.path));
      return { ...problem, line, column: col };
    };
    return { value, place };
  } catch (error) {
    if (error instanceof GraphError) throw error;
    // Deep nesting ends the parser's recursion; too many aliases end the conversion.
    const message = error instanceof RangeError ? "nested too deeply" : first(String((error as Error).message));
    throw new GraphError([{ path: [], message }]);
  }
};
