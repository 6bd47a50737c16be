/** Processes workers' heartbeats and status replies, and concludes from each only what its freshness supports. */

import { eventFieldsOf } from "../../cluster/events.js";
import type { Machine } from "../../cluster/machine.js";
import type { Task } from "../../cluster/task.js";
import type { Heartbeat } from "../../protocol/worker.js";
import { type Micros, seconds } from "../../transport/clock.js";

import type { ShardContext } from "../context.js";
import { FENCING_SEQUENCES, fencingTokenOf, firstFencingToken } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";

import { classifyHeartbeat, type HeartbeatFreshness, type HeartbeatSource } from "./heartbeat-freshness.js";
import { ReachabilityTracker } from "./reachability-tracker.js";
import { TaskExitHandler, type TaskExitStateWriter } from "./task-exit-handler.js";
import { TaskListReconciler } from "./task-list-reconciliation.js";
import { TaskLossHandler } from "./task-loss-handler.js";

/** Consecutive heartbeats that look older than the known counters before a status query is sent. */
const MAX_SUSPECT_HEARTBEATS = 2;
/** Less than the 4 s for which a worker waits for a response before it tries another controller. */
const WORKER_FAILOVER_DELAY = seconds(3.5);

/** The parts of the shard context that the processor uses. */
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

/** Concludes from workers' messages which tasks run on a machine, have exited, or are proved absent from it. */
export class HeartbeatProcessor {
  private readonly reachability: ReachabilityTracker;
  private readonly taskExits: TaskExitHandler;
  private readonly taskLists: TaskListReconciler;
  private readonly taskLosses: TaskLossHandler;
  private suspectCount = 0;
  private unverifiedCount = 0;

  constructor(
    private readonly context: HeartbeatProcessorContext,
    taskStates: TaskExitStateWriter,
  ) {
    this.reachability = new ReachabilityTracker(context);
    this.taskExits = new TaskExitHandler(context, taskStates);
    this.taskLists = new TaskListReconciler(context, this.taskExits);
    this.taskLosses = new TaskLossHandler(context, this.taskExits);
  }

