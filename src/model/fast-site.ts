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
import { neverRuns } from "../coordination/scheduling/eligibility.js";
import { decideRound, newRoundState } from "../coordination/scheduling/placement-round.js";
import { applyAction, type RoundAction } from "../coordination/scheduling/round-action.js";
import { MAX_PREEMPTION_SEARCHES } from "../coordination/scheduling/scheduler.js";
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
import { jobBehaviour } from "./behaviour.js";
import { CloudService, roomOf } from "./cloud-service.js";
import type { ExecutorAround } from "./executor.js";
import { FastMachine, TOKEN } from "./fast-machine.js";
import { HOP, Writer } from "./fast-writer.js";
import { Luck, Random } from "./random.js";
import { simulatedAddresses } from "./site.js";
import { catalogOf, type SiteSpec, settingsOf } from "./site-spec.js";
import { type Behaviour, Truth } from "./truth.js";
import type { Hearing, Submission } from "./users.js";
import type { HostInfo, Witness } from "./witness.js";
import { HostClock, S, World } from "./world.js";

/** Durations of a cloud call and of a takeover in microseconds, as in the full simulation. */
const CLOUD_CALL = 100_000;
const TAKEOVER = 1_200_000;
const PROBE = 2 * S;
const PLAN_PERIOD = 400_000;
const QUIET_PLAN = 2 * S;
const DRAIN_TICK = 250_000;
const ROUND_GAP = 10_000;
/** Rounds and plans are spaced out in proportion to the machines, so that a day with 10,000 machines takes minutes. */
const ROUND_GAP_PER_MACHINE = 100;
const PLAN_GAP_PER_MACHINE = 300;
const MOVE_LOOK = 2 * S;
const MOVE_PERIOD = 15 * S;
const MAX_ASK = 50;
const MAX_ASKS = 4;
const MAX_DELETE = 100;
const MAX_RANGE = 128;
const BYTES_PER_TASK = 40;
const SHARE = 0.7;
const CLOUD_SHARE = 0.8;
const BACKLOG = 1.5;
const USER_TRIES = 60 * S;
const NOTE_SHARE = 0.3;
const NOTE_LEAST = S / 2;
const NOTE_MOST = 15 * S;

/** Configuration of a run of the fast model. */
export interface FastSetup {
  readonly spec: SiteSpec;
  readonly options: OperatorOptions;
  readonly seed: number;
  readonly watch: (world: World) => { readonly witness: Witness; readonly hearing: Hearing };
}

/**
 * Fast model of a site: the real code for placement, limits, preemption, scaling, consolidation and back-off on one
 * simulated clock. Communication is replaced by its latency: there are no requests, leases, stored records or periodic
 * heartbeats. See docs/whatif.md for its limitations.
 */
export class FastSite {
  readonly world = new World();
  readonly truth = new Truth();
  readonly cloud: CloudService;
  readonly block: ShardState;
  private readonly clock: HostClock;
  private readonly settings: Settings;
  private readonly types: ReadonlyMap<string, MachineType>;
  private readonly writer: Writer;
  private readonly observer: HeartbeatProcessor;
  private readonly bodies = new Map<string, FastMachine>();
  private readonly hearing: Hearing;
  private readonly memory = newRoundState();
  private readonly history = new DemandHistory();
  private readonly refusals = new CapacityBackoff();
  private readonly cloudLimit: RateLimiter;
  private readonly work = { count: 0 };
  private readonly chains = new DependencyGraph();
  private readonly chained: DependencyTracker;
  private readonly ended = new Map<string, "done" | "withdrawn">();
  private readonly queued = new Set<TaskRange>();
  private readonly noted = new Set<TaskRange>();
  private readonly leaving = new Set<Machine>();
  private readonly commanded = new Set<Machine>();
  private readonly doomed: Machine[] = [];
  private asks: { readonly offer: MachineOffer; readonly count: number; readonly since: Micros }[] = [];
  private removing = false;
  private ticking = false;
  private roundAt = Number.POSITIVE_INFINITY;
  private lastRound = -S;
  private pausedUntil = 0;
  private cloudAwayUntil = 0;
  private holder = 0;
  private moveAfter = 0;
  private plannedAt = 0;
  /** Whether jobs or machines have changed since the last scale plan. */
  private stirred = true;

