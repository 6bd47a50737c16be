/**
 * Combines the conditional writes of one process into few transactions.
 * @module
 */
import type { Uint64 } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms } from "../transport/clock.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { SubmissionResult } from "./pending-transaction.js";
import { TransactionQueues } from "./transaction-queues.js";
import { TransactionSender } from "./transaction-sender.js";
import { WriteLimits } from "./write-limits.js";
import type { WritePriority } from "./write-priority.js";

const MICROS_PER_SECOND = 1_000_000;
/** Delay before a submitted transaction is sent, so that the writes caused by one event share a batch. */
const FLUSH_DELAY = ms(2);

/** Counts of sent and queued writes, for the log. */
export interface TransactionSummary {
  /** Writes by priority since the summary was last taken. */
  readonly sent: Readonly<Record<WritePriority, number>>;
  /** Number of queued transactions. */
  readonly pendingCount: number;
  /** Writes per second that may currently be sent, rounded to one decimal. */
  readonly perS: number;
}

/**
 * Combines the conditional writes of this process into few transactions. Each submitted transaction is atomic and
 * independent of the others in its batch: those whose conditions fail are removed, and the rest is sent again.
 */
export class TransactionBatcher {
  private readonly queues: TransactionQueues;
  private readonly limits: WriteLimits;
  private readonly sender: TransactionSender;

  /** `random`: returns a number from 0 up to 1 exclusive. */
  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    random: () => number,
  ) {
    this.queues = new TransactionQueues(clock);
    this.limits = new WriteLimits(store.budget);
    this.sender = new TransactionSender({ store, clock, random, queues: this.queues, limits: this.limits });
  }

  /**
   * Size of the largest value that may be written, in bytes: the configured limit, lowered when the key-value store has
   * refused a value of that size.
   */
  get maxValueBytes(): number {
    return this.limits.maxValueBytes;
  }

  /**
   * Maximum number of writes in one transaction: the configured limit, lowered when the key-value store has refused as
   * many.
   */
  get maxWritesPerTransaction(): number {
    return this.limits.maxWritesPerTransaction;
  }

  /** Writes per second that this process may currently send. */
  get writesPerSecond(): number {
    return this.sender.writesPerSecond;
  }

  /** Configured write rate of this process, reached while the key-value store rejects none of its writes as busy. */
  get fullWritesPerSecond(): number {
    return this.store.budget.writesPerS;
  }

  /** Estimated time that a user's write submitted now will wait for the write budget. */
  get userWriteDelay(): Micros {
    const count = this.queues.of("user").reduce((sum, transaction) => sum + transaction.keys.length, 1);
    return ((count / this.writesPerSecond) * MICROS_PER_SECOND) as Micros;
  }

  /** Number of queued transactions of this priority. */
  pendingCount(priority: WritePriority): number {
    return this.queues.count(priority);
  }

  /** Returns the summary for the log, and resets the counts of sent writes to zero. */
  takeSummary(): TransactionSummary {
    return {
      sent: this.sender.takeWriteCounts(),
      pendingCount: this.queues.totalCount,
      perS: Math.round(this.writesPerSecond * 10) / 10,
    };
  }

  /** Applies all writes if each key of the conditions has the given version (0: does not exist), else none. */
  submit(
    conditions: ReadonlyMap<string, Uint64>,
    writes: readonly WriteOperation[],
    priority: WritePriority = "normal",
  ): Promise<SubmissionResult> {
    const keys = writes.map((write) => write.key);
    return this.submitDeferred(conditions, keys, () => writes, priority);
  }

  /** Like `submit`, but `buildWrites` is called when the transaction is sent. It must write exactly the given keys. */
  submitDeferred(
    conditions: ReadonlyMap<string, Uint64>,
    keys: readonly string[],
    buildWrites: () => readonly WriteOperation[],
    priority: WritePriority,
  ): Promise<SubmissionResult> {
    return new Promise((resolve) => {
      const queuedAt = this.clock.now();
      this.queues.push({ priority, conditions, keys, buildWrites, resolve, queuedAt, attempts: 0 });
      this.sender.scheduleFlush(FLUSH_DELAY);
    });
  }

  /** Raises the queued deferred transaction that writes this key, if any, to the given priority. */
  promote(key: string, priority: "urgent" | "normal"): void {
    const transaction = this.queues.removeDeferred(key);
    if (transaction === null) return;
    this.queues.push({ ...transaction, priority, queuedAt: this.clock.now() });
    this.sender.scheduleFlush(FLUSH_DELAY);
  }

  /** Removes the queued deferred transaction that writes this key, if any, and resolves it as refused. */
  cancelDeferred(key: string): void {
    this.queues.removeDeferred(key)?.resolve({ kind: "refused" });
  }
}
