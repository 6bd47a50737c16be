/** The leader's scheduler: takes the snapshot of each placement round and carries out its actions. */
import type { Micros } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { firstFencingToken } from "../fencing-token.js";
import type { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import type { Reservation } from "./capacity-reservation.js";
import type { InspectionCounter } from "./placement/ranking.js";
import { decideRound, newRoundState } from "./placement-round.js";
import { type PoolSummary, summarizePools } from "./pool-summary.js";
import type { PreemptAction } from "./preemption.js";
import { applyAction, type RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { writePriorityOf } from "./start-deadline.js";

/** Searches for victims that a round may make; fewer under load. */
export const MAX_PREEMPTION_SEARCHES = 24;
const MAX_PREEMPTION_SEARCHES_UNDER_LOAD = 4;
/** Placements may wait so long for the key-value store's writes, in seconds. */
const MIN_RECORDS_AHEAD_S = 2;
const MAX_RECORDS_AHEAD_S = 8;
/** Placements ahead of their records are to last for so many times the interval between rounds. */
const ROUND_INTERVAL_FACTOR = 1.5;
/** The share of the placements ahead of their records that is kept for jobs that are not urgent. */
const NON_URGENT_SHARE = 0.2;

/** Machines of a reservation that the log names. */
const MAX_LOGGED_MACHINES = 5;

/** Carries out what placement rounds decide, through records and commands. */
export class Scheduler {
  readonly inspection: InspectionCounter = { count: 0 };
  private readonly roundState = newRoundState();
  private reportedInspections = 0;
  private lastRoundAt: Micros;

  constructor(
    private readonly context: ShardContext,
    private readonly taskStates: TaskStateWriter,
  ) {
    this.lastRoundAt = context.clock.now();
  }

  /**
   * What is known now, for decisions. `recordBudget`: only a round uses it, and it takes a walk over all jobs, so plans do
   * without.
   */
  snapshot(recordBudget: SchedulerSnapshot["recordBudget"] = { urgent: 0, normal: 0 }): SchedulerSnapshot {
    const { shard, clock, settings, options, lease, loadShedder } = this.context;
    return {
      now: clock.now(),
      shard,
      settings,
      options,
      heartbeatTimeout: settings.workers.heartbeatInterval * options.silentReports,
      firstFencingToken: firstFencingToken(lease),
      maxPreemptionSearches: loadShedder.atLeast("reduced")
        ? MAX_PREEMPTION_SEARCHES_UNDER_LOAD
        : MAX_PREEMPTION_SEARCHES,
      recordBudget,
      guaranteesOvercommitted: this.roundState.guaranteesOvercommitted,
      inspection: this.inspection,
    };
  }

  /** Until well into the next round, whenever that will be: else writes would be left unused between slow rounds. */
  private recordsAheadS(): number {
    const sinceLastRoundS = (this.context.clock.now() - this.lastRoundAt) / 1_000_000;
    return Math.min(MAX_RECORDS_AHEAD_S, Math.max(MIN_RECORDS_AHEAD_S, ROUND_INTERVAL_FACTOR * sinceLastRoundS));
  }

  /**
   * Ranges that may yet come to wait for their placements to be on record. Urgent jobs are limited by urgent ones only,
   * since their writes go first; all others keep a share of their own, so that they go on however much is urgent. Ends of
   * jobs wait in the same queues, and must not keep all starts out.
   */
  private recordBudget(): SchedulerSnapshot["recordBudget"] {
    const waiting = { urgent: 0, normal: 0 };
    for (const job of this.context.shard.jobs.values()) {
      if (job.cancelled || job.outcomePending) continue;
      const priority = writePriorityOf(job, this.context.settings);
      for (const { placementPendingSince } of job.ranges) if (placementPendingSince !== null) waiting[priority] += 1;
    }
    const ahead = this.context.transactions.writesPerSecond * this.recordsAheadS();
    const remaining = { urgent: ahead - waiting.urgent, normal: ahead - waiting.urgent - waiting.normal };
    return {
      urgent: Math.floor(remaining.urgent),
      normal: Math.floor(Math.max(remaining.normal, ahead * NON_URGENT_SHARE - waiting.normal)),
    };
  }

  /** For the log: what each pool holds, and what waits. */
  summarize(): PoolSummary {
    return summarizePools(this.snapshot());
  }

  /** The job for which capacity is reserved, if there is one. */
  get reservedForJob(): string | null {
    return this.roundState.reservation?.job.spec.id ?? null;
  }

  /** Runs one placement round, unless the lease has expired. */
  runRound(): void {
    if (!this.context.lease.isValid()) return;
    this.context.shard.maxRecordBytes = this.context.transactions.maxValueBytes;
    const snapshot = this.snapshot(this.recordBudget());
    this.lastRoundAt = snapshot.now;
    for (const action of decideRound(snapshot, this.roundState)) this.execute(action);
    this.context.shard.backlog = this.hasWaitingTasks();
    this.reportInspections();
  }

  private hasWaitingTasks(): boolean {
    for (const {
      spec,
      cancelled,
      awaitingDependencies,
      placedTasks,
      completedTasks,
    } of this.context.shard.jobs.values())
      if (!cancelled && !awaitingDependencies && placedTasks.size + completedTasks < spec.tasks) return true;
    return false;
  }

  /** Reports how many machines and tasks have been inspected since the last report. */
  reportInspections(): void {
    this.context.onInspected?.(this.inspection.count - this.reportedInspections);
    this.reportedInspections = this.inspection.count;
  }

  /** Carries out one action: one short case for each kind. */
  private execute(action: RoundAction): void {
    const { context } = this;
    const { shard, log } = context;
    applyAction(shard, action);
    switch (action.kind) {
      case "place":
        this.taskStates.recordPlacement(action.task.range);
        return;
      case "preempt":
        this.logPreemption(action);
        context.scheduleCommands(action.machine);
        return;
      case "dissolve":
        for (const { machine } of action.job.placedTasks) if (machine !== null) context.scheduleCommands(machine);
        return;
      case "guarantees":
        log.info(action.overcommitted ? LogEvent.GuaranteesOvercommitted : LogEvent.GuaranteesSatisfiable, {
          claimedCpus: action.claimed / 1_000,
          capacityCpus: action.capacity / 1_000,
        });
        return;
      case "reserve":
        this.logReservation(action.reservation);
        return;
      case "unreserve":
        log.info(LogEvent.ReservationReleased, { job: action.job.spec.id, reason: action.reason });
        return;
      case "no capacity to reserve":
        log.info(LogEvent.ReservationImpossible, { job: action.job.spec.id, tasks: action.job.spec.tasks });
        return;
      case "postpone search":
      case "wait":
    }
  }

  private logPreemption({ by, machine, victims }: PreemptAction & { readonly kind: "preempt" }): void {
    this.context.log.info(LogEvent.TaskPreempted, {
      task: by.name,
      machine: machine.name,
      victims: victims.map(({ task }) => task.name),
      reasons: victims.map(({ reason }) => reason),
    });
  }

  private logReservation({ job, machines, until }: Reservation): void {
    const now = this.context.clock.now();
    const machineNames = [...machines.keys()].slice(0, MAX_LOGGED_MACHINES).map(({ name }) => name);
    this.context.log.info(LogEvent.CapacityReserved, {
      job: job.spec.id,
      waitedS: Math.round((now - job.waitingSince) / 1_000_000),
      machines: machines.size === 0 ? "its team's limit" : machineNames,
      atMostS: Math.round((until - now) / 1_000_000),
    });
  }
}
