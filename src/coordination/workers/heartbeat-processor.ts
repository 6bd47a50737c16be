/** Takes in workers' heartbeats and status replies, each as far as its freshness lets conclusions be drawn from it. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { mayRelease, mayStartLate, type Task } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { Heartbeat } from "../../protocol/worker.js";
import { type Micros, seconds } from "../../transport/clock.js";

import type { ShardContext } from "../context.js";
import { FENCING_SEQUENCES, fencingTokenOf, firstFencingToken } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";

import { classifyHeartbeat, type HeartbeatFreshness, type HeartbeatSource } from "./heartbeat-freshness.js";
import { noteInheritedStart } from "./inherited-starts.js";
import { ReachabilityTracker } from "./reachability-tracker.js";
import { TaskExitHandler, type TaskExitStateWriter } from "./task-exit-handler.js";
import { TaskListReconciler } from "./task-list-reconciliation.js";

/** Heartbeats in a row that look older than what is known, before the worker is asked for its state. */
const MAX_SUSPECT_HEARTBEATS = 2;
/** A worker that has had no answer waits for four seconds before it tries another controller. */
const WORKER_FAILOVER_DELAY = seconds(3.5);

/** What the processor needs of its shard. */
export type HeartbeatProcessorContext = Pick<
  ShardContext,
  | "shard"
  | "clock"
  | "lease"
  | "log"
  | "scheduleRound"
  | "scheduleCommands"
  | "queryStatus"
  | "announceFencingToken"
  | "loadShedder"
  | "eventListener"
  | "onTaskFailed"
>;

const clearReportedTasks = (machine: Machine): void => {
  machine.reported.unexpectedTasks = new Map();
  machine.reported.exitedTasks = new Map();
};

/** Takes in what workers say and concludes from it which tasks are where, or surely nowhere. */
export class HeartbeatProcessor {
  private readonly reachability: ReachabilityTracker;
  private readonly taskExits: TaskExitHandler;
  private readonly taskLists: TaskListReconciler;
  private suspectCount = 0;
  private unverifiedCount = 0;

  constructor(
    private readonly context: HeartbeatProcessorContext,
    taskStates: TaskExitStateWriter,
  ) {
    this.reachability = new ReachabilityTracker(context);
    this.taskExits = new TaskExitHandler(context, taskStates);
    this.taskLists = new TaskListReconciler(context, this.taskExits);
  }

  /** Nothing is concluded beyond what the message is evidence of (coordination/workers/heartbeat-freshness.ts). */
  process(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource): HeartbeatFreshness {
    const neededToken = Math.max(firstFencingToken(this.context.lease), machine.counters.resetToken);
    const freshness = classifyHeartbeat(machine.counters, heartbeat, source, neededToken);
    switch (freshness) {
      case "stale":
        return freshness;
      case "suspect":
        this.handleSuspect(machine);
        return freshness;
      case "unverified":
        this.handleUnverified(machine, heartbeat);
        return freshness;
      case "counters-reset":
        this.handleCounterReset(machine, heartbeat);
        return freshness;
      case "new-incarnation":
        this.startNewIncarnation(machine, heartbeat);
        break;
      case "verified":
      case "fenced":
    }
    this.handleVerified(machine, heartbeat, source);
    if (heartbeat.token >= neededToken) this.handleFenced(machine, heartbeat);
    return freshness;
  }

  /** One may have been overtaken on its way; a worker whose counters were reset goes on like that. */
  private handleSuspect(machine: Machine): void {
    const { counters } = machine;
    this.suspectCount += 1;
    counters.suspectHeartbeats += 1;
    if (counters.suspectHeartbeats < MAX_SUSPECT_HEARTBEATS) return;
    counters.suspectHeartbeats = 0;
    counters.suspectedAt = this.context.clock.now();
    this.context.queryStatus(machine);
  }

  /** Tells which address to ask and in which incarnation; it is no sign of life. */
  private handleUnverified(machine: Machine, heartbeat: Heartbeat): void {
    const { counters } = machine;
    this.unverifiedCount += 1;
    machine.address ??= heartbeat.address;
    if (counters.incarnation !== null && heartbeat.incarnation < counters.incarnation) return;
    if (counters.resetToken === 0) this.updateCounters(machine, heartbeat);
    machine.address = heartbeat.address;
  }

