import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { Variant } from "./compare.js";
import type { LoadResult } from "./load.js";
import type { Outcome } from "./outcome.js";

const WIDTH = 640;
const HEIGHT = 220;
const MINUTE = 60_000_000;
const SECOND = 1_000_000;
/** Points of a curve; more cannot be seen. */
const POINTS = 300;

/** Draws without a screen or a canvas; the same data give the same text. */
const svgOf = async (spec: TopLevelSpec): Promise<string> => {
  const view = new View(parse(compile(spec).spec), { renderer: "none" });
  try {
    return await view.toSVG();
  } finally {
    view.finalize();
  }
};

const thinned = <T>(items: readonly T[]): readonly T[] => {
  const step = Math.ceil(items.length / POINTS);
  return step <= 1 ? items : items.filter((_, at) => at % step === 0);
};

const base = { $schema: "https://vega.github.io/schema/vega-lite/v6.json", width: WIDTH, height: HEIGHT } as const;

/** How lines are drawn. */
interface LineMark {
  readonly type: "line";
  readonly interpolate?: "step-after";
  readonly strokeWidth?: number;
  readonly point?: boolean;
}

/** One low plot below the other for each value of `what`, each with a scale of its own. */
const rowsOf = (
  values: Record<string, unknown>[],
  mark: LineMark,
  { x, y, color }: { readonly x: string; readonly y: string; readonly color: string },
): Promise<string> =>
  svgOf({
    ...base,
    height: HEIGHT / 2,
    data: { values },
    facet: { row: { field: "what", type: "nominal", title: null } },
    spec: {
      width: WIDTH,
      height: HEIGHT / 2,
      mark,
      encoding: {
        x: { field: x, type: "quantitative", title: x },
        y: { field: y, type: "quantitative", title: null },
        color: { field: color, type: "nominal" },
      },
    },
    resolve: { scale: { y: "independent" } },
  });

/** Machines, running and waiting tasks over time, of each variant's first seed. */
export const seriesPlot = (variants: readonly Variant[]): Promise<string> => {
  const values = variants.flatMap(({ name, outcomes }) =>
    thinned(outcomes[0]?.series ?? []).flatMap(({ at, machines, running, queued }) =>
      Object.entries({ machines, "tasks running": running, "tasks waiting": queued }).map(([what, count]) => ({
        variant: name,
        minutes: at / MINUTE,
        what,
        count,
      })),
    ),
  );
  const mark = { type: "line", interpolate: "step-after", strokeWidth: 1.2 } as const;
  return rowsOf(values, mark, { x: "minutes", y: "count", color: "variant" });
};

const quantileCurve = (waits: readonly number[]): readonly { seconds: number; share: number }[] => {
  const sorted = [...waits].sort((a, b) => a - b);
  return thinned(
    sorted.map((wait, at) => ({ seconds: Math.max(0.01, wait / SECOND), share: (at + 1) / sorted.length })),
  );
};

/** How long jobs waited for their first start: share of each class's jobs within a time, all seeds together. */
export const waitsPlot = (variants: readonly Variant[]): Promise<string> => {
  const values = variants.flatMap(({ name, outcomes }) => {
    const classes = new Map<string, number[]>();
    for (const { jobs } of outcomes) {
      for (const { jobClass, waitUs } of jobs) {
        if (waitUs === null) continue;
        const known = classes.get(jobClass) ?? [];
        classes.set(jobClass, known);
        known.push(waitUs);
      }
    }
    return [...classes].flatMap(([jobClass, waits]) =>
      quantileCurve(waits).map((point) => ({ variant: name, jobClass, ...point })),
    );
  });
  return svgOf({
    ...base,
    data: { values },
    mark: { type: "line", interpolate: "step-after" },
    encoding: {
      x: { field: "seconds", type: "quantitative", scale: { type: "log" }, title: "seconds until the first start" },
      y: { field: "share", type: "quantitative", title: "share of jobs", scale: { domain: [0, 1] } },
      color: { field: "jobClass", type: "nominal", title: "class" },
      strokeDash: { field: "variant", type: "nominal" },
    },
  });
};

const LATE_SHOWN = 30;

/** The jobs that are latest with any variant, and by how much, each variant's mean over its seeds. */
export const latePlot = (variants: readonly Variant[]): Promise<string> => {
  const late = (outcomes: readonly Outcome[]): Map<string, number> => {
    const sums = new Map<string, number>();
    for (const { jobs } of outcomes) {
      for (const { id, lateUs } of jobs)
        if (lateUs !== null) sums.set(id, (sums.get(id) ?? 0) + lateUs / outcomes.length);
    }
    return sums;
  };
  const all = variants.map(({ name, outcomes }) => ({ name, late: late(outcomes) }));
  const most = new Map<string, number>();
  for (const { late: sums } of all) {
    for (const [id, sum] of sums) if (sum > 0) most.set(id, Math.max(most.get(id) ?? 0, sum));
  }
  const shown = [...most].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1)).slice(0, LATE_SHOWN);
  const values = shown.flatMap(([job]) =>
    all.map(({ name, late: sums }) => ({ variant: name, job, minutes: (sums.get(job) ?? 0) / MINUTE })),
  );
  return svgOf({
    ...base,
    height: Math.max(40, 14 * shown.length * variants.length),
    data: { values },
    mark: "bar",
    encoding: {
      y: { field: "job", type: "nominal", sort: shown.map(([job]) => job), title: null },
      yOffset: { field: "variant", type: "nominal" },
      x: { field: "minutes", type: "quantitative", title: "minutes late" },
      color: { field: "variant", type: "nominal" },
    },
  });
};

export interface ParetoPoint {
  readonly x: number;
  readonly y: number;
  readonly front: boolean;
  readonly label: string;
}

/** Two figures of many settings against each other; the front is drawn through. */
export const paretoPlot = (points: readonly ParetoPoint[], xTitle: string, yTitle: string): Promise<string> =>
  svgOf({
    ...base,
    height: 320,
    data: { values: points.map((point) => ({ ...point })) },
    layer: [
      {
        transform: [{ filter: "datum.front" }],
        mark: { type: "line", interpolate: "linear", color: "#888" },
        encoding: {
          x: { field: "x", type: "quantitative", scale: { zero: false } },
          y: { field: "y", type: "quantitative", scale: { zero: false } },
          order: { field: "x", type: "quantitative" },
        },
      },
      {
        mark: { type: "point", filled: true, size: 45 },
        encoding: {
          x: { field: "x", type: "quantitative", title: xTitle, scale: { zero: false } },
          y: { field: "y", type: "quantitative", title: yTitle, scale: { zero: false } },
          color: {
            field: "front",
            type: "nominal",
            title: "not bettered in both",
            scale: { domain: [false, true], range: ["#9db4c0", "#c8553d"] },
          },
          tooltip: { field: "label", type: "nominal" },
        },
      },
    ],
  });

/** What a load experiment saw, by size of fleet, without and with the bounds. */
export const loadPlot = (results: readonly LoadResult[]): Promise<string> => {
  const values = results.flatMap(({ machines, bounded, processor, sockets, killedByLease, running }) =>
    Object.entries({
      "processor, share of its limit": processor,
      "connections, share of the limit": sockets,
      "tasks killed by leases, share of those running": running === 0 ? 0 : killedByLease / running,
    }).map(([what, share]) => ({ machines, controllers: bounded ? "bounded" : "as before", what, share })),
  );
  return rowsOf(values, { type: "line", point: true }, { x: "machines", y: "share", color: "controllers" });
};
