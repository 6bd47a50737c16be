import { Block } from "../bookkeeping/block.js";
import { newMachine } from "../bookkeeping/machines.js";
import type { Job, Machine } from "../bookkeeping/picture.js";
import { TYPES_KEY } from "../bookkeeping/records.js";
import type { MachineType } from "../protocol/cloud.js";
import type { MachineLinks } from "../protocol/links.js";
import type { Change } from "../protocol/state.js";
import type { Command, Report } from "../protocol/worker.js";
import { type Micros, ms, seconds, type Timer } from "../transport/clock.js";
import { describeError } from "../transport/log.js";
import { Chained } from "./chained.js";
import type { Cloud } from "./cloud.js";
import { Commander } from "./commander.js";
import { answerTokenOf, type BlockContext, type BlockLease, firstToken, type Services } from "./context.js";
import { type Evidence, maybeOvertaken, type Origin } from "./decisions/evidence.js";
import { isDeaf } from "./decisions/reach.js";
import { type Allowed, allowedTo, stopsOwed } from "./decisions/rights.js";
import type { Extension, Holding } from "./extension.js";
import { Fullness } from "./fullness.js";
import { Inquiries } from "./inquiries.js";
import { JobsFeed } from "./jobs-feed.js";
import { Lanes } from "./lanes.js";
import { Observer } from "./observer.js";
import { Recorder } from "./recorder.js";
import { Rental } from "./rental.js";
import { Rounds } from "./rounds.js";
import { Silences } from "./silence-record.js";
import { Watch } from "./watch.js";

const TICK = ms(250);
const REPORT: Origin = { kind: "report" };
const ROUND_GAP = ms(10);
/** Whether an answer got to its worker is asked so long after it. */
const VERIFY_AFTER = seconds(1);
const STANDSTILL = seconds(1.5);
const SUMMARY_PERIOD = seconds(30);
/** Commands sent at once: to machines that are heard, and to others. */
const QUICK_LANES = 96;
const SLOW_LANES = 16;
/** Between rounds under load. */
const COARSE_GAP = seconds(1);
/** A round leaves this many times its own length to all else, above all to reports. */
const ROUND_REST = 4;
const TYPES_PERIOD = seconds(30);
/** So many bytes of a range's value a task may take: attempt, machine name and punctuation. */
const BYTES_PER_TASK = 48;
const MAX_RANGE = 128;

export interface StewardAnswer {
  readonly token: number;
  readonly commands: readonly Command[];
}

/** Acts for one block for as long as this process holds its lease. Everything in it dies with the lease. */
export class Steward {
  private readonly context: BlockContext;
  private readonly observer: Observer;
  private readonly recorder: Recorder;
  private readonly commander: Commander;
  private readonly rounds: Rounds;
  private readonly rental: Rental;
  private stopped = false;
  private roundTimer: Timer | null = null;
  private roundDue: Micros = 0 as Micros;
  private lastRound: Micros = 0 as Micros;
  readonly takenAt: Micros;
  private wasValid = true;
  private invalidSince: Micros = 0 as Micros;
  private typesAt: Micros = 0 as Micros;
  private lastTick: Micros = 0 as Micros;
  private summedAt: Micros;
  private readonly inquiries: Inquiries;
  private readonly watch: Watch;
  private readonly feed: JobsFeed;
  private readonly chained: Chained;
  private readonly silences: Silences;
  private readonly fullness: Fullness;
  private readonly lanes: Lanes<Machine>;
  private roundGap: Micros = ROUND_GAP;
  private holding: Holding | null = null;

