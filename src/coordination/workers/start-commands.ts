/**
 * Start commands of a machine's tasks: which ones the next response to its heartbeat carries, and which ones sent
 * before are revoked.
 */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { isPlacementRecorded, type Task } from "../../cluster/task.js";
import type { ShardContext, ShardLease } from "../context.js";
import { firstFencingToken, responseTokenOf } from "../fencing-token.js";

/** The parts of the shard context on which it depends whether a task may be started. */
export type StartContext = Pick<ShardContext, "shard" | "lease" | "mayStartTasks">;

/**
 * Whether the worker has shown this leader's token. Inherited tasks are not started again before that: an attempt may
 * have ended without its end being on record yet.
 */
const isFenced = (lease: ShardLease, { state, counters }: Machine): boolean =>
  state === "up" && counters.highestToken >= firstFencingToken(lease) && counters.resetToken === 0;

/** Whether the next response may start the task, for the first time or again. */
const isStartable = ({ shard }: StartContext, task: Task): boolean => {
  const { startCommand, job } = task;
  if (startCommand.kind !== "none" && (startCommand.kind !== "uncertain" || task.state !== null)) return false;
  if (!isPlacementRecorded(task) || job.cancelled || task.stopRequest !== null) return false;
  // A held task counts against its team's limit, which the tasks that a new leader restores may together exceed.
  return task.unansweredStartAt === null || shard.withinLimit(job.spec, 0);
};

/** The tasks that the next response to a heartbeat of the machine is to start, at most `limit` of them. */
export const startableTasks = (context: StartContext, machine: Machine, limit: number): readonly Task[] => {
  const tasks: Task[] = [];
  if (!isFenced(context.lease, machine) || !context.mayStartTasks(machine) || isBeingEmptied(machine)) return tasks;
  for (const task of machine.tasks) {
    if (tasks.length >= limit) break;
    if (isStartable(context, task)) tasks.push(task);
  }
  return tasks;
};

/**
 * The token of the task's start command if that may still be executed and no response repeats it; else null. What is
 * repeated is listed in the end; a revoked start is proved lost only by a heartbeat under a token above its own.
 */
const revokedStartToken = ({ startCommand, job, stopRequest }: Task, machine: Machine): number | null => {
  if (startCommand.kind !== "uncertain") return null;
  return job.cancelled || stopRequest !== null || isBeingEmptied(machine) ? startCommand.token : null;
};

/** Whether a task of the machine keeps its capacity only because its revoked start may still be executed. */
export const hasRevokedStarts = (machine: Machine): boolean => {
  for (const task of machine.tasks) if (revokedStartToken(task, machine) !== null) return true;
  return false;
};

/**
 * The tasks whose revoked start the worker would not reject once it has the next response, since that would carry no
 * higher token. The token is to be raised for them; once, as later responses carry the raised token too.
 */
export const unfencedRevokedStarts = (lease: ShardLease, machine: Machine): readonly Task[] => {
  const responseToken = responseTokenOf(lease, machine);
  const unfenced: Task[] = [];
  for (const task of machine.tasks) {
    const token = revokedStartToken(task, machine);
    if (token !== null && token >= responseToken) unfenced.push(task);
  }
  return unfenced;
};

/** Numbers of tasks that hold capacity while it is not known whether their worker has executed their start command. */
export interface UncertainStartCounts {
  /** Their start command may still be executed. */
  readonly uncertain: number;
  /** Of these, the ones whose start command is not repeated: cancelled, to be stopped, or on a draining machine. */
  readonly revoked: number;
}

/** Counts the tasks of all machines whose start command may still be executed. */
export const countUncertainStarts = (machines: Iterable<Machine>): UncertainStartCounts => {
  let uncertain = 0;
  let revoked = 0;
  for (const machine of machines) {
    for (const task of machine.tasks) {
      if (task.startCommand.kind === "uncertain") uncertain += 1;
      if (revokedStartToken(task, machine) !== null) revoked += 1;
    }
  }
  return { uncertain, revoked };
};