  constructor(private readonly setup: FastSetup) {
    const { spec, options, seed } = setup;
    const { witness, hearing } = setup.watch(this.world);
    this.hearing = hearing;
    this.clock = new HostClock(this.world, 1, 1);
    this.settings = settingsOf(spec, simulatedAddresses(spec.controllers.length), 0);
    this.types = new Map(decodeMachineTypes(catalogOf(spec.types)).map((type) => [type.name, type]));
    const rangeSize = Math.max(1, Math.min(MAX_RANGE, Math.floor(this.settings.store.layoutBytes / BYTES_PER_TASK)));
    this.block = new ShardState(this.clock, rangeSize, this.settings.teams, () => this.types);
    const { store } = this.settings;
    this.writer = new Writer(this.world, this.clock, store.writesPerS * SHARE, store.transactionWrites);
    this.cloudLimit = new RateLimiter(this.clock, spec.cloud.rps * CLOUD_SHARE);
    const luck = new Luck(seed);
    const executes: ExecutorAround = { timeline: this.world, luck, witness, truth: this.truth, times: spec.workers };
    this.cloud = new CloudService(
      this.world,
      new Random(seed),
      luck,
      spec,
      (info, type) => this.boot(executes, info, type),
      witness,
      roomOf(spec.capacity),
    );
    const lease: ShardLease = { shard: 0, epoch: 1, key: "", version: 0, isValid: () => this.acting };
    const nothing = (): void => undefined;
    const log: Log = { error: nothing, info: nothing, debug: nothing };
    this.observer = new HeartbeatProcessor(
      {
        shard: this.block,
        clock: this.clock,
        lease,
        log,
        scheduleRound: () => this.wakeRound(ROUND_GAP),
        scheduleCommands: (machine) => this.command(machine),
        queryStatus: nothing,
        announceFencingToken: nothing,
        loadShedder: new LoadShedder(this.clock, log, null),
        eventListener: null,
        onTaskFailed: () => undefined,
      },
      { recordSoon: (range) => this.note(range), finishIfComplete: (job) => this.finish(job) },
    );
    const dependencies = { shard: this.block, dependencies: this.chains, clock: this.clock, log, wallClock: null };
    this.chained = new DependencyTracker({ ...dependencies, scheduleRound: () => this.wakeRound(0) }, ({ spec: job }) =>
      this.history.record(job),
    );
    this.chains.onReady = (id) => this.chained.jobReady(id);
    this.chains.onCancelledByDependency = (id) => {
      const job = this.block.jobs.get(id);
      if (job !== undefined) this.withdraw(job);
    };
    this.wakeRound(options.roundMs * 1_000);
    this.world.after(PLAN_PERIOD, () => this.plan());
  }

