/** What stopping a task costs, and how much may be lost for the task that it is stopped for. */
import { attemptOf, type Task } from "../../cluster/task.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** What a stop costs beyond the progress lost: getting going again. */
const START_COST = seconds(1);
/** The share of the image's fetch that a stop loses. */
const REPEATED_FETCH_SHARE = 0.5;
/** The fetch rate assumed at least, in gigabytes a second. */
const MIN_FETCH_GB_PER_S = 0.01;
/** A task within this time of its estimated end, on either side, is about to end. */
const ENDS_SOON = seconds(3);
/** The least time that a task is taken to run: estimates of next to nothing would make no stop pay. */
const MIN_ESTIMATE = seconds(10);

/** The time that a task which is stopped is given to save its progress, in whole seconds; 0 where it saves none. */
export const checkpointGraceS = ({
  checkpointIntervalS,
  checkpointDurationS,
}: Pick<JobSpec, "checkpointIntervalS" | "checkpointDurationS">): number =>
  checkpointIntervalS > 0 ? Math.ceil(checkpointDurationS) : 0;

/**
 * What is lost by stopping the task, in microseconds times thousandths of CPUs: its progress since the last checkpoint,
 * a fetch of its image and a start.
 */
export const preemptionCost = (victim: Task, now: Micros): number => {
  const { checkpointIntervalS, checkpointDurationS, imageGb, demand } = victim.job.spec;
  const ran = victim.runningSince === null ? 0 : now - victim.runningSince;
  const fetchGbPerS = Math.max(MIN_FETCH_GB_PER_S, victim.machine?.type?.fetchGbPerS ?? 1);
  const fetch = seconds(imageGb / fetchGbPerS) * REPEATED_FETCH_SHARE;
  const progress = checkpointIntervalS > 0 ? Math.min(ran, seconds(checkpointDurationS)) : ran;
  // Each stop before makes it dearer: the same task's work was thrown away already.
  return (progress + fetch + START_COST) * Math.max(1, demand.cpu) * Math.max(1, attemptOf(victim.desired));
};

/** Does the task end by itself about as soon as another would have started in its place? */
export const endsSoon = (victim: Task, now: Micros): boolean => {
  const { shape, estimatedRunS } = victim.job.spec;
  if (shape === "service" || estimatedRunS <= 0 || victim.runningSince === null) return false;
  const remaining = victim.runningSince + seconds(estimatedRunS) - now;
  return remaining > -ENDS_SOON && remaining < ENDS_SOON;
};

/**
 * The most that may be lost, in the unit of `preemptionCost`, for a task that is to get its guarantee, or whose class can
 * wait: what it is itself going to do. To throw away more than is gained leaves the queue longer than before. Without this
 * bound for higher priority 83 starts of four CPUs each ended 1,278 of another team's small tasks within 20 s.
 */
export const maxPreemptionCost = (task: Task): number => {
  const { shape, estimatedRunS, demand } = task.job.spec;
  if (shape === "service") return Number.POSITIVE_INFINITY;
  return Math.max(seconds(estimatedRunS), MIN_ESTIMATE) * Math.max(1, demand.cpu);
};
