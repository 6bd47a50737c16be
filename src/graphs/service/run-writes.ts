import type { ShardContext } from "../../coordination/context.js";
import type { Uint64 } from "../../protocol/json.js";
import type { WriteOperation } from "../../protocol/key-value-store.js";
import { ms, seconds } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import { closure } from "../run/closure.js";
import { type DagRun, MAX_CLEARINGS } from "../run/dag-run.js";
import { countsOf, STATES } from "../run/states.js";
import type { LiveRun } from "./live-run.js";
import {
  type ClearRequest,
  clearedSegments,
  type EndedRun,
  endedKey,
  type FinalPhase,
  graphKey,
  type RunHeader,
  type Segment,
  segmentWrites,
  summaryKey,
  writeEnded,
  writeHeader,
  writeSegments,
} from "./records.js";

/** Value of `lastSummary` after a failed write, when the stored counts are unknown; differs from all counts. */
const UNKNOWN_SUMMARY = "?";
const RETRY_DELAY = ms(300);
/** Number of steps from which a run's counts are stored for controllers that do not lead its shard. */
export const LARGE_RUN_STEPS = 500;
const SUMMARY_PERIOD = seconds(3);

/** Callbacks of `RunWrites` into the runner. */
export interface RunCallbacks {
  /** The header was written in this stored form; the watch cache may not have it yet. */
  readonly headerWritten: (id: string, value: unknown, version: Uint64) => void;
  /** The run has ended and its header was deleted. */
  readonly runEnded: (id: string) => void;
  /** Checks the run, if it is still active, for work that has become possible. */
  readonly advance: (run: LiveRun) => void;
  /** Updates which steps of the run are running and which are queued. */
  readonly refresh: (id: string) => void;
}

/**
 * Writes the records of a run other than its jobs: its end, clears, its timeout and its counts. At most one write of a
 * run's header is in progress at a time.
 */
export class RunWrites {
  constructor(
    private readonly context: ShardContext,
    private readonly callbacks: RunCallbacks,
  ) {}

  private conditions(run: LiveRun): Map<string, Uint64> {
    const { lease } = this.context;
    return new Map([
      [lease.key, lease.version],
      [graphKey(run.id), run.version],
    ]);
  }

  private nowMs(): number {
    return Math.round(this.context.wallClock?.() ?? 0);
  }

  /** Replaces the header by the record of the ended run. Retries after a delay if the write fails. */
  async finish(run: LiveRun, engine: DagRun): Promise<void> {
    if (run.writing) return;
    run.writing = true;
    try {
      const { header } = run;
      const result = engine.result ?? "failed";
      const phase: FinalPhase = header.aborted ? "withdrawn" : header.timedOut ? "failed" : result;
      const clearings = run.loaded?.saved.clearings ?? new Map<number, number>();
      const segments = writeSegments(header.steps, header.segment, engine.finals(), clearings);
      const counts = countsOf((state) => engine.count(state));
      const [only] = segments;
      const isSingle = segments.length === 1 && only !== undefined;
      if (!isSingle && !(await this.writeSegments(run, segments))) return;
      const ended: EndedRun = { header, phase, counts, endedMs: this.nowMs(), states: isSingle ? only : null };
      const writes: WriteOperation[] = [
        { kind: "put", key: endedKey(run.id), value: writeEnded(ended) },
        { kind: "delete", key: graphKey(run.id) },
      ];
      if (run.lastSummary !== "") writes.push({ kind: "delete", key: summaryKey(run.id) });
      const written = await this.context.transactions.submit(
        this.conditions(run).set(endedKey(run.id), 0),
        writes,
        "normal",
      );
      if (written.kind !== "ok") {
        this.handleFailedWrite(run, written.kind === "conflict" ? written.keys : []);
        return;
      }
      this.context.log.info("run ended", { run: run.id, phase, ...counts });
      this.callbacks.runEnded(run.id);
    } finally {
      run.writing = false;
    }
  }

  private handleFailedWrite(run: LiveRun, keys: readonly string[]): void {
    const { lease, cache, clock } = this.context;
    if (keys.includes(lease.key)) {
      this.context.onFenced();
      return;
    }
    void this.logFailure(cache.sync());
    clock.after(RETRY_DELAY, () => {
      this.callbacks.advance(run);
    });
  }

