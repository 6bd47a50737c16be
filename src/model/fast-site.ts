import { DependencyGraph } from "../cluster/dependency-graph.js";
import type { Job } from "../cluster/job.js";
import { createMachine, isBeingEmptied, type Machine } from "../cluster/machine.js";
import { ShardState } from "../cluster/shard-state.js";
import { attemptOf, isActive, isPlacementRecorded, type TaskRange } from "../cluster/task.js";
import { CapacityBackoff } from "../coordination/autoscaling/capacity-backoff.js";
import type { CloudOffers, MachineOffer } from "../coordination/autoscaling/cloud-offers.js";
import { chooseMachineToConsolidate } from "../coordination/autoscaling/consolidation.js";
import { DemandHistory } from "../coordination/autoscaling/demand-history.js";
import { planScaling } from "../coordination/autoscaling/scale-plan.js";
import type { ShardLease } from "../coordination/context.js";
import { DependencyTracker } from "../coordination/jobs/dependency-tracker.js";
import { LoadShedder } from "../coordination/overload/load-shedder.js";
import { infeasibilityReason } from "../coordination/scheduling/eligibility.js";
import { decideRound, newRoundState } from "../coordination/scheduling/placement-round.js";
import { applyAction, type RoundAction } from "../coordination/scheduling/round-action.js";
import { MAX_VICTIM_SEARCHES } from "../coordination/scheduling/scheduler.js";
import type { SchedulerSnapshot } from "../coordination/scheduling/scheduler-snapshot.js";
import { decideEvictions } from "../coordination/workers/graceful-eviction.js";
import { HeartbeatProcessor } from "../coordination/workers/heartbeat-processor.js";
import { decodeMachineTypes, type MachineType } from "../protocol/cloud.js";
import { decodeSubmission } from "../protocol/job-messages.js";
import type { JobSpec } from "../protocol/job-spec.js";
import { MalformedMessageError } from "../protocol/json.js";
import type { OperatorOptions } from "../settings/options.js";
import type { Settings } from "../settings/settings.js";
import type { TaskRecord } from "../storage/task-range-records.js";
import type { Micros } from "../transport/clock.js";
import type { Log } from "../transport/log.js";
import { RateLimiter } from "../transport/rate-limiter.js";
import { CloudService, fixedCapacity } from "./cloud-service.js";
import type { ExecutorEnvironment } from "./executor.js";
import { FastMachine, FENCING_TOKEN } from "./fast-machine.js";
import { NETWORK_LATENCY_US, WriteQueue } from "./fast-write-queue.js";
import { type Behaviour, GroundTruth } from "./ground-truth.js";
import { jobBehaviour } from "./job-behaviour.js";
import type { HostInfo, MachineObserver } from "./machine-observer.js";
import { NamedRandom, Random } from "./random.js";
import { HostClock, S, Simulation } from "./simulation.js";
import { simulatedAddresses } from "./site.js";
import { catalogOf, type SiteSpec, settingsOf } from "./site-spec.js";
import type { Submission, UserObserver } from "./users.js";

/** Durations of a cloud call and of a takeover in microseconds, as in the full simulation. */
const CLOUD_CALL_US = 100_000;
const TAKEOVER_US = 1_200_000;
const STATUS_QUERY_US = 2 * S;
const PLAN_PERIOD_US = 400_000;
const IDLE_PLAN_PERIOD_US = 2 * S;
const DRAIN_PERIOD_US = 250_000;
const MIN_ROUND_GAP_US = 10_000;
/** Rounds and plans are spaced out in proportion to the machines, so that a day with 10,000 machines takes minutes. */
const ROUND_GAP_PER_MACHINE_US = 100;
const PLAN_GAP_PER_MACHINE_US = 300;
const CONSOLIDATION_CHECK_PERIOD_US = 2 * S;
const CONSOLIDATION_PERIOD_US = 15 * S;
const MAX_MACHINES_PER_REQUEST = 50;
const MAX_REQUESTS_PER_OFFER = 4;
const MAX_MACHINES_PER_DELETION = 100;
const MAX_TASKS_PER_RANGE = 128;
const LAYOUT_BYTES_PER_TASK = 40;
const WRITE_BUDGET_SHARE = 0.7;
const CLOUD_BUDGET_SHARE = 0.8;
const MAX_WRITE_BACKLOG_S = 1.5;
const USER_RETRY_PERIOD_US = 60 * S;
const COMPLETION_WRITE_SHARE = 0.3;
const MIN_COMPLETION_DELAY_US = S / 2;
const MAX_COMPLETION_DELAY_US = 15 * S;

