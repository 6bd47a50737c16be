/**
 * Jobs as the leader of their shard knows them.
 */
import type { JobSpec } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { CancellationReason } from "../storage/cancellation-reason.js";
import type { Micros } from "../transport/clock.js";
import type { Task, TaskRange } from "./task.js";

/** An accepted job without an outcome record, with what its shard's leader concludes about it. */
export interface Job {
  readonly spec: JobSpec;
  version: Uint64;
  cancelled: boolean;
  /** Where it was not its user who cancelled it. */
  cancellationReason: CancellationReason | null;
  readonly ranges: TaskRange[];
  readonly waitingTasks: Set<Task>;
  /** Tasks that may be on a machine. */
  readonly placedTasks: Set<Task>;
  completedTasks: number;
  /** Tasks last reported as running: users ask for it, and counting them anew each time was dear for large jobs. */
  runningTasks: number;
  /** Fits, or once fitted, into its team's guarantee together with the team's earlier unfinished jobs. */
  withinGuarantee: boolean;
  /** A task of it has been placed at some time. */
  started: boolean;
  /** Goes first, since too few of its class or team have begun (coordination/scheduling/starvation.ts). */
  boosted: boolean;
  /** Since when it waits: when it was first seen here, or when its last dependency was on record as done. */
  waitingSince: Micros;
  /** It has dependencies that are not on record as done: nothing but a cancellation applies to it. */
  awaitingDependencies: boolean;
  /** Its own rank, or that of a job that depends on it; 0 is the highest. */
  effectiveRank: number;
  /** By when it is to be done by its own deadline; null: it has none. */
  ownDeadline: Micros | null;
  /** By when it is to be done by its own deadline and those of the jobs that depend on it. */
  effectiveDeadline: Micros | null;
  /** Identifies its dependency list where that is stored apart from its own record. */
  dependencyList: { readonly digest: string; readonly parts: number } | null;
  /** Its outcome record is being written. */
  outcomePending: boolean;
  /** Machines on which a task of it failed since one last succeeded. */
  readonly failedMachines: Set<string>;
  /** Fails wherever it is started, as far as is known: one task at a time is tried (coordination/workers/failure-attribution.ts). */
  onProbation: boolean;
  /** The longest that a task of it ran before it failed, since one last succeeded. */
  longestFailedRun: Micros;
  /** On probation, no task is started before. */
  retryAfter: Micros;
  /** Consecutive probes that failed. */
  failedProbes: number;
}
