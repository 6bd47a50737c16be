/**
 * Words of the wire stay in the codecs: users, workers, cloud and key-value store have names of their own for what the
 * code calls by the terms of docs/glossary.md. The words are read from the codecs, so that a new one has to be sorted
 * into one of the lists here; no identifier and no text of the packages checked may contain a themed one. Comments are
 * not looked at.
 */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import ts from "typescript";

const PROTOCOL = "src/protocol";
const CHECKED = ["src/transport", "src/storage", "src/cluster", "src/coordination", "src/mesh", "src/settings"];

/** Words of the wire that the code has other terms for. */
const THEMED: ReadonlySet<string> = new Set(
  (
    "accelerators addr area areas ask awaits awaitsInAll baton best_effort bundle daemon dueS ensemble flavor flavors " +
    "flushing guessS halt halted heldS hosts in_use jobclass launch loaner localGb mates_gone no_such orders owner prod " +
    "pullGbPerS pulling ramGb saveEveryS saveTakesS sizeGb sku stamp steward sweep tenure tick warningS windDownS " +
    "withdrawn verb"
  ).split(" "),
);

/** Words of the wire that are terms of this code, or of any program, with another or the same meaning. */
const ORDINARY: ReadonlySet<string> = new Set(
  (
    "cause cpus epoch full high hold host if incomplete k log normal number pending phase rank ref remove set shard shards " +
    "starting together try writes"
  ).split(" "),
);

interface AllowedUses {
  /** File, or folder with all below it. */
  readonly below: string;
  /** Whole identifiers or texts. */
  readonly texts: readonly string[];
  readonly reason: string;
}

/** Uses outside the codecs. Those "to be renamed" are left over; the entry goes with the last use. */
const ALLOWED: readonly AllowedUses[] = [
  {
    below: "src/settings/parse-settings.ts",
    texts: ["area", "mesh_addr"],
    reason: "names of the settings' file in the module that reads it",
  },
  { below: "src/settings/graph-options.ts", texts: ["no_such"], reason: "a value of the operators' options" },
  { below: "src/mesh", texts: ["mesh_addr"], reason: "tells operators which setting is meant" },
  { below: "src/storage/keys.ts", texts: ["c/awaits/"], reason: "prefix of stored keys" },
  { below: "src/coordination/api", texts: ["awaits: "], reason: "tells users which field is meant" },
  { below: "src/coordination", texts: ["/hosts", "/hosts/delete", "/orders"], reason: "paths of cloud and workers" },
  { below: "src/mesh", texts: ["/hosts?page=1"], reason: "a path of the cloud" },
  {
    below: "src/coordination",
    texts: ["LeaderTickFailed", "leader tick failed"],
    reason: "a periodic step of a loop; no field of a message",
  },
  { below: "src/coordination/autoscaling", texts: ["SWEEP_INTERVAL_JOBS"], reason: "a pass over a list" },
  { below: "src/mesh", texts: ["awaitsDrain"], reason: "the verb" },
  { below: "src/coordination/autoscaling", texts: ["ask"], reason: "to be renamed" },
  { below: "src/coordination/api", texts: ["awaits"], reason: "to be renamed" },
  { below: "src/cluster", texts: ["awaits"], reason: "to be renamed" },
  {
    below: "src/coordination",
    texts: ["isWithdrawn", "cancelWithdrawn", "cancelWithdrawnJobs"],
    reason: "to be renamed",
  },
];

