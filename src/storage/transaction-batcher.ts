import { formatJson, type Uint64 } from "../protocol/json.js";
import type { WriteOperation } from "../protocol/key-value-store.js";
import { type Clock, type Micros, ms, seconds } from "../transport/clock.js";
import { RateLimiter } from "../transport/rate-limiter.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { TransactionResult } from "./store-results.js";

/**
 * In the order in which the write budget is spent: cancellations, which nothing may keep waiting; what else a user
 * waits for; what a task's start or a job's end waits for, of urgent work and of other work; what has ended and is
 * still reported by its worker; and what only keeps the records short. Ends of tasks shared a queue with starts at
 * first: with thousands of machines there were several times as many of them as writes, and starts waited for seconds.
 * Urgent starts shared one with all others: a swarm of a guest's single tasks kept them waiting for 2.3 s in the mean.
 */
export const WRITE_PRIORITIES = ["cancellation", "user", "urgent", "normal", "deferred", "maintenance"] as const;
export type WritePriority = (typeof WRITE_PRIORITIES)[number];

const forEachPriority = <T>(make: () => T): Record<WritePriority, T> => ({
  cancellation: make(),
  user: make(),
  urgent: make(),
  normal: make(),
  deferred: make(),
  maintenance: make(),
});

/**
 * What has waited for longer than this has a turn of its own, so that no urgency starves behind those before it.
 * Cancellations and users' writes come first anyway.
 */
const OVERDUE_AFTER: ReadonlyMap<WritePriority, Micros> = new Map([
  ["urgent", seconds(1)],
  ["normal", seconds(10)],
  ["deferred", seconds(30)],
  ["maintenance", seconds(60)],
]);
const TURN_ORDER = [...OVERDUE_AFTER.keys()];
/** One transaction in so many begins with what is overdue. */
const TURN_INTERVAL = 3;

/** What becomes of a proposal; a busy state service is waited for here. */
export type SubmissionResult = Exclude<TransactionResult, { readonly kind: "busy" }>;

interface PendingTransaction {
  readonly priority: WritePriority;
  readonly conditions: ReadonlyMap<string, Uint64>;
  /** Known before the writes are: they are made when the proposal leaves, so that they are up to date. */
  readonly keys: readonly string[];
  readonly buildWrites: () => readonly WriteOperation[];
  readonly resolve: (result: SubmissionResult) => void;
  readonly queuedAt: Micros;
  attempts: number;
}

interface TransactionBatch {
  readonly pending: PendingTransaction[];
  readonly conditions: Map<string, Uint64>;
  readonly writtenKeys: Set<string>;
  readonly writes: WriteOperation[];
  bytes: number;
}

/** No limit on values is taken to be below this: what is smaller was refused for something else. */
const MIN_VALUE_BYTES = 512;
const MAX_IN_FLIGHT = 2;
/** So often a limit that was passed is waited for before whoever proposed is told. */
const MAX_ATTEMPTS = 8;
const MAX_BATCH_BYTES = 48 * 1_024;
/** Users' writes leave this share of a transaction to what else is waiting: accepted work must get going, too. */
const USER_WRITE_SHARE = 0.75;
const URGENT_WRITE_SHARE = 0.9;
/** Of a second's writes. */
const RESERVED_SHARE = 0.5;

const encodedSize = (writes: readonly WriteOperation[]): number =>
  JSON.stringify(writes, (_, value: unknown) => (typeof value === "bigint" ? value.toString() : value)).length;

/**
 * Puts conditional writes of this process together into few transactions. A proposal is all or nothing;
 * proposals that share a transaction do not share a fate: those whose conditions fail are taken out and the
 * others sent again.
 */
export class TransactionBatcher {
  private readonly queues: Readonly<Record<WritePriority, PendingTransaction[]>> = forEachPriority(() => []);
  private readonly budget: RateLimiter;
  private inFlight = 0;
  private sentWrites = forEachPriority(() => 0);
  private batchCount = 0;
  private lastTurn = 0;
  private flushScheduled = false;
  /** So large a value, and so many writes at once, may be: as told, and less where the state service has refused as much. */
  maxValueBytes: number;
  maxWritesPerTransaction: number;

  constructor(
    private readonly store: KeyValueStore,
    private readonly clock: Clock,
    private readonly random: () => number,
  ) {
    this.budget = new RateLimiter(clock, store.budget.writesPerS);
    this.maxValueBytes = store.budget.valueBytes ?? Number.POSITIVE_INFINITY;
    this.maxWritesPerTransaction = store.budget.writesPerTransaction;
  }

  /** Writes a second that this process may send at present. */
  get writesPerSecond(): number {
    return this.budget.currentRate;
  }

  /** Writes a second that this process may send where others leave it room. */
  get fullWritesPerSecond(): number {
    return this.store.budget.writesPerS;
  }

