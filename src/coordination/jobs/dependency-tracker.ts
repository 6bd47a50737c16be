/**
 * Tracks which jobs of a shard may start, given the state of their dependencies.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import { priorityRank } from "../../protocol/job-spec.js";
import { dependencyListKey } from "../../storage/keys.js";
import type { OutcomeRecord } from "../../storage/outcome-records.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";

const MICROS_PER_MS = 1_000;

/**
 * Maintains for the jobs of a shard whether they may start, and their effective ranks and deadlines, which they inherit
 * from their dependents. Updated incrementally along the dependency graph; not stored.
 */
export class DependencyTracker {
  constructor(
    private readonly context: Pick<
      ShardContext,
      "shard" | "dependencies" | "clock" | "log" | "wallClock" | "scheduleRound"
    >,
    /** Called with each job that becomes eligible for placement. */
    private readonly onReady: (job: Job) => void,
  ) {}

  /** Adds a job of the shard. `acceptedMs`: wall-clock time of its acceptance in milliseconds; null: not recorded. */
  jobAdded(job: Job, acceptedMs: number | null): void {
    const { dependencies, clock, wallClock } = this.context;
    const { id, deadlineS } = job.spec;
    job.awaitingDependencies = !dependencies.isReady(id);
    if (deadlineS !== null && acceptedMs !== null && wallClock !== null) {
      const age = Math.max(0, Math.round((wallClock() - acceptedMs) * MICROS_PER_MS));
      job.ownDeadline = (clock.now() - age + seconds(deadlineS)) as Micros;
      job.effectiveDeadline = job.ownDeadline;
    }
    if (!job.awaitingDependencies) this.onReady(job);
    this.updateEffectivePriorities([id, ...dependencies.dependenciesOf(id)]);
  }

  /** Called once all dependencies of the job are recorded as done: makes it eligible for placement. */
  jobReady(id: string): void {
    const job = this.context.shard.jobs.get(id);
    if (job === undefined || !job.awaitingDependencies || job.cancelled) return;
    job.awaitingDependencies = false;
    job.waitingSince = this.context.clock.now();
    this.context.log.info(LogEvent.JobDependenciesSatisfied, { job: id });
    this.onReady(job);
    this.context.scheduleRound();
  }

  /** Called once the job's outcome is recorded: its dependencies no longer inherit its rank and deadline. */
  jobEnded(job: Job, outcome: OutcomeRecord): void {
    const { dependencies } = this.context;
    const dependencyIds = dependencies.dependenciesOf(job.spec.id);
    dependencies.recordTerminalPhase(job.spec.id, outcome.phase);
    this.updateEffectivePriorities(dependencyIds);
  }

  /** Called when the job is cancelled by a dependency: its other dependencies no longer inherit its rank. */
  jobCancelledByDependency(id: string): void {
    this.updateEffectivePriorities(this.context.dependencies.dependenciesOf(id));
  }

  /** The keys of the job's dependency list; empty if the list is part of the job record. */
  dependencyListKeys(job: Job): readonly string[] {
    const { dependencyList, spec } = job;
    if (dependencyList === null) return [];
    return Array.from({ length: dependencyList.parts }, (_, part) =>
      dependencyListKey(spec.id, dependencyList.digest, part),
    );
  }

  /** Updates the effective ranks and deadlines of these jobs and, if they change, of their dependencies. */
  private updateEffectivePriorities(ids: readonly string[]): void {
    const { shard, dependencies } = this.context;
    const stack = [...ids];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const job = shard.jobs.get(id);
      if (job === undefined) continue;
      const { rank, deadline } = this.effectivePriorityOf(job);
      if (rank === job.effectiveRank && deadline === job.effectiveDeadline) continue;
      job.effectiveRank = rank;
      job.effectiveDeadline = deadline;
      stack.push(...dependencies.dependenciesOf(id));
    }
  }

  /**
   * The highest rank and the earliest deadline among the job's own and those inherited from its dependents: it must end
   * by a dependent's deadline minus the dependent's estimated run time.
   */
  private effectivePriorityOf(job: Job): { readonly rank: number; readonly deadline: Micros | null } {
    const { shard, dependencies } = this.context;
    let rank = priorityRank(job.spec.priority);
    let deadline = job.ownDeadline;
    for (const dependentId of dependencies.dependentsOf(job.spec.id)) {
      const dependent = shard.jobs.get(dependentId);
      if (dependent === undefined || dependent.cancelled) continue;
      rank = Math.min(rank, dependent.effectiveRank);
      if (dependent.effectiveDeadline === null) continue;
      const latestEnd = (dependent.effectiveDeadline - seconds(dependent.spec.estimatedRunS)) as Micros;
      if (deadline === null || latestEnd < deadline) deadline = latestEnd;
    }
    return { rank, deadline };
  }
}
