/**
 * Queues of submitted transactions, one for each priority.
 * @module
 */
import type { Clock } from "../transport/clock.js";
import type { PendingTransaction } from "./pending-transaction.js";
import { forEachPriority, overdueAfter, TURN_ORDER, WRITE_PRIORITIES, type WritePriority } from "./write-priority.js";

/** One batch in so many begins with what is overdue. */
const TURN_INTERVAL = 3;

/** The transactions that wait, in order by priority and age, and which of them begins the next batch. */
export class TransactionQueues {
  private readonly queues: Readonly<Record<WritePriority, PendingTransaction[]>> = forEachPriority(() => []);
  private batchCount = 0;
  /** Index in `TURN_ORDER` of the priority that had the last turn. */
  private lastTurn = 0;

  constructor(private readonly clock: Clock) {}

  /** Transactions of this priority that wait. */
  count(priority: WritePriority): number {
    return this.queues[priority].length;
  }

  /** Transactions of all priorities that wait. */
  get totalCount(): number {
    return WRITE_PRIORITIES.reduce((sum, priority) => sum + this.count(priority), 0);
  }

  /** The queue itself, oldest first. */
  of(priority: WritePriority): PendingTransaction[] {
    return this.queues[priority];
  }

  /** Puts a transaction at the end of its queue. */
  push(transaction: PendingTransaction): void {
    this.queues[transaction.priority].push(transaction);
  }

  /** Puts transactions that were sent in vain back before all others of their priorities, in the same order. */
  requeue(transactions: readonly PendingTransaction[]): void {
    for (const priority of WRITE_PRIORITIES) {
      this.queues[priority].unshift(...transactions.filter((transaction) => transaction.priority === priority));
    }
  }

  /** Takes the oldest deferred transaction that writes this key out of its queue; null where there is none. */
  removeDeferred(key: string): PendingTransaction | null {
    const index = this.queues.deferred.findIndex(({ keys }) => keys.includes(key));
    return index < 0 ? null : (this.queues.deferred.splice(index, 1)[0] ?? null);
  }

  /** The transaction that is to begin the next batch; null: nothing waits. */
  next(): PendingTransaction | null {
    const overdue = this.isTurn && this.count("cancellation") === 0 ? this.nextOverdue() : null;
    if (overdue !== null) return overdue;
    for (const priority of WRITE_PRIORITIES) {
      const transaction = this.queues[priority][0];
      if (transaction !== undefined) return transaction;
    }
    return null;
  }

  /** To be called with the priority of the transaction that began a batch. */
  recordBatch(priority: WritePriority): void {
    if (this.isTurn) this.lastTurn = Math.max(0, TURN_ORDER.indexOf(priority));
    this.batchCount += 1;
  }

  /** Whether it has waited for longer than is right for its priority. */
  isOverdue({ priority, queuedAt }: PendingTransaction): boolean {
    return this.clock.now() - queuedAt > overdueAfter(priority);
  }

  private get isTurn(): boolean {
    return this.batchCount % TURN_INTERVAL === 0;
  }

  /**
   * Of the priorities with something overdue, each in its turn: the worst of them alone would keep the others out
   * again.
   */
  private nextOverdue(): PendingTransaction | null {
    for (let step = 1; step <= TURN_ORDER.length; step += 1) {
      const priority = TURN_ORDER[(this.lastTurn + step) % TURN_ORDER.length] ?? "normal";
      const transaction = this.queues[priority][0];
      if (transaction !== undefined && this.isOverdue(transaction)) return transaction;
    }
    return null;
  }
}
