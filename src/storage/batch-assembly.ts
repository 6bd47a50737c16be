/**
 * Which of the transactions that wait are sent together, and how the write budget is parted between priorities.
 * @module
 */
import { TransactionBatch } from "./transaction-batch.js";
import type { TransactionQueues } from "./transaction-queues.js";
import { forEachPriority, type WritePriority } from "./write-priority.js";

/** Users' writes leave the rest of a batch to what else is waiting: accepted work must get going, too. */
const USER_WRITE_SHARE = 0.75;
/** Urgent writes, with those before them, leave the rest of a batch to other work. */
const URGENT_WRITE_SHARE = 0.9;

/** Bounds of one batch, in writes. */
export interface BatchBounds {
  /** What the key-value store takes at once. */
  readonly maxWritesPerTransaction: number;
  /** What the write budget has at present. */
  readonly availableWrites: number;
  /** What deferred and maintenance writes leave of either for a wave of starts. */
  readonly reservedWrites: number;
}

/** A batch with the number of its writes by priority. */
export interface AssembledBatch {
  readonly batch: TransactionBatch;
  readonly writeCounts: Readonly<Record<WritePriority, number>>;
}

/**
 * Takes the transactions of the next batch out of the queues. It begins with the oldest transaction of priority
 * `first`, whatever its size, and goes on in the order of priorities.
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
  // The priority whose turn it is gets one in any case, and no more than that before the others.
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
