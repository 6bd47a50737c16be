/** Attributes task failures to the job or to the machine, and puts jobs that keep failing on probation. */

import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** A task that has run for this long counts as stable; its earlier failures no longer matter. */
export const STABLE_RUN_TIME = seconds(10);
/** Failures older than this are no longer counted against the machine. */
const FAILURE_RETENTION = seconds(90);
/** A job that has failed on this many machines without a success is the likelier cause. */
const MAX_FAILED_MACHINES = 2;
/** A task counts as stable only if it has run this many times as long as the failed one. */
const STABLE_RUN_FACTOR = 2;
const QUARANTINE_TIME = seconds(20);
const MIN_PROBATION_DELAY = seconds(1);
const MAX_PROBATION_DELAY = seconds(30);

/** Cause of a failure. `undecided`: not known yet; the machine is quarantined until there is more evidence. */
export type FailureCause = "undecided" | "machine" | "job";

const runTime = (task: Task, now: Micros): number => (task.runningSince === null ? 0 : now - task.runningSince);

/** Whether the job runs stably on other machines, so that its failures count against the machines they occur on. */
const isStableElsewhere = (job: Job, failedRunTime: number, excludedMachine: Machine | null, now: Micros): boolean => {
  if (job.completedTasks > 0) return true;
  const minRunTime = Math.max(STABLE_RUN_TIME, STABLE_RUN_FACTOR * failedRunTime);
  for (const task of job.placedTasks) {
    if (task.machine !== excludedMachine && task.state === "running" && runTime(task, now) >= minRunTime) return true;
  }
  return false;
};

/**
 * Records that the task failed on the machine, and returns the likely cause. A broken job fails on every machine, and
 * all its tasks on one machine fail in one heartbeat. Its failures on a machine at the same time therefore count once,
 * and a single failing job does not count against a machine unless it has run stably elsewhere. When every failed task
 * counted, each broken job array had the first two machines that ran it deleted as faulty, although they had free
 * capacity for other jobs (test/failure-attribution.test.ts).
 */
export const attributeFailure = (
  task: Task,
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
  machines: ReadonlyMap<string, Machine>,
  now: Micros,
): FailureCause => {
  const { job } = task;
  const { id: jobId } = job.spec;
  const failedRunTime = runTime(task, now);
  job.longestFailedRun = Math.max(job.longestFailedRun, failedRunTime) as Micros;
  job.failedMachines.add(machine.name);
  const stableElsewhere = isStableElsewhere(job, failedRunTime, machine, now);
  if (!stableElsewhere && (job.onProbation || job.failedMachines.size >= MAX_FAILED_MACHINES)) {
    putOnProbation(job, machines, now);
    return "job";
  }
  for (const [failedJobId, { at }] of machine.lifecycle.recentFailures)
    if (now - at > FAILURE_RETENTION) machine.lifecycle.recentFailures.delete(failedJobId);
  const previous = machine.lifecycle.recentFailures.get(jobId);
  const count = previous === undefined ? 1 : previous.at === now ? previous.count : previous.count + 1;
  machine.lifecycle.recentFailures.set(jobId, { at: now, count });
  machine.lifecycle.quarantinedUntil = Math.max(machine.lifecycle.quarantinedUntil, now + QUARANTINE_TIME) as Micros;
  const failsStableJob = [...machine.lifecycle.recentFailures.keys()].some((failedJobId) => {
    const failedJob = jobs.get(failedJobId);
    return (
      failedJob !== undefined &&
      !failedJob.onProbation &&
      isStableElsewhere(failedJob, failedJob.longestFailedRun, machine, now)
    );
  });
  // Repeated failures of one job suffice: a machine full of long-running replicas may never run more than one new job.
  const faulty = (machine.lifecycle.recentFailures.size >= 2 && failsStableJob) || count >= (stableElsewhere ? 2 : 3);
  return faulty ? "machine" : "undecided";
};

/**
 * Puts the job on probation: its tasks are retried one at a time with exponential back-off, and its failures are no
 * longer counted against machines.
 */
const putOnProbation = (job: Job, machines: ReadonlyMap<string, Machine>, now: Micros): void => {
  // Failures of tasks that were already running when the back-off began are not a new trial.
  if (!job.onProbation || now >= job.retryAfter) {
    job.failedTrials += 1;
    const delay = Math.min(MAX_PROBATION_DELAY, MIN_PROBATION_DELAY * 2 ** Math.min(20, job.failedTrials - 1));
    job.retryAfter = (now + delay) as Micros;
  }
  job.onProbation = true;
  for (const name of job.failedMachines) {
    const machine = machines.get(name);
    if (machine === undefined || !machine.lifecycle.recentFailures.delete(job.spec.id)) continue;
    if (machine.lifecycle.recentFailures.size === 0) machine.lifecycle.quarantinedUntil = now;
  }
};

/** Clears the job's failure history and probation after one of its tasks has completed. */
export const clearFailureHistory = (job: Job): void => {
  job.failedTrials = 0;
  job.failedMachines.clear();
  job.onProbation = false;
  job.longestFailedRun = 0 as Micros;
};

/** Number of tasks of the job that may be placed now given its failure history; infinite if it is not restricted. */
export const allowedStarts = (job: Job, now: Micros): number => {
  if (!job.onProbation || job.spec.shape === "gang") return Number.POSITIVE_INFINITY;
  if (isStableElsewhere(job, job.longestFailedRun, null, now)) return Number.POSITIVE_INFINITY;
  return Math.max(0, 1 - job.placedTasks.size);
};