  constructor(
    private readonly services: Services,
    private readonly lease: BlockLease,
    private readonly cloud: Cloud,
    private readonly types: Map<string, MachineType>,
    onFenced: () => void,
    onWrong: () => void,
    onDeaf: () => Promise<void>,
    extension: Extension | null = null,
  ) {
    const { clock, settings } = services;
    const rangeSize = Math.max(1, Math.min(MAX_RANGE, Math.floor(settings.state.layoutBytes / BYTES_PER_TASK)));
    const block = new Block(clock, rangeSize, settings.teams, () => types);
    this.takenAt = clock.now();
    this.summedAt = clock.now();
    this.context = {
      ...services,
      block,
      lease,
      fenced: () => {
        if (!this.stopped) onFenced();
      },
      startOver: () => {
        if (!this.stopped) onWrong();
      },
      wakeRound: () => this.wakeRound(ROUND_GAP),
      wakeCommands: (machine) => this.wakeCommands(machine),
      inquire: (machine) => this.inquiries.add(machine),
      introduce: (machine) => this.inquiries.introduce(machine),
      mayStart: (machine) => this.silences.open(machine.zone),
      ended: (job, end) => {
        this.recorder.sweep(this.chained.partsOf(job));
        this.chained.ended(job, end);
        this.holding?.ended(job.spec, end);
      },
      failed: (task, reason) => this.holding?.failed(task.job.spec, task.index, reason),
    };
    this.recorder = new Recorder(this.context);
    this.observer = new Observer(this.context, this.recorder);
    this.commander = new Commander(this.context, this.observer);
    this.rounds = new Rounds(this.context, this.recorder);
    this.rental = new Rental(this.context, cloud, this.rounds, this.observer);
    // Machines that do not answer keep a lane for seconds: a zone of them must not keep starts elsewhere waiting.
    const late = settings.workers.report * services.options.silentReports;
    this.lanes = new Lanes(
      clock,
      (machine) => this.guard(this.stopped ? Promise.resolve() : this.commander.send(machine)),
      (machine) => (clock.now() - machine.lastHeard > late ? "slow" : "quick"),
      { quick: QUICK_LANES, slow: SLOW_LANES },
    );
    this.silences = new Silences(services, lease, () => block.machines.values());
    this.rental.cutZones = this.silences.inheritedZones;
    const { context, commander, observer, recorder, rental, silences } = this;
    const guard = (work: Promise<unknown>): Promise<void> => this.guard(work);
    this.watch = new Watch({ context, commander, observer, rental, silences, guard, onDeaf });
    this.inquiries = new Inquiries({
      overload: services.overload,
      lease,
      commander,
      guard,
      stopped: () => this.stopped,
      stillAsking: () => this.watch.stillAsking(),
    });
    this.fullness = new Fullness(services, lease, guard);
    this.chained = new Chained(context, (job) => rental.learn(job.spec));
    this.feed = new JobsFeed({
      context,
      chained: this.chained,
      recorder,
      observer,
      extension,
      wakeRound: () => this.wakeRound(0 as Micros),
    });
    this.feed.restore();
    this.holding =
      extension?.take(this.context, {
        sweepWithdrawn: (ids) => {
          for (const id of ids) this.feed.sweepWithdrawn(id);
        },
      }) ?? null;
    this.tick();
    this.wakeRound(ROUND_GAP);
    void this.rental.run();
  }

  stop(): void {
    this.stopped = true;
    this.holding?.stop();
    this.rental.stop();
    this.roundTimer?.cancel();
  }

  /** Null: nothing may be said in the block's name. */
  report(report: Report): StewardAnswer | null {
    const { block, clock } = this.context;
    if (this.stopped || !this.lease.valid() || block.deleted.has(report.machine)) return null;
    const machine = this.known(report);
    if (!this.silences.open(machine.zone)) {
      machine.lastHeard = clock.now();
      this.silences.heard(machine.zone);
      return null;
    }
    const overtaken = maybeOvertaken(machine, report);
    const learnt = this.observer.observe(machine, report, REPORT);
    if (learnt === "doubtful" && !overtaken) return null;
    const allowed = this.allowed(machine, learnt);
    if (!allowed.command) this.inquiries.introduce(machine);
    else if (this.commander.urgent(machine)) this.wakeCommands(machine);
    if (!allowed.renew) return null;
    machine.leaseBase = clock.now();
    machine.leaseOver = false;
    const { reach } = machine;
    if (reach.asked !== null) {
      reach.toldAt = clock.now();
      // Seen a moment later whether it got there, instead of with a report that may come a quarter of a lease later.
      clock.after(VERIFY_AFTER, () => {
        if (!this.stopped && machine.reach.asked !== null) this.inquiries.add(machine);
      });
    }
    const owed = stopsOwed(report.tasks, block.jobs);
    const commands = allowed.command
      ? [...this.commander.standing(machine, owed), ...this.commander.forgets(machine)]
      : owed;
    return { token: answerTokenOf(this.lease, machine), commands };
  }

  private allowed(machine: Machine, learnt: Evidence): Allowed {
    const { clock, settings } = this.services;
    if (learnt !== "unproven") machine.unprovenSince = null;
    else machine.unprovenSince ??= clock.now();
    return allowedTo({
      learnt,
      tokenSeen: machine.seenToken >= firstToken(this.lease),
      deaf: isDeaf(machine.reach),
      unprovenFor: this.since(machine.unprovenSince ?? clock.now()),
      workerLease: settings.workers.lease,
    });
  }

  /** How things stand with the machines, for people; `roomKeptFor`: the job for which room that comes free is kept. */
  get standing(): MachineLinks {
    return { ...this.watch.troubles(), mayAct: this.lease.valid(), roomKeptFor: this.rounds.keepsFor };
  }

  /** Machines that have been heard of here. */
  get upMachines(): number {
    let count = 0;
    for (const { state } of this.context.block.machines.values()) if (state === "up") count += 1;
    return count;
  }

  get size(): { readonly machines: number; readonly tasks: number } {
    const { machines, jobs } = this.context.block;
    let tasks = 0;
    for (const { waiting, placed } of jobs.values()) tasks += waiting.size + placed.size;
    return { machines: machines.size, tasks };
  }

