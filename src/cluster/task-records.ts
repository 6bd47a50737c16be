import type { TaskRecord } from "../storage/task-range-records.js";
import type { Task } from "./entities.js";

export const attemptOf = (record: TaskRecord): number => (record.kind === "done" ? 0 : record.attempt);

export const isSameRecord = (a: TaskRecord, b: TaskRecord): boolean =>
  a.kind === b.kind &&
  (a.kind === "done" || b.kind === "done" || a.attempt === b.attempt) &&
  (a.kind !== "placed" || b.kind !== "placed" || a.machine === b.machine);

/** Durably on its machine, and meant to be: only then may a start command leave. */
export const isPlacementRecorded = (task: Task): boolean =>
  task.recorded.kind === "placed" &&
  task.machine?.name === task.recorded.machine &&
  isSameRecord(task.recorded, task.desired);

/** Reported on its machine, and not exited there. */
export const isActive = (task: Task): boolean =>
  task.machine !== null && task.state !== null && task.state !== "exited";
