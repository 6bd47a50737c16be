/**
 * Teams' guarantees and their use in one round, and which tasks a team can lose without falling below its guarantee.
 */
import { attemptOf, type Task } from "../../cluster/task.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/**
 * A task with this many attempts is not preempted any more. Attempts are on record, so the bound holds across
 * failovers. Failed starts count as well, so that the bound errs on the side of too few preemptions.
 */
export const MAX_PREEMPTION_ATTEMPTS = 3;

/** Collects a set of tasks whose teams keep their guarantees if all of the set are stopped. */
export interface VictimTally {
  /**
   * Adds the task; returns false, and adds nothing, if its job is entitled or its team would fall below its guarantee.
   */
  tryAdd(task: Task): boolean;
}

interface Amounts {
  readonly cpu: number;
  readonly gpu: number;
}

const fitsIn = (a: Amounts, b: Amounts): boolean => a.cpu <= b.cpu && a.gpu <= b.gpu;

/**
 * Entitlement of jobs to their teams' guarantees, in one round. A job becomes entitled once it fits into its team's
 * guarantee together with the team's earlier unfinished jobs; this is decided for whole jobs and is permanent.
 * Preemption for a guarantee is only for an entitled job and only of jobs that are not, so that two teams cannot
 * preempt each other in turn. With a rule on present use alone, a team whose tasks had been stopped was at once below
 * its guarantee again and preempted the other team's tasks (test/preemption.test.ts).
 */
export class GuaranteeUsage {
  /** The demand of each team's tasks that are being stopped, which does not count as use of its guarantee. */
  private readonly stoppingByTeam = new Map<string, { cpu: number; gpu: number }>();
  private stopsCounted = false;

  /** The demand of all unfinished tasks of entitled jobs, in thousandths of CPUs. */
  readonly claimed: number;

  constructor(private readonly snapshot: SchedulerSnapshot) {
    this.claimed = markEntitledJobs(snapshot);
  }

  /**
   * Whether another team's guarantee may preempt the task: its job is not entitled, and its team keeps its guarantee.
   */
  isPreemptibleForGuarantee(task: Task): boolean {
    return this.keepsGuaranteeWithout(task, { cpu: 0, gpu: 0 });
  }

  /** An empty set of tasks to be stopped together. */
  tally(): VictimTally {
    const taken = new Map<string, { cpu: number; gpu: number }>();
    return {
      tryAdd: (task) => {
        const { team, demand } = task.job.spec;
        const before = taken.get(team) ?? { cpu: 0, gpu: 0 };
        if (!this.keepsGuaranteeWithout(task, before)) return false;
        taken.set(team, { cpu: before.cpu + demand.cpu, gpu: before.gpu + demand.gpu });
        return true;
      },
    };
  }

  private keepsGuaranteeWithout(task: Task, others: Amounts): boolean {
    const { shard, settings } = this.snapshot;
    const { team, demand } = task.job.spec;
    if (task.job.withinGuarantee) return false;
    const guaranteed = settings.teams.get(team)?.guaranteed;
    if (guaranteed === undefined) return true;
    const used = shard.teamUsage(team);
    const stopping = this.stoppingDemand(team);
    return fitsIn(guaranteed, {
      cpu: used.cpu - stopping.cpu - others.cpu - demand.cpu,
      gpu: used.gpu - stopping.gpu - others.gpu - demand.gpu,
    });
  }

  /** Records that the task is being stopped in this round. */
  recordStop(task: Task): void {
    const { team, demand } = task.job.spec;
    const known = this.stoppingDemand(team);
    this.stoppingByTeam.set(team, { cpu: known.cpu + demand.cpu, gpu: known.gpu + demand.gpu });
  }

  /**
   * Whether the task has too many attempts to be stopped again; `extraAttempts`: allowed beyond
   * `MAX_PREEMPTION_ATTEMPTS`.
   */
  hasTooManyAttempts(task: Task, extraAttempts = 0): boolean {
    return attemptOf(task.desired) >= MAX_PREEMPTION_ATTEMPTS + extraAttempts;
  }

  private stoppingDemand(team: string): { cpu: number; gpu: number } {
    if (!this.stopsCounted) {
      this.stopsCounted = true;
      // Walks all placed tasks, so it is done only in rounds that search for victims.
      for (const { placedTasks, spec } of this.snapshot.shard.jobs.values()) {
        for (const { stopRequest } of placedTasks) {
          if (stopRequest === null) continue;
          const known = this.stoppingByTeam.get(spec.team) ?? { cpu: 0, gpu: 0 };
          this.stoppingByTeam.set(spec.team, { cpu: known.cpu + spec.demand.cpu, gpu: known.gpu + spec.demand.gpu });
        }
      }
    }
    return this.stoppingByTeam.get(team) ?? { cpu: 0, gpu: 0 };
  }
}

/**
 * Marks the jobs that fit within their teams' guarantees; marks are permanent. Returns the demand of all unfinished
 * tasks of marked jobs, in thousandths of CPUs.
 */
const markEntitledJobs = ({ shard, settings }: SchedulerSnapshot): number => {
  let claimed = 0;
  const guarantees = new Map<string, { cpu: number; gpu: number }>();
  // Jobs are kept in the order in which they were accepted.
  for (const job of shard.jobs.values()) {
    if (job.cancelled || job.outcomePending || job.awaitingDependencies) continue;
    const { team, tasks, demand } = job.spec;
    let remaining = guarantees.get(team);
    if (remaining === undefined) {
      const guaranteed = settings.teams.get(team)?.guaranteed;
      remaining = { cpu: guaranteed?.cpu ?? 0, gpu: guaranteed?.gpu ?? 0 };
      guarantees.set(team, remaining);
    }
    job.withinGuarantee ||= fitsIn({ cpu: demand.cpu * tasks, gpu: demand.gpu * tasks }, remaining);
    // The demand of earlier jobs is deducted even if it exceeds the guarantee: then no later job fits either.
    // A job on probation is counted with one task only, its next start; the rest is left to the team's other jobs.
    const unfinished = job.onProbation
      ? Math.min(1, tasks - job.completedTasks)
      : Math.max(0, tasks - job.completedTasks);
    if (job.withinGuarantee) claimed += demand.cpu * unfinished;
    remaining.cpu -= demand.cpu * unfinished;
    remaining.gpu -= demand.gpu * unfinished;
  }
  return claimed;
};
