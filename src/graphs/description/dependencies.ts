/** An edge between two names, which are tasks or groups. */
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

/** A name, or a list of names in brackets; and where it ends. */
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
 * `a >> [b, c] >> d` and `d << c` as Airflow's operators read them, from left to right. Returns what is wrong as text.
 * Two lists side by side are refused, as Python refuses them.
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
