/** Decides whether a failed task speaks against its job or its machine, and keeps failing jobs on probation. */

import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** A task that ran so long has got over its earlier failures. */
export const STABLE_RUN_TIME = seconds(10);
/** Failures older than this say nothing about the machine any more. */
const FAILURE_RETENTION = seconds(90);
/** Failing on so many machines without a success, the job is the likelier culprit. */
const MAX_FAILED_MACHINES = 2;
/** To have run well is to have run so many times as long as what failed. */
const STABLE_RUN_FACTOR = 2;
const QUARANTINE_TIME = seconds(20);
const MIN_PROBATION_DELAY = seconds(1);
const MAX_PROBATION_DELAY = seconds(30);

/** What a failure says. `undecided`: the machine is kept free of new work for a moment, until more is known. */
export type FailureCause = "undecided" | "machine" | "job";

const runTime = (task: Task, now: Micros): number => (task.runningSince === null ? 0 : now - task.runningSince);

/** Does the job do well elsewhere, so that its failures speak against the machines they happen on? */
const isStableElsewhere = (job: Job, failedRunTime: number, elsewhere: Machine | null, now: Micros): boolean => {
  if (job.completedTasks > 0) return true;
  const minRunTime = Math.max(STABLE_RUN_TIME, STABLE_RUN_FACTOR * failedRunTime);
  for (const task of job.placedTasks) {
    if (task.machine !== elsewhere && task.state === "running" && runTime(task, now) >= minRunTime) return true;
  }
  return false;
};

/**
 * Takes in that the task has failed on the machine. A job submitted with a mistake fails wherever it is started, and all
 * its tasks of a machine fail in one heartbeat: several of them are one piece of evidence, and one failing job is none
 * against a machine as long as it has not done well anywhere. Counted by task, each array with a mistake had the first
 * two machines that it came to returned as faulty, with room for others' work on them (test/failure-attribution.test.ts).
 */
export const attributeFailure = (
  task: Task,
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
  machines: ReadonlyMap<string, Machine>,
  now: Micros,
): FailureCause => {
  const { job } = task;
  const { id } = job.spec;
  const ran = runTime(task, now);
  job.longestFailedRun = Math.max(job.longestFailedRun, ran) as Micros;
  job.failedMachines.add(machine.name);
  const stableElsewhere = isStableElsewhere(job, ran, machine, now);
  if (!stableElsewhere && (job.onProbation || job.failedMachines.size >= MAX_FAILED_MACHINES)) {
    putOnProbation(job, machines, now);
    return "job";
  }
  for (const [other, { at }] of machine.lifecycle.recentFailures)
    if (now - at > FAILURE_RETENTION) machine.lifecycle.recentFailures.delete(other);
  const known = machine.lifecycle.recentFailures.get(id);
  const count = known === undefined ? 1 : known.at === now ? known.count : known.count + 1;
  machine.lifecycle.recentFailures.set(id, { at: now, count });
  machine.lifecycle.quarantinedUntil = Math.max(machine.lifecycle.quarantinedUntil, now + QUARANTINE_TIME) as Micros;
  const failsStableJob = [...machine.lifecycle.recentFailures.keys()].some((other) => {
    const failed = jobs.get(other);
    return (
      failed !== undefined && !failed.onProbation && isStableElsewhere(failed, failed.longestFailedRun, machine, now)
    );
  });
  // A machine full of long-lived replicas may only ever get to see a single new job.
  const faulty = (machine.lifecycle.recentFailures.size >= 2 && failsStableJob) || count >= (stableElsewhere ? 2 : 3);
  return faulty ? "machine" : "undecided";
};

/** From now on one task at a time is tried, each time after a longer pause; no machine is blamed for the job. */
const putOnProbation = (job: Job, machines: ReadonlyMap<string, Machine>, now: Micros): void => {
  // The rest of a wave that was under way already is no new trial.
  if (!job.onProbation || now >= job.retryAfter) {
    job.failedProbes += 1;
    const pause = Math.min(MAX_PROBATION_DELAY, MIN_PROBATION_DELAY * 2 ** Math.min(20, job.failedProbes - 1));
    job.retryAfter = (now + pause) as Micros;
  }
  job.onProbation = true;
  for (const name of job.failedMachines) {
    const machine = machines.get(name);
    if (machine === undefined || !machine.lifecycle.recentFailures.delete(job.spec.id)) continue;
    if (machine.lifecycle.recentFailures.size === 0) machine.lifecycle.quarantinedUntil = now;
  }
};

/** A task of the job has completed: whatever failed before, it is not the job. */
export const clearSuspicion = (job: Job): void => {
  job.failedProbes = 0;
  job.failedMachines.clear();
  job.onProbation = false;
  job.longestFailedRun = 0 as Micros;
};

/** So many tasks of the job may be placed now, as far as its own failures go. */
export const allowedStarts = (job: Job, now: Micros): number => {
  if (!job.onProbation || job.spec.shape === "gang") return Number.POSITIVE_INFINITY;
  if (isStableElsewhere(job, job.longestFailedRun, null, now)) return Number.POSITIVE_INFINITY;
  return Math.max(0, 1 - job.placedTasks.size);
};
