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
 * A write of a range from its submission to its result. The desired task states are taken when the transaction is sent:
 * what changes while it waits for the write budget needs no further write.
 */
export class TaskRangeWrite {
  readonly key: string;
  /** The task states that were sent; empty until then. */
  records: readonly TaskRecord[] = [];
  /** Since when a placement among them waited to be on record; null: none did. */
  placementPendingSince: Micros | null = null;

  constructor(readonly range: TaskRange) {
    this.key = keyOfTaskRange(range);
  }

  /** Takes the desired states of the range's tasks: the range counts as clean from now on. */
  buildOperations(): readonly WriteOperation[] {
    const { range } = this;
    this.records = range.tasks.map((task) => task.desired);
    range.dirty = false;
    this.placementPendingSince = range.placementPendingSince;
    range.placementPendingSince = null;
    return [{ kind: "put", key: this.key, value: encodeTaskRange(this.records) }];
  }

  /** The write was not confirmed: its placements go on waiting from when they began to. */
  restorePlacementTime(): void {
    this.range.placementPendingSince ??= this.placementPendingSince;
  }
}