/** Configuration of a run of the fast model. */
export interface FastSetup {
  readonly spec: SiteSpec;
  readonly options: OperatorOptions;
  readonly seed: number;
  readonly watch: (world: Simulation) => { readonly witness: MachineObserver; readonly hearing: UserObserver };
}

/**
 * Fast model of a site: the real code for placement, limits, preemption, scaling, consolidation and back-off on one
 * simulated clock. Communication is replaced by its latency: there are no requests, leases, stored records or periodic
 * heartbeats. See docs/whatif.md for its limitations.
 */
export class FastSite {
  readonly world = new Simulation();
  readonly truth = new GroundTruth();
  readonly cloud: CloudService;
  readonly shard: ShardState;
  private readonly clock: HostClock;
  private readonly settings: Settings;
  private readonly types: ReadonlyMap<string, MachineType>;
  private readonly writeQueue: WriteQueue;
  private readonly heartbeatProcessor: HeartbeatProcessor;
  private readonly workers = new Map<string, FastMachine>();
  private readonly userObserver: UserObserver;
  private readonly roundState = newRoundState();
  private readonly demandHistory = new DemandHistory();
  private readonly capacityBackoff = new CapacityBackoff();
  private readonly cloudLimit: RateLimiter;
  private readonly inspectionCounter = { count: 0 };
  private readonly dependencyGraph = new DependencyGraph();
  private readonly dependencyTracker: DependencyTracker;
  private readonly terminalPhases = new Map<string, "done" | "withdrawn">();
  private readonly queuedRanges = new Set<TaskRange>();
  private readonly delayedRanges = new Set<TaskRange>();
  private readonly drainingMachines = new Set<Machine>();
  private readonly machinesToCommand = new Set<Machine>();
  private readonly machinesToDelete: Machine[] = [];
  private pendingRequests: { readonly offer: MachineOffer; readonly count: number; readonly since: Micros }[] = [];
  private deletionInProgress = false;
  private drainScheduled = false;
  private nextRoundAt = Number.POSITIVE_INFINITY;
  private lastRound = -S;
  private pausedUntil = 0;
  private cloudOutageUntil = 0;
  private leader = 0;
  private nextConsolidationCheck = 0;
  private lastPlan = 0;
  /** Whether jobs or machines have changed since the last scale plan. */
  private replanNeeded = true;

