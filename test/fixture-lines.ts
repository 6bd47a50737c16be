import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const SEPARATOR = "\t";

/** Lines of a file of `test/fixtures`: a name, a tab and the expected bytes as text. */
export class FixtureLines {
  private readonly lines = new Map<string, string>();
  private readonly unused: Set<string>;

  constructor(file: string) {
    const path = fileURLToPath(new URL(`../../../test/fixtures/${file}`, import.meta.url));
    for (const line of readFileSync(path, "utf8").split("\n")) {
      if (line === "") continue;
      const end = line.indexOf(SEPARATOR);
      this.lines.set(line.slice(0, end), line.slice(end + 1));
    }
    this.unused = new Set(this.lines.keys());
  }

  /** Returns the expected bytes with this name, and marks the line as used. */
  text(name: string): string {
    const text = this.lines.get(name);
    assert.ok(text !== undefined, `no fixture ${name}`);
    this.unused.delete(name);
    return text;
  }

  /** Asserts that the bytes equal those of the line with this name. */
  assertMatches(name: string, actual: string): void {
    assert.equal(actual, this.text(name), name);
  }

  /** Asserts that every line of the file has been used by a test. */
  assertAllUsed(): void {
    assert.deepEqual([...this.unused], []);
  }
}
