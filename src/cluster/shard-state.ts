/**
 * The state of a shard in its leader's memory.
 * @module
 */
import type { MachineType } from "../protocol/cloud.js";
import { type JobSpec, priorityRank } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { Team } from "../settings/settings.js";
import { decodeTaskRange, type TaskRecord, taskRangeBytes } from "../storage/task-range-records.js";
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import type { Job } from "./job.js";
import { addTaskUsage, createMachine, type Machine, rememberImage } from "./machine.js";
import { QuotaUsage, type TeamUsage } from "./quota-usage.js";
import type { Task, TaskRange } from "./task.js";

/**
 * At once. Not the present time: ranges are created in the midst of a round, and by the time with which the round began, a
 * task created later was not to start yet. It waited for the next round, a second later where little happens.
 */
const NO_EARLIEST_START = 0 as Micros;

/** All that the leader of a shard knows: its jobs, its machines and the usage of quotas. Discarded with the lease. */
export class ShardState {
  readonly jobs = new Map<string, Job>();
  readonly machines = new Map<string, Machine>();
  /** Names of machines deleted by this leader: the cloud's lists go on naming them for a while. */
  readonly deletedMachines = new Set<string>();
  /**
   * Tasks placed by earlier leaders of which it is not on record that every direct start command was answered
   * (coordination/workers/answered-starts.ts).
   */
  readonly unconfirmedStarts = new Set<Task>();
  /** The last placement round left tasks waiting. */
  backlog = false;
  /** Size of the largest task range record in bytes; follows what the state service takes. */
  maxRecordBytes = Number.POSITIVE_INFINITY;
  private readonly quota: QuotaUsage;

  constructor(
    private readonly clock: Clock,
    private readonly tasksPerRange: number,
    teams: ReadonlyMap<string, Team>,
    readonly machineTypes: () => ReadonlyMap<string, MachineType>,
  ) {
    this.quota = new QuotaUsage(teams);
  }

  /** Adds a job without tasks. `version`: of its record. */
  addJob(spec: JobSpec, version: Uint64, cancelled: boolean): Job {
    const due = spec.deadlineS === null ? null : ((this.clock.now() + seconds(spec.deadlineS)) as Micros);
    const job: Job = {
      spec,
      version,
      cancelled,
      cancellationReason: null,
      ranges: [],
      waitingTasks: new Set(),
      placedTasks: new Set(),
      completedTasks: 0,
      runningTasks: 0,
      withinGuarantee: false,
      started: false,
      boosted: false,
      waitingSince: this.clock.now(),
      awaitingDependencies: false,
      effectiveRank: priorityRank(spec.priority),
      ownDeadline: due,
      effectiveDeadline: due,
      dependencyList: null,
      outcomePending: false,
      failedMachines: new Set(),
      onProbation: false,
      longestFailedRun: NO_EARLIEST_START,
      retryAfter: NO_EARLIEST_START,
      failedProbes: 0,
    };
    this.jobs.set(spec.id, job);
    return job;
  }

  /** Creates the next range, once the earlier ones have no waiting task left. False: the job has no more tasks. */
  createNextTaskRange(job: Job): boolean {
    const first = job.ranges.length * this.tasksPerRange;
    if (first >= job.spec.tasks) return false;
    this.createTaskRange(job, 0, null);
    return true;
  }

  /**
   * Creates the range from its record. `lostBelow`: start commands under tokens up to this one may still arrive for the
   * placements on record. Throws `MalformedMessageError` where the record can't be read.
   */
  restoreTaskRange(job: Job, index: number, version: Uint64, value: unknown, lostBelow: number): TaskRange {
    while (job.ranges.length < index) this.createTaskRange(job, 0, null);
    const records = decodeTaskRange(value);
    const range = this.createTaskRange(job, version, records);
    job.started ||= records.some((record) => record.kind === "done" || record.attempt > 0);
    for (const task of range.tasks) {
      const record = task.recorded;
      if (record.kind !== "placed") continue;
      this.assignTask(task, this.machineByName(record.machine));
      task.startCommand = { kind: "uncertain", token: lostBelow };
      this.unconfirmedStarts.add(task);
    }
    return range;
  }

  /** It is on record that all of the placed task's starts were answered. */
  confirmStart(task: Task): void {
    this.unconfirmedStarts.delete(task);
    if (task.startCommand.kind === "uncertain") task.startCommand = { ...task.startCommand, answered: true };
  }

