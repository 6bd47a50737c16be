import type { Job } from "../../cluster/job.js";
import type { KeyChange, KeyValueEntry } from "../../protocol/key-value-store.js";
import { decodeJobRecord } from "../../storage/job-records.js";
import { CURRENT_PREFIX, jobKey, jobOfDependencyListKey, jobOfKey, taskRangeOfKey } from "../../storage/keys.js";
import { seconds } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";
import type { Extension } from "../extension.js";
import { firstFencingToken } from "../fencing-token.js";
import { LogEvent } from "../log-events.js";
import type { HeartbeatProcessor } from "../workers/heartbeat-processor.js";
import type { DependencyTracker } from "./dependency-tracker.js";
import type { TaskStateWriter } from "./task-state-writer.js";

/** Nobody who submits waits for longer than a minute, and no transaction is as late as this. */
const ORPHANED_LIST_AGE = seconds(600);

export interface JobWatcherDependencies {
  readonly context: ShardContext;
  readonly taskStates: Pick<TaskStateWriter, "finishIfComplete" | "deleteKeys">;
  readonly heartbeats: Pick<HeartbeatProcessor, "taskGone">;
  readonly dependencyTracker: Pick<DependencyTracker, "jobAdded">;
  readonly extension: Extension | null;
  /** A round is due at once. */
  readonly scheduleRound: () => void;
}

/** Brings the block's jobs from the records into the picture: all of them at the beginning, then each change. */
export class JobWatcher {
  private restored = false;

  constructor(private readonly dependencies: JobWatcherDependencies) {}

  restore(): void {
    const { cache, log } = this.dependencies.context;
    const { shard } = this.dependencies.context;
    const ranges: { id: string; range: number; key: string }[] = [];
    const jobs: KeyValueEntry[] = [];
    for (const [key, entry] of cache.entries) {
      if (jobOfKey(key) !== null) jobs.push(entry);
      const range = taskRangeOfKey(key);
      if (range !== null) ranges.push({ ...range, key });
    }
    // A list comes in the order of the keys, while guarantees go to whoever was accepted first.
    jobs.sort((a, b) => (a.version < b.version ? -1 : 1));
    for (const entry of jobs) this.applyJobChange({ kind: "put", ...entry });
    ranges.sort((a, b) => a.range - b.range);
    const orphans: string[] = [];
    for (const { id, range, key } of ranges) {
      const job = shard.jobs.get(id);
      const entry = cache.entries.get(key);
      if (entry === undefined) continue;
      // Without a job it is a leftover of one that ended.
      if (job === undefined) orphans.push(key);
      else {
        shard.restoreTaskRange(
          job,
          range,
          entry.version,
          entry.value,
          firstFencingToken(this.dependencies.context.lease) - 1,
        );
        // Whatever it awaited was on record as done before anything of it was placed.
        job.awaitingDependencies = false;
      }
    }
    this.dependencies.taskStates.deleteKeys(orphans.filter((key) => key.startsWith(CURRENT_PREFIX)));
    for (const job of shard.jobs.values()) this.dependencies.taskStates.finishIfComplete(job);
    this.deleteOrphanedDependencyLists();
    this.restored = true;
    log.info(LogEvent.ShardAcquired, {
      block: this.dependencies.context.lease.shard,
      number: this.dependencies.context.lease.epoch,
      jobs: shard.jobs.size,
    });
  }

  /**
   * Parts of a list whose job was never accepted, or has ended. An acceptance is conditional on the parts' versions, so that one
   * that comes late can't stand without them; only what has lain there for long is taken, since one may be under way.
   */
  private deleteOrphanedDependencyLists(): void {
    const { cache, clock, transactions, lease } = this.dependencies.context;
    const left = [...cache.entries.values()].filter(({ key }) => {
      const id = jobOfDependencyListKey(key);
      return id !== null && !cache.entries.has(jobKey(id));
    });
    if (left.length === 0) return;
    clock.after(ORPHANED_LIST_AGE, () => {
      for (const { key, version } of left) {
        const id = jobOfDependencyListKey(key) ?? "";
        if (!lease.isValid() || cache.entries.get(key)?.version !== version || cache.entries.has(jobKey(id))) continue;
        const conditions = new Map([
          [lease.key, lease.version],
          [key, version],
          [jobKey(id), 0],
        ]);
        void transactions.submit(conditions, [{ kind: "delete", key }], "maintenance");
      }
    });
  }

  onChange(change: KeyChange): void {
    if (jobOfKey(change.key) !== null) this.applyJobChange(change);
  }

  cancelWithdrawn(id: string): void {
    const job = this.dependencies.context.shard.jobs.get(id);
    if (job === undefined || job.cancelled || this.dependencies.extension?.isWithdrawn(job.spec) !== true) return;
    job.cancellationReason = "graph";
    this.cancel(job);
  }

  /** Needs a job that is cancelled. */
  cancelByDependency(id: string): void {
    const job = this.dependencies.context.shard.jobs.get(id);
    if (job !== undefined && !job.cancelled) this.cancel(job);
  }

  private applyJobChange(change: KeyChange): void {
    const { shard } = this.dependencies.context;
    const id = jobOfKey(change.key) ?? "";
    if (change.kind === "delete") return;
    const record = decodeJobRecord(change.value);
    if (record.shard !== this.dependencies.context.lease.shard) return;
    const known = shard.jobs.get(id);
    if (known === undefined) {
      const withdrawn = !record.cancelled && this.dependencies.extension?.isWithdrawn(record.spec) === true;
      const called = record.cancelled || withdrawn || this.dependencies.context.dependencies.isCancelled(id);
      const job = shard.addJob(record.spec, change.version, called);
      job.dependencyList = record.dependencyList ?? null;
      this.dependencies.dependencyTracker.jobAdded(job, record.acceptedMs ?? null);
      job.cancellationReason = withdrawn ? "graph" : (record.cancellationReason ?? null);
      // While this controller was restoring, whoever restores calls `finish` for all; else nobody would.
      if (job.cancelled && this.restored) this.dependencies.taskStates.finishIfComplete(job);
      this.dependencies.context.eventListener?.({ kind: "job seen", spec: record.spec });
      this.dependencies.scheduleRound();
      return;
    }
    known.version = change.version;
    if (!record.cancelled || known.cancelled) return;
    known.cancellationReason = record.cancellationReason ?? null;
    this.cancel(known);
  }

  private cancel(known: Job): void {
    const { id } = known.spec;
    known.cancelled = true;
    this.dependencies.context.log.info(LogEvent.JobCancelled, { job: id });
    this.dependencies.context.eventListener?.({ kind: "job cancelled", job: id });
    for (const task of [...known.placedTasks]) {
      const machine = task.machine;
      if (task.startCommand.kind === "none") this.dependencies.heartbeats.taskGone(task);
      if (machine !== null) this.dependencies.context.scheduleCommands(machine);
    }
    this.dependencies.taskStates.finishIfComplete(known);
  }
}
