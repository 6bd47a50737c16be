import type { Job, Range } from "../bookkeeping/picture.js";
import {
  type EndRecord,
  endKey,
  jobKey,
  rangeBytes,
  rangeKey,
  readRange,
  type TaskRecord,
  writeEnd,
  writeRange,
} from "../bookkeeping/records.js";
import { confirmed, sameRecord } from "../bookkeeping/tasks.js";
import type { Whole } from "../protocol/json.js";
import type { Write } from "../protocol/state.js";
import { type Micros, ms, seconds } from "../transport/clock.js";
import type { BlockContext } from "./context.js";
import { laneOf } from "./decisions/promptness.js";

/** Recording what has ended takes about this share of the state service's writes, each range in turn. */
const NOTE_SHARE = 0.3;
const NOTE_LEAST = seconds(0.5);
const NOTE_MOST = seconds(15);
/** Until a range whose value is too large is looked at again. */
const TOO_LARGE = seconds(1);

/** Ranges of ended jobs that may wait to be deleted. */
const MOST_LEFT_OVER = 200;

const unknownPlacement = (record: TaskRecord, want: TaskRecord | undefined): boolean =>
  record.kind === "placed" &&
  (want === undefined ||
    (want.kind !== "done" && record.attempt > want.attempt) ||
    (want.kind === "placed" && record.attempt === want.attempt && record.machine !== want.machine));

/**
 * Makes durable what the other loops want: each range is written when what is wanted differs from what is on
 * record, one write at a time, conditional on its version, the job's and the block lease's. Commands follow
 * only from what has been confirmed.
 */
export class Recorder {
  private waits = { count: 0, sum: 0, most: 0 };

  constructor(private readonly context: BlockContext) {}

  /** A placement is to be recorded: its start command waits for that. */
  mark(range: Range): void {
    range.dirty = true;
    if (range.marked === null) {
      range.marked = this.context.clock.now();
      if (range.writing)
        this.context.committer.hurry(
          rangeKey(range.job.spec.id, range.index),
          laneOf(range.job, this.context.settings),
        );
    }
    this.later(range, ms(1));
  }

  /** How long placements waited to be on record since this was last asked. */
  delays(): { readonly placements: number; readonly meanMs: number; readonly mostMs: number } {
    const { count, sum, most } = this.waits;
    this.waits = { count: 0, sum: 0, most: 0 };
    return {
      placements: count,
      meanMs: count === 0 ? 0 : Math.round(sum / count / 1_000),
      mostMs: Math.round(most / 1_000),
    };
  }

  /**
   * What has ended may be recorded a little later, together with what ends meanwhile: until then the worker
   * goes on reporting it. One write for each end would take all of the budget that starts need.
   */
  note(range: Range): void {
    range.dirty = true;
    const { block, settings } = this.context;
    const perSecond = Math.max(1, settings.state.writeRps * NOTE_SHARE);
    this.later(range, Math.min(NOTE_MOST, Math.max(NOTE_LEAST, seconds(block.jobs.size / perSecond))) as Micros);
  }

