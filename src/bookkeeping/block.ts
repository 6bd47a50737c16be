import type { MachineType } from "../protocol/cloud.js";
import type { Whole } from "../protocol/json.js";
import { type JobSpec, rankOf } from "../protocol/user.js";
import type { Team } from "../settings/settings.js";
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import { newMachine, rememberImage, tally } from "./machines.js";
import type { Job, Machine, Range, Task } from "./picture.js";
import { rangeBytes, readRange, type TaskRecord } from "./records.js";

/**
 * Nothing speaks against it. Not the present time: ranges come into being in the midst of a round, and by the time that
 * the round began with, a task of this very moment was not to start yet. It waited for the next round, a second later
 * where little happens.
 */
const ANY_TIME = 0 as Micros;

/** All that the holder of a block knows: its jobs, machines and team ledgers. Forgotten with the lease. */
export class Block {
  readonly jobs = new Map<string, Job>();
  readonly machines = new Map<string, Machine>();
  /** Machines deleted by this holder: the cloud's lists go on naming them for a while. */
  readonly deleted = new Set<string>();
  /** A range's value may not be larger; follows what the state service takes. */
  recordBytes = Number.POSITIVE_INFINITY;
  private readonly used = new Map<string, { cpu: number; gpu: number }>();

  constructor(
    private readonly clock: Clock,
    private readonly rangeSize: number,
    private readonly teams: ReadonlyMap<string, Team>,
    readonly types: () => ReadonlyMap<string, MachineType>,
  ) {}

  addJob(spec: JobSpec, version: Whole, cancelled: boolean): Job {
    const due = spec.deadlineS === null ? null : ((this.clock.now() + seconds(spec.deadlineS)) as Micros);
    const job: Job = {
      spec,
      version,
      cancelled,
      why: null,
      ranges: [],
      waiting: new Set(),
      placed: new Set(),
      done: 0,
      running: 0,
      entitled: false,
      begun: false,
      lifted: false,
      seenAt: this.clock.now(),
      blocked: false,
      rank: rankOf(spec.priority),
      ownDue: due,
      dueAt: due,
      awaited: null,
      ending: false,
      failedOn: new Set(),
      onTrial: false,
      longestFailed: ANY_TIME,
      retryAfter: ANY_TIME,
      failures: 0,
    };
    this.jobs.set(spec.id, job);
    return job;
  }

  /** Ranges come into being one after the other, when the earlier ones have no waiting task left. */
  openRange(job: Job): boolean {
    const first = job.ranges.length * this.rangeSize;
    if (first >= job.spec.tasks) return false;
    this.makeRange(job, 0, null);
    return true;
  }

  /** `lostBelow`: start commands under lower tokens may still be under way for what is on record. */
  restoreRange(job: Job, index: number, version: Whole, value: unknown, lostBelow: number): void {
    while (job.ranges.length < index) this.makeRange(job, 0, null);
    const records = readRange(value);
    const range = this.makeRange(job, version, records);
    job.begun ||= records.some((record) => record.kind === "done" || record.attempt > 0);
    for (const task of range.tasks) {
      const record = task.durable;
      if (record.kind !== "placed") continue;
      this.occupy(task, this.machine(record.machine));
      task.launch = { kind: "unsure", token: lostBelow };
    }
  }

  private makeRange(job: Job, version: Whole, records: readonly TaskRecord[] | null): Range {
    const first = job.ranges.length * this.rangeSize;
    const tasks: Task[] = [];
    const range: Range = {
      job,
      index: job.ranges.length,
      tasks,
      version,
      writing: false,
      dirty: false,
      marked: null,
      due: null,
    };
    job.ranges.push(range);
    const count = Math.min(this.rangeSize, job.spec.tasks - first);
    for (let at = 0; at < count; at += 1) {
      const record = records?.[at] ?? { kind: "waiting", attempt: 0 };
      const task: Task = {
        job,
        range,
        index: first + at,
        name: `${job.spec.id}/${first + at}`,
        durable: record,
        want: record,
        on: null,
        launch: { kind: "none" },
        state: null,
        runningSince: null,
        stop: null,
        notBefore: ANY_TIME,
        failures: 0,
        waitingSince: this.clock.now(),
        preemptAfter: ANY_TIME,
      };
      tasks.push(task);
      if (record.kind === "done") job.done += 1;
      if (record.kind === "waiting") job.waiting.add(task);
    }
    return range;
  }

