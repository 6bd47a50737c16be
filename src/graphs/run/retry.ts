import type { ClassRetries, GraphOptions } from "../../settings/graph-options.js";
import { type Micros, seconds } from "../../transport/clock.js";
import type { Plan, Step } from "./plan.js";

/** What one step may use, by its class and by what its graph asks for. */
export interface Limits {
  /** In all, the first one included. */
  readonly attempts: number;
  /** Of running time; null: none. */
  readonly timeout: Micros | null;
  /** So many failures of one task end an attempt. */
  readonly errors: number;
  readonly counts: ReadonlySet<string>;
  /** Between the end of the given try and the next one. */
  readonly delay: (tries: number) => Micros;
}

const MOST_DOUBLINGS = 20;

/** A graph may ask for fewer attempts, longer pauses and a shorter time than its class has, never for more. */
export const limitsOf = ({ retry, timeoutS }: Step, allowed: ClassRetries): Limits => {
  const { retries, delayS, exponential, maxDelayS } = retry;
  const own = timeoutS ?? Number.POSITIVE_INFINITY;
  const timeout = Math.min(own, allowed.timeoutS ?? Number.POSITIVE_INFINITY);
  return {
    attempts: retries === null ? allowed.attempts : Math.min(allowed.attempts, retries + 1),
    timeout: Number.isFinite(timeout) ? seconds(timeout) : null,
    errors: allowed.errors,
    counts: new Set(allowed.counts),
    delay: (tries) => {
      const doubled = 2 ** Math.min(MOST_DOUBLINGS, tries - 1);
      const asked = Math.min(exponential ? delayS * doubled : delayS, maxDelayS ?? Number.POSITIVE_INFINITY);
      return seconds(Math.max(asked, Math.min(allowed.backOffS * doubled, allowed.mostBackOffS)));
    },
  };
};

/** Steps with the same demands and wishes share theirs. */
export const planLimits = (plan: Plan, options: GraphOptions): readonly Limits[] => {
  const known = new Map<string, Limits>();
  return plan.steps.map((step) => {
    const { retry, timeoutS } = step;
    const jobClass = step.job === null ? "" : String(plan.jobs[step.job]?.jobclass ?? "");
    const { retries, delayS, exponential, maxDelayS } = retry;
    const key = [jobClass, timeoutS, retries, delayS, exponential, maxDelayS].join("|");
    const limits = known.get(key) ?? limitsOf(step, options.classes[jobClass] ?? options.otherClasses);
    known.set(key, limits);
    return limits;
  });
};
