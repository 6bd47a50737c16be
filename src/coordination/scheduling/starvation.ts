/** Prevention of starvation: waiting jobs of classes and teams of which too few jobs have started are placed first. */
import { quantile } from "simple-statistics";
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import { cpuToStart, hasStarted } from "./job-start.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** A class or team is starved while less than this share of its jobs has started. */
const MIN_STARTED_SHARE = 0.6;
/** A job that has waited for less than this is not boosted. */
const MIN_BOOST_WAIT = seconds(20);
/** The share of all capacity that boosted jobs may use; bounds their cost to other jobs. */
const BOOST_SHARE = 0.1;

/** A job that has waited longer than this without a start is boosted in any case: a start within 4 min is promised. */
export const MAX_START_WAIT = seconds(120);
/** The largest jobs of a class are those in the largest tenth of its recent jobs, by the CPUs of all their tasks. */
const LARGEST_QUANTILE = 0.9;
/** The number of recent jobs of each class whose sizes are kept. */
const MAX_RECORDED_SIZES = 200;
/** With fewer recorded sizes no job counts as one of the largest. */
const MIN_RECORDED_SIZES = 5;

/** The sizes of the recent jobs of a class. */
class JobSizes {
  private readonly recordedJobs = new WeakSet<Job>();
  private readonly recentSizes: number[] = [];
  private largestThreshold = Number.POSITIVE_INFINITY;

  record(job: Job, size: number): void {
    if (this.recordedJobs.has(job)) return;
    this.recordedJobs.add(job);
    this.recentSizes.push(size);
    if (this.recentSizes.length > MAX_RECORDED_SIZES) this.recentSizes.shift();
    if (this.recentSizes.length >= MIN_RECORDED_SIZES)
      this.largestThreshold = quantile(this.recentSizes, LARGEST_QUANTILE);
  }

  isLargest(size: number): boolean {
    return size >= this.largestThreshold;
  }
}

const sizeOf = ({ demand, tasks }: JobSpec): number => Math.max(1, demand.cpu) * tasks;

/**
 * Counts the started jobs (one task placed) of each group since this leader acquired the shard. The groups are the
 * classes, the teams, and the largest jobs of each class.
 */
export class StartHistory {
  private readonly startedCounts = new Map<string, number>();
  private readonly sizes = new Map<string, JobSizes>();

  private groupsOf(job: Job): readonly string[] {
    const { spec } = job;
    const sizes = this.sizes.get(spec.jobClass) ?? new JobSizes();
    this.sizes.set(spec.jobClass, sizes);
    sizes.record(job, sizeOf(spec));
    const groups = [`class ${spec.jobClass}`, `team ${spec.team}`];
    if (sizes.isLargest(sizeOf(spec))) groups.push(`largest ${spec.jobClass}`);
    return groups;
  }

  /** Whether the job belongs to one of these groups. */
  isStarving(job: Job, starvedGroups: ReadonlySet<string>): boolean {
    return this.groupsOf(job).some((group) => starvedGroups.has(group));
  }

  /** Counts the job as started, once, when a task of it is placed. */
  recordJobStart(job: Job): void {
    if (job.started) return;
    job.started = true;
    for (const group of this.groupsOf(job)) this.startedCounts.set(group, (this.startedCounts.get(group) ?? 0) + 1);
  }

  /** Groups of which too few jobs have started. `waiting`: the jobs that have not started. */
  starvedGroups(waiting: readonly Job[]): ReadonlySet<string> {
    const counts = new Map<string, number>();
    for (const job of waiting) for (const group of this.groupsOf(job)) counts.set(group, (counts.get(group) ?? 0) + 1);
    const starving = new Set<string>();
    for (const [group, count] of counts) {
      const started = this.startedCounts.get(group) ?? 0;
      if (started < MIN_STARTED_SHARE * (started + count)) starving.add(group);
    }
    return starving;
  }
}

/** The jobs that are placed before all others in this round, longest waiting first, and the capacity left to them. */
export interface BoostedJobs {
  readonly jobs: readonly Job[];
  /** Thousandths of CPUs. */
  remaining: number;
}

/**
 * Boosts jobs that would starve: with strict priority a low rank waits for ever beside enough work of a higher rank,
 * and within a rank large tasks keep small ones out. Late jobs of a class or team of which too few jobs have started
 * are placed first, within a small share of all capacity. Boosted jobs are not preempted for a higher rank, and no task
 * is preempted for them in the boosted stage. `capacity`: thousandths of CPUs on all ready machines.
 */
export const boostStarvedJobs = (
  snapshot: SchedulerSnapshot,
  startHistory: StartHistory,
  waiting: readonly Job[],
  capacity: number,
): BoostedJobs => {
  const { shard, now } = snapshot;
  const notStarted = waiting.filter(
    (job) => !job.started || (now - job.waitingSince > MAX_START_WAIT && !hasStarted(job)),
  );
  const late = notStarted.filter(
    ({ waitingSince, onProbation }) => !onProbation && now - waitingSince > MIN_BOOST_WAIT,
  );
  if (late.length > 0) {
    const starvingGroups = startHistory.starvedGroups(notStarted);
    for (const job of late)
      job.boosted ||= now - job.waitingSince > MAX_START_WAIT || startHistory.isStarving(job, starvingGroups);
  }
  const jobs = waiting.filter(({ boosted }) => boosted);
  if (jobs.length === 0) return { jobs, remaining: 0 };
  let used = 0;
  for (const { boosted, placedTasks, spec } of shard.jobs.values()) {
    if (boosted) used += placedTasks.size * spec.demand.cpu;
  }
  jobs.sort((a, b) => a.waitingSince - b.waitingSince);
  // A single job may need more than the share, and must be able to start all the same.
  const minForFirstJob = used === 0 && jobs[0] !== undefined ? cpuToStart(jobs[0].spec) : 0;
  return { jobs, remaining: Math.max(minForFirstJob, capacity * BOOST_SHARE - used) };
};