  /** A machine known by name only, from a record, is filled in by its report or the cloud's list. */
  machine(name: string): Machine {
    const known = this.machines.get(name);
    if (known !== undefined) return known;
    const machine = newMachine(name, "", null, "", false, this.clock.now());
    this.machines.set(name, machine);
    return machine;
  }

  occupy(task: Task, machine: Machine): void {
    task.on = machine;
    machine.tasks.add(task);
    tally(machine, task.job.spec, 1);
    task.job.placed.add(task);
    task.job.waiting.delete(task);
    this.account(task, 1);
  }

  /** Only on proof that the task is not on the machine and that no command can bring it there. */
  vacate(task: Task): void {
    const machine = task.on;
    if (machine === null) return;
    machine.tasks.delete(task);
    tally(machine, task.job.spec, -1);
    if (machine.tasks.size === 0) machine.idleSince = this.clock.now();
    task.on = null;
    task.launch = { kind: "none" };
    this.reported(task, null);
    task.runningSince = null;
    task.stop = null;
    task.job.placed.delete(task);
    if (task.want.kind !== "done") {
      task.job.waiting.add(task);
      task.waitingSince = this.clock.now();
    }
    this.account(task, -1);
  }

  /** The state in which its worker has last shown the task; null: none. */
  reported(task: Task, state: Task["state"]): void {
    const { job } = task;
    if (task.state === "running") job.running -= 1;
    if (state === "running") job.running += 1;
    task.state = state;
  }

  /** Would its range's value still be small enough with the task on that machine? */
  fitsRecord({ range, want }: Task, machine: string): boolean {
    const attempt = (want.kind === "done" ? 0 : want.attempt) + 1;
    const placed = range.tasks.length * (machine.length + String(attempt).length + 8) + 8;
    if (placed <= this.recordBytes) return true;
    const one = rangeBytes([{ kind: "placed", attempt, machine }]);
    return rangeBytes(range.tasks.map((task) => task.want)) + one <= this.recordBytes;
  }

  remember(machine: Machine, task: Task): void {
    rememberImage(machine, task.job.spec.image, task.job.spec.imageGb);
  }

  teamUse(team: string): { readonly cpu: number; readonly gpu: number } {
    return this.used.get(team) ?? { cpu: 0, gpu: 0 };
  }

  withinLimit(spec: JobSpec, tasks = 1): boolean {
    const limit = this.teams.get(spec.team)?.limit;
    if (limit === undefined) return true;
    const used = this.teamUse(spec.team);
    return (
      (limit.cpu === null || used.cpu + spec.demand.cpu * tasks <= limit.cpu) &&
      (limit.gpu === null || used.gpu + spec.demand.gpu * tasks <= limit.gpu)
    );
  }

  withinGuarantee(spec: JobSpec): boolean {
    const guaranteed = this.teams.get(spec.team)?.guaranteed;
    if (guaranteed === undefined) return false;
    const used = this.teamUse(spec.team);
    return used.cpu + spec.demand.cpu <= guaranteed.cpu && used.gpu + spec.demand.gpu <= guaranteed.gpu;
  }

  private account(task: Task, sign: 1 | -1): void {
    const { team, demand } = task.job.spec;
    const used = this.used.get(team) ?? { cpu: 0, gpu: 0 };
    this.used.set(team, { cpu: used.cpu + sign * demand.cpu, gpu: used.gpu + sign * demand.gpu });
  }
}