  constructor(private readonly setup: FastSetup) {
    const { spec, options, seed } = setup;
    const { witness, hearing } = setup.watch(this.world);
    this.userObserver = hearing;
    this.clock = new HostClock(this.world, 1, 1);
    this.settings = settingsOf(spec, simulatedAddresses(spec.controllers.length), 0);
    this.types = new Map(decodeMachineTypes(catalogOf(spec.types)).map((type) => [type.name, type]));
    const rangeSize = Math.max(
      1,
      Math.min(MAX_TASKS_PER_RANGE, Math.floor(this.settings.store.currentValueBytes / LAYOUT_BYTES_PER_TASK)),
    );
    this.shard = new ShardState(this.clock, rangeSize, this.settings.teams, () => this.types);
    const { store } = this.settings;
    this.writeQueue = new WriteQueue(
      this.world,
      this.clock,
      store.writesPerS * WRITE_BUDGET_SHARE,
      store.transactionWrites,
    );
    this.cloudLimit = new RateLimiter(this.clock, spec.cloud.rps * CLOUD_BUDGET_SHARE);
    const namedRandom = new NamedRandom(seed);
    const executes: ExecutorEnvironment = {
      timeline: this.world,
      namedRandom,
      witness,
      truth: this.truth,
      times: spec.workers,
    };
    this.cloud = new CloudService(
      this.world,
      new Random(seed),
      namedRandom,
      spec,
      (info, type) => this.bootMachine(executes, info, type),
      witness,
      fixedCapacity(spec.capacity),
    );
    const lease: ShardLease = { shard: 0, epoch: 1, key: "", version: 0, isValid: () => this.canDecide };
    const nothing = (): void => undefined;
    const log: Log = { error: nothing, info: nothing, debug: nothing };
    this.heartbeatProcessor = new HeartbeatProcessor(
      {
        shard: this.shard,
        clock: this.clock,
        lease,
        log,
        scheduleRound: () => this.scheduleRound(MIN_ROUND_GAP_US),
        scheduleCommands: (machine) => this.scheduleCommands(machine),
        queryStatus: nothing,
        announceFencingToken: nothing,
        loadShedder: new LoadShedder(this.clock, log, null),
        eventListener: null,
        onTaskFailed: () => undefined,
      },
      {
        recordSoon: (range) => this.recordCompletionsLater(range),
        finishIfComplete: (job) => this.finishIfComplete(job),
      },
    );
    const dependencies = {
      shard: this.shard,
      dependencies: this.dependencyGraph,
      clock: this.clock,
      log,
      wallClock: null,
    };
    this.dependencyTracker = new DependencyTracker(
      { ...dependencies, scheduleRound: () => this.scheduleRound(0) },
      ({ spec: job }) => this.demandHistory.record(job),
    );
    this.dependencyGraph.onReady = (id) => this.dependencyTracker.jobReady(id);
    this.dependencyGraph.onCancelledByDependency = (id) => {
      const job = this.shard.jobs.get(id);
      if (job !== undefined) this.cancelJob(job);
    };
    this.scheduleRound(options.roundMs * 1_000);
    this.world.after(PLAN_PERIOD_US, () => this.runScalePlan());
  }

  private get canDecide(): boolean {
    return this.world.now >= this.pausedUntil;
  }

  // Users ---------------------------------------------------------------------------------------------------

  submit(job: Submission, behaviour: Partial<Behaviour> = {}): void {
    this.truth.behaviours.set(job.ref, { ...jobBehaviour(job), ...behaviour });
    let spec: JobSpec;
    try {
      spec = decodeSubmission(job);
    } catch (error) {
      if (!(error instanceof MalformedMessageError)) throw error;
      this.userObserver.dropped(job.ref, 400);
      return;
    }
    if (infeasibilityReason(spec, this.settings, this.types) !== null) {
      this.userObserver.dropped(job.ref, 422);
      return;
    }
    const until = this.world.now + USER_RETRY_PERIOD_US;
    const attempt = (): void => {
      if (this.writeQueue.backlogS <= MAX_WRITE_BACKLOG_S && this.world.now >= this.writeQueue.pausedUntil) {
        this.writeQueue.propose(0, { count: 1, onSent: () => undefined, onApplied: () => this.accept(spec) });
      } else if (this.world.now + S >= until) this.userObserver.dropped(job.ref, null);
      else this.world.after(S, attempt);
    };
    this.world.after(NETWORK_LATENCY_US, attempt);
  }

  private accept(spec: JobSpec): void {
    this.userObserver.submitted(spec.id, 201, "pending", this.world.now);
    this.world.after(NETWORK_LATENCY_US, () => {
      const awaits = spec.dependencies ?? [];
      this.dependencyGraph.upsert(spec.id, awaits, false);
      for (const id of awaits) {
        const phase = this.terminalPhases.get(id);
        if (phase !== undefined) this.dependencyGraph.recordTerminalPhase(id, phase === "done" ? "done" : "cancelled");
      }
      const job = this.shard.addJob(spec, 1, false);
      this.dependencyTracker.jobAdded(job, null);
      if (this.dependencyGraph.isCancelled(spec.id)) this.cancelJob(job);
      this.replanNeeded = true;
      this.scheduleRound(0);
    });
  }

  cancel(id: string, until = this.world.now + USER_RETRY_PERIOD_US): void {
    const ended = this.terminalPhases.get(id);
    const job = this.shard.jobs.get(id);
    if (ended !== undefined) {
      this.userObserver.cancelAsked(id);
      this.userObserver.cancelAnswered(id, 200, ended);
    } else if (job === undefined) {
      if (this.world.now < until) this.world.after(S, () => this.cancel(id, until));
    } else {
      this.userObserver.cancelAsked(id);
      this.writeQueue.propose(0, {
        count: 1,
        onSent: () => undefined,
        onApplied: () => this.completeCancellation(job),
      });
    }
  }

