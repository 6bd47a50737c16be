/** What teams are guaranteed and use in one round, and which tasks they can lose without falling below it. */
import { attemptOf, type Task } from "../../cluster/task.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/**
 * A task that was started so often is not preempted any more. Attempts are on record, so the bound holds
 * across failovers; starts that failed count, too, which errs on the side of leaving work alone.
 */
export const MAX_ATTEMPTS = 3;

/** Takes tasks into a set as long as their teams keep their guarantees without all of them. */
export interface VictimTally {
  take(task: Task): boolean;
}

interface Amounts {
  readonly cpu: number;
  readonly gpu: number;
}

const fitsIn = (a: Amounts, b: Amounts): boolean => a.cpu <= b.cpu && a.gpu <= b.gpu;

/**
 * What teams are entitled to, in one round. A job is entitled while it fits into its team's guarantee together with
 * the team's earlier unfinished jobs; that is decided for whole jobs, once: a job that is entitled stays so. Preemptions for
 * guarantees therefore go from entitled jobs to others only, and no two teams can take turns in preempting each other.
 * By each team's present use alone, as before, one team's stopped tasks were at once within its guarantee again and
 * stopped the other's (test/preemption.test.ts).
 */
export class GuaranteeUsage {
  /** What each team has told to stop, and is not to be counted on for anything. */
  private readonly stoppingByTeam = new Map<string, { cpu: number; gpu: number }>();
  private counted = false;

  /** What entitled jobs have not completed yet. */
  readonly claimed: number;

  constructor(private readonly snapshot: SchedulerSnapshot) {
    this.claimed = markEntitledJobs(snapshot);
  }

  /** May this task be preempted for another team's guarantee, so that its own team keeps what it is guaranteed? */
  isSparable(task: Task): boolean {
    return this.keepsGuaranteeWithout(task, { cpu: 0, gpu: 0 });
  }

  /** For a set of tasks that are to be stopped together. */
  tally(): VictimTally {
    const taken = new Map<string, { cpu: number; gpu: number }>();
    return {
      take: (task) => {
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
    const stopping = this.stoppingOf(team);
    return fitsIn(guaranteed, {
      cpu: used.cpu - stopping.cpu - others.cpu - demand.cpu,
      gpu: used.gpu - stopping.gpu - others.gpu - demand.gpu,
    });
  }

  /** The task has been told to stop, or is about to be. */
  taskStopped(task: Task): void {
    const { team, demand } = task.job.spec;
    const known = this.stoppingOf(team);
    this.stoppingByTeam.set(team, { cpu: known.cpu + demand.cpu, gpu: known.gpu + demand.gpu });
  }

  /** Started too often to be stopped once more; `grace`: attempts beyond the usual bound, for what loses no work. */
  startedTooOften(task: Task, grace = 0): boolean {
    return attemptOf(task.desired) >= MAX_ATTEMPTS + grace;
  }

  private stoppingOf(team: string): { cpu: number; gpu: number } {
    if (!this.counted) {
      this.counted = true;
      // Walks all that is placed, so only in a round that searches for victims.
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
 * Marks the jobs that have come to fit within their teams' guarantees; a mark once given stays. Returns the thousandths
 * of CPUs that marked jobs have not completed yet.
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
    // What earlier jobs still demand is taken even where it exceeds the guarantee: then nothing later fits either.
    // A job on probation demands no more than its next start: the rest is left to the team's others.
    const unfinished = job.onProbation
      ? Math.min(1, tasks - job.completedTasks)
      : Math.max(0, tasks - job.completedTasks);
    if (job.withinGuarantee) claimed += demand.cpu * unfinished;
    remaining.cpu -= demand.cpu * unfinished;
    remaining.gpu -= demand.gpu * unfinished;
  }
  return claimed;
};
