/**
 * Resolves conflicts between a task range in memory and its record, and applies recorded states to the tasks.
 * @module
 */
import { isPlacementRecorded, type TaskRange } from "../../cluster/task.js";
import { jobKey } from "../../storage/keys.js";
import { decodeTaskRange, type TaskRecord } from "../../storage/task-range-records.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import { keyOfTaskRange } from "./task-range-write.js";

/** Whether the record contains a placement that this leader did not make. */
const isUnknownPlacement = (record: TaskRecord, desired: TaskRecord | undefined): boolean => {
  if (record.kind !== "placed") return false;
  if (desired === undefined) return true;
  if (desired.kind === "done") return false;
  if (record.attempt > desired.attempt) return true;
  return desired.kind === "placed" && record.attempt === desired.attempt && record.machine !== desired.machine;
};

/** Sets the recorded states of a range's tasks, and schedules the start commands that they permit. */
export const applyRecordedStates = (
  context: Pick<ShardContext, "scheduleCommands">,
  range: TaskRange,
  records: readonly TaskRecord[],
): void => {
  range.tasks.forEach((task, index) => {
    task.recorded = records[index] ?? task.recorded;
    if (task.machine !== null && task.startCommand.kind === "none" && isPlacementRecorded(task))
      context.scheduleCommands(task.machine);
  });
};

/**
 * Handles a conflict in a conditional write of the range. `failedKeys`: the keys whose conditions failed. A lost shard
 * lease, and a record that another leader wrote, are reported to the context; a record from an earlier write of this
 * leader whose response was lost is adopted. Throws `MalformedMessageError` if the record is malformed.
 */
export const resolveTaskRangeConflict = async (
  context: ShardContext,
  range: TaskRange,
  failedKeys: readonly string[],
): Promise<void> => {
  if (failedKeys.includes(context.lease.key)) {
    context.onFenced();
    return;
  }
  if (failedKeys.includes(jobKey(range.job.spec.id))) await context.cache.sync();
  const key = keyOfTaskRange(range);
  if (!failedKeys.includes(key)) return;
  const reply = await context.store.get(key);
  if (reply.kind === "missing") range.version = 0;
  if (reply.kind !== "ok") return;
  const records = decodeTaskRange(reply.value.value);
  if (records.some((record, index) => isUnknownPlacement(record, range.tasks[index]?.desired))) {
    // Written by another leader. It is missing in memory here, and overwriting it would start its tasks a second time.
    context.log.error(LogEvent.TaskRangeConflicting, { key });
    context.onInconsistent();
    return;
  }
  // An earlier write of this leader whose response was lost.
  context.log.info(LogEvent.TaskRangeAdopted, { key });
  range.version = reply.value.version;
  applyRecordedStates(context, range, records);
};
