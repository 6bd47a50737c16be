/**
 * Loads the jobs of a shard from their records and keeps them up to date.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import type { TaskRange } from "../../cluster/task.js";
import type { Uint64 } from "../../protocol/json.js";
import type { KeyChange, KeyValueEntry } from "../../protocol/key-value-store.js";
import { decodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { CURRENT_PREFIX, jobKey, jobOfDependencyListKey, jobOfKey, taskRangeOfKey } from "../../storage/keys.js";
import { seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import type { Extension } from "../extension.js";
import { firstFencingToken } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import type { AnsweredStarts } from "../workers/answered-starts.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import type { DependencyTracker } from "./dependency-tracker.js";
import type { TaskStateWriter } from "./task-state-writer.js";

/**
 * From finding a part of a dependency list without a job to its deletion: users wait at most a minute for a job's
 * acceptance, and no transaction is applied as late as this.
 */
const ORPHANED_LIST_AGE = seconds(600);

/** Collaborators of a `JobWatcher`. */
export interface JobWatcherDependencies {
  readonly context: ShardContext;
  readonly taskStates: Pick<TaskStateWriter, "finishIfComplete" | "deleteKeys">;
  readonly heartbeats: Pick<HeartbeatProcessor, "releaseAbsentTask">;
  readonly answeredStarts: Pick<AnsweredStarts, "wasAnswered">;
  readonly dependencyTracker: Pick<DependencyTracker, "jobAdded">;
  readonly extension: Extension | null;
  /** Starts a placement round at once. */
  readonly scheduleRound: () => void;
}

interface TaskRangeEntry {
  readonly id: string;
  readonly range: number;
  readonly key: string;
}

/** Keeps the shard's jobs in memory in line with their records: loads all of them once, then applies each change. */
export class JobWatcher {
  private readonly context: ShardContext;
  private readonly taskStates: JobWatcherDependencies["taskStates"];
  private readonly heartbeats: JobWatcherDependencies["heartbeats"];
  private readonly dependencyTracker: JobWatcherDependencies["dependencyTracker"];
  private readonly answeredStarts: JobWatcherDependencies["answeredStarts"];
  private readonly extension: Extension | null;
  private readonly scheduleRound: () => void;
  private restored = false;

  constructor(dependencies: JobWatcherDependencies) {
    this.context = dependencies.context;
    this.taskStates = dependencies.taskStates;
    this.heartbeats = dependencies.heartbeats;
    this.answeredStarts = dependencies.answeredStarts;
    this.dependencyTracker = dependencies.dependencyTracker;
    this.extension = dependencies.extension;
    this.scheduleRound = dependencies.scheduleRound;
  }

  /** Loads all of the shard's jobs and task ranges from the cache. Throws if a record is malformed. */
  restore(): void {
    const { shard, lease, log } = this.context;
    const { jobs, ranges } = this.listRecords();
    for (const entry of jobs) this.applyJobChange({ kind: "put", ...entry });
    const orphanedKeys = this.restoreTaskRanges(ranges);
    this.taskStates.deleteKeys(orphanedKeys.filter((key) => key.startsWith(CURRENT_PREFIX)));
    for (const job of shard.jobs.values()) this.taskStates.finishIfComplete(job);
    this.deleteOrphanedDependencyLists();
    this.restored = true;
    log.info(LogEvent.ShardAcquired, { shard: lease.shard, epoch: lease.epoch, jobs: shard.jobs.size });
  }

  /** The job records in order of acceptance, and the keys of range records in order of their indexes. */
  private listRecords(): { readonly jobs: readonly KeyValueEntry[]; readonly ranges: readonly TaskRangeEntry[] } {
    const ranges: TaskRangeEntry[] = [];
    const jobs: KeyValueEntry[] = [];
    for (const [key, entry] of this.context.cache.entries) {
      if (jobOfKey(key) !== null) jobs.push(entry);
      const range = taskRangeOfKey(key);
      if (range !== null) ranges.push({ ...range, key });
    }
    // The cache is ordered by key, but guaranteed capacity goes to the jobs that were accepted first.
    jobs.sort((a, b) => (a.version < b.version ? -1 : 1));
    ranges.sort((a, b) => a.range - b.range);
    return { jobs, ranges };
  }

  /** Returns the keys of ranges without a job: the job has ended, and its ranges are not deleted yet. */
  private restoreTaskRanges(ranges: readonly TaskRangeEntry[]): readonly string[] {
    const { cache, shard, lease } = this.context;
    const orphanedKeys: string[] = [];
    for (const { id, range, key } of ranges) {
      const job = shard.jobs.get(id);
      const entry = cache.entries.get(key);
      if (entry === undefined) continue;
      if (job === undefined) {
        orphanedKeys.push(key);
        continue;
      }
      const restored = shard.restoreTaskRange(job, range, entry.version, entry.value, firstFencingToken(lease) - 1);
      this.confirmAnsweredStarts(restored);
      // A range exists: all dependencies were recorded as done before any task of the job was placed.
      job.awaitingDependencies = false;
    }
    return orphanedKeys;
  }

