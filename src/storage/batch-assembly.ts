/**
 * Assembles batches from queued transactions, dividing the write budget between the priorities.
 * @module
 */
import { TransactionBatch } from "./transaction-batch.js";
import type { TransactionQueues } from "./transaction-queues.js";
import { forEachPriority, type WritePriority } from "./write-priority.js";

/** Users' writes take at most this share of a batch while other writes wait: accepted jobs must be started, too. */
const USER_WRITE_SHARE = 0.75;
/** Urgent writes and those of higher priority together take at most this share of a batch while other writes wait. */
const URGENT_WRITE_SHARE = 0.9;

/** Bounds of one batch, in writes. */
export interface BatchBounds {
  /** Number of writes that the key-value store accepts in one transaction. */
  readonly maxWritesPerTransaction: number;
  /** Number of writes that the write budget currently allows. */
  readonly availableWrites: number;
  /** Part of either bound that deferred and maintenance writes leave free for a burst of task starts. */
  readonly reservedWrites: number;
}

/** A batch, with its number of writes by priority. */
export interface AssembledBatch {
  readonly batch: TransactionBatch;
  readonly writeCounts: Readonly<Record<WritePriority, number>>;
}

/**
 * Removes the transactions of the next batch from the queues. The batch begins with the oldest transaction of priority
 * `first`, regardless of its size, and is then filled in the order of priorities.
 */
export const assembleBatch = (queues: TransactionQueues, first: WritePriority, bounds: BatchBounds): AssembledBatch => {
  const batch = new TransactionBatch(bounds.maxWritesPerTransaction);
  const writeCounts = forEachPriority(() => 0);
  const fill = (priority: WritePriority, maxWrites: number): void => {
    writeCounts[priority] += batch.fillFrom(queues.of(priority), maxWrites);
  };
  const maxWrites = Math.min(bounds.maxWritesPerTransaction, bounds.availableWrites);
  const unreservedWrites = maxWrites - bounds.reservedWrites;
  const othersWait = queues.count("normal") + queues.count("deferred") + queues.count("maintenance") > 0;
  // Exactly one transaction of priority `first` goes ahead of all others.
  fill(first, 0);
  fill("cancellation", maxWrites);
  const urgentOrOthersWait = queues.count("urgent") > 0 || othersWait;
  fill("user", urgentOrOthersWait ? Math.floor(maxWrites * USER_WRITE_SHARE) : maxWrites);
  fill("urgent", othersWait ? Math.floor(maxWrites * URGENT_WRITE_SHARE) : maxWrites);
  fill("normal", maxWrites);
  fill("deferred", unreservedWrites);
  fill("maintenance", unreservedWrites);
  return { batch, writeCounts };
};
