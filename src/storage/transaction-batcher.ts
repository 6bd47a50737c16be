/**
 * Puts the conditional writes of one process together into few transactions.
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
/** A moment's delay lets what one event causes travel together. */
const FLUSH_DELAY = ms(2);

/** What was sent, and what waits, for the log. */
export interface TransactionSummary {
  /** Writes by priority since the summary was last taken. */
  readonly sent: Readonly<Record<WritePriority, number>>;
  /** Transactions that wait. */
  readonly pendingCount: number;
  /** Writes a second that may be sent at present, to one decimal. */
  readonly perS: number;
}

/**
 * Puts conditional writes of this process together into few transactions. A submitted transaction is all or nothing;
 * those that share a batch do not share a fate: those whose conditions fail are taken out and the others sent again.
 */
export class TransactionBatcher {
  private readonly queues: TransactionQueues;
  private readonly limits: WriteLimits;
  private readonly sender: TransactionSender;

  /** `random`: from 0 up to 1 exclusive. */
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
   * Size of the largest value that may be written, in bytes: as set, and less where the key-value store refused as
   * much.
   */
  get maxValueBytes(): number {
    return this.limits.maxValueBytes;
  }

  /** Writes that one transaction may have: as set, and fewer where the key-value store refused as many. */
  get maxWritesPerTransaction(): number {
    return this.limits.maxWritesPerTransaction;
  }

  /** Writes a second that this process may send at present. */
  get writesPerSecond(): number {
    return this.sender.writesPerSecond;
  }

  /** Writes a second that this process may send where others leave it room. */
  get fullWritesPerSecond(): number {
    return this.store.budget.writesPerS;
  }

  /** How long a user's write submitted now is likely to wait for the write budget. */
  get userWriteDelay(): Micros {
    const count = this.queues.of("user").reduce((sum, transaction) => sum + transaction.keys.length, 1);
    return ((count / this.writesPerSecond) * MICROS_PER_SECOND) as Micros;
  }

  /** Transactions of this priority that wait. */
  pendingCount(priority: WritePriority): number {
    return this.queues.count(priority);
  }

  /** For the log; what was sent is counted from zero again after it. */
  takeSummary(): TransactionSummary {
    return {
      sent: this.sender.takeWriteCounts(),
      pendingCount: this.queues.totalCount,
      perS: Math.round(this.writesPerSecond * 10) / 10,
    };
  }

  /** Carries out the writes if each key of the conditions has its version (0: does not exist), else none of them. */
  submit(
    conditions: ReadonlyMap<string, Uint64>,
    writes: readonly WriteOperation[],
    priority: WritePriority = "normal",
  ): Promise<SubmissionResult> {
    const keys = writes.map((write) => write.key);
    return this.submitDeferred(conditions, keys, () => writes, priority);
  }

  /** As `submit`; `buildWrites` is called when the transaction is sent. It must write these keys and no others. */
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

  /** The deferred transaction of this key, if one still waits, is now waited for: it gets this priority. */
  promote(key: string, priority: "urgent" | "normal"): void {
    const transaction = this.queues.removeDeferred(key);
    if (transaction === null) return;
    this.queues.push({ ...transaction, priority, queuedAt: this.clock.now() });
    this.sender.scheduleFlush(FLUSH_DELAY);
  }

  /** The deferred transaction of this key, if one still waits, is resolved as refused and never sent. */
  cancelPending(key: string): void {
    this.queues.removeDeferred(key)?.resolve({ kind: "refused" });
  }
}
