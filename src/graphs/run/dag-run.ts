import TinyQueue from "tinyqueue";
import type { Micros } from "../../transport/clock.js";
import { downstreamOf, type Plan, type Step } from "./plan.js";
import type { Limits } from "./retry.js";
import { judge } from "./rules.js";
import { type FinalState, isFinal, isOpen, STATES, type StepState } from "./states.js";

/**
 * How the job of an attempt ended. `error` and `timeout` use up an attempt; `killed`: its user withdrew the job itself,
 * which no retry is to undo; `aborted`: the run was ended from outside.
 */
export type Outcome = "done" | "error" | "timeout" | "killed" | "aborted";

/** Attempts are numbered by the clearing that the step last went through, then by try. */
export const TRIES_A_CLEARING = 64;
export const MOST_CLEARINGS = 15;
export const firstAttempt = (clearing: number): number => clearing * TRIES_A_CLEARING + 1;
export const tryOf = (attempt: number): number => attempt % TRIES_A_CLEARING;

/** What is on record of a step's attempts. */
export interface Past {
  outcome(step: number, attempt: number): Outcome | null;
  /** Its job is accepted and not on record as ended. */
  isOpen(step: number, attempt: number): boolean;
}

export const NO_PAST: Past = { outcome: () => null, isOpen: () => false };

/** What earlier runs of the same DAG say to a step that depends on them. */
export type PastRun = "go" | "wait" | "never";

export interface RunSetup {
  readonly plan: Plan;
  /** Places in the graph's own order. */
  readonly order: Uint32Array;
  readonly limits: readonly Limits[];
  /** Final whatever else: decided before a clearing that left these alone, or saved to shorten a takeover. */
  readonly frozen: ReadonlyMap<number, FinalState>;
  /** Clearing of each step that went through one. */
  readonly clearings: ReadonlyMap<number, number>;
  readonly past: Past;
  readonly pastRun: (step: Step) => PastRun;
  /** The attempt may be repeated after so long. */
  readonly onRetry: (step: number, after: Micros) => void;
}

const CODE = Object.fromEntries(STATES.map((state, at) => [state, at])) as Readonly<Record<StepState, number>>;
const FIRED = 1;
const FIRED_FOR_ALL = 2;

/**
 * One run of a graph: a pure state machine. Its states follow from the plan and from how the jobs of its steps ended,
 * in whatever order that is learnt; so a run is on record once its plan and its jobs are, and whoever takes it over
 * plays the jobs on record through it. Work for an event is that of the step's direct downstream steps, and of what is
 * decided by it in turn.
 */
