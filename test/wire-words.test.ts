/**
 * Protocol vocabulary stays in the codecs. The protocols of users, workers, cloud and key-value store have their own
 * names for concepts that the code names by the terms of docs/glossary.md. The test reads these names from the codecs,
 * and each new one must be added to one of the lists here. No identifier or string of the checked packages may contain
 * a name that is reserved for the protocols. Comments are not checked.
 */
import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import ts from "typescript";

const PROTOCOL = "src/protocol";
const CHECKED = ["src/transport", "src/storage", "src/cluster", "src/coordination", "src/mesh", "src/settings"];

/** Protocol names for which the code has other terms; reserved for the codecs. */
const RESERVED_NAMES: ReadonlySet<string> = new Set(
  (
    "accelerators addr area areas ask awaits awaitsInAll baton best_effort bundle daemon dueS ensemble flavor flavors " +
    "flushing guessS halt halted heldS hosts in_use jobclass launch loaner localGb mates_gone no_such orders owner prod " +
    "pullGbPerS pulling ramGb saveEveryS saveTakesS sizeGb sku stamp steward sweep tenure tick warningS windDownS " +
    "withdrawn verb"
  ).split(" "),
);

/** Protocol names that are also terms of this code, or of any program, with the same or another meaning. */
const SHARED_NAMES: ReadonlySet<string> = new Set(
  (
    "cause cpus epoch full high hold host if incomplete k log normal number pending phase rank ref remove set shard shards " +
    "starting together try writes"
  ).split(" "),
);

interface AllowedUses {
  /** A file, or a folder including its subfolders. */
  readonly below: string;
  /** Complete identifiers or strings. */
  readonly texts: readonly string[];
  readonly reason: string;
}

/** Permitted uses outside the codecs. Entries "to be renamed" are temporary, and are removed with their last use. */
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

/** Splits a name into words: `windDownS` and `wind_down_s` both give `wind`, `down`, `s`. */
const wordsOf = (text: string): readonly string[] =>
  text
    .replace(/([a-z0-9])([A-Z])/g, "$1 $2")
    .replace(/([A-Z]+)([A-Z][a-z])/g, "$1 $2")
    .toLowerCase()
    .split(/[^a-z0-9]+/)
    .filter((part) => part !== "");

/** A name with an underscore is matched literally, all others in camel case and in snake case alike. */
const containsName = (text: string, word: string): boolean =>
  word.includes("_")
    ? new RegExp(`\\b${word}\\b`).test(text)
    : ` ${wordsOf(text).join(" ")} `.includes(` ${wordsOf(word).join(" ")} `);

const reservedNameIn = (text: string): string | null =>
  [...RESERVED_NAMES].find((word) => containsName(text, word)) ?? null;

interface Vocabulary {
  /** Names of fields and values in encoded messages. */
  readonly wire: ReadonlySet<string>;
  /** Names of fields and values of the in-memory types of messages. */
  readonly memory: ReadonlySet<string>;
}

const nameOf = (node: ts.PropertyName): string => ("text" in node ? node.text : node.getText());

/** The name of the top-level variable whose definition contains the node; empty where there is none. */
const definitionOf = (node: ts.Node): string => {
  for (let at = node; at.parent !== undefined; at = at.parent)
    if (ts.isVariableDeclaration(at) && at.parent.parent.parent.kind === ts.SyntaxKind.SourceFile)
      return at.name.getText();
  return "";
};

/**
 * Reads the vocabulary of the codecs: their readers access fields by name, their encoders build objects, constant
 * tables map values in both directions, and `FIELD` maps in-memory field names to those of a message.
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
    // As an identifier, `shards` is the plural of shard; as a complete string, it is the task list of a message.
    const isTaskList = text === "shards" && ts.isStringLiteral(node);
    const word = text === null ? null : isTaskList ? "shards" : reservedNameIn(text);
    if (text === null || word === null) return;
    const line = source.getLineAndCharacterOfPosition(node.getStart()).line + 1;
    uses.push({ file: source.fileName, line, text, word });
  });
  return uses;
};

const isAllowed = ({ file, text }: Use): boolean =>
  ALLOWED.some(({ below, texts }) => (file === below || file.startsWith(`${below}/`)) && texts.includes(text));

test("each protocol name in the codecs is listed as reserved or as shared, or is a name of the code", () => {
  const { wire, memory } = readVocabulary();
  assert.ok(wire.size > 80, `only ${wire.size} words found`);
  const unlisted = [...wire].filter(
    (word) => !RESERVED_NAMES.has(word) && !SHARED_NAMES.has(word) && !memory.has(word),
  );
  assert.deepEqual(unlisted, []);
  for (const word of [...RESERVED_NAMES, ...SHARED_NAMES]) assert.ok(wire.has(word), `${word}: in no codec`);
  for (const word of RESERVED_NAMES) assert.ok(!SHARED_NAMES.has(word), `${word}: in both lists`);
});

test("reserved protocol names are found in identifiers and strings", () => {
  const source = "const batonOf = 1; const a = { warningS: 2 }; f(`loaner`); g('best_effort', 'shards', shards);";
  const found = usesIn(ts.createSourceFile("sample.ts", source, ts.ScriptTarget.Latest, true)).map(({ word }) => word);
  assert.deepEqual(found, ["baton", "warningS", "loaner", "best_effort", "shards"]);
  const unreserved = "import x from './sku.js'; const order = askew + stamped; // baton";
  assert.deepEqual(usesIn(ts.createSourceFile("sample.ts", unreserved, ts.ScriptTarget.Latest, true)), []);
});

test("no reserved protocol name is used outside the codecs", () => {
  const uses = CHECKED.flatMap(sourceFilesBelow).flatMap((file) => usesIn(parse(file)));
  const wrong = uses.filter((use) => !isAllowed(use));
  assert.deepEqual(
    wrong.map(({ file, line, text, word }) => `${file}:${line}: ${word} in ${text}`),
    [],
  );
});
