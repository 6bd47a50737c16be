/**
 * Writes the outcome records of ended jobs and deletes their task ranges.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import type { TaskRange } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { jobKey, outcomeKey } from "../../storage/keys.js";
import { encodeOutcomeRecord, type OutcomeRecord } from "../../storage/outcome-records.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import { writePriorityOf } from "../scheduling/start-deadline.js";
import { resolveTaskRangeConflict } from "./task-range-conflicts.js";
import { keyOfTaskRange } from "./task-range-write.js";
import { writeConditionsOf, writeRetryDelay } from "./write-conditions.js";

/** Up to this many deletions of ended jobs' ranges may be pending. */
const MAX_PENDING_DELETIONS = 200;
/** Writes of an outcome transaction besides its ranges: the outcome record and the deletion of the job record. */
const OUTCOME_WRITES = 2;

/** The transaction that records a job's outcome. */
interface OutcomeTransaction {
  readonly record: OutcomeRecord;
  readonly conditions: Map<string, Uint64>;
  readonly writes: readonly WriteOperation[];
  /** Ranges whose versions are conditions of the transaction. */
  readonly checkedRanges: readonly TaskRange[];
  /** Ranges to be deleted after the transaction has committed. */
  readonly remainingRanges: readonly TaskRange[];
}

/** The job's outcome; it has a reason only if the job was cancelled other than by its user. */
const outcomeOf = (job: Job, isDone: boolean): OutcomeRecord => {
  const { completedTasks, cancellationReason } = job;
  const phase = isDone ? "done" : "cancelled";
  if (isDone || cancellationReason === null) return { phase, completedTasks };
  return { phase, completedTasks, cancellationReason };
};

/** Records the outcomes of jobs whose tasks are all done or, after a cancellation, no longer placed. */
export class OutcomeWriter {
  constructor(
    private readonly context: ShardContext,
    /** Writes a dirty range. */
    private readonly writeRange: (range: TaskRange) => void,
  ) {}

  /** Writes the job's outcome if all tasks are done or, for a cancelled job, none is placed any more. */
  finishIfComplete(job: Job): void {
    const allDone = job.completedTasks >= job.spec.tasks;
    const nonePlaced = job.cancelled && job.placedTasks.size === 0;
    if (job.outcomePending || !(allDone || nonePlaced)) return;
    const rangesInWriting = job.ranges.filter((range) => range.writing);
    if (rangesInWriting.length > 0) {
      // The outcome is written after the writes in flight. Deferred writes that are not sent yet are cancelled: the
      // outcome, for which the user waits, supersedes them.
      for (const range of rangesInWriting) this.context.transactions.cancelDeferred(keyOfTaskRange(range));
      return;
    }
    job.outcomePending = true;
    void this.writeOutcome(job, allDone && !job.cancelled);
  }

  private async writeOutcome(job: Job, isDone: boolean): Promise<void> {
    const { context } = this;
    if (!context.lease.isValid()) {
      this.retry(job);
      return;
    }
    const transaction = this.buildTransaction(job, isDone);
    const { conditions, writes, record } = transaction;
    const result = await context.transactions.submit(conditions, writes, writePriorityOf(job, context.settings));
    if (result.kind === "ok") {
      this.outcomeWritten(job, transaction);
      return;
    }
    if (result.kind === "conflict") {
      if (result.keys.includes(context.lease.key)) {
        context.onFenced();
        return;
      }
      await context.cache.sync();
      if (result.keys.includes(outcomeKey(job.spec.id))) {
        // An earlier attempt whose response was lost has committed.
        context.shard.removeJob(job);
        context.onJobEnded(job, record);
        return;
      }
      for (const range of transaction.checkedRanges) {
        const key = keyOfTaskRange(range);
        if (result.keys.includes(key)) await resolveTaskRangeConflict(context, range, [key]);
      }
    }
    this.retry(job);
  }

  private buildTransaction(job: Job, isDone: boolean): OutcomeTransaction {
    const { transactions } = this.context;
    const recordedRanges = job.ranges.filter((range) => range.version !== 0);
    const maxRanges = Math.max(0, transactions.maxWritesPerTransaction - OUTCOME_WRITES);
    const checkedRanges = recordedRanges.slice(0, maxRanges);
    const key = outcomeKey(job.spec.id);
    const record = outcomeOf(job, isDone);
    const conditions = writeConditionsOf(this.context, job).set(key, 0);
    const writes: WriteOperation[] = [
      { kind: "put", key, value: encodeOutcomeRecord(record) },
      { kind: "delete", key: jobKey(job.spec.id) },
    ];
    // Ranges without a job are ignored, so their deletion may be deferred unless too many deletions are pending.
    const deferDeletion = transactions.pendingCount("maintenance") < MAX_PENDING_DELETIONS;
    for (const range of checkedRanges) {
      const rangeKey = keyOfTaskRange(range);
      conditions.set(rangeKey, range.version);
      if (!deferDeletion) writes.push({ kind: "delete", key: rangeKey });
    }
    const remainingRanges = deferDeletion ? recordedRanges : recordedRanges.slice(checkedRanges.length);
    return { record, conditions, writes, checkedRanges, remainingRanges };
  }

  private outcomeWritten(job: Job, { record, remainingRanges }: OutcomeTransaction): void {
    const { context } = this;
    context.shard.removeJob(job);
    context.log.info(LogEvent.JobEnded, { job: job.spec.id, phase: record.phase });
    context.onJobEnded(job, record);
    this.deleteKeys(remainingRanges.map(keyOfTaskRange));
  }

  private retry(job: Job): void {
    this.context.clock.after(writeRetryDelay(this.context), () => {
      job.outcomePending = false;
      for (const range of job.ranges) if (range.dirty) this.writeRange(range);
      this.finishIfComplete(job);
    });
  }

  /** Deletes obsolete records, such as ranges of ended jobs, each in its own transaction. */
  deleteKeys(keys: readonly string[]): void {
    const { transactions, lease } = this.context;
    for (const key of keys) {
      void transactions.submit(new Map([[lease.key, lease.version]]), [{ kind: "delete", key }], "maintenance");
    }
  }
}
