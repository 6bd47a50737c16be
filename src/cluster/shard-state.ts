/**
 * In-memory state of a shard, as held by its leader.
 * @module
 */
import type { MachineType } from "../protocol/cloud.js";
import { type JobSpec, priorityRank } from "../protocol/job-spec.js";
import type { Uint64 } from "../protocol/json.js";
import type { Team } from "../settings/settings.js";
import { decodeTaskRange, type TaskRecord, taskRangeBytes } from "../storage/task-range-records.js";
import { type Clock, type Micros, seconds } from "../transport/clock.js";
import type { Job } from "./job.js";
import { addTaskUsage, createMachine, type Machine, recordImageUse } from "./machine.js";
import { QuotaUsage, type TeamUsage } from "./quota-usage.js";
import type { Task, TaskRange } from "./task.js";
import { TaskLimit } from "./task-limit.js";

/**
 * The task may start immediately. Zero and not the current time, because ranges are created during a placement round: a
 * later time than the round's start would defer the task to the next round, a second later on an idle cluster.
 */
const NO_EARLIEST_START = 0 as Micros;

/** Jobs, machines and quota usage of a shard, as held by its leader. Discarded when the shard's lease is lost. */
export class ShardState {
  readonly jobs = new Map<string, Job>();
  readonly machines = new Map<string, Machine>();
  /** Names of machines deleted by this leader, since the cloud's machine list still contains them for a while. */
  readonly deletedMachines = new Set<string>();
  /**
   * Tasks placed by earlier leaders without a record that every direct start command received a response
   * (coordination/workers/answered-starts.ts).
   */
  readonly unconfirmedStarts = new Set<Task>();
  /** Whether the last placement round left tasks waiting. */
  backlog = false;
  /** Size limit of a task range record in bytes; follows the value size limit of the key-value store. */
  maxRecordBytes = Number.POSITIVE_INFINITY;
  readonly taskLimit: TaskLimit;
  private readonly quota: QuotaUsage;

  /** `maxTasks`: the limit on tasks in memory. */
  constructor(
    private readonly clock: Clock,
    private readonly tasksPerRange: number,
    teams: ReadonlyMap<string, Team>,
    readonly machineTypes: () => ReadonlyMap<string, MachineType>,
    maxTasks = Number.POSITIVE_INFINITY,
  ) {
    this.taskLimit = new TaskLimit(maxTasks);
    this.quota = new QuotaUsage(teams);
  }

  /** Adds a job without task ranges. `version` is the version of its record. */
  addJob(spec: JobSpec, version: Uint64, cancelled: boolean): Job {
    const deadline = spec.deadlineS === null ? null : ((this.clock.now() + seconds(spec.deadlineS)) as Micros);
    const job: Job = {
      spec,
      version,
      cancelled,
      cancellationReason: null,
      ranges: [],
      tasksInMemory: 0,
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
      ownDeadline: deadline,
      effectiveDeadline: deadline,
      dependencyList: null,
      outcomePending: false,
      failedMachines: new Set(),
      onProbation: false,
      longestFailedRun: NO_EARLIEST_START,
      retryAfter: NO_EARLIEST_START,
      failedTrials: 0,
    };
    this.jobs.set(spec.id, job);
    return job;
  }

  /** Removes a job that has ended. */
  removeJob(job: Job): void {
    if (this.jobs.delete(job.spec.id)) this.taskLimit.count(job, -job.tasksInMemory);
  }

  /**
   * Creates the job's next task range, once no task of the earlier ranges is waiting; all ranges of a gang, since gangs
   * that each held a part of their tasks could keep the others' from being created. False: no tasks are left, or the
   * limit on tasks in memory admits no more of them.
   */
  createNextTaskRange(job: Job): boolean {
    if (this.creatableTasks(job) === 0) return false;
    do this.createTaskRange(job, 0, null);
    while (job.spec.shape === "gang" && this.uncreatedTasks(job) > 0);
    return true;
  }

  /** Number of the job's tasks that are in no range yet. */
  uncreatedTasks({ spec, ranges }: Job): number {
    return Math.max(0, spec.tasks - ranges.length * this.tasksPerRange);
  }

  /**
   * How many of the job's tasks that are in no range yet may be created now. Any job may have its first range, so that
   * no job is kept from starting; a gang's ranges are created all or none.
   */
  creatableTasks(job: Job): number {
    const { spec, ranges } = job;
    const remaining = this.uncreatedTasks(job);
    const nextRange = Math.min(remaining, this.tasksPerRange);
    const needed = spec.shape === "gang" ? remaining : nextRange;
    const available = this.taskLimit.available(job);
    if (needed <= available) return Math.min(remaining, available);
    return ranges.length === 0 && needed === nextRange ? nextRange : 0;
  }