  private createTaskRange(job: Job, version: Uint64, records: readonly TaskRecord[] | null): TaskRange {
    const first = job.ranges.length * this.tasksPerRange;
    const tasks: Task[] = [];
    const range: TaskRange = {
      job,
      index: job.ranges.length,
      tasks,
      version,
      writing: false,
      dirty: false,
      placementPendingSince: null,
      writeDueAt: null,
    };
    job.ranges.push(range);
    const count = Math.min(this.tasksPerRange, job.spec.tasks - first);
    for (let at = 0; at < count; at += 1) {
      const record = records?.[at] ?? { kind: "waiting", attempt: 0 };
      const task: Task = {
        job,
        range,
        index: first + at,
        name: `${job.spec.id}/${first + at}`,
        recorded: record,
        desired: record,
        machine: null,
        startCommand: { kind: "none" },
        unansweredStartAt: null,
        state: null,
        runningSince: null,
        stopRequest: null,
        earliestStart: NO_EARLIEST_START,
        failureCount: 0,
        waitingSince: this.clock.now(),
        nextPreemptionSearch: NO_EARLIEST_START,
      };
      tasks.push(task);
      if (record.kind === "done") job.completedTasks += 1;
      if (record.kind === "waiting") job.waitingTasks.add(task);
    }
    return range;
  }

  /** The machine; one that is known from a record only is added, and completed by its heartbeat or the cloud's list. */
  machineByName(name: string): Machine {
    const known = this.machines.get(name);
    if (known !== undefined) return known;
    const machine = createMachine({ name, typeName: "", type: null, zone: "", spot: false }, this.clock.now());
    this.machines.set(name, machine);
    return machine;
  }

  /** Counts the task as being on the machine. */
  assignTask(task: Task, machine: Machine): void {
    task.machine = machine;
    machine.tasks.add(task);
    addTaskUsage(machine, task.job.spec, 1);
    task.job.placedTasks.add(task);
    task.job.waitingTasks.delete(task);
    this.quota.add(task.job.spec, 1);
  }

  /** Counts the task as not placed: only on proof that it is not on the machine and that no command can bring it there. */
  releaseTask(task: Task): void {
    const machine = task.machine;
    if (machine === null) return;
    machine.tasks.delete(task);
    this.unconfirmedStarts.delete(task);
    addTaskUsage(machine, task.job.spec, -1);
    if (machine.tasks.size === 0) machine.load.idleSince = this.clock.now();
    task.machine = null;
    task.startCommand = { kind: "none" };
    task.unansweredStartAt = null;
    this.setReportedState(task, null);
    task.runningSince = null;
    task.stopRequest = null;
    task.job.placedTasks.delete(task);
    if (task.desired.kind !== "done") {
      task.job.waitingTasks.add(task);
      task.waitingSince = this.clock.now();
    }
    this.quota.add(task.job.spec, -1);
  }

  /** Sets the state that the worker last reported; null: none. */
  setReportedState(task: Task, state: Task["state"]): void {
    const { job } = task;
    if (task.state === "running") job.runningTasks -= 1;
    if (state === "running") job.runningTasks += 1;
    task.state = state;
  }

  /** Whether the record of the task's range stays small enough with the task placed on that machine. */
  fitsInRecord({ range, desired }: Task, machine: string): boolean {
    const attempt = (desired.kind === "done" ? 0 : desired.attempt) + 1;
    const placed = range.tasks.length * (machine.length + String(attempt).length + 8) + 8;
    if (placed <= this.maxRecordBytes) return true;
    const one = taskRangeBytes([{ kind: "placed", attempt, machine }]);
    return taskRangeBytes(range.tasks.map((task) => task.desired)) + one <= this.maxRecordBytes;
  }

  /** Notes that the machine's image cache holds the image of the task. */
  rememberImageOf(machine: Machine, task: Task): void {
    rememberImage(machine, task.job.spec.image, task.job.spec.imageGb);
  }

  /** What the team's placed tasks take up. */
  teamUsage(team: string): TeamUsage {
    return this.quota.usageOf(team);
  }

  /** Whether so many more tasks of the job are within its team's limit. */
  withinLimit(spec: JobSpec, tasks = 1): boolean {
    return this.quota.withinLimit(spec, tasks);
  }

  /** Whether one more task of the job is within its team's guarantee. */
  withinGuarantee(spec: JobSpec): boolean {
    return this.quota.withinGuarantee(spec);
  }
}
