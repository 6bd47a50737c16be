/** Reconciliation of a worker's list of tasks with the tasks that are placed on its machine. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { attemptOf, mayRelease, mayStartLate, type Task } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { Heartbeat, TaskStatus } from "../../protocol/worker.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import { zoneAllowed, zoneCounts } from "../scheduling/eligibility.js";
import { noteInheritedStart } from "./inherited-starts.js";
import { isReachable } from "./reachability.js";
import type { TaskExitHandler } from "./task-exit-handler.js";

/** Of the tasks that a worker lists and that are not placed there, so many are named in the log. */
const MAX_LOGGED_TASKS = 5;

/** What the reconciler needs of its shard. */
export type ReconciliationContext = Pick<
  ShardContext,
  "shard" | "clock" | "lease" | "log" | "scheduleCommands" | "announceFencingToken"
>;

/** The statuses of a heartbeat by task; one task may be listed with several attempts. */
type StatusesByTask = ReadonlyMap<string, readonly TaskStatus[]>;

const allStartsObserved = (machine: Machine): boolean => {
  for (const { startCommand } of machine.tasks) if (startCommand.kind !== "observed") return false;
  return true;
};

/** Do the zone rules of its job, given where the other tasks may be, let the task stay where it is? */
const satisfiesZoneRules = ({ job }: Task, { zone }: Machine): boolean => {
  if (!job.spec.spread && !job.spec.singleZone) return true;
  const counts = zoneCounts(job);
  counts.set(zone, (counts.get(zone) ?? 0) - 1);
  return zoneAllowed(job.spec, counts, zone);
};

const findStatus = (statuses: StatusesByTask, task: Task): TaskStatus | undefined => {
  const attempt = attemptOf(task.desired);
  return statuses.get(task.name)?.find((candidate) => candidate.attempt === attempt);
};

/** Concludes from the task lists of fenced heartbeats which tasks run, have ended or are surely not there. */
export class TaskListReconciler {
  constructor(
    private readonly context: ReconciliationContext,
    private readonly taskExits: TaskExitHandler,
  ) {}

  /** `heartbeat`: a fenced one with a list that may differ from the last one read. */
  reconcile(machine: Machine, heartbeat: Heartbeat): void {
    this.reconcileList(machine, heartbeat);
    // Only what the list did itself is known to follow from it: a start not seen yet may still be called lost by it.
    machine.reported.taskListText = allStartsObserved(machine) ? heartbeat.taskListText : null;
  }

  private reconcileList(machine: Machine, heartbeat: Heartbeat): void {
    const unexpectedTasks = new Map<string, Uint64>();
    const exitedTasks = new Map<string, Uint64>();
    const statuses = new Map<string, TaskStatus[]>();
    for (const status of heartbeat.tasks) {
      const sameTask = statuses.get(status.task) ?? [];
      sameTask.push(status);
      statuses.set(status.task, sameTask);
      (status.state === "exited" ? exitedTasks : unexpectedTasks).set(status.task, status.attempt);
    }
    const vanished = this.reconcilePlacedTasks(machine, heartbeat, statuses, unexpectedTasks);
    machine.reported.unexpectedTasks = unexpectedTasks;
    machine.reported.exitedTasks = exitedTasks;
    if (vanished) this.fenceVanished(machine);
    if (unexpectedTasks.size > 0) {
      this.context.log.info(LogEvent.UnexpectedTasksReported, {
        machine: machine.name,
        tasks: [...unexpectedTasks.keys()].slice(0, MAX_LOGGED_TASKS),
      });
    }
  }

  /** Takes placed tasks out of `unexpectedTasks`. Returns whether one that had been observed is listed no more. */
  private reconcilePlacedTasks(
    machine: Machine,
    heartbeat: Heartbeat,
    statuses: StatusesByTask,
    unexpectedTasks: Map<string, Uint64>,
  ): boolean {
    let vanished = false;
    for (const task of [...machine.tasks]) {
      noteInheritedStart(this.context, task);
      const status = findStatus(statuses, task);
      if (status === undefined) {
        vanished ||= task.startCommand.kind === "observed";
        this.reconcileUnlisted(machine, task, heartbeat.token);
      } else {
        if (status.state !== "exited") unexpectedTasks.delete(task.name);
        this.reconcileListed(machine, task, status);
      }
    }
    return vanished;
  }

  /** Shows the worker a token above that of every start sent so far. */
  private fenceVanished(machine: Machine): void {
    this.context.log.info(LogEvent.TasksVanished, { machine: machine.name });
    machine.fencing.sequence += 1;
    this.context.announceFencingToken(machine);
  }

  private reconcileUnlisted(machine: Machine, task: Task, token: Uint64): void {
    switch (task.startCommand.kind) {
      case "none":
        return;
      case "uncertain":
        // Only a worker past the token under which the start was sent can no longer get it.
        if (token <= task.startCommand.token) return;
        task.startCommand = { kind: "none" };
        if (this.mayStartAgain(machine, task)) this.context.scheduleCommands(machine);
        else if (!this.isHeld(machine, task)) this.taskExits.taskGone(task);
        return;
      case "observed":
        // Within one life of a worker no attempt vanishes that it was not told to forget. So its counters were reset, and the
        // start may arrive there once more until a higher token is shown.
        task.startCommand = { kind: "uncertain", token: fencingTokenOf(this.context.lease, machine) };
        this.context.shard.setReportedState(task, null);
        task.runningSince = null;
    }
  }

  /**
   * Where commands do not arrive the task would wait for as long as they don't, unless a start that is still on its way binds
   * it to the machine: then it is started by the response to a heartbeat. Beyond its team's limit, or where its job's
   * other tasks keep it out of the zone, it must not be started: one record may be older than another that took its place,
   * and a new leader takes over both.
   */
  private mayStartAgain(machine: Machine, task: Task): boolean {
    return (
      !task.job.cancelled &&
      task.stopRequest === null &&
      (isReachable(machine.reachability) || mayStartLate(task, this.context.clock.now())) &&
      this.context.shard.withinLimit(task.job.spec, 0) &&
      satisfiesZoneRules(task, machine)
    );
  }

  /**
   * Whether a task that must not be started on its machine now stays there nevertheless, since a start may still be
   * delivered. Where the zone rules keep it out that would be for ever: it is placed elsewhere a minute after the start.
   */
  private isHeld(machine: Machine, task: Task): boolean {
    if (mayRelease(task, this.context.clock.now())) return false;
    return isBeingEmptied(machine) || satisfiesZoneRules(task, machine);
  }

  private reconcileListed(machine: Machine, task: Task, status: TaskStatus): void {
    const { clock, shard } = this.context;
    task.startCommand = { kind: "observed" };
    if (status.state === "exited") {
      this.taskExits.taskExited(machine, task, status.reason ?? "error");
      return;
    }
    if (status.state === "running" && task.state !== "running") {
      task.runningSince = clock.now();
      shard.rememberImageOf(machine, task);
    }
    shard.setReportedState(task, status.state);
  }
}
