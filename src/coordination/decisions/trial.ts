import type { Job, Machine, Task } from "../../bookkeeping/picture.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** A task that ran so long has got over its earlier failures. */
export const RUNS_WELL = seconds(10);
/** Failures older than this say nothing about the machine any more. */
const FAILURE_MEMORY = seconds(90);
/** Failing on so many machines without a success, the job is the likelier culprit. */
const MACHINES_OF_A_BAD_JOB = 2;
/** To have run well is to have run so many times as long as what failed. */
const LONGER = 2;
const KEPT_OFF = seconds(20);
const TRIAL_FIRST = seconds(1);
const TRIAL_MOST = seconds(30);

/** What a failure says. `undecided`: the machine is kept free of new work for a moment, until more is known. */
export type Verdict = "undecided" | "machine" | "job";

const ranFor = (task: Task, now: Micros): number => (task.runningSince === null ? 0 : now - task.runningSince);

/** Does the job do well elsewhere, so that its failures speak against the machines they happen on? */
const doesWell = (job: Job, than: number, elsewhere: Machine | null, now: Micros): boolean => {
  if (job.done > 0) return true;
  const least = Math.max(RUNS_WELL, LONGER * than);
  for (const task of job.placed) {
    if (task.on !== elsewhere && task.state === "running" && ranFor(task, now) >= least) return true;
  }
  return false;
};

/**
 * Takes in that the task has failed on the machine. A job submitted with a mistake fails wherever it is started, and all
 * its tasks of a machine fail in one report: several of them are one piece of evidence, and one failing job is none
 * against a machine as long as it has not done well anywhere. Counted by task, each array with a mistake had the first
 * two machines that it came to returned as faulty, with room for others' work on them (test/trial.test.ts).
 */
export const takeFailure = (
  task: Task,
  machine: Machine,
  jobs: ReadonlyMap<string, Job>,
  machines: ReadonlyMap<string, Machine>,
  now: Micros,
): Verdict => {
  const { job } = task;
  const { id } = job.spec;
  const ran = ranFor(task, now);
  job.longestFailed = Math.max(job.longestFailed, ran) as Micros;
  job.failedOn.add(machine.name);
  const sound = doesWell(job, ran, machine, now);
  if (!sound && (job.onTrial || job.failedOn.size >= MACHINES_OF_A_BAD_JOB)) {
    suspect(job, machines, now);
    return "job";
  }
  for (const [other, { at }] of machine.failures) if (now - at > FAILURE_MEMORY) machine.failures.delete(other);
  const known = machine.failures.get(id);
  const count = known === undefined ? 1 : known.at === now ? known.count : known.count + 1;
  machine.failures.set(id, { at: now, count });
  machine.avoidUntil = Math.max(machine.avoidUntil, now + KEPT_OFF) as Micros;
  const soundThere = [...machine.failures.keys()].some((other) => {
    const failed = jobs.get(other);
    return failed !== undefined && !failed.onTrial && doesWell(failed, failed.longestFailed, machine, now);
  });
  // A machine full of long-lived replicas may only ever get to see a single new job.
  const faulty = (machine.failures.size >= 2 && soundThere) || count >= (sound ? 2 : 3);
  return faulty ? "machine" : "undecided";
};

/** From now on one task at a time is tried, each time after a longer pause; no machine is blamed for the job. */
const suspect = (job: Job, machines: ReadonlyMap<string, Machine>, now: Micros): void => {
  // The rest of a wave that was under way already is no new trial.
  if (!job.onTrial || now >= job.retryAfter) {
    job.failures += 1;
    const pause = Math.min(TRIAL_MOST, TRIAL_FIRST * 2 ** Math.min(20, job.failures - 1));
    job.retryAfter = (now + pause) as Micros;
  }
  job.onTrial = true;
  for (const name of job.failedOn) {
    const machine = machines.get(name);
    if (machine === undefined || !machine.failures.delete(job.spec.id)) continue;
    if (machine.failures.size === 0) machine.avoidUntil = now;
  }
};

/** A task of the job has completed: whatever failed before, it is not the job. */
export const acquit = (job: Job): void => {
  job.failures = 0;
  job.failedOn.clear();
  job.onTrial = false;
  job.longestFailed = 0 as Micros;
};

/** So many tasks of the job may be placed now, as far as its own failures go. */
export const mayTry = (job: Job, now: Micros): number => {
  if (!job.onTrial || job.spec.shape === "gang") return Number.POSITIVE_INFINITY;
  if (doesWell(job, job.longestFailed, null, now)) return Number.POSITIVE_INFINITY;
  return Math.max(0, 1 - job.placed.size);
};
