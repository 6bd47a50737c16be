import { type Estimate, estimate, type Metric, metricsOf } from "./metrics.js";
import type { Outcome } from "./outcome.js";

export interface Variant {
  readonly name: string;
  /** One for each seed, in the order of the seeds. */
  readonly outcomes: readonly Outcome[];
}

export interface MetricRow {
  readonly metric: string;
  readonly unit: Metric["unit"];
  readonly better: Metric["better"];
  readonly values: readonly (Estimate | null)[];
  /** Against the first variant, seed by seed; null for the first itself, or without common seeds. */
  readonly differences: readonly (Estimate | null)[];
  /** Whether the difference's interval leaves out 0, and to which side. */
  readonly verdicts: readonly ("better" | "worse" | "no difference shown" | null)[];
}

export interface LateChange {
  readonly job: string;
  readonly jobClass: string;
  /** Share of the seeds in which the job is late: with the first variant, and with this one. */
  readonly before: number;
  readonly after: number;
  /** Mean lateness where it is late. */
  readonly lateByUs: number;
}

export interface VariantChange {
  readonly name: string;
  readonly becomesLate: readonly LateChange[];
  readonly noLongerLate: readonly LateChange[];
}

export interface Comparison {
  readonly version: 1;
  readonly variants: readonly string[];
  readonly seeds: readonly number[];
  readonly rows: readonly MetricRow[];
  readonly changes: readonly VariantChange[];
}

const HALF = 0.5;

const lateness = (outcomes: readonly Outcome[]): Map<string, { jobClass: string; late: number; sum: number }> => {
  const found = new Map<string, { jobClass: string; late: number; sum: number }>();
  for (const { jobs } of outcomes) {
    for (const { id, jobClass, lateUs } of jobs) {
      const known = found.get(id) ?? { jobClass, late: 0, sum: 0 };
      found.set(id, known);
      if (lateUs === null || lateUs === 0) continue;
      known.late += 1;
      known.sum += lateUs;
    }
  }
  return found;
};

const changesTo = (base: Variant, variant: Variant): VariantChange => {
  const before = lateness(base.outcomes);
  const after = lateness(variant.outcomes);
  const becomesLate: LateChange[] = [];
  const noLongerLate: LateChange[] = [];
  for (const [job, now] of after) {
    const then = before.get(job);
    const shares = {
      before: (then?.late ?? 0) / base.outcomes.length,
      after: now.late / variant.outcomes.length,
    };
    const by = now.late > 0 ? now : then;
    const change = {
      job,
      jobClass: now.jobClass,
      ...shares,
      lateByUs: by === undefined || by.late === 0 ? 0 : Math.round(by.sum / by.late),
    };
    if (shares.after > HALF && shares.before <= HALF) becomesLate.push(change);
    if (shares.after <= HALF && shares.before > HALF) noLongerLate.push(change);
  }
  const worst = (a: LateChange, b: LateChange): number => b.lateByUs - a.lateByUs || (a.job < b.job ? -1 : 1);
  return { name: variant.name, becomesLate: becomesLate.sort(worst), noLongerLate: noLongerLate.sort(worst) };
};

const verdict = (difference: Estimate | null, better: Metric["better"]): MetricRow["verdicts"][number] => {
  if (difference === null) return null;
  const { low, high, mean } = difference;
  // One seed, or several that all agree, leave no interval to speak of.
  const clear = low === null || high === null ? false : low > 0 || high < 0;
  if (!clear) return "no difference shown";
  return mean < 0 === (better === "less") ? "better" : "worse";
};

/** Compares variants replayed with the same seeds; the first is what the others are held against. */
export const compare = (variants: readonly Variant[], seeds: readonly number[]): Comparison => {
  const [base] = variants;
  const metrics = metricsOf(variants.flatMap(({ outcomes }) => outcomes));
  const numbers = (values: readonly (number | null)[]): number[] =>
    values.flatMap((value) => (value === null ? [] : [value]));
  const rows = metrics.map((metric): MetricRow => {
    const values = variants.map(({ outcomes }) => estimate(numbers(outcomes.map(metric.of))));
    const differences = variants.map(({ outcomes }, at) => {
      if (at === 0 || base === undefined || base.outcomes.length !== outcomes.length) return null;
      const pairs = outcomes.map((outcome, seed) => {
        const there = base.outcomes[seed];
        const [x, y] = [metric.of(outcome), there === undefined ? null : metric.of(there)];
        return x === null || y === null ? null : x - y;
      });
      return estimate(numbers(pairs));
    });
    const verdicts = differences.map((difference) => verdict(difference, metric.better));
    return { metric: metric.name, unit: metric.unit, better: metric.better, values, differences, verdicts };
  });
  const changes = base === undefined ? [] : variants.slice(1).map((variant) => changesTo(base, variant));
  return { version: 1, variants: variants.map(({ name }) => name), seeds, rows, changes };
};
