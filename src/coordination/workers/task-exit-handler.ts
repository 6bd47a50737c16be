/** What follows from the end of a task: its next attempt, the records, and who is blamed for a failure. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { MAX_START_DELAY, type Task } from "../../cluster/task.js";
import type { ExitReason } from "../../protocol/worker.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { exponentialBackoff, type ShardContext } from "../context.js";
import type { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import { attributeFailure, clearSuspicion, STABLE_RUN_TIME } from "./failure-attribution.js";

const MIN_RETRY_DELAY = seconds(0.5);
const MAX_RETRY_DELAY = seconds(30);
/** A machine that refused a task for lack of room gets no other for so long: its next heartbeat is due by then. */
const REFUSAL_QUARANTINE_TIME = seconds(1);

/** What the handler needs of its shard. */
export type TaskExitContext = Pick<
  ShardContext,
  "shard" | "clock" | "log" | "scheduleRound" | "eventListener" | "onTaskFailed"
>;

/** What the handler needs of the writer of task states. */
export type TaskExitStateWriter = Pick<TaskStateWriter, "recordSoon" | "finishIfComplete">;

/** Takes in that tasks have ended, or are proved not to be on their machine. */
export class TaskExitHandler {
  private failedStarts = 0;

  constructor(
    private readonly context: TaskExitContext,
    private readonly taskStates: TaskExitStateWriter,
  ) {}

  /** The task is proved not to be on its machine: it waits for a place again, or ends with its cancelled job. */
  taskGone(task: Task): void {
    if (task.desired.kind === "placed") task.desired = { kind: "waiting", attempt: task.desired.attempt };
    const { job, unansweredStartAt } = task;
    // It may run on that machine again until then.
    if (unansweredStartAt !== null)
      task.earliestStart = Math.max(task.earliestStart, unansweredStartAt + MAX_START_DELAY) as Micros;
    this.context.shard.releaseTask(task);
    this.context.scheduleRound();
    if (job.cancelled) this.taskStates.finishIfComplete(job);
    else this.taskStates.recordSoon(task.range);
  }

  /** The worker lists the task's current attempt as exited. Called once for each: an unchanged list is not read again. */
  taskExited(machine: Machine, task: Task, reason: ExitReason): void {
    if (reason === "done") {
      this.completeTask(machine, task);
      return;
    }
    const now = this.context.clock.now();
    if (task.runningSince !== null && now - task.runningSince > STABLE_RUN_TIME) task.failureCount = 0;
    if (reason !== "stopped") this.recordFailure(machine, task, reason, now);
    this.taskGone(task);
  }

  private completeTask(machine: Machine, task: Task): void {
    const { shard, clock, eventListener } = this.context;
    const { job } = task;
    const now = clock.now();
    shard.rememberImageOf(machine, task);
    const ran = (task.runningSince === null ? 0 : now - task.runningSince) as Micros;
    eventListener?.({ kind: "task done", job: job.spec.id, index: task.index, ran });
    task.desired = { kind: "done" };
    shard.releaseTask(task);
    job.completedTasks += 1;
    clearSuspicion(job);
    if (job.completedTasks >= job.spec.tasks || job.cancelled) this.taskStates.finishIfComplete(job);
    else this.taskStates.recordSoon(task.range);
    this.context.scheduleRound();
  }

  /** The next attempt is put off, and the machine is kept free of new work for a while. */
  private recordFailure(machine: Machine, task: Task, reason: ExitReason, now: Micros): void {
    const { log } = this.context;
    log.info(LogEvent.TaskFailed, { task: task.name, machine: machine.name, reason });
    this.context.onTaskFailed(task, reason);
    task.failureCount += 1;
    const delay = exponentialBackoff(task.failureCount - 1, MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    task.earliestStart = (now + delay) as Micros;
    if (reason === "error") {
      this.attributeFailure(machine, task, now);
      return;
    }
    // A refusal for lack of room means that the machine's state as known here is off until the next heartbeat.
    const { lifecycle } = machine;
    lifecycle.quarantinedUntil = Math.max(lifecycle.quarantinedUntil, now + REFUSAL_QUARANTINE_TIME) as Micros;
  }

  /** Failing machines and failing jobs are both backed off, separately. */
  private attributeFailure(machine: Machine, task: Task, now: Micros): void {
    const { shard, log, eventListener } = this.context;
    const { job } = task;
    const wasOnProbation = job.onProbation;
    this.failedStarts += 1;
    const cause = attributeFailure(task, machine, shard.jobs, shard.machines, now);
    if (cause === "job" && !wasOnProbation)
      log.info(LogEvent.JobOnProbation, { job: job.spec.id, machines: [...job.failedMachines] });
    if (cause !== "machine" || machine.lifecycle.drainReason !== null) return;
    machine.lifecycle.drainReason = "faulty";
    log.info(LogEvent.MachineFaulty, { machine: machine.name, jobs: [...machine.lifecycle.recentFailures.keys()] });
    eventListener?.({ kind: "machine faulty", ...eventFieldsOf(machine) });
  }

  /** For the log: jobs on probation now, and starts that failed since the last call, which sets their count to zero. */
  takeFailureCounts(): { readonly jobsOnTrial: number; readonly failedStarts: number } {
    const { failedStarts } = this;
    this.failedStarts = 0;
    let jobsOnTrial = 0;
    for (const { onProbation } of this.context.shard.jobs.values()) if (onProbation) jobsOnTrial += 1;
    return { jobsOnTrial, failedStarts };
  }
}
