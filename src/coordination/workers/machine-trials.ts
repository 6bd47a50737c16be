/**
 * Trials of faulty machines. A fault may pass, and a machine that runs replicas is not returned to the cloud: so one
 * task at a time is started there after a back-off, as a trial.
 * @module
 */
import type { Machine, MachineFault } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { exponentialBackoff } from "../context.js";
import { STABLE_RUN_TIME } from "./failure-attribution.js";

const MIN_TRIAL_DELAY = seconds(20);
/** A job that fits on no other machine waits this long for the next trial. */
const MAX_TRIAL_DELAY = seconds(30);

const trialDelay = (failedTrials: number): Micros => exponentialBackoff(failedTrials, MIN_TRIAL_DELAY, MAX_TRIAL_DELAY);

/** Concludes that the machine is faulty. */
export const declareFaulty = ({ lifecycle }: Machine, now: Micros): void => {
  lifecycle.fault = { retryAt: (now + trialDelay(0)) as Micros, failedTrials: 0, trialTask: null };
};

/** Whether the machine is faulty and may be given a task as a trial now. */
export const isTrialDue = (machine: Machine, now: Micros): boolean => {
  const { fault } = machine.lifecycle;
  return fault !== null && fault.retryAt <= now && fault.trialTask?.machine !== machine;
};

/** Notes that the task was placed on the machine: on a faulty one, as a trial. */
export const beginTrial = ({ lifecycle }: Machine, task: Task): void => {
  if (lifecycle.fault !== null) lifecycle.fault.trialTask = task;
};

/** Delays the next trial if the task that failed was one. */
export const recordFailedTrial = (fault: MachineFault, task: Task, now: Micros): void => {
  if (fault.trialTask !== task) return;
  fault.failedTrials += 1;
  fault.retryAt = (now + trialDelay(fault.failedTrials)) as Micros;
  fault.trialTask = null;
};

/** Ends the conclusion that the machine is faulty, and drops the failures that it rested on. */
const clearFault = ({ lifecycle }: Machine, now: Micros): void => {
  lifecycle.fault = null;
  lifecycle.recentFailures.clear();
  lifecycle.quarantinedUntil = now;
};

/** Ends the machine's fault if the task that completed there was its trial. Returns whether it did. */
export const endFaultByCompletion = (machine: Machine, task: Task, now: Micros): boolean => {
  if (machine.lifecycle.fault?.trialTask !== task) return false;
  clearFault(machine, now);
  return true;
};

/** Ends the machine's fault if its trial task has run for long enough. Returns whether it did. */
export const endFaultByStableRun = (machine: Machine, now: Micros): boolean => {
  const task = machine.lifecycle.fault?.trialTask ?? null;
  if (task === null || task.machine !== machine || task.state !== "running" || task.runningSince === null) return false;
  if (now - task.runningSince < STABLE_RUN_TIME) return false;
  clearFault(machine, now);
  return true;
};
