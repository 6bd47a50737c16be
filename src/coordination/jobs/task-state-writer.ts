import type { Job } from "../../cluster/job.js";
import { isPlacementRecorded, isSameRecord, type TaskRange } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { jobKey, outcomeKey, taskRangeKey } from "../../storage/keys.js";
import { encodeOutcomeRecord, type OutcomeRecord } from "../../storage/outcome-records.js";
import { decodeTaskRange, encodeTaskRange, type TaskRecord, taskRangeBytes } from "../../storage/task-range-records.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import { writePriorityOf } from "../scheduling/start-deadline.js";

/** Recording what has ended takes about this share of the state service's writes, each range in turn. */
const END_WRITE_SHARE = 0.3;
const MIN_END_WRITE_DELAY = seconds(0.5);
const MAX_END_WRITE_DELAY = seconds(15);
/** Until a range whose value is too large is looked at again. */
const OVERSIZED_RETRY_DELAY = seconds(1);

/** Ranges of ended jobs that may wait to be deleted. */
const MAX_PENDING_DELETIONS = 200;

const isUnknownPlacement = (record: TaskRecord, want: TaskRecord | undefined): boolean =>
  record.kind === "placed" &&
  (want === undefined ||
    (want.kind !== "done" && record.attempt > want.attempt) ||
    (want.kind === "placed" && record.attempt === want.attempt && record.machine !== want.machine));

/**
 * Makes durable what the other loops want: each range is written when what is wanted differs from what is on
 * record, one write at a time, conditional on its version, the job's and the block lease's. Commands follow
 * only from what has been confirmed.
 */
export class TaskStateWriter {
  private placementDelays = { count: 0, sum: 0, most: 0 };

  constructor(private readonly context: ShardContext) {}

  /** A placement is to be recorded: its start command waits for that. */
  recordPlacement(range: TaskRange): void {
    range.dirty = true;
    if (range.placementPendingSince === null) {
      range.placementPendingSince = this.context.clock.now();
      if (range.writing)
        this.context.transactions.promote(
          taskRangeKey(range.job.spec.id, range.index),
          writePriorityOf(range.job, this.context.settings),
        );
    }
    this.scheduleWrite(range, ms(1));
  }

  /** How long placements waited to be on record since this was last asked. */
  takePlacementDelays(): { readonly placements: number; readonly meanMs: number; readonly mostMs: number } {
    const { count, sum, most } = this.placementDelays;
    this.placementDelays = { count: 0, sum: 0, most: 0 };
    return {
      placements: count,
      meanMs: count === 0 ? 0 : Math.round(sum / count / 1_000),
      mostMs: Math.round(most / 1_000),
    };
  }

  /**
   * What has ended may be recorded a little later, together with what ends meanwhile: until then the worker
   * goes on reporting it. One write for each end would take all of the budget that starts need.
   */
  recordSoon(range: TaskRange): void {
    range.dirty = true;
    const { shard, settings } = this.context;
    const perSecond = Math.max(1, settings.store.writesPerS * END_WRITE_SHARE);
    this.scheduleWrite(
      range,
      Math.min(MAX_END_WRITE_DELAY, Math.max(MIN_END_WRITE_DELAY, seconds(shard.jobs.size / perSecond))) as Micros,
    );
  }

  private scheduleWrite(range: TaskRange, delay: Micros): void {
    const { clock } = this.context;
    const due = (clock.now() + delay) as Micros;
    if (range.writeDueAt !== null && range.writeDueAt <= due) return;
    range.writeDueAt = due;
    clock.after(delay, () => {
      // A nearer time has been set since.
      if (range.writeDueAt !== due) return;
      range.writeDueAt = null;
      void this.write(range);
    });
  }

  private retry(range: TaskRange): void {
    range.dirty = true;
    this.scheduleWrite(range, ms(50 + 100 * this.context.random()));
  }

