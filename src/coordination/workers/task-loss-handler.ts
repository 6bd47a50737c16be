/** Handles events that concern all tasks of a machine at once: a new incarnation, reset counters, lease expiry, loss. */

import type { Machine } from "../../cluster/machine.js";
import { mayRelease, startMayBeInTransit, type Task } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { ShardContext } from "../context.js";
import { fencingTokenOf } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import { markInheritedStartUnanswered } from "./inherited-starts.js";
import type { TaskExitHandler } from "./task-exit-handler.js";

/** The parts of the shard context that the handler uses. */
export type TaskLossContext = Pick<ShardContext, "shard" | "clock" | "lease" | "log" | "scheduleCommands">;

/** Empties what the worker was last known to list besides the machine's placed tasks. */
const clearReportedTasks = (machine: Machine): void => {
  machine.reported.unexpectedTasks = new Map();
  machine.reported.exitedTasks = new Map();
};

/** Releases the tasks that a machine has lost for certain, and keeps those whose start may still be delivered. */
export class TaskLossHandler {
  constructor(
    private readonly context: TaskLossContext,
    private readonly taskExits: Pick<TaskExitHandler, "releaseAbsentTask">,
  ) {}

  /**
   * The earlier incarnation has ended, with all tasks started in it and all commands that name it. A start command
   * still in flight would be executed if the worker's counters were reset later, so its task is started again on this
   * machine. `incarnation`: the new one, for the log.
   */
  handleNewIncarnation(machine: Machine, incarnation: Uint64): void {
    this.markInheritedStartsUnanswered(machine);
    const startedTasks = [...machine.tasks].filter(({ startCommand }) => startCommand.kind !== "none");
    this.context.log.info(LogEvent.WorkerIncarnationChanged, {
      machine: machine.name,
      session: incarnation,
      tasks: startedTasks.length,
    });
    for (const task of startedTasks) {
      if (mayRelease(task, this.context.clock.now())) this.taskExits.releaseAbsentTask(task);
      else this.resetToUnstarted(task);
    }
    clearReportedTasks(machine);
    if (machine.tasks.size > 0) this.context.scheduleCommands(machine);
  }

  /**
   * The worker's counters were reset: nothing runs there, but earlier commands may still be delivered and executed. The
   * tasks stay assigned to the machine until the worker shows a higher token than the present one.
   */
  handleCounterReset(machine: Machine): void {
    this.markInheritedStartsUnanswered(machine);
    const token = fencingTokenOf(this.context.lease, machine);
    for (const task of machine.tasks) {
      if (task.startCommand.kind === "none") continue;
      task.startCommand = { kind: "uncertain", token };
      this.clearReportedState(task);
    }
    this.forgetTaskList(machine);
  }

  /** Releases all tasks of a machine that no longer exists; commands sent to it can no longer be delivered. */
  handleMachineLoss(machine: Machine, why: string): void {
    this.logLostTasks(machine, [...machine.tasks], why);
    for (const task of [...machine.tasks]) {
      task.unansweredStartAt = null;
      this.taskExits.releaseAbsentTask(task);
    }
    this.forgetTaskList(machine);
  }

  /**
   * The worker's lease has expired, so all its tasks have ended. The machine may return with its counters reset, so a
   * task whose start command may still be delivered stays assigned to it until the machine is deleted, or sends
   * heartbeats again and starts the task.
   */
  handleLeaseExpiry(machine: Machine, why: string): void {
    this.markInheritedStartsUnanswered(machine);
    const now = this.context.clock.now();
    const gone = [...machine.tasks].filter((task) => !startMayBeInTransit(task, now));
    this.logLostTasks(machine, gone, why);
    for (const task of gone) this.taskExits.releaseAbsentTask(task);
    for (const task of machine.tasks) this.resetToUnstarted(task);
    this.forgetTaskList(machine);
  }

  private markInheritedStartsUnanswered(machine: Machine): void {
    for (const task of machine.tasks) markInheritedStartUnanswered(this.context, task);
  }

  /** Marks the task as not running; it stays placed on its machine. */
  private resetToUnstarted(task: Task): void {
    task.startCommand = { kind: "none" };
    this.clearReportedState(task);
  }

  private clearReportedState(task: Task): void {
    this.context.shard.setReportedState(task, null);
    task.runningSince = null;
  }

  /** The next task list is read in full, whatever it contains. */
  private forgetTaskList(machine: Machine): void {
    machine.reported.taskListText = null;
    clearReportedTasks(machine);
  }

  private logLostTasks(machine: Machine, tasks: readonly Task[], why: string): void {
    if (tasks.length > 0)
      this.context.log.info(LogEvent.TasksLost, { machine: machine.name, why, tasks: tasks.length });
  }
}
