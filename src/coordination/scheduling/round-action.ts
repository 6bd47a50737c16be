/** The actions that a placement round decides on, and their effect on the shard's state. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { ShardState } from "../../cluster/shard-state.js";
import { attemptOf, type Task } from "../../cluster/task.js";
import { beginTrial } from "../workers/machine-trials.js";
import type { ReservationAction } from "./capacity-reservation.js";
import type { PreemptAction } from "./preemption.js";
import { checkpointGraceS } from "./preemption-cost.js";

/** Why tasks of a job are still waiting after a round. */
export type WaitReason =
  /** One more task would exceed the team's limit, or what is left of the limit is reserved for another job. */
  | "team limit"
  /** No machine that the job may use has capacity for one of its tasks. */
  | "no capacity"
  /** All tasks of the job must run in one zone, and no zone has capacity for any of them. */
  | "no zone"
  /**
   * Placements that are not on record yet use up the key-value store's writes for the next few seconds, or a gang's
   * tasks do not fit into the record of their range.
   */
  | "record budget"
  /** The limit on tasks in memory does not admit all tasks of the gang. */
  | "task limit"
  /** Some tasks of the gang are in back-off, or still on machines. */
  | "gang incomplete";

/** One decision of a round. The caller applies it before requesting the next one, which may depend on it. */
export type RoundAction =
  | { readonly kind: "place"; readonly task: Task; readonly machine: Machine }
  /** Stops the remaining tasks of a gang that has lost a task: a gang cannot continue incomplete. */
  | { readonly kind: "dissolve"; readonly job: Job }
  | { readonly kind: "wait"; readonly job: Job; readonly reason: WaitReason }
  /**
   * The unfinished demand of entitled jobs (`claimed`) starts or stops exceeding all capacity; in thousandths of CPUs.
   */
  | {
      readonly kind: "guarantees";
      readonly overcommitted: boolean;
      readonly claimed: number;
      readonly capacity: number;
    }
  | PreemptAction
  | ReservationAction;

/** Applies an action to the shard's state; the caller writes records, sends commands and sets timers. */
export const applyAction = (shard: ShardState, action: RoundAction): void => {
  switch (action.kind) {
    case "place":
      applyPlacement(shard, action.task, action.machine);
      return;
    case "postpone search":
      action.task.nextPreemptionSearch = action.notBefore;
      return;
    case "preempt":
      for (const { task, graceS, notBefore } of action.victims) {
        task.stopRequest = { graceS };
        task.earliestStart = notBefore;
      }
      return;
    case "dissolve":
      for (const task of action.job.placedTasks) task.stopRequest ??= { graceS: checkpointGraceS(action.job.spec) };
      return;
    case "wait":
    case "guarantees":
    case "reserve":
    case "unreserve":
    case "no capacity to reserve":
  }
};

const applyPlacement = (shard: ShardState, task: Task, machine: Machine): void => {
  shard.assignTask(task, machine);
  beginTrial(machine, task);
  task.desired = { kind: "placed", attempt: attemptOf(task.desired) + 1, machine: machine.name };
};