  private conditions(job: Job): Map<string, Uint64> {
    const { lease } = this.context;
    return new Map([
      [lease.key, lease.version],
      [jobKey(job.spec.id), job.version],
    ]);
  }

  private async write(range: TaskRange): Promise<void> {
    const { context } = this;
    const { job } = range;
    if (range.writing || !range.dirty || context.shard.jobs.get(job.spec.id) !== job || job.outcomePending) return;
    if (job.cancelled) {
      // What was placed stays on record until all of it is gone; then the job's last word replaces it.
      this.finishIfComplete(job);
      return;
    }
    if (!context.lease.isValid()) {
      this.retry(range);
      return;
    }
    if (range.tasks.every((task) => isSameRecord(task.desired, task.recorded))) {
      range.dirty = false;
      return;
    }
    // Written before the limits were lowered: it can be read and ended, and is written again once enough of it is over.
    if (taskRangeBytes(range.tasks.map((task) => task.desired)) > context.transactions.maxValueBytes) {
      this.scheduleWrite(range, OVERSIZED_RETRY_DELAY);
      return;
    }
    range.writing = true;
    const key = taskRangeKey(job.spec.id, range.index);
    const conditions = this.conditions(job).set(key, range.version);
    let snapshot: readonly TaskRecord[] = [];
    let markedAt: Micros | null = null;
    // Taken when the write leaves: what changes while it waits for the budget need not wait for another one.
    const build = (): readonly WriteOperation[] => {
      snapshot = range.tasks.map((task) => task.desired);
      range.dirty = false;
      markedAt = range.placementPendingSince;
      range.placementPendingSince = null;
      return [{ kind: "put", key, value: encodeTaskRange(snapshot) }];
    };
    const urgency = range.placementPendingSince === null ? "deferred" : writePriorityOf(job, context.settings);
    const result = await context.transactions.submitDeferred(conditions, [key], build, urgency);
    range.writing = false;
    switch (result.kind) {
      case "ok":
        range.version = result.version;
        this.applyRecorded(range, snapshot);
        this.addPlacementDelay(markedAt);
        if (range.dirty && range.writeDueAt === null) this.scheduleWrite(range, ms(1));
        break;
      case "conflict":
        range.placementPendingSince ??= markedAt;
        await this.resolveConflict(range, key, result.keys);
        this.retry(range);
        break;
      case "refused":
      case "lost":
      case "too large":
        range.placementPendingSince ??= markedAt;
        // A lost one may still come to be applied; the same condition lets only one of the two through.
        this.retry(range);
        break;
    }
    this.finishIfComplete(job);
  }

  private addPlacementDelay(since: Micros | null): void {
    if (since === null) return;
    const span = this.context.clock.now() - since;
    this.placementDelays = {
      count: this.placementDelays.count + 1,
      sum: this.placementDelays.sum + span,
      most: Math.max(this.placementDelays.most, span),
    };
  }

  private async resolveConflict(range: TaskRange, key: string, failed: readonly string[]): Promise<void> {
    const { context } = this;
    if (failed.includes(context.lease.key)) {
      context.onFenced();
      return;
    }
    if (failed.includes(jobKey(range.job.spec.id))) await context.cache.sync();
    if (!failed.includes(key)) return;
    const reply = await context.store.get(key);
    if (reply.kind === "missing") range.version = 0;
    if (reply.kind !== "ok") return;
    const records = decodeTaskRange(reply.value.value);
    if (records.some((record, at) => isUnknownPlacement(record, range.tasks[at]?.desired))) {
      // Somebody else's: our picture lacks it, and to write over it would start its tasks a second time.
      context.log.error(LogEvent.TaskRangeConflicting, { key });
      context.onInconsistent();
      return;
    }
    // One of our own writes of which we had no answer.
    context.log.info(LogEvent.TaskRangeAdopted, { key });
    range.version = reply.value.version;
    this.applyRecorded(range, records);
  }

