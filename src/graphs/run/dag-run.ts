/** State machine of one DAG run: states of its steps, attempts, retries, and the order in which steps start. */
import TinyQueue from "tinyqueue";
import type { Micros } from "../../transport/clock.js";
import { downstreamOf, type Plan, type Step } from "./plan.js";
import type { Limits } from "./retry.js";
import { judge } from "./rules.js";
import { type FinalState, isFinal, isOpen, STATES, type StepState } from "./states.js";

/**
 * How the job of an attempt ended. After `error` and `timeout` the step is retried while attempts are left. `killed`: a
 * user withdrew the job itself, which no retry may undo; `aborted`: the run was ended from outside.
 */
export type Outcome = "done" | "error" | "timeout" | "killed" | "aborted";

/** An attempt's number holds the clearing that the step last went through and the try since: clearing * 64 + try. */
export const TRIES_A_CLEARING = 64;
export const MOST_CLEARINGS = 15;
export const firstAttempt = (clearing: number): number => clearing * TRIES_A_CLEARING + 1;
export const tryOf = (attempt: number): number => attempt % TRIES_A_CLEARING;

/** The stored attempts of the run's steps, read when a run is loaded or a step starts. */
export interface Past {
  /** Null: no end of this attempt is on record. */
  outcome(step: number, attempt: number): Outcome | null;
  /** Whether the attempt's job is accepted and not on record as ended. */
  isOpen(step: number, attempt: number): boolean;
}

export const NO_PAST: Past = { outcome: () => null, isOpen: () => false };

/** Whether earlier runs of the same DAG let a step with `depends_on_past` start: now, later, or never. */
export type PastRun = "go" | "wait" | "never";

export interface RunSetup {
  readonly plan: Plan;
  /** Rank of each step in the graph's own order, from `ownOrder`; the lowest starts first. */
  readonly order: Uint32Array;
  readonly limits: readonly Limits[];
  /**
   * Steps with a final state that is not computed again: decided before a clearing that did not include them, or stored
   * to shorten a takeover.
   */
  readonly frozen: ReadonlyMap<number, FinalState>;
  /** Number of the last clearing of each cleared step. */
  readonly clearings: ReadonlyMap<number, number>;
  readonly past: Past;
  readonly pastRun: (step: Step) => PastRun;
  /** Called when a step enters `up_for_retry`; the caller calls `retryDue` after the given delay. */
  readonly onRetry: (step: number, after: Micros) => void;
}

const CODE = Object.fromEntries(STATES.map((state, at) => [state, at])) as Readonly<Record<StepState, number>>;
const FIRED = 1;
const FIRED_FOR_ALL = 2;

/**
 * One DAG run as a pure state machine. The states of its steps follow from the plan and from the outcomes of their
 * jobs, whatever the order in which the outcomes arrive. Storing the plan and the jobs therefore stores the run: after
 * a failover, the new shard leader replays the stored jobs. An event costs work in proportion to the step's direct
 * downstream steps and those of the steps that the event decides in turn.
 */
export class DagRun {
  readonly plan: Plan;
  private readonly state: Uint8Array;
  private readonly last: Uint16Array;
  private readonly counts: Readonly<Record<FinalState, Uint16Array>>;
  private readonly setupSuccess: Uint16Array;
  private readonly setupSkipped: Uint16Array;
  private readonly setups: Uint16Array;
  /** Number of each step's upstream steps that may cut it (see `Step.cuts`) and are not final yet. */
  private readonly gates: Uint16Array;
  private readonly fired: Uint8Array;
  private readonly spreads: Uint8Array;
  private readonly downstream: readonly (readonly number[])[];
  private readonly cuts = new Map<number, ReadonlySet<number>>();
  private readonly ready = new Map<string, TinyQueue<number>>();
  private readonly waitingForPast = new Set<number>();
  /** Attempts from before a clearing that are still open, by step. The cleared step starts after the attempt's end. */
  private readonly held = new Map<number, number>();
  private readonly tallies = new Map<StepState, number>();
  private open = 0;
  private left: number;
  private halted = false;
  /** Number of downstream steps visited so far; a measure of the work done. */
  looks = 0;

