/**
 * Queues of submitted transactions, one for each priority.
 * @module
 */
import type { Clock } from "../transport/clock.js";
import type { PendingTransaction } from "./pending-transaction.js";
import {
  forEachPriority,
  OVERDUE_ORDER,
  overdueAfter,
  WRITE_PRIORITIES,
  type WritePriority,
} from "./write-priority.js";

/** One batch in this many may begin with an overdue transaction. */
const OVERDUE_BATCH_INTERVAL = 3;

/** Queued transactions by priority, oldest first, and the choice of the one that begins the next batch. */
export class TransactionQueues {
  private readonly queues: Readonly<Record<WritePriority, PendingTransaction[]>> = forEachPriority(() => []);
  private batchCount = 0;
  /** Index in `OVERDUE_ORDER` of the priority served last by the round-robin over overdue priorities. */
  private lastOverdueIndex = 0;

  constructor(private readonly clock: Clock) {}

  /** Number of queued transactions of this priority. */
  count(priority: WritePriority): number {
    return this.queues[priority].length;
  }

  /** Number of queued transactions of all priorities. */
  get totalCount(): number {
    return WRITE_PRIORITIES.reduce((sum, priority) => sum + this.count(priority), 0);
  }

  /** The queue itself, oldest first. */
  of(priority: WritePriority): PendingTransaction[] {
    return this.queues[priority];
  }

  /** Appends a transaction to the queue of its priority. */
  push(transaction: PendingTransaction): void {
    this.queues[transaction.priority].push(transaction);
  }

  /** Returns transactions whose batch failed to the front of the queues of their priorities, in the same order. */
  requeue(transactions: readonly PendingTransaction[]): void {
    for (const priority of WRITE_PRIORITIES) {
      this.queues[priority].unshift(...transactions.filter((transaction) => transaction.priority === priority));
    }
  }

  /** Removes and returns the oldest deferred transaction that writes this key; null where there is none. */
  removeDeferred(key: string): PendingTransaction | null {
    const index = this.queues.deferred.findIndex(({ keys }) => keys.includes(key));
    return index < 0 ? null : (this.queues.deferred.splice(index, 1)[0] ?? null);
  }

  /** The transaction that begins the next batch; null: all queues are empty. */
  next(): PendingTransaction | null {
    const overdue = this.isOverdueBatch && this.count("cancellation") === 0 ? this.nextOverdue() : null;
    if (overdue !== null) return overdue;
    for (const priority of WRITE_PRIORITIES) {
      const transaction = this.queues[priority][0];
      if (transaction !== undefined) return transaction;
    }
    return null;
  }

  /** Records a new batch. `priority`: that of the transaction with which it begins. */
  recordBatch(priority: WritePriority): void {
    if (this.isOverdueBatch) this.lastOverdueIndex = Math.max(0, OVERDUE_ORDER.indexOf(priority));
    this.batchCount += 1;
  }

  /** Whether the transaction has waited for longer than the limit of its priority. */
  isOverdue({ priority, queuedAt }: PendingTransaction): boolean {
    return this.clock.now() - queuedAt > overdueAfter(priority);
  }

  private get isOverdueBatch(): boolean {
    return this.batchCount % OVERDUE_BATCH_INTERVAL === 0;
  }

  /**
   * The oldest overdue transaction of the next priority in round-robin order. Without the rotation, the most delayed
   * priority alone would starve the others.
   */
  private nextOverdue(): PendingTransaction | null {
    for (let step = 1; step <= OVERDUE_ORDER.length; step += 1) {
      const priority = OVERDUE_ORDER[(this.lastOverdueIndex + step) % OVERDUE_ORDER.length] ?? "normal";
      const transaction = this.queues[priority][0];
      if (transaction !== undefined && this.isOverdue(transaction)) return transaction;
    }
    return null;
  }
}
