/** Decides which tasks to stop or release on a machine that is being drained. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { isActive, mayRelease, type Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Share of the remaining time within which a task must be estimated to end: estimates are often wrong by half. */
const USABLE_TIME_SHARE = 0.7;

/** Action for one task. `graceS`: grace period in seconds for saving a checkpoint. */
export type EvictionAction =
  /** No start command for it was sent or can still arrive: it needs no stop command. */
  | { readonly kind: "release"; readonly task: Task }
  /** A start command may still be delivered, so it must run here and nowhere else: its stop request is dropped. */
  | { readonly kind: "keep"; readonly task: Task }
  | { readonly kind: "stop"; readonly task: Task; readonly graceS: number };

/** Eviction of a task on a draining machine; null if it is not active or is expected to end by itself in time. */
const evictionOf = (task: Task, reclaimAt: Micros | null, now: Micros): EvictionAction | null => {
  if (task.startCommand.kind === "none") return mayRelease(task, now) ? { kind: "release", task } : null;
  if (!isActive(task)) return null;
  const { spec } = task.job;
  const timeLeft = reclaimAt === null ? Number.POSITIVE_INFINITY : reclaimAt - now;
  const runTime = task.runningSince === null ? 0 : now - task.runningSince;
  const endsInTime = spec.shape !== "service" && seconds(spec.estimatedRunS) - runTime < timeLeft * USABLE_TIME_SHARE;
  if (endsInTime) return null;
  const savesCheckpoint = spec.checkpointIntervalS > 0 && seconds(spec.checkpointDurationS) <= timeLeft;
  return { kind: "stop", task, graceS: savesCheckpoint ? Math.ceil(spec.checkpointDurationS) : 0 };
};

const NO_ACTIONS: readonly EvictionAction[] = [];

/**
 * Actions for the tasks of a machine: on a draining machine, evicts those that will not end by themselves in time; on
 * any machine, resolves stop requests of tasks that were never started. Called for every machine four times a second,
 * mostly without any action; nothing is allocated then.
 */
export const decideEvictions = (machine: Machine, now: Micros): readonly EvictionAction[] => {
  const { reclaimAt } = machine.lifecycle;
  const evicting = isBeingEmptied(machine);
  let actions: EvictionAction[] | null = null;
  for (const task of machine.tasks) {
    let action: EvictionAction | null = null;
    if (task.stopRequest !== null) action = actionForUnstarted(task, evicting, now);
    else if (evicting) action = evictionOf(task, reclaimAt, now);
    if (action === null) continue;
    actions ??= [];
    actions.push(action);
  }
  return actions ?? NO_ACTIONS;
};

/** Action for a task with a stop request that has no start command; null if it has one or must wait. */
const actionForUnstarted = (task: Task, evicting: boolean, now: Micros): EvictionAction | null => {
  if (task.startCommand.kind !== "none") return null;
  if (mayRelease(task, now)) return { kind: "release", task };
  return evicting ? null : { kind: "keep", task };
};
