/** The periodic checks of a shard leader: its lease, its machines, back-pressure, and a summary in the log. */
import { type Micros, ms, seconds, type Timer } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import type { ShardContext } from "../context.js";
import type { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import type { BackpressureSignal } from "../overload/backpressure-signal.js";
import type { Scheduler } from "../scheduling/scheduler.js";
import type { AnsweredStarts } from "../workers/answered-starts.js";
import type { CommandDispatcher } from "../workers/command-dispatcher.js";
import type { FailureDetector } from "../workers/failure-detector.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import { endFaultByStableRun } from "../workers/machine-trials.js";
import { countUncertainStarts } from "../workers/start-commands.js";
import type { WorkerLeaseExpiry } from "../workers/worker-lease-expiry.js";
import type { MachineTypeRefresher } from "./machine-type-refresher.js";

const CHECK_INTERVAL = ms(250);
/** A longer time between two checks means that this process was stalled. */
const STALL_THRESHOLD = seconds(1.5);
const SUMMARY_INTERVAL = seconds(30);

/** Collaborators of `LeaderChecks`. */
export interface LeaderChecksDependencies {
  readonly context: ShardContext;
  readonly failureDetector: FailureDetector;
  readonly workerLeaseExpiry: WorkerLeaseExpiry;
  readonly commands: CommandDispatcher;
  readonly machineTypeRefresher: MachineTypeRefresher;
  readonly backpressure: BackpressureSignal;
  readonly scheduler: Scheduler;
  readonly heartbeats: HeartbeatProcessor;
  readonly taskStates: TaskStateWriter;
  readonly answeredStarts: AnsweredStarts;
}

/** Runs the checks every 250 ms, from `start` to `stop`. */
export class LeaderChecks {
  private stopped = false;
  private timer: Timer | null = null;
  private leaseWasValid = true;
  private leaseInvalidSince: Micros = 0 as Micros;
  private lastCheckAt: Micros = 0 as Micros;
  private lastSummaryAt: Micros;

  constructor(private readonly dependencies: LeaderChecksDependencies) {
    this.lastSummaryAt = dependencies.context.clock.now();
  }

  /** Runs the checks at once, and periodically from then on. */
  start(): void {
    this.run();
  }

  /** No check runs from now on. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
  }

  private run(): void {
    if (this.stopped) return;
    const { clock, log } = this.dependencies.context;
    try {
      this.check();
    } catch (error) {
      log.error(LogEvent.LeaderTickFailed, { error: describeError(error) });
    }
    this.timer = clock.after(CHECK_INTERVAL, () => this.run());
  }

  private check(): void {
    const leaseValid = this.dependencies.context.lease.isValid();
    this.observeLease(leaseValid);
    this.detectStall();
    if (!leaseValid) return;
    this.checkMachines();
    this.dependencies.machineTypeRefresher.refreshIfDue();
    this.dependencies.backpressure.publish();
    this.dependencies.answeredStarts.publish();
    this.summarizeIfDue();
  }

  private observeLease(valid: boolean): void {
    if (valid === this.leaseWasValid) return;
    const { context, failureDetector } = this.dependencies;
    const { clock, log, lease } = context;
    if (valid) failureDetector.restartSettling();
    log.info(valid ? LogEvent.LeaseRegained : LogEvent.LeaseExpired, { shard: lease.shard });
    if (valid) context.eventListener?.({ kind: "state away", span: (clock.now() - this.leaseInvalidSince) as Micros });
    else this.leaseInvalidSince = clock.now();
    this.leaseWasValid = valid;
  }

  /** After a stall of this process every worker seems silent until the heartbeats queued meanwhile are processed. */
  private detectStall(): void {
    const { context, failureDetector } = this.dependencies;
    const pause = context.clock.now() - this.lastCheckAt;
    if (this.lastCheckAt !== 0 && pause > STALL_THRESHOLD) failureDetector.restartSettling();
    this.lastCheckAt = context.clock.now();
  }

  private checkMachines(): void {
    const { context, failureDetector, workerLeaseExpiry, commands } = this.dependencies;
    const { clock, log, shard } = context;
    workerLeaseExpiry.expireLeases();
    failureDetector.checkSilence();
    for (const machine of shard.machines.values()) {
      commands.applyEvictions(machine);
      if (!endFaultByStableRun(machine, clock.now())) continue;
      log.info(LogEvent.MachineRecovered, { machine: machine.name });
      context.scheduleRound();
    }
  }

  private summarizeIfDue(): void {
    const { context, scheduler, heartbeats, taskStates } = this.dependencies;
    const { clock, log, shard, transactions } = context;
    if (clock.now() - this.lastSummaryAt <= SUMMARY_INTERVAL) return;
    this.lastSummaryAt = clock.now();
    log.info(LogEvent.CapacitySummarized, {
      ...scheduler.summarize(),
      jobs: shard.jobs.size,
      tasksInMemory: shard.taskLimit.held,
      maxTasks: Number.isFinite(shard.taskLimit.max) ? shard.taskLimit.max : null,
      failing: heartbeats.takeFailureCounts(),
      starts: countUncertainStarts(shard.machines.values()),
      reports: heartbeats.takeFreshnessCounts(),
      records: { ...taskStates.takePlacementDelays(), ...transactions.takeSummary() },
    });
  }
}
