import {
  type EndRecord,
  endKey,
  jobKey,
  rangeKey,
  readRange,
  type TaskRecord,
  writeRange,
} from "../bookkeeping/records.js";
import { confirmed, type Job, type Range, sameRecord } from "../bookkeeping/tasks.js";
import type { Whole } from "../protocol/json.js";
import type { Write } from "../protocol/state.js";
import { type Micros, ms } from "../transport/clock.js";
import type { BlockContext } from "./context.js";

/**
 * Makes durable what the other loops want: each range is written when what is wanted differs from what is on
 * record, one write at a time, conditional on its version, the job's and the block lease's. Commands follow
 * only from what has been confirmed.
 */
export class Recorder {
  constructor(private readonly context: BlockContext) {}

  mark(range: Range): void {
    if (range.dirty) return;
    range.dirty = true;
    this.later(range, ms(1));
  }

  private later(range: Range, delay: Micros): void {
    this.context.clock.after(delay, () => {
      void this.write(range);
    });
  }

  private retry(range: Range): void {
    range.dirty = true;
    this.later(range, ms(50 + 100 * this.context.random()));
  }

  private conditions(job: Job): Map<string, Whole> {
    const { lease } = this.context;
    return new Map([
      [lease.key, lease.version],
      [jobKey(job.spec.id), job.version],
    ]);
  }

  private async write(range: Range): Promise<void> {
    const { context } = this;
    const { job } = range;
    if (range.writing || !range.dirty || context.block.jobs.get(job.spec.id) !== job || job.ending) return;
    if (job.cancelled) {
      // What was placed stays on record until all of it is gone; then the job's last word replaces it.
      this.finish(job);
      return;
    }
    if (!context.lease.valid()) {
      this.retry(range);
      return;
    }
    const snapshot = range.tasks.map((task) => task.want);
    range.dirty = false;
    if (snapshot.every((record, at) => sameRecord(record, range.tasks[at]?.durable ?? record))) return;
    range.writing = true;
    const key = rangeKey(job.spec.id, range.index);
    const conditions = this.conditions(job).set(key, range.version);
    const result = await context.committer.propose(conditions, [{ kind: "put", key, value: writeRange(snapshot) }]);
    range.writing = false;
    switch (result.kind) {
      case "ok":
        range.version = result.version;
        this.settle(range, snapshot);
        if (range.dirty) this.later(range, ms(1));
        break;
      case "conflict":
        await this.resolve(range, key, result.keys);
        this.retry(range);
        break;
      case "refused":
      case "lost":
        // A lost one may still come to be applied; the same condition lets only one of the two through.
        this.retry(range);
        break;
    }
    this.finish(job);
  }

  private async resolve(range: Range, key: string, failed: readonly string[]): Promise<void> {
    const { context } = this;
    if (failed.includes(context.lease.key)) {
      context.fenced();
      return;
    }
    if (failed.includes(jobKey(range.job.spec.id))) await context.view.sync();
    if (!failed.includes(key)) return;
    const reply = await context.store.get(key);
    if (reply.kind === "missing") range.version = 0;
    if (reply.kind !== "ok") return;
    // One of our own writes of which we had no answer.
    context.log.info("range adopted", { key });
    range.version = reply.value.version;
    this.settle(range, readRange(reply.value.value));
  }

  private settle(range: Range, records: readonly TaskRecord[]): void {
    range.tasks.forEach((task, at) => {
      const before = task.durable;
      task.durable = records[at] ?? task.durable;
      if (task.on !== null && confirmed(task)) this.context.wakeCommands(task.on);
      // What has been recorded may now be forgotten by the worker that reported it.
      if (before.kind === "placed" && !sameRecord(before, task.durable)) {
        const machine = this.context.block.machines.get(before.machine);
        if (machine !== undefined) this.context.wakeCommands(machine);
      }
    });
  }

  /** Writes a job's last word once no task of it is left. */
  finish(job: Job): void {
    const done = job.done >= job.spec.tasks;
    if (job.ending || !(done || (job.cancelled && job.placed.size === 0))) return;
    if (job.ranges.some((range) => range.writing)) return;
    job.ending = true;
    void this.end(job, done && !job.cancelled);
  }

  private async end(job: Job, done: boolean): Promise<void> {
    const { context } = this;
    if (!context.lease.valid()) {
      this.reopen(job);
      return;
    }
    const written = job.ranges.filter((range) => range.version !== 0);
    const here = written.slice(0, context.settings.state.transactionWrites - 2);
    const last = endKey(job.spec.id);
    const conditions = this.conditions(job).set(last, 0);
    const record: EndRecord = { phase: done ? "done" : "cancelled", done: job.done };
    const writes: Write[] = [
      { kind: "put", key: last, value: record },
      { kind: "delete", key: jobKey(job.spec.id) },
    ];
    for (const range of here) {
      const key = rangeKey(job.spec.id, range.index);
      conditions.set(key, range.version);
      writes.push({ kind: "delete", key });
    }
    const result = await context.committer.propose(conditions, writes);
    if (result.kind === "ok") {
      context.block.jobs.delete(job.spec.id);
      context.log.info("job ended", { job: job.spec.id, phase: record.phase });
      this.sweep(written.slice(here.length).map((range) => rangeKey(job.spec.id, range.index)));
      for (const machine of context.block.machines.values()) if (machine.exited.size > 0) context.wakeCommands(machine);
      return;
    }
    if (result.kind === "conflict") {
      if (result.keys.includes(context.lease.key)) {
        context.fenced();
        return;
      }
      await context.view.sync();
      if (result.keys.includes(last)) {
        // An earlier try of ours, of which there was no answer, has been applied.
        context.block.jobs.delete(job.spec.id);
        return;
      }
      for (const range of here) {
        const key = rangeKey(job.spec.id, range.index);
        if (result.keys.includes(key)) await this.resolve(range, key, [key]);
      }
    }
    this.reopen(job);
  }

  private reopen(job: Job): void {
    this.context.clock.after(ms(50 + 100 * this.context.random()), () => {
      job.ending = false;
      for (const range of job.ranges) if (range.dirty) void this.write(range);
      this.finish(job);
    });
  }

  /** Ranges whose job has ended tell nothing any more. */
  sweep(keys: readonly string[]): void {
    const { committer, lease } = this.context;
    for (const key of keys) {
      void committer.propose(new Map([[lease.key, lease.version]]), [{ kind: "delete", key }]);
    }
  }
}
