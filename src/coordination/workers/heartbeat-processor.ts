import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import { attemptOf, type Task } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { ExitReason, Heartbeat, TaskStatus } from "../../protocol/worker.js";
import { type Micros, seconds } from "../../transport/clock.js";
import {
  exponentialBackoff,
  FENCING_SEQUENCES,
  fencingTokenOf,
  firstFencingToken,
  type ShardContext,
} from "../context.js";
import type { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import { zoneAllowed, zoneCounts } from "../scheduling/eligibility.js";
import { attributeFailure, clearSuspicion, STABLE_RUN_TIME } from "./failure-attribution.js";
import { classifyHeartbeat, type HeartbeatFreshness, type HeartbeatSource } from "./heartbeat-freshness.js";
import { commandsArrive, isReachable, recordHeartbeat, recordStatusReply, responsesArrive } from "./reachability.js";

const MIN_RETRY_DELAY = seconds(0.5);
const MAX_RETRY_DELAY = seconds(30);
/** Reports in a row that look older than what is known, before the worker is asked. */
const MAX_SUSPECT_HEARTBEATS = 2;
const WORKER_FAILOVER_DELAY = seconds(3.5);

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

/** Takes in what workers say and concludes from it which tasks are where, or surely nowhere. */
export class HeartbeatProcessor {
  private failedStarts = 0;
  private suspectCount = 0;
  private unverifiedCount = 0;

  constructor(
    private readonly context: HeartbeatProcessorContext,
    private readonly taskStates: Pick<TaskStateWriter, "recordSoon" | "finishIfComplete">,
  ) {}

  /** Nothing is concluded beyond what the message is evidence of (coordination/workers/heartbeat-freshness.ts). */
  process(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource): HeartbeatFreshness {
    const { clock, lease, log } = this.context;
    const needed = Math.max(firstFencingToken(lease), machine.counters.resetToken);
    const freshness = classifyHeartbeat(machine.counters, heartbeat, source, needed);
    switch (freshness) {
      case "stale":
        return freshness;
      case "suspect":
        this.suspectCount += 1;
        machine.counters.suspectHeartbeats += 1;
        // One may have been overtaken on its way; a worker that has begun anew goes on like that.
        if (machine.counters.suspectHeartbeats >= MAX_SUSPECT_HEARTBEATS) {
          machine.counters.suspectHeartbeats = 0;
          machine.counters.suspectedAt = clock.now();
          this.context.queryStatus(machine);
        }
        return freshness;
      case "unverified":
        // Whom to ask and in which session; no sign of life.
        this.unverifiedCount += 1;
        machine.address ??= heartbeat.address;
        if (machine.counters.incarnation === null || heartbeat.incarnation >= machine.counters.incarnation) {
          if (machine.counters.resetToken === 0) this.updateCounters(machine, heartbeat);
          machine.address = heartbeat.address;
        }
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
    // A worker that has had no answer waits for four seconds before it tries elsewhere. What comes sooner has overtaken the
    // answer to a command: taken for a lost one, it cost a question and a token at every other start.
    const skipped =
      machine.counters.verified &&
      !machine.commands.inFlight &&
      clock.now() - machine.counters.learnedAt > WORKER_FAILOVER_DELAY &&
      heartbeat.incarnation === machine.counters.incarnation &&
      Number(heartbeat.sequence) > Number(machine.counters.sequence) + 1;
    const fresh = !machine.counters.verified || heartbeat.incarnation !== machine.counters.incarnation;
    machine.counters.verified = true;
    machine.counters.suspectHeartbeats = 0;
    // A session begins with a whole lease, and may have begun just now: counted from when the machine was rented
    // or found, or from an answer that never got there, the leases of workers seemed over while they ran tasks.
    if (fresh) machine.lease.renewedAt = clock.now();
    if (heartbeat.incarnation !== machine.counters.incarnation || heartbeat.token !== machine.counters.highestToken)
      machine.reported.taskListText = null;
    this.updateCounters(machine, heartbeat);
    this.updateReachability(machine, heartbeat, source, skipped);
    machine.address = heartbeat.address;
    machine.reachability.lastHeartbeatAt = clock.now();
    this.logReachabilityChange(machine);
    if (machine.state !== "up") {
      machine.state = "up";
      machine.load.idleSince = clock.now();
      log.info(LogEvent.MachineUp, { machine: machine.name, zone: machine.zone, spot: machine.spot });
      this.context.eventListener?.({ kind: "machine up", ...eventFieldsOf(machine) });
      this.context.scheduleRound();
    }
    if (heartbeat.reclaimNoticeS === null) machine.lifecycle.reclaimAt = null;
    else if (machine.lifecycle.reclaimAt === null) {
      machine.lifecycle.reclaimAt = (clock.now() + seconds(heartbeat.reclaimNoticeS)) as Micros;
      this.context.log.info(LogEvent.MachineReclaimAnnounced, {
        machine: machine.name,
        leftS: heartbeat.reclaimNoticeS,
      });
      this.context.eventListener?.({
        kind: "machine notice",
        span: seconds(heartbeat.reclaimNoticeS),
        ...eventFieldsOf(machine),
      });
      this.context.scheduleRound();
    }
    if (heartbeat.token < needed) return freshness;
    machine.counters.resetToken = 0;
    if (!heartbeat.taskListUnchanged) {
      this.reconcile(machine, heartbeat);
      // Only what the list did itself is known to follow from it: a start not seen yet may still be called lost by it.
      machine.reported.taskListText = allStartsObserved(machine) ? heartbeat.taskListText : null;
    }
    return freshness;
  }

  private updateCounters(machine: Machine, heartbeat: Heartbeat): void {
    const { clock, lease } = this.context;
    machine.counters.incarnation = heartbeat.incarnation;
    machine.counters.sequence = heartbeat.sequence;
    machine.counters.highestToken = heartbeat.token;
    machine.counters.learnedAt = clock.now();
    // Whatever token it shows of ours, commands under a lower one are dropped there.
    const fence = Number(heartbeat.token) - firstFencingToken(lease);
    if (fence > machine.fencing.sequence && fence < FENCING_SEQUENCES) machine.fencing.sequence = fence;
  }

  /** What the message tells of answers before it; `skipped`: messages before it went elsewhere or got lost. */
  private updateReachability(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource, skipped: boolean): void {
    const { lease, loadShedder } = this.context;
    const { reachability } = machine;
    // Answered late by ourselves, the worker has gone elsewhere.
    if (loadShedder.atLeast("reduced")) return;
    if (source.kind === "status-reply") recordStatusReply(reachability, heartbeat.token, source.askedAt);
    const ask = source.kind === "status-reply" ? skipped : recordHeartbeat(reachability, heartbeat.token, skipped);
    if (ask) reachability.probeToken = fencingTokenOf(lease, machine) + 1;
  }

  /** Says once that a machine is heard and not reached, and once that it is again. */
  private logReachabilityChange(machine: Machine): void {
    const { clock, log } = this.context;
    const reached = isReachable(machine.reachability);
    if (reached === (machine.reachability.unreachableSince === null)) return;
    machine.reachability.unreachableSince = reached ? null : clock.now();
    if (reached) {
      log.info(LogEvent.WorkerReachable, { machine: machine.name });
      this.context.scheduleRound();
      return;
    }
    log.info(LogEvent.WorkerUnreachable, {
      machine: machine.name,
      commands: commandsArrive(machine.reachability),
      answers: responsesArrive(machine.reachability),
      tasks: machine.tasks.size,
    });
  }

  /** The earlier session is over, and with it all that was started in it and all commands that name it. */
  private startNewIncarnation(machine: Machine, heartbeat: Heartbeat): void {
    const begun = [...machine.tasks].filter(({ startCommand }) => startCommand.kind !== "none");
    this.context.log.info(LogEvent.WorkerIncarnationChanged, {
      machine: machine.name,
      session: heartbeat.incarnation,
      tasks: begun.length,
    });
    for (const task of begun) this.taskGone(task);
    machine.reported.unexpectedTasks = new Map();
    machine.reported.exitedTasks = new Map();
  }

  /**
   * Its counters have begun anew: nothing runs there, but commands of before may land once more, since the session's number
   * may be the same and any token is accepted. So it is spoken to under a higher one first, and what was there counts
   * until it shows that one.
   */
  private handleCounterReset(machine: Machine, heartbeat: Heartbeat): void {
    const { clock, lease, log } = this.context;
    log.info(LogEvent.WorkerCountersReset, { machine: machine.name, tasks: machine.tasks.size });
    const token = fencingTokenOf(lease, machine);
    for (const task of machine.tasks) {
      if (task.startCommand.kind === "none") continue;
      task.startCommand = { kind: "uncertain", token };
      this.context.shard.setReportedState(task, null);
      task.runningSince = null;
    }
    machine.fencing.sequence += 1;
    machine.counters.resetToken = fencingTokenOf(lease, machine);
    Object.assign(machine.reachability, {
      consecutiveTimeouts: 0,
      probeToken: null,
      heartbeatsWithoutProbe: 0,
      probeSentAt: null,
    });
    machine.counters.expiredIncarnation = null;
    machine.lease.expired = false;
    machine.lease.renewedAt = clock.now();
    machine.counters.verified = false;
    machine.counters.suspectHeartbeats = 0;
    machine.reported.taskListText = null;
    machine.reported.unexpectedTasks = new Map();
    machine.reported.exitedTasks = new Map();
    machine.load.cachedImages.clear();
    machine.counters.incarnation = heartbeat.incarnation;
    machine.counters.sequence = heartbeat.sequence;
    machine.counters.highestToken = heartbeat.token;
    machine.counters.learnedAt = clock.now();
    machine.address = heartbeat.address;
    machine.reachability.lastHeartbeatAt = clock.now();
    this.context.announceFencingToken(machine);
  }

  /** For the log: reports that came late or may have, since this was last asked. */
  takeFreshnessCounts(): { readonly late: number; readonly unproven: number } {
    const { suspectCount, unverifiedCount } = this;
    this.suspectCount = 0;
    this.unverifiedCount = 0;
    return { late: suspectCount, unproven: unverifiedCount };
  }

  /** The machine, its tasks and every command sent to it are surely gone. */
  machineLost(machine: Machine, why: string): void {
    if (machine.tasks.size > 0) {
      this.context.log.info(LogEvent.TasksLost, { machine: machine.name, why, tasks: machine.tasks.size });
    }
    for (const task of [...machine.tasks]) this.taskGone(task);
    machine.reported.taskListText = null;
    machine.reported.unexpectedTasks = new Map();
    machine.reported.exitedTasks = new Map();
  }

  /** Proved not to be on its machine. */
  taskGone(task: Task): void {
    if (task.desired.kind === "placed") task.desired = { kind: "waiting", attempt: task.desired.attempt };
    const { job } = task;
    this.context.shard.releaseTask(task);
    this.context.scheduleRound();
    if (job.cancelled) this.taskStates.finishIfComplete(job);
    else this.taskStates.recordSoon(task.range);
  }

  private reconcile(machine: Machine, heartbeat: Heartbeat): void {
    const strays = new Map<string, Uint64>();
    const exited = new Map<string, Uint64>();
    const reconcileListed = new Map<string, TaskStatus[]>();
    for (const entry of heartbeat.tasks) {
      const same = reconcileListed.get(entry.task) ?? [];
      same.push(entry);
      reconcileListed.set(entry.task, same);
      (entry.state === "exited" ? exited : strays).set(entry.task, entry.attempt);
    }
    let vanished = false;
    for (const task of [...machine.tasks]) {
      const attempt = attemptOf(task.desired);
      const entry = reconcileListed.get(task.name)?.find((candidate) => candidate.attempt === attempt);
      if (entry === undefined) {
        vanished ||= task.startCommand.kind === "observed";
        this.reconcileUnlisted(machine, task, heartbeat.token);
      } else {
        if (entry.state !== "exited") strays.delete(task.name);
        this.listed(machine, task, entry);
      }
    }
    machine.reported.unexpectedTasks = strays;
    machine.reported.exitedTasks = exited;
    if (vanished) {
      this.context.log.info(LogEvent.TasksVanished, { machine: machine.name });
      machine.fencing.sequence += 1;
      this.context.announceFencingToken(machine);
    }
    if (strays.size > 0) {
      this.context.log.info(LogEvent.UnexpectedTasksReported, {
        machine: machine.name,
        tasks: [...strays.keys()].slice(0, 5),
      });
    }
  }

  private reconcileUnlisted(machine: Machine, task: Task, token: Uint64): void {
    switch (task.startCommand.kind) {
      case "none":
      case "sending":
        return;
      case "uncertain":
        // Only a worker past the token under which the start was sent can no longer get it.
        if (token <= task.startCommand.token) return;
        task.startCommand = { kind: "none" };
        // Where commands do not arrive it would wait for as long as they don't. Beyond its team's limit, or where its job's other
        // tasks keep it out of the zone, it must not be started: one record may be older than another that took its place, and a
        // new holder takes over both.
        if (
          task.job.cancelled ||
          task.stopRequest !== null ||
          !isReachable(machine.reachability) ||
          !this.context.shard.withinLimit(task.job.spec, 0) ||
          !satisfiesZoneRules(task, machine)
        )
          this.taskGone(task);
        else if (task.machine !== null) this.context.scheduleCommands(task.machine);
        return;
      case "observed":
        // In one life of a worker no attempt vanishes that it was not told to forget. It has begun anew, and its start may
        // land there once more until a higher token is shown.
        task.startCommand = { kind: "uncertain", token: fencingTokenOf(this.context.lease, machine) };
        this.context.shard.setReportedState(task, null);
        task.runningSince = null;
    }
  }

  private listed(machine: Machine, task: Task, entry: TaskStatus): void {
    const { clock } = this.context;
    task.startCommand = { kind: "observed" };
    if (entry.state === "exited") {
      this.taskExited(machine, task, entry.reason ?? "error");
      return;
    }
    if (entry.state === "running" && task.state !== "running") {
      task.runningSince = clock.now();
      this.context.shard.rememberImageOf(machine, task);
    }
    this.context.shard.setReportedState(task, entry.state);
  }

  private taskExited(machine: Machine, task: Task, reason: ExitReason): void {
    const { shard, clock, log } = this.context;
    const { job } = task;
    const now = clock.now();
    if (reason === "done") {
      shard.rememberImageOf(machine, task);
      const ran = (task.runningSince === null ? 0 : now - task.runningSince) as Micros;
      this.context.eventListener?.({ kind: "task done", job: job.spec.id, index: task.index, ran });
      task.desired = { kind: "done" };
      shard.releaseTask(task);
      job.completedTasks += 1;
      clearSuspicion(job);
      if (job.completedTasks >= job.spec.tasks || job.cancelled) this.taskStates.finishIfComplete(job);
      else this.taskStates.recordSoon(task.range);
      this.context.scheduleRound();
      return;
    }
    // Reports that say nothing new do not come by `listed`.
    if (task.runningSince !== null && now - task.runningSince > STABLE_RUN_TIME) task.failureCount = 0;
    if (reason !== "stopped") {
      log.info(LogEvent.TaskFailed, { task: task.name, machine: machine.name, reason });
      this.context.onTaskFailed(task, reason);
      task.failureCount += 1;
      task.earliestStart = (now +
        exponentialBackoff(task.failureCount - 1, MIN_RETRY_DELAY, MAX_RETRY_DELAY)) as Micros;
      if (reason === "error") this.attributeFailure(machine, task, now);
      // A refusal for room means that our picture of the machine is off until the next report.
      else
        machine.lifecycle.quarantinedUntil = Math.max(machine.lifecycle.quarantinedUntil, now + seconds(1)) as Micros;
    }
    this.taskGone(task);
  }

  /** Failing machines and failing jobs are both backed off, separately. */
  private attributeFailure(machine: Machine, task: Task, now: Micros): void {
    const { shard, log, eventListener } = this.context;
    const { job } = task;
    const before = job.onProbation;
    this.failedStarts += 1;
    const verdict = attributeFailure(task, machine, shard.jobs, shard.machines, now);
    if (verdict === "job" && !before)
      log.info(LogEvent.JobOnProbation, { job: job.spec.id, machines: [...job.failedMachines] });
    if (verdict !== "machine" || machine.lifecycle.drainReason !== null) return;
    machine.lifecycle.drainReason = "faulty";
    log.info(LogEvent.MachineFaulty, { machine: machine.name, jobs: [...machine.lifecycle.recentFailures.keys()] });
    eventListener?.({ kind: "machine faulty", ...eventFieldsOf(machine) });
  }

  /** For the log: jobs that fail wherever they are started, and starts that failed since this was last asked. */
  takeFailureCounts(): { readonly jobsOnTrial: number; readonly failedStarts: number } {
    const { failedStarts } = this;
    this.failedStarts = 0;
    let jobsOnTrial = 0;
    for (const { onProbation } of this.context.shard.jobs.values()) if (onProbation) jobsOnTrial += 1;
    return { jobsOnTrial, failedStarts };
  }
}
