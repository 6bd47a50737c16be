/**
 * Sends batches of transactions to the key-value store, and resolves each transaction with its result.
 * @module
 */
import { type Clock, type Micros, ms } from "../transport/clock.js";
import { RateLimiter } from "../transport/rate-limiter.js";
import { assembleBatch } from "./batch-assembly.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { PendingTransaction } from "./pending-transaction.js";
import type { TransactionResult } from "./store-results.js";
import type { TransactionBatch } from "./transaction-batch.js";
import type { TransactionQueues } from "./transaction-queues.js";
import type { WriteLimits } from "./write-limits.js";
import { forEachPriority, WRITE_PRIORITIES, type WritePriority } from "./write-priority.js";

/** Maximum number of batches in flight at once. */
const MAX_IN_FLIGHT = 2;
/** Number of retries after a busy response before the transaction is resolved as refused. */
const MAX_BUSY_RETRIES = 8;
/** Share of one second's writes that deferred and maintenance writes leave free while they are not overdue. */
const RESERVED_SHARE = 0.5;
/** Pause after a refusal, in milliseconds: the minimum, and the width of the random jitter added to it. */
const MIN_PAUSE_MS = 20;
const PAUSE_SPREAD_MS = 80;

/** Dependencies of a `TransactionSender`. */
export interface TransactionSenderOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** From 0 up to 1 exclusive. */
  readonly random: () => number;
  readonly queues: TransactionQueues;
  readonly limits: WriteLimits;
}

/** Drains the queues as fast as the write budget allows. Transactions of one batch may have different results. */
export class TransactionSender {
  private readonly budget: RateLimiter;
  private inFlight = 0;
  private flushScheduled = false;
  private writeCounts = forEachPriority(() => 0);

  constructor(private readonly options: TransactionSenderOptions) {
    this.budget = new RateLimiter(options.clock, options.store.budget.writesPerS);
  }

  /** Writes per second that may currently be sent. */
  get writesPerSecond(): number {
    return this.budget.currentRate;
  }

  /** Returns the number of writes sent by priority since the last call, and resets it. */
  takeWriteCounts(): Readonly<Record<WritePriority, number>> {
    const { writeCounts } = this;
    this.writeCounts = forEachPriority(() => 0);
    return writeCounts;
  }

  /** Schedules a flush after this delay, unless one is scheduled already. */
  scheduleFlush(delay: Micros): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    this.options.clock.after(delay, () => {
      this.flushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    while (this.inFlight < MAX_IN_FLIGHT) {
      const first = this.options.queues.next();
      if (first === null) return;
      const wait = this.budget.timeUntilAvailable(first.keys.length + this.reservedWritesFor(first));
      if (wait > 0) {
        this.scheduleFlush(wait);
        return;
      }
      this.dispatch(this.takeBatch(first.priority));
    }
  }

  /**
   * Writes of the accumulated budget that must remain before this transaction is sent. Deferred and maintenance writes,
   * on which nothing waits, leave a part for a burst of task starts until they are overdue.
   */
  private reservedWritesFor(transaction: PendingTransaction): number {
    const { priority } = transaction;
    if (priority !== "deferred" && priority !== "maintenance") return 0;
    return this.options.queues.isOverdue(transaction) ? 0 : this.reservedWrites;
  }

  private get reservedWrites(): number {
    return this.budget.currentRate * RESERVED_SHARE;
  }

  private takeBatch(first: WritePriority): TransactionBatch {
    const { queues, limits } = this.options;
    queues.recordBatch(first);
    const { batch, writeCounts } = assembleBatch(queues, first, {
      maxWritesPerTransaction: limits.maxWritesPerTransaction,
      availableWrites: this.budget.available(),
      reservedWrites: this.reservedWrites,
    });
    this.budget.take(batch.writes.length);
    for (const priority of WRITE_PRIORITIES) this.writeCounts[priority] += writeCounts[priority];
    return batch;
  }

  private dispatch(batch: TransactionBatch): void {
    this.inFlight += 1;
    void this.send(batch).finally(() => {
      this.inFlight -= 1;
      this.flush();
    });
  }

  private async send(batch: TransactionBatch): Promise<void> {
    const result = await this.options.store.transact(batch.conditions, batch.writes);
    switch (result.kind) {
      case "busy":
        this.retryBusy(batch);
        return;
      case "conflict":
        this.settleConflict(batch, result);
        return;
      case "too large":
        this.settleTooLarge(batch, result);
        return;
      case "refused":
        // Probably an outage: the pause avoids sending the whole backlog again and again.
        this.budget.suspend(this.randomPause());
        batch.resolveAll(result);
        return;
      case "ok":
      case "lost":
        batch.resolveAll(result);
    }
  }

  private retryBusy({ transactions }: TransactionBatch): void {
    this.budget.backOff(this.randomPause());
    const retried: PendingTransaction[] = [];
    for (const transaction of transactions) {
      transaction.attempts += 1;
      if (transaction.attempts <= MAX_BUSY_RETRIES) retried.push(transaction);
      else transaction.resolve({ kind: "refused" });
    }
    this.options.queues.requeue(retried);
  }

  /** Resolves the transactions whose conditions failed as conflicts, and requeues the others. */
  private settleConflict(batch: TransactionBatch, result: Extract<TransactionResult, { kind: "conflict" }>): void {
    const failedKeys = new Set(result.keys);
    const hasFailed = ({ conditions }: PendingTransaction): boolean =>
      [...conditions.keys()].some((key) => failedKeys.has(key));
    const failed = batch.transactions.filter(hasFailed);
    if (failed.length === 0) {
      batch.resolveAll(result);
      return;
    }
    for (const { resolve } of failed) resolve(result);
    this.options.queues.requeue(batch.transactions.filter((transaction) => !failed.includes(transaction)));
  }

  /**
   * Requeues several transactions for smaller batches, which isolates the one that is too large; a single one fails.
   */
  private settleTooLarge(batch: TransactionBatch, result: Extract<TransactionResult, { kind: "too large" }>): void {
    const { queues, limits } = this.options;
    if (batch.transactions.length > 1) {
      limits.halveBatches(batch.writes.length);
      queues.requeue(batch.transactions);
      return;
    }
    // Not retried unchanged: its submitter reads the lowered limits and has to submit a smaller transaction.
    limits.learnFromRefusal(batch.writes);
    batch.resolveAll(result);
  }

  private randomPause(): Micros {
    return ms(MIN_PAUSE_MS + PAUSE_SPREAD_MS * this.options.random());
  }
}
