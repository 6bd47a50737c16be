/** State machine of one DAG run: states of its steps, attempts, retries, and the order in which steps start. */
import TinyQueue from "tinyqueue";
import type { Micros } from "../../transport/clock.js";
import { downstreamOf, type Plan, type Step } from "./plan.js";
import type { Limits } from "./retry.js";
import { evaluateRule } from "./rules.js";
import { type FinalState, isFinal, isOpen, STATES, type StepState } from "./states.js";

/**
 * How the job of an attempt ended. After `error` and `timeout` the step is retried while attempts are left. `killed`: a
 * user withdrew the job itself, which no retry may undo; `aborted`: the run was ended from outside.
 */
export type Outcome = "done" | "error" | "timeout" | "killed" | "aborted";

/** An attempt's number holds the clearing that the step last went through and the try since: clearing * 64 + try. */
export const TRIES_PER_CLEARING = 64;
export const MAX_CLEARINGS = 15;
export const firstAttempt = (clearing: number): number => clearing * TRIES_PER_CLEARING + 1;
export const tryOf = (attempt: number): number => attempt % TRIES_PER_CLEARING;

/** The stored attempts of the run's steps, read when a run is loaded or a step starts. */
export interface StoredAttempts {
  /** Null: no end of this attempt is on record. */
  outcome(step: number, attempt: number): Outcome | null;
  /** Whether the attempt's job is accepted and not on record as ended. */
  isOpen(step: number, attempt: number): boolean;
}

export const NO_STORED_ATTEMPTS: StoredAttempts = { outcome: () => null, isOpen: () => false };

/** Whether earlier runs of the same DAG let a step with `depends_on_past` start: now, later, or never. */
export type PastRunPermission = "go" | "wait" | "never";

export interface RunSetup {
  readonly plan: Plan;
  /** Rank of each step in the graph's own order, from `startOrder`; the lowest starts first. */
  readonly order: Uint32Array;
  readonly limits: readonly Limits[];
  /**
   * Steps with a final state that is not computed again: decided before a clearing that did not include them, or stored
   * to shorten a takeover.
   */
  readonly frozen: ReadonlyMap<number, FinalState>;
  /** Number of the last clearing of each cleared step. */
  readonly clearings: ReadonlyMap<number, number>;
  readonly storedAttempts: StoredAttempts;
  readonly pastRun: (step: Step) => PastRunPermission;
  /** Called when a step enters `up_for_retry`; the caller calls `retryDue` after the given delay. */
  readonly onRetry: (step: number, after: Micros) => void;
}

const STATE_CODES = Object.fromEntries(STATES.map((state, at) => [state, at])) as Readonly<Record<StepState, number>>;
/** The step is skipped by a branch or short circuit. */
const CUT = 1;
/** So are all its downstream steps, whatever their trigger rules. */
const CUT_WITH_DOWNSTREAM = 2;

/**
 * One DAG run as a pure state machine. The states of its steps follow from the plan and from the outcomes of their
 * jobs, whatever the order in which the outcomes arrive. Storing the plan and the jobs therefore stores the run: after
 * a failover, the new shard leader replays the stored jobs. An event costs work in proportion to the step's direct
 * downstream steps and those of the steps that the event decides in turn.
 */
