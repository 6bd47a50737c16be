/**
 * A batch of submitted transactions that are sent to the key-value store as one transaction.
 * @module
 */
import type { Uint64 } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import type { PendingTransaction, SubmissionResult } from "./pending-transaction.js";

/** A batch may have this many times `maxWritesPerTransaction` conditions. */
export const MAX_CONDITIONS_PER_WRITE = 4;
/** A batch whose encoded writes exceed this size is full; the transaction added last may exceed it. */
const MAX_BATCH_BYTES = 48 * 1_024;

const encodedSize = (writes: readonly WriteOperation[]): number =>
  JSON.stringify(writes, (_, value: unknown) => (typeof value === "bigint" ? value.toString() : value)).length;

/** Combined conditions and writes of transactions that do not conflict with each other. */
export class TransactionBatch {
  readonly transactions: PendingTransaction[] = [];
  readonly conditions = new Map<string, Uint64>();
  readonly writes: WriteOperation[] = [];
  private readonly writtenKeys = new Set<string>();
  /** Encoded size of the writes. */
  private bytes = 0;

  /** `maxWritesPerTransaction`: number of writes that the key-value store accepts in one transaction. */
  constructor(private readonly maxWritesPerTransaction: number) {}

  /**
   * Moves transactions from the front of the queue into this batch until one does not fit within `maxWrites` writes in
   * the batch, or within its other bounds. The first transaction of an empty batch always fits. Transactions that
   * conflict with the batch stay in the queue, in order. Returns the number of writes added.
   */
  fillFrom(queue: PendingTransaction[], maxWrites: number): number {
    const writesBefore = this.writes.length;
    const conflicting: PendingTransaction[] = [];
    let index = 0;
    for (; index < queue.length; index += 1) {
      const transaction = queue[index];
      if (transaction === undefined || !this.hasRoomFor(transaction, maxWrites)) break;
      if (this.conflictsWith(transaction)) conflicting.push(transaction);
      else this.add(transaction);
    }
    queue.splice(0, index, ...conflicting);
    return this.writes.length - writesBefore;
  }

  /** Resolves all transactions of the batch with this result. */
  resolveAll(result: SubmissionResult): void {
    for (const { resolve } of this.transactions) resolve(result);
  }

  private hasRoomFor({ keys, conditions }: PendingTransaction, maxWrites: number): boolean {
    if (this.transactions.length === 0) return true;
    const maxConditions = this.maxWritesPerTransaction * MAX_CONDITIONS_PER_WRITE;
    return (
      this.writes.length + keys.length <= maxWrites &&
      this.conditions.size + conditions.size <= maxConditions &&
      this.bytes <= MAX_BATCH_BYTES
    );
  }

  /** Whether applying the transaction in one batch could give another result than applying it after the batch. */
  private conflictsWith({ conditions, keys }: PendingTransaction): boolean {
    for (const [key, version] of conditions) {
      if (this.writtenKeys.has(key)) return true;
      if (this.conditions.has(key) && this.conditions.get(key) !== version) return true;
    }
    return keys.some((key) => this.writtenKeys.has(key) || this.conditions.has(key));
  }

  private add(transaction: PendingTransaction): void {
    const writes = transaction.buildWrites();
    this.transactions.push(transaction);
    this.writes.push(...writes);
    this.bytes += encodedSize(writes);
    for (const [key, version] of transaction.conditions) this.conditions.set(key, version);
    for (const key of transaction.keys) this.writtenKeys.add(key);
  }
}
