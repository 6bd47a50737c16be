/** The order in which a round considers the waiting jobs. */
import type { Job } from "../../cluster/job.js";
import type { Resources } from "../../protocol/resources.js";
import type { Team } from "../../settings/settings.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import { relativeSize } from "./placement/bfgp.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** How a job's next task relates to its team's guarantee; lower values are placed first. */
const Entitlement = {
  /** The job is entitled to its team's guarantee. */
  Guaranteed: 0,
  /** The job is not entitled, but its team's present use is below its guarantee. */
  TeamBelowGuarantee: 1,
  /** The job uses capacity beyond its team's guarantee. */
  Beyond: 2,
} as const;

/** A job with its sort keys. */
interface OrderedJob {
  readonly job: Job;
  readonly rank: number;
  readonly entitlement: number;
  /** The share of its guarantee that the team uses, for entitled jobs while guarantees are overcommitted; else 0. */
  readonly guaranteeUsed: number;
  /** A task's demand as a share of the largest machine type. */
  readonly size: number;
  /** The share of a service's replicas that are not placed; 0 for other jobs. */
  readonly missingReplicas: number;
  readonly deadline: number;
}

/** The share of its guarantee that the team uses now: the larger of its CPU and GPU shares; 1 for an unknown team. */
const guaranteeUsed = (used: { readonly cpu: number; readonly gpu: number }, team: Team | undefined): number => {
  if (team === undefined) return 1;
  const { cpu, gpu } = team.guaranteed;
  return Math.max(cpu > 0 ? used.cpu / cpu : 0, gpu > 0 ? used.gpu / gpu : 0);
};

const entitlementOf = ({ shard }: SchedulerSnapshot, job: Job): number => {
  if (job.withinGuarantee) return Entitlement.Guaranteed;
  return shard.withinGuarantee(job.spec) ? Entitlement.TeamBelowGuarantee : Entitlement.Beyond;
};

const withKeys = (snapshot: SchedulerSnapshot, job: Job, largestMachine: Resources): OrderedJob => {
  const { shard, settings, guaranteesOvercommitted } = snapshot;
  const { spec } = job;
  // Where not all guarantees can be met, each team gets the same share of its guarantee.
  const sharesGuarantees = guaranteesOvercommitted && job.withinGuarantee;
  return {
    job,
    rank: job.effectiveRank,
    entitlement: entitlementOf(snapshot, job),
    guaranteeUsed: sharesGuarantees ? guaranteeUsed(shard.teamUsage(spec.team), settings.teams.get(spec.team)) : 0,
    size: relativeSize(spec.demand, largestMachine),
    missingReplicas: spec.shape === "service" ? 1 - job.placedTasks.size / spec.tasks : 0,
    deadline: job.effectiveDeadline ?? Number.MAX_SAFE_INTEGER,
  };
};

const compareJobs = (a: OrderedJob, b: OrderedJob): number =>
  a.rank - b.rank ||
  a.entitlement - b.entitlement ||
  a.guaranteeUsed - b.guaranteeUsed ||
  b.size - a.size ||
  // Where capacity stays short, one more replica helps a service with few replicas most.
  b.missingReplicas - a.missingReplicas ||
  (a.missingReplicas > 0 ? a.job.spec.tasks - b.job.spec.tasks : 0) ||
  a.deadline - b.deadline ||
  a.job.waitingSince - b.job.waitingSince ||
  (a.job.spec.id < b.job.spec.id ? -1 : 1);

/** Jobs with a task that may be placed now, in the order in which they were accepted. */
const placeableJobs = ({ shard, now }: SchedulerSnapshot): Job[] => {
  const jobs: Job[] = [];
  for (const job of shard.jobs.values()) {
    if (job.cancelled || job.outcomePending || job.awaitingDependencies || job.retryAfter > now) continue;
    // Tasks of a large job are created range by range; creating some does not affect other decisions.
    if (job.waitingTasks.size === 0) shard.createNextTaskRange(job);
    if (job.waitingTasks.size > 0 && allowedStarts(job, now) > 0) jobs.push(job);
  }
  return jobs;
};

const largestMachineOf = ({ shard }: SchedulerSnapshot): Resources => {
  let largest: Resources = { cpu: 1, gpu: 0, ram: 1 };
  for (const type of shard.machineTypes().values()) if (type.capacity.cpu > largest.cpu) largest = type.capacity;
  return largest;
};

/** Jobs with tasks that may be placed now, in placement order: by rank, entitlement, size and further keys. */
export const waitingJobs = (snapshot: SchedulerSnapshot): Job[] => {
  const jobs = placeableJobs(snapshot);
  const largestMachine = largestMachineOf(snapshot);
  const ordered = jobs.map((job) => withKeys(snapshot, job, largestMachine)).sort(compareJobs);
  const hasGraphSteps = ordered.some(({ job }) => job.spec.origin !== undefined);
  return (hasGraphSteps ? reorderWithinGraphs(ordered) : ordered).map(({ job }) => job);
};

/** A key that is equal for steps of one graph that differ in waiting time and id only; null for jobs of no graph. */
const graphOrderKey = (entry: OrderedJob): string | null => {
  const { job, rank, entitlement, guaranteeUsed: used, size, missingReplicas, deadline } = entry;
  if (job.spec.origin === undefined) return null;
  return [job.spec.origin.graph, rank, entitlement, used, size, missingReplicas, deadline].join();
};

/**
 * Sorts steps of one graph that differ in waiting time and id only by their position in the graph. They exchange places
 * among themselves; the places of all other jobs do not change.
 */
const reorderWithinGraphs = (ordered: readonly OrderedJob[]): OrderedJob[] => {
  const indexesByKey = new Map<string, number[]>();
  for (const [index, entry] of ordered.entries()) {
    const key = graphOrderKey(entry);
    if (key === null) continue;
    const indexes = indexesByKey.get(key);
    if (indexes === undefined) indexesByKey.set(key, [index]);
    else indexes.push(index);
  }
  const result = [...ordered];
  const positionOf = ({ job }: OrderedJob): number => job.spec.origin?.position ?? 0;
  for (const indexes of indexesByKey.values()) {
    const steps = indexes.flatMap((index) => ordered[index] ?? []).sort((a, b) => positionOf(a) - positionOf(b));
    for (const [offset, step] of steps.entries()) result[indexes[offset] ?? 0] = step;
  }
  return result;
};
