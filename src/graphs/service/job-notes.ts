import type { ShardContext } from "../../coordination/context.js";
import type { CancellationReason } from "../../storage/cancellation-reason.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { jobKey } from "../../storage/keys.js";
import { ms } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";

interface Wish {
  /** Number of failures by task index. */
  errors: Readonly<Record<string, number>>;
  why: CancellationReason | null;
  writing: boolean;
}

/**
 * Writes failure counts and cancellations into the job records of steps. They are stored with the job itself, so that
 * the next shard leader continues the count.
 */
export class JobNotes {
  private readonly wishes = new Map<string, Wish>();
  private stopped = false;

  constructor(private readonly context: Pick<ShardContext, "transactions" | "cache" | "lease" | "clock" | "log">) {}

  stop(): void {
    this.stopped = true;
  }

  /** Counts a failure of the task; returns the task's number of failures so far. */
  count(job: string, index: number): number {
    const wish = this.wish(job);
    const count = (wish.errors[index] ?? 0) + 1;
    wish.errors = { ...wish.errors, [index]: count };
    this.write(job, wish);
    return count;
  }

  /** Cancels the attempt's job; the first reason given stays. */
  giveUp(job: string, why: CancellationReason): void {
    const wish = this.wish(job);
    if (wish.why !== null) return;
    wish.why = why;
    this.write(job, wish);
  }

  /** The job has ended: drops its pending changes. */
  forget(job: string): void {
    this.wishes.delete(job);
  }

  private wish(job: string): Wish {
    const known = this.wishes.get(job);
    if (known !== undefined) return known;
    const entry = this.context.cache.entries.get(jobKey(job));
    const wish: Wish = {
      errors: entry === undefined ? {} : (decodeJobRecord(entry.value).failuresByTask ?? {}),
      why: null,
      writing: false,
    };
    this.wishes.set(job, wish);
    return wish;
  }

  private write(job: string, wish: Wish): void {
    if (wish.writing || this.stopped) return;
    wish.writing = true;
    this.bring(job, wish)
      .catch((error: unknown) => {
        this.context.log.error("note on a job failed", { error: describeError(error) });
        return true;
      })
      .then((settled) => {
        wish.writing = false;
        if (!settled) this.context.clock.after(ms(100), () => this.write(job, wish));
      }, undefined);
  }

  /** True once the record has all pending changes, or none are possible since the job has ended or is cancelled. */
  private async bring(job: string, wish: Wish): Promise<boolean> {
    const { transactions, cache, lease } = this.context;
    const entry = cache.entries.get(jobKey(job));
    if (entry === undefined || this.wishes.get(job) !== wish || this.stopped) return true;
    const record = decodeJobRecord(entry.value);
    if (record.cancelled) return true;
    const { errors, why } = wish;
    const value: JobRecord = {
      ...record,
      failuresByTask: errors,
      ...(why === null ? {} : { cancelled: true, cancellationReason: why }),
    };
    const conditions = new Map([
      [lease.key, lease.version],
      [entry.key, entry.version],
    ]);
    const urgency = why === null ? "deferred" : "cancellation";
    const result = await transactions.submit(
      conditions,
      [{ kind: "put", key: entry.key, value: encodeJobRecord(value) }],
      urgency,
    );
    await cache.sync();
    return result.kind === "ok" && wish.errors === errors && wish.why === why;
  }
}