export class DagRun {
  readonly plan: Plan;
  private readonly stateCodes: Uint8Array;
  private readonly lastAttempt: Uint16Array;
  private readonly upstreamCounts: Readonly<Record<FinalState, Uint16Array>>;
  private readonly setupSuccess: Uint16Array;
  private readonly setupSkipped: Uint16Array;
  private readonly setups: Uint16Array;
  /** Number of each step's upstream steps that may cut it (see `Step.cuts`) and are not final yet. */
  private readonly pendingCuts: Uint16Array;
  /** Per step: 0, `CUT` or `CUT_WITH_DOWNSTREAM`. */
  private readonly appliedCuts: Uint8Array;
  /** 1: the step may be cut with its downstream steps. */
  private readonly maySpreadCut: Uint8Array;
  private readonly downstream: readonly (readonly number[])[];
  /** `Step.cuts` as sets, by step. */
  private readonly cuts = new Map<number, ReadonlySet<number>>();
  /** Scheduled steps of each pool in the graph's own order; "" for steps without a pool. */
  private readonly ready = new Map<string, TinyQueue<number>>();
  /** Steps with `depends_on_past` that wait for an earlier run of the DAG. */
  private readonly waitingForPast = new Set<number>();
  /** Attempts from before a clearing that are still open, by step. The cleared step starts after the attempt's end. */
  private readonly openBeforeClearing = new Map<number, number>();
  private readonly stateCounts = new Map<StepState, number>();
  private openCount = 0;
  private unfinished: number;
  private halted = false;
  /** Number of downstream steps visited so far; a measure of the work done. */
  visitedSteps = 0;

  constructor(private readonly setup: RunSetup) {
    const { plan } = setup;
    this.plan = plan;
    const count = plan.steps.length;
    const counters = (): Uint16Array => new Uint16Array(count);
    this.stateCodes = new Uint8Array(count);
    this.lastAttempt = counters();
    this.upstreamCounts = {
      success: counters(),
      failed: counters(),
      upstream_failed: counters(),
      skipped: counters(),
      removed: counters(),
    };
    this.setups = counters();
    this.setupSuccess = counters();
    this.setupSkipped = counters();
    this.pendingCuts = counters();
    this.appliedCuts = new Uint8Array(count);
    this.maySpreadCut = new Uint8Array(count);
    this.unfinished = count;
    this.stateCounts.set("none", count);
    this.downstream = downstreamOf(plan);
    for (const [at, { cuts }] of plan.steps.entries()) if (cuts.length > 0) this.cuts.set(at, new Set(cuts));
    for (const [at, step] of plan.steps.entries()) {
      for (const up of step.upstream) {
        if (plan.steps[up]?.setup === true) this.setups[at] = (this.setups[at] ?? 0) + 1;
        if (!this.mayCut(up, at)) continue;
        this.pendingCuts[at] = (this.pendingCuts[at] ?? 0) + 1;
        if (this.maySpreadCut[up] === 1 || plan.steps[up]?.cutsAll === true) this.maySpreadCut[at] = 1;
      }
    }
    for (const [at, state] of setup.frozen) this.freeze(at, state);
    // Upstream steps have lower numbers, so one pass in order decides every step that can be decided by now.
    for (let at = 0; at < count; at += 1) this.decideInOrder(at);
  }

  stateOf(at: number): StepState {
    return STATES[this.stateCodes[at] ?? 0] ?? "none";
  }

  /** Number of the latest attempt, open or ended; 0: none. */
  attemptOf(at: number): number {
    return this.lastAttempt[at] ?? 0;
  }

  /** Number of the latest attempt, counted from 1 since the step's last clearing. */
  tryOf(at: number): number {
    return tryOf(this.attemptOf(at));
  }

  /** Number of steps that are `queued` or `running`. */
  get openSteps(): number {
    return this.openCount;
  }

  /** Number of steps in the given state. */
  count(state: StepState): number {
    return this.stateCounts.get(state) ?? 0;
  }

  /** Null until all steps are final. Steps without downstream steps decide, as in Airflow. */
  get result(): "success" | "failed" | null {
    if (this.unfinished > 0) return null;
    const bad = (at: number): boolean => ["failed", "upstream_failed"].includes(this.stateOf(at));
    return this.plan.steps.some((_, at) => this.downstream[at]?.length === 0 && bad(at)) ? "failed" : "success";
  }

  /** The steps in a final state, with that state. */
  *finals(): Iterable<readonly [number, FinalState]> {
    for (let at = 0; at < this.stateCodes.length; at += 1) {
      const state = this.stateOf(at);
      if (isFinal(state)) yield [at, state];
    }
  }

