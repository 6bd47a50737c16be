import type { ShardContext } from "../../coordination/context.js";
import type { CancellationReason } from "../../storage/cancellation-reason.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { jobKey } from "../../storage/keys.js";
import { ms } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";

interface PendingUpdate {
  /** Number of failures by task index. */
  failures: Readonly<Record<string, number>>;
  cancellation: CancellationReason | null;
  writing: boolean;
}

/**
 * Writes failure counts and cancellations into the job records of steps. They are stored with the job itself, so that
 * the next shard leader continues the count.
 */
export class JobRecordUpdates {
  private readonly updates = new Map<string, PendingUpdate>();
  private stopped = false;

  constructor(private readonly context: Pick<ShardContext, "transactions" | "cache" | "lease" | "clock" | "log">) {}

  stop(): void {
    this.stopped = true;
  }

  /** Counts a failure of the task; returns the task's number of failures so far. */
  countFailure(job: string, index: number): number {
    const update = this.updateFor(job);
    const count = (update.failures[index] ?? 0) + 1;
    update.failures = { ...update.failures, [index]: count };
    this.startWrite(job, update);
    return count;
  }

  /** Cancels the attempt's job; the first reason given stays. */
  cancel(job: string, reason: CancellationReason): void {
    const update = this.updateFor(job);
    if (update.cancellation !== null) return;
    update.cancellation = reason;
    this.startWrite(job, update);
  }

  /** The job has ended: drops its pending changes. */
  forget(job: string): void {
    this.updates.delete(job);
  }

  private updateFor(job: string): PendingUpdate {
    const known = this.updates.get(job);
    if (known !== undefined) return known;
    const entry = this.context.cache.entries.get(jobKey(job));
    const update: PendingUpdate = {
      failures: entry === undefined ? {} : (decodeJobRecord(entry.value).failuresByTask ?? {}),
      cancellation: null,
      writing: false,
    };
    this.updates.set(job, update);
    return update;
  }

  private startWrite(job: string, update: PendingUpdate): void {
    if (update.writing || this.stopped) return;
    update.writing = true;
    this.writeOnce(job, update)
      .catch((error: unknown) => {
        this.context.log.error("note on a job failed", { error: describeError(error) });
        return true;
      })
      .then((settled) => {
        update.writing = false;
        if (!settled) this.context.clock.after(ms(100), () => this.startWrite(job, update));
      }, undefined);
  }

  /** True once the record has all pending changes, or none are possible since the job has ended or is cancelled. */
  private async writeOnce(job: string, update: PendingUpdate): Promise<boolean> {
    const { transactions, cache, lease } = this.context;
    const entry = cache.entries.get(jobKey(job));
    if (entry === undefined || this.updates.get(job) !== update || this.stopped) return true;
    const record = decodeJobRecord(entry.value);
    if (record.cancelled) return true;
    const { failures, cancellation } = update;
    const value: JobRecord = {
      ...record,
      failuresByTask: failures,
      ...(cancellation === null ? {} : { cancelled: true, cancellationReason: cancellation }),
    };
    const conditions = new Map([
      [lease.key, lease.version],
      [entry.key, entry.version],
    ]);
    const urgency = cancellation === null ? "deferred" : "cancellation";
    const result = await transactions.submit(
      conditions,
      [{ kind: "put", key: entry.key, value: encodeJobRecord(value) }],
      urgency,
    );
    await cache.sync();
    return result.kind === "ok" && update.failures === failures && update.cancellation === cancellation;
  }
}
