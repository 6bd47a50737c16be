import type { Task } from "./picture.js";
import type { TaskRecord } from "./records.js";

export const attemptOf = (record: TaskRecord): number => (record.kind === "done" ? 0 : record.attempt);

export const sameRecord = (a: TaskRecord, b: TaskRecord): boolean =>
  a.kind === b.kind &&
  (a.kind === "done" || b.kind === "done" || a.attempt === b.attempt) &&
  (a.kind !== "placed" || b.kind !== "placed" || a.machine === b.machine);

/** Durably on its machine, and meant to be: only then may a start command leave. */
export const confirmed = (task: Task): boolean =>
  task.durable.kind === "placed" && task.on?.name === task.durable.machine && sameRecord(task.durable, task.want);

/** Reported on its machine, and not exited there. */
export const isActive = (task: Task): boolean => task.on !== null && task.state !== null && task.state !== "exited";