  private mayCut(up: number, at: number): boolean {
    return this.maySpreadCut[up] === 1 || this.cuts.get(up)?.has(at) === true;
  }

  private setState(at: number, state: StepState): void {
    const before = this.stateOf(at);
    if (before === state) return;
    this.stateCounts.set(before, (this.stateCounts.get(before) ?? 0) - 1);
    this.stateCounts.set(state, (this.stateCounts.get(state) ?? 0) + 1);
    this.openCount += Number(isOpen(state)) - Number(isOpen(before));
    if (isFinal(state)) this.unfinished -= 1;
    this.stateCodes[at] = STATE_CODES[state];
  }

  private freeze(at: number, state: FinalState): void {
    this.setState(at, state);
    this.updateDownstream(at, state);
  }

  /** Counts a step's final state in its direct downstream steps and applies its cuts to them. */
  private updateDownstream(at: number, state: FinalState): void {
    const counts = this.upstreamCounts[state];
    const step = this.plan.steps[at];
    const cutsDownstream = state === "skipped" && this.appliedCuts[at] === CUT_WITH_DOWNSTREAM;
    for (const down of this.downstream[at] ?? []) {
      this.visitedSteps += 1;
      counts[down] = (counts[down] ?? 0) + 1;
      if (step?.setup === true && state === "success") this.setupSuccess[down] = (this.setupSuccess[down] ?? 0) + 1;
      if (step?.setup === true && state === "skipped") this.setupSkipped[down] = (this.setupSkipped[down] ?? 0) + 1;
      if (!this.mayCut(at, down)) continue;
      this.pendingCuts[down] = (this.pendingCuts[down] ?? 1) - 1;
      if (cutsDownstream) this.appliedCuts[down] = CUT_WITH_DOWNSTREAM;
      else if (state === "success" && this.cuts.get(at)?.has(down) === true) {
        this.appliedCuts[down] = Math.max(
          this.appliedCuts[down] ?? 0,
          step?.cutsAll === true ? CUT_WITH_DOWNSTREAM : CUT,
        );
      }
    }
  }

  /** Makes a step final, and all steps that this decides. Iterative, because a chain may be ten thousand steps long. */
  private finish(at: number, state: FinalState): void {
    const stack: [number, FinalState][] = [[at, state]];
    for (let next = stack.pop(); next !== undefined; next = stack.pop()) {
      const [step, final] = next;
      // Two upstream steps that became final in this pass may both have decided it.
      if (isFinal(this.stateOf(step))) continue;
      this.setState(step, final);
      this.updateDownstream(step, final);
      for (const down of this.downstream[step] ?? []) {
        const decided = this.decide(down);
        if (decided !== null) stack.push([down, decided]);
      }
    }
  }

  /** Decides a step without going on to its downstream steps, for a pass in topological order. */
  private decideInOrder(at: number): void {
    const decided = this.decide(at);
    if (decided === null) return;
    this.setState(at, decided);
    this.updateDownstream(at, decided);
  }

  /** Applies cuts and trigger rule to a step in state `none`. Returns its final state; null: it started, or waits. */
  private decide(at: number): FinalState | null {
    const step = this.plan.steps[at];
    if (step === undefined || this.stateCodes[at] !== STATE_CODES.none || this.waitingForPast.has(at)) return null;
    if ((this.pendingCuts[at] ?? 0) > 0) return null;
    if ((this.appliedCuts[at] ?? 0) > 0) return "skipped";
    const { upstreamCounts } = this;
    const verdict = evaluateRule(step.rule, {
      total: step.upstream.length,
      success: upstreamCounts.success[at] ?? 0,
      failed: upstreamCounts.failed[at] ?? 0,
      upstreamFailed: upstreamCounts.upstream_failed[at] ?? 0,
      skipped: upstreamCounts.skipped[at] ?? 0,
      removed: upstreamCounts.removed[at] ?? 0,
      setups: this.setups[at] ?? 0,
      setupSuccess: this.setupSuccess[at] ?? 0,
      setupSkipped: this.setupSkipped[at] ?? 0,
    });
    if (verdict === "wait") return null;
    if (verdict !== "run") return verdict;
    return this.start(at, step);
  }

