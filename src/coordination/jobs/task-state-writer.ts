/**
 * Writes the states of tasks to the key-value store.
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

/** Recording what has ended takes about this share of the state service's writes, each range in turn. */
const END_WRITE_SHARE = 0.3;
const MIN_END_WRITE_DELAY = seconds(0.5);
const MAX_END_WRITE_DELAY = seconds(15);
/** Until a range whose value is too large is looked at again. */
const OVERSIZED_RETRY_DELAY = seconds(1);
/** Placements of one round are recorded together. */
const PLACEMENT_WRITE_DELAY = ms(1);

/**
 * Makes the desired states of tasks durable: each range is written when they differ from what is on record, one write
 * at a time, conditional on the range's version, the job's and the shard lease's. Commands follow only from what has
 * been confirmed.
 */
export class TaskStateWriter {
  private readonly placementDelays = new PlacementDelays();
  private readonly outcomes: OutcomeWriter;

  constructor(private readonly context: ShardContext) {
    this.outcomes = new OutcomeWriter(context, (range) => void this.write(range));
  }

  /** A placement is to be recorded: its start command waits for that. */
  recordPlacement(range: TaskRange): void {
    const { clock, settings, transactions } = this.context;
    range.dirty = true;
    if (range.placementPendingSince === null) {
      range.placementPendingSince = clock.now();
      if (range.writing) transactions.promote(keyOfTaskRange(range), writePriorityOf(range.job, settings));
    }
    this.scheduleWrite(range, PLACEMENT_WRITE_DELAY);
  }

  /** How long placements waited to be on record since this was last called. */
  takePlacementDelays(): PlacementDelaySummary {
    return this.placementDelays.take();
  }

  /**
   * What has ended may be recorded a little later, together with what ends meanwhile: until then the worker
   * goes on reporting it. One write for each end would take all of the budget that starts need.
   */
  recordSoon(range: TaskRange): void {
    range.dirty = true;
    const { shard, settings } = this.context;
    const endWritesPerS = Math.max(1, settings.store.writesPerS * END_WRITE_SHARE);
    const delay = Math.max(MIN_END_WRITE_DELAY, seconds(shard.jobs.size / endWritesPerS));
    this.scheduleWrite(range, Math.min(MAX_END_WRITE_DELAY, delay) as Micros);
  }

  /** Writes the job's outcome once no task of it is left. */
  finishIfComplete(job: Job): void {
    this.outcomes.finishIfComplete(job);
  }

  /** Deletes records that no longer mean anything, such as ranges of ended jobs. */
  deleteKeys(keys: readonly string[]): void {
    this.outcomes.deleteKeys(keys);
  }

  private scheduleWrite(range: TaskRange, delay: Micros): void {
    const { clock } = this.context;
    const dueAt = (clock.now() + delay) as Micros;
    if (range.writeDueAt !== null && range.writeDueAt <= dueAt) return;
    range.writeDueAt = dueAt;
    clock.after(delay, () => {
      // An earlier time has been set since.
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
      // A lost one may still come to be applied; the same condition lets only one of the two through.
      this.retry(range);
    }
    this.finishIfComplete(job);
  }

  /** Whether the range is to be written now; takes care of it where it is not. */
  private isWriteDue(range: TaskRange): boolean {
    const { shard, lease, transactions } = this.context;
    const { job } = range;
    if (range.writing || !range.dirty || shard.jobs.get(job.spec.id) !== job || job.outcomePending) return false;
    if (job.cancelled) {
      // What was placed stays on record until all of it is gone; then the job's outcome replaces it.
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
    // Written before the limits were lowered: it can be read and ended, and is written again once enough of it is over.
    if (taskRangeBytes(range.tasks.map((task) => task.desired)) > transactions.maxValueBytes) {
      this.scheduleWrite(range, OVERSIZED_RETRY_DELAY);
      return false;
    }
    return true;
  }

  private writeConfirmed({ range, records, placementPendingSince }: TaskRangeWrite, version: Uint64): void {
    range.version = version;
    applyRecordedStates(this.context, range, records);
    if (placementPendingSince !== null)
      this.placementDelays.record((this.context.clock.now() - placementPendingSince) as Micros);
    if (range.dirty && range.writeDueAt === null) this.scheduleWrite(range, PLACEMENT_WRITE_DELAY);
  }
}