  /** The list of tasks that the machine's last report gave, where a repetition of it would say nothing new. */
  listingOf(machine: string): string | null {
    return this.context.block.machines.get(machine)?.listing ?? null;
  }

  jobAt(id: string): Job | null {
    return this.context.block.jobs.get(id) ?? null;
  }

  running(jobId: string): { done: number; running: number } | null {
    const job = this.context.block.jobs.get(jobId);
    if (job === undefined) return null;
    return { done: job.done, running: job.running };
  }

  private known(report: Report): Machine {
    const { block, clock, log } = this.context;
    let machine = block.machines.get(report.machine);
    if (machine === undefined) {
      machine = newMachine(report.machine, report.type, null, report.zone, report.spot, clock.now());
      // It may be gone for long: no room until it is heard of otherwise.
      machine.state = "rumoured";
      block.machines.set(report.machine, machine);
      log.info("machine reported", { machine: report.machine });
    }
    machine.type ??= this.types.get(report.type) ?? null;
    if (machine.typeName === "") {
      machine.typeName = report.type;
      machine.zone = report.zone;
      machine.spot = report.spot;
    }
    return machine;
  }

  /** What is current below the watched prefix has changed. */
  changed(change: Change): void {
    if (this.stopped) return;
    this.feed.changed(change);
    this.holding?.changed(change);
  }

  /** The job is withdrawn with one that it needs. */
  withdrawn(id: string): void {
    if (this.stopped) return;
    this.feed.withdrawn(id);
    this.chained.withdrawn(id);
  }

  /** All that the job awaits is on record as done. */
  mayBegin(id: string): void {
    if (!this.stopped) this.chained.mayBegin(id);
  }

  // Loops -------------------------------------------------------------------------------------------------

  private guard(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      (error: unknown) => this.services.log.error("steward step failed", { error: describeError(error) }),
    );
  }

  private wakeCommands(machine: Machine): void {
    this.lanes.add(machine);
  }

  private wakeRound(delay: Micros): void {
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
        if (!this.stopped) this.rounds.run();
      } catch (error) {
        this.services.log.error("round failed", { error: describeError(error) });
      }
      const least = this.services.overload.atLeast("coarse") ? COARSE_GAP : ROUND_GAP;
      this.roundGap = Math.max(least, ROUND_REST * (clock.now() - this.lastRound)) as Micros;
      this.wakeRound(ms(this.services.options.roundMs));
    });
  }

  private tick(): void {
    if (this.stopped) return;
    const { clock, log } = this.services;
    try {
      const valid = this.lease.valid();
      if (valid && !this.wasValid) this.watch.settle();
      if (valid !== this.wasValid) log.info(valid ? "lease regained" : "lease run out", { block: this.lease.block });
      if (valid && !this.wasValid) this.context.sink?.({ kind: "state away", span: this.since(this.invalidSince) });
      if (!valid && this.wasValid) this.invalidSince = clock.now();
      this.wasValid = valid;
      // After a standstill of our own everybody seems silent until what has arrived meanwhile is read.
      const pause = clock.now() - this.lastTick;
      if (this.lastTick !== 0 && pause > STANDSTILL) this.watch.settle();
      this.lastTick = clock.now();
      if (valid) {
        this.watch.expire();
        this.watch.silence();
        for (const machine of this.context.block.machines.values()) this.commander.drain(machine);
        this.refreshTypes();
        this.fullness.say();
        if (clock.now() - this.summedAt > SUMMARY_PERIOD) {
          this.summedAt = clock.now();
          log.info("room", {
            ...this.rounds.summary(),
            jobs: this.context.block.jobs.size,
            failing: this.observer.failing(),
            reports: this.observer.lateReports(),
            records: { ...this.recorder.delays(), ...this.services.committer.summary() },
          });
        }
      }
    } catch (error) {
      log.error("tick failed", { error: describeError(error) });
    }
    clock.after(TICK, () => this.tick());
  }

  private since(time: Micros): Micros {
    return (this.services.clock.now() - time) as Micros;
  }

  private refreshTypes(): void {
    const { clock, view, committer, settings } = this.services;
    if (this.typesAt !== 0 && clock.now() - this.typesAt < TYPES_PERIOD) return;
    this.typesAt = clock.now();
    const refresh = async (): Promise<void> => {
      const reply = await this.cloud.types();
      if (reply.kind !== "ok") return;
      this.types.clear();
      for (const type of reply.value.types) this.types.set(type.name, type);
      this.wakeRound(ROUND_GAP);
      const fits = JSON.stringify(reply.value.raw).length < settings.state.valueBytes;
      if (view.entries.has(TYPES_KEY) || !fits) return;
      // For controllers that start while the cloud cannot be asked.
      await committer.propose(new Map([[TYPES_KEY, 0]]), [{ kind: "put", key: TYPES_KEY, value: reply.value.raw }]);
    };
    void this.guard(refresh());
  }
}
