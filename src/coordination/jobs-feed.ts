import type { Job } from "../bookkeeping/picture.js";
import { CURRENT, jobKey, jobOfAwaitedKey, jobOfKey, rangeOfKey, readJob } from "../bookkeeping/records.js";
import type { Change, Entry } from "../protocol/state.js";
import { seconds } from "../transport/clock.js";
import type { Chained } from "./chained.js";
import { type BlockContext, firstToken } from "./context.js";
import type { Extension } from "./extension.js";
import type { Observer } from "./observer.js";
import type { Recorder } from "./recorder.js";

/** Nobody who submits waits for longer than a minute, and no transaction is as late as this. */
const LIST_LEFT = seconds(600);

export interface JobsFeedAround {
  readonly context: BlockContext;
  readonly recorder: Pick<Recorder, "finish" | "sweep">;
  readonly observer: Pick<Observer, "gone">;
  readonly chained: Pick<Chained, "added">;
  readonly extension: Extension | null;
  /** A round is due at once. */
  readonly wakeRound: () => void;
}

/** Brings the block's jobs from the records into the picture: all of them at the beginning, then each change. */
export class JobsFeed {
  private restored = false;

  constructor(private readonly around: JobsFeedAround) {}

  restore(): void {
    const { view, log } = this.around.context;
    const { block } = this.around.context;
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
      else {
        block.restoreRange(job, range, entry.version, entry.value, firstToken(this.around.context.lease) - 1);
        // Whatever it awaited was on record as done before anything of it was placed.
        job.blocked = false;
      }
    }
    this.around.recorder.sweep(orphans.filter((key) => key.startsWith(CURRENT)));
    for (const job of block.jobs.values()) this.around.recorder.finish(job);
    this.dropLists();
    this.restored = true;
    log.info("block taken", {
      block: this.around.context.lease.block,
      number: this.around.context.lease.number,
      jobs: block.jobs.size,
    });
  }

  /**
   * Parts of a list whose job was never accepted, or has ended. An acceptance is conditional on the parts' versions, so that one
   * that comes late can't stand without them; only what has lain there for long is taken, since one may be under way.
   */
  private dropLists(): void {
    const { view, clock, committer, lease } = this.around.context;
    const left = [...view.entries.values()].filter(({ key }) => {
      const id = jobOfAwaitedKey(key);
      return id !== null && !view.entries.has(jobKey(id));
    });
    if (left.length === 0) return;
    clock.after(LIST_LEFT, () => {
      for (const { key, version } of left) {
        const id = jobOfAwaitedKey(key) ?? "";
        if (!lease.valid() || view.entries.get(key)?.version !== version || view.entries.has(jobKey(id))) continue;
        const conditions = new Map([
          [lease.key, lease.version],
          [key, version],
          [jobKey(id), 0],
        ]);
        void committer.propose(conditions, [{ kind: "delete", key }], "upkeep");
      }
    });
  }

  changed(change: Change): void {
    if (jobOfKey(change.key) !== null) this.jobChanged(change);
  }

  sweepWithdrawn(id: string): void {
    const job = this.around.context.block.jobs.get(id);
    if (job === undefined || job.cancelled || this.around.extension?.withdrawn(job.spec) !== true) return;
    job.why = "graph";
    this.withdraw(job);
  }

  /** Needs a job that is cancelled. */
  withdrawn(id: string): void {
    const job = this.around.context.block.jobs.get(id);
    if (job !== undefined && !job.cancelled) this.withdraw(job);
  }

  private jobChanged(change: Change): void {
    const { block } = this.around.context;
    const id = jobOfKey(change.key) ?? "";
    if (change.kind === "delete") return;
    const record = readJob(change.value);
    if (record.block !== this.around.context.lease.block) return;
    const known = block.jobs.get(id);
    if (known === undefined) {
      const withdrawn = !record.cancelled && this.around.extension?.withdrawn(record.spec) === true;
      const called = record.cancelled || withdrawn || this.around.context.chains.isWithdrawn(id);
      const job = block.addJob(record.spec, change.version, called);
      job.awaited = record.awaited ?? null;
      this.around.chained.added(job, record.acceptedMs ?? null);
      job.why = withdrawn ? "graph" : (record.why ?? null);
      // While this controller was restoring, whoever restores calls `finish` for all; else nobody would.
      if (job.cancelled && this.restored) this.around.recorder.finish(job);
      this.around.context.sink?.({ kind: "job seen", spec: record.spec });
      this.around.wakeRound();
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
    this.around.context.log.info("job cancelled", { job: id });
    this.around.context.sink?.({ kind: "job cancelled", job: id });
    for (const task of [...known.placed]) {
      const machine = task.on;
      if (task.launch.kind === "none") this.around.observer.gone(task);
      if (machine !== null) this.around.context.wakeCommands(machine);
    }
    this.around.recorder.finish(known);
  }
}
