import type { Job } from "../../cluster/job.js";
import { createMachine, type Machine } from "../../cluster/machine.js";
import { ShardState } from "../../cluster/shard-state.js";
import type { MachineType } from "../../protocol/cloud.js";
import type { KeyChange } from "../../protocol/key-value-store.js";
import type { MachineLinks } from "../../protocol/links.js";
import type { Command, Heartbeat } from "../../protocol/worker.js";
import { MACHINE_TYPES_KEY } from "../../storage/keys.js";
import { type Micros, ms, seconds, type Timer } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import { Autoscaler } from "../autoscaling/autoscaler.js";
import type { CloudClient } from "../autoscaling/cloud-client.js";
import type { Services, ShardContext, ShardLease } from "../context.js";
import type { Extension, ShardExtension } from "../extension.js";
import { firstFencingToken, responseTokenOf } from "../fencing-token.js";
import { DependencyTracker } from "../jobs/dependency-tracker.js";
import { JobWatcher } from "../jobs/job-watcher.js";
import { TaskStateWriter } from "../jobs/task-state-writer.js";
import { LogEvent } from "../log-events.js";
import { BackpressureSignal } from "../overload/backpressure-signal.js";
import { Scheduler } from "../scheduling/scheduler.js";
import { CommandDispatcher } from "../workers/command-dispatcher.js";
import { ConcurrencyPools } from "../workers/concurrency-pools.js";
import { FailureDetector } from "../workers/failure-detector.js";
import { type HeartbeatFreshness, type HeartbeatSource, mayBeOvertaken } from "../workers/heartbeat-freshness.js";
import { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import { isOneWay } from "../workers/reachability.js";
import { StatusQueryQueue } from "../workers/status-query-queue.js";
import { UnreachableZones } from "../workers/unreachable-zones.js";
import { type PermittedReplies, pendingStops, permittedReplies } from "./lease-authority.js";

const TICK_INTERVAL = ms(250);
const FROM_HEARTBEAT: HeartbeatSource = { kind: "heartbeat" };
const MIN_ROUND_INTERVAL = ms(10);
/** Whether an answer got to its worker is asked so long after it. */
const PROBE_VERIFICATION_DELAY = seconds(1);
const STALL_THRESHOLD = seconds(1.5);
const SUMMARY_INTERVAL = seconds(30);
/** Commands sent at once: to machines that are heard, and to others. */
const RESPONSIVE_POOL_SIZE = 96;
const SILENT_POOL_SIZE = 16;
/** Between rounds under load. */
const ROUND_INTERVAL_UNDER_LOAD = seconds(1);
/** A round leaves this many times its own length to all else, above all to reports. */
const ROUND_REST_FACTOR = 4;
const MACHINE_TYPES_INTERVAL = seconds(30);
/** So many bytes of a range's value a task may take: attempt, machine name and punctuation. */
const BYTES_PER_TASK = 48;
const MAX_TASKS_PER_RANGE = 128;

export interface HeartbeatReply {
  readonly token: number;
  readonly commands: readonly Command[];
}

/** Acts for one block for as long as this process holds its lease. Everything in it dies with the lease. */
export class ShardLeader {
  private readonly context: ShardContext;
  private readonly heartbeats: HeartbeatProcessor;
  private readonly taskStates: TaskStateWriter;
  private readonly commands: CommandDispatcher;
  private readonly scheduler: Scheduler;
  private readonly autoscaler: Autoscaler;
  private stopped = false;
  private roundTimer: Timer | null = null;
  private roundDue: Micros = 0 as Micros;
  private lastRound: Micros = 0 as Micros;
  readonly acquiredAt: Micros;
  private leaseWasValid = true;
  private leaseInvalidSince: Micros = 0 as Micros;
  private machineTypesRefreshedAt: Micros = 0 as Micros;
  private lastTick: Micros = 0 as Micros;
  private lastSummaryAt: Micros;
  private readonly statusQueries: StatusQueryQueue;
  private readonly failureDetector: FailureDetector;
  private readonly jobWatcher: JobWatcher;
  private readonly dependencyTracker: DependencyTracker;
  private readonly unreachableZones: UnreachableZones;
  private readonly backpressure: BackpressureSignal;
  private readonly commandPools: ConcurrencyPools<Machine>;
  private roundGap: Micros = MIN_ROUND_INTERVAL;
  private extension: ShardExtension | null = null;

  constructor(
    private readonly services: Services,
    private readonly lease: ShardLease,
    private readonly cloud: CloudClient,
    private readonly machineTypes: Map<string, MachineType>,
    onFenced: () => void,
    onInconsistent: () => void,
    onUnreachable: () => Promise<void>,
    extension: Extension | null = null,
  ) {
    const { clock, settings } = services;
    const rangeSize = Math.max(
      1,
      Math.min(MAX_TASKS_PER_RANGE, Math.floor(settings.store.layoutBytes / BYTES_PER_TASK)),
    );
    const shard = new ShardState(clock, rangeSize, settings.teams, () => machineTypes);
    this.acquiredAt = clock.now();
    this.lastSummaryAt = clock.now();
    this.context = {
      ...services,
      shard,
      lease,
      onFenced: () => {
        if (!this.stopped) onFenced();
      },
      onInconsistent: () => {
        if (!this.stopped) onInconsistent();
      },
      scheduleRound: () => this.scheduleRound(MIN_ROUND_INTERVAL),
      scheduleCommands: (machine) => this.scheduleCommands(machine),
      queryStatus: (machine) => this.statusQueries.enqueue(machine),
      announceFencingToken: (machine) => this.statusQueries.announceFencingToken(machine),
      mayStartTasks: (machine) => this.unreachableZones.mayAnswer(machine.zone),
      onJobEnded: (job, end) => {
        this.taskStates.deleteKeys(this.dependencyTracker.dependencyListKeys(job));
        this.dependencyTracker.jobEnded(job, end);
        this.extension?.onJobEnded(job.spec, end);
      },
      onTaskFailed: (task, reason) => this.extension?.onTaskFailed(task.job.spec, task.index, reason),
    };
    this.taskStates = new TaskStateWriter(this.context);
    this.heartbeats = new HeartbeatProcessor(this.context, this.taskStates);
    this.commands = new CommandDispatcher(this.context, this.heartbeats);
    this.scheduler = new Scheduler(this.context, this.taskStates);
    this.autoscaler = new Autoscaler(this.context, cloud, this.scheduler, this.heartbeats);
    // Machines that do not answer keep a lane for seconds: a zone of them must not keep starts elsewhere waiting.
    const late = settings.workers.heartbeatInterval * services.options.silentReports;
    this.commandPools = new ConcurrencyPools(
      clock,
      (machine) => this.guard(this.stopped ? Promise.resolve() : this.commands.send(machine)),
      (machine) => (clock.now() - machine.reachability.lastHeartbeatAt > late ? "silent" : "responsive"),
      { responsive: RESPONSIVE_POOL_SIZE, silent: SILENT_POOL_SIZE },
    );
    this.unreachableZones = new UnreachableZones(services, lease, () => shard.machines.values());
    this.autoscaler.unreachableZones = this.unreachableZones.inheritedZones;
    const { context, commands, heartbeats, taskStates, autoscaler, unreachableZones } = this;
    const guard = (work: Promise<unknown>): Promise<void> => this.guard(work);
    this.failureDetector = new FailureDetector({
      context,
      commands,
      heartbeats,
      autoscaler,
      unreachableZones,
      guard,
      onUnreachable,
    });
    this.statusQueries = new StatusQueryQueue({
      loadShedder: services.loadShedder,
      lease,
      commands,
      guard,
      stopped: () => this.stopped,
      onMoreQueued: () => this.failureDetector.extendSettling(),
    });
    this.backpressure = new BackpressureSignal(services, lease, guard);
    this.dependencyTracker = new DependencyTracker(context, (job) => autoscaler.recordDemand(job.spec));
    this.jobWatcher = new JobWatcher({
      context,
      dependencyTracker: this.dependencyTracker,
      taskStates,
      heartbeats,
      extension,
      scheduleRound: () => this.scheduleRound(0 as Micros),
    });
    this.jobWatcher.restore();
    this.extension =
      extension?.acquireShard(this.context, {
        cancelWithdrawnJobs: (ids) => {
          for (const id of ids) this.jobWatcher.cancelWithdrawn(id);
        },
      }) ?? null;
    this.tick();
    this.scheduleRound(MIN_ROUND_INTERVAL);
    void this.autoscaler.run();
  }

  stop(): void {
    this.stopped = true;
    this.extension?.stop();
    this.autoscaler.stop();
    this.roundTimer?.cancel();
  }

  /** Null: nothing may be said in the block's name. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatReply | null {
    const { shard, clock } = this.context;
    if (this.stopped || !this.lease.isValid() || shard.deletedMachines.has(heartbeat.machine)) return null;
    const machine = this.machineOf(heartbeat);
    if (!this.unreachableZones.mayAnswer(machine.zone)) {
      machine.reachability.lastHeartbeatAt = clock.now();
      this.unreachableZones.markReachable(machine.zone);
      return null;
    }
    const overtaken = mayBeOvertaken(machine.counters, machine.lease.expired, heartbeat);
    const freshness = this.heartbeats.process(machine, heartbeat, FROM_HEARTBEAT);
    if (freshness === "suspect" && !overtaken) return null;
    const permittedReplies = this.allowed(machine, freshness);
    if (!permittedReplies.command) this.statusQueries.announceFencingToken(machine);
    else if (this.commands.hasUrgentCommands(machine)) this.scheduleCommands(machine);
    if (!permittedReplies.renew) return null;
    machine.lease.renewedAt = clock.now();
    machine.lease.expired = false;
    const { reachability } = machine;
    if (reachability.probeToken !== null) {
      reachability.probeSentAt = clock.now();
      // Seen a moment later whether it got there, instead of with a report that may come a quarter of a lease later.
      clock.after(PROBE_VERIFICATION_DELAY, () => {
        if (!this.stopped && machine.reachability.probeToken !== null) this.statusQueries.enqueue(machine);
      });
    }
    const owed = pendingStops(heartbeat.tasks, shard.jobs);
    const commands = permittedReplies.command
      ? [...this.commands.repeatableCommands(machine, owed), ...this.commands.forgetCommands(machine)]
      : owed;
    return { token: responseTokenOf(this.lease, machine), commands };
  }

  private allowed(machine: Machine, freshness: HeartbeatFreshness): PermittedReplies {
    const { clock, settings } = this.services;
    if (freshness !== "unverified") machine.counters.unverifiedSince = null;
    else machine.counters.unverifiedSince ??= clock.now();
    return permittedReplies({
      freshness,
      tokenSeen: machine.counters.highestToken >= firstFencingToken(this.lease),
      oneWay: isOneWay(machine.reachability),
      unverifiedFor: this.elapsedSince(machine.counters.unverifiedSince ?? clock.now()),
      workerLease: settings.workers.lease,
    });
  }

  /** The state of the machines, for operators. */
  get fleetHealth(): MachineLinks {
    return {
      ...this.failureDetector.fleetHealth(),
      leaseValid: this.lease.isValid(),
      reservedForJob: this.scheduler.reservedForJob,
    };
  }

  /** Machines that have been heard of here. */
  get upMachines(): number {
    let count = 0;
    for (const { state } of this.context.shard.machines.values()) if (state === "up") count += 1;
    return count;
  }

  get size(): { readonly machines: number; readonly tasks: number } {
    const { machines, jobs } = this.context.shard;
    let tasks = 0;
    for (const { waitingTasks, placedTasks } of jobs.values()) tasks += waitingTasks.size + placedTasks.size;
    return { machines: machines.size, tasks };
  }

  /** The list of tasks that the machine's last report gave, where a repetition of it would say nothing new. */
  knownTaskListOf(machine: string): string | null {
    return this.context.shard.machines.get(machine)?.reported.taskListText ?? null;
  }

  findJob(id: string): Job | null {
    return this.context.shard.jobs.get(id) ?? null;
  }

  taskCounts(jobId: string): { done: number; running: number } | null {
    const job = this.context.shard.jobs.get(jobId);
    if (job === undefined) return null;
    return { done: job.completedTasks, running: job.runningTasks };
  }

  private machineOf(heartbeat: Heartbeat): Machine {
    const { shard, clock, log } = this.context;
    let machine = shard.machines.get(heartbeat.machine);
    if (machine === undefined) {
      machine = createMachine(
        { name: heartbeat.machine, typeName: heartbeat.type, type: null, zone: heartbeat.zone, spot: heartbeat.spot },
        clock.now(),
      );
      // It may be gone for long: no room until it is heard of otherwise.
      machine.state = "unconfirmed";
      shard.machines.set(heartbeat.machine, machine);
      log.info(LogEvent.MachineReported, { machine: heartbeat.machine });
    }
    machine.type ??= this.machineTypes.get(heartbeat.type) ?? null;
    if (machine.typeName === "") {
      machine.typeName = heartbeat.type;
      machine.zone = heartbeat.zone;
      machine.spot = heartbeat.spot;
    }
    return machine;
  }

  /** What is current below the watched prefix has changed. */
  onChange(change: KeyChange): void {
    if (this.stopped) return;
    this.jobWatcher.onChange(change);
    this.extension?.onChange(change);
  }

  /** The job is withdrawn with one that it needs. */
  cancelByDependency(id: string): void {
    if (this.stopped) return;
    this.jobWatcher.cancelByDependency(id);
    this.dependencyTracker.jobCancelledByDependency(id);
  }

  /** All that the job awaits is on record as done. */
  jobReady(id: string): void {
    if (!this.stopped) this.dependencyTracker.jobReady(id);
  }

  // Loops -------------------------------------------------------------------------------------------------

  private guard(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      (error: unknown) => this.services.log.error(LogEvent.LeaderStepFailed, { error: describeError(error) }),
    );
  }

  private scheduleCommands(machine: Machine): void {
    this.commandPools.add(machine);
  }

  private scheduleRound(delay: Micros): void {
    if (this.stopped) return;
    const { clock } = this.services;
    const due = Math.max(clock.now() + delay, this.lastRound + this.roundGap) as Micros;
    if (this.roundTimer !== null && this.roundDue <= due) return;
    this.roundTimer?.cancel();
    this.roundDue = due;
    this.roundTimer = clock.after(Math.max(0, due - clock.now()) as Micros, () => {
      this.roundTimer = null;
      this.lastRound = clock.now();
      try {
        if (!this.stopped) this.scheduler.runRound();
      } catch (error) {
        this.services.log.error(LogEvent.RoundFailed, { error: describeError(error) });
      }
      const least = this.services.loadShedder.atLeast("degraded") ? ROUND_INTERVAL_UNDER_LOAD : MIN_ROUND_INTERVAL;
      this.roundGap = Math.max(least, ROUND_REST_FACTOR * (clock.now() - this.lastRound)) as Micros;
      this.scheduleRound(ms(this.services.options.roundMs));
    });
  }

  private tick(): void {
    if (this.stopped) return;
    const { clock, log } = this.services;
    try {
      const valid = this.lease.isValid();
      if (valid && !this.leaseWasValid) this.failureDetector.restartSettling();
      if (valid !== this.leaseWasValid)
        log.info(valid ? LogEvent.LeaseRegained : LogEvent.LeaseExpired, { block: this.lease.shard });
      if (valid && !this.leaseWasValid)
        this.context.eventListener?.({ kind: "state away", span: this.elapsedSince(this.leaseInvalidSince) });
      if (!valid && this.leaseWasValid) this.leaseInvalidSince = clock.now();
      this.leaseWasValid = valid;
      // After a standstill of our own everybody seems silent until what has arrived meanwhile is read.
      const pause = clock.now() - this.lastTick;
      if (this.lastTick !== 0 && pause > STALL_THRESHOLD) this.failureDetector.restartSettling();
      this.lastTick = clock.now();
      if (valid) {
        this.failureDetector.expireLeases();
        this.failureDetector.checkSilence();
        for (const machine of this.context.shard.machines.values()) this.commands.evict(machine);
        this.refreshMachineTypes();
        this.backpressure.publish();
        if (clock.now() - this.lastSummaryAt > SUMMARY_INTERVAL) {
          this.lastSummaryAt = clock.now();
          log.info(LogEvent.CapacitySummarized, {
            ...this.scheduler.summarize(),
            jobs: this.context.shard.jobs.size,
            failing: this.heartbeats.takeFailureCounts(),
            reports: this.heartbeats.takeFreshnessCounts(),
            records: { ...this.taskStates.takePlacementDelays(), ...this.services.transactions.takeSummary() },
          });
        }
      }
    } catch (error) {
      log.error(LogEvent.LeaderTickFailed, { error: describeError(error) });
    }
    clock.after(TICK_INTERVAL, () => this.tick());
  }

  private elapsedSince(time: Micros): Micros {
    return (this.services.clock.now() - time) as Micros;
  }

  private refreshMachineTypes(): void {
    const { clock, cache, transactions, settings } = this.services;
    if (this.machineTypesRefreshedAt !== 0 && clock.now() - this.machineTypesRefreshedAt < MACHINE_TYPES_INTERVAL)
      return;
    this.machineTypesRefreshedAt = clock.now();
    const refresh = async (): Promise<void> => {
      const reply = await this.cloud.listMachineTypes();
      if (reply.kind !== "ok") return;
      this.machineTypes.clear();
      for (const type of reply.value.types) this.machineTypes.set(type.name, type);
      this.scheduleRound(MIN_ROUND_INTERVAL);
      const fits = JSON.stringify(reply.value.raw).length < settings.store.valueBytes;
      if (cache.entries.has(MACHINE_TYPES_KEY) || !fits) return;
      // For controllers that start while the cloud cannot be asked.
      await transactions.submit(new Map([[MACHINE_TYPES_KEY, 0]]), [
        { kind: "put", key: MACHINE_TYPES_KEY, value: reply.value.raw },
      ]);
    };
    void this.guard(refresh());
  }
}
