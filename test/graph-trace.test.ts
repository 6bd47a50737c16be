import assert from "node:assert/strict";
import { test } from "node:test";
import { S, type Submission, sampleSite } from "../src/model/index.js";
import { DEFAULT_OPTIONS } from "../src/settings/options.js";
import {
  formatTrace,
  headerOf,
  type Outcome,
  parseTrace,
  replayFaithfully,
  replayFast,
  type TraceEvent,
  traceEventOf,
} from "../src/whatif/index.js";
import { JOB } from "./graph-fixtures.js";
import { GraphSite } from "./sim/graph-site.js";

const HEADER = headerOf(sampleSite(16), "recorded", null);

const replay = async (events: readonly TraceEvent[], fast: boolean): Promise<Outcome> => {
  const trace = parseTrace(formatTrace(HEADER, events));
  const request = {
    name: "graphs",
    header: trace.header,
    events: trace.events,
    remarks: trace.remarks,
    site: trace.header.site,
    options: DEFAULT_OPTIONS,
    seed: 1,
    untilUs: null,
  };
  return fast ? replayFast(request) : replayFaithfully(request);
};

/** Times of submission and end of each job in the replay, in seconds. */
const times = (outcome: Outcome): ReadonlyMap<string, { readonly from: number; readonly to: number }> =>
  new Map(outcome.jobs.map((job) => [job.id, { from: job.submitUs / S, to: (job.finishUs ?? Number.NaN) / S }]));

test("a replay keeps a recorded graph's dependencies when its steps end earlier or later than recorded", async () => {
  const site = new GraphSite(31);
  await site.run(3 * S);
  site.stepBehaviour = (job) => ({ runUs: job.includes(".0001.") ? 40 * S : 3 * S });
  const tasks = [
    { task_id: "a" },
    { task_id: "slow", upstream: ["a"] },
    { task_id: "quick", upstream: ["a"] },
    { task_id: "joint", upstream: ["slow", "quick"], empty: true },
    { task_id: "last", upstream: ["joint"] },
  ];
  assert.equal((await site.submitGraph("dr-a", tasks)).status, 201);
  await site.waitForPhase("dr-a", ["success"]);
  const recorded = site.recordedEvents.flatMap(({ at, event }): TraceEvent[] => {
    const translated = traceEventOf(event, Math.round(at));
    // The replay uses another site: machine events are left out, and jobs belong to one of that site's teams.
    if (translated.event === "submit") {
      const job: Submission = { ...translated.job, owner: "web" };
      return [{ ...translated, job }];
    }
    return ["task_end", "follows"].includes(translated.event) ? [translated] : [];
  });
  for (const fast of [true, false]) {
    for (const slowS of [5, 400]) {
      const events = recorded.map((event) =>
        event.event === "task_end" && event.job.includes(".0001.") ? { ...event, ranUs: slowS * S } : event,
      );
      const outcome = await replay(events, fast);
      assert.deepEqual([outcome.ended, outcome.unmatched], ["finished", []]);
      const of = (index: string): { readonly from: number; readonly to: number } => {
        const found = [...times(outcome)].find(([id]) => id.includes(`.000${index}.`));
        assert.ok(found !== undefined, index);
        return found[1];
      };
      const [a, slow, quick, last] = [of("0"), of("1"), of("2"), of("4")];
      for (const step of [slow, quick]) assert.ok(step.from >= a.to && step.from < a.to + 2, `${fast} ${step.from}`);
      assert.ok(last.from >= slow.to && last.from < slow.to + 2, `${fast}: ${last.from} after ${slow.to}`);
      assert.ok(slow.to - slow.from >= slowS - 1);
    }
  }
});

test("jobs that wait for a withdrawn job start without it", async () => {
  const job = (ref: string): Submission => ({
    ...JOB,
    shape: "sweep",
    rank: "high",
    ref,
    jobclass: "verify",
    owner: "web",
  });
  const events: readonly TraceEvent[] = [
    { at: 0, event: "submit", job: job("wk-1"), runUs: 5 * S },
    { at: 0, event: "submit", job: job("wk-2"), runUs: 5 * S, after: ["wk-1"], pauseUs: 30 * S },
    { at: 0, event: "submit", job: job("wk-3"), runUs: 5 * S, after: ["wk-2", "wk-unknown"] },
    { at: 20 * S, event: "abort", job: "wk-2" },
  ];
  for (const fast of [true, false]) {
    const outcome = await replay(events, fast);
    assert.equal(outcome.ended, "finished");
    const all = times(outcome);
    assert.equal(all.has("wk-2"), false);
    const third = all.get("wk-3");
    assert.ok(third !== undefined && third.from >= 20 && third.from < 21, JSON.stringify(third));
  }
});