  constructor(private readonly setup: RunSetup) {
    const { plan } = setup;
    this.plan = plan;
    const count = plan.steps.length;
    const counters = (): Uint16Array => new Uint16Array(count);
    this.state = new Uint8Array(count);
    this.last = counters();
    this.counts = {
      success: counters(),
      failed: counters(),
      upstream_failed: counters(),
      skipped: counters(),
      removed: counters(),
    };
    this.setups = counters();
    this.setupSuccess = counters();
    this.setupSkipped = counters();
    this.gates = counters();
    this.fired = new Uint8Array(count);
    this.spreads = new Uint8Array(count);
    this.left = count;
    this.tallies.set("none", count);
    this.downstream = downstreamOf(plan);
    for (const [at, { cuts }] of plan.steps.entries()) if (cuts.length > 0) this.cuts.set(at, new Set(cuts));
    for (const [at, step] of plan.steps.entries()) {
      for (const up of step.upstream) {
        if (plan.steps[up]?.setup === true) this.setups[at] = (this.setups[at] ?? 0) + 1;
        if (!this.mayCut(up, at)) continue;
        this.gates[at] = (this.gates[at] ?? 0) + 1;
        if (this.spreads[up] === 1 || plan.steps[up]?.cutsAll === true) this.spreads[at] = 1;
      }
    }
    for (const [at, state] of setup.frozen) this.freeze(at, state);
    // Upstream steps have lower numbers, so one pass in order decides every step that can be decided by now.
    for (let at = 0; at < count; at += 1) this.evaluate(at);
  }

  stateOf(at: number): StepState {
    return STATES[this.state[at] ?? 0] ?? "none";
  }

  /** Number of the latest attempt, open or ended; 0: none. */
  attemptOf(at: number): number {
    return this.last[at] ?? 0;
  }

  /** Number of the latest attempt, counted from 1 since the step's last clearing. */
  tryOf(at: number): number {
    return tryOf(this.attemptOf(at));
  }

  /** Number of steps that are `queued` or `running`. */
  get openSteps(): number {
    return this.open;
  }

  /** Number of steps in the given state. */
  count(state: StepState): number {
    return this.tallies.get(state) ?? 0;
  }

  /** Null until all steps are final. Steps without downstream steps decide, as in Airflow. */
  get result(): "success" | "failed" | null {
    if (this.left > 0) return null;
    const bad = (at: number): boolean => ["failed", "upstream_failed"].includes(this.stateOf(at));
    return this.plan.steps.some((_, at) => this.downstream[at]?.length === 0 && bad(at)) ? "failed" : "success";
  }

  /** The steps in a final state, with that state. */
  *finals(): Iterable<readonly [number, FinalState]> {
    for (let at = 0; at < this.state.length; at += 1) {
      const state = this.stateOf(at);
      if (isFinal(state)) yield [at, state];
    }
  }

  private mayCut(up: number, at: number): boolean {
    return this.spreads[up] === 1 || this.cuts.get(up)?.has(at) === true;
  }

  private enter(at: number, state: StepState): void {
    const before = this.stateOf(at);
    if (before === state) return;
    this.tallies.set(before, (this.tallies.get(before) ?? 0) - 1);
    this.tallies.set(state, (this.tallies.get(state) ?? 0) + 1);
    this.open += Number(isOpen(state)) - Number(isOpen(before));
    if (isFinal(state)) this.left -= 1;
    this.state[at] = CODE[state];
  }

  private freeze(at: number, state: FinalState): void {
    this.enter(at, state);
    this.tell(at, state);
  }

  /** Counts a step's final state in its direct downstream steps and applies its cuts to them. */
  private tell(at: number, state: FinalState): void {
    const counts = this.counts[state];
    const step = this.plan.steps[at];
    const cutForAll = state === "skipped" && this.fired[at] === FIRED_FOR_ALL;
    for (const down of this.downstream[at] ?? []) {
      this.looks += 1;
      counts[down] = (counts[down] ?? 0) + 1;
      if (step?.setup === true && state === "success") this.setupSuccess[down] = (this.setupSuccess[down] ?? 0) + 1;
      if (step?.setup === true && state === "skipped") this.setupSkipped[down] = (this.setupSkipped[down] ?? 0) + 1;
      if (!this.mayCut(at, down)) continue;
      this.gates[down] = (this.gates[down] ?? 1) - 1;
      if (cutForAll) this.fired[down] = FIRED_FOR_ALL;
      else if (state === "success" && this.cuts.get(at)?.has(down) === true) {
        this.fired[down] = Math.max(this.fired[down] ?? 0, step?.cutsAll === true ? FIRED_FOR_ALL : FIRED);
      }
    }
  }

