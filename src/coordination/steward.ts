import { Block } from "../bookkeeping/block.js";
import { factsOf } from "../bookkeeping/events.js";
import { newMachine } from "../bookkeeping/machines.js";
import type { Job, Machine } from "../bookkeeping/picture.js";
import { CURRENT, fullKey, jobOfKey, rangeOfKey, readJob, TYPES_KEY } from "../bookkeeping/records.js";
import type { MachineType } from "../protocol/cloud.js";
import type { Change, Entry } from "../protocol/state.js";
import type { Report } from "../protocol/worker.js";
import { type Micros, ms, seconds, type Timer } from "../transport/clock.js";
import { describeError } from "../transport/log.js";
import type { Cloud } from "./cloud.js";
import { Commander } from "./commander.js";
import { answerTokenOf, type BlockContext, type BlockLease, firstToken, type Services } from "./context.js";
import { type Evidence, maybeOvertaken, type Origin } from "./decisions/evidence.js";
import { answersReach, isDeaf, isReached } from "./decisions/reach.js";
import type { Extension, Holding } from "./extension.js";
import { Lanes } from "./lanes.js";
import { Observer } from "./observer.js";
import { Recorder } from "./recorder.js";
import { Rental } from "./rental.js";
import { Rounds } from "./rounds.js";
import { Silences } from "./silence-record.js";

