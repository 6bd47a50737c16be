/**
 * Sizes of recent jobs, and the headroom that follows from them.
 * @module
 */
import type { JobSpec } from "../../protocol/job-spec.js";
import { seconds } from "../../transport/clock.js";
import type { SchedulerSnapshot } from "../scheduling/scheduler-snapshot.js";

const MAX_RECENT_JOBS = 30;
/** Stands for an objective without a time: longer than any boot. */
const NO_OBJECTIVE = seconds(1e6);

/** Sizes of recent jobs by class: they tell how much capacity the next one is likely to need at once. */
export class DemandHistory {
  private readonly jobsByClass = new Map<string, { spec: JobSpec; readonly sizes: number[] }>();

  /** Adds a job that was submitted. */
  record(spec: JobSpec): void {
    const recent = this.jobsByClass.get(spec.jobClass) ?? { spec, sizes: [] };
    recent.spec = spec;
    recent.sizes.push(spec.tasks);
    if (recent.sizes.length > MAX_RECENT_JOBS) recent.sizes.shift();
    this.jobsByClass.set(spec.jobClass, recent);
  }

  /** For each class its newest job and the mean number of tasks. */
  typicalJobs(): readonly { readonly spec: JobSpec; readonly tasks: number }[] {
    return [...this.jobsByClass.values()].map(({ spec, sizes }) => ({
      spec,
      tasks: sizes.reduce((sum, size) => sum + size, 0) / sizes.length,
    }));
  }
}

/** Capacity to be kept free: for each class that is to start before a machine has booted, a typical job's tasks. */
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
        (objective.within ?? NO_OBJECTIVE) < seconds(shortestBoot),
    );
    if (startsBeforeBoot) demand.push({ spec, count: Math.ceil(tasks * options.headroom) });
  }
  return demand;
};
