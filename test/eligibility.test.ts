import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import { infeasibilityReason, type UnreadyReason, unreadyReason } from "../src/coordination/scheduling/eligibility.js";
import { decodeSubmission } from "../src/protocol/job-messages.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import type { Micros } from "../src/transport/clock.js";
import { makeSchedulingFixture, TYPE } from "./scheduling-fixtures.js";
import { plainJob } from "./sim/cluster.js";

test("each condition that makes a machine unready has its reason, and the machine gets no tasks", () => {
  const cases: [(machine: Machine) => void, UnreadyReason | null][] = [
    [() => undefined, null],
    [(machine) => Object.assign(machine, { type: null }), "type unknown"],
    [(machine) => Object.assign(machine, { state: "booting" }), "booting"],
    [({ lifecycle }) => Object.assign(lifecycle, { drainReason: "scale-in" }), "draining"],
    [
      ({ lifecycle }) =>
        Object.assign(lifecycle, { fault: { retryAt: 2e9 as Micros, failedTrials: 0, trialTask: null } }),
      "faulty",
    ],
    [({ lifecycle }) => Object.assign(lifecycle, { deleting: true }), "draining"],
    [({ lifecycle }) => Object.assign(lifecycle, { reclaimAt: 1 as Micros }), "reclaim notice"],
    [({ lease }) => Object.assign(lease, { expired: true }), "lease expired"],
    [({ reported }) => Object.assign(reported, { unexpectedTasks: new Map([["wk-1/0", 1]]) }), "unexpected tasks"],
    [({ lifecycle }) => Object.assign(lifecycle, { quarantinedUntil: 2e9 as Micros }), "quarantined"],
    [({ reachability }) => Object.assign(reachability, { lastHeartbeatAt: 1 as Micros }), "heartbeat overdue"],
    [({ counters }) => Object.assign(counters, { highestToken: 1 }), "fencing token unverified"],
  ];
  for (const [change, reason] of cases) {
    const { machine, snapshot, add, round } = makeSchedulingFixture(1);
    change(machine);
    assert.equal(unreadyReason(machine, snapshot()), reason);
    add({ shards: 1 }, "wk-1");
    assert.equal(
      round().some(({ kind }) => kind === "place"),
      reason === null,
      String(reason),
    );
  }
});

test("a job that can never run is told from one that may wait, with the reason", () => {
  const { settings } = makeSchedulingFixture(0);
  const types = new Map([[TYPE.name, TYPE]]);
  const reasonFor = (fields: Parameters<typeof plainJob>[1]): string | null =>
    infeasibilityReason(decodeSubmission(plainJob("wk-1", fields)) as JobSpec, settings, types);
  assert.equal(reasonFor({}), null);
  assert.equal(reasonFor({ owner: "nobody" }), "unknown team");
  assert.equal(reasonFor({ cpus: 17 }), "a task fits no allowed machine type");
  assert.equal(reasonFor({ flavors: ["small"] }), "a task fits no allowed machine type");
  assert.equal(reasonFor({ owner: "capped", shards: 100, cpus: 1 }), null);
  assert.equal(reasonFor({ owner: "capped", shards: 17, cpus: 1, shape: "daemon" }), "more than the team's limit");
});
