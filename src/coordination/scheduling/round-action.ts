/** The actions that a placement round decides on, and their effect on the shard's state. */
import type { Job } from "../../cluster/job.js";
import type { Machine } from "../../cluster/machine.js";
import type { ShardState } from "../../cluster/shard-state.js";
import { attemptOf, type Task } from "../../cluster/task.js";
import type { ReservationAction } from "./capacity-reservation.js";
import type { PreemptAction } from "./preemption.js";
import { checkpointGraceS } from "./preemption-cost.js";

/** Why tasks of a job go on waiting after a round. */
export type WaitReason =
  /** One more would exceed the team's limit. */
  | "team limit"
  /** No machine that the job may use has capacity for one. */
  | "no capacity"
  /** No zone has capacity for a job whose tasks stay in one. */
  | "no zone"
  /** Placements made already take all the writes that the key-value store allows for the next seconds. */
  | "record budget"
  /** A gang's tasks are in back-off, or some of them are still on machines. */
  | "gang incomplete";

/** One decision of a round. Whoever runs the round carries it out before the next one is asked for. */
export type RoundAction =
  | { readonly kind: "place"; readonly task: Task; readonly machine: Machine }
  /** A gang that lost a task cannot go on. */
  | { readonly kind: "dissolve"; readonly job: Job }
  | { readonly kind: "wait"; readonly job: Job; readonly reason: WaitReason }
  /** Claims within guarantees have come to exceed all capacity, or no longer do; in thousandths of CPUs. */
  | {
      readonly kind: "guarantees";
      readonly overcommitted: boolean;
      readonly claimed: number;
      readonly capacity: number;
    }
  | PreemptAction
  | ReservationAction;

/** Applies an action to the shard's state; records, commands and timers are left to whoever carries it out. */
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
  task.desired = { kind: "placed", attempt: attemptOf(task.desired) + 1, machine: machine.name };
};
