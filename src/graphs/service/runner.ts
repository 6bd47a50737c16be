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
import { specOf } from "../run/job-specs.js";
import type { Plan } from "../run/plan.js";
import { planLimits } from "../run/retry.js";
import { isOpen } from "../run/states.js";
import { startOrder } from "../run/weights.js";
import { JobRecordUpdates } from "./job-record-updates.js";
import { dagKey, type LiveRun, newRun } from "./live-run.js";
import { loadRun, recordedAttempts } from "./loading.js";
import { Pools } from "./pools.js";
import { PreviousRuns } from "./previous-runs.js";
import { graphKey, isStopped, jobIdOf, outcomeOf, parseStepJobId, readHeader, runIdOfKey } from "./records.js";
import { RunWrites } from "./run-writes.js";
import { UploadCleanup } from "./upload-cleanup.js";

const TICK_PERIOD = ms(500);
/** Maximum number of concurrent step submissions, as a multiple of the writes that one transaction takes. */
const IN_FLIGHT_TRANSACTIONS = 2;
/** Maximum number of runs loaded concurrently. */
const MAX_CONCURRENT_LOADS = 4;
const RETRY_DELAY = ms(300);

/** Executes the runs of one shard while this controller leads it: submits steps and writes the runs' records. */
export class Runner implements ShardExtension {
  private readonly runs = new Map<string, LiveRun>();
  private readonly runsByDag = new Map<string, Set<LiveRun>>();
  /** Runs with steps to submit, served round-robin. */
  private readonly readyRuns = new Set<LiveRun>();
  private readonly toLoad = new Set<LiveRun>();
  /** By run id, the next run of the same DAG, if its steps depend on this run (`depends_on_past`). */
  private readonly nextRuns = new Map<string, LiveRun>();
  private readonly pools: Pools;
  private readonly writes: RunWrites;
  private readonly jobUpdates: JobRecordUpdates;
  private readonly uploads: UploadCleanup;
  private readonly previousRuns: PreviousRuns;
  private loadingCount = 0;
  /** When the load of the runs found at the takeover started; null once it has finished. */
  private restoringSince: Micros | null = null;
  private inFlight = 0;
  private stopped = false;
  private tickedAt: Micros;

  constructor(
    private readonly context: ShardContext,
    private readonly controls: ShardControls,
    private readonly options: GraphOptions,
  ) {
    this.jobUpdates = new JobRecordUpdates(context);
    this.uploads = new UploadCleanup(context);
    this.previousRuns = new PreviousRuns(
      context.store,
      (id) => this.runs.get(id)?.engine ?? null,
      (id) => this.runs.has(id),
    );
    this.pools = new Pools(options.pools, (run) => this.readyRuns.add(run));
    this.writes = new RunWrites(context, {
      headerWritten: (id, value, version) => this.headerChanged(id, value, version),
      runEnded: (id) => this.removeRun(id),
      advance: (run) => {
        if (this.runs.get(run.id) === run) this.advance(run);
      },
      refresh: (id) => this.stateOf(id),
    });
    this.tickedAt = context.clock.now();
    for (const [key, entry] of context.cache.entries) {
      const id = runIdOfKey(key);
      if (id !== null) this.headerChanged(id, entry.value, entry.version);
    }
    if (this.runs.size > 0) {
      context.log.info("runs taken", { runs: this.runs.size });
      this.restoringSince = this.tickedAt;
    }
    this.tick();
  }

  stop(): void {
    this.stopped = true;
    this.jobUpdates.stop();
  }

  /** The run's step states; null if the run is not loaded. */
  stateOf(id: string): DagRun | null {
    const run = this.runs.get(id);
    if (run === undefined || run.engine === null) return null;
    for (const [step, job] of run.openJobs) run.engine.running(step, this.isRunning(job));
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
    const id = runIdOfKey(change.key);
    if (id === null) this.jobChanged(change);
    else if (change.kind === "delete") this.removeRun(id);
    else {
      this.headerChanged(id, change.value, change.version);
      this.cancelJobsIfStopped(id);
    }
  }

