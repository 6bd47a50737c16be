/**
 * One write of a task range's record.
 * @module
 */
import type { TaskRange } from "../../cluster/task.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { taskRangeKey } from "../../storage/keys.js";
import { encodeTaskRange, type TaskRecord } from "../../storage/task-range-records.js";
import type { Micros } from "../../transport/clock.js";

/** The key of a range's record. */
export const keyOfTaskRange = (range: TaskRange): string => taskRangeKey(range.job.spec.id, range.index);

/**
 * A write of a range, from submission to result. The desired task states are read only when the transaction is sent, so
 * that changes made while it waits for the write budget need no further write.
 */
export class TaskRangeWrite {
  readonly key: string;
  /** The task states as sent; empty until the transaction is sent. */
  records: readonly TaskRecord[] = [];
  /** Since when the oldest unrecorded placement among them has been waiting; null: there was none. */
  placementPendingSince: Micros | null = null;

  constructor(readonly range: TaskRange) {
    this.key = keyOfTaskRange(range);
  }

  /** Reads the desired states of the range's tasks, and marks the range as clean. */
  buildOperations(): readonly WriteOperation[] {
    const { range } = this;
    this.records = range.tasks.map((task) => task.desired);
    range.dirty = false;
    this.placementPendingSince = range.placementPendingSince;
    range.placementPendingSince = null;
    return [{ kind: "put", key: this.key, value: encodeTaskRange(this.records) }];
  }

  /** After an unconfirmed write: its placements keep waiting, counted from the original time. */
  restorePlacementTime(): void {
    this.range.placementPendingSince ??= this.placementPendingSince;
  }
}