  private get acting(): boolean {
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
      this.hearing.dropped(job.ref, 400);
      return;
    }
    if (neverRuns(spec, this.settings, this.types) !== null) {
      this.hearing.dropped(job.ref, 422);
      return;
    }
    const until = this.world.now + USER_TRIES;
    const attempt = (): void => {
      if (this.writer.backlogS <= BACKLOG && this.world.now >= this.writer.pausedUntil) {
        this.writer.propose(0, { count: 1, leave: () => undefined, done: () => this.accept(spec) });
      } else if (this.world.now + S >= until) this.hearing.dropped(job.ref, null);
      else this.world.after(S, attempt);
    };
    this.world.after(HOP, attempt);
  }

  private accept(spec: JobSpec): void {
    this.hearing.submitted(spec.id, 201, "pending", this.world.now);
    this.world.after(HOP, () => {
      const awaits = spec.dependencies ?? [];
      this.chains.upsert(spec.id, awaits, false);
      for (const id of awaits) {
        const end = this.ended.get(id);
        if (end !== undefined) this.chains.recordTerminalPhase(id, end === "done" ? "done" : "cancelled");
      }
      const job = this.block.addJob(spec, 1, false);
      this.chained.jobAdded(job, null);
      if (this.chains.isCancelled(spec.id)) this.withdraw(job);
      this.stirred = true;
      this.wakeRound(0);
    });
  }

  cancel(id: string, until = this.world.now + USER_TRIES): void {
    const ended = this.ended.get(id);
    const job = this.block.jobs.get(id);
    if (ended !== undefined) {
      this.hearing.cancelAsked(id);
      this.hearing.cancelAnswered(id, 200, ended);
    } else if (job === undefined) {
      if (this.world.now < until) this.world.after(S, () => this.cancel(id, until));
    } else {
      this.hearing.cancelAsked(id);
      this.writer.propose(0, { count: 1, leave: () => undefined, done: () => this.cancelled(job) });
    }
  }

  private cancelled(job: Job): void {
    const { id } = job.spec;
    const ended = this.ended.get(id);
    if (ended === undefined) {
      this.withdraw(job);
      this.chains.upsert(id, [], true);
    }
    this.hearing.cancelAnswered(id, 200, ended ?? "withdrawn");
  }

  private withdraw(job: Job): void {
    if (job.cancelled) return;
    job.cancelled = true;
    this.ended.set(job.spec.id, "withdrawn");
    for (const task of [...job.placedTasks]) {
      const machine = task.machine;
      if (task.startCommand.kind === "none") this.observer.taskGone(task);
      if (machine !== null) this.command(machine);
    }
    this.finish(job);
  }

  // Records -------------------------------------------------------------------------------------------------

  /** Records the placements of a range; start commands are sent once they are recorded. */
  private mark(range: TaskRange): void {
    if (this.queued.has(range)) return;
    this.queued.add(range);
    let snapshot: readonly TaskRecord[] = [];
    this.writer.propose(1, {
      count: 1,
      leave: () => {
        this.queued.delete(range);
        this.noted.delete(range);
        snapshot = range.tasks.map(({ desired }) => desired);
      },
      done: () => {
        range.tasks.forEach((task, at) => {
          task.recorded = snapshot[at] ?? task.recorded;
          if (task.machine !== null && task.startCommand.kind === "none" && isPlacementRecorded(task))
            this.command(task.machine);
        });
      },
    });
  }

  /** Records completed tasks after a delay, together with those that complete in the meantime. */
  private note(range: TaskRange): void {
    if (this.noted.has(range)) return;
    this.noted.add(range);
    const perSecond = Math.max(1, this.settings.store.writesPerS * NOTE_SHARE);
    const delay = Math.min(NOTE_MOST, Math.max(NOTE_LEAST, (this.block.jobs.size / perSecond) * S));
    this.world.after(delay, () => {
      if (!this.noted.delete(range) || !this.block.jobs.has(range.job.spec.id)) return;
      this.mark(range);
    });
  }

  private finish(job: Job): void {
    const done = job.completedTasks >= job.spec.tasks;
    if (job.outcomePending || !(done || (job.cancelled && job.placedTasks.size === 0))) return;
    job.outcomePending = true;
    const count = 2 + job.ranges.length;
    this.writer.propose(1, {
      count: Math.min(count, this.settings.store.transactionWrites),
      leave: () => undefined,
      done: () => {
        if (!job.cancelled) this.ended.set(job.spec.id, "done");
        this.block.jobs.delete(job.spec.id);
        this.chained.jobEnded(job, { phase: job.cancelled ? "cancelled" : "done", completedTasks: job.completedTasks });
        this.chains.remove(job.spec.id);
        this.truth.drop(job.spec.id);
        this.stirred = true;
      },
    });
  }

  // Machines ------------------------------------------------------------------------------------------------

  private boot(dependencies: ExecutorAround, info: HostInfo, type: SiteSpec["types"][number]): FastMachine {
    const body = new FastMachine(dependencies, info, type, (machine) => this.heard(machine));
    this.bodies.set(info.name, body);
    return body;
  }

  private heard(body: FastMachine): void {
    const { name, type, zone, spot } = body.info;
    let machine = this.block.machines.get(name);
    if (machine === undefined) {
      // The machine exists from the start and was not rented by a scale plan.
      machine = createMachine(
        { name, typeName: type, type: this.types.get(type) ?? null, zone, spot },
        this.clock.now(),
      );
      this.block.machines.set(name, machine);
    }
    const before = machine.lifecycle.reclaimAt;
    this.observer.process(machine, body.report(), { kind: "heartbeat" });
    for (const task of [...body.executor.list()]) {
      if (task.phase === "exited") body.executor.forget(task.shard, task.try);
    }
    if (machine.lifecycle.reclaimAt !== null && before === null) this.attend(machine);
  }

  /** Sends commands to a machine; all placements of a round on it are sent together. */
  private command(machine: Machine): void {
    if (this.commanded.has(machine)) return;
    this.commanded.add(machine);
    this.world.after(HOP, () => {
      this.commanded.delete(machine);
      const body = this.bodies.get(machine.name);
      if (body === undefined || machine.state !== "up") return;
      body.executor.awake(() => this.carryCommands(machine, body));
    });
  }

  private carryCommands(machine: Machine, body: FastMachine): void {
    let sent = machine.reported.unexpectedTasks.size;
    for (const task of [...machine.tasks]) {
      const attempt = attemptOf(task.desired);
      const stops = isActive(task) && (task.job.cancelled || (task.stopRequest !== null && task.state !== "saving"));
      sent += 1;
      if (stops) body.executor.stop(task.name, attempt, task.job.cancelled ? 0 : (task.stopRequest?.graceS ?? 0));
      else if (
        task.startCommand.kind === "none" &&
        isPlacementRecorded(task) &&
        !task.job.cancelled &&
        task.stopRequest === null
      ) {
        body.executor.start(task.name, attempt);
        task.startCommand = { kind: "observed" };
      } else sent -= 1;
    }
    for (const [task, attempt] of machine.reported.unexpectedTasks) body.executor.stop(task, Number(attempt), 0);
    // The response to commands carries the worker's state, as a heartbeat does.
    if (sent > 0) this.heard(body);
  }

  private attend(machine: Machine): void {
    this.leaving.add(machine);
    if (this.ticking) return;
    this.ticking = true;
    this.world.after(DRAIN_TICK, () => this.tick());
  }

  private tick(): void {
    this.ticking = false;
    for (const machine of this.leaving) {
      const stops = isBeingEmptied(machine) || [...machine.tasks].some(({ stopRequest }) => stopRequest !== null);
      if (!stops || !this.block.machines.has(machine.name)) this.leaving.delete(machine);
      else if (this.acting) {
        for (const action of decideEvictions(machine, this.clock.now())) {
          if (action.kind === "release") this.observer.taskGone(action.task);
          else if (action.kind === "stop") action.task.stopRequest = { graceS: action.graceS };
        }
        if ([...machine.tasks].some(({ stopRequest }) => stopRequest !== null)) this.command(machine);
      }
    }
    if (this.leaving.size === 0) return;
    this.ticking = true;
    this.world.after(DRAIN_TICK, () => this.tick());
  }

  /** Time without heartbeats until a machine is considered lost, in microseconds. */
  private get silence(): number {
    return this.settings.workers.heartbeatInterval * this.setup.options.silentReports + PROBE;
  }

  /** The cloud reclaims a machine or it fails; the shard leader detects it by the missing heartbeats. */
  take(name: string, why: "taken" | "failed"): void {
    this.cloud.take(name, why);
    this.bodies.delete(name);
    this.world.after(this.silence, () => this.forget(name));
  }

  private forget(name: string): void {
    const machine = this.block.machines.get(name);
    if (machine === undefined) return;
    machine.state = "deleted";
    this.observer.machineLost(machine, "deleted");
    this.block.machines.delete(name);
    this.stirred = true;
  }

  /** Announces that a machine will be reclaimed in `inUs` microseconds. */
  notice(name: string, inUs: number): void {
    this.bodies.get(name)?.notice(inUs);
  }

  /**
   * Makes a machine hang. If it hangs beyond the heartbeat timeout it is deleted, as the real service does in order to
   * be certain that its tasks have ended.
   */
  silent(name: string, forUs: number): void {
    this.bodies.get(name)?.hang(forUs);
    if (forUs <= this.silence) return;
    this.world.after(this.silence, () => {
      const machine = this.block.machines.get(name);
      if (machine !== undefined && !machine.lifecycle.deleting) this.remove([machine]);
    });
  }

  /** Makes a machine faulty: every task that it starts from now on fails. */
  faulty(name: string): void {
    this.bodies.get(name)?.sicken();
  }

  /** Suspends cloud calls. */
  cloudOutage(forUs: number): void {
    this.cloudAwayUntil = Math.max(this.cloudAwayUntil, this.world.now + forUs);
  }

  /** Suspends writes to the key-value store and, since no decision can be recorded, all decisions. */
  stateOutage(forUs: number): void {
    const until = this.world.now + forUs;
    this.writer.pausedUntil = Math.max(this.writer.pausedUntil, until);
    this.pausedUntil = Math.max(this.pausedUntil, until);
    this.wakeRound(forUs + HOP);
  }

  /** Crash of a controller; if it is the shard leader, decisions pause until another takes over or it restarts. */
  controllerEnd(controller: number, backAfterUs: number): void {
    if (controller !== this.holder) return;
    const controllers = this.settings.controllers;
    this.holder = (this.holder + 1) % controllers;
    const gap = (controllers > 1 ? Math.min(backAfterUs, 10 * S) : backAfterUs) + TAKEOVER;
    this.pausedUntil = Math.max(this.pausedUntil, this.world.now + gap);
    this.wakeRound(gap + HOP);
  }

  private remove(machines: readonly Machine[]): void {
    for (const machine of machines) machine.lifecycle.deleting = true;
    this.doomed.push(...machines);
    if (!this.removing) this.removePart();
  }

  private removePart(): void {
    this.removing = this.doomed.length > 0;
    if (!this.removing) return;
    const away = this.cloudAwayUntil - this.world.now;
    const wait = Math.max(
      away,
      this.cloudLimit.timeUntilAvailable(1),
      this.acting ? 0 : this.pausedUntil - this.world.now,
    );
    if (wait > 0) {
      this.world.after(wait + HOP, () => this.removePart());
      return;
    }
    this.cloudLimit.take(1);
    const part = this.doomed.splice(0, MAX_DELETE);
    this.world.after(CLOUD_CALL, () => {
      for (const { name } of part) {
        this.cloud.take(name, "deleted");
        this.bodies.delete(name);
        this.forget(name);
      }
      this.removePart();
    });
  }

  // Decisions -----------------------------------------------------------------------------------------------

  private picture(): SchedulerSnapshot {
    return {
      now: this.clock.now(),
      shard: this.block,
      settings: this.settings,
      options: this.setup.options,
      heartbeatTimeout: Number.POSITIVE_INFINITY,
      maxPreemptionSearches: MAX_PREEMPTION_SEARCHES,
      recordBudget: { urgent: Number.POSITIVE_INFINITY, normal: Number.POSITIVE_INFINITY },
      guaranteesOvercommitted: this.memory.guaranteesOvercommitted,
      firstFencingToken: TOKEN,
      inspection: this.work,
    };
  }

  private wakeRound(delay: number): void {
    const gap = Math.max(ROUND_GAP, this.block.machines.size * ROUND_GAP_PER_MACHINE);
    const due = Math.max(this.world.now + delay, this.lastRound + gap);
    if (due >= this.roundAt) return;
    this.roundAt = due;
    this.world.at(due, () => {
      // An earlier round has been scheduled since.
      if (this.roundAt !== due) return;
      this.roundAt = Number.POSITIVE_INFINITY;
      this.round();
    });
  }

  private round(): void {
    this.lastRound = this.world.now;
    if (this.acting) for (const action of decideRound(this.picture(), this.memory)) this.carryOut(action);
    // Without waiting tasks there is nothing to place until an event schedules the next round.
    if (this.waits()) this.wakeRound(this.setup.options.roundMs * 1_000);
  }

  private carryOut(action: RoundAction): void {
    applyAction(this.block, action);
    switch (action.kind) {
      case "place":
        this.mark(action.task.range);
        return;
      case "preempt":
        this.attend(action.machine);
        this.command(action.machine);
        return;
      case "dissolve":
        for (const { machine } of action.job.placedTasks) if (machine !== null) this.command(machine);
        return;
      case "postpone search":
      case "wait":
    }
  }

  private market(): CloudOffers {
    return {
      pendingRequests: this.asks,
      unavailableUntil: (key) => this.refusals.until(key),
      unreachableZones: new Set(),
      demandHistory: this.history,
    };
  }

  private waits(): boolean {
    for (const job of this.block.jobs.values()) if (job.waitingTasks.size > 0 && !job.cancelled) return true;
    return false;
  }

  /** Runs a scale plan; less often while jobs and machines are unchanged, since then only elapsed time affects it. */
  private plan(): void {
    if (this.acting && (this.stirred || this.world.now - this.plannedAt >= QUIET_PLAN)) {
      this.stirred = false;
      this.plannedAt = this.world.now;
      const snapshot = this.picture();
      const { scaleOut, scaleIn } = planScaling(snapshot, this.market());
      for (const { offer, count } of scaleOut) {
        for (let left = Math.min(count, MAX_ASK * MAX_ASKS); left > 0; left -= MAX_ASK) {
          this.asks.push({ offer, count: Math.min(left, MAX_ASK), since: this.clock.now() });
        }
      }
      if (scaleIn.length > 0) this.remove(scaleIn.slice(0, MAX_DELETE).map(({ machine }) => machine));
      this.move(snapshot);
    }
    this.settle();
  }

  private move(snapshot: SchedulerSnapshot): void {
    if (this.world.now < this.moveAfter) return;
    this.moveAfter = this.world.now + MOVE_LOOK;
    const machine = chooseMachineToConsolidate(snapshot, this.history);
    if (machine === null) return;
    machine.lifecycle.drainReason = "scale-in";
    this.moveAfter = this.world.now + MOVE_PERIOD;
    this.attend(machine);
  }

  /** Sends the pending provisioning requests one at a time; schedules the next scale plan after the last one. */
  private settle(): void {
    const ask = this.asks[0];
    if (ask === undefined || !this.acting || this.cloudAwayUntil > this.world.now) {
      const gap = Math.max(PLAN_PERIOD, this.block.machines.size * PLAN_GAP_PER_MACHINE);
      this.world.after(gap, () => this.plan());
      return;
    }
    const wait = this.cloudLimit.timeUntilAvailable(1);
    if (wait > 0) {
      this.world.after(wait, () => this.settle());
      return;
    }
    this.cloudLimit.take(1);
    this.world.after(CLOUD_CALL, () => {
      this.asks = this.asks.slice(1);
      const { type, zone, spot } = ask.offer;
      const known = this.setup.spec.types.find(({ name }) => name === type.name);
      const names = known === undefined ? [] : this.cloud.grant(known, zone, spot, ask.count);
      for (const name of names) {
        const machine = createMachine({ name, typeName: type.name, type, zone, spot }, this.clock.now());
        machine.lifecycle.provisionedAt = ask.since;
        this.block.machines.set(name, machine);
      }
      this.refusals.recordGrant(ask.offer, ask.count, names.length, this.clock.now());
      this.stirred = true;
      this.settle();
    });
  }
}