  private completeCancellation(job: Job): void {
    const { id } = job.spec;
    const ended = this.terminalPhases.get(id);
    if (ended === undefined) {
      this.cancelJob(job);
      this.dependencyGraph.upsert(id, [], true);
    }
    this.userObserver.cancelAnswered(id, 200, ended ?? "withdrawn");
  }

  private cancelJob(job: Job): void {
    if (job.cancelled) return;
    job.cancelled = true;
    this.terminalPhases.set(job.spec.id, "withdrawn");
    for (const task of [...job.placedTasks]) {
      const machine = task.machine;
      if (task.startCommand.kind === "none") this.heartbeatProcessor.releaseAbsentTask(task);
      if (machine !== null) this.scheduleCommands(machine);
    }
    this.finishIfComplete(job);
  }

  // Records -------------------------------------------------------------------------------------------------

  /** Records the placements of a range; start commands are sent once they are recorded. */
  private recordPlacements(range: TaskRange): void {
    if (this.queuedRanges.has(range)) return;
    this.queuedRanges.add(range);
    let snapshot: readonly TaskRecord[] = [];
    this.writeQueue.propose(1, {
      count: 1,
      onSent: () => {
        this.queuedRanges.delete(range);
        this.delayedRanges.delete(range);
        snapshot = range.tasks.map(({ desired }) => desired);
      },
      onApplied: () => {
        range.tasks.forEach((task, at) => {
          task.recorded = snapshot[at] ?? task.recorded;
          if (task.machine !== null && task.startCommand.kind === "none" && isPlacementRecorded(task))
            this.scheduleCommands(task.machine);
        });
      },
    });
  }

  /** Records completed tasks after a delay, together with those that complete in the meantime. */
  private recordCompletionsLater(range: TaskRange): void {
    if (this.delayedRanges.has(range)) return;
    this.delayedRanges.add(range);
    const perSecond = Math.max(1, this.settings.store.writesPerS * COMPLETION_WRITE_SHARE);
    const delay = Math.min(
      MAX_COMPLETION_DELAY_US,
      Math.max(MIN_COMPLETION_DELAY_US, (this.shard.jobs.size / perSecond) * S),
    );
    this.world.after(delay, () => {
      if (!this.delayedRanges.delete(range) || !this.shard.jobs.has(range.job.spec.id)) return;
      this.recordPlacements(range);
    });
  }

  private finishIfComplete(job: Job): void {
    const done = job.completedTasks >= job.spec.tasks;
    if (job.outcomePending || !(done || (job.cancelled && job.placedTasks.size === 0))) return;
    job.outcomePending = true;
    const count = 2 + job.ranges.length;
    this.writeQueue.propose(1, {
      count: Math.min(count, this.settings.store.transactionWrites),
      onSent: () => undefined,
      onApplied: () => {
        if (!job.cancelled) this.terminalPhases.set(job.spec.id, "done");
        this.shard.removeJob(job);
        this.dependencyTracker.jobEnded(job, {
          phase: job.cancelled ? "cancelled" : "done",
          completedTasks: job.completedTasks,
        });
        this.dependencyGraph.remove(job.spec.id);
        this.truth.drop(job.spec.id);
        this.replanNeeded = true;
      },
    });
  }

  // Machines ------------------------------------------------------------------------------------------------

  private bootMachine(dependencies: ExecutorEnvironment, info: HostInfo, type: SiteSpec["types"][number]): FastMachine {
    const worker = new FastMachine(dependencies, info, type, (machine) => this.processHeartbeat(machine));
    this.workers.set(info.name, worker);
    return worker;
  }

  private processHeartbeat(worker: FastMachine): void {
    const { name, type, zone, spot } = worker.info;
    let machine = this.shard.machines.get(name);
    if (machine === undefined) {
      // The machine exists from the start and was not rented by a scale plan.
      machine = createMachine(
        { name, typeName: type, type: this.types.get(type) ?? null, zone, spot },
        this.clock.now(),
      );
      this.shard.machines.set(name, machine);
    }
    const before = machine.lifecycle.reclaimAt;
    this.heartbeatProcessor.process(machine, worker.heartbeat(), { kind: "heartbeat" });
    for (const task of [...worker.executor.list()]) {
      if (task.phase === "exited") worker.executor.forget(task.shard, task.try);
    }
    if (machine.lifecycle.reclaimAt !== null && before === null) this.startDraining(machine);
  }