  /** The worker is alive and in this incarnation. */
  private handleVerified(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource): void {
    const { clock } = this.context;
    const { counters } = machine;
    const skipped = this.hasSkipped(machine, heartbeat);
    const firstVerified = !counters.verified || heartbeat.incarnation !== counters.incarnation;
    counters.verified = true;
    counters.suspectHeartbeats = 0;
    // An incarnation begins with a whole lease, and may have begun just now: counted from when the machine was provisioned
    // or found, or from an answer that never got there, the leases of workers seemed over while they ran tasks.
    if (firstVerified) machine.lease.renewedAt = clock.now();
    if (heartbeat.incarnation !== counters.incarnation || heartbeat.token !== counters.highestToken)
      machine.reported.taskListText = null;
    this.updateCounters(machine, heartbeat);
    this.reachability.update(machine, heartbeat, source, skipped);
    machine.address = heartbeat.address;
    machine.reachability.lastHeartbeatAt = clock.now();
    this.reachability.logChange(machine);
    if (machine.state !== "up") this.markUp(machine);
    this.updateReclaimNotice(machine, heartbeat.reclaimNoticeS);
  }

  /** Only commands under this leader's own tokens can still arrive: what its list lacks is not there. */
  private handleFenced(machine: Machine, heartbeat: Heartbeat): void {
    machine.counters.resetToken = 0;
    if (!heartbeat.taskListUnchanged) this.taskLists.reconcile(machine, heartbeat);
  }

  /**
   * Did heartbeats before this one go to another controller or get lost? What comes sooner than a worker's failover has
   * overtaken the answer to a command: taken for a lost one, it cost a query and a token at every other start.
   */
  private hasSkipped({ counters, commands }: Machine, heartbeat: Heartbeat): boolean {
    return (
      counters.verified &&
      !commands.inFlight &&
      this.context.clock.now() - counters.learnedAt > WORKER_FAILOVER_DELAY &&
      heartbeat.incarnation === counters.incarnation &&
      Number(heartbeat.sequence) > Number(counters.sequence) + 1
    );
  }

  private markUp(machine: Machine): void {
    const { clock, log, eventListener } = this.context;
    machine.state = "up";
    machine.load.idleSince = clock.now();
    log.info(LogEvent.MachineUp, { machine: machine.name, zone: machine.zone, spot: machine.spot });
    eventListener?.({ kind: "machine up", ...eventFieldsOf(machine) });
    this.context.scheduleRound();
  }

  /** `noticeS`: seconds until the cloud takes the machine back; null where it has not announced that, or no longer does. */
  private updateReclaimNotice(machine: Machine, noticeS: number | null): void {
    const { clock, log, eventListener } = this.context;
    if (noticeS === null) {
      machine.lifecycle.reclaimAt = null;
      return;
    }
    if (machine.lifecycle.reclaimAt !== null) return;
    machine.lifecycle.reclaimAt = (clock.now() + seconds(noticeS)) as Micros;
    log.info(LogEvent.MachineReclaimAnnounced, { machine: machine.name, leftS: noticeS });
    eventListener?.({ kind: "machine notice", span: seconds(noticeS), ...eventFieldsOf(machine) });
    this.context.scheduleRound();
  }

  private updateCounters(machine: Machine, heartbeat: Heartbeat): void {
    this.copyCounters(machine, heartbeat);
    // Whatever token of this leader the worker shows, commands under a lower one are dropped there.
    const sequence = Number(heartbeat.token) - firstFencingToken(this.context.lease);
    if (sequence > machine.fencing.sequence && sequence < FENCING_SEQUENCES) machine.fencing.sequence = sequence;
  }

  private copyCounters({ counters, fencing }: Machine, heartbeat: Heartbeat): void {
    if (heartbeat.token > counters.highestToken) fencing.tokenRaisedAt = this.context.clock.now();
    counters.incarnation = heartbeat.incarnation;
    counters.sequence = heartbeat.sequence;
    counters.highestToken = heartbeat.token;
    counters.learnedAt = this.context.clock.now();
  }

  /**
   * The earlier incarnation is over, and with it all that was started in it and all commands that name it. A start that is
   * still on its way would be carried out if the counters were reset some day: its task begins again on this machine.
   */
  private startNewIncarnation(machine: Machine, heartbeat: Heartbeat): void {
    this.noteInheritedStarts(machine);
    const startedTasks = [...machine.tasks].filter(({ startCommand }) => startCommand.kind !== "none");
    this.context.log.info(LogEvent.WorkerIncarnationChanged, {
      machine: machine.name,
      session: heartbeat.incarnation,
      tasks: startedTasks.length,
    });
    for (const task of startedTasks) {
      if (mayRelease(task, this.context.clock.now())) this.taskExits.taskGone(task);
      else this.resetToUnstarted(task);
    }
    clearReportedTasks(machine);
    if (machine.tasks.size > 0) this.context.scheduleCommands(machine);
  }

