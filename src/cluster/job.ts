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
  /** Since when it waits: when it was first seen here, or when the last job that it awaits was on record as done. */
  waitingSince: Micros;
  /** Awaits jobs that are not on record as done: it takes part in nothing but its own cancellation. */
  awaitingDependencies: boolean;
  /** With which it counts: its own, or that of a job that needs it; 0 is the highest. */
  effectiveRank: number;
  /** By when it is to be done, by its own deadline and by those of the jobs that need it. */
  ownDeadline: Micros | null;
  effectiveDeadline: Micros | null;
  /** Where its list of awaited jobs lies, if not in its own record. */
  dependencyList: { readonly digest: string; readonly parts: number } | null;
  outcomePending: boolean;
  /** Machines on which a task of it failed since one last succeeded. */
  readonly failedMachines: Set<string>;
  /** Fails wherever it is started, as far as is known: one task at a time is tried (coordination/workers/failure-attribution.ts). */
  onProbation: boolean;
  /** The longest that a task of it ran before it failed, since one last succeeded. */
  longestFailedRun: Micros;
  retryAfter: Micros;
  /** Trials that failed, one after the other. */
  failedProbes: number;
}