  /** Sends commands to a machine; all placements of a round on it are sent together. */
  private scheduleCommands(machine: Machine): void {
    if (this.machinesToCommand.has(machine)) return;
    this.machinesToCommand.add(machine);
    this.world.after(NETWORK_LATENCY_US, () => {
      this.machinesToCommand.delete(machine);
      const worker = this.workers.get(machine.name);
      if (worker === undefined || machine.state !== "up") return;
      worker.executor.whenRunning(() => this.executeCommands(machine, worker));
    });
  }

  private executeCommands(machine: Machine, worker: FastMachine): void {
    let commands = machine.reported.unexpectedTasks.size;
    for (const task of [...machine.tasks]) {
      const attempt = attemptOf(task.desired);
      const stops = isActive(task) && (task.job.cancelled || (task.stopRequest !== null && task.state !== "saving"));
      commands += 1;
      if (stops) worker.executor.stop(task.name, attempt, task.job.cancelled ? 0 : (task.stopRequest?.graceS ?? 0));
      else if (
        task.startCommand.kind === "none" &&
        isPlacementRecorded(task) &&
        !task.job.cancelled &&
        task.stopRequest === null
      ) {
        worker.executor.start(task.name, attempt);
        task.startCommand = { kind: "observed" };
      } else commands -= 1;
    }
    for (const [task, attempt] of machine.reported.unexpectedTasks) worker.executor.stop(task, Number(attempt), 0);
    // The response to commands carries the worker's state, as a heartbeat does.
    if (commands > 0) this.processHeartbeat(worker);
  }

  private startDraining(machine: Machine): void {
    this.drainingMachines.add(machine);
    if (this.drainScheduled) return;
    this.drainScheduled = true;
    this.world.after(DRAIN_PERIOD_US, () => this.drainMachines());
  }

  private drainMachines(): void {
    this.drainScheduled = false;
    for (const machine of this.drainingMachines) {
      const stops = isBeingEmptied(machine) || [...machine.tasks].some(({ stopRequest }) => stopRequest !== null);
      if (!stops || !this.shard.machines.has(machine.name)) this.drainingMachines.delete(machine);
      else if (this.canDecide) {
        for (const action of decideEvictions(machine, this.clock.now())) {
          if (action.kind === "release") this.heartbeatProcessor.releaseAbsentTask(action.task);
          else if (action.kind === "stop") action.task.stopRequest = { graceS: action.graceS };
        }
        if ([...machine.tasks].some(({ stopRequest }) => stopRequest !== null)) this.scheduleCommands(machine);
      }
    }
    if (this.drainingMachines.size === 0) return;
    this.drainScheduled = true;
    this.world.after(DRAIN_PERIOD_US, () => this.drainMachines());
  }

  /** Time without heartbeats until a machine is considered lost, in microseconds. */
  private get heartbeatTimeout(): number {
    return this.settings.workers.heartbeatInterval * this.setup.options.silentReports + STATUS_QUERY_US;
  }

  /** The cloud reclaims a machine or it fails; the shard leader detects it by the missing heartbeats. */
  take(name: string, why: "taken" | "failed"): void {
    this.cloud.take(name, why);
    this.workers.delete(name);
    this.world.after(this.heartbeatTimeout, () => this.removeMachine(name));
  }

  private removeMachine(name: string): void {
    const machine = this.shard.machines.get(name);
    if (machine === undefined) return;
    machine.state = "deleted";
    this.heartbeatProcessor.handleMachineLoss(machine, "deleted");
    this.shard.machines.delete(name);
    this.replanNeeded = true;
  }

  /** Announces that a machine will be reclaimed in `inUs` microseconds. */
  notice(name: string, inUs: number): void {
    this.workers.get(name)?.notice(inUs);
  }

