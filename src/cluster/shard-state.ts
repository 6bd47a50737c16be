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
  private readonly quota: QuotaUsage;

  constructor(
    private readonly clock: Clock,
    private readonly tasksPerRange: number,
    teams: ReadonlyMap<string, Team>,
    readonly machineTypes: () => ReadonlyMap<string, MachineType>,
  ) {
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

  /** Creates the job's next task range, once no task of the earlier ranges is waiting. False: no tasks are left. */
  createNextTaskRange(job: Job): boolean {
    const first = job.ranges.length * this.tasksPerRange;
    if (first >= job.spec.tasks) return false;
    this.createTaskRange(job, 0, null);
    return true;
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
    return range;
  }

  /** Notes that, according to a stored record, every start command of the placed task received a response. */
  markStartsAnswered(task: Task): void {
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
    for (let offset = 0; offset < count; offset += 1) {
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
