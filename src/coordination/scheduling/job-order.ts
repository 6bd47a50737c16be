import type { Job } from "../../cluster/job.js";
import type { Team } from "../../settings/settings.js";
import { allowedStarts } from "../workers/failure-attribution.js";
import { relativeSize } from "./placement/bfgp.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";

/** Of its guarantee, what the team uses now, by the resource of which it uses most. */
const guaranteeUsed = (used: { readonly cpu: number; readonly gpu: number }, team: Team | undefined): number => {
  if (team === undefined) return 1;
  const { cpu, gpu } = team.guaranteed;
  return Math.max(cpu > 0 ? used.cpu / cpu : 0, gpu > 0 ? used.gpu / gpu : 0);
};

/** Jobs with something to place now, most important and largest first. */
export const waitingJobs = ({ shard, now, settings, guaranteesOvercommitted }: SchedulerSnapshot): Job[] => {
  const jobs: Job[] = [];
  for (const job of shard.jobs.values()) {
    if (job.cancelled || job.outcomePending || job.awaitingDependencies || job.retryAfter > now) continue;
    // Tasks of a large job come into being range by range; that adds to the picture without changing it.
    if (job.waitingTasks.size === 0) shard.createNextTaskRange(job);
    if (job.waitingTasks.size > 0 && allowedStarts(job, now) > 0) jobs.push(job);
  }
  let reference = { cpu: 1, gpu: 0, ram: 1 };
  for (const type of shard.machineTypes().values()) if (type.capacity.cpu > reference.cpu) reference = type.capacity;
  const keyed = jobs.map((job) => ({
    job,
    rank: job.effectiveRank,
    borrowed: job.withinGuarantee ? 0 : shard.withinGuarantee(job.spec) ? 1 : 2,
    // Where not all guarantees can be met, each team gets the same share of its own.
    fill:
      guaranteesOvercommitted && job.withinGuarantee
        ? guaranteeUsed(shard.teamUsage(job.spec.team), settings.teams.get(job.spec.team))
        : 0,
    size: relativeSize(job.spec.demand, reference),
    short: job.spec.shape === "service" ? 1 - job.placedTasks.size / job.spec.tasks : 0,
    due: job.effectiveDeadline ?? Number.MAX_SAFE_INTEGER,
  }));
  keyed.sort(
    (a, b) =>
      a.rank - b.rank ||
      a.borrowed - b.borrowed ||
      a.fill - b.fill ||
      b.size - a.size ||
      // Where room is short for good, a replica is worth most to a service that has few of its own.
      b.short - a.short ||
      (a.short > 0 ? a.job.spec.tasks - b.job.spec.tasks : 0) ||
      a.due - b.due ||
      a.job.waitingSince - b.job.waitingSince ||
      (a.job.spec.id < b.job.spec.id ? -1 : 1),
  );
  const sorted = keyed.map((entry) => entry.job);
  if (sorted.some(({ spec }) => spec.origin !== undefined)) {
    reorderWithinGraphs(keyed, ({ rank, borrowed, fill, size, short, due, job }) =>
      job.spec.origin === undefined ? null : [job.spec.origin.graph, rank, borrowed, fill, size, short, due].join(),
    ).forEach(({ job }, at) => {
      sorted[at] = job;
    });
  }
  return sorted;
};

/**
 * Steps of one graph that are equal but for their age change places among themselves, by their graph's own order. The
 * places themselves, and with them everybody else's turn, stay as they were.
 */
const reorderWithinGraphs = <T extends { readonly job: Job }>(
  sorted: readonly T[],
  equal: (entry: T) => string | null,
): T[] => {
  const places = new Map<string, number[]>();
  for (const [at, entry] of sorted.entries()) {
    const key = equal(entry);
    if (key === null) continue;
    const known = places.get(key);
    if (known === undefined) places.set(key, [at]);
    else known.push(at);
  }
  const result = [...sorted];
  const placeOf = ({ job }: T): number => job.spec.origin?.position ?? 0;
  for (const own of places.values()) {
    const steps = own.flatMap((at) => sorted[at] ?? []).sort((a, b) => placeOf(a) - placeOf(b));
    for (const [at, step] of steps.entries()) result[own[at] ?? 0] = step;
  }
  return result;
};
