/**
 * The sizes of recent jobs, and the headroom derived from them.
 * @module
 */
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";

const MAX_RECENT_JOBS = 30;
/** Used for an objective without a time limit: longer than any boot. */
const NO_TIME_LIMIT = seconds(1e6);

/** The task counts of recent jobs by class, from which the size of the class's next job is estimated. */
export class DemandHistory {
  private readonly jobsByClass = new Map<string, { spec: JobSpec; readonly sizes: number[] }>();

  /** Adds a submitted job; beyond the limit, the oldest job of its class is dropped. */
  record(spec: JobSpec): void {
    const recent = this.jobsByClass.get(spec.jobClass) ?? { spec, sizes: [] };
    recent.spec = spec;
    recent.sizes.push(spec.tasks);
    if (recent.sizes.length > MAX_RECENT_JOBS) recent.sizes.shift();
    this.jobsByClass.set(spec.jobClass, recent);
  }

  /** For each class, the specification of its newest job and the mean task count of the recent ones. */
  typicalJobs(): readonly { readonly spec: JobSpec; readonly tasks: number }[] {
    return [...this.jobsByClass.values()].map(({ spec, sizes }) => ({
      spec,
      tasks: sizes.reduce((sum, size) => sum + size, 0) / sizes.length,
    }));
  }
}

/**
 * The headroom to be kept free: the tasks of a typical job, times the option `headroom`, for each class whose start
 * objective is shorter than any machine's boot. On-demand classes come first.
 */
export const headroomDemand = (
  { shard, settings, options }: SchedulerSnapshot,
  demandHistory: DemandHistory,
): { readonly spec: JobSpec; readonly count: number }[] => {
  const demand: { spec: JobSpec; count: number }[] = [];
  const typicalJobs = [...demandHistory.typicalJobs()].sort((a, b) => Number(a.spec.spot) - Number(b.spec.spot));
  const shortestBoot = Math.min(...[...shard.machineTypes().values()].map((type) => type.bootS));
  for (const { spec, tasks } of typicalJobs) {
    const startsBeforeBoot = settings.objectives.some(
      (objective) =>
        objective.kind === "wait" &&
        objective.jobClass === spec.jobClass &&
        (objective.within ?? NO_TIME_LIMIT) < seconds(shortestBoot),
    );
    if (startsBeforeBoot) demand.push({ spec, count: Math.ceil(tasks * options.headroom) });
  }
  return demand;
};
