import type { Job } from "../../cluster/job.js";
import { priorityRank } from "../../protocol/job-spec.js";
import { dependencyListKey } from "../../storage/keys.js";
import type { OutcomeRecord } from "../../storage/outcome-records.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { LogEvent } from "../log-events.js";

/**
 * Jobs of a block that await others: which of them may begin, and with which rank and by when they count, which both follow from
 * the jobs that need them. Works along the chains by change; nothing of it is on record.
 */
export class DependencyTracker {
  constructor(
    private readonly context: Pick<
      ShardContext,
      "shard" | "dependencies" | "clock" | "log" | "wallClock" | "scheduleRound"
    >,
    /** The job has come to be among those that wait for room. */
    private readonly onReady: (job: Job) => void,
  ) {}

  jobAdded(job: Job, acceptedMs: number | null): void {
    const { dependencies, clock, wallClock } = this.context;
    const { id, deadlineS } = job.spec;
    job.awaitingDependencies = !dependencies.isReady(id);
    if (deadlineS !== null && acceptedMs !== null && wallClock !== null) {
      const ago = Math.max(0, Math.round((wallClock() - acceptedMs) * 1_000));
      job.ownDeadline = (clock.now() - ago + seconds(deadlineS)) as Micros;
      job.effectiveDeadline = job.ownDeadline;
    }
    if (!job.awaitingDependencies) this.onReady(job);
    this.updateEffectivePriorities([id, ...dependencies.dependenciesOf(id)]);
  }

  /** All that it awaits is on record as done; waits count from now. */
  jobReady(id: string): void {
    const job = this.context.shard.jobs.get(id);
    if (job === undefined || !job.awaitingDependencies || job.cancelled) return;
    job.awaitingDependencies = false;
    job.waitingSince = this.context.clock.now();
    this.context.log.info(LogEvent.JobDependenciesSatisfied, { job: id });
    this.onReady(job);
    this.context.scheduleRound();
  }

  /** The job's last word is on record; those that it needs may count for less without it. */
  jobEnded(job: Job, end: OutcomeRecord): void {
    const { dependencies } = this.context;
    const parents = dependencies.dependenciesOf(job.spec.id);
    dependencies.recordTerminalPhase(job.spec.id, end.phase);
    this.updateEffectivePriorities(parents);
  }

  /** Withdrawn: what it needs does not count with its rank any more. */
  jobCancelledByDependency(id: string): void {
    this.updateEffectivePriorities(this.context.dependencies.dependenciesOf(id));
  }

  /** Where its list of awaited jobs lies, if not in its own record. */
  dependencyListKeys(job: Job): readonly string[] {
    const { dependencyList, spec } = job;
    if (dependencyList === null) return [];
    return Array.from({ length: dependencyList.parts }, (_, part) =>
      dependencyListKey(spec.id, dependencyList.digest, part),
    );
  }

  /** Ranks and times of these, and of what they need as far as something changes. */
  private updateEffectivePriorities(ids: readonly string[]): void {
    const { shard, dependencies } = this.context;
    const stack = [...ids];
    for (let id = stack.pop(); id !== undefined; id = stack.pop()) {
      const job = shard.jobs.get(id);
      if (job === undefined) continue;
      let rank = priorityRank(job.spec.priority);
      let due = job.ownDeadline;
      for (const child of dependencies.dependentsOf(id)) {
        const other = shard.jobs.get(child);
        if (other === undefined || other.cancelled) continue;
        rank = Math.min(rank, other.effectiveRank);
        if (other.effectiveDeadline === null) continue;
        const latest = (other.effectiveDeadline - seconds(other.spec.estimatedRunS)) as Micros;
        due = due === null || latest < due ? latest : due;
      }
      if (rank === job.effectiveRank && due === job.effectiveDeadline) continue;
      job.effectiveRank = rank;
      job.effectiveDeadline = due;
      stack.push(...dependencies.dependenciesOf(id));
    }
  }
}