  /**
   * Cancels the jobs of an aborted or timed-out run. The scheduler core consults the header in the watch cache. After a
   * timeout the runner knows the new header before the cache does, so cancelling at that moment has no effect, and the
   * later cache update is not a newer version; hence this runs on every change of the header.
   */
  private cancelJobsIfStopped(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined || !isStopped(run.header)) return;
    this.controls.cancelJobsOfCancelledRuns(run.openJobs.values());
  }

  /** A submission whose response was lost may become visible here long afterwards. */
  private jobChanged(change: KeyChange): void {
    const job = jobOfKey(change.key);
    if (job === null || change.kind !== "put" || !job.startsWith("wk-dr-")) return;
    const { spec } = decodeJobRecord(change.value);
    const run = this.runOf(spec);
    const parts = parseStepJobId(job);
    if (run === null || run.engine === null || parts === null || run.submitting.has(parts.step)) return;
    this.adoptJob(run, run.engine, parts.step, parts.attempt, job);
  }

  /** Registers a job that exists although its step counts as not submitted. */
  private adoptJob(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): void {
    if (engine.stateOf(step) !== "scheduled" || engine.nextAttempt(step) !== attempt) return;
    this.pools.acquire(run, step);
    this.jobSubmitted(run, engine, step, attempt, job);
  }

  onJobEnded(spec: JobSpec, end: Parameters<ShardExtension["onJobEnded"]>[1]): void {
    const run = this.runOf(spec);
    const parts = parseStepJobId(spec.id);
    this.jobUpdates.forget(spec.id);
    if (run === null || parts === null) return;
    const outcome = outcomeOf(end);
    run.loaded?.outcomes.set(spec.id, outcome);
    if (run.engine !== null) this.adoptJob(run, run.engine, parts.step, parts.attempt, spec.id);
    this.closeJob(run, parts.step, spec.id);
    // During a load, the outcome of a job that ends is read with the others or applied later from `deferredEvents`.
    if (run.engine === null) run.deferredEvents.push(() => run.engine?.ended(parts.step, parts.attempt, outcome));
    else {
      run.engine.ended(parts.step, parts.attempt, outcome);
      this.advance(run);
    }
  }

  onTaskFailed(spec: JobSpec, index: number, reason: ExitReason): void {
    const run = this.runOf(spec);
    const parts = parseStepJobId(spec.id);
    if (run === null || parts === null) return;
    const limits = run.limits[parts.step];
    if (limits === undefined || !limits.counts.has(reason)) return;
    if (this.jobUpdates.countFailure(spec.id, index) < limits.errors) return;
    this.context.log.info("attempt given up", { job: spec.id, reason });
    this.jobUpdates.cancel(spec.id, "error");
  }

  private runOf(spec: JobSpec): LiveRun | null {
    return (spec.origin === undefined ? undefined : this.runs.get(spec.origin.graph)) ?? null;
  }

  // Runs ----------------------------------------------------------------------------------------------------

  private headerChanged(id: string, value: unknown, version: Uint64): void {
    const header = readHeader(value);
    if (header.block !== this.context.lease.shard) return;
    const existing = this.runs.get(id);
    if (existing === undefined) {
      const run = newRun(id, header, version, this.context.clock.now());
      this.runs.set(id, run);
      if (header.before !== null) this.nextRuns.set(header.before, run);
      const dag = this.runsByDag.get(dagKey(header)) ?? new Set();
      dag.add(run);
      this.runsByDag.set(dagKey(header), dag);
      this.activate(dag);
      return;
    }
    if (version <= existing.version) return;
    const { round } = existing.header;
    existing.version = version;
    existing.header = header;
    if (header.round !== round) this.reload(existing);
    else if (existing.engine !== null) this.applyHeader(existing, existing.engine);
  }

  /** Acts on a new header: halts the run if it was aborted or timed out. */
  private applyHeader(run: LiveRun, engine: DagRun): void {
    if (isStopped(run.header) && !engine.isHalted) {
      engine.halt();
      this.cancelJobsIfStopped(run.id);
    }
    this.advance(run);
  }

  private removeRun(id: string): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    this.runs.delete(id);
    this.readyRuns.delete(run);
    if (run.header.before !== null) this.nextRuns.delete(run.header.before);
    this.toLoad.delete(run);
    this.pools.releaseAll(run);
    run.engine = null;
    this.previousRuns.forget(id);
    const dag = this.runsByDag.get(dagKey(run.header));
    dag?.delete(run);
    if (dag === undefined) return;
    if (dag.size === 0) this.runsByDag.delete(dagKey(run.header));
    else this.activate(dag);
    const next = this.nextRuns.get(id);
    if (next !== undefined) this.recheckPreviousRun(next);
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
    this.pools.releaseAll(run);
    this.readyRuns.delete(run);
    if (run.active) this.toLoad.add(run);
    this.loadNext();
  }

  private loadNext(): void {
    for (const run of this.toLoad) {
      if (this.loadingCount >= MAX_CONCURRENT_LOADS || this.stopped) return;
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
          const retry = !good || run.engine === null;
          if (retry && this.runs.get(run.id) === run && !this.stopped) {
            this.context.clock.after(RETRY_DELAY, () => {
              if (this.runs.get(run.id) !== run || run.engine !== null) return;
              this.toLoad.add(run);
              this.loadNext();
            });
          }
          this.loadNext();
        }, undefined);
    }
    this.logRestored();
  }

  /** Logs how long the load of runs after a takeover took, once it has finished. */
  private logRestored(): void {
    if (this.restoringSince === null || this.toLoad.size > 0 || this.loadingCount > 0) return;
    const { clock, log } = this.context;
    log.info("runs read", { runs: this.runs.size, tookMs: Math.round((clock.now() - this.restoringSince) / 1_000) });
    this.restoringSince = null;
  }

  private async load(run: LiveRun): Promise<boolean> {
    const { store, cache, clock } = this.context;
    const { header, version, id } = run;
    run.deferredEvents = [];
    // After this sync the watch cache holds all jobs submitted under the header from before a clear. At a takeover it
    // holds them already: the previous leader could not write any more once the shard's lease had been acquired anew.
    if (header.round > 0 && !(await cache.sync())) return false;
    const loaded = await loadRun(store, id, header, run.loaded?.plan ?? null);
    if (loaded === null || this.stopped || this.runs.get(id) !== run) return false;
    if (run.version !== version && run.header.round !== header.round) return false;
    if (!(await this.previousRuns.prepare(loaded.plan, header))) return false;
    const { plan, saved } = loaded;
    run.loaded = loaded;
    run.limits = planLimits(plan, this.options);
    run.order = startOrder(plan);
    run.hasStepTimeouts = run.limits.some(({ timeout }) => timeout !== null);
    run.runTimes.clear();
    run.submitting.clear();
    run.openJobs.clear();
    const engine: DagRun = new DagRun({
      plan,
      order: run.order,
      limits: run.limits,
      frozen: saved.finals,
      clearings: saved.clearings,
      storedAttempts: recordedAttempts(id, header, loaded.outcomes, (key) => cache.entries.has(key)),
      pastRun: (step) => this.previousRuns.decide(run.header, step.id),
      onRetry: (step, after) => {
        clock.after(after, () => {
          if (this.stopped || run.engine !== engine) return;
          engine.retryDue(step);
          this.advance(run);
        });
      },
    });
    run.engine = engine;
    for (const [at] of plan.steps.entries()) {
      if (!isOpen(engine.stateOf(at))) continue;
      run.openJobs.set(at, jobIdOf(id, header.digest, at, engine.attemptOf(at)));
      this.pools.acquire(run, at);
    }
    this.cancelClearedAttempts(run, engine);
    for (const handleEvent of run.deferredEvents.splice(0)) handleEvent();
    this.applyHeader(run, engine);
    return true;
  }

  /** Cancels jobs of attempts from before a clear; their steps start again only once these have ended. */
  private cancelClearedAttempts(run: LiveRun, engine: DagRun): void {
    const { cache } = this.context;
    for (const [step, attempt] of engine.openAttemptsBeforeClearing()) {
      const job = jobIdOf(run.id, run.header.digest, step, attempt);
      if (cache.entries.has(jobKey(job))) this.jobUpdates.cancel(job, "cleared");
    }
  }

  private recheckPreviousRun(run: LiveRun): void {
    if (run.engine === null) return;
    this.previousRuns
      .prepare(run.engine.plan, run.header)
      .then(() => {
        if (run.engine === null || this.stopped) return;
        run.engine.recheckPastRuns();
        this.advance(run);
      })
      .catch((error: unknown) => this.context.log.error("past not read", { error: describeError(error) }));
  }

  /** Called after any change of the run: starts the writes that have become due and submits steps that are ready. */
  private advance(run: LiveRun): void {
    const { engine } = run;
    if (engine === null || this.stopped) return;
    if (engine.isHalted && engine.result === null) void this.logFailure(this.endHalted(run, engine));
    if (run.header.clear !== null) void this.logFailure(this.writes.clear(run, engine, run.header.clear));
    else if (engine.result !== null) void this.logFailure(this.writes.finish(run, engine));
    if (engine.hasReady) this.readyRuns.add(run);
    const next = this.nextRuns.get(run.id);
    next?.engine?.recheckPastRuns();
    if (next?.engine?.hasReady === true) this.readyRuns.add(next);
    this.submitReadySteps();
  }

  /**
   * Ends a halted run. A submission from before the abort or timeout may have been applied without a response, so the
   * watch cache is synced first.
   */
  private async endHalted(run: LiveRun, engine: DagRun): Promise<void> {
    const isIdle = (): boolean => run.engine === engine && engine.openSteps === 0 && run.submitting.size === 0;
    if (!isIdle() || run.endingHalted) return;
    run.endingHalted = true;
    const synced = await this.context.cache.sync().finally(() => {
      run.endingHalted = false;
    });
    if (!isIdle()) return;
    if (synced) engine.finishHalted();
    if (synced) this.advance(run);
    else this.context.clock.after(RETRY_DELAY, () => this.advance(run));
  }

  // Steps ---------------------------------------------------------------------------------------------------

  private closeJob(run: LiveRun, step: number, job: string): void {
    if (run.openJobs.get(step) !== job) return;
    run.openJobs.delete(step);
    run.runTimes.delete(step);
    this.pools.release(run, step);
  }

  private mayOpenStep(run: LiveRun, engine: DagRun): boolean {
    const maxOpen = Math.min(engine.plan.maxActiveTasks, this.options.mostOpen);
    return engine.openSteps + run.submitting.size < maxOpen;
  }

  /**
   * Submits ready steps, one per run in turn. Only a few transactions' worth is in flight at once, so that other writes
   * are interleaved.
   */
  private submitReadySteps(): void {
    const { settings, lease, loadShedder } = this.context;
    const maxInFlight = settings.store.transactionWrites * IN_FLIGHT_TRANSACTIONS;
    // While user submissions are shed, no steps are submitted either; ready steps wait for the next tick.
    if (!lease.isValid() || loadShedder.atLeast("saturated")) return;
    for (const run of this.readyRuns) {
      if (this.inFlight >= maxInFlight || this.stopped) return;
      this.readyRuns.delete(run);
      const { engine } = run;
      if (engine === null || run.header.clear !== null || !this.mayOpenStep(run, engine)) continue;
      const step = engine.takeNext((pool) => this.pools.hasFreeSlot(pool));
      if (engine.hasReady) this.pools.enqueue(run, engine);
      if (step === null) continue;
      if (engine.hasReady) this.readyRuns.add(run);
      void this.logFailure(this.submitStep(run, engine, step));
    }
    this.pools.offerAll();
  }

  private async submitStep(run: LiveRun, engine: DagRun, step: number): Promise<void> {
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
    run.submitting.add(step);
    this.pools.acquire(run, step);
    this.inFlight += 1;
    const result = await transactions.submit(conditions, [
      { kind: "put", key: jobKey(job), value: encodeJobRecord(value) },
    ]);
    this.inFlight -= 1;
    if (run.engine !== engine || this.stopped) return;
    if (result.kind !== "lost") run.submitting.delete(step);
    switch (result.kind) {
      case "ok":
        this.jobSubmitted(run, engine, step, attempt, job);
        break;
      case "conflict":
        if (result.keys.includes(lease.key)) this.context.onFenced();
        else await this.resolveSubmission(run, engine, step, attempt, job);
        break;
      case "refused":
        clock.after(RETRY_DELAY, () => this.requeueStep(run, engine, step));
        break;
      case "lost":
        // The write may have been applied or may yet be; the next try or the watch cache reveals it.
        log.info("step perhaps submitted", { job });
        clock.after(RETRY_DELAY, () => {
          if (run.engine === engine) void this.logFailure(this.resolveSubmission(run, engine, step, attempt, job));
        });
    }
    this.submitReadySteps();
  }

  private requeueStep(run: LiveRun, engine: DagRun, step: number): void {
    if (run.engine !== engine || this.stopped) return;
    this.pools.release(run, step);
    engine.requeue(step);
    this.advance(run);
  }

  private specOf(run: LiveRun, plan: Plan, at: number, job: string): JobSpec {
    const step = plan.steps[at];
    if (step === undefined) throw new Error(`no step ${at}`);
    return { ...specOf(plan, step, job), origin: { graph: run.id, position: run.order[at] ?? at } };
  }

  private jobSubmitted(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): void {
    engine.submitted(step, attempt);
    run.openJobs.set(step, job);
    this.traceDependencies(run, engine, step, attempt, job);
    // The run was aborted or timed out during the submission: the job exists, so it is cancelled like the others.
    if (isStopped(run.header)) this.controls.cancelJobsOfCancelledRuns([job]);
    if (engine.hasReady) this.readyRuns.add(run);
  }

  /** Reports to the trace which jobs this one waited for. */
  private traceDependencies(run: LiveRun, engine: DagRun, step: number, attempt: number, job: string): void {
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
    const toVisit = [...(engine.plan.steps[step]?.upstream ?? [])];
    const seen = new Set(toVisit);
    for (let at = toVisit.pop(); at !== undefined; at = toVisit.pop()) {
      if (engine.attemptOf(at) > 0) after.push(jobOf(at, engine.attemptOf(at)));
      else {
        for (const up of engine.plan.steps[at]?.upstream ?? []) {
          if (!seen.has(up)) toVisit.push(up);
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
  private async resolveSubmission(
    run: LiveRun,
    engine: DagRun,
    step: number,
    attempt: number,
    job: string,
  ): Promise<void> {
    const { cache, store, log } = this.context;
    // The step counts as being submitted until its fate is known. Otherwise an aborted run could end in the meantime,
    // since no step appears to be in progress, and leave its job behind.
    run.submitting.add(step);
    const synced = await cache.sync();
    if (run.engine !== engine || this.stopped) return;
    const entry = cache.entries.get(jobKey(job));
    const end = synced && entry === undefined ? await store.get(outcomeKey(job)) : null;
    if (run.engine !== engine || this.stopped) return;
    if (!synced || end?.kind === "refused" || end?.kind === "lost") {
      this.context.clock.after(RETRY_DELAY, () => {
        if (run.engine === engine) void this.logFailure(this.resolveSubmission(run, engine, step, attempt, job));
      });
      return;
    }
    run.submitting.delete(step);
    if (engine.stateOf(step) !== "scheduled") {
      this.advance(run);
      return;
    }
    if (entry !== undefined) {
      if (decodeJobRecord(entry.value).spec.origin?.graph === run.id)
        this.jobSubmitted(run, engine, step, attempt, job);
      else {
        log.error("somebody else's job has a step's id", { job });
        engine.submitted(step, attempt);
        engine.ended(step, attempt, "killed");
        this.pools.release(run, step);
        this.advance(run);
      }
      return;
    }
    if (end?.kind === "ok") {
      this.jobSubmitted(run, engine, step, attempt, job);
      this.closeJob(run, step, job);
      engine.ended(step, attempt, outcomeOf(decodeOutcomeRecord(end.value.value)));
      this.advance(run);
    } else this.requeueStep(run, engine, step);
  }

  // Timer ---------------------------------------------------------------------------------------------------

  private tick(): void {
    if (this.stopped) return;
    const { clock, log } = this.context;
    const now = clock.now();
    const elapsed = (now - this.tickedAt) as Micros;
    this.tickedAt = now;
    try {
      for (const run of this.runs.values()) {
        if (run.engine === null) continue;
        if (run.hasStepTimeouts) this.checkStepTimeouts(run, elapsed);
        this.writes.checkTimeout(run, run.engine);
        this.writes.writeSummary(run, run.engine);
      }
      this.uploads.sweep();
      this.submitReadySteps();
    } catch (error) {
      log.error("runs failed to move", { error: describeError(error) });
    }
    clock.after(TICK_PERIOD, () => this.tick());
  }

  private checkStepTimeouts(run: LiveRun, elapsed: Micros): void {
    for (const [step, job] of run.openJobs) {
      const timeout = run.limits[step]?.timeout ?? null;
      if (timeout === null || !this.isRunning(job)) continue;
      const runTime = ((run.runTimes.get(step) ?? 0) + elapsed) as Micros;
      run.runTimes.set(step, runTime);
      if (runTime > timeout) this.jobUpdates.cancel(job, "timeout");
    }
  }

  private logFailure(work: Promise<unknown>): Promise<void> {
    return work.then(
      () => undefined,
      (error: unknown) => this.context.log.error("run step failed", { error: describeError(error) }),
    );
  }
}
