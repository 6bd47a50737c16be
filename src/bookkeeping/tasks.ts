import type { Whole } from "../protocol/json.js";
import type { JobSpec } from "../protocol/user.js";
import type { TaskState } from "../protocol/worker.js";
import type { Micros } from "../transport/clock.js";
import type { Machine } from "./machines.js";
import type { TaskRecord } from "./records.js";

/**
 * What is known of a start command.
 * `none`: none can arrive any more. `sending`: under way. `unsure`: one sent under at most `token` may yet
 * arrive. `seen`: the worker has listed the attempt.
 */
export type Launch =
  | { readonly kind: "none" | "sending" | "seen" }
  | { readonly kind: "unsure"; readonly token: number };

export interface Task {
  readonly job: Job;
  readonly range: Range;
  readonly index: number;
  readonly name: string;
  /** What the state service holds, as far as known. */
  durable: TaskRecord;
  /** What it is to hold; the range's writer works off the difference. */
  want: TaskRecord;
  /** The machine it may be on. Counts against room, quota and zones. */
  on: Machine | null;
  launch: Launch;
  state: TaskState | null;
  runningSince: Micros | null;
  stop: { readonly graceS: number } | null;
  notBefore: Micros;
  failures: number;
  waitingSince: Micros;
  preemptAfter: Micros;
}

export interface Range {
  readonly job: Job;
  readonly index: number;
  readonly tasks: readonly Task[];
  version: Whole;
  writing: boolean;
  dirty: boolean;
  /** When its next write is to begin, if that is set. */
  due: Micros | null;
}

export interface Job {
  readonly spec: JobSpec;
  version: Whole;
  cancelled: boolean;
  readonly ranges: Range[];
  readonly waiting: Set<Task>;
  /** Tasks that may be on a machine. */
  readonly placed: Set<Task>;
  done: number;
  readonly seenAt: Micros;
  ending: boolean;
  /** Machines on which a task of it failed since one last succeeded or ran on. */
  readonly failedOn: Set<string>;
  retryAfter: Micros;
  failures: number;
}

export const attemptOf = (record: TaskRecord): number => (record.kind === "done" ? 0 : record.attempt);

export const sameRecord = (a: TaskRecord, b: TaskRecord): boolean =>
  a.kind === b.kind &&
  (a.kind === "done" || b.kind === "done" || a.attempt === b.attempt) &&
  (a.kind !== "placed" || b.kind !== "placed" || a.machine === b.machine);

/** Durably on its machine, and meant to be: only then may a start command leave. */
export const confirmed = (task: Task): boolean =>
  task.durable.kind === "placed" && task.on?.name === task.durable.machine && sameRecord(task.durable, task.want);