  /** Starts a step whose trigger rule is met. Returns its final state; null: it runs a job, or waits for past runs. */
  private start(at: number, step: Step): FinalState | null {
    if (step.kind === "skip") return "skipped";
    if (step.kind !== "job") return "success";
    if (step.dependsOnPast) {
      const permission = this.setup.pastRun(step);
      if (permission === "never") return "upstream_failed";
      if (permission === "wait") {
        this.waitingForPast.add(at);
        return null;
      }
    }
    return this.replayAttempts(at);
  }

  /** Replays a step's stored attempts. Returns its final state; null: it is open, awaits a retry, or is scheduled. */
  private replayAttempts(at: number): FinalState | null {
    const { storedAttempts: past, clearings } = this.setup;
    const clearing = clearings.get(at) ?? 0;
    let attempt = firstAttempt(clearing);
    for (let outcome = past.outcome(at, attempt); outcome !== null; outcome = past.outcome(at, attempt)) {
      this.lastAttempt[at] = attempt;
      const final = this.stateAfter(at, outcome);
      if (final !== null) return final;
      attempt += 1;
    }
    if (past.isOpen(at, attempt)) {
      this.lastAttempt[at] = attempt;
      this.setState(at, "queued");
      return null;
    }
    if (attempt > firstAttempt(clearing)) {
      // The elapsed part of the retry delay is not stored, so the full delay starts again.
      this.setState(at, "up_for_retry");
      this.scheduleRetry(at);
      return null;
    }
    this.setState(at, "scheduled");
    const before = this.openAttemptBefore(at, clearing);
    if (before > 0) this.openBeforeClearing.set(at, before);
    else this.enqueue(at);
    return null;
  }

  private scheduleRetry(at: number): void {
    this.setup.onRetry(at, this.setup.limits[at]?.delay(this.tryOf(at)) ?? (0 as Micros));
  }

  /** The latest attempt from before the clearing whose job is still open; 0: none. */
  private openAttemptBefore(at: number, clearing: number): number {
    for (let attempt = firstAttempt(clearing) - 1; attempt > 0; attempt -= 1) {
      if (this.setup.storedAttempts.isOpen(at, attempt)) return attempt;
    }
    return 0;
  }

  /** Adds a scheduled step to the queue of its pool. */
  private enqueue(at: number): void {
    const pool = this.plan.steps[at]?.pool ?? "";
    const { order } = this.setup;
    const queue = this.ready.get(pool) ?? new TinyQueue<number>([], (a, b) => (order[a] ?? 0) - (order[b] ?? 0));
    queue.push(at);
    this.ready.set(pool, queue);
  }

  /** The step's state after its latest attempt ended with this outcome; null: it is retried. */
  private stateAfter(at: number, outcome: Outcome): FinalState | null {
    if (outcome === "done") return "success";
    if (outcome === "killed" || outcome === "aborted") return "failed";
    return this.tryOf(at) < (this.setup.limits[at]?.attempts ?? 1) ? null : "failed";
  }

  /** Step and number of each open attempt from before a clearing; the cleared step starts after the attempt's end. */
  openAttemptsBeforeClearing(): Iterable<readonly [number, number]> {
    return this.openBeforeClearing;
  }

