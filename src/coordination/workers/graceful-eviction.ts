/** Decides which tasks leave a machine that is to be empty. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { isActive, mayRelease, type Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Of the time left, so much may be counted on: estimates are often wrong by half. */
const ESTIMATE_TRUST = 0.7;

/** What is to be done with one task. `graceS`: seconds that it gets to save its checkpoint. */
export type EvictionAction =
  /** No start of it has left or can arrive: it need not be stopped. */
  | { readonly kind: "release"; readonly task: Task }
  /** A start of it may still be delivered: it is to run here and nowhere else, whatever it was to be stopped for. */
  | { readonly kind: "keep"; readonly task: Task }
  | { readonly kind: "stop"; readonly task: Task; readonly graceS: number };

/** What becomes of a task that is still there; null: it has ended, will end by itself in time, or goes with the machine. */
const evictionOf = (task: Task, reclaimAt: Micros | null, now: Micros): EvictionAction | null => {
  if (task.startCommand.kind === "none") return mayRelease(task, now) ? { kind: "release", task } : null;
  if (!isActive(task)) return null;
  const { spec } = task.job;
  const timeLeft = reclaimAt === null ? Number.POSITIVE_INFINITY : reclaimAt - now;
  const runTime = task.runningSince === null ? 0 : now - task.runningSince;
  const endsInTime = spec.shape !== "service" && seconds(spec.estimatedRunS) - runTime < timeLeft * ESTIMATE_TRUST;
  if (endsInTime) return null;
  const savesCheckpoint = spec.checkpointIntervalS > 0 && seconds(spec.checkpointDurationS) <= timeLeft;
  return { kind: "stop", task, graceS: savesCheckpoint ? Math.ceil(spec.checkpointDurationS) : 0 };
};

const NO_ACTIONS: readonly EvictionAction[] = [];

/**
 * What is to leave a machine that is to be empty: tasks that will not end by themselves in time. Asked for every machine
 * four times a second, and mostly nothing: then nothing is allocated.
 */
export const decideEvictions = (machine: Machine, now: Micros): readonly EvictionAction[] => {
  const { reclaimAt } = machine.lifecycle;
  // A faulty machine fails what it starts; what runs there already is left alone.
  const leaving = isBeingEmptied(machine);
  let actions: EvictionAction[] | null = null;
  for (const task of machine.tasks) {
    let action: EvictionAction | null = null;
    if (task.stopRequest !== null) action = evictionOfUnstarted(task, leaving, now);
    else if (leaving) action = evictionOf(task, reclaimAt, now);
    if (action === null) continue;
    actions ??= [];
    actions.push(action);
  }
  return actions ?? NO_ACTIONS;
};

/** A task that is to be stopped and does not run. */
const evictionOfUnstarted = (task: Task, leaving: boolean, now: Micros): EvictionAction | null => {
  if (task.startCommand.kind !== "none") return null;
  if (mayRelease(task, now)) return { kind: "release", task };
  return leaving ? null : { kind: "keep", task };
};
