/**
 * Keeps which jobs of a shard may start, as their dependencies permit.
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
 * Jobs of a shard with dependencies: which of them may start, and their effective ranks and deadlines, which follow from
 * the jobs that depend on them. Works along the dependency graph by change; nothing of it is on record.
 */
export class DependencyTracker {
  constructor(
    private readonly context: Pick<
      ShardContext,
      "shard" | "dependencies" | "clock" | "log" | "wallClock" | "scheduleRound"
    >,
    /** Called with each job that may be placed from now on. */
    private readonly onReady: (job: Job) => void,
  ) {}

  /** A job has come to the shard. `acceptedMs`: time of day of its acceptance; null: not recorded. */
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

  /** All dependencies of the job are on record as done; it waits for placement from now on. */
  jobReady(id: string): void {
    const job = this.context.shard.jobs.get(id);
    if (job === undefined || !job.awaitingDependencies || job.cancelled) return;
    job.awaitingDependencies = false;
    job.waitingSince = this.context.clock.now();
    this.context.log.info(LogEvent.JobDependenciesSatisfied, { job: id });
    this.onReady(job);
    this.context.scheduleRound();
  }

  /** The job's outcome is on record; its dependencies may have a lower effective rank without it. */
  jobEnded(job: Job, outcome: OutcomeRecord): void {
    const { dependencies } = this.context;
    const dependencyIds = dependencies.dependenciesOf(job.spec.id);
    dependencies.recordTerminalPhase(job.spec.id, outcome.phase);
    this.updateEffectivePriorities(dependencyIds);
  }

  /** The job is cancelled with a dependency: the others no longer have its rank. */
  jobCancelledByDependency(id: string): void {
    this.updateEffectivePriorities(this.context.dependencies.dependenciesOf(id));
  }

  /** The keys of the job's dependency list; none where it stands in the job's own record. */
  dependencyListKeys(job: Job): readonly string[] {
    const { dependencyList, spec } = job;
    if (dependencyList === null) return [];
    return Array.from({ length: dependencyList.parts }, (_, part) =>
      dependencyListKey(spec.id, dependencyList.digest, part),
    );
  }

  /** Updates effective ranks and deadlines of these jobs and, where they change, of their dependencies. */
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

  /** The highest rank and the earliest deadline of the job's own and those that its dependents leave it. */
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
