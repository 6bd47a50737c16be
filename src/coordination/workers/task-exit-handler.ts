/** Handles the end of a task: its next attempt, its record, and the attribution of a failure to a machine or a job. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { MAX_START_TRANSIT_TIME, type Task } from "../../cluster/task.js";
import type { ExitReason } from "../../protocol/worker.js";
import { type Micros, seconds } from "../../transport/clock.js";
import { exponentialBackoff, type ShardContext } from "../context.js";
import type { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import { attributeFailure, clearFailureHistory, STABLE_RUN_TIME } from "./failure-attribution.js";
import { declareFaulty, endFaultByCompletion, recordFailedTrial } from "./machine-trials.js";

const MIN_RETRY_DELAY = seconds(0.5);
const MAX_RETRY_DELAY = seconds(30);
/**
 * A machine that refused a task for lack of room gets no new tasks for this long: its next heartbeat is due by then.
 */
const REFUSAL_QUARANTINE_TIME = seconds(1);

/** The parts of the shard context that the handler uses. */
export type TaskExitContext = Pick<
  ShardContext,
  "shard" | "clock" | "log" | "scheduleRound" | "eventListener" | "onTaskFailed"
>;

/** The parts of the task state writer that the handler uses. */
export type TaskExitStateWriter = Pick<TaskStateWriter, "recordSoon" | "finishIfComplete">;

/** Handles tasks that have exited or are proved absent from their machine. */
export class TaskExitHandler {
  private failedStarts = 0;

  constructor(
    private readonly context: TaskExitContext,
    private readonly taskStates: TaskExitStateWriter,
  ) {}

  /** Releases a task that is proved absent from its machine: it waits for placement, or ends with its cancelled job. */
  releaseAbsentTask(task: Task): void {
    if (task.desired.kind === "placed") task.desired = { kind: "waiting", attempt: task.desired.attempt };
    const { job, unansweredStartAt } = task;
    // Until then its earlier start command may still be delivered and run it on that machine.
    if (unansweredStartAt !== null)
      task.earliestStart = Math.max(task.earliestStart, unansweredStartAt + MAX_START_TRANSIT_TIME) as Micros;
    this.context.shard.releaseTask(task);
    this.context.scheduleRound();
    if (job.cancelled) this.taskStates.finishIfComplete(job);
    else this.taskStates.recordSoon(task.range);
  }

  /** Handles the listed exit of the task's current attempt, once: an unchanged list is not read again. */
  handleTaskExit(machine: Machine, task: Task, reason: ExitReason): void {
    if (reason === "done") {
      this.completeTask(machine, task);
      return;
    }
    const now = this.context.clock.now();
    if (task.runningSince !== null && now - task.runningSince > STABLE_RUN_TIME) task.failureCount = 0;
    if (reason !== "stopped") this.recordFailure(machine, task, reason, now);
    this.releaseAbsentTask(task);
  }

  private completeTask(machine: Machine, task: Task): void {
    const { shard, clock, log, eventListener } = this.context;
    const { job } = task;
    const now = clock.now();
    if (endFaultByCompletion(machine, task, now)) log.info(LogEvent.MachineRecovered, { machine: machine.name });
    shard.recordImageUseBy(machine, task);
    const ran = (task.runningSince === null ? 0 : now - task.runningSince) as Micros;
    eventListener?.({ kind: "task done", job: job.spec.id, index: task.index, ran });
    task.desired = { kind: "done" };
    shard.releaseTask(task);
    job.completedTasks += 1;
    clearFailureHistory(job);
    if (job.completedTasks >= job.spec.tasks || job.cancelled) this.taskStates.finishIfComplete(job);
    else this.taskStates.recordSoon(task.range);
    this.context.scheduleRound();
  }

  /** Delays the next attempt; an error is attributed to machine or job, a refusal quarantines the machine. */
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
    // A refusal for lack of room means that this leader's state of the machine is wrong until the next heartbeat.
    const { lifecycle } = machine;
    lifecycle.quarantinedUntil = Math.max(lifecycle.quarantinedUntil, now + REFUSAL_QUARANTINE_TIME) as Micros;
  }

  /**
   * Failing machines and failing jobs are backed off independently: a faulty machine is given trial tasks only, or
   * returned if it is empty, and a job is put on probation.
   */
  private attributeFailure(machine: Machine, task: Task, now: Micros): void {
    const { shard, log, eventListener } = this.context;
    const { job } = task;
    const wasOnProbation = job.onProbation;
    this.failedStarts += 1;
    const cause = attributeFailure(task, machine, shard.jobs, shard.machines, now);
    if (cause === "job" && !wasOnProbation)
      log.info(LogEvent.JobOnProbation, { job: job.spec.id, machines: [...job.failedMachines] });
    if (cause === "job") return;
    const { fault } = machine.lifecycle;
    if (fault !== null) {
      recordFailedTrial(fault, task, now);
      return;
    }
    if (cause !== "machine" || machine.lifecycle.drainReason !== null) return;
    declareFaulty(machine, now);
    log.info(LogEvent.MachineFaulty, { machine: machine.name, jobs: [...machine.lifecycle.recentFailures.keys()] });
    eventListener?.({ kind: "machine faulty", ...eventFieldsOf(machine) });
  }

  /** For the log: jobs on probation now, and starts that failed since the last call; resets the count of the latter. */
  takeFailureCounts(): { readonly jobsOnTrial: number; readonly failedStarts: number } {
    const { failedStarts } = this;
    this.failedStarts = 0;
    let jobsOnTrial = 0;
    for (const { onProbation } of this.context.shard.jobs.values()) if (onProbation) jobsOnTrial += 1;
    return { jobsOnTrial, failedStarts };
  }
}