  /**
   * Makes a machine hang. If it hangs beyond the heartbeat timeout it is deleted, as the real service does in order to
   * be certain that its tasks have ended.
   */
  silent(name: string, forUs: number): void {
    this.workers.get(name)?.hang(forUs);
    if (forUs <= this.heartbeatTimeout) return;
    this.world.after(this.heartbeatTimeout, () => {
      const machine = this.shard.machines.get(name);
      if (machine !== undefined && !machine.lifecycle.deleting) this.deleteMachines([machine]);
    });
  }

  /** Makes a machine faulty: every task that it starts from now on fails. */
  faulty(name: string): void {
    this.workers.get(name)?.makeFaulty();
  }

  /** Suspends cloud calls. */
  cloudOutage(forUs: number): void {
    this.cloudOutageUntil = Math.max(this.cloudOutageUntil, this.world.now + forUs);
  }

  /** Suspends writes to the key-value store and, since no decision can be recorded, all decisions. */
  stateOutage(forUs: number): void {
    const until = this.world.now + forUs;
    this.writeQueue.pausedUntil = Math.max(this.writeQueue.pausedUntil, until);
    this.pausedUntil = Math.max(this.pausedUntil, until);
    this.scheduleRound(forUs + NETWORK_LATENCY_US);
  }

  /** Crash of a controller; if it is the shard leader, decisions pause until another takes over or it restarts. */
  controllerEnd(controller: number, backAfterUs: number): void {
    if (controller !== this.leader) return;
    const controllers = this.settings.controllers;
    this.leader = (this.leader + 1) % controllers;
    const gap = (controllers > 1 ? Math.min(backAfterUs, 10 * S) : backAfterUs) + TAKEOVER_US;
    this.pausedUntil = Math.max(this.pausedUntil, this.world.now + gap);
    this.scheduleRound(gap + NETWORK_LATENCY_US);
  }

  private deleteMachines(machines: readonly Machine[]): void {
    for (const machine of machines) machine.lifecycle.deleting = true;
    this.machinesToDelete.push(...machines);
    if (!this.deletionInProgress) this.deleteNextBatch();
  }

  private deleteNextBatch(): void {
    this.deletionInProgress = this.machinesToDelete.length > 0;
    if (!this.deletionInProgress) return;
    const outage = this.cloudOutageUntil - this.world.now;
    const wait = Math.max(
      outage,
      this.cloudLimit.timeUntilAvailable(1),
      this.canDecide ? 0 : this.pausedUntil - this.world.now,
    );
    if (wait > 0) {
      this.world.after(wait + NETWORK_LATENCY_US, () => this.deleteNextBatch());
      return;
    }
    this.cloudLimit.take(1);
    const batch = this.machinesToDelete.splice(0, MAX_MACHINES_PER_DELETION);
    this.world.after(CLOUD_CALL_US, () => {
      for (const { name } of batch) {
        this.cloud.take(name, "deleted");
        this.workers.delete(name);
        this.removeMachine(name);
      }
      this.deleteNextBatch();
    });
  }

  // Decisions -----------------------------------------------------------------------------------------------

  private takeSnapshot(): SchedulerSnapshot {
    return {
      now: this.clock.now(),
      shard: this.shard,
      settings: this.settings,
      options: this.setup.options,
      heartbeatTimeout: Number.POSITIVE_INFINITY,
      maxVictimSearches: MAX_VICTIM_SEARCHES,
      recordBudget: { urgent: Number.POSITIVE_INFINITY, normal: Number.POSITIVE_INFINITY },
      guaranteesOvercommitted: this.roundState.guaranteesOvercommitted,
      minFencingToken: FENCING_TOKEN,
      inspection: this.inspectionCounter,
    };
  }

  private scheduleRound(delay: number): void {
    const gap = Math.max(MIN_ROUND_GAP_US, this.shard.machines.size * ROUND_GAP_PER_MACHINE_US);
    const due = Math.max(this.world.now + delay, this.lastRound + gap);
    if (due >= this.nextRoundAt) return;
    this.nextRoundAt = due;
    this.world.at(due, () => {
      // An earlier round has been scheduled since.
      if (this.nextRoundAt !== due) return;
      this.nextRoundAt = Number.POSITIVE_INFINITY;
      this.runRound();
    });
  }

