/**
 * Resolves conflicts between a task range in memory and its record, and applies what is on record to the tasks.
 * @module
 */
import { isPlacementRecorded, type TaskRange } from "../../cluster/task.js";
import { jobKey } from "../../storage/keys.js";
import { decodeTaskRange, type TaskRecord } from "../../storage/task-range-records.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";
import { keyOfTaskRange } from "./task-range-write.js";

/** Whether the record holds a placement that this leader has not decided on. */
const isUnknownPlacement = (record: TaskRecord, desired: TaskRecord | undefined): boolean => {
  if (record.kind !== "placed") return false;
  if (desired === undefined) return true;
  if (desired.kind === "done") return false;
  if (record.attempt > desired.attempt) return true;
  return desired.kind === "placed" && record.attempt === desired.attempt && record.machine !== desired.machine;
};

/** Sets the recorded states of a range's tasks, and schedules the start commands that may be sent now. */
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
 * Finds out why a conditional write of the range failed. `failedKeys`: the keys whose conditions did not hold. A lost
 * lease and a record that can't be this leader's are reported to the context; a record that is an own write without a
 * response is adopted. Throws `MalformedMessageError` where the record can't be read.
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
    // Written by another leader: the state here lacks it, and overwriting it would start its tasks a second time.
    context.log.error(LogEvent.TaskRangeConflicting, { key });
    context.onInconsistent();
    return;
  }
  // An own write to which there was no response.
  context.log.info(LogEvent.TaskRangeAdopted, { key });
  range.version = reply.value.version;
  applyRecordedStates(context, range, records);
};
