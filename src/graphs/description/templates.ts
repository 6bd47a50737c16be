/** Renders the templates in definitions: a restricted subset of Jinja that is safe for untrusted input. */
import nunjucks from "nunjucks";

/** The variables of a template. No object in it has a prototype. */
export type TemplateVariables = Readonly<Record<string, unknown>>;

/** The template is malformed, not allowed, or names an undefined variable; the message is for the user. */
export class TemplateError extends Error {}

const MAX_OUTPUT_LENGTH = 4_096;
const MAX_NODES = 100;

/** Filters whose output is not larger than their input. */
const ALLOWED_FILTERS: ReadonlySet<string> = new Set([
  "abs",
  "capitalize",
  "default",
  "first",
  "float",
  "int",
  "join",
  "last",
  "length",
  "lower",
  "round",
  "title",
  "trim",
  "upper",
]);

/** Syntax nodes of expressions only: no loops, calls, assignments, macros, includes or tests. */
const ALLOWED_NODES: ReadonlySet<string> = new Set([
  "Root",
  "NodeList",
  "Output",
  "TemplateData",
  "Symbol",
  "Literal",
  "LookupVal",
  "Filter",
  "InlineIf",
  "Compare",
  "CompareOperand",
  "Group",
  "And",
  "Or",
  "Not",
  "Neg",
  "Add",
  "Sub",
  "Mul",
  "Div",
  "FloorDiv",
  "Mod",
  "Concat",
]);
const FORBIDDEN_KEYS: ReadonlySet<unknown> = new Set(["constructor", "__proto__", "prototype"]);

interface TemplateNode {
  readonly typename: string;
  readonly fields: readonly string[];
  readonly [field: string]: unknown;
}

interface Parser {
  parse(source: string): TemplateNode;
}

const isNode = (value: unknown): value is TemplateNode =>
  typeof value === "object" && value !== null && typeof (value as { typename?: unknown }).typename === "string";

const childrenOf = (node: TemplateNode): readonly TemplateNode[] => {
  const own = node.fields.map((field) => node[field]);
  const listed = Array.isArray(node.children) ? (node.children as unknown[]) : [];
  return [...own, ...listed, ...own.flatMap((value) => (Array.isArray(value) ? (value as unknown[]) : []))].filter(
    isNode,
  );
};

const checkTemplate = (root: TemplateNode, variables: TemplateVariables): void => {
  const seen = new Set<TemplateNode>();
  const stack: { node: TemplateNode; filter: boolean }[] = [{ node: root, filter: false }];
  for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
    const { node, filter } = next;
    if (seen.has(node)) continue;
    seen.add(node);
    if (seen.size > MAX_NODES) throw new TemplateError("template too long");
    const { typename } = node;
    if (!ALLOWED_NODES.has(typename)) throw new TemplateError(`${typename.toLowerCase()} is not allowed in a template`);
    if (typename === "Symbol") {
      const name = String(node.value);
      if (filter && !ALLOWED_FILTERS.has(name)) throw new TemplateError(`no filter ${name}`);
      if (!filter && !Object.hasOwn(variables, name)) throw new TemplateError(`${name} is undefined`);
    }
    if (typename === "LookupVal") {
      const key = isNode(node.val) ? node.val.value : undefined;
      if (FORBIDDEN_KEYS.has(key)) throw new TemplateError(`${String(key)} is not allowed in a template`);
    }
    for (const child of childrenOf(node))
      stack.push({ node: child, filter: typename === "Filter" && child === node.name });
  }
};

const parser = (nunjucks as unknown as { readonly parser: Parser }).parser;
const environment = new nunjucks.Environment(null, { autoescape: false, throwOnUndefined: true });

/** A deep copy without prototypes, so that a template can't access inherited properties such as constructors. */
export const withoutPrototypes = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(withoutPrototypes);
  if (typeof value !== "object" || value === null) return value;
  return Object.assign(
    Object.create(null) as object,
    Object.fromEntries(Object.entries(value).map(([name, inner]) => [name, withoutPrototypes(inner)])),
  );
};

export const isTemplate = (text: string): boolean => /\{[{%#]/.test(text);

/** Renders templates; caches the compiled ones. */
export class Templates {
  private readonly compiled = new Map<string, nunjucks.Template>();

  /** Throws `TemplateError`, also for an undefined name. */
  render(text: string, variables: TemplateVariables): string {
    if (!isTemplate(text)) return text;
    try {
      let template = this.compiled.get(text);
      if (template === undefined) {
        checkTemplate(parser.parse(text), variables);
        template = new nunjucks.Template(text, environment, undefined, true);
        this.compiled.set(text, template);
      }
      const output = template.render(variables);
      if (output.length > MAX_OUTPUT_LENGTH)
        throw new TemplateError(`result longer than ${MAX_OUTPUT_LENGTH} characters`);
      return output;
    } catch (error) {
      if (error instanceof TemplateError) throw error;
      const message = String((error as Error).message);
      if (message.includes("null or undefined value")) throw new TemplateError(`a name in ${text} is undefined`);
      throw new TemplateError(`malformed template: ${message.split("\n").at(-1)?.trim() ?? "unknown"}`);
    }
  }
}
