import { quantile } from "simple-statistics";
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import { cpuToStart, hasStarted } from "./job-start.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Fewer than this of a class's or team's jobs begun: then those that have waited longest go first for a while. */
const MIN_STARTED_SHARE = 0.6;
/** Whoever has waited for less has not been kept out yet. */
const MIN_BOOST_WAIT = seconds(20);
/** Of all room, what jobs may take that go first for this reason; bounds what it costs everybody else. */
const BOOST_SHARE = 0.1;

/** Whoever has not begun by then goes first, however others fare; four minutes are promised. */
export const START_BOUND = seconds(120);
/** A class's largest jobs are those as large as the largest tenth of so many recent ones, by all the CPUs asked for. */
const LARGEST_QUANTILE = 0.9;
const REMEMBERED_SIZES = 200;
const FEWEST_SIZES = 5;

/** How large the jobs of a class are. */
class JobSizes {
  private readonly known = new WeakSet<Job>();
  private readonly recent: number[] = [];
  private edge = Number.POSITIVE_INFINITY;

  learn(job: Job, size: number): void {
    if (this.known.has(job)) return;
    this.known.add(job);
    this.recent.push(size);
    if (this.recent.length > REMEMBERED_SIZES) this.recent.shift();
    if (this.recent.length >= FEWEST_SIZES) this.edge = quantile(this.recent, LARGEST_QUANTILE);
  }

  isLargest(size: number): boolean {
    return size >= this.edge;
  }
}

const sizeOf = ({ demand, tasks }: JobSpec): number => Math.max(1, demand.cpu) * tasks;

/** How many jobs of each class, each team and of each class's largest have had a task placed since this holder took the block. */
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

  isStarving(job: Job, starvedGroups: ReadonlySet<string>): boolean {
    return this.groupsOf(job).some((group) => starvedGroups.has(group));
  }

  /** A task of the job is placed. */
  jobStarted(job: Job): void {
    if (job.started) return;
    job.started = true;
    for (const group of this.groupsOf(job)) this.startedCounts.set(group, (this.startedCounts.get(group) ?? 0) + 1);
  }

  /** Groups of which too few jobs have begun, given those that wait for their first task. */
  starving(waiting: readonly Job[]): ReadonlySet<string> {
    const counts = new Map<string, number>();
    for (const job of waiting) for (const group of this.groupsOf(job)) counts.set(group, (counts.get(group) ?? 0) + 1);
    const starving = new Set<string>();
    for (const [group, count] of counts) {
      const begun = this.startedCounts.get(group) ?? 0;
      if (begun < MIN_STARTED_SHARE * (begun + count)) starving.add(group);
    }
    return starving;
  }
}

/** Jobs that go before all others in this round, the longest waiting first, and the room left to them. */
export interface BoostedJobs {
  readonly jobs: readonly Job[];
  /** Thousandths of CPUs. */
  remaining: number;
}

/**
 * Strict priority lets a low rank wait for ever beside enough work of a higher one, and within a rank the larger tasks
 * keep the smaller ones out. A class or team of which too few jobs have begun has its longest waiting ones placed first,
 * as long as all such work together keeps to a small share of the room; it is not stopped for a higher rank either. The
 * rules are not concerned: nothing is stopped for it. `room`: thousandths of CPUs on all machines.
 */
export const boostStarvedJobs = (
  snapshot: SchedulerSnapshot,
  served: StartHistory,
  waiting: readonly Job[],
  room: number,
): BoostedJobs => {
  const { shard, now } = snapshot;
  const unbegun = waiting.filter((job) => !job.started || (now - job.waitingSince > START_BOUND && !hasStarted(job)));
  const late = unbegun.filter(({ waitingSince, onProbation }) => !onProbation && now - waitingSince > MIN_BOOST_WAIT);
  if (late.length > 0) {
    const starving = served.starving(unbegun);
    for (const job of late) job.boosted ||= now - job.waitingSince > START_BOUND || served.isStarving(job, starving);
  }
  const jobs = waiting.filter(({ boosted }) => boosted);
  if (jobs.length === 0) return { jobs, remaining: 0 };
  let used = 0;
  for (const { boosted: lifted, placedTasks, spec } of shard.jobs.values())
    if (lifted) used += placedTasks.size * spec.demand.cpu;
  jobs.sort((a, b) => a.waitingSince - b.waitingSince);
  // One of them may take more than the share by itself, and must get its turn all the same.
  const first = used === 0 && jobs[0] !== undefined ? cpuToStart(jobs[0].spec) : 0;
  return { jobs, remaining: Math.max(first, room * BOOST_SHARE - used) };
};
