/** Text and CSV forms of the outcome of a replay. */
import type { Outcome, ServedGroup } from "../whatif/index.js";
import { formatDuration, formatTable } from "./cli.js";
import { formatRemark } from "./whatif-package.js";

const percent = (share: number | null): string => (share === null ? "-" : `${(share * 100).toFixed(1)} %`);

const END_TEXTS: Readonly<Record<Outcome["ended"], string>> = {
  finished: "nothing was left to do",
  until: "the time set was over",
  stuck: "nothing moved any more, though jobs were open",
};

/** Row of a class or team, marked (!) as starving if less than half of its jobs are done. */
const servedRow = (name: string, { jobs, started, done }: ServedGroup): string[] => [
  done < 0.5 ? `${name} (!)` : name,
  String(jobs),
  percent(started),
  percent(done),
];

/** Most jobs in a list of late or unstarted jobs. */
export const MAX_JOBS_SHOWN = 20;

/** The outcome as tables for the terminal. */
export const outcomeText = (outcome: Outcome): string => {
  const { totals, waits, served, byCause, jobs, unmatched, remarks } = outcome;
  const parts = [
    `${outcome.trace}, ${outcome.mode} model, seed ${outcome.seed}: ended after ${formatDuration(outcome.endedUs)}, ${END_TEXTS[outcome.ended]}`,
    "",
    formatTable(
      ["jobs", "done", "late", "never started", "starts", "stopped", "lost", "failed"],
      [
        [
          totals.jobs,
          totals.done,
          totals.late,
          totals.neverStarted,
          totals.starts,
          totals.stopped,
          totals.lost,
          totals.failed,
        ].map(String),
      ],
    ),
    "",
    formatTable(
      ["machines", "refusals", "cost", "price", "utilisation"],
      [
        [
          String(totals.machines),
          String(totals.refusals),
          totals.cost.toFixed(2),
          totals.price === null ? "-" : totals.price.toFixed(2),
          percent(totals.utilisation),
        ],
      ],
    ),
    "",
    formatTable(
      ["class", "first starts", "half within", "90 % within", "99 % within", "longest"],
      Object.entries(waits).map(([name, wait]) => [
        name,
        String(wait.starts),
        formatDuration(wait.p50Us),
        formatDuration(wait.p90Us),
        formatDuration(wait.p99Us),
        formatDuration(wait.mostUs),
      ]),
    ),
    "",
    formatTable(
      ["served", "jobs", "started", "done"],
      [
        ...Object.entries(served.classes).map(([name, group]) => servedRow(name, group)),
        ...Object.entries(served.teams).map(([name, group]) => servedRow(`team ${name}`, group)),
      ],
    ),
    "",
    formatTable(
      ["starts by what kept them", "starts"],
      Object.entries(byCause).map(([cause, count]) => [cause, String(count)]),
    ),
  ];
  const late = jobs
    .filter(({ lateUs }) => lateUs !== null && lateUs > 0)
    .sort((a, b) => (b.lateUs ?? 0) - (a.lateUs ?? 0));
  if (late.length > 0) {
    parts.push(
      "",
      formatTable(
        ["late job", "class", "state", "late by"],
        late
          .slice(0, MAX_JOBS_SHOWN)
          .map(({ id, jobClass, phase, lateUs }) => [id, jobClass, phase, formatDuration(lateUs)]),
      ),
    );
    if (late.length > MAX_JOBS_SHOWN) parts.push(`and ${late.length - MAX_JOBS_SHOWN} more`);
  }
  const notStarted = jobs.filter(
    ({ phase }) => phase === "never started" || phase === "refused" || phase === "not accepted",
  );
  if (notStarted.length > 0) {
    parts.push(
      "",
      formatTable(
        ["job without a start", "state"],
        notStarted.slice(0, MAX_JOBS_SHOWN).map(({ id, phase }) => [id, phase]),
      ),
    );
    if (notStarted.length > MAX_JOBS_SHOWN) parts.push(`and ${notStarted.length - MAX_JOBS_SHOWN} more`);
  }
  if (unmatched.length > 0) {
    parts.push("", "Events without a counterpart in this replay:");
    for (const { at, event, about, why } of unmatched) parts.push(`  ${formatDuration(at)}: ${event} ${about}: ${why}`);
  }
  if (remarks.length > 0) {
    parts.push("", "Remarks:");
    for (const remark of remarks) parts.push(`  ${formatRemark(remark)}`);
  }
  return parts.join("\n");
};

/** The jobs of an outcome as CSV, one line each; times are in microseconds. */
export const jobsCsv = (outcome: Outcome): string => {
  const head = [
    "job",
    "class",
    "team",
    "rank",
    "tasks",
    "state",
    "submitUs",
    "firstStartUs",
    "finishUs",
    "waitUs",
    "dueUs",
    "lateUs",
  ];
  const rows = outcome.jobs.map((job) =>
    [
      job.id,
      job.jobClass,
      job.team,
      job.rank,
      job.tasks,
      job.phase,
      job.submitUs,
      job.firstStartUs,
      job.finishUs,
      job.waitUs,
      job.dueUs,
      job.lateUs,
    ]
      .map((value) => (value === null ? "" : String(value)))
      .map((value) => (/[",\n]/.test(value) ? `"${value.replaceAll('"', '""')}"` : value))
      .join(","),
  );
  return `${[head.join(","), ...rows].join("\n")}\n`;
};
