/** What a job needs to have started, by its shape. */
import type { Job } from "../../cluster/job.js";
import type { JobSpec } from "../../protocol/job-spec.js";

/** So many tasks at once a job needs to have started: a gang all of them, a service half, an array one. */
const tasksNeeded = ({ shape, tasks }: JobSpec): number => {
  if (shape === "gang") return tasks;
  return shape === "service" ? Math.ceil(tasks / 2) : 1;
};

/** A service, whose replicas come one by one, is as good as started with half of them; it waits for one at a time. */
export const hasStarted = (job: Job): boolean =>
  job.spec.shape === "array" ? job.started : job.placedTasks.size + job.completedTasks >= tasksNeeded(job.spec);

/** How many tasks have to fit at once. */
export const tasksPlacedTogether = ({ shape, tasks }: JobSpec): number => (shape === "gang" ? tasks : 1);

/** What it takes to start the job, in thousandths of CPUs. */
export const cpuToStart = (spec: JobSpec): number => tasksPlacedTogether(spec) * spec.demand.cpu;
