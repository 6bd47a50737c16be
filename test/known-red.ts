/**
 * Tests that are known to fail for a real fault that could not be mended yet: KNOWN-RED.txt at the root, a line each,
 * `test | cause | #issue`. No library does this on Node's own runner.
 */
export interface KnownRed {
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
}

export interface Outcome {
  readonly name: string;
  readonly result: "passed" | "failed" | "skipped";
}

/** More than these, and faults pile up. */
export const MOST_KNOWN = 3;
const FILE = "KNOWN-RED.txt";

export class MalformedLine extends Error {}

/** Throws MalformedLine: one line that names the place. */
export const readKnownRed = (text: string): readonly KnownRed[] => {
  const known: KnownRed[] = [];
  for (const [at, line] of text.split("\n").entries()) {
    if (line.trim() === "") continue;
    // A test's own name may have such a bar in it.
    const [, test = "", cause = "", issue = ""] = /^(.*\S) \| (.*\S) \| (#\d+)$/.exec(line.trim()) ?? [];
    if (test === "") throw new MalformedLine(`${FILE}:${at + 1}: not "test | cause | #issue"`);
    if (known.some((other) => other.test === test)) throw new MalformedLine(`${FILE}:${at + 1}: ${test}: named twice`);
    known.push({ test, cause, issue });
  }
  if (known.length > MOST_KNOWN) throw new MalformedLine(`${FILE}: ${known.length} lines, ${MOST_KNOWN} at most`);
  return known;
};

/** What is to be said of a run, and whether it passes. */
export const judge = (
  known: readonly KnownRed[],
  outcomes: readonly Outcome[],
): { readonly passes: boolean; readonly lines: readonly string[] } => {
  const lines: string[] = [];
  let passes = true;
  const fault = (line: string): void => {
    passes = false;
    lines.push(line);
  };
  for (const { test, cause, issue } of known) {
    const [first, ...more] = outcomes.filter(({ name }) => name === test);
    if (first === undefined) fault(`${FILE}: no such test: ${test}`);
    else if (more.length > 0) fault(`${FILE}: ${more.length + 1} tests have this name: ${test}`);
    else if (first.result !== "failed") fault(`${FILE}: ${first.result}, so its line has to go: ${test}`);
    else lines.push(`known red: ${test} | ${cause} | ${issue}`);
  }
  const names = new Set(known.map(({ test }) => test));
  for (const { name, result } of outcomes) if (result === "failed" && !names.has(name)) fault(`failed: ${name}`);
  if (outcomes.every(({ result }) => result === "skipped")) fault("no test was run");
  return { passes, lines };
};