export class DagRun {
  readonly plan: Plan;
  private readonly state: Uint8Array;
  private readonly last: Uint16Array;
  private readonly counts: Readonly<Record<FinalState, Uint16Array>>;
  private readonly setupSuccess: Uint16Array;
  private readonly setupSkipped: Uint16Array;
  private readonly setups: Uint16Array;
  /** Upstream steps that may cut the step off and are not final yet. */
  private readonly gates: Uint16Array;
  private readonly fired: Uint8Array;
  private readonly spreads: Uint8Array;
  private readonly downstream: readonly (readonly number[])[];
  private readonly cuts = new Map<number, ReadonlySet<number>>();
  private readonly ready = new Map<string, TinyQueue<number>>();
  private readonly waitingForPast = new Set<number>();
  /** An attempt from before a clearing has not ended yet. */
  private readonly held = new Map<number, number>();
  private readonly tallies = new Map<StepState, number>();
  private open = 0;
  private left: number;
  private halted = false;
  /** Steps looked at so far. */
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
    // Upstream steps have lower numbers, so one pass settles all that is decided already.
    for (let at = 0; at < count; at += 1) this.evaluate(at);
  }

  stateOf(at: number): StepState {
    return STATES[this.state[at] ?? 0] ?? "none";
  }

  /** Last attempt that was made, or is being made; 0: none. */
  attemptOf(at: number): number {
    return this.last[at] ?? 0;
  }

  /** Which try of the present clearing that is. */
  tryOf(at: number): number {
    return tryOf(this.attemptOf(at));
  }

  get openSteps(): number {
    return this.open;
  }

  count(state: StepState): number {
    return this.tallies.get(state) ?? 0;
  }

  /** Null while it goes on. The last steps decide, as with Airflow. */
  get result(): "success" | "failed" | null {
    if (this.left > 0) return null;
    const bad = (at: number): boolean => ["failed", "upstream_failed"].includes(this.stateOf(at));
    return this.plan.steps.some((_, at) => this.downstream[at]?.length === 0 && bad(at)) ? "failed" : "success";
  }

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

  /** Counts a final state with the direct downstream steps. */
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

  /** Final, and all that follows from it. Not by recursion: a chain may be ten thousand steps long. */
  private settle(at: number, state: FinalState): void {
    const work: [number, FinalState][] = [[at, state]];
    for (let next = work.pop(); next !== undefined; next = work.pop()) {
      const [step, final] = next;
      // Decided by two upstream steps that were settled in one go.
      if (isFinal(this.stateOf(step))) continue;
      this.enter(step, final);
      this.tell(step, final);
      for (const down of this.downstream[step] ?? []) {
        const decided = this.decide(down);
        if (decided !== null) work.push([down, decided]);
      }
    }
  }

  private evaluate(at: number): void {
    const decided = this.decide(at);
    if (decided === null) return;
    this.enter(at, decided);
    this.tell(at, decided);
  }

  /** What becomes of a step by its upstream steps: a final state, or null where it starts or waits. */
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

  /** Goes through the attempts on record; what they leave open is scheduled. */
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
      // How much of the pause is over is not on record: it begins anew.
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

  /** The attempt from before the clearing that has not ended yet; 0: none. */
  private openBefore(at: number, clearing: number): number {
    for (let attempt = firstAttempt(clearing) - 1; attempt > 0; attempt -= 1) {
      if (this.setup.past.isOpen(at, attempt)) return attempt;
    }
    return 0;
  }

  private offer(at: number): void {
    const pool = this.plan.steps[at]?.pool ?? "";
    const { order } = this.setup;
    const queue = this.ready.get(pool) ?? new TinyQueue<number>([], (a, b) => (order[a] ?? 0) - (order[b] ?? 0));
    queue.push(at);
    this.ready.set(pool, queue);
  }

  /** Null: by this outcome the step is to be tried again. */
  private finalOf(at: number, outcome: Outcome): FinalState | null {
    if (outcome === "done") return "success";
    if (outcome === "killed" || outcome === "aborted") return "failed";
    return this.tryOf(at) < (this.setup.limits[at]?.attempts ?? 1) ? null : "failed";
  }

  /** Attempts from before a clearing that steps wait for the end of. */
  outdated(): Iterable<readonly [number, number]> {
    return this.held;
  }

  /** The first of the scheduled steps, by the graph's own order, whose pool has room; it is then up to the caller. */
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

  /** Pools for which some step is ready; the empty name stands for none. */
  *readyPools(): Iterable<string> {
    for (const [pool, queue] of this.ready) if (this.headOf(queue) !== undefined) yield pool;
  }

  /** Passes over steps that were found to be submitted already. */
  private headOf(queue: TinyQueue<number>): number | undefined {
    for (let head = queue.peek(); head !== undefined; head = queue.peek()) {
      if (this.state[head] === CODE.scheduled) return head;
      queue.pop();
    }
    return undefined;
  }

  /** Whether `take` could find one, were there room in all pools. */
  get hasReady(): boolean {
    if (this.halted) return false;
    for (const queue of this.ready.values()) if (this.headOf(queue) !== undefined) return true;
    return false;
  }

  /** Which attempt a step that was taken makes next. */
  nextAttempt(at: number): number {
    const first = firstAttempt(this.setup.clearings.get(at) ?? 0);
    return Math.max(first, this.attemptOf(at) + 1);
  }

  /** It was taken, but its job could not be submitted now. */
  putBack(at: number): void {
    if (this.stateOf(at) === "scheduled") this.offer(at);
  }

  submitted(at: number, attempt: number): void {
    this.last[at] = attempt;
    this.enter(at, "queued");
  }

  /** Some of its tasks run, or none does. */
  running(at: number, runs: boolean): void {
    if (isOpen(this.stateOf(at))) this.enter(at, runs ? "running" : "queued");
  }

  /** Counted once: what is not the step's open attempt changes nothing. */
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

  retryDue(at: number): void {
    if (this.stateOf(at) !== "up_for_retry") return;
    this.enter(at, "scheduled");
    this.offer(at);
  }

  /** Earlier runs have moved on. */
  lookAtPast(): void {
    const waiting = [...this.waitingForPast].sort((a, b) => a - b);
    this.waitingForPast.clear();
    for (const at of waiting) {
      const decided = this.decide(at);
      if (decided !== null) this.settle(at, decided);
    }
  }

  /**
   * Nothing starts any more. Steps that need no job go on being decided, and what is open ends first: else what the
   * others come to would hang on when that was learnt.
   */
  halt(): void {
    this.halted = true;
  }

  get isHalted(): boolean {
    return this.halted;
  }

  /** Once nothing is open or being submitted, what never started is skipped. */
  finishHalted(): void {
    if (!this.halted || this.open > 0) return;
    for (let at = 0; at < this.state.length; at += 1) if (!isFinal(this.stateOf(at))) this.enter(at, "skipped");
  }
}
