import type { ShardContext } from "../../coordination/context.js";
import type { ShardControls, ShardExtension } from "../../coordination/extension.js";
import type { JobSpec } from "../../protocol/job-spec.js";
import type { Uint64 } from "../../protocol/json.js";
import type { KeyChange } from "../../protocol/key-value-store.js";
import type { ExitReason } from "../../protocol/worker.js";
import type { GraphOptions } from "../../settings/graph-options.js";
import { decodeJobRecord, encodeJobRecord, type JobRecord } from "../../storage/job-records.js";
import { jobKey, jobOfKey, outcomeKey, shardOf } from "../../storage/keys.js";
import { decodeOutcomeRecord } from "../../storage/outcome-records.js";
import { type Micros, ms } from "../../transport/clock.js";
import { describeError } from "../../transport/log.js";
import { DagRun, tryOf } from "../run/dag-run.js";
import type { Plan } from "../run/plan.js";
import { planLimits } from "../run/retry.js";
import { specOf } from "../run/spec.js";
import { isOpen } from "../run/states.js";
import { ownOrder } from "../run/weights.js";
import { JobNotes } from "./job-notes.js";
import { dagOf, type LiveRun, newRun } from "./live-run.js";
import { loadRun, pastOf } from "./loading.js";
import { PastRuns } from "./past-runs.js";
import { Pools } from "./pools.js";
import { graphKey, graphOfKey, isCalledOff, jobIdOf, outcomeOf, partsOfJobId, readHeader } from "./records.js";
import { RunWrites } from "./run-writes.js";
import { Uploads } from "./uploads.js";

const TICK = ms(500);
/** Maximum number of concurrent step submissions, as a multiple of the writes that one transaction takes. */
const IN_FLIGHT = 2;
/** Maximum number of runs loaded concurrently. */
const LOADING = 4;
const RETRY = ms(300);

/** Executes the runs of one shard while this controller leads it: submits steps and writes the runs' records. */
export class Runner implements ShardExtension {
  private readonly runs = new Map<string, LiveRun>();
  private readonly dags = new Map<string, Set<LiveRun>>();
  /** Runs with steps to submit, served round-robin. */
  private readonly ring = new Set<LiveRun>();
  private readonly toLoad = new Set<LiveRun>();
  /** By run id, the next run of the same DAG, if its steps depend on this run (`depends_on_past`). */
  private readonly followers = new Map<string, LiveRun>();
  private readonly pools: Pools;
  private readonly writes: RunWrites;
  private readonly notes: JobNotes;
  private readonly uploads: Uploads;
  private readonly past: PastRuns;
  private loadingCount = 0;
  /** When the load of the runs found at the takeover started; null once it has finished. */
  private readingSince: Micros | null = null;
  private inFlight = 0;
  private stopped = false;
  private tickedAt: Micros;

  constructor(
    private readonly context: ShardContext,
    private readonly doors: ShardControls,
    private readonly options: GraphOptions,
  ) {
    this.notes = new JobNotes(context);
    this.uploads = new Uploads(context);
    this.past = new PastRuns(
      context.store,
      (id) => this.runs.get(id)?.engine ?? null,
      (id) => this.runs.has(id),
    );
    this.pools = new Pools(options.pools, (run) => this.ring.add(run));
    this.writes = new RunWrites(context, {
      seen: (id, value, version) => this.seen(id, value, version),
      drop: (id) => this.drop(id),
      moved: (run) => {
        if (this.runs.get(run.id) === run) this.moved(run);
      },
      refresh: (id) => this.stateOf(id),
    });
    this.tickedAt = context.clock.now();
    for (const [key, entry] of context.cache.entries) {
      const id = graphOfKey(key);
      if (id !== null) this.seen(id, entry.value, entry.version);
    }
    if (this.runs.size > 0) {
      context.log.info("runs taken", { runs: this.runs.size });
      this.readingSince = this.tickedAt;
    }
    this.tick();
  }