const TICK = ms(250);
const REPORT: Origin = { kind: "report" };
const ROUND_GAP = ms(10);
/** Time to ask all machines for their state after a handover; before, silence says nothing. */
const SETTLE = seconds(5);
const STANDSTILL = seconds(1.5);
/** Without news from the state service for so long, silence elsewhere says little. */
const OWN_FAULT = seconds(3);
const SETTLE_MOST = seconds(12);
const PROBE_TIME = seconds(1.7);
/** Machines that are heard and not reached are asked so often whether they are again. */
const PROBE_AGAIN = seconds(4);
/** Of the machines, so many are given up within a worker's lease because nothing gets to them. */
const GIVE_UP_SHARE = 0.1;
/** A zone counts as cut off when so many reports of it are missing, and not before this time. */
const CUT_REPORTS = 8;
const CUT_LEAST = seconds(1.5);
/** Silent machines asked in one tick: a zone's worth at once would take all connections. */
const MAX_PROBES = 64;
const SUMMARY_PERIOD = seconds(30);
/** Machines asked for their state at once after a handover. */
const MAX_INQUIRIES = 48;
/** Commands sent at once: to machines that are heard, and to others. */
const QUICK_LANES = 96;
const SLOW_LANES = 16;
const MAX_INTRODUCTIONS = 24;
/** Reports come a quarter later at most, are given up after so long, and then go to the next controller. */
const LONGEST_REPORT = 1.25;
const REPORT_PATIENCE = seconds(4);
const NEXT_NODE = seconds(3);
/** Where the processor is short, the machines' own reports are to be read first. */
const FEW_INQUIRIES = 6;
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
  readonly commands: ReturnType<Commander["standing"]>;
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
  /** When workers were last able to reach us without a gap. */
  private settledFrom: Micros;
  readonly takenAt: Micros;
  private wasValid = true;
  private invalidSince: Micros = 0 as Micros;
  private typesAt: Micros = 0 as Micros;
  private lastTick: Micros = 0 as Micros;
  private summedAt: Micros;
  /** To be asked for their state: those with replicas, those with other work, the rest. */
  private readonly inquiries: readonly [Set<Machine>, Set<Machine>, Set<Machine>] = [new Set(), new Set(), new Set()];
  private inquiring = 0;
  private readonly silences: Silences;
  private introducing = 0;
  private sayingFull = false;
  private readonly lanes: Lanes<Machine>;
  private roundGap: Micros = ROUND_GAP;
  private holding: Holding | null = null;
  private restored = false;
  /** When machines were given up because nothing gets to them. */
  private givenUp: Micros[] = [];

  constructor(
    private readonly services: Services,
    private readonly lease: BlockLease,
    private readonly cloud: Cloud,
    private readonly types: Map<string, MachineType>,
    onFenced: () => void,
    onWrong: () => void,
    private readonly onDeaf: () => Promise<void>,
    private readonly extension: Extension | null = null,
  ) {
    const { clock, settings } = services;
    const rangeSize = Math.max(1, Math.min(MAX_RANGE, Math.floor(settings.state.valueBytes / BYTES_PER_TASK)));
    const block = new Block(clock, rangeSize, settings.teams, () => types);
    this.takenAt = clock.now();
    this.settledFrom = (clock.now() + SETTLE) as Micros;
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
      inquire: (machine) => this.inquire(machine),
      introduce: (machine) => this.introduce(machine),
      mayStart: (machine) => this.silences.open(machine.zone),
      ended: (job, end) => this.holding?.ended(job.spec, end),
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
    this.restore();
    this.holding =
      this.extension?.take(this.context, {
        sweepWithdrawn: (ids) => {
          for (const id of ids) this.sweepWithdrawn(id);
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
    const trusted = machine.seenToken >= firstToken(this.lease) && learnt !== "unproven";
    if (!trusted) this.introduce(machine);
    else if (this.commander.urgent(machine)) this.wakeCommands(machine);
    if (!this.mayAnswer(machine, learnt)) return null;
    machine.leaseBase = clock.now();
    machine.leaseOver = false;
    const commands = trusted ? [...this.commander.standing(machine), ...this.commander.forgets(machine)] : [];
    return { token: answerTokenOf(this.lease, machine), commands };
  }

  /**
   * A worker whose reports come while nothing gets there might take any answer of ours: so that its lease, and with it what it
   * runs, is surely over some day, it gets none until a question has been answered.
   */
  private mayAnswer(machine: Machine, learnt: Evidence): boolean {
    const { clock, settings } = this.services;
    if (learnt !== "unproven") machine.unprovenSince = null;
    else machine.unprovenSince ??= clock.now();
    if (isDeaf(machine.reach)) return false;
    return machine.unprovenSince === null || clock.now() - machine.unprovenSince < settings.workers.lease / 2;
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

  // Picture -----------------------------------------------------------------------------------------------

  private restore(): void {
    const { view, log } = this.services;
    const { block } = this.context;
    const ranges: { id: string; range: number; key: string }[] = [];
    const jobs: Entry[] = [];
    for (const [key, entry] of view.entries) {
      if (jobOfKey(key) !== null) jobs.push(entry);
      const range = rangeOfKey(key);
      if (range !== null) ranges.push({ ...range, key });
    }
    // A list comes in the order of the keys, while guarantees go to whoever was accepted first.
    jobs.sort((a, b) => (a.version < b.version ? -1 : 1));
    for (const entry of jobs) this.jobChanged({ kind: "put", ...entry });
    ranges.sort((a, b) => a.range - b.range);
    const orphans: string[] = [];
    for (const { id, range, key } of ranges) {
      const job = block.jobs.get(id);
      const entry = view.entries.get(key);
      if (entry === undefined) continue;
      // Without a job it is a leftover of one that ended.
      if (job === undefined) orphans.push(key);
      else block.restoreRange(job, range, entry.version, entry.value, firstToken(this.lease) - 1);
    }
    this.recorder.sweep(orphans.filter((key) => key.startsWith(CURRENT)));
    for (const job of block.jobs.values()) this.recorder.finish(job);
    this.restored = true;
    log.info("block taken", { block: this.lease.block, number: this.lease.number, jobs: block.jobs.size });
  }

  changed(change: Change): void {
    if (this.stopped) return;
    if (jobOfKey(change.key) !== null) this.jobChanged(change);
    this.holding?.changed(change);
  }

  private sweepWithdrawn(id: string): void {
    const job = this.context.block.jobs.get(id);
    if (job === undefined || job.cancelled || this.extension?.withdrawn(job.spec) !== true) return;
    job.why = "graph";
    this.withdraw(job);
  }

  private jobChanged(change: Change): void {
    const { block } = this.context;
    const id = jobOfKey(change.key) ?? "";
    if (change.kind === "delete") return;
    const record = readJob(change.value);
    if (record.block !== this.lease.block) return;
    const known = block.jobs.get(id);
    if (known === undefined) {
      const withdrawn = !record.cancelled && this.extension?.withdrawn(record.spec) === true;
      const job = block.addJob(record.spec, change.version, record.cancelled || withdrawn);
      job.why = withdrawn ? "graph" : (record.why ?? null);
      // While this controller was restoring, whoever restores calls `finish` for all; else nobody would.
      if (job.cancelled && this.restored) this.recorder.finish(job);
      this.rental.learn(record.spec);
      this.context.sink?.({ kind: "job seen", spec: record.spec });
      this.wakeRound(0 as Micros);
      return;
    }
    known.version = change.version;
    if (!record.cancelled || known.cancelled) return;
    known.why = record.why ?? null;
    this.withdraw(known);
  }

  private withdraw(known: Job): void {
    const { id } = known.spec;
    known.cancelled = true;
    this.services.log.info("job cancelled", { job: id });
    this.context.sink?.({ kind: "job cancelled", job: id });
    for (const task of [...known.placed]) {
      const machine = task.on;
      if (task.launch.kind === "none") this.observer.gone(task);
      if (machine !== null) this.wakeCommands(machine);
    }
    this.recorder.finish(known);
  }

  // Loops -------------------------------------------------------------------------------------------------

  private guard(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      (error: unknown) => this.services.log.error("steward step failed", { error: describeError(error) }),
    );
  }

  /** Bounded: a thousand machines asked at once took all sockets and all processor time from what was running. */
  private inquire(machine: Machine): void {
    // Those that may have work on them first: what they ran is either still there or to be placed anew.
    const [withReplicas, withWork, others] = this.inquiries;
    for (const queue of this.inquiries) queue.delete(machine);
    (machine.replicas > 0 ? withReplicas : machine.tasks.size > 0 ? withWork : others).add(machine);
    this.nextInquiry();
  }

  private takeInquiry(): Machine | undefined {
    for (const queue of this.inquiries) {
      for (const machine of queue) {
        queue.delete(machine);
        return machine;
      }
    }
    return undefined;
  }

  private nextInquiry(): void {
    const { overload } = this.services;
    const most = overload.atLeast("lean") ? FEW_INQUIRIES : MAX_INQUIRIES;
    while (!this.stopped && this.inquiring < most) {
      const machine = this.takeInquiry();
      if (machine === undefined) return;
      // Its own report came first.
      if (machine.timely && machine.seenToken >= firstToken(this.lease) && machine.learntAt > machine.doubtedAt)
        continue;
      this.inquiring += 1;
      void this.guard(this.commander.inquire(machine)).then(() => {
        this.inquiring -= 1;
        // Silence says nothing before everybody has been asked once; a zone that is cut off is asked again and
        // again, and must not keep it from being heard.
        const asked = (this.services.clock.now() + PROBE_TIME) as Micros;
        if (this.inquiries.some((queue) => queue.size > 0) && asked < this.takenAt + SETTLE_MOST) {
          this.settledFrom = Math.max(this.settledFrom, asked) as Micros;
        }
        this.nextInquiry();
      });
    }
  }

  /**
   * Shows the worker our token at once. Only where that is cheap: the answer to its report does so, too, and it then
   * reports anew by itself within a second.
   */
  private introduce(machine: Machine): void {
    if (this.introducing >= MAX_INTRODUCTIONS || this.services.overload.atLeast("lean")) return;
    this.introducing += 1;
    void this.guard(this.commander.send(machine, true)).then(() => {
      this.introducing -= 1;
    });
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
      if (valid && !this.wasValid) this.settledFrom = (clock.now() + SETTLE) as Micros;
      if (valid !== this.wasValid) log.info(valid ? "lease regained" : "lease run out", { block: this.lease.block });
      if (valid && !this.wasValid) this.context.sink?.({ kind: "state away", span: this.since(this.invalidSince) });
      if (!valid && this.wasValid) this.invalidSince = clock.now();
      this.wasValid = valid;
      // After a standstill of our own everybody seems silent until what has arrived meanwhile is read.
      const pause = clock.now() - this.lastTick;
      if (this.lastTick !== 0 && pause > STANDSTILL) {
        this.settledFrom = Math.max(this.settledFrom, clock.now() + SETTLE) as Micros;
      }
      this.lastTick = clock.now();
      this.expire();
      if (valid) {
        this.silence();
        for (const machine of this.context.block.machines.values()) this.commander.drain(machine);
        this.refreshTypes();
        this.sayWhetherFull();
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

  /** Past its lease a worker has ended everything, whether or not it can be heard. */
  private expire(): void {
    const { clock, settings } = this.services;
    const span = Math.ceil(settings.workers.lease * 1.002) + seconds(0.5);
    for (const machine of this.context.block.machines.values()) {
      if (machine.session === null) {
        const before = this.silences.answeredBefore(machine.zone);
        if (before !== null && before < machine.leaseBase) machine.leaseBase = before;
      }
      if (machine.leaseOver || clock.now() - machine.leaseBase <= span) continue;
      machine.leaseOver = true;
      // A message of the session that is over must not bring its tasks back into the picture.
      if (machine.session !== null) machine.staleSession = machine.session;
      this.observer.lost(machine, "worker lease over");
    }
  }

  /** A machine that misses its reports is probed, and given up if it does not answer: the cloud's answer to the
   * deletion is a far quicker proof that its tasks are gone than the end of its lease. */
  private silence(): void {
    const { clock, settings, options, log, view } = this.services;
    const now = clock.now();
    if (now < this.settledFrom || now < this.wayAround()) return;
    const limit = settings.workers.report * options.silentReports;
    // One that is only known from the records, and by now should have been heard of, counts like one fallen silent.
    const up = [...this.context.block.machines.values()].filter(
      (machine) => (machine.state === "up" || machine.tasks.size > 0) && !machine.deleting,
    );
    const silent = up.filter((machine) => now - machine.lastHeard > limit);
    const newest = up.reduce((latest, machine) => Math.max(latest, machine.lastHeard), 0);
    const stateHeard = now - (view.freshAt ?? now) <= OWN_FAULT;
    if (up.length >= 3 && now - newest > limit && stateHeard) {
      // Not one of many: the workers cannot reach this controller, while another may well be reached. Their leases
      // run, and deleting them one by one, as they miss their reports, would end work that is going on.
      log.info("no machine heard, handing over", { machines: up.length });
      void this.guard(this.onDeaf());
      return;
    }
    let probes = 0;
    // Those that are heard and do not answer are asked again and again: by that they are taken back.
    const unsure = up.filter(({ reach, lastHeard }) => reach.unanswered > 0 && now - lastHeard <= limit);
    for (const machine of unsure) {
      if (probes >= MAX_PROBES) break;
      if (now - machine.probed < (isReached(machine.reach) ? PROBE_TIME : PROBE_AGAIN)) continue;
      probes += 1;
      machine.probed = now;
      void this.guard(this.commander.send(machine, true));
    }
    for (const machine of silent) {
      if (probes >= MAX_PROBES) break;
      if (machine.probed < machine.lastHeard) {
        probes += 1;
        machine.probed = now;
        const probe = machine.session === null ? this.commander.inquire(machine) : this.commander.send(machine, true);
        void this.guard(probe);
      }
    }
    // Where nobody at all has been heard since it was asked, the silence may be ours: with six machines one was given up
    // 3.6 s into a cut from all of them, before the cut was noticed.
    const dead = silent.filter(({ probed, lastHeard }) => {
      return probed >= lastHeard && now - probed > PROBE_TIME && (up.length < 3 || newest > probed);
    });
    this.unreached(up);
    const zones = this.cutZones(up, limit);
    this.rental.cutZones = zones;
    this.silences.cut(zones);
    // When most are silent, or the state service is, too, the fault is more likely on our side. Those that have not
    // missed a report yet may just not have been due.
    const quiet = this.quietTime(up.length, limit);
    const own = dead.length > Math.max(2, up.length * 0.6) || !stateHeard || (up.length >= 3 && now - newest > quiet);
    if (dead.length === 0 || own) return;
    // Replicas in a zone that is cut off run on for as long as their worker's lease; the cut may well be over
    // before, and no proof that they are gone is worth ending them.
    const lost = dead.filter((machine) => machine.replicas === 0 || !zones.has(machine.zone));
    if (lost.length === 0) return;
    log.info("machines silent", { machines: lost.map((machine) => machine.name), cut: [...zones] });
    for (const machine of lost) {
      this.context.sink?.({ kind: "machine silent", span: settings.workers.lease, ...factsOf(machine) });
    }
    void this.guard(this.rental.remove(lost));
  }

  /**
   * Machines that are heard and that nothing gets to, or whose leases nothing renews: deleting them is the fast proof that
   * their tasks are gone. Where many go at once it is a cut and no fault of theirs: the rest keeps what it runs until the
   * worker's lease is over, and whoever else holds the block may reach them.
   */
  private unreached(up: readonly Machine[]): void {
    const { clock, settings, log } = this.services;
    const now = clock.now();
    // Other ways to them may open meanwhile, and reports that come by those show the answers' effect.
    const stands = settings.workers.report * LONGEST_REPORT + REPORT_PATIENCE + NEXT_NODE;
    const lost = up.filter(({ reach, unreachedSince }) => {
      return unreachedSince !== null && now - unreachedSince > stands && (isDeaf(reach) || !answersReach(reach));
    });
    if (lost.length === 0) return;
    if (lost.length > Math.max(2, up.length * 0.6)) {
      log.info("machines heard, none reached: handing over", { machines: lost.length });
      void this.guard(this.onDeaf());
      return;
    }
    this.givenUp = this.givenUp.filter((at) => now - at < settings.workers.lease);
    const most = Math.max(2, Math.ceil(up.length * GIVE_UP_SHARE)) - this.givenUp.length;
    const chosen = lost.sort((a, b) => b.tasks.size - a.tasks.size).slice(0, Math.max(0, most));
    if (chosen.length === 0) return;
    for (const machine of chosen) {
      this.givenUp.push(now);
      this.context.sink?.({ kind: "machine silent", span: settings.workers.lease, ...factsOf(machine) });
    }
    log.info("machines given up, not reached", { machines: chosen.map(({ name }) => name) });
    void this.guard(this.rental.remove(chosen));
  }

  /**
   * Workers that cannot reach this controller come to it through others, once their next report is due, has failed here
   * and has been tried there. Until then silence says nothing: three machines were given up that a sibling reached.
   */
  private wayAround(): Micros {
    const { deafChangedAt, settings } = this.services;
    const changed = deafChangedAt();
    if (changed === null) return 0 as Micros;
    return (changed + Math.ceil(settings.workers.report * LONGEST_REPORT) + REPORT_PATIENCE + NEXT_NODE) as Micros;
  }

  private since(time: Micros): Micros {
    return (this.services.clock.now() - time) as Micros;
  }

  /** In which so many machines ought to have been heard several times. */
  private quietTime(machines: number, limit: number): number {
    return Math.min(limit, Math.max(CUT_LEAST, (CUT_REPORTS * this.services.settings.workers.report) / machines));
  }

  /** Zones of which nothing at all has been heard for a time in which many of their machines ought to have reported. */
  private cutZones(up: readonly Machine[], limit: number): ReadonlySet<string> {
    const { clock } = this.services;
    const zones = new Map<string, { machines: number; newest: Micros }>();
    for (const { zone, lastHeard } of up) {
      // Known from the records only: in no zone that anything could be concluded of.
      if (zone === "") continue;
      const known = zones.get(zone) ?? { machines: 0, newest: 0 as Micros };
      zones.set(zone, { machines: known.machines + 1, newest: Math.max(known.newest, lastHeard) as Micros });
    }
    const cut = [...zones].filter(([, { machines, newest }]) => {
      return machines >= 3 && clock.now() - newest > this.quietTime(machines, limit);
    });
    // Of nobody at all: then it is us who hear nothing.
    return new Set(cut.length === zones.size ? [] : cut.map(([zone]) => zone));
  }

  /** Tells the other controllers, by a key, to accept nothing more for this block, or that they may again. */
  private sayWhetherFull(): void {
    const { view, committer, overload } = this.services;
    const key = fullKey(this.lease.block);
    const entry = view.entries.get(key);
    const full = overload.atLeast("full");
    if (this.sayingFull || full === (entry !== undefined)) return;
    this.sayingFull = true;
    const { key: lease, version } = this.lease;
    const conditions = new Map([
      [lease, version],
      [key, entry?.version ?? 0],
    ]);
    const write = full ? ({ kind: "put", key, value: {} } as const) : ({ kind: "delete", key } as const);
    // Whatever becomes of it, the next tick looks again.
    const said = committer.propose(conditions, [write], "cancel").then(() => view.sync());
    void this.guard(said).then(() => {
      this.sayingFull = false;
    });
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
