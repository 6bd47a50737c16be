/** The cost of stopping a task, and the maximum cost that is justified by the task for which it is stopped. */
import { attemptOf, type Task } from "../../cluster/task.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** The cost of starting a preempted task again, beyond lost progress and image fetch. */
const START_COST = seconds(1);
/** The share of the image's fetch time that a stop is taken to cost. */
const REPEATED_FETCH_SHARE = 0.5;
/** The minimum fetch rate that is assumed, in gigabytes a second. */
const MIN_FETCH_GB_PER_S = 0.01;
/** A task within this time of its estimated end, on either side, is about to end. */
const ENDS_SOON_WINDOW = seconds(3);
/** The minimum run time that is assumed: with estimates near zero no preemption would be worthwhile. */
const MIN_ESTIMATED_RUN = seconds(10);

/** The time that a task is given to write a checkpoint when stopped, in whole seconds; 0 if it writes none. */
export const checkpointGraceS = ({
  checkpointIntervalS,
  checkpointDurationS,
}: Pick<JobSpec, "checkpointIntervalS" | "checkpointDurationS">): number =>
  checkpointIntervalS > 0 ? Math.ceil(checkpointDurationS) : 0;

/**
 * The cost of stopping the task, in microseconds times thousandths of CPUs: its lost progress (for a task that writes
 * checkpoints at most the duration of one), part of the fetch of its image, and a start; multiplied by its attempts.
 */
export const preemptionCost = (victim: Task, now: Micros): number => {
  const { checkpointIntervalS, checkpointDurationS, imageGb, demand } = victim.job.spec;
  const ran = victim.runningSince === null ? 0 : now - victim.runningSince;
  const fetchGbPerS = Math.max(MIN_FETCH_GB_PER_S, victim.machine?.type?.fetchGbPerS ?? 1);
  const fetch = seconds(imageGb / fetchGbPerS) * REPEATED_FETCH_SHARE;
  const progress = checkpointIntervalS > 0 ? Math.min(ran, seconds(checkpointDurationS)) : ran;
  // Each earlier attempt raises the cost, so that the same task does not lose its work again and again.
  return (progress + fetch + START_COST) * Math.max(1, demand.cpu) * Math.max(1, attemptOf(victim.desired));
};

/** Whether the task is expected to end by itself about as soon as another could start in its place. */
export const endsSoon = (victim: Task, now: Micros): boolean => {
  const { shape, estimatedRunS } = victim.job.spec;
  if (shape === "service" || estimatedRunS <= 0 || victim.runningSince === null) return false;
  const remaining = victim.runningSince + seconds(estimatedRunS) - now;
  return remaining > -ENDS_SOON_WINDOW && remaining < ENDS_SOON_WINDOW;
};

/**
 * The maximum cost of preemption for the task, in the unit of `preemptionCost`: its own expected work; infinite for
 * services. It bounds preemption for a guarantee, and for a higher rank while the task can still wait. Losing more work
 * than is gained makes the queue longer: without this bound for higher ranks, 83 starts of four CPUs each stopped 1,278
 * small tasks of another team within 20 s.
 */
export const maxPreemptionCost = (task: Task): number => {
  const { shape, estimatedRunS, demand } = task.job.spec;
  if (shape === "service") return Number.POSITIVE_INFINITY;
  return Math.max(seconds(estimatedRunS), MIN_ESTIMATED_RUN) * Math.max(1, demand.cpu);
};
