/** Prevention of starvation: jobs of classes and teams of which too few have started go before all others for a while. */
import { quantile } from "simple-statistics";
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import { cpuToStart, hasStarted } from "./job-start.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Where less than this share of a class's or team's jobs has started, those that have waited longest go first for a while. */
const MIN_STARTED_SHARE = 0.6;
/** A job that has waited for less is not starved yet. */
const MIN_BOOST_WAIT = seconds(20);
/** The share of all capacity that boosted jobs may take; bounds what it costs all others. */
const BOOST_SHARE = 0.1;

/** A job that has not started by then is boosted, however others fare; four minutes are promised. */
export const START_BOUND = seconds(120);
/** A class's largest jobs are those as large as the largest tenth of so many recent ones, by all the CPUs asked for. */
const LARGEST_QUANTILE = 0.9;
const REMEMBERED_SIZES = 200;
/** With fewer known sizes no job counts as one of the largest. */
const FEWEST_SIZES = 5;

/** The sizes of the recent jobs of a class. */
class JobSizes {
  private readonly known = new WeakSet<Job>();
  private readonly recent: number[] = [];
  private largestFrom = Number.POSITIVE_INFINITY;

  learn(job: Job, size: number): void {
    if (this.known.has(job)) return;
    this.known.add(job);
    this.recent.push(size);
    if (this.recent.length > REMEMBERED_SIZES) this.recent.shift();
    if (this.recent.length >= FEWEST_SIZES) this.largestFrom = quantile(this.recent, LARGEST_QUANTILE);
  }

  isLargest(size: number): boolean {
    return size >= this.largestFrom;
  }
}

const sizeOf = ({ demand, tasks }: JobSpec): number => Math.max(1, demand.cpu) * tasks;

/** How many jobs of each class, each team and of each class's largest have had a task placed since this leader acquired the shard. */
export class StartHistory {
  private readonly startedCounts = new Map<string, number>();
  private readonly sizes = new Map<string, JobSizes>();

  private groupsOf(job: Job): readonly string[] {
    const { spec } = job;
    const sizes = this.sizes.get(spec.jobClass) ?? new JobSizes();
    this.sizes.set(spec.jobClass, sizes);
    sizes.learn(job, sizeOf(spec));
    const groups = [`class ${spec.jobClass}`, `team ${spec.team}`];
    if (sizes.isLargest(sizeOf(spec))) groups.push(`largest ${spec.jobClass}`);
    return groups;
  }

  /** Is the job of one of these groups? */
  isStarving(job: Job, starvedGroups: ReadonlySet<string>): boolean {
    return this.groupsOf(job).some((group) => starvedGroups.has(group));
  }

  /** A task of the job is placed. */
  jobStarted(job: Job): void {
    if (job.started) return;
    job.started = true;
    for (const group of this.groupsOf(job)) this.startedCounts.set(group, (this.startedCounts.get(group) ?? 0) + 1);
  }

  /** Groups of which too few jobs have started, given those that wait for their first task. */
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

/** Jobs that go before all others in this round, the longest waiting first, and the capacity left to them. */
export interface BoostedJobs {
  readonly jobs: readonly Job[];
  /** Thousandths of CPUs. */
  remaining: number;
}

/**
 * Strict priority lets a low rank wait for ever beside enough work of a higher one, and within a rank the larger tasks
 * keep the smaller ones out. A class or team of which too few jobs have started has its longest waiting ones placed first,
 * as long as all such work together keeps to a small share of the capacity; it is not preempted for a higher rank either.
 * Nothing is preempted for it. `capacity`: thousandths of CPUs on all machines.
 */
export const boostStarvedJobs = (
  snapshot: SchedulerSnapshot,
  startHistory: StartHistory,
  waiting: readonly Job[],
  capacity: number,
): BoostedJobs => {
  const { shard, now } = snapshot;
  const notStarted = waiting.filter(
    (job) => !job.started || (now - job.waitingSince > START_BOUND && !hasStarted(job)),
  );
  const late = notStarted.filter(
    ({ waitingSince, onProbation }) => !onProbation && now - waitingSince > MIN_BOOST_WAIT,
  );
  if (late.length > 0) {
    const starving = startHistory.starvedGroups(notStarted);
    for (const job of late)
      job.boosted ||= now - job.waitingSince > START_BOUND || startHistory.isStarving(job, starving);
  }
  const jobs = waiting.filter(({ boosted }) => boosted);
  if (jobs.length === 0) return { jobs, remaining: 0 };
  let used = 0;
  for (const { boosted, placedTasks, spec } of shard.jobs.values()) {
    if (boosted) used += placedTasks.size * spec.demand.cpu;
  }
  jobs.sort((a, b) => a.waitingSince - b.waitingSince);
  // One of them may take more than the share by itself, and must get its turn all the same.
  const first = used === 0 && jobs[0] !== undefined ? cpuToStart(jobs[0].spec) : 0;
  return { jobs, remaining: Math.max(first, capacity * BOOST_SHARE - used) };
};
