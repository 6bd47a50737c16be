/**
 * Writes the states of tasks to the key-value store, one record a range of tasks.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import { isSameRecord, type TaskRange } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import { taskRangeBytes } from "../../storage/task-range-records.js";
import { type Micros, ms, seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { writePriorityOf } from "../scheduling/start-deadline.js";
import { OutcomeWriter } from "./outcome-writer.js";
import { type PlacementDelaySummary, PlacementDelays } from "./placement-delays.js";
import { applyRecordedStates, resolveTaskRangeConflict } from "./task-range-conflicts.js";
import { keyOfTaskRange, TaskRangeWrite } from "./task-range-write.js";
import { writeConditionsOf, writeRetryDelay } from "./write-conditions.js";

/** Recording ended tasks takes about this share of the key-value store's write limit, in turn for all jobs. */
const TASK_END_WRITE_SHARE = 0.3;
const MIN_TASK_END_WRITE_DELAY = seconds(0.5);
const MAX_TASK_END_WRITE_DELAY = seconds(15);
/** Delay before a range whose value is too large is checked again. */
const OVERSIZED_RETRY_DELAY = seconds(1);
/** Lets all placements of one round go into the same write. */
const PLACEMENT_WRITE_DELAY = ms(1);

/**
 * Records the desired states of tasks: a range is written when they differ from its record, with one write in flight at
 * a time, conditional on the versions of the range, the job record and the shard lease. Commands are sent only for
 * confirmed records.
 */
export class TaskStateWriter {
  private readonly placementDelays = new PlacementDelays();
  private readonly outcomeWriter: OutcomeWriter;

  constructor(private readonly context: ShardContext) {
    this.outcomeWriter = new OutcomeWriter(context, (range) => void this.write(range));
  }

  /** Records a new placement, for which the start command waits. */
  recordPlacement(range: TaskRange): void {
    const { clock, settings, transactions } = this.context;
    range.dirty = true;
    if (range.placementPendingSince === null) {
      range.placementPendingSince = clock.now();
      if (range.writing) transactions.promote(keyOfTaskRange(range), writePriorityOf(range.job, settings));
    }
    this.scheduleWrite(range, PLACEMENT_WRITE_DELAY);
  }

  /** Delays of placements from decision to confirmed record since the last call. */
  takePlacementDelays(): PlacementDelaySummary {
    return this.placementDelays.take();
  }

  /**
   * Records ended tasks after a delay, together with those that end meanwhile; until then the worker keeps reporting
   * them. One write per ended task would use up the write budget that task starts need.
   */
  recordSoon(range: TaskRange): void {
    range.dirty = true;
    const { shard, settings } = this.context;
    const taskEndWritesPerS = Math.max(1, settings.store.writesPerS * TASK_END_WRITE_SHARE);
    const delay = Math.max(MIN_TASK_END_WRITE_DELAY, seconds(shard.jobs.size / taskEndWritesPerS));
    this.scheduleWrite(range, Math.min(MAX_TASK_END_WRITE_DELAY, delay) as Micros);
  }

  /** Writes the job's outcome if all tasks are done or, for a cancelled job, none is placed any more. */
  finishIfComplete(job: Job): void {
    this.outcomeWriter.finishIfComplete(job);
  }

  /** Deletes obsolete records, such as ranges of ended jobs. */
  deleteKeys(keys: readonly string[]): void {
    this.outcomeWriter.deleteKeys(keys);
  }

  private scheduleWrite(range: TaskRange, delay: Micros): void {
    const { clock } = this.context;
    const dueAt = (clock.now() + delay) as Micros;
    if (range.writeDueAt !== null && range.writeDueAt <= dueAt) return;
    range.writeDueAt = dueAt;
    clock.after(delay, () => {
      // Rescheduled to an earlier time since.
      if (range.writeDueAt !== dueAt) return;
      range.writeDueAt = null;
      void this.write(range);
    });
  }

  private retry(range: TaskRange): void {
    range.dirty = true;
    this.scheduleWrite(range, writeRetryDelay(this.context));
  }

  private async write(range: TaskRange): Promise<void> {
    if (!this.isWriteDue(range)) return;
    const { context } = this;
    const { job } = range;
    range.writing = true;
    const write = new TaskRangeWrite(range);
    const conditions = writeConditionsOf(context, job).set(write.key, range.version);
    const priority = range.placementPendingSince === null ? "deferred" : writePriorityOf(job, context.settings);
    const build = () => write.buildOperations();
    const result = await context.transactions.submitDeferred(conditions, [write.key], build, priority);
    range.writing = false;
    if (result.kind === "ok") this.writeConfirmed(write, result.version);
    else {
      write.restorePlacementTime();
      if (result.kind === "conflict") await resolveTaskRangeConflict(context, range, result.keys);
      // A write whose response was lost may still be applied: both have the same condition, so only one commits.
      this.retry(range);
    }
    this.finishIfComplete(job);
  }

  /** Whether the range is to be written now; otherwise schedules the next step if one is needed. */
  private isWriteDue(range: TaskRange): boolean {
    const { shard, lease, transactions } = this.context;
    const { job } = range;
    if (range.writing || !range.dirty || shard.jobs.get(job.spec.id) !== job || job.outcomePending) return false;
    if (job.cancelled) {
      // Placements stay recorded until none of the tasks is placed any more; then the job's outcome replaces them.
      this.finishIfComplete(job);
      return false;
    }
    if (!lease.isValid()) {
      this.retry(range);
      return false;
    }
    if (range.tasks.every((task) => isSameRecord(task.desired, task.recorded))) {
      range.dirty = false;
      return false;
    }
    // Recorded before the value limit was lowered: not writable until enough of its tasks have ended.
    if (taskRangeBytes(range.tasks.map((task) => task.desired)) > transactions.maxValueBytes) {
      this.scheduleWrite(range, OVERSIZED_RETRY_DELAY);
      return false;
    }
    return true;
  }

  private writeConfirmed({ range, records, placementPendingSince }: TaskRangeWrite, version: Uint64): void {
    range.version = version;
    applyRecordedStates(this.context, range, records);
    this.context.shard.releaseTaskRange(range);
    if (placementPendingSince !== null)
      this.placementDelays.record((this.context.clock.now() - placementPendingSince) as Micros);
    if (range.dirty && range.writeDueAt === null) this.scheduleWrite(range, PLACEMENT_WRITE_DELAY);
  }
}
