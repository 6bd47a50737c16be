import type { Micros } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import { firstFencingToken } from "../fencing-token.js";
import type { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import { summarizePools } from "./candidate-index.js";
import type { InspectionCounter } from "./placement/ranking.js";
import { decideRound, newRoundState } from "./placement-round.js";
import { applyAction, type RoundAction } from "./round-action.js";
import type { SchedulerSnapshot } from "./scheduler-snapshot.js";
import { writePriorityOf } from "./start-deadline.js";

/** Looks for something to stop, a round; fewer where the processor is short. */
export const MAX_PREEMPTION_SEARCHES = 24;
const MAX_PREEMPTION_SEARCHES_UNDER_LOAD = 4;
/** Placements may wait so long for the state service's writes. */
const MIN_RECORDS_AHEAD_S = 2;
const MAX_RECORDS_AHEAD_S = 8;
/** Of what may be placed ahead of its records, what is not urgent keeps at least this. */
const NON_URGENT_SHARE = 0.2;

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
   * What is known now, for decisions. `records`: only a round uses it, and it takes a walk over all jobs, so plans do without.
   */
  snapshot(records: SchedulerSnapshot["recordBudget"] = { urgent: 0, normal: 0 }): SchedulerSnapshot {
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
      recordBudget: records,
      guaranteesOvercommitted: this.roundState.guaranteesOvercommitted,
      inspection: this.inspection,
    };
  }

  /** Until well into the next round, whenever that will be: else writes would be left unused between slow rounds. */
  private recordsAheadS(): number {
    const since = (this.context.clock.now() - this.lastRoundAt) / 1_000_000;
    return Math.min(MAX_RECORDS_AHEAD_S, Math.max(MIN_RECORDS_AHEAD_S, 1.5 * since));
  }

  /**
   * Ranges that may yet come to wait for their placements to be on record. What is urgent looks at its own kind only,
   * since its writes go first; all else keeps a share of its own, so that it goes on however much is urgent. Ends of
   * jobs wait in the same queues, and must not keep all starts out.
   */
  private recordBudget(): SchedulerSnapshot["recordBudget"] {
    const waiting = { urgent: 0, normal: 0 };
    for (const job of this.context.shard.jobs.values()) {
      if (job.cancelled || job.outcomePending) continue;
      const lane = writePriorityOf(job, this.context.settings);
      for (const { placementPendingSince } of job.ranges) if (placementPendingSince !== null) waiting[lane] += 1;
    }
    const ahead = this.context.transactions.writesPerSecond * this.recordsAheadS();
    const left = { urgent: ahead - waiting.urgent, normal: ahead - waiting.urgent - waiting.normal };
    return {
      urgent: Math.floor(left.urgent),
      normal: Math.floor(Math.max(left.normal, ahead * NON_URGENT_SHARE - waiting.normal)),
    };
  }

  /** For the log: what each pool holds, and what waits. */
  summarize(): ReturnType<typeof summarizePools> {
    return summarizePools(this.snapshot());
  }

  /** The job for which room that comes free is kept, if there is one. */
  get reservedForJob(): string | null {
    return this.roundState.reservation?.job.spec.id ?? null;
  }

  runRound(): void {
    if (!this.context.lease.isValid()) return;
    this.context.shard.maxRecordBytes = this.context.transactions.maxValueBytes;
    const snapshot = this.snapshot(this.recordBudget());
    this.lastRoundAt = snapshot.now;
    for (const action of decideRound(snapshot, this.roundState)) this.execute(action);
    this.reportInspections();
  }

  /** Tells of what has been looked at since it was last told. */
  reportInspections(): void {
    this.context.onInspected?.(this.inspection.count - this.reportedInspections);
    this.reportedInspections = this.inspection.count;
  }

  private execute(action: RoundAction): void {
    const { context } = this;
    const { shard, log } = context;
    applyAction(shard, action);
    switch (action.kind) {
      case "place":
        this.taskStates.recordPlacement(action.task.range);
        return;
      case "preempt": {
        const { by, machine, victims } = action;
        log.info(LogEvent.TaskPreempted, {
          task: by.name,
          machine: machine.name,
          victims: victims.map(({ task }) => task.name),
          reasons: victims.map(({ reason }) => reason),
        });
        this.context.scheduleCommands(machine);
        return;
      }
      case "dissolve":
        for (const { machine: on } of action.job.placedTasks) if (on !== null) this.context.scheduleCommands(on);
        return;
      case "guarantees":
        log.info(action.overcommitted ? LogEvent.GuaranteesOvercommitted : LogEvent.GuaranteesSatisfiable, {
          claimedCpus: action.claimed / 1_000,
          roomCpus: action.capacity / 1_000,
        });
        return;
      case "reserve": {
        const { job, machines, until } = action.reservation;
        log.info(LogEvent.CapacityReserved, {
          job: job.spec.id,
          waitedS: Math.round((context.clock.now() - job.waitingSince) / 1_000_000),
          machines: machines.size === 0 ? "its team's limit" : [...machines.keys()].slice(0, 5).map(({ name }) => name),
          atMostS: Math.round((until - context.clock.now()) / 1_000_000),
        });
        return;
      }
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
}