  private noteInheritedStarts(machine: Machine): void {
    for (const task of machine.tasks) noteInheritedStart(this.context, task);
  }

  /** The task does not run on its machine and stays placed there. */
  private resetToUnstarted(task: Task): void {
    task.startCommand = { kind: "none" };
    this.context.shard.setReportedState(task, null);
    task.runningSince = null;
  }

  /**
   * The worker's counters were reset: nothing runs there, but commands of before may arrive once more, since the number of
   * the incarnation may be the same and any token is accepted. So it is sent a higher one first, and what was there counts
   * until it shows that one.
   */
  private handleCounterReset(machine: Machine, heartbeat: Heartbeat): void {
    const { clock, lease, log } = this.context;
    log.info(LogEvent.WorkerCountersReset, { machine: machine.name, tasks: machine.tasks.size });
    this.markStartsUncertain(machine);
    machine.fencing.sequence += 1;
    machine.counters.resetToken = fencingTokenOf(lease, machine);
    this.resetReachability(machine);
    machine.counters.expiredIncarnation = null;
    machine.lease.expired = false;
    machine.lease.renewedAt = clock.now();
    machine.counters.verified = false;
    machine.counters.suspectHeartbeats = 0;
    machine.reported.taskListText = null;
    clearReportedTasks(machine);
    machine.load.cachedImages.clear();
    this.copyCounters(machine, heartbeat);
    machine.address = heartbeat.address;
    machine.reachability.lastHeartbeatAt = clock.now();
    this.context.announceFencingToken(machine);
  }

  private markStartsUncertain(machine: Machine): void {
    this.noteInheritedStarts(machine);
    const token: Uint64 = fencingTokenOf(this.context.lease, machine);
    for (const task of machine.tasks) {
      if (task.startCommand.kind === "none") continue;
      task.startCommand = { kind: "uncertain", token };
      this.context.shard.setReportedState(task, null);
      task.runningSince = null;
    }
  }

  private resetReachability({ reachability }: Machine): void {
    reachability.consecutiveTimeouts = 0;
    reachability.probeToken = null;
    reachability.heartbeatsWithoutProbe = 0;
    reachability.probeSentAt = null;
  }

  /** For the log: heartbeats that came late or may have, since the last call, which sets both counts to zero. */
  takeFreshnessCounts(): { readonly late: number; readonly unproven: number } {
    const { suspectCount, unverifiedCount } = this;
    this.suspectCount = 0;
    this.unverifiedCount = 0;
    return { late: suspectCount, unproven: unverifiedCount };
  }

  /** For the log: jobs on probation now, and starts that failed since the last call, which sets their count to zero. */
  takeFailureCounts(): { readonly jobsOnTrial: number; readonly failedStarts: number } {
    return this.taskExits.takeFailureCounts();
  }

  /** The machine, its tasks and every command sent to it are surely gone. */
  machineLost(machine: Machine, why: string): void {
    this.tasksLost(machine, [...machine.tasks], why);
    for (const task of [...machine.tasks]) {
      task.unansweredStartAt = null;
      this.taskExits.taskGone(task);
    }
    machine.reported.taskListText = null;
    clearReportedTasks(machine);
  }

  /**
   * The worker's lease has expired, and with it all that it ran has ended. The machine may be back with its counters reset,
   * so a task whose start may still be delivered stays with it: until the machine is deleted, or heard again and the task
   * started there.
   */
  leaseExpired(machine: Machine, why: string): void {
    this.noteInheritedStarts(machine);
    const now = this.context.clock.now();
    const gone = [...machine.tasks].filter((task) => !mayStartLate(task, now));
    this.tasksLost(machine, gone, why);
    for (const task of gone) this.taskExits.taskGone(task);
    for (const task of machine.tasks) this.resetToUnstarted(task);
    machine.reported.taskListText = null;
    clearReportedTasks(machine);
  }

  private tasksLost(machine: Machine, tasks: readonly Task[], why: string): void {
    if (tasks.length > 0)
      this.context.log.info(LogEvent.TasksLost, { machine: machine.name, why, tasks: tasks.length });
  }

  /** The task is proved not to be on its machine. */
  taskGone(task: Task): void {
    this.taskExits.taskGone(task);
  }
}