  private later(range: Range, delay: Micros): void {
    const { clock } = this.context;
    const due = (clock.now() + delay) as Micros;
    if (range.due !== null && range.due <= due) return;
    range.due = due;
    clock.after(delay, () => {
      // A nearer time has been set since.
      if (range.due !== due) return;
      range.due = null;
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
    if (range.tasks.every((task) => sameRecord(task.want, task.durable))) {
      range.dirty = false;
      return;
    }
    // Written before the limits were lowered: it can be read and ended, and is written again once enough of it is over.
    if (rangeBytes(range.tasks.map((task) => task.want)) > context.committer.valueBytes) {
      this.later(range, TOO_LARGE);
      return;
    }
    range.writing = true;
    const key = rangeKey(job.spec.id, range.index);
    const conditions = this.conditions(job).set(key, range.version);
    let snapshot: readonly TaskRecord[] = [];
    let markedAt: Micros | null = null;
    // Taken when the write leaves: what changes while it waits for the budget need not wait for another one.
    const build = (): readonly Write[] => {
      snapshot = range.tasks.map((task) => task.want);
      range.dirty = false;
      markedAt = range.marked;
      range.marked = null;
      return [{ kind: "put", key, value: writeRange(snapshot) }];
    };
    const urgency = range.marked === null ? "note" : laneOf(job, context.settings);
    const result = await context.committer.proposeLater(conditions, [key], build, urgency);
    range.writing = false;
    switch (result.kind) {
      case "ok":
        range.version = result.version;
        this.settle(range, snapshot);
        this.waited(markedAt);
        if (range.dirty && range.due === null) this.later(range, ms(1));
        break;
      case "conflict":
        range.marked ??= markedAt;
        await this.resolve(range, key, result.keys);
        this.retry(range);
        break;
      case "refused":
      case "lost":
      case "too large":
        range.marked ??= markedAt;
        // A lost one may still come to be applied; the same condition lets only one of the two through.
        this.retry(range);
        break;
    }
    this.finish(job);
  }

  private waited(since: Micros | null): void {
    if (since === null) return;
    const span = this.context.clock.now() - since;
    this.waits = { count: this.waits.count + 1, sum: this.waits.sum + span, most: Math.max(this.waits.most, span) };
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
    const records = readRange(reply.value.value);
    if (records.some((record, at) => unknownPlacement(record, range.tasks[at]?.want))) {
      // Somebody else's: our picture lacks it, and to write over it would start its tasks a second time.
      context.log.error("range unknown", { key });
      context.startOver();
      return;
    }
    // One of our own writes of which we had no answer.
    context.log.info("range adopted", { key });
    range.version = reply.value.version;
    this.settle(range, records);
  }

  private settle(range: Range, records: readonly TaskRecord[]): void {
    range.tasks.forEach((task, at) => {
      task.durable = records[at] ?? task.durable;
      if (task.on !== null && task.launch.kind === "none" && confirmed(task)) this.context.wakeCommands(task.on);
    });
  }

  /** Writes a job's last word once no task of it is left. */
  finish(job: Job): void {
    const done = job.done >= job.spec.tasks;
    if (job.ending || !(done || (job.cancelled && job.placed.size === 0))) return;
    const writing = job.ranges.filter((range) => range.writing);
    if (writing.length > 0) {
      // The job's last word, which its user waits for, comes after what is being written of it, and says all that a
      // note of it could.
      for (const { index } of writing) this.context.committer.withdraw(rangeKey(job.spec.id, index));
      return;
    }
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
    const here = written.slice(0, Math.max(0, context.committer.mostWrites - 2));
    const last = endKey(job.spec.id);
    const conditions = this.conditions(job).set(last, 0);
    const reason: Partial<EndRecord> = done || job.why === null ? {} : { why: job.why };
    const record: EndRecord = { phase: done ? "done" : "cancelled", done: job.done, ...reason };
    const writes: Write[] = [
      { kind: "put", key: last, value: writeEnd(record) },
      { kind: "delete", key: jobKey(job.spec.id) },
    ];
    // Ranges without a job tell nothing: they may go later, as long as they do not pile up.
    const later = context.committer.waiting("upkeep") < MOST_LEFT_OVER;
    for (const range of here) {
      const key = rangeKey(job.spec.id, range.index);
      conditions.set(key, range.version);
      if (!later) writes.push({ kind: "delete", key });
    }
    const result = await context.committer.propose(conditions, writes, laneOf(job, context.settings));
    if (result.kind === "ok") {
      context.block.jobs.delete(job.spec.id);
      context.log.info("job ended", { job: job.spec.id, phase: record.phase });
      context.ended(job, record);
      const left = later ? written : written.slice(here.length);
      this.sweep(left.map((range) => rangeKey(job.spec.id, range.index)));
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
        context.ended(job, record);
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
      void committer.propose(new Map([[lease.key, lease.version]]), [{ kind: "delete", key }], "upkeep");
    }
  }
}
