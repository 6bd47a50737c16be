/**
 * Guards against outdated pages: files and symbols named by docs/architecture.md exist, links between pages resolve,
 * files named in the glossary exist, and the runbook lists the log events that need attention, and no event that is
 * never logged.
 */
import assert from "node:assert/strict";
import { existsSync, readdirSync, readFileSync, statSync } from "node:fs";
import { dirname, join } from "node:path";
import { test } from "node:test";
import ts from "typescript";

const sourceFilesBelow = (folder: string): readonly string[] =>
  readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name))
    .sort();

const parse = (file: string): ts.SourceFile =>
  ts.createSourceFile(file, readFileSync(file, "utf8"), ts.ScriptTarget.Latest, true);

const nameOf = (node: ts.Node): string | null => {
  const { name } = node as { readonly name?: ts.Node };
  return name !== undefined && (ts.isIdentifier(name) || ts.isStringLiteral(name)) ? name.text : null;
};

/** Declarations at the top of a module. */
const topLevel = (source: ts.SourceFile): readonly ts.Node[] =>
  source.statements.flatMap((statement): readonly ts.Node[] =>
    ts.isVariableStatement(statement) ? statement.declarationList.declarations : [statement],
  );

/** Members of a class, interface or type, and the fields that a constructor declares by its parameters. */
const membersOf = (declaration: ts.Node): readonly ts.Node[] => {
  if (ts.isInterfaceDeclaration(declaration)) return declaration.members;
  if (ts.isTypeAliasDeclaration(declaration))
    return ts.isTypeLiteralNode(declaration.type) ? declaration.type.members : [];
  if (!ts.isClassDeclaration(declaration)) return [];
  const parameters = declaration.members.flatMap((member) =>
    ts.isConstructorDeclaration(member) ? member.parameters : [],
  );
  return [...declaration.members, ...parameters];
};

/** The fault of a reference of the form `file.ts#Symbol.member`; null if it resolves. */
const faultOf = (root: string, reference: string): string | null => {
  const [path = "", symbol] = reference.split("#");
  const file = join(root, path);
  if (!existsSync(file)) return `${reference}: no such file`;
  if (symbol === undefined) return null;
  const [name, member] = symbol.split(".");
  const declarations = topLevel(parse(file)).filter((node) => nameOf(node) === name);
  if (declarations.length === 0) return `${reference}: no ${name} there`;
  const found = member === undefined || declarations.flatMap(membersOf).some((node) => nameOf(node) === member);
  return found ? null : `${reference}: ${name} has no ${member}`;
};

/** Texts between backticks on one line, outside fenced blocks. */
const codeSpans = (page: string): readonly string[] =>
  [...page.replace(/^```.*?^```/gms, "").matchAll(/`([^`\n]+)`/g)].map(([, text = ""]) => text);

const referencesIn = (page: string): readonly string[] =>
  codeSpans(page).filter((text) => /^[\w/-]+\.ts(#[\w.]+)?$/.test(text));

const PAGES = [
  "README.md",
  "CONTRIBUTING.md",
  ...readdirSync("docs", { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".md"))
    .map((name) => join("docs", name))
    .sort(),
];

/** Heading anchors as the usual renderers make them. */
const anchorsOf = (page: string): readonly string[] =>
  [...page.matchAll(/^#+ (.*)$/gm)].map(([, text = ""]) =>
    text
      .toLowerCase()
      .replace(/[^\w\- ]/g, "")
      .replaceAll(" ", "-"),
  );

const linkFaults = (file: string): readonly string[] =>
  [...readFileSync(file, "utf8").matchAll(/\]\(([^()\s]+)\)/g)].flatMap(([, target = ""]) => {
    if (/^[a-z]+:/.test(target)) return [];
    const [path = "", anchor] = target.split("#");
    const linked = path === "" ? file : join(dirname(file), path);
    if (!existsSync(linked)) return [`${file}: ${target}`];
    const known = anchor === undefined || anchorsOf(readFileSync(linked, "utf8")).includes(anchor);
    return known ? [] : [`${file}: ${target}: no such heading`];
  });

test("files and symbols that the architecture page names exist", () => {
  const references = referencesIn(readFileSync("docs/architecture.md", "utf8"));
  assert.ok(
    references.filter((text) => text.includes("#")).length > 40,
    "the architecture page names 40 symbols or fewer",
  );
  const faults = references.map((reference) => faultOf("src", reference)).filter((fault) => fault !== null);
  assert.deepEqual(faults, []);
});

test("references to missing files, symbols and members are reported", () => {
  assert.equal(faultOf("src", "transport/clock.ts#Clock.now"), null);
  assert.notEqual(faultOf("src", "transport/watch.ts"), null);
  assert.notEqual(faultOf("src", "transport/clock.ts#Calendar"), null);
  assert.notEqual(faultOf("src", "transport/clock.ts#Clock.yesterday"), null);
  assert.deepEqual(referencesIn("`a/b.ts#C.d` and `e.ts`, not `f` or\n```\n`g.ts`\n```\n"), ["a/b.ts#C.d", "e.ts"]);
});