  /** Restores the started state of tasks whose start command the previous leader recorded as answered. */
  private confirmAnsweredStarts({ version, tasks }: TaskRange): void {
    for (const task of tasks)
      if (task.machine !== null && this.answeredStarts.wasAnswered(version, task.machine.name))
        this.context.shard.markStartsAnswered(task);
  }

  /**
   * Deletes parts of dependency lists whose job was never accepted, or has ended. The delay leaves an acceptance in
   * flight time to commit; one applied later still fails, since it is conditional on the parts' versions.
   */
  private deleteOrphanedDependencyLists(): void {
    const { cache, clock } = this.context;
    const orphans = [...cache.entries.values()].filter(({ key }) => {
      const id = jobOfDependencyListKey(key);
      return id !== null && !cache.entries.has(jobKey(id));
    });
    if (orphans.length === 0) return;
    clock.after(ORPHANED_LIST_AGE, () => {
      for (const entry of orphans) this.deleteIfStillOrphaned(entry);
    });
  }

  private deleteIfStillOrphaned({ key, version }: KeyValueEntry): void {
    const { cache, transactions, lease } = this.context;
    const id = jobOfDependencyListKey(key) ?? "";
    if (!lease.isValid() || cache.entries.get(key)?.version !== version || cache.entries.has(jobKey(id))) return;
    const conditions = new Map([
      [lease.key, lease.version],
      [key, version],
      [jobKey(id), 0],
    ]);
    void transactions.submit(conditions, [{ kind: "delete", key }], "maintenance");
  }

  /** Applies a change of a job record; ignores other keys. Throws if the record is malformed. */
  onChange(change: KeyChange): void {
    if (jobOfKey(change.key) !== null) this.applyJobChange(change);
  }

  /** Cancels the job if its graph run, or its part of the run, is cancelled (`Extension.isCancelledWithRun`). */
  cancelWithRun(id: string): void {
    const job = this.context.shard.jobs.get(id);
    if (job === undefined || job.cancelled || this.extension?.isCancelledWithRun(job.spec) !== true) return;
    job.cancellationReason = "graph";
    this.cancel(job);
  }

  /** Cancels the job because one of its dependencies is cancelled. */
  cancelByDependency(id: string): void {
    const job = this.context.shard.jobs.get(id);
    if (job !== undefined && !job.cancelled) this.cancel(job);
  }

  private applyJobChange(change: KeyChange): void {
    if (change.kind === "delete") return;
    const id = jobOfKey(change.key) ?? "";
    const record = decodeJobRecord(change.value);
    if (record.shard !== this.context.lease.shard) return;
    const job = this.context.shard.jobs.get(id);
    if (job === undefined) {
      this.addJob(id, record, change.version);
      return;
    }
    job.version = change.version;
    if (!record.cancelled || job.cancelled) return;
    job.cancellationReason = record.cancellationReason ?? null;
    this.cancel(job);
  }

  private addJob(id: string, record: JobRecord, version: Uint64): void {
    const { shard, dependencies, eventListener } = this.context;
    const isCancelledWithRun = !record.cancelled && this.extension?.isCancelledWithRun(record.spec) === true;
    const isCancelled = record.cancelled || isCancelledWithRun || dependencies.isCancelled(id);
    const job = shard.addJob(record.spec, version, isCancelled);
    job.dependencyList = record.dependencyList ?? null;
    this.dependencyTracker.jobAdded(job, record.acceptedMs ?? null);
    job.cancellationReason = isCancelledWithRun ? "graph" : (record.cancellationReason ?? null);
    // During `restore`, `finishIfComplete` is called for all jobs once their ranges are loaded.
    if (job.cancelled && this.restored) this.taskStates.finishIfComplete(job);
    eventListener?.({ kind: "job seen", spec: record.spec });
    this.scheduleRound();
  }

  private cancel(job: Job): void {
    const { log, eventListener } = this.context;
    const { id } = job.spec;
    job.cancelled = true;
    log.info(LogEvent.JobCancelled, { job: id });
    eventListener?.({ kind: "job cancelled", job: id });
    for (const task of [...job.placedTasks]) {
      const { machine } = task;
      if (task.startCommand.kind === "none") this.heartbeats.releaseAbsentTask(task);
      if (machine !== null) this.context.scheduleCommands(machine);
    }
    this.taskStates.finishIfComplete(job);
  }
}
