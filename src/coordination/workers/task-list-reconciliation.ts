/** Reconciliation of a worker's list of tasks with the tasks that are placed on its machine. */

import { isBeingEmptied, type Machine } from "../../cluster/machine.js";
import { attemptOf, mayRelease, startMayBeInTransit, type Task } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { Heartbeat, TaskStatus } from "../../protocol/worker.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf } from "../fencing-token.js";
import { LogEvent, MAX_LOGGED_TASKS } from "../log-events.js";
import { placedTasksByZone, zoneAllowed } from "../scheduling/eligibility.js";
import { markInheritedStartUnanswered } from "./inherited-starts.js";
import { isReachable } from "./reachability.js";
import type { TaskExitHandler } from "./task-exit-handler.js";

/** The parts of the shard context that the reconciler uses. */
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

/** Whether the zone rules of its job allow the task in the zone, given where the job's other tasks may be. */
const satisfiesZoneRules = ({ job }: Task, { zone }: Machine): boolean => {
  if (!job.spec.spread && !job.spec.singleZone) return true;
  const counts = placedTasksByZone(job);
  counts.set(zone, (counts.get(zone) ?? 0) - 1);
  return zoneAllowed(job.spec, counts, zone);
};

const findStatus = (statuses: StatusesByTask, task: Task): TaskStatus | undefined => {
  const attempt = attemptOf(task.desired);
  return statuses.get(task.name)?.find((candidate) => candidate.attempt === attempt);
};

/** Concludes from the task lists of fenced heartbeats which tasks run, have exited or are proved absent. */
export class TaskListReconciler {
  constructor(
    private readonly context: ReconciliationContext,
    private readonly taskExits: TaskExitHandler,
  ) {}

  /** `heartbeat`: a fenced one whose task list may differ from the last one read. */
  reconcile(machine: Machine, heartbeat: Heartbeat): void {
    this.reconcileList(machine, heartbeat);
    // An equal list is skipped later. While a start is not observed, the same list may yet prove that start lost.
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

  /** Removes placed tasks from `unexpectedTasks`. Returns whether a task observed before is no longer listed. */
  private reconcilePlacedTasks(
    machine: Machine,
    heartbeat: Heartbeat,
    statuses: StatusesByTask,
    unexpectedTasks: Map<string, Uint64>,
  ): boolean {
    let vanished = false;
    for (const task of [...machine.tasks]) {
      markInheritedStartUnanswered(this.context, task);
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

  /** Announces to the worker a token higher than that of every start command sent so far. */
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
        // Only a worker that has shown a higher token than the start command's rejects that command.
        if (token <= task.startCommand.token) return;
        task.startCommand = { kind: "none" };
        if (this.mayStartAgain(machine, task)) this.context.scheduleCommands(machine);
        else if (!this.isHeld(machine, task)) this.taskExits.releaseAbsentTask(task);
        return;
      case "observed":
        // Unless its counters are reset, a worker drops an attempt from its list only on a forget command. So they were
        // reset, and the start command may be executed once more until the worker shows a higher token.
        task.startCommand = { kind: "uncertain", token: fencingTokenOf(this.context.lease, machine) };
        this.context.shard.setReportedState(task, null);
        task.runningSince = null;
    }
  }

  /**
   * Whether a task whose start was lost may be started again on its machine. Not on an unreachable machine, where the
   * task would wait until that is reachable, unless a start command that may still be delivered binds it to the
   * machine: then the response to a heartbeat starts it. Nor beyond its team's limit, or where its job's other tasks
   * rule out the zone: the record of this placement may be older than that of its replacement, and a new leader
   * restores both.
   */
  private mayStartAgain(machine: Machine, task: Task): boolean {
    return (
      !task.job.cancelled &&
      task.stopRequest === null &&
      (isReachable(machine.reachability) || startMayBeInTransit(task, this.context.clock.now())) &&
      this.context.shard.withinLimit(task.job.spec, 0) &&
      satisfiesZoneRules(task, machine)
    );
  }

  /**
   * Whether a task that must not be started on its machine now stays assigned to it, since a start command may still be
   * delivered. Where the zone rules rule out the zone it would stay forever, so it is released, to be placed elsewhere
   * a minute after the start.
   */
  private isHeld(machine: Machine, task: Task): boolean {
    if (mayRelease(task, this.context.clock.now())) return false;
    return isBeingEmptied(machine) || satisfiesZoneRules(task, machine);
  }

  private reconcileListed(machine: Machine, task: Task, status: TaskStatus): void {
    const { clock, shard } = this.context;
    task.startCommand = { kind: "observed" };
    if (status.state === "exited") {
      this.taskExits.handleTaskExit(machine, task, status.reason ?? "error");
      return;
    }
    if (status.state === "running" && task.state !== "running") {
      task.runningSince = clock.now();
      shard.recordImageUseBy(machine, task);
    }
    shard.setReportedState(task, status.state);
  }
}