  private async writeSegments(run: LiveRun, segments: readonly Segment[]): Promise<boolean> {
    const written = await this.context.transactions.submit(
      this.conditions(run),
      segmentWrites(run.id, segments),
      "normal",
    );
    if (written.kind === "ok") return true;
    this.handleFailedWrite(run, written.kind === "conflict" ? written.keys : []);
    return false;
  }

  /** Carries out a stored clear request. Steps that are not cleared keep their states, whatever the others end in. */
  async clear(run: LiveRun, engine: DagRun, clear: ClearRequest): Promise<void> {
    if (run.writing || run.loaded === null) return;
    run.writing = true;
    try {
      const { header } = run;
      const cleared = closure(engine.plan, clear.steps, clear.downstream);
      const round = Math.min(MAX_CLEARINGS, header.round + 1);
      const segments = clearedSegments(header, engine.finals(), run.loaded.saved.clearings, cleared, round);
      const next: RunHeader = { ...header, round, clear: null };
      const value = writeHeader(next);
      const writes: readonly WriteOperation[] = [
        ...segmentWrites(run.id, segments),
        { kind: "put", key: graphKey(run.id), value },
      ];
      const written = await this.context.transactions.submit(this.conditions(run), writes, "normal");
      if (written.kind !== "ok") {
        this.handleFailedWrite(run, written.kind === "conflict" ? written.keys : []);
        return;
      }
      this.context.log.info("steps cleared", { run: run.id, steps: cleared.size, round });
      this.callbacks.headerWritten(run.id, value, written.version);
    } finally {
      run.writing = false;
    }
  }

  /** Marks the run as timed out. Uses the wall clock if there is one, since a run may outlive many shard leaders. */
  checkTimeout(run: LiveRun, engine: DagRun): void {
    const { timeoutS } = engine.plan;
    const { header } = run;
    if (timeoutS === null || header.timedOut || header.aborted || run.writing || header.clear !== null) return;
    const now = this.nowMs();
    const elapsedMs =
      now > 0 && header.acceptedMs > 0 ? now - header.acceptedMs : (this.context.clock.now() - run.firstSeenAt) / 1_000;
    if (elapsedMs < timeoutS * 1_000) return;
    run.writing = true;
    const next: RunHeader = { ...header, timedOut: true };
    const value = writeHeader(next);
    const write: WriteOperation = { kind: "put", key: graphKey(run.id), value };
    void this.logFailure(
      this.context.transactions.submit(this.conditions(run), [write], "cancellation").then((written) => {
        run.writing = false;
        if (written.kind === "ok") this.callbacks.headerWritten(run.id, value, written.version);
        else this.handleFailedWrite(run, written.kind === "conflict" ? written.keys : []);
      }),
    );
  }

  /** Stores the counts of a large run, at most once per `SUMMARY_PERIOD` and only if they changed. */
  writeSummary(run: LiveRun, engine: DagRun): void {
    const { clock, transactions, cache } = this.context;
    if (run.header.steps < LARGE_RUN_STEPS || run.writing || clock.now() - run.summaryWrittenAt < SUMMARY_PERIOD)
      return;
    this.callbacks.refresh(run.id);
    const counts = STATES.map((state) => engine.count(state));
    const text = counts.join();
    if (text === run.lastSummary) return;
    run.lastSummary = text;
    run.summaryWrittenAt = clock.now();
    const key = summaryKey(run.id);
    // The condition keeps a delayed earlier write from overwriting this one.
    const conditions = this.conditions(run).set(key, cache.entries.get(key)?.version ?? 0);
    const write: WriteOperation = { kind: "put", key, value: counts };
    void this.logFailure(
      transactions.submit(conditions, [write], "deferred").then((written) => {
        if (written.kind !== "ok") run.lastSummary = UNKNOWN_SUMMARY;
      }),
    );
  }

  private logFailure(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      (error: unknown) => this.context.log.error("run not written", { error: describeError(error) }),
    );
  }
}