  /** Updates the machine as far as the message's freshness allows (coordination/workers/heartbeat-freshness.ts). */
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
        this.taskLosses.handleNewIncarnation(machine, heartbeat.incarnation);
        break;
      case "verified":
      case "fenced":
    }
    this.handleVerified(machine, heartbeat, source);
    if (heartbeat.token >= neededToken) this.handleFenced(machine, heartbeat);
    return freshness;
  }

  /** A single one may have been overtaken in transit; a worker whose counters were reset keeps sending them. */
  private handleSuspect(machine: Machine): void {
    const { counters } = machine;
    this.suspectCount += 1;
    counters.suspectHeartbeats += 1;
    if (counters.suspectHeartbeats < MAX_SUSPECT_HEARTBEATS) return;
    counters.suspectHeartbeats = 0;
    counters.suspectedAt = this.context.clock.now();
    this.context.queryStatus(machine);
  }

  /** Records the address and counters for a status query; the message is no proof that the worker is alive. */
  private handleUnverified(machine: Machine, heartbeat: Heartbeat): void {
    const { counters } = machine;
    this.unverifiedCount += 1;
    machine.address ??= heartbeat.address;
    if (counters.incarnation !== null && heartbeat.incarnation < counters.incarnation) return;
    if (counters.resetToken === 0) this.updateCounters(machine, heartbeat);
    machine.address = heartbeat.address;
  }

  /** The message proves that the worker is alive and in this incarnation. */
  private handleVerified(machine: Machine, heartbeat: Heartbeat, source: HeartbeatSource): void {
    const { clock } = this.context;
    const { counters } = machine;
    const missedHeartbeats = this.hasMissedHeartbeats(machine, heartbeat);
    const firstVerified = !counters.verified || heartbeat.incarnation !== counters.incarnation;
    counters.verified = true;
    counters.suspectHeartbeats = 0;
    // An incarnation starts with a full lease and may have started just now. Counted from the machine's provisioning or
    // discovery, or from a response that was never delivered, leases appeared expired while their workers ran tasks.
    if (firstVerified) machine.lease.renewedAt = clock.now();
    if (heartbeat.incarnation !== counters.incarnation || heartbeat.token !== counters.highestToken)
      machine.reported.taskListText = null;
    this.updateCounters(machine, heartbeat);
    this.reachability.update(machine, heartbeat, source, missedHeartbeats);
    machine.address = heartbeat.address;
    machine.reachability.lastHeartbeatAt = clock.now();
    this.reachability.logChange(machine);
    if (machine.state !== "up") this.markUp(machine);
    this.updateReclaimNotice(machine, heartbeat.reclaimNoticeS);
  }

  /** Only commands under this leader's own tokens can still take effect, so an unlisted task is not on the machine. */
  private handleFenced(machine: Machine, heartbeat: Heartbeat): void {
    machine.counters.resetToken = 0;
    if (!heartbeat.taskListUnchanged) this.taskLists.reconcile(machine, heartbeat);
  }

  /**
   * Whether heartbeats before this one were lost or went to another controller. A gap that shows sooner than a worker
   * fails over means that the heartbeat overtook the reply to a command: counted as a lost heartbeat, it cost a status
   * query and a token at every other start.
   */
  private hasMissedHeartbeats({ counters, commands }: Machine, heartbeat: Heartbeat): boolean {
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

  /** `noticeS`: seconds until the cloud reclaims the machine; null: no reclaim notice, or it was withdrawn. */
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
    // The worker drops commands under a lower token than the highest it has shown.
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
   * The worker's counters were reset: nothing runs there, but earlier commands may still be delivered and executed,
   * since the incarnation number may repeat and any token is accepted. A higher token is therefore announced first, and
   * the tasks stay assigned to the machine until the worker shows it.
   */
  private handleCounterReset(machine: Machine, heartbeat: Heartbeat): void {
    const { clock, lease, log } = this.context;
    log.info(LogEvent.WorkerCountersReset, { machine: machine.name, tasks: machine.tasks.size });
    this.taskLosses.handleCounterReset(machine);
    machine.fencing.sequence += 1;
    machine.counters.resetToken = fencingTokenOf(lease, machine);
    this.resetReachability(machine);
    machine.counters.expiredIncarnation = null;
    machine.lease.expired = false;
    machine.lease.renewedAt = clock.now();
    machine.counters.verified = false;
    machine.counters.suspectHeartbeats = 0;
    machine.load.cachedImages.clear();
    this.copyCounters(machine, heartbeat);
    machine.address = heartbeat.address;
    machine.reachability.lastHeartbeatAt = clock.now();
    this.context.announceFencingToken(machine);
  }

  private resetReachability({ reachability }: Machine): void {
    reachability.consecutiveTimeouts = 0;
    reachability.probeToken = null;
    reachability.heartbeatsWithoutProbe = 0;
    reachability.probeSentAt = null;
  }

  /** For the log: suspect (`late`) and unverified (`unproven`) heartbeats since the last call; resets both counts. */
  takeFreshnessCounts(): { readonly late: number; readonly unproven: number } {
    const { suspectCount, unverifiedCount } = this;
    this.suspectCount = 0;
    this.unverifiedCount = 0;
    return { late: suspectCount, unproven: unverifiedCount };
  }

  /** For the log: jobs on probation now, and starts that failed since the last call; resets the count of the latter. */
  takeFailureCounts(): { readonly jobsOnTrial: number; readonly failedStarts: number } {
    return this.taskExits.takeFailureCounts();
  }

  /** Releases all tasks of a machine that no longer exists (`TaskLossHandler.handleMachineLoss`). */
  handleMachineLoss(machine: Machine, why: string): void {
    this.taskLosses.handleMachineLoss(machine, why);
  }

  /** The worker's lease has expired, so all its tasks have ended (`TaskLossHandler.handleLeaseExpiry`). */
  handleLeaseExpiry(machine: Machine, why: string): void {
    this.taskLosses.handleLeaseExpiry(machine, why);
  }

  /** Releases a task that is proved absent from its machine. */
  releaseAbsentTask(task: Task): void {
    this.taskExits.releaseAbsentTask(task);
  }
}