const sourceFilesBelow = (folder: string): readonly string[] =>
  readdirSync(folder, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts"))
    .map((name) => join(folder, name))
    .sort();

const parse = (file: string): ts.SourceFile =>
  ts.createSourceFile(file, readFileSync(file, "utf8"), ts.ScriptTarget.Latest, true);

const walk = (node: ts.Node, visit: (node: ts.Node) => void): void => {
  visit(node);
  ts.forEachChild(node, (child) => walk(child, visit));
};

/** `windDownS` and `wind_down_s` both give `wind`, `down`, `s`. */
const partsOf = (text: string): readonly string[] =>
  text
    .replace(/([a-z0-9])([A-Z])/g, "$1 $2")
    .replace(/([A-Z]+)([A-Z][a-z])/g, "$1 $2")
    .toLowerCase()
    .split(/[^a-z0-9]+/)
    .filter((part) => part !== "");

/** A word with an underscore is looked for as it is written, all others in any spelling. */
const contains = (text: string, word: string): boolean =>
  word.includes("_")
    ? new RegExp(`\\b${word}\\b`).test(text)
    : ` ${partsOf(text).join(" ")} `.includes(` ${partsOf(word).join(" ")} `);

const themedWordIn = (text: string): string | null => [...THEMED].find((word) => contains(text, word)) ?? null;

interface Vocabulary {
  /** Names of fields and values in messages. */
  readonly wire: ReadonlySet<string>;
  /** Names of fields and values of the messages' types in memory. */
  readonly memory: ReadonlySet<string>;
}

const nameOf = (node: ts.PropertyName): string => ("text" in node ? node.text : node.getText());

/** The name of the variable that the node stands in the definition of, at the top of its module. */
const definitionOf = (node: ts.Node): string => {
  for (let at = node; at.parent !== undefined; at = at.parent)
    if (ts.isVariableDeclaration(at) && at.parent.parent.parent.kind === ts.SyntaxKind.SourceFile)
      return at.name.getText();
  return "";
};

/**
 * The codecs' readers take fields by name, encoders build objects, and constant tables map values
 * either way, and `FIELD` the names of fields in memory to those of a message.
 */
const readVocabulary = (): Vocabulary => {
  const wire = new Set<string>();
  const memory = new Set<string>();
  const visit = (node: ts.Node): void => {
    if (ts.isPropertySignature(node)) memory.add(nameOf(node.name));
    if (ts.isLiteralTypeNode(node) && ts.isStringLiteral(node.literal)) memory.add(node.literal.text);
    if (ts.isArrayLiteralExpression(node))
      for (const element of node.elements) if (ts.isStringLiteral(element)) memory.add(element.text);
    if (ts.isCallExpression(node) && /^(read|lookup)/.test(node.expression.getText()))
      for (const argument of node.arguments) if (ts.isStringLiteral(argument)) wire.add(argument.text);
    if (ts.isPropertyAccessExpression(node) && /^(fields|item|head|asObject\(.*\))$/s.test(node.expression.getText()))
      wire.add(node.name.text);
    if (!ts.isPropertyAssignment(node) && !ts.isShorthandPropertyAssignment(node)) return;
    const definition = definitionOf(node);
    if (!/^(encode\w*|[A-Z_]+)$/.test(definition)) return;
    if (!ts.isComputedPropertyName(node.name)) (definition === "FIELD" ? memory : wire).add(nameOf(node.name));
    if (ts.isPropertyAssignment(node) && ts.isStringLiteral(node.initializer)) wire.add(node.initializer.text);
  };
  for (const file of sourceFilesBelow(PROTOCOL)) walk(parse(file), visit);
  return { wire, memory };
};

interface Use {
  readonly file: string;
  readonly line: number;
  readonly text: string;
  readonly word: string;
}

const textOf = (node: ts.Node): string | null => {
  if (ts.isIdentifier(node) || ts.isPrivateIdentifier(node)) return node.text;
  if (ts.isStringLiteral(node))
    return ts.isImportDeclaration(node.parent) || ts.isExportDeclaration(node.parent) ? null : node.text;
  if (ts.isNoSubstitutionTemplateLiteral(node) || ts.isTemplateHead(node)) return node.text;
  return ts.isTemplateMiddle(node) || ts.isTemplateTail(node) ? node.text : null;
};

const usesIn = (source: ts.SourceFile): readonly Use[] => {
  const uses: Use[] = [];
  walk(source, (node) => {
    const text = textOf(node);
    // `shards` as a name is the plural of the code's shard; as a whole text it is a message's list of tasks.
    const isTaskList = text === "shards" && ts.isStringLiteral(node);
    const word = text === null ? null : isTaskList ? "shards" : themedWordIn(text);
    if (text === null || word === null) return;
    const line = source.getLineAndCharacterOfPosition(node.getStart()).line + 1;
    uses.push({ file: source.fileName, line, text, word });
  });
  return uses;
};

const isAllowed = ({ file, text }: Use): boolean =>
  ALLOWED.some(({ below, texts }) => (file === below || file.startsWith(`${below}/`)) && texts.includes(text));

test("each word of the codecs is either themed, ordinary, or the code's own", () => {
  const { wire, memory } = readVocabulary();
  assert.ok(wire.size > 80, `only ${wire.size} words found`);
  const unsorted = [...wire].filter((word) => !THEMED.has(word) && !ORDINARY.has(word) && !memory.has(word));
  assert.deepEqual(unsorted, []);
  for (const word of [...THEMED, ...ORDINARY]) assert.ok(wire.has(word), `${word}: in no codec`);
  for (const word of THEMED) assert.ok(!ORDINARY.has(word), `${word}: in both lists`);
});

test("themed words are found in identifiers and texts", () => {
  const source = "const batonOf = 1; const a = { warningS: 2 }; f(`loaner`); g('best_effort', 'shards', shards);";
  const found = usesIn(ts.createSourceFile("sample.ts", source, ts.ScriptTarget.Latest, true)).map(({ word }) => word);
  assert.deepEqual(found, ["baton", "warningS", "loaner", "best_effort", "shards"]);
  const unthemed = "import x from './sku.js'; const order = askew + stamped; // baton";
  assert.deepEqual(usesIn(ts.createSourceFile("sample.ts", unthemed, ts.ScriptTarget.Latest, true)), []);
});

test("no themed word of the wire stands outside the codecs", () => {
  const uses = CHECKED.flatMap(sourceFilesBelow).flatMap((file) => usesIn(parse(file)));
  const wrong = uses.filter((use) => !isAllowed(use));
  assert.deepEqual(
    wrong.map(({ file, line, text, word }) => `${file}:${line}: ${word} in ${text}`),
    [],
  );
});