  private runRound(): void {
    this.lastRound = this.world.now;
    if (this.canDecide)
      for (const action of decideRound(this.takeSnapshot(), this.roundState)) this.executeAction(action);
    // Without waiting tasks there is nothing to place until an event schedules the next round.
    if (this.hasWaitingTasks()) this.scheduleRound(this.setup.options.roundMs * 1_000);
  }

  private executeAction(action: RoundAction): void {
    applyAction(this.shard, action);
    switch (action.kind) {
      case "place":
        this.recordPlacements(action.task.range);
        return;
      case "preempt":
        this.startDraining(action.machine);
        this.scheduleCommands(action.machine);
        return;
      case "dissolve":
        for (const { machine } of action.job.placedTasks) if (machine !== null) this.scheduleCommands(machine);
        return;
      case "postpone search":
      case "wait":
    }
  }

  private cloudOffers(): CloudOffers {
    return {
      pendingRequests: this.pendingRequests,
      unavailableUntil: (key) => this.capacityBackoff.until(key),
      unreachableZones: new Set(),
      demandHistory: this.demandHistory,
    };
  }

  private hasWaitingTasks(): boolean {
    for (const job of this.shard.jobs.values()) if (job.waitingTasks.size > 0 && !job.cancelled) return true;
    return false;
  }

  /** Runs a scale plan; less often while jobs and machines are unchanged, since then only elapsed time affects it. */
  private runScalePlan(): void {
    if (this.canDecide && (this.replanNeeded || this.world.now - this.lastPlan >= IDLE_PLAN_PERIOD_US)) {
      this.replanNeeded = false;
      this.lastPlan = this.world.now;
      const snapshot = this.takeSnapshot();
      const { scaleOut, scaleIn } = planScaling(snapshot, this.cloudOffers());
      for (const { offer, count } of scaleOut) {
        for (
          let left = Math.min(count, MAX_MACHINES_PER_REQUEST * MAX_REQUESTS_PER_OFFER);
          left > 0;
          left -= MAX_MACHINES_PER_REQUEST
        ) {
          this.pendingRequests.push({
            offer,
            count: Math.min(left, MAX_MACHINES_PER_REQUEST),
            since: this.clock.now(),
          });
        }
      }
      if (scaleIn.length > 0)
        this.deleteMachines(scaleIn.slice(0, MAX_MACHINES_PER_DELETION).map(({ machine }) => machine));
      this.consolidate(snapshot);
    }
    this.sendNextRequest();
  }

  private consolidate(snapshot: SchedulerSnapshot): void {
    if (this.world.now < this.nextConsolidationCheck) return;
    this.nextConsolidationCheck = this.world.now + CONSOLIDATION_CHECK_PERIOD_US;
    const machine = chooseMachineToConsolidate(snapshot, this.demandHistory);
    if (machine === null) return;
    machine.lifecycle.drainReason = "scale-in";
    this.nextConsolidationCheck = this.world.now + CONSOLIDATION_PERIOD_US;
    this.startDraining(machine);
  }

  /** Sends the pending provisioning requests one at a time; schedules the next scale plan after the last one. */
  private sendNextRequest(): void {
    const request = this.pendingRequests[0];
    if (request === undefined || !this.canDecide || this.cloudOutageUntil > this.world.now) {
      const gap = Math.max(PLAN_PERIOD_US, this.shard.machines.size * PLAN_GAP_PER_MACHINE_US);
      this.world.after(gap, () => this.runScalePlan());
      return;
    }
    const wait = this.cloudLimit.timeUntilAvailable(1);
    if (wait > 0) {
      this.world.after(wait, () => this.sendNextRequest());
      return;
    }
    this.cloudLimit.take(1);
    this.world.after(CLOUD_CALL_US, () => {
      this.pendingRequests = this.pendingRequests.slice(1);
      const { type, zone, spot } = request.offer;
      const known = this.setup.spec.types.find(({ name }) => name === type.name);
      const names = known === undefined ? [] : this.cloud.grant(known, zone, spot, request.count);
      for (const name of names) {
        const machine = createMachine({ name, typeName: type.name, type, zone, spot }, this.clock.now());
        machine.lifecycle.provisionedAt = request.since;
        this.shard.machines.set(name, machine);
      }
      this.capacityBackoff.recordGrant(request.offer, request.count, names.length, this.clock.now());
      this.replanNeeded = true;
      this.sendNextRequest();
    });
  }
}