test("files that the glossary names exist", () => {
  const paths = codeSpans(readFileSync("docs/glossary.md", "utf8")).filter((text) => /^src\/[\w/.-]+$/.test(text));
  assert.ok(paths.length > 60, "the glossary names 60 files or fewer");
  assert.deepEqual(
    paths.filter((path) => !existsSync(path)),
    [],
  );
});

/** Pages about past states, with the names of their time. */
const HISTORICAL = /^docs\/(results|ROADMAP|questions)\.md$|^docs\/incidents\//;

test("files and folders that the pages name exist", () => {
  for (const page of PAGES.filter((file) => !HISTORICAL.test(file))) {
    const paths = codeSpans(readFileSync(page, "utf8")).filter(
      (text) => /^(src|test|deploy|docs|examples)\/[\w/.-]+$/.test(text) || /^[\w-]+\/[\w/.-]+\.ts$/.test(text),
    );
    const missing = paths.filter((path) => !existsSync(path) && !existsSync(join("src", path)));
    assert.deepEqual(missing, [], page);
  }
});

test("relative links of the pages resolve", () => {
  assert.ok(PAGES.every((file) => statSync(file).isFile()));
  assert.deepEqual(PAGES.flatMap(linkFaults), []);
});

interface WrittenEvent {
  readonly text: string;
  readonly level: string;
}

/** Keys and texts of the events of `src/<package>/log-events.ts`. */
const eventConstants = (file: string): ReadonlyMap<string, string> => {
  const constants = new Map<string, string>();
  const visit = (node: ts.Node): void => {
    if (ts.isPropertyAssignment(node) && ts.isStringLiteral(node.initializer))
      constants.set(nameOf(node) ?? "", node.initializer.text);
    ts.forEachChild(node, visit);
  };
  visit(parse(file));
  return constants;
};

const LOG_EVENT_FILES = sourceFilesBelow("src").filter((file) => file.endsWith("/log-events.ts"));
const CONSTANTS_BY_FILE = new Map(LOG_EVENT_FILES.map((file) => [file, eventConstants(file)]));

/** The event constants that a module imports; found by the path of the import. */
const importedConstants = (file: string, source: ts.SourceFile): ReadonlyMap<string, string> => {
  for (const statement of source.statements) {
    if (!ts.isImportDeclaration(statement) || !ts.isStringLiteral(statement.moduleSpecifier)) continue;
    const imported = join(dirname(file), statement.moduleSpecifier.text).replace(/\.js$/, ".ts");
    const constants = CONSTANTS_BY_FILE.get(imported);
    if (constants !== undefined) return constants;
  }
  return new Map();
};

/** The texts that an event argument can have: a literal, a constant, or a conditional of two. */
const eventTexts = (node: ts.Expression, constants: ReadonlyMap<string, string>): readonly string[] => {
  if (ts.isStringLiteral(node)) return [node.text];
  if (ts.isConditionalExpression(node))
    return [node.whenTrue, node.whenFalse].flatMap((choice) => eventTexts(choice, constants));
  const text = ts.isPropertyAccessExpression(node) ? constants.get(node.name.text) : undefined;
  return text === undefined ? [] : [text];
};

/** Events of all calls of `log.error`, `log.info` and `log.debug`, on any object with a `log`. */
const eventsWrittenIn = (file: string): readonly WrittenEvent[] => {
  const events: WrittenEvent[] = [];
  const source = parse(file);
  const constants = importedConstants(file, source);
  const visit = (node: ts.Node): void => {
    if (ts.isCallExpression(node) && ts.isPropertyAccessExpression(node.expression)) {
      const [event] = node.arguments;
      const level = node.expression.name.text;
      const isLog = /(^|\.)log$/.test(node.expression.expression.getText());
      if (isLog && ["error", "info", "debug"].includes(level) && event !== undefined)
        for (const text of eventTexts(event, constants)) events.push({ text, level });
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return events;
};

/** Events of the first column of the runbook's tables. */
const eventsOfRunbook = (page: string): readonly string[] =>
  page.split("\n").flatMap((line) => (line.startsWith("| `") ? codeSpans(line.split("|")[1] ?? "") : []));

test("the runbook lists all events of level error and all event constants, and no event that is never logged", () => {
  const listed = eventsOfRunbook(readFileSync("docs/operations/runbook.md", "utf8"));
  const written = sourceFilesBelow("src").flatMap(eventsWrittenIn);
  const errors = written.filter(({ level }) => level === "error").map(({ text }) => text);
  assert.ok(errors.length > 30, `only ${errors.length} errors found`);
  const constants = [...CONSTANTS_BY_FILE.values()].flatMap((events) => [...events.values()]);
  assert.ok(constants.length > 60, `only ${constants.length} constants found`);
  const wanted = new Set([...errors, ...constants]);
  assert.deepEqual(
    [...wanted].filter((text) => !listed.includes(text)),
    [],
    "not in the runbook",
  );
  const known = new Set(written.map(({ text }) => text));
  assert.deepEqual(
    listed.filter((text) => !known.has(text)),
    [],
    "in the runbook, and never logged",
  );
  assert.equal(new Set(listed).size, listed.length, "listed twice");
});
