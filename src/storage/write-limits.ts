/**
 * Limits on the size of writes to the key-value store, as configured and as learned from its refusals.
 * @module
 */
import { formatJson } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import type { StoreBudget } from "./key-value-store.js";

/** Lower bound of a learned value size limit: a smaller value was refused for some other reason. */
const MIN_VALUE_BYTES = 512;

/**
 * Maximum value size and maximum number of writes in one transaction: the configured limits, lowered after refusals of
 * the key-value store.
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

  /** Maximum number of writes in one transaction. */
  get maxWritesPerTransaction(): number {
    return this.writesPerTransaction;
  }

  /**
   * After a refusal of a batch of several transactions: limits later batches to half as many writes, but at least 1.
   */
  halveBatches(refusedWrites: number): void {
    this.writesPerTransaction = Math.max(1, Math.floor(refusedWrites / 2));
  }

  /**
   * After a refusal of a single transaction: later ones must have fewer writes, and only values smaller than its
   * largest one.
   */
  learnFromRefusal(writes: readonly WriteOperation[]): void {
    if (writes.length > 1) this.writesPerTransaction = Math.min(this.writesPerTransaction, writes.length - 1);
    const sizes = writes.map((write) => (write.kind === "put" ? formatJson(write.value).length : 0));
    const largest = Math.max(0, ...sizes);
    if (largest >= MIN_VALUE_BYTES) this.valueBytes = Math.min(this.valueBytes, largest - 1);
  }
}
