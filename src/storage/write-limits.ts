/**
 * Limits of the key-value store on what is written, as set and as learnt from its refusals.
 * @module
 */
import { formatJson } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import type { StoreBudget } from "./key-value-store.js";

/** No limit on values is taken to be below this: what is smaller was refused for something else. */
const MIN_VALUE_BYTES = 512;

/**
 * How large a value, and how many writes at once, may be: as set, and less where the key-value store has refused as
 * much.
 */
export class WriteLimits {
  private valueBytes: number;
  private writesPerTransaction: number;

  constructor(budget: StoreBudget) {
    this.valueBytes = budget.valueBytes ?? Number.POSITIVE_INFINITY;
    this.writesPerTransaction = budget.writesPerTransaction;
  }

  /** Size of the largest value that may be written, in bytes. */
  get maxValueBytes(): number {
    return this.valueBytes;
  }

  /** The number of writes that one transaction may have. */
  get maxWritesPerTransaction(): number {
    return this.writesPerTransaction;
  }

  /** A batch of several transactions was too large: from now on half as many writes are sent at once, 1 at least. */
  halveBatches(refusedWrites: number): void {
    this.writesPerTransaction = Math.max(1, Math.floor(refusedWrites / 2));
  }

  /** One transaction was too large: the next has fewer writes, and no value as large as its largest. */
  learnFromRefusal(writes: readonly WriteOperation[]): void {
    if (writes.length > 1) this.writesPerTransaction = Math.min(this.writesPerTransaction, writes.length - 1);
    const sizes = writes.map((write) => (write.kind === "put" ? formatJson(write.value).length : 0));
    const largest = Math.max(0, ...sizes);
    if (largest >= MIN_VALUE_BYTES) this.valueBytes = Math.min(this.valueBytes, largest - 1);
  }
}
