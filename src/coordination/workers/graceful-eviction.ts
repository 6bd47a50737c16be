/** Decides which tasks leave a machine that is to be empty. */

import type { Machine } from "../../cluster/machine.js";
import { isActive, type Task } from "../../cluster/task.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Of the time left, so much may be counted on: estimates are often wrong by half. */
const ESTIMATE_TRUST = 0.7;

/** What is to be done with one task. `graceS`: seconds that it gets to save its checkpoint. */
export type EvictionAction =
  /** No start of it has left or can arrive: it need not be stopped. */
  | { readonly kind: "release"; readonly task: Task }
  | { readonly kind: "stop"; readonly task: Task; readonly graceS: number };

/** What becomes of a task that is still there; null: it has ended, or will end by itself in time. */
const evictionOf = (task: Task, reclaimAt: Micros | null, now: Micros): EvictionAction | null => {
  if (task.startCommand.kind === "none") return { kind: "release", task };
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
  const { reclaimAt, drainReason } = machine.lifecycle;
  // A faulty machine fails what it starts; what runs there already is left alone.
  const leaving = reclaimAt !== null || drainReason === "scale-in";
  let actions: EvictionAction[] | null = null;
  for (const task of machine.tasks) {
    const action =
      task.stopRequest !== null ? releaseOfUnstarted(task) : leaving ? evictionOf(task, reclaimAt, now) : null;
    if (action === null) continue;
    actions ??= [];
    actions.push(action);
  }
  return actions ?? NO_ACTIONS;
};

/** A task that was told to stop before it was ever started. */
const releaseOfUnstarted = (task: Task): EvictionAction | null =>
  task.startCommand.kind === "none" ? { kind: "release", task } : null;