  stop(): void {
    this.stopped = true;
    this.notes.stop();
  }

  /** The run's step states; null if the run is not loaded. */
  stateOf(id: string): DagRun | null {
    const run = this.runs.get(id);
    if (run === undefined || run.engine === null) return null;
    for (const [step, job] of run.open) run.engine.running(step, this.isRunning(job));
    return run.engine;
  }

  private isRunning(job: string): boolean {
    const { jobs } = this.context.shard;
    for (const task of jobs.get(job)?.placedTasks ?? []) if (task.state === "running") return true;
    return false;
  }

  // Events of the scheduler core ----------------------------------------------------------------------------

  onChange(change: KeyChange): void {
    if (this.stopped) return;
    const id = graphOfKey(change.key);
    if (id === null) this.jobSeen(change);
    else if (change.kind === "delete") this.drop(id);
    else {
      this.seen(id, change.value, change.version);
      this.sweep(id);
    }
  }

  /**
   * Cancels the jobs of an aborted or timed-out run. The scheduler core consults the header in the watch cache. After a
   * timeout the runner knows the new header before the cache does, so cancelling at that moment has no effect, and the
   * later cache update is not a newer version; hence this runs on every change of the header.
   */
  private sweep(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined || !isCalledOff(run.header)) return;
    this.doors.cancelWithdrawnJobs(run.open.values());
  }

  /** A submission whose response was lost may become visible here long afterwards. */
  private jobSeen(change: KeyChange): void {
    const job = jobOfKey(change.key);
    if (job === null || change.kind !== "put" || !job.startsWith("wk-dr-")) return;
    const { spec } = decodeJobRecord(change.value);
    const run = this.runOf(spec);
    const parts = partsOfJobId(job);
    if (run === null || run.engine === null || parts === null || run.starting.has(parts.step)) return;
    this.adopt(run, run.engine, parts.step, parts.attempt, job);
  }

  /** Registers a job that exists although its step counts as not submitted. */
  private adopt(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): void {
    if (engine.stateOf(step) !== "scheduled" || engine.nextAttempt(step) !== attempt) return;
    this.pools.take(run, step);
    this.opened(run, engine, step, attempt, job);
  }

  onJobEnded(spec: JobSpec, end: Parameters<ShardExtension["onJobEnded"]>[1]): void {
    const run = this.runOf(spec);
    const parts = partsOfJobId(spec.id);
    this.notes.forget(spec.id);
    if (run === null || parts === null) return;
    const outcome = outcomeOf(end);
    run.loaded?.ended.set(spec.id, outcome);
    if (run.engine !== null) this.adopt(run, run.engine, parts.step, parts.attempt, spec.id);
    this.release(run, parts.step, spec.id);
    // During a load, the outcome of a job that ends is either read with the others or applied afterwards from `late`.
    if (run.engine === null) run.late.push(() => run.engine?.ended(parts.step, parts.attempt, outcome));
    else {
      run.engine.ended(parts.step, parts.attempt, outcome);
      this.moved(run);
    }
  }

  onTaskFailed(spec: JobSpec, index: number, reason: ExitReason): void {
    const run = this.runOf(spec);
    const parts = partsOfJobId(spec.id);
    if (run === null || parts === null) return;
    const limits = run.limits[parts.step];
    if (limits === undefined || !limits.counts.has(reason)) return;
    if (this.notes.count(spec.id, index) < limits.errors) return;
    this.context.log.info("attempt given up", { job: spec.id, reason });
    this.notes.giveUp(spec.id, "error");
  }

  private runOf(spec: JobSpec): LiveRun | null {
    return (spec.origin === undefined ? undefined : this.runs.get(spec.origin.graph)) ?? null;
  }

  // Runs ----------------------------------------------------------------------------------------------------

  private seen(id: string, value: unknown, version: Uint64): void {
    const header = readHeader(value);
    if (header.block !== this.context.lease.shard) return;
    const known = this.runs.get(id);
    if (known === undefined) {
      const run = newRun(id, header, version, this.context.clock.now());
      this.runs.set(id, run);
      if (header.before !== null) this.followers.set(header.before, run);
      const dag = this.dags.get(dagOf(header)) ?? new Set();
      dag.add(run);
      this.dags.set(dagOf(header), dag);
      this.activate(dag);
      return;
    }
    if (version <= known.version) return;
    const { round } = known.header;
    known.version = version;
    known.header = header;
    if (header.round !== round) this.reload(known);
    else if (known.engine !== null) this.follow(known, known.engine);
  }

  /** Acts on a new header: halts the run if it was aborted or timed out. */
  private follow(run: LiveRun, engine: DagRun): void {
    if (isCalledOff(run.header) && !engine.isHalted) {
      engine.halt();
      this.sweep(run.id);
    }
    this.moved(run);
  }

  private drop(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    this.runs.delete(id);
    this.ring.delete(run);
    if (run.header.before !== null) this.followers.delete(run.header.before);
    this.toLoad.delete(run);
    this.pools.forget(run);
    run.engine = null;
    this.past.forget(id);
    const dag = this.dags.get(dagOf(run.header));
    dag?.delete(run);
    if (dag === undefined) return;
    if (dag.size === 0) this.dags.delete(dagOf(run.header));
    else this.activate(dag);
    const next = this.followers.get(id);
    if (next !== undefined) this.lookAtPast(next);
  }

  /** Activates the DAG's earliest accepted runs, up to the DAG's limit of active runs. */
  private activate(dag: ReadonlySet<LiveRun>): void {
    let active = 0;
    for (const run of dag) if (run.active) active += 1;
    const waiting = [...dag].filter((run) => !run.active);
    waiting.sort((a, b) => a.header.acceptedMs - b.header.acceptedMs || (a.id < b.id ? -1 : 1));
    for (const run of waiting) {
      // An aborted run is activated beyond the limit: it starts no steps and only has to be ended.
      if (active >= run.header.mostRuns && !run.header.aborted) continue;
      run.active = true;
      active += 1;
      this.toLoad.add(run);
    }
    this.loadNext();
  }

  private reload(run: LiveRun): void {
    run.engine = null;
    run.loaded = null;
    this.pools.forget(run);
    this.ring.delete(run);
    if (run.active) this.toLoad.add(run);
    this.loadNext();
  }

  private loadNext(): void {
    for (const run of this.toLoad) {
      if (this.loadingCount >= LOADING || this.stopped) return;
      if (run.loading) continue;
      this.toLoad.delete(run);
      this.loadingCount += 1;
      run.loading = true;
      this.load(run)
        .catch((error: unknown) => {
          this.context.log.error("run not loaded", { run: run.id, error: describeError(error) });
          return false;
        })
        .then((good) => {
          this.loadingCount -= 1;
          run.loading = false;
          const again = !good || run.engine === null;
          if (again && this.runs.get(run.id) === run && !this.stopped) {
            this.context.clock.after(RETRY, () => {
              if (this.runs.get(run.id) !== run || run.engine !== null) return;
              this.toLoad.add(run);
              this.loadNext();
            });
          }
          this.loadNext();
        }, undefined);
    }
    this.readAll();
  }

  /** Logs how long the load of runs after a takeover took, once it has finished. */
  private readAll(): void {
    if (this.readingSince === null || this.toLoad.size > 0 || this.loadingCount > 0) return;
    const { clock, log } = this.context;
    log.info("runs read", { runs: this.runs.size, tookMs: Math.round((clock.now() - this.readingSince) / 1_000) });
    this.readingSince = null;
  }

  private async load(run: LiveRun): Promise<boolean> {
    const { store, cache, clock } = this.context;
    const { header, version, id } = run;
    run.late = [];
    // After this sync the watch cache holds all jobs submitted under the header from before a clear. At a takeover it
    // holds them already: the previous leader could not write any more once the shard's lease had been acquired anew.
    if (header.round > 0 && !(await cache.sync())) return false;
    const loaded = await loadRun(store, id, header, run.loaded?.plan ?? null);
    if (loaded === null || this.stopped || this.runs.get(id) !== run) return false;
    if (run.version !== version && run.header.round !== header.round) return false;
    if (!(await this.past.prepare(loaded.plan, header))) return false;
    const { plan, saved } = loaded;
    run.loaded = loaded;
    run.limits = planLimits(plan, this.options);
    run.order = ownOrder(plan);
    run.timed = run.limits.some(({ timeout }) => timeout !== null);
    run.spent.clear();
    run.starting.clear();
    run.open.clear();
    const engine: DagRun = new DagRun({
      plan,
      order: run.order,
      limits: run.limits,
      frozen: saved.finals,
      clearings: saved.clearings,
      past: pastOf(id, header, loaded.ended, (key) => cache.entries.has(key)),
      pastRun: (step) => this.past.said(run.header, step.id),
      onRetry: (step, after) => {
        clock.after(after, () => {
          if (this.stopped || run.engine !== engine) return;
          engine.retryDue(step);
          this.moved(run);
        });
      },
    });
    run.engine = engine;
    for (const [at] of plan.steps.entries()) {
      if (!isOpen(engine.stateOf(at))) continue;
      run.open.set(at, jobIdOf(id, header.digest, at, engine.attemptOf(at)));
      this.pools.take(run, at);
    }
    this.stopCleared(run, engine);
    for (const tell of run.late.splice(0)) tell();
    this.follow(run, engine);
    return true;
  }

  /** Cancels jobs of attempts from before a clear; their steps start again only once these have ended. */
  private stopCleared(run: LiveRun, engine: DagRun): void {
    const { cache } = this.context;
    for (const [step, attempt] of engine.outdated()) {
      const job = jobIdOf(run.id, run.header.digest, step, attempt);
      if (cache.entries.has(jobKey(job))) this.notes.giveUp(job, "cleared");
    }
  }

  private lookAtPast(run: LiveRun): void {
    if (run.engine === null) return;
    this.past
      .prepare(run.engine.plan, run.header)
      .then(() => {
        if (run.engine === null || this.stopped) return;
        run.engine.lookAtPast();
        this.moved(run);
      })
      .catch((error: unknown) => this.context.log.error("past not read", { error: describeError(error) }));
  }

  /** Called after any change of the run: starts the writes that have become due and submits steps that are ready. */
  private moved(run: LiveRun): void {
    const { engine } = run;
    if (engine === null || this.stopped) return;
    if (engine.isHalted && engine.result === null) void this.guard(this.settleHalted(run, engine));
    if (run.header.clear !== null) void this.guard(this.writes.clear(run, engine, run.header.clear));
    else if (engine.result !== null) void this.guard(this.writes.finish(run, engine));
    if (engine.hasReady) this.ring.add(run);
    const next = this.followers.get(run.id);
    next?.engine?.lookAtPast();
    if (next?.engine?.hasReady === true) this.ring.add(next);
    this.pump();
  }

  /**
   * Ends a halted run. A submission from before the abort or timeout may have been applied without a response, so the
   * watch cache is synced first.
   */
  private async settleHalted(run: LiveRun, engine: DagRun): Promise<void> {
    const quiet = (): boolean => run.engine === engine && engine.openSteps === 0 && run.starting.size === 0;
    if (!quiet() || run.settling) return;
    run.settling = true;
    const good = await this.context.cache.sync().finally(() => {
      run.settling = false;
    });
    if (!quiet()) return;
    if (good) engine.finishHalted();
    if (good) this.moved(run);
    else this.context.clock.after(RETRY, () => this.moved(run));
  }

  // Steps ---------------------------------------------------------------------------------------------------

  private release(run: LiveRun, step: number, job: string): void {
    if (run.open.get(step) !== job) return;
    run.open.delete(step);
    run.spent.delete(step);
    this.pools.giveBack(run, step);
  }

  private hasRoom(run: LiveRun, engine: DagRun): boolean {
    const most = Math.min(engine.plan.maxActiveTasks, this.options.mostOpen);
    return engine.openSteps + run.starting.size < most;
  }

  /**
   * Submits ready steps, one per run in turn. Only a few transactions' worth is in flight at once, so that other writes
   * are interleaved.
   */
  private pump(): void {
    const { settings, lease, loadShedder } = this.context;
    const most = settings.store.transactionWrites * IN_FLIGHT;
    // While user submissions are shed, no steps are submitted either; ready steps wait for the next tick.
    if (!lease.isValid() || loadShedder.atLeast("saturated")) return;
    for (const run of this.ring) {
      if (this.inFlight >= most || this.stopped) return;
      this.ring.delete(run);
      const { engine } = run;
      if (engine === null || run.header.clear !== null || !this.hasRoom(run, engine)) continue;
      const step = engine.take((pool) => this.pools.hasRoom(pool));
      if (engine.hasReady) this.pools.wait(run, engine);
      if (step === null) continue;
      if (engine.hasReady) this.ring.add(run);
      void this.guard(this.submit(run, engine, step));
    }
    this.pools.offerAll();
  }

  private async submit(run: LiveRun, engine: DagRun, step: number): Promise<void> {
    const { transactions, lease, log, clock } = this.context;
    const plan = engine.plan;
    const attempt = engine.nextAttempt(step);
    const job = jobIdOf(run.id, run.header.digest, step, attempt);
    const spec = this.specOf(run, plan, step, job);
    const value: JobRecord = { spec, shard: shardOf(spec.team), cancelled: false };
    const conditions = new Map<string, Uint64>([
      [lease.key, lease.version],
      // An abort or a clear changes the header, so submissions still in flight then fail.
      [graphKey(run.id), run.version],
      [jobKey(job), 0],
      [outcomeKey(job), 0],
    ]);
    run.starting.add(step);
    this.pools.take(run, step);
    this.inFlight += 1;
    const result = await transactions.submit(conditions, [
      { kind: "put", key: jobKey(job), value: encodeJobRecord(value) },
    ]);
    this.inFlight -= 1;
    if (run.engine !== engine || this.stopped) return;
    if (result.kind !== "lost") run.starting.delete(step);
    switch (result.kind) {
      case "ok":
        this.opened(run, engine, step, attempt, job);
        break;
      case "conflict":
        if (result.keys.includes(lease.key)) this.context.onFenced();
        else await this.resolve(run, engine, step, attempt, job);
        break;
      case "refused":
        clock.after(RETRY, () => this.again(run, engine, step));
        break;
      case "lost":
        // The write may have been applied or may yet be; the next try or the watch cache reveals it.
        log.info("step perhaps submitted", { job });
        clock.after(RETRY, () => {
          if (run.engine === engine) void this.guard(this.resolve(run, engine, step, attempt, job));
        });
    }
    this.pump();
  }

  private again(run: LiveRun, engine: DagRun, step: number): void {
    if (run.engine !== engine || this.stopped) return;
    this.pools.giveBack(run, step);
    engine.putBack(step);
    this.moved(run);
  }

  private specOf(run: LiveRun, plan: Plan, at: number, job: string): JobSpec {
    const step = plan.steps[at];
    if (step === undefined) throw new Error(`no step ${at}`);
    return { ...specOf(plan, step, job), origin: { graph: run.id, position: run.order[at] ?? at } };
  }

  private opened(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): void {
    engine.submitted(step, attempt);
    run.open.set(step, job);
    this.record(run, engine, step, attempt, job);
    // The run was aborted or timed out during the submission: the job exists, so it is cancelled like the others.
    if (isCalledOff(run.header)) this.doors.cancelWithdrawnJobs([job]);
    if (engine.hasReady) this.ring.add(run);
  }

  /** Reports to the trace which jobs this one waited for. */
  private record(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): void {
    const { eventListener } = this.context;
    if (eventListener === null) return;
    const jobOf = (at: number, number: number): string => jobIdOf(run.id, run.header.digest, at, number);
    const tries = tryOf(attempt);
    if (tries > 1) {
      const pause = run.limits[step]?.delay(tries - 1) ?? (0 as Micros);
      eventListener({ kind: "job follows", job, after: [jobOf(step, attempt - 1)], pause });
      return;
    }
    const after: string[] = [];
    // A step without a job is replaced by its upstream steps.
    const work = [...(engine.plan.steps[step]?.upstream ?? [])];
    const seen = new Set(work);
    for (let at = work.pop(); at !== undefined; at = work.pop()) {
      if (engine.attemptOf(at) > 0) after.push(jobOf(at, engine.attemptOf(at)));
      else {
        for (const up of engine.plan.steps[at]?.upstream ?? []) {
          if (!seen.has(up)) work.push(up);
          seen.add(up);
        }
      }
    }
    if (after.length > 0) eventListener({ kind: "job follows", job, after, pause: 0 as Micros });
  }

  /**
   * Finds out what became of a submission that conflicted or got no response: the header may have changed, or the job
   * may exist already from an earlier try whose response was lost.
   */
  private async resolve(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): Promise<void> {
    const { cache, store, log } = this.context;
    // The step counts as being submitted until its fate is known. Otherwise an aborted run could end in the meantime,
    // since no step appears to be in progress, and leave its job behind.
    run.starting.add(step);
    const synced = await cache.sync();
    if (run.engine !== engine || this.stopped) return;
    const entry = cache.entries.get(jobKey(job));
    const end = synced && entry === undefined ? await store.get(outcomeKey(job)) : null;
    if (run.engine !== engine || this.stopped) return;
    if (!synced || end?.kind === "refused" || end?.kind === "lost") {
      this.context.clock.after(RETRY, () => {
        if (run.engine === engine) void this.guard(this.resolve(run, engine, step, attempt, job));
      });
      return;
    }
    run.starting.delete(step);
    if (engine.stateOf(step) !== "scheduled") {
      this.moved(run);
      return;
    }
    if (entry !== undefined) {
      if (decodeJobRecord(entry.value).spec.origin?.graph === run.id) this.opened(run, engine, step, attempt, job);
      else {
        log.error("somebody else's job has a step's id", { job });
        engine.submitted(step, attempt);
        engine.ended(step, attempt, "killed");
        this.pools.giveBack(run, step);
        this.moved(run);
      }
      return;
    }
    if (end?.kind === "ok") {
      this.opened(run, engine, step, attempt, job);
      this.release(run, step, job);
      engine.ended(step, attempt, outcomeOf(decodeOutcomeRecord(end.value.value)));
      this.moved(run);
    } else this.again(run, engine, step);
  }

  // Timer ---------------------------------------------------------------------------------------------------

  private tick(): void {
    if (this.stopped) return;
    const { clock, log } = this.context;
    const now = clock.now();
    const passed = (now - this.tickedAt) as Micros;
    this.tickedAt = now;
    try {
      for (const run of this.runs.values()) {
        if (run.engine === null) continue;
        if (run.timed) this.timeSteps(run, passed);
        this.writes.timeOut(run, run.engine);
        this.writes.summarize(run, run.engine);
      }
      this.uploads.sweep();
      this.pump();
    } catch (error) {
      log.error("runs failed to move", { error: describeError(error) });
    }
    clock.after(TICK, () => this.tick());
  }

  private timeSteps(run: LiveRun, passed: Micros): void {
    for (const [step, job] of run.open) {
      const timeout = run.limits[step]?.timeout ?? null;
      if (timeout === null || !this.isRunning(job)) continue;
      const spent = ((run.spent.get(step) ?? 0) + passed) as Micros;
      run.spent.set(step, spent);
      if (spent > timeout) this.notes.giveUp(job, "timeout");
    }
  }

  private guard(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      (error: unknown) => this.context.log.error("run step failed", { error: describeError(error) }),
    );
  }
}
