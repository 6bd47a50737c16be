/**
 * Sends batches of transactions to the key-value store, and gives each transaction its result.
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

/** Batches that are under way at once. */
const MAX_IN_FLIGHT = 2;
/** So often a limit that was passed is waited for before whoever submitted the transaction is told. */
const MAX_ATTEMPTS = 8;
/** Of a second's writes: what deferred and maintenance writes leave to others while they are not overdue. */
const RESERVED_SHARE = 0.5;
/** After a refusal nothing is sent for this long (milliseconds), and up to the other longer. */
const MIN_PAUSE_MS = 20;
const PAUSE_SPREAD_MS = 80;

/** What a `TransactionSender` needs. */
export interface TransactionSenderOptions {
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** From 0 up to 1 exclusive. */
  readonly random: () => number;
  readonly queues: TransactionQueues;
  readonly limits: WriteLimits;
}

/** Empties the queues as fast as the write budget allows. Transactions that share a batch do not share a result. */
export class TransactionSender {
  private readonly budget: RateLimiter;
  private inFlight = 0;
  private flushScheduled = false;
  private writeCounts = forEachPriority(() => 0);

  constructor(private readonly options: TransactionSenderOptions) {
    this.budget = new RateLimiter(options.clock, options.store.budget.writesPerS);
  }

  /** Writes a second that may be sent at present. */
  get writesPerSecond(): number {
    return this.budget.currentRate;
  }

  /** The number of writes sent by priority since this was last called. */
  takeWriteCounts(): Readonly<Record<WritePriority, number>> {
    const { writeCounts } = this;
    this.writeCounts = forEachPriority(() => 0);
    return writeCounts;
  }

  /** Sends what the budget allows after this delay, or earlier where that is already scheduled. */
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
      const wait = this.budget.timeUntilAvailable(first.keys.length + this.reservedBefore(first));
      if (wait > 0) {
        this.scheduleFlush(wait);
        return;
      }
      this.dispatch(this.takeBatch(first.priority));
    }
  }

  /** What nobody waits for leaves part of the saved-up budget to a wave of starts, until it is overdue. */
  private reservedBefore(transaction: PendingTransaction): number {
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
        // Most likely an outage: not to be met with all that is waiting, time and again.
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
      if (transaction.attempts <= MAX_ATTEMPTS) retried.push(transaction);
      else transaction.resolve({ kind: "refused" });
    }
    this.options.queues.requeue(retried);
  }

  /** Those whose conditions failed are told; the others are sent again. */
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

  /** Of several, each is sent again by itself or in smaller batches: which of them it is shows then. */
  private settleTooLarge(batch: TransactionBatch, result: Extract<TransactionResult, { kind: "too large" }>): void {
    const { queues, limits } = this.options;
    if (batch.transactions.length > 1) {
      limits.halveBatches(batch.writes.length);
      queues.requeue(batch.transactions);
      return;
    }
    // The same is never sent again as it is: whoever submitted it finds lower limits.
    limits.learnFromRefusal(batch.writes);
    batch.resolveAll(result);
  }

  private randomPause(): Micros {
    return ms(MIN_PAUSE_MS + PAUSE_SPREAD_MS * this.options.random());
  }
}
