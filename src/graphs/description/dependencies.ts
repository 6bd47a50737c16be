/** Parses dependency lists such as `a >> [b, c]`. */

/** An edge between two tasks or groups, by the names in the text. */
export interface Edge {
  readonly from: string;
  readonly to: string;
}

const TOKEN = /\s*(>>|<<|\[|\]|,|[A-Za-z0-9_.-]+)\s*/y;

const tokensOf = (text: string): readonly string[] | null => {
  const tokens: string[] = [];
  TOKEN.lastIndex = 0;
  while (TOKEN.lastIndex < text.length) {
    const token = TOKEN.exec(text)?.[1];
    if (token === undefined) return null;
    tokens.push(token);
  }
  return tokens;
};

const isName = (token: string | undefined): token is string => token !== undefined && /^[A-Za-z0-9_.-]+$/.test(token);

interface Term {
  readonly names: readonly string[];
  readonly list: boolean;
}

/** A name or a bracketed list of names, and the index of the token after it. Null: neither. */
const termAt = (tokens: readonly string[], at: number): { term: Term; next: number } | null => {
  const token = tokens[at];
  if (isName(token)) return { term: { names: [token], list: false }, next: at + 1 };
  if (token !== "[") return null;
  const names: string[] = [];
  for (let next = at + 1; ; next += 2) {
    const name = tokens[next];
    if (!isName(name)) return null;
    names.push(name);
    if (tokens[next + 1] === "]") return { term: { names, list: true }, next: next + 2 };
    if (tokens[next + 1] !== ",") return null;
  }
};

/**
 * Parses `a >> [b, c] >> d` and `d << c` from left to right, as Airflow's operators. Returns the problem as text if
 * the list is invalid. An arrow between two lists is refused, as in Python.
 */
export const readDependencies = (text: string): readonly Edge[] | string => {
  const tokens = tokensOf(text);
  if (tokens === null) return "only names, >>, <<, brackets and commas are understood";
  const first = termAt(tokens, 0);
  if (first === null) return "must begin with a name or a list of names";
  const edges: Edge[] = [];
  let { term, next } = first;
  if (next >= tokens.length) return "names no dependency: >> or << is missing";
  while (next < tokens.length) {
    const arrow = tokens[next];
    if (arrow !== ">>" && arrow !== "<<") return `>> or << expected before ${arrow ?? "the end"}`;
    const right = termAt(tokens, next + 1);
    if (right === null) return `a name or a list of names expected after ${arrow}`;
    if (term.list && right.term.list) return "a list can't depend on a list: put an empty task between them";
    for (const a of term.names) {
      for (const b of right.term.names) edges.push(arrow === ">>" ? { from: a, to: b } : { from: b, to: a });
    }
    ({ term, next } = right);
  }
  return edges;
};