  /** Makes a step final, and all steps that this decides. Iterative, because a chain may be ten thousand steps long. */
  private settle(at: number, state: FinalState): void {
    const work: [number, FinalState][] = [[at, state]];
    for (let next = work.pop(); next !== undefined; next = work.pop()) {
      const [step, final] = next;
      // Two upstream steps that became final in this pass may both have decided it.
      if (isFinal(this.stateOf(step))) continue;
      this.enter(step, final);
      this.tell(step, final);
      for (const down of this.downstream[step] ?? []) {
        const decided = this.decide(down);
        if (decided !== null) work.push([down, decided]);
      }
    }
  }

  /** Decides a step without going on to its downstream steps, for a pass in topological order. */
  private evaluate(at: number): void {
    const decided = this.decide(at);
    if (decided === null) return;
    this.enter(at, decided);
    this.tell(at, decided);
  }

  /** Applies cuts and trigger rule to a step in state `none`. Returns its final state; null: it started, or waits. */
  private decide(at: number): FinalState | null {
    const step = this.plan.steps[at];
    if (step === undefined || this.state[at] !== CODE.none || this.waitingForPast.has(at)) return null;
    if ((this.gates[at] ?? 0) > 0) return null;
    if ((this.fired[at] ?? 0) > 0) return "skipped";
    const { counts } = this;
    const verdict = judge(step.rule, {
      total: step.upstream.length,
      success: counts.success[at] ?? 0,
      failed: counts.failed[at] ?? 0,
      upstreamFailed: counts.upstream_failed[at] ?? 0,
      skipped: counts.skipped[at] ?? 0,
      removed: counts.removed[at] ?? 0,
      setups: this.setups[at] ?? 0,
      setupSuccess: this.setupSuccess[at] ?? 0,
      setupSkipped: this.setupSkipped[at] ?? 0,
    });
    if (verdict === "wait") return null;
    if (verdict !== "run") return verdict;
    return this.begin(at, step);
  }

  /** Starts a step whose trigger rule is met. Returns its final state; null: it runs a job, or waits for past runs. */
  private begin(at: number, step: Step): FinalState | null {
    if (step.kind === "skip") return "skipped";
    if (step.kind !== "job") return "success";
    if (step.dependsOnPast) {
      const said = this.setup.pastRun(step);
      if (said === "never") return "upstream_failed";
      if (said === "wait") {
        this.waitingForPast.add(at);
        return null;
      }
    }
    return this.replay(at);
  }

  /** Replays a step's stored attempts. Returns its final state; null: it is open, awaits a retry, or is scheduled. */
  private replay(at: number): FinalState | null {
    const { past, clearings } = this.setup;
    const clearing = clearings.get(at) ?? 0;
    let attempt = firstAttempt(clearing);
    for (let outcome = past.outcome(at, attempt); outcome !== null; outcome = past.outcome(at, attempt)) {
      this.last[at] = attempt;
      const final = this.finalOf(at, outcome);
      if (final !== null) return final;
      attempt += 1;
    }
    if (past.isOpen(at, attempt)) {
      this.last[at] = attempt;
      this.enter(at, "queued");
      return null;
    }
    if (attempt > firstAttempt(clearing)) {
      // The elapsed part of the retry delay is not stored, so the full delay starts again.
      this.enter(at, "up_for_retry");
      this.retryLater(at);
      return null;
    }
    this.enter(at, "scheduled");
    const before = this.openBefore(at, clearing);
    if (before > 0) this.held.set(at, before);
    else this.offer(at);
    return null;
  }

  private retryLater(at: number): void {
    this.setup.onRetry(at, this.setup.limits[at]?.delay(this.tryOf(at)) ?? (0 as Micros));
  }

  /** The latest attempt from before the clearing whose job is still open; 0: none. */
  private openBefore(at: number, clearing: number): number {
    for (let attempt = firstAttempt(clearing) - 1; attempt > 0; attempt -= 1) {
      if (this.setup.past.isOpen(at, attempt)) return attempt;
    }
    return 0;
  }

  /** Adds a scheduled step to the queue of its pool. */
  private offer(at: number): void {
    const pool = this.plan.steps[at]?.pool ?? "";
    const { order } = this.setup;
    const queue = this.ready.get(pool) ?? new TinyQueue<number>([], (a, b) => (order[a] ?? 0) - (order[b] ?? 0));
    queue.push(at);
    this.ready.set(pool, queue);
  }

