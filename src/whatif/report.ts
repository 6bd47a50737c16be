import mustache from "mustache";
import type { Comparison, MetricRow, Variant } from "./compare.js";
import type { Estimate, Metric } from "./metrics.js";
import { latePlot, seriesPlot, waitsPlot } from "./plots.js";

const SECOND = 1_000_000;

/** A figure in its unit, for a person. */
export const shown = (value: number, unit: Metric["unit"]): string => {
  switch (unit) {
    case "us":
      return Math.abs(value) < 100 * SECOND
        ? `${(value / SECOND).toFixed(2)} s`
        : `${(value / SECOND / 60).toFixed(1)} min`;
    case "share":
      return `${(value * 100).toFixed(1)} %`;
    case "count":
      return Number.isInteger(value) ? String(value) : value.toFixed(1);
    case "money":
    case "ratio":
      return value.toFixed(3);
  }
};

export const interval = (estimate: Estimate | null, unit: Metric["unit"]): string => {
  if (estimate === null) return "-";
  const { mean, low, high } = estimate;
  if (low === null || high === null) return shown(mean, unit);
  return `${shown(mean, unit)} [${shown(low, unit)}, ${shown(high, unit)}]`;
};

// Everything is inside the page: it opens from disk, without a network.
const PAGE = `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{title}}</title>
<style>
body { font: 15px/1.5 system-ui, sans-serif; color: #1c2733; max-width: 1000px; margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2.2rem; }
table { border-collapse: collapse; margin: .6rem 0; } th, td { padding: .25rem .7rem; border-bottom: 1px solid #dde4ea; }
th { text-align: left; font-weight: 600; } td.n { text-align: right; font-variant-numeric: tabular-nums; }
td.better { color: #1a7f4b; } td.worse { color: #b3362b; } td.none { color: #6a7885; }
figure { margin: .5rem 0 0; overflow-x: auto; } figcaption, .note { color: #56646f; font-size: .9rem; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>{{title}}</h1>
<p>{{variantList}}; {{seeds}}. Simulated machines. Intervals hold the mean with 95 % confidence; differences are taken
seed by seed against <b>{{base}}</b>.</p>
<h2>Figures</h2>
<table>
<tr><th>figure</th>{{#variants}}<th>{{.}}</th>{{/variants}}{{#others}}<th>{{.}} against {{base}}</th>{{/others}}</tr>
{{#rows}}<tr><td>{{metric}}</td>{{#values}}<td class="n">{{.}}</td>{{/values}}{{#differences}}<td class="n {{css}}">{{text}}</td>{{/differences}}</tr>
{{/rows}}</table>
{{#changes}}
<h2>{{name}} against {{base}}</h2>
{{#sections}}<h3>{{heading}}</h3>
{{#jobs.length}}<table><tr><th>job</th><th>class</th><th>late before</th><th>late now</th><th>late by</th></tr>
{{#jobs}}<tr><td>{{job}}</td><td>{{jobClass}}</td><td class="n">{{before}}</td><td class="n">{{after}}</td><td class="n">{{lateBy}}</td></tr>
{{/jobs}}</table>{{/jobs.length}}{{^jobs.length}}<p class="note">None.</p>{{/jobs.length}}
{{/sections}}
{{/changes}}
{{#plots}}
<h2>{{heading}}</h2>
<figure>{{{svg}}}<figcaption>{{caption}}</figcaption></figure>
{{/plots}}
</body>
</html>
`;

const CSS = { better: "better", worse: "worse", "no difference shown": "none" } as const;

const rowOf = ({ metric, unit, values, differences, verdicts }: MetricRow): object => ({
  metric,
  values: values.map((value) => interval(value, unit)),
  differences: differences.slice(1).map((difference, at) => {
    const verdict = verdicts[at + 1];
    return { text: interval(difference, unit), css: verdict === null || verdict === undefined ? "none" : CSS[verdict] };
  }),
});

const MOST_JOBS = 100;

/** A page of its own, which opens from disk, and its plots apart. Same comparison, same bytes. */
export const report = async (
  title: string,
  comparison: Comparison,
  variants: readonly Variant[],
): Promise<{ readonly html: string; readonly plots: Readonly<Record<string, string>> }> => {
  const plots = {
    series: await seriesPlot(variants),
    waits: await waitsPlot(variants),
    late: await latePlot(variants),
  };
  const [base = "", ...others] = comparison.variants;
  const percent = (share: number): string => `${Math.round(share * 100)} %`;
  const html = mustache.render(PAGE, {
    title,
    base,
    others,
    variants: comparison.variants,
    variantList: comparison.variants.join(", "),
    seeds: comparison.seeds.length === 1 ? "one seed" : `${comparison.seeds.length} seeds`,
    rows: comparison.rows.map(rowOf),
    changes: comparison.changes.map(({ name, becomesLate, noLongerLate }) => ({
      name,
      sections: [
        { heading: "Becomes late", jobs: becomesLate },
        { heading: "No longer late", jobs: noLongerLate },
      ].map(({ heading, jobs }) => ({
        heading: `${heading} (${jobs.length})`,
        jobs: jobs.slice(0, MOST_JOBS).map(({ job, jobClass, before, after, lateByUs }) => ({
          job,
          jobClass,
          before: percent(before),
          after: percent(after),
          lateBy: shown(lateByUs, "us"),
        })),
      })),
    })),
    plots: [
      { heading: "Machines and queue", svg: plots.series, caption: "First seed of each variant." },
      {
        heading: "Waits",
        svg: plots.waits,
        caption: "Share of each class's jobs that had started within a time; all seeds.",
      },
      { heading: "Late jobs", svg: plots.late, caption: "The latest jobs of any variant; mean over the seeds." },
    ],
  });
  return { html, plots };
};