  /**
   * Removes and returns the first scheduled step, in the graph's own order, whose pool has a free slot; null: none, or
   * the run is halted. The caller submits its job and calls `submitted`, or calls `requeue`.
   */
  takeNext(hasRoom: (pool: string) => boolean): number | null {
    if (this.halted) return null;
    const { order } = this.setup;
    let best: { queue: TinyQueue<number>; place: number } | null = null;
    for (const [pool, queue] of this.ready) {
      const head = this.firstScheduled(queue);
      if (head === undefined || (pool !== "" && !hasRoom(pool))) continue;
      const place = order[head] ?? 0;
      if (best === null || place < best.place) best = { queue, place };
    }
    return best?.queue.pop() ?? null;
  }

  /** Pools with a scheduled step; the empty name stands for steps without a pool. */
  *readyPools(): Iterable<string> {
    for (const [pool, queue] of this.ready) if (this.firstScheduled(queue) !== undefined) yield pool;
  }

  /** First scheduled step of a queue. Drops queued steps that have left that state, such as those already submitted. */
  private firstScheduled(queue: TinyQueue<number>): number | undefined {
    for (let head = queue.peek(); head !== undefined; head = queue.peek()) {
      if (this.stateCodes[head] === STATE_CODES.scheduled) return head;
      queue.pop();
    }
    return undefined;
  }

  /** Whether `takeNext` would return a step if all pools had free slots. */
  get hasReady(): boolean {
    if (this.halted) return false;
    for (const queue of this.ready.values()) if (this.firstScheduled(queue) !== undefined) return true;
    return false;
  }

  /** Number of the next attempt of a step returned by `takeNext`. */
  nextAttempt(at: number): number {
    const first = firstAttempt(this.setup.clearings.get(at) ?? 0);
    return Math.max(first, this.attemptOf(at) + 1);
  }

  /** Queues a step again that `takeNext` returned and whose job could not be submitted. */
  requeue(at: number): void {
    if (this.stateOf(at) === "scheduled") this.enqueue(at);
  }

  /** The job of the given attempt was accepted. */
  submitted(at: number, attempt: number): void {
    this.lastAttempt[at] = attempt;
    this.setState(at, "queued");
  }

  /** Sets an open step to `running` or, if none of its job's tasks runs, to `queued`. */
  running(at: number, runs: boolean): void {
    if (isOpen(this.stateOf(at))) this.setState(at, runs ? "running" : "queued");
  }

  /** The job of an attempt ended. Idempotent: the end of any attempt other than the open one changes nothing. */
  ended(at: number, attempt: number, outcome: Outcome): void {
    if (this.openBeforeClearing.get(at) === attempt) {
      this.openBeforeClearing.delete(at);
      this.enqueue(at);
      return;
    }
    if (!isOpen(this.stateOf(at)) || this.lastAttempt[at] !== attempt) return;
    const final = this.stateAfter(at, outcome);
    if (final !== null) {
      this.finish(at, final);
      return;
    }
    this.setState(at, "up_for_retry");
    this.scheduleRetry(at);
  }

  /** The retry delay of a step is over: schedules the next attempt. */
  retryDue(at: number): void {
    if (this.stateOf(at) !== "up_for_retry") return;
    this.setState(at, "scheduled");
    this.enqueue(at);
  }

  /** Checks steps that wait for earlier runs of the DAG once more, after one of those runs changed. */
  recheckPastRuns(): void {
    const waiting = [...this.waitingForPast].sort((a, b) => a - b);
    this.waitingForPast.clear();
    for (const at of waiting) {
      const decided = this.decide(at);
      if (decided !== null) this.finish(at, decided);
    }
  }

  /**
   * Starts no more jobs. Steps without a job are still decided, and open steps end first: otherwise the final states of
   * the other steps would depend on when the halt was received.
   */
  halt(): void {
    this.halted = true;
  }

  get isHalted(): boolean {
    return this.halted;
  }

  /** Skips all steps of a halted run that are not final. Call it once no job is open or being submitted. */
  finishHalted(): void {
    if (!this.halted || this.openCount > 0) return;
    for (let at = 0; at < this.stateCodes.length; at += 1) if (!isFinal(this.stateOf(at))) this.setState(at, "skipped");
  }
}