  /** Removes the range's tasks from memory if all of them are on record as done. */
  releaseTaskRange(range: TaskRange): void {
    const { job, tasks } = range;
    if (this.jobs.get(job.spec.id) !== job || tasks.some(({ recorded }) => recorded.kind !== "done")) return;
    range.tasks = [];
    this.taskLimit.count(job, -tasks.length);
  }

  /**
   * Creates the range from its record. `maxPreviousToken`: highest fencing token of earlier leaders, whose start
   * commands for the recorded placements may still be delivered. Throws `MalformedMessageError` where the record can't
   * be decoded.
   */
  restoreTaskRange(job: Job, index: number, version: Uint64, value: unknown, maxPreviousToken: number): TaskRange {
    while (job.ranges.length < index) this.createTaskRange(job, 0, null);
    const records = decodeTaskRange(value);
    const range = this.createTaskRange(job, version, records);
    job.started ||= records.some((record) => record.kind === "done" || record.attempt > 0);
    for (const task of range.tasks) {
      const record = task.recorded;
      if (record.kind !== "placed") continue;
      this.assignTask(task, this.machineByName(record.machine));
      task.startCommand = { kind: "uncertain", token: maxPreviousToken };
      this.unconfirmedStarts.add(task);
    }
    this.releaseTaskRange(range);
    return range;
  }

  /** Notes that, according to a stored record, every start command of the placed task received a response. */
  markStartsAnswered(task: Task): void {
    this.unconfirmedStarts.delete(task);
    if (task.startCommand.kind === "uncertain") task.startCommand = { ...task.startCommand, answered: true };
  }

  private createTaskRange(job: Job, version: Uint64, records: readonly TaskRecord[] | null): TaskRange {
    const first = job.ranges.length * this.tasksPerRange;
    const size = Math.min(this.tasksPerRange, job.spec.tasks - first);
    const tasks: Task[] = [];
    const range: TaskRange = {
      job,
      index: job.ranges.length,
      size,
      tasks,
      version,
      writing: false,
      dirty: false,
      placementPendingSince: null,
      writeDueAt: null,
    };
    job.ranges.push(range);
    this.taskLimit.count(job, size);
    for (let offset = 0; offset < size; offset += 1) {
      const record = records?.[offset] ?? { kind: "waiting", attempt: 0 };
      const task: Task = {
        job,
        range,
        index: first + offset,
        name: `${job.spec.id}/${first + offset}`,
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

  /** The machine of this name. An unknown one is added without details; its heartbeat or the cloud's list adds them. */
  machineByName(name: string): Machine {
    const existing = this.machines.get(name);
    if (existing !== undefined) return existing;
    const machine = createMachine({ name, typeName: "", type: null, zone: "", spot: false }, this.clock.now());
    this.machines.set(name, machine);
    return machine;
  }

  /** Assigns the task to the machine, and adds it to the machine's load and to the quota usage. */
  assignTask(task: Task, machine: Machine): void {
    task.machine = machine;
    machine.tasks.add(task);
    addTaskUsage(machine, task.job.spec, 1);
    task.job.placedTasks.add(task);
    task.job.waitingTasks.delete(task);
    this.quota.add(task.job.spec, 1);
  }

  /**
   * Releases the task from its machine, and from load and quota usage. Only on proof that it does not run there and
   * that no command can still start it there.
   */
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

  /** Sets the state that the worker last reported (null: none), and updates the job's count of running tasks. */
  setReportedState(task: Task, state: Task["state"]): void {
    const { job } = task;
    if (task.state === "running") job.runningTasks -= 1;
    if (state === "running") job.runningTasks += 1;
    task.state = state;
  }

  /** Whether the record of the task's range stays within `maxRecordBytes` with the task placed on that machine. */
  fitsInRecord({ range, desired }: Task, machine: string): boolean {
    const attempt = (desired.kind === "done" ? 0 : desired.attempt) + 1;
    const allPlacedBytes = range.tasks.length * (machine.length + String(attempt).length + 8) + 8;
    if (allPlacedBytes <= this.maxRecordBytes) return true;
    const placementBytes = taskRangeBytes([{ kind: "placed", attempt, machine }]);
    return taskRangeBytes(range.tasks.map((task) => task.desired)) + placementBytes <= this.maxRecordBytes;
  }

  /** Marks the task's image as the most recently used one in the machine's image cache. */
  recordImageUseBy(machine: Machine, task: Task): void {
    recordImageUse(machine, task.job.spec.image, task.job.spec.imageGb);
  }

  /** Resources used by the team's placed tasks. */
  teamUsage(team: string): TeamUsage {
    return this.quota.usageOf(team);
  }

  /** Whether `tasks` more tasks of the job fit within its team's limit. */
  withinLimit(spec: JobSpec, tasks = 1): boolean {
    return this.quota.withinLimit(spec, tasks);
  }

  /** Whether one more task of the job fits within its team's guarantee. */
  withinGuarantee(spec: JobSpec): boolean {
    return this.quota.withinGuarantee(spec);
  }
}
