/**
 * Tasks and the ranges in which they are recorded, as the leader of their shard knows them.
 */
import type { Uint64 } from "../protocol/json.js";
import type { TaskState } from "../protocol/worker.js";
import type { TaskRecord } from "../storage/task-range-records.js";
import { type Micros, seconds } from "../transport/clock.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/**
 * What is known of a start command.
 * `none`: none can arrive any more. `uncertain`: one sent under at most `token` may be carried out; `answered`: each direct
 * command of an earlier leader had a response. `observed`: the worker has listed the attempt.
 */
export type StartCommandState =
  | { readonly kind: "none" | "observed" }
  | { readonly kind: "uncertain"; readonly token: number; readonly answered?: boolean };

/** One task of a job. Times are those of the leader's steady clock, in microseconds. */
export interface Task {
  readonly job: Job;
  readonly range: TaskRange;
  readonly index: number;
  readonly name: string;
  /** What the state service holds, as far as known. */
  recorded: TaskRecord;
  /** What it is to hold; `TaskStateWriter` writes the difference. */
  desired: TaskRecord;
  /** The machine it may be on. Counts against its capacity, the quota and spreading over zones. */
  machine: Machine | null;
  startCommand: StartCommandState;
  /**
   * Since when a direct start command of an earlier leader counts as sent to the machine without a response; null: none was.
   * It may still be delivered, and a worker that has reset its counters meanwhile carries it out (docs/heartbeat-evidence.md).
   */
  unansweredStartAt: Micros | null;
  /** The state that the worker last reported; null: none. */
  state: TaskState | null;
  runningSince: Micros | null;
  /** The task is to be stopped, with this grace period; null: it is not. */
  stopRequest: { readonly graceS: number } | null;
  /** It is not placed before, after failures. */
  earliestStart: Micros;
  failureCount: number;
  waitingSince: Micros;
  /** No preemption in its favour is looked for before. */
  nextPreemptionSearch: Micros;
}

/** Consecutive tasks of one job whose states stand in one record. */
export interface TaskRange {
  readonly job: Job;
  readonly index: number;
  readonly tasks: readonly Task[];
  version: Uint64;
  writing: boolean;
  dirty: boolean;
  /** Since when a placement waits to be on record; null: none does. */
  placementPendingSince: Micros | null;
  /** When its next write is to begin, if that is set. */
  writeDueAt: Micros | null;
}

/** The last attempt used; 0 where the task is done. */
export const attemptOf = (record: TaskRecord): number => (record.kind === "done" ? 0 : record.attempt);

/** Whether two records say the same of a task. */
export const isSameRecord = (a: TaskRecord, b: TaskRecord): boolean =>
  a.kind === b.kind &&
  (a.kind === "done" || b.kind === "done" || a.attempt === b.attempt) &&
  (a.kind !== "placed" || b.kind !== "placed" || a.machine === b.machine);

/** Durably on its machine, and meant to be: only then may a start command leave. */
export const isPlacementRecorded = (task: Task): boolean =>
  task.recorded.kind === "placed" &&
  task.machine?.name === task.recorded.machine &&
  isSameRecord(task.recorded, task.desired);

/**
 * Once a worker has listed the attempt, an earlier start without a response counts as on its way for so long after it was
 * sent: the worker was reached since, and what an interruption holds back is delivered when the interruption ends
 * (docs/heartbeat-evidence.md). Less than what a task may be left waiting after a fault.
 */
export const MAX_START_DELAY = seconds(60);

/** Whether a direct start command may still be on its way to the task's machine, whatever its worker has shown since. */
export const mayStartLate = ({ startCommand, unansweredStartAt }: Task, now: Micros): boolean =>
  unansweredStartAt !== null && (startCommand.kind !== "observed" || now - unansweredStartAt < MAX_START_DELAY);

/**
 * Whether a task that does not run on its machine may be released, so that it can be placed elsewhere and its resources
 * count as free. If not, only the machine's deletion frees it, or its end there once it has been started again. Nothing
 * starts a cancelled task elsewhere.
 */
export const mayRelease = (task: Task, now: Micros): boolean => task.job.cancelled || !mayStartLate(task, now);

/** Reported on its machine, and not exited there. */
export const isActive = (task: Task): boolean =>
  task.machine !== null && task.state !== null && task.state !== "exited";