  /** For the log: changes sent by urgency since this was last asked, what waits, and the rate at present. */
  takeSummary(): {
    readonly sent: Readonly<Record<WritePriority, number>>;
    readonly pendingCount: number;
    readonly perS: number;
  } {
    const { sentWrites } = this;
    this.sentWrites = forEachPriority(() => 0);
    const waiting = WRITE_PRIORITIES.reduce((sum, urgency) => sum + this.queues[urgency].length, 0);
    return { sent: sentWrites, pendingCount: waiting, perS: Math.round(this.budget.currentRate * 10) / 10 };
  }

  /** How long a user's write proposed now is likely to wait for the write budget. */
  get userWriteDelay(): Micros {
    const count = this.queues.user.reduce((sum, transaction) => sum + transaction.keys.length, 1);
    return ((count / this.budget.currentRate) * 1_000_000) as Micros;
  }

  submit(
    conditions: ReadonlyMap<string, Uint64>,
    writes: readonly WriteOperation[],
    urgency: WritePriority = "normal",
  ): Promise<SubmissionResult> {
    const keys = writes.map((write) => write.key);
    return this.submitDeferred(conditions, keys, () => writes, urgency);
  }

  /** What was proposed as a note of this key and still waits is now waited for. */
  promote(key: string, urgency: "urgent" | "normal"): void {
    const at = this.queues.deferred.findIndex(({ keys }) => keys.includes(key));
    if (at < 0) return;
    const since = this.clock.now();
    this.queues[urgency].push(
      ...this.queues.deferred
        .splice(at, 1)
        .map((transaction) => ({ ...transaction, priority: urgency, queuedAt: since })),
    );
    this.scheduleFlush(ms(2));
  }

  /** A note of this key that still waits is not wanted any more: it is answered as refused, and never sent. */
  cancelPending(key: string): void {
    const at = this.queues.deferred.findIndex(({ keys }) => keys.includes(key));
    if (at < 0) return;
    for (const { resolve } of this.queues.deferred.splice(at, 1)) resolve({ kind: "refused" });
  }

  /** Proposals of this urgency that wait. */
  waiting(urgency: WritePriority): number {
    return this.queues[urgency].length;
  }

  /** `build` is called when the proposal leaves; it must write these keys and no others. */
  submitDeferred(
    conditions: ReadonlyMap<string, Uint64>,
    keys: readonly string[],
    build: () => readonly WriteOperation[],
    urgency: WritePriority,
  ): Promise<SubmissionResult> {
    return new Promise((resolve) => {
      const since = this.clock.now();
      this.queues[urgency].push({
        priority: urgency,
        conditions,
        keys,
        buildWrites: build,
        resolve,
        queuedAt: since,
        attempts: 0,
      });
      // A moment's delay lets what one event causes travel together.
      this.scheduleFlush(ms(2));
    });
  }

  /** Whose turn it is to begin a transaction; null: nothing waits. */
  private nextTransaction(): PendingTransaction | null {
    const turn = this.queues.cancellation.length === 0 && this.batchCount % TURN_INTERVAL === 0;
    const overdue = turn ? this.nextOverdue() : null;
    if (overdue !== null) return overdue;
    for (const urgency of WRITE_PRIORITIES) {
      const transaction = this.queues[urgency][0];
      if (transaction !== undefined) return transaction;
    }
    return null;
  }

  /** Of the urgencies with something overdue, each in its turn: the worst of them alone would keep the others out again. */
  private nextOverdue(): PendingTransaction | null {
    const now = this.clock.now();
    for (let step = 1; step <= TURN_ORDER.length; step += 1) {
      const urgency = TURN_ORDER[(this.lastTurn + step) % TURN_ORDER.length] ?? "normal";
      const transaction = this.queues[urgency][0];
      if (transaction !== undefined && now - transaction.queuedAt > (OVERDUE_AFTER.get(urgency) ?? 0))
        return transaction;
    }
    return null;
  }

  private scheduleFlush(delay: Micros): void {
    if (this.flushScheduled) return;
    this.flushScheduled = true;
    this.clock.after(delay, () => {
      this.flushScheduled = false;
      this.flush();
    });
  }

  private flush(): void {
    for (
      let first = this.nextTransaction();
      first !== null && this.inFlight < MAX_IN_FLIGHT;
      first = this.nextTransaction()
    ) {
      const wait = this.budget.timeUntilAvailable(first.keys.length + this.reserveFor(first));
      if (wait > 0) {
        this.scheduleFlush(wait);
        return;
      }
      if (this.batchCount % TURN_INTERVAL === 0) this.lastTurn = Math.max(0, TURN_ORDER.indexOf(first.priority));
      const batch = this.takeBatch(first.priority);
      this.batchCount += 1;
      this.inFlight += 1;
      void this.send(batch).finally(() => {
        this.inFlight -= 1;
        this.flush();
      });
    }
  }