  private applyRecorded(range: TaskRange, records: readonly TaskRecord[]): void {
    range.tasks.forEach((task, at) => {
      task.recorded = records[at] ?? task.recorded;
      if (task.machine !== null && task.startCommand.kind === "none" && isPlacementRecorded(task))
        this.context.scheduleCommands(task.machine);
    });
  }

  /** Writes a job's last word once no task of it is left. */
  finishIfComplete(job: Job): void {
    const done = job.completedTasks >= job.spec.tasks;
    if (job.outcomePending || !(done || (job.cancelled && job.placedTasks.size === 0))) return;
    const writing = job.ranges.filter((range) => range.writing);
    if (writing.length > 0) {
      // The job's last word, which its user waits for, comes after what is being written of it, and says all that a
      // note of it could.
      for (const { index } of writing) this.context.transactions.cancelPending(taskRangeKey(job.spec.id, index));
      return;
    }
    job.outcomePending = true;
    void this.writeOutcome(job, done && !job.cancelled);
  }

  private async writeOutcome(job: Job, done: boolean): Promise<void> {
    const { context } = this;
    if (!context.lease.isValid()) {
      this.retryOutcome(job);
      return;
    }
    const written = job.ranges.filter((range) => range.version !== 0);
    const here = written.slice(0, Math.max(0, context.transactions.maxWritesPerTransaction - 2));
    const last = outcomeKey(job.spec.id);
    const conditions = this.conditions(job).set(last, 0);
    const reason: Partial<OutcomeRecord> =
      done || job.cancellationReason === null ? {} : { cancellationReason: job.cancellationReason };
    const record: OutcomeRecord = { phase: done ? "done" : "cancelled", completedTasks: job.completedTasks, ...reason };
    const writes: WriteOperation[] = [
      { kind: "put", key: last, value: encodeOutcomeRecord(record) },
      { kind: "delete", key: jobKey(job.spec.id) },
    ];
    // Ranges without a job tell nothing: they may go later, as long as they do not pile up.
    const later = context.transactions.waiting("maintenance") < MAX_PENDING_DELETIONS;
    for (const range of here) {
      const key = taskRangeKey(job.spec.id, range.index);
      conditions.set(key, range.version);
      if (!later) writes.push({ kind: "delete", key });
    }
    const result = await context.transactions.submit(conditions, writes, writePriorityOf(job, context.settings));
    if (result.kind === "ok") {
      context.shard.jobs.delete(job.spec.id);
      context.log.info(LogEvent.JobEnded, { job: job.spec.id, phase: record.phase });
      context.onJobEnded(job, record);
      const left = later ? written : written.slice(here.length);
      this.deleteKeys(left.map((range) => taskRangeKey(job.spec.id, range.index)));
      return;
    }
    if (result.kind === "conflict") {
      if (result.keys.includes(context.lease.key)) {
        context.onFenced();
        return;
      }
      await context.cache.sync();
      if (result.keys.includes(last)) {
        // An earlier try of ours, of which there was no answer, has been applied.
        context.shard.jobs.delete(job.spec.id);
        context.onJobEnded(job, record);
        return;
      }
      for (const range of here) {
        const key = taskRangeKey(job.spec.id, range.index);
        if (result.keys.includes(key)) await this.resolveConflict(range, key, [key]);
      }
    }
    this.retryOutcome(job);
  }

  private retryOutcome(job: Job): void {
    this.context.clock.after(ms(50 + 100 * this.context.random()), () => {
      job.outcomePending = false;
      for (const range of job.ranges) if (range.dirty) void this.write(range);
      this.finishIfComplete(job);
    });
  }

  /** Ranges whose job has ended tell nothing any more. */
  deleteKeys(keys: readonly string[]): void {
    const { transactions, lease } = this.context;
    for (const key of keys) {
      void transactions.submit(new Map([[lease.key, lease.version]]), [{ kind: "delete", key }], "maintenance");
    }
  }
}