  /** The step's state after its latest attempt ended with this outcome; null: it is retried. */
  private finalOf(at: number, outcome: Outcome): FinalState | null {
    if (outcome === "done") return "success";
    if (outcome === "killed" || outcome === "aborted") return "failed";
    return this.tryOf(at) < (this.setup.limits[at]?.attempts ?? 1) ? null : "failed";
  }

  /** Step and number of each open attempt from before a clearing; the cleared step starts after the attempt's end. */
  outdated(): Iterable<readonly [number, number]> {
    return this.held;
  }

  /**
   * Removes and returns the first scheduled step, in the graph's own order, whose pool has a free slot; null: none, or
   * the run is halted. The caller submits its job and calls `submitted`, or calls `putBack`.
   */
  take(hasRoom: (pool: string) => boolean): number | null {
    if (this.halted) return null;
    const { order } = this.setup;
    let best: { queue: TinyQueue<number>; place: number } | null = null;
    for (const [pool, queue] of this.ready) {
      const head = this.headOf(queue);
      if (head === undefined || (pool !== "" && !hasRoom(pool))) continue;
      const place = order[head] ?? 0;
      if (best === null || place < best.place) best = { queue, place };
    }
    return best?.queue.pop() ?? null;
  }

  /** Pools with a scheduled step; the empty name stands for steps without a pool. */
  *readyPools(): Iterable<string> {
    for (const [pool, queue] of this.ready) if (this.headOf(queue) !== undefined) yield pool;
  }

  /** First scheduled step of a queue. Drops queued steps that have left that state, such as those already submitted. */
  private headOf(queue: TinyQueue<number>): number | undefined {
    for (let head = queue.peek(); head !== undefined; head = queue.peek()) {
      if (this.state[head] === CODE.scheduled) return head;
      queue.pop();
    }
    return undefined;
  }

  /** Whether `take` would return a step if all pools had free slots. */
  get hasReady(): boolean {
    if (this.halted) return false;
    for (const queue of this.ready.values()) if (this.headOf(queue) !== undefined) return true;
    return false;
  }

  /** Number of the next attempt of a step returned by `take`. */
  nextAttempt(at: number): number {
    const first = firstAttempt(this.setup.clearings.get(at) ?? 0);
    return Math.max(first, this.attemptOf(at) + 1);
  }

  /** Queues a step again that `take` returned and whose job could not be submitted. */
  putBack(at: number): void {
    if (this.stateOf(at) === "scheduled") this.offer(at);
  }

  /** The job of the given attempt was accepted. */
  submitted(at: number, attempt: number): void {
    this.last[at] = attempt;
    this.enter(at, "queued");
  }

  /** Sets an open step to `running` or, if none of its job's tasks runs, to `queued`. */
  running(at: number, runs: boolean): void {
    if (isOpen(this.stateOf(at))) this.enter(at, runs ? "running" : "queued");
  }

  /** The job of an attempt ended. Idempotent: the end of any attempt other than the open one changes nothing. */
  ended(at: number, attempt: number, outcome: Outcome): void {
    if (this.held.get(at) === attempt) {
      this.held.delete(at);
      this.offer(at);
      return;
    }
    if (!isOpen(this.stateOf(at)) || this.last[at] !== attempt) return;
    const final = this.finalOf(at, outcome);
    if (final !== null) {
      this.settle(at, final);
      return;
    }
    this.enter(at, "up_for_retry");
    this.retryLater(at);
  }

  /** The retry delay of a step is over: schedules the next attempt. */
  retryDue(at: number): void {
    if (this.stateOf(at) !== "up_for_retry") return;
    this.enter(at, "scheduled");
    this.offer(at);
  }

  /** Checks steps that wait for earlier runs of the DAG once more, after one of those runs changed. */
  lookAtPast(): void {
    const waiting = [...this.waitingForPast].sort((a, b) => a - b);
    this.waitingForPast.clear();
    for (const at of waiting) {
      const decided = this.decide(at);
      if (decided !== null) this.settle(at, decided);
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
    if (!this.halted || this.open > 0) return;
    for (let at = 0; at < this.state.length; at += 1) if (!isFinal(this.stateOf(at))) this.enter(at, "skipped");
  }
}
