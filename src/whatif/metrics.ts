import { bootstrapMean } from "./confidence.js";
import type { Outcome } from "./outcome.js";

/** One figure of a result. */
export interface Metric {
  readonly name: string;
  readonly unit: "money" | "ratio" | "share" | "us" | "count";
  readonly better: "less" | "more";
  readonly of: (outcome: Outcome) => number | null;
}

const finished = (outcome: Outcome): number | null => {
  const times = outcome.jobs.flatMap(({ finishUs, submitUs, phase }) =>
    phase === "done" && finishUs !== null ? [finishUs - submitUs] : [],
  );
  return times.length === 0 ? null : times.reduce((sum, time) => sum + time, 0) / times.length;
};

/** Mean over the site's aims of the share of starts in time. */
const inTime = ({ aims }: Outcome): number | null => {
  const reached = aims.flatMap((aim) => (aim.reached === null ? [] : [aim.reached]));
  return reached.length === 0 ? null : reached.reduce((sum, share) => sum + share, 0) / reached.length;
};

/** The worst that any class or team came away with. */
const leastServed = ({ served }: Outcome): number | null => {
  const shares = [...Object.values(served.classes), ...Object.values(served.teams)].map(({ done }) => done);
  return shares.length === 0 ? null : Math.min(...shares);
};

const GENERAL: readonly Metric[] = [
  { name: "cost", unit: "money", better: "less", of: ({ totals }) => totals.cost },
  { name: "price", unit: "ratio", better: "less", of: ({ totals }) => totals.price },
  { name: "starts in time", unit: "share", better: "more", of: inTime },
  { name: "least served class or team", unit: "share", better: "more", of: leastServed },
  { name: "late jobs", unit: "count", better: "less", of: ({ totals }) => totals.late },
  { name: "jobs never started", unit: "count", better: "less", of: ({ totals }) => totals.neverStarted },
  { name: "utilisation", unit: "share", better: "more", of: ({ totals }) => totals.utilisation },
  { name: "tasks stopped", unit: "count", better: "less", of: ({ totals }) => totals.stopped },
  { name: "machines rented", unit: "count", better: "less", of: ({ totals }) => totals.machines },
  { name: "mean time to done", unit: "us", better: "less", of: finished },
];

/** The general figures, and for each class that occurs in any of the results its waits. */
export const metricsOf = (outcomes: readonly Outcome[]): readonly Metric[] => {
  const classes = [...new Set(outcomes.flatMap(({ waits }) => Object.keys(waits)))].sort();
  return [
    ...GENERAL,
    ...classes.flatMap((name): Metric[] => [
      {
        name: `${name}: 90 % started within`,
        unit: "us",
        better: "less",
        of: ({ waits }) => waits[name]?.p90Us ?? null,
      },
      {
        name: `${name}: 99 % started within`,
        unit: "us",
        better: "less",
        of: ({ waits }) => waits[name]?.p99Us ?? null,
      },
    ]),
  ];
};

export const metricNamed = (name: string, outcomes: readonly Outcome[]): Metric | null =>
  metricsOf(outcomes).find((metric) => metric.name === name) ?? null;

/** A figure over several seeds: mean and the interval in which it lies with 95 % confidence; null for one seed. */
export interface Estimate {
  readonly mean: number;
  readonly low: number | null;
  readonly high: number | null;
  readonly samples: number;
}

export const estimate = (values: readonly number[]): Estimate | null => {
  if (values.length === 0) return null;
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const interval = bootstrapMean(values);
  return { mean, low: interval?.low ?? null, high: interval?.high ?? null, samples: values.length };
};
