/**
 * In-memory state of tasks and task ranges, as held by the leader of their shard.
 */
import type { Uint64 } from "../protocol/json.js";
import type { TaskState } from "../protocol/worker.js";
import type { TaskRecord } from "../storage/task-range-records.js";
import { type Micros, seconds } from "../transport/clock.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/**
 * State of a task's start command, as far as it is known.
 * `none`: no start command can still be delivered. `uncertain`: one sent with a fencing token up to `token` may still
 * be executed; `answered`: each direct start command of an earlier leader received a response. `observed`: the worker
 * has listed the attempt.
 */
export type StartCommandState =
  | { readonly kind: "none" | "observed" }
  | { readonly kind: "uncertain"; readonly token: number; readonly answered?: boolean };

/** One task of a job. Times are read from the leader's monotonic clock, in microseconds. */
export interface Task {
  readonly job: Job;
  readonly range: TaskRange;
  readonly index: number;
  readonly name: string;
  /** The record last known to be in the key-value store. */
  recorded: TaskRecord;
  /** The record to be stored; `TaskStateWriter` writes it where it differs from `recorded`. */
  desired: TaskRecord;
  /** The machine on which it may be running. Counts against its capacity, the quota and the spread over zones. */
  machine: Machine | null;
  startCommand: StartCommandState;
  /**
   * Assumed time at which an earlier leader sent a direct start command that got no response; null: there is none. The
   * command may still be delivered, and a worker that has reset its counters since then executes it
   * (docs/heartbeat-evidence.md).
   */
  unansweredStartAt: Micros | null;
  /** The state that the worker last reported; null: none. */
  state: TaskState | null;
  runningSince: Micros | null;
  /** Set while the task is to be stopped, with its grace period; else null. */
  stopRequest: { readonly graceS: number } | null;
  /** Earliest time of the next placement: back-off after failures. */
  earliestStart: Micros;
  failureCount: number;
  waitingSince: Micros;
  /** Earliest time of the next search for preemption victims on its behalf. */
  nextPreemptionSearch: Micros;
}

/** Consecutive tasks of one job whose states are stored in one record. */
export interface TaskRange {
  readonly job: Job;
  readonly index: number;
  /** Number of its tasks, held in memory or not. */
  readonly size: number;
  /** Empty once all of them are on record as done. */
  tasks: readonly Task[];
  version: Uint64;
  writing: boolean;
  dirty: boolean;
  /** Since when a placement has been waiting to be recorded; null: none is waiting. */
  placementPendingSince: Micros | null;
  /** Scheduled time of its next write; null: none is scheduled. */
  writeDueAt: Micros | null;
}

/** The attempt number last used; 0 where the task is done. */
export const attemptOf = (record: TaskRecord): number => (record.kind === "done" ? 0 : record.attempt);

/** Whether two task records are equal. */
export const isSameRecord = (a: TaskRecord, b: TaskRecord): boolean =>
  a.kind === b.kind &&
  (a.kind === "done" || b.kind === "done" || a.attempt === b.attempt) &&
  (a.kind !== "placed" || b.kind !== "placed" || a.machine === b.machine);

/** Whether the placement is stored and still desired. A start command may be sent only then. */
export const isPlacementRecorded = (task: Task): boolean =>
  task.recorded.kind === "placed" &&
  task.machine?.name === task.recorded.machine &&
  isSameRecord(task.recorded, task.desired);

/**
 * Once a worker has listed the attempt, an earlier start command without a response is assumed to be in transit for at
 * most this long after it was sent: the worker has been reachable since, and messages held back by an interruption are
 * delivered when it ends (docs/heartbeat-evidence.md). Shorter than the time for which a task may wait after a fault.
 */
export const MAX_START_TRANSIT_TIME = seconds(60);

/** Whether a direct start command may still be in transit to the task's machine, whatever its worker reported since. */
export const startMayBeInTransit = ({ startCommand, unansweredStartAt }: Task, now: Micros): boolean =>
  unansweredStartAt !== null && (startCommand.kind !== "observed" || now - unansweredStartAt < MAX_START_TRANSIT_TIME);

/**
 * Whether a task that does not run on its machine may be released, so that it can be placed elsewhere and its resources
 * count as free. If not, it is released when the machine is deleted, or when it exits there after another start. A
 * cancelled task may always be released, because it is never started elsewhere.
 */
export const mayRelease = (task: Task, now: Micros): boolean => task.job.cancelled || !startMayBeInTransit(task, now);

/** Whether the worker of its machine last reported the task in a state other than `exited`. */
export const isActive = (task: Task): boolean =>
  task.machine !== null && task.state !== null && task.state !== "exited";
