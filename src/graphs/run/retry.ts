/** Attempts, timeouts and retry delays of steps. */
import type { ClassRetries, GraphOptions } from "../../settings/graph-options.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Plan, Step } from "./plan.js";

/** Retry and time limits of one step, from its job class and its graph. */
export interface Limits {
  /** Attempts in all, the first one included. */
  readonly attempts: number;
  /** Running time of an attempt; null: no limit. */
  readonly timeout: Micros | null;
  /** Number of failures of one task that fails the attempt. */
  readonly errors: number;
  /** Kinds of task failures that count towards `errors`. */
  readonly counts: ReadonlySet<string>;
  /** Delay between the end of the given try, counted from 1, and the next one. */
  readonly delay: (tries: number) => Micros;
}

const MAX_DOUBLINGS = 20;

/** A graph may tighten its job class's limits (fewer attempts, longer delays, shorter timeout), never loosen them. */
export const limitsOf = ({ retry, timeoutS }: Step, allowed: ClassRetries): Limits => {
  const { retries, delayS, exponential, maxDelayS } = retry;
  const graphTimeoutS = timeoutS ?? Number.POSITIVE_INFINITY;
  const timeout = Math.min(graphTimeoutS, allowed.timeoutS ?? Number.POSITIVE_INFINITY);
  return {
    attempts: retries === null ? allowed.attempts : Math.min(allowed.attempts, retries + 1),
    timeout: Number.isFinite(timeout) ? seconds(timeout) : null,
    errors: allowed.errors,
    counts: new Set(allowed.counts),
    delay: (tries) => {
      const doubled = 2 ** Math.min(MAX_DOUBLINGS, tries - 1);
      const asked = Math.min(exponential ? delayS * doubled : delayS, maxDelayS ?? Number.POSITIVE_INFINITY);
      return seconds(Math.max(asked, Math.min(allowed.backOffS * doubled, allowed.mostBackOffS)));
    },
  };
};

/** Limits of each step. Steps with equal settings share one object. */
export const planLimits = (plan: Plan, options: GraphOptions): readonly Limits[] => {
  const limitsByKey = new Map<string, Limits>();
  return plan.steps.map((step) => {
    const { retry, timeoutS } = step;
    const jobClass = step.job === null ? "" : String(plan.jobs[step.job]?.jobclass ?? "");
    const { retries, delayS, exponential, maxDelayS } = retry;
    const key = [jobClass, timeoutS, retries, delayS, exponential, maxDelayS].join("|");
    const limits = limitsByKey.get(key) ?? limitsOf(step, options.classes[jobClass] ?? options.otherClasses);
    limitsByKey.set(key, limits);
    return limits;
  });
};
