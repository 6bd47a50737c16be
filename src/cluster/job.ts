/**
 * In-memory state of a job, as held by the leader of its shard.
 */
import type { JobSpec } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { CancellationReason } from "../storage/cancellation-reason.js";
import type { Micros } from "../transport/clock.js";
import type { Task, TaskRange } from "./task.js";

/** An accepted job without an outcome record, with the scheduling state that its shard's leader derives for it. */
export interface Job {
  readonly spec: JobSpec;
  version: Uint64;
  cancelled: boolean;
  /** Null where the job is not cancelled, or where its user cancelled it. */
  cancellationReason: CancellationReason | null;
  readonly ranges: TaskRange[];
  /** Tasks of its ranges that are held in memory. */
  tasksInMemory: number;
  readonly waitingTasks: Set<Task>;
  /** Tasks that may be running on a machine. */
  readonly placedTasks: Set<Task>;
  completedTasks: number;
  /** Tasks last reported as running. Kept as a count: recounting at each status request is slow for large jobs. */
  runningTasks: number;
  /** Fits, or fitted earlier, into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
  /** At least one of its tasks has been placed before. */
  started: boolean;
  /** Scheduled first because too few jobs of its class or team have started (coordination/scheduling/starvation.ts). */
  boosted: boolean;
  /** Start of its waiting time: when this leader first read it, or when its last dependency was recorded as done. */
  waitingSince: Micros;
  /** Some dependency is not on record as done. Until then the job can only be cancelled. */
  awaitingDependencies: boolean;
  /** Its own priority rank, or a higher one inherited from a job that depends on it; 0 is the highest. */
  effectiveRank: number;
  /** Its own deadline; null: none. */
  ownDeadline: Micros | null;
  /** Deadline derived from its own and those of the jobs that depend on it; null: none. */
  effectiveDeadline: Micros | null;
  /** Location of its dependency list where that is stored outside the job record; else null. */
  dependencyList: { readonly digest: string; readonly parts: number } | null;
  /** Its outcome record is being written. */
  outcomePending: boolean;
  /** Machines on which a task of this job has failed since a task of it last succeeded. */
  readonly failedMachines: Set<string>;
  /**
   * It appears to fail on every machine, so one task at a time is started as a trial
   * (coordination/workers/failure-attribution.ts).
   */
  onProbation: boolean;
  /** The longest running time of a failed task of this job since a task of it last succeeded. */
  longestFailedRun: Micros;
  /** While on probation: earliest time at which the next task is started. */
  retryAfter: Micros;
  /** Consecutive failed trial tasks while on probation. */
  failedTrials: number;
}