  private takeBatch(beginWith: WritePriority): TransactionBatch {
    const batch: TransactionBatch = {
      pending: [],
      conditions: new Map(),
      writtenKeys: new Set(),
      writes: [],
      bytes: 0,
    };
    const most = Math.min(this.maxWritesPerTransaction, this.budget.available());
    const { urgent, normal, deferred, maintenance } = this.queues;
    const others = normal.length + deferred.length + maintenance.length > 0;
    const notReserved = most - this.budget.currentRate * RESERVED_SHARE;
    // Whose turn it is gets one in any case, and no more than that before the others.
    this.fill(batch, beginWith, 0);
    this.fill(batch, "cancellation", most);
    this.fill(batch, "user", urgent.length > 0 || others ? Math.floor(most * USER_WRITE_SHARE) : most);
    this.fill(batch, "urgent", others ? Math.floor(most * URGENT_WRITE_SHARE) : most);
    this.fill(batch, "normal", most);
    this.fill(batch, "deferred", notReserved);
    this.fill(batch, "maintenance", notReserved);
    this.budget.take(batch.writes.length);
    return batch;
  }

  /** What nobody waits for leaves part of the saved-up budget to a wave of starts, until it is overdue. */
  private reserveFor({ priority, queuedAt }: PendingTransaction): number {
    if (priority !== "deferred" && priority !== "maintenance") return 0;
    const overdue = this.clock.now() - queuedAt > (OVERDUE_AFTER.get(priority) ?? 0);
    return overdue ? 0 : this.budget.currentRate * RESERVED_SHARE;
  }

  private fill(batch: TransactionBatch, urgency: WritePriority, most: number): void {
    const queue = this.queues[urgency];
    let kept = 0;
    let at = 0;
    for (; at < queue.length; at += 1) {
      const transaction = queue[at];
      if (transaction === undefined) break;
      const empty = batch.pending.length === 0;
      const fits =
        empty ||
        (batch.writes.length + transaction.keys.length <= most &&
          batch.conditions.size + transaction.conditions.size <= this.maxWritesPerTransaction * 4 &&
          batch.bytes <= MAX_BATCH_BYTES);
      if (!fits) break;
      if (!empty && this.conflictsWith(batch, transaction)) {
        queue[kept] = transaction;
        kept += 1;
        continue;
      }
      const writes = transaction.buildWrites();
      batch.pending.push(transaction);
      batch.writes.push(...writes);
      this.sentWrites[urgency] += writes.length;
      batch.bytes += encodedSize(writes);
      for (const [key, version] of transaction.conditions) batch.conditions.set(key, version);
      for (const key of transaction.keys) batch.writtenKeys.add(key);
    }
    queue.splice(kept, at - kept);
  }

  private conflictsWith(batch: TransactionBatch, transaction: PendingTransaction): boolean {
    for (const [key, version] of transaction.conditions) {
      if (batch.writtenKeys.has(key)) return true;
      if (batch.conditions.has(key) && batch.conditions.get(key) !== version) return true;
    }
    return transaction.keys.some((key) => batch.writtenKeys.has(key) || batch.conditions.has(key));
  }

  private async send(batch: TransactionBatch): Promise<void> {
    const result = await this.store.transact(batch.conditions, batch.writes);
    switch (result.kind) {
      case "busy":
        this.budget.backOff(ms(20 + 80 * this.random()));
        this.requeue(batch.pending.filter((transaction) => this.mayRetry(transaction)));
        return;
      case "conflict": {
        const failed = new Set(result.keys);
        const hit = batch.pending.filter(({ conditions }) => [...conditions.keys()].some((key) => failed.has(key)));
        for (const proposal of hit.length > 0 ? hit : batch.pending) proposal.resolve(result);
        if (hit.length > 0) this.requeue(batch.pending.filter((transaction) => !hit.includes(transaction)));
        return;
      }
      case "too large":
        if (batch.pending.length > 1) {
          // Each by itself, or in smaller company: which of them it is shows then.
          this.maxWritesPerTransaction = Math.max(1, Math.floor(batch.writes.length / 2));
          this.requeue(batch.pending);
          return;
        }
        this.learnLimits(batch.writes);
        break;
      case "refused":
        // Most likely an outage: not to be met with all that is waiting, time and again.
        this.budget.suspend(ms(20 + 80 * this.random()));
        break;
      case "ok":
      case "lost":
    }
    for (const proposal of batch.pending) proposal.resolve(result);
  }

  /** The same is never sent again as it is: whoever proposed it finds lower limits here. */
  private learnLimits(writes: readonly WriteOperation[]): void {
    if (writes.length > 1) this.maxWritesPerTransaction = Math.min(this.maxWritesPerTransaction, writes.length - 1);
    const sizes = writes.map((write) => (write.kind === "put" ? formatJson(write.value).length : 0));
    const largest = Math.max(0, ...sizes);
    if (largest >= MIN_VALUE_BYTES) this.maxValueBytes = Math.min(this.maxValueBytes, largest - 1);
  }

  private mayRetry(transaction: PendingTransaction): boolean {
    transaction.attempts += 1;
    if (transaction.attempts <= MAX_ATTEMPTS) return true;
    transaction.resolve({ kind: "refused" });
    return false;
  }

  private requeue(proposals: readonly PendingTransaction[]): void {
    for (const urgency of WRITE_PRIORITIES) {
      this.queues[urgency].unshift(...proposals.filter((transaction) => transaction.priority === urgency));
    }
  }
}
