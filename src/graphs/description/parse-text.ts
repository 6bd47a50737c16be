/** Parses the text of graph files and locates problems in it. */
import { isCollection, isNode, LineCounter, parseDocument } from "yaml";
import { GraphError, type Path, type PlacedProblem, type Problem } from "./problem.js";

/** In bytes. Larger files are refused before parsing: their graphs would exceed the largest run. */
export const MAX_TEXT_BYTES = 4 * 1_024 * 1_024;
/** The parser counts each alias by its expansion, so nested aliases ("billion laughs") soon exceed this. */
const MAX_ALIASES = 100;

export interface ReadText {
  readonly value: unknown;
  /** Adds line and column to a problem of this text. */
  readonly place: (problem: Problem) => PlacedProblem;
}

const shortMessage = (message: string): string =>
  // The parser reports its own stack overflow as a syntax error in the text.
  message.includes("call stack")
    ? "nested too deeply"
    : (message.split("\n")[0]?.replace(/ at line .*$/, "") ?? "malformed");

/** Parses YAML, and thereby JSON. Throws a `GraphError`; a syntax error has line and column in its message. */
export const readText = (text: string): ReadText => {
  if (Buffer.byteLength(text) > MAX_TEXT_BYTES) {
    throw new GraphError([{ path: [], message: `larger than ${MAX_TEXT_BYTES / 1_048_576} MiB` }]);
  }
  const counter = new LineCounter();
  try {
    const document = parseDocument(text, { lineCounter: counter, prettyErrors: false, uniqueKeys: true, strict: true });
    const [error] = document.errors;
    if (error !== undefined) {
      const { line, col } = counter.linePos(error.pos[0]);
      throw new GraphError([{ path: [], message: `line ${line}, column ${col}: ${shortMessage(error.message)}` }]);
    }
    const value: unknown = document.toJS({ maxAliasCount: MAX_ALIASES });
    const offsetOf = (path: Path): number => {
      // A missing field has no position: the nearest enclosing node that exists stands in for it.
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
    // Deep nesting overflows the parser's stack (RangeError); too many aliases fail the conversion.
    const message = error instanceof RangeError ? "nested too deeply" : shortMessage(String((error as Error).message));
    throw new GraphError([{ path: [], message }]);
  }
};
