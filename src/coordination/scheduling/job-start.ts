/** When a job counts as started, and what it needs to start, by its shape. */
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";

/** The number of tasks after which a job counts as started: all of a gang, half of a service, one of an array. */
const tasksToStart = ({ shape, tasks }: JobSpec): number => {
  if (shape === "gang") return tasks;
  return shape === "service" ? Math.ceil(tasks / 2) : 1;
};

/**
 * Whether the job has started. A service counts as started with half of its replicas, which are placed one at a time.
 */
export const hasStarted = (job: Job): boolean =>
  job.spec.shape === "array" ? job.started : job.placedTasks.size + job.completedTasks >= tasksToStart(job.spec);

/** How many tasks must be placed in the same round: all of a gang, else one. */
export const tasksPlacedTogether = ({ shape, tasks }: JobSpec): number => (shape === "gang" ? tasks : 1);

/** The CPUs that must be free at once for the job to start, in thousandths. */
export const cpuToStart = (spec: JobSpec): number => tasksPlacedTogether(spec) * spec.demand.cpu;
