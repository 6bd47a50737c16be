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

/** The maximum number of victim searches in a round; lower under load shedding. */
export const MAX_VICTIM_SEARCHES = 24;
const MAX_PREEMPTION_SEARCHES_UNDER_LOAD = 4;
/** Bounds of how far placements may run ahead of their records, in seconds of key-value store writes. */
const MIN_RECORDS_AHEAD_S = 2;
const MAX_RECORDS_AHEAD_S = 8;
/** Placements run ahead of their records by this multiple of the interval between rounds. */
const ROUND_INTERVAL_FACTOR = 1.5;
/** The share of the placements ahead of their records that is set aside for non-urgent jobs. */
const NON_URGENT_SHARE = 0.2;

/** The maximum number of machine names logged for a reservation. */
const MAX_LOGGED_MACHINES = 5;

/** Runs placement rounds and carries out their actions by writing records and sending commands. */
export class Scheduler {
  readonly inspectionCounter: InspectionCounter = { count: 0 };
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
   * The present input of scheduling decisions. `recordBudget` is used by rounds only and takes a walk over all jobs to
   * compute, so scale plans omit it.
   */
  snapshot(recordBudget: SchedulerSnapshot["recordBudget"] = { urgent: 0, normal: 0 }): SchedulerSnapshot {
    const { shard, clock, settings, options, lease, loadShedder } = this.context;
    return {
      now: clock.now(),
      shard,
      settings,
      options,
      heartbeatTimeout: settings.workers.heartbeatInterval * options.silentReports,
      minFencingToken: firstFencingToken(lease),
      maxVictimSearches: loadShedder.atLeast("reduced") ? MAX_PREEMPTION_SEARCHES_UNDER_LOAD : MAX_VICTIM_SEARCHES,
      recordBudget,
      guaranteesOvercommitted: this.roundState.guaranteesOvercommitted,
      inspection: this.inspectionCounter,
    };
  }

  /**
   * How far placements may run ahead of their records, in seconds of writes: past the expected start of the next round,
   * or writes would go unused between slow rounds.
   */
  private recordsAheadS(): number {
    const sinceLastRoundS = (this.context.clock.now() - this.lastRoundAt) / 1_000_000;
    return Math.min(MAX_RECORDS_AHEAD_S, Math.max(MIN_RECORDS_AHEAD_S, ROUND_INTERVAL_FACTOR * sinceLastRoundS));
  }

  /**
   * How many more task ranges may have placements that are not on record yet. Urgent jobs are limited by urgent writes
   * only, since those are sent first. Other jobs keep a share of their own, so that they progress however many writes
   * are urgent. Queued outcome records are not counted: they share the queues, and must not block all starts.
   */
  private recordBudget(): SchedulerSnapshot["recordBudget"] {
    const pendingRanges = { urgent: 0, normal: 0 };
    for (const job of this.context.shard.jobs.values()) {
      if (job.cancelled || job.outcomePending) continue;
      const priority = writePriorityOf(job, this.context.settings);
      for (const { placementPendingSince } of job.ranges)
        if (placementPendingSince !== null) pendingRanges[priority] += 1;
    }
    const writesAhead = this.context.transactions.writesPerSecond * this.recordsAheadS();
    const remaining = {
      urgent: writesAhead - pendingRanges.urgent,
      normal: writesAhead - pendingRanges.urgent - pendingRanges.normal,
    };
    return {
      urgent: Math.floor(remaining.urgent),
      normal: Math.floor(Math.max(remaining.normal, writesAhead * NON_URGENT_SHARE - pendingRanges.normal)),
    };
  }

  /** The machine pools and waiting tasks, for the log. */
  summarize(): PoolSummary {
    return summarizePools(this.snapshot());
  }

  /** Id of the job for which capacity is reserved; null if there is none. */
  get reservedForJob(): string | null {
    return this.roundState.reservation?.job.spec.id ?? null;
  }

  /** Runs one placement round and carries out its actions; does nothing once the lease has expired. */
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

  /** Reports how many machines and tasks have been inspected since the previous report. */
  reportInspections(): void {
    this.context.onInspected?.(this.inspectionCounter.count - this.reportedInspections);
    this.reportedInspections = this.inspectionCounter.count;
  }

  /** Applies one action to the shard state, then writes, sends or logs what it requires. */
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
