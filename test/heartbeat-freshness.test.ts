import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import { fencingTokenOf } from "../src/coordination/fencing-token.js";
import { unready } from "../src/coordination/scheduling/eligibility.js";
import type { SchedulerSnapshot } from "../src/coordination/scheduling/scheduler-snapshot.js";
import {
  classifyHeartbeat,
  type HeartbeatCounters,
  type KnownCounters,
} from "../src/coordination/workers/heartbeat-freshness.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import {
  isOneWay,
  recordHeartbeat,
  recordResponse,
  responsesArrive,
} from "../src/coordination/workers/reachability.js";
import type { Micros } from "../src/transport/clock.js";
import { makeShard, placedTask, report } from "./shard-fixtures.js";
import { ACTIONS, BEGINNINGS, explore, Play, unknown } from "./sim/event-orders.js";

const REPORT = { kind: "heartbeat" } as const;
const TOKEN = 65_536;

const scene = () => {
  const { shard, context, taskStates, world } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const asked: Machine[] = [];
  const shown: Machine[] = [];
  Object.assign(context, {
    queryStatus: (m: Machine) => asked.push(m),
    announceFencingToken: (m: Machine) => shown.push(m),
  });
  return { shard, context, machine, asked, shown, world, heartbeats: new HeartbeatProcessor(context, taskStates) };
};

test("to a new leader, a heartbeat that may be a delayed copy proves neither liveness nor capacity nor a reclaim notice", () => {
  const { machine, heartbeats, world, context } = scene();
  unknown(machine);
  const before = machine.reachability.lastHeartbeatAt;
  world.now += 20_000_000;
  // Sent before the failover. Taken as current, it marked the machine as up and heard from, and its reclaim notice
  // drained a machine that no longer had one.
  assert.equal(heartbeats.process(machine, report({ token: 7, reclaimNoticeS: 10 }), REPORT), "unverified");
  assert.equal(machine.state, "booting");
  assert.equal(machine.reachability.lastHeartbeatAt, before);
  assert.equal(machine.lifecycle.reclaimAt, null);
  const snapshot = {
    now: context.clock.now(),
    heartbeatTimeout: 1e9,
    firstFencingToken: TOKEN,
  } as unknown as SchedulerSnapshot;
  assert.notEqual(unready(machine, snapshot), null);
});

test("a worker's lease counts in full from the first verified message of an incarnation known from unverified heartbeats", () => {
  // The worker's incarnation changed while it sent heartbeats and was unreachable for most of a lease. The new
  // incarnation was known from unverified heartbeats only, so its tasks were declared lost a second later and started
  // elsewhere.
  const { machine, heartbeats, world, context } = scene();
  unknown(machine);
  heartbeats.process(machine, report({ incarnation: 2, sequence: 5, token: 7 }), REPORT);
  world.now += 19_000_000;
  const answer = { kind: "status-reply", requestedAt: context.clock.now() } as const;
  assert.equal(heartbeats.process(machine, report({ incarnation: 2, sequence: 9, token: 7 }), answer), "verified");
  assert.equal(machine.lease.renewedAt, context.clock.now());
});

test("responses lost while requests failed do not count against a machine that answers again", () => {
  const { machine } = scene();
  const { reachability } = machine;
  Object.assign(reachability, { consecutiveTimeouts: 3, probeToken: TOKEN + 1, probeSentAt: 5 as Micros });
  for (let lost = 0; lost < 3; lost += 1) recordHeartbeat(reachability, TOKEN, true);
  assert.equal(isOneWay(reachability), true);
  recordResponse(reachability, 10 as Micros);
  // Its responses are not confirmed yet, but it is neither unreachable nor to be deleted: it was, 10 s after a
  // partition.
  assert.equal(isOneWay(reachability), false);
  assert.equal(responsesArrive(reachability), true);
  // If queries are answered all the time, heartbeats without the probe token keep counting.
  recordHeartbeat(reachability, TOKEN, true);
  reachability.probeSentAt = 11 as Micros;
  for (let lost = 0; lost < 2; lost += 1) recordHeartbeat(reachability, TOKEN, true);
  recordResponse(reachability, 20 as Micros);
  assert.equal(responsesArrive(reachability), false);
});

const withoutSuspicion = (machine: Machine) => ({
  ...machine,
  counters: { ...machine.counters, suspectHeartbeats: 0, suspectedAt: 0 },
});

test("a delayed copy of a heartbeat changes nothing once newer counters are known", () => {
  const { machine, heartbeats } = scene();
  heartbeats.process(machine, report({ incarnation: 2, sequence: 40 }), REPORT);
  const before = structuredClone(machine);
  for (const old of [
    { incarnation: 2, sequence: 39, reclaimNoticeS: 5 },
    { incarnation: 1, sequence: 90 },
    { incarnation: 2, sequence: 40 },
  ]) {
    const freshness = heartbeats.process(machine, report(old), REPORT);
    assert.ok(freshness === "stale" || freshness === "suspect", freshness);
  }
  assert.deepEqual(withoutSuspicion(machine), withoutSuspicion(before));
});

test("a task is not tied forever to a machine whose incarnation changed after its start command was lost", () => {
  const { shard, machine, heartbeats } = scene();
  heartbeats.process(machine, report({ sequence: 1 }), REPORT);
  const task = placedTask(shard, machine);
  task.startCommand = { kind: "uncertain", token: TOKEN };
  // No response is delivered, so the worker's token never rises; the task waited for that forever.
  for (let sequence = 2; sequence < 5; sequence += 1) heartbeats.process(machine, report({ sequence }), REPORT);
  assert.equal(task.machine, machine);
  heartbeats.process(machine, report({ incarnation: 2, sequence: 5 }), REPORT);
  assert.equal(task.machine, null);
});

test("a task on a machine that commands do not reach is released once its lost start can no longer be delivered", () => {
  const { shard, machine, heartbeats } = scene();
  heartbeats.process(machine, report({ sequence: 1 }), REPORT);
  const task = placedTask(shard, machine);
  task.startCommand = { kind: "uncertain", token: TOKEN };
  machine.reachability.consecutiveTimeouts = 2;
  // Responses to heartbeats are delivered, so the token rises. The start was retried on the same machine while commands
  // failed.
  heartbeats.process(machine, report({ sequence: 2, token: TOKEN + 1 }), REPORT);
  assert.equal(task.machine, null);
});

test("a worker whose counters are reset is queried and fenced before its task list is trusted", () => {
  const { shard, context, machine, asked, shown, heartbeats, world } = scene();
  heartbeats.process(machine, report({ incarnation: 3, sequence: 80 }), REPORT);
  const task = placedTask(shard, machine);
  task.startCommand = { kind: "observed" };
  // Two heartbeats that look old; without a status query, all later ones were dropped as well.
  for (const sequence of [1, 2]) heartbeats.process(machine, report({ incarnation: 1, sequence, token: 0 }), REPORT);
  assert.deepEqual(asked, [machine]);
  world.now += 10;
  const answer = { kind: "status-reply", requestedAt: context.clock.now() } as const;
  assert.equal(
    heartbeats.process(machine, report({ incarnation: 1, sequence: 3, token: 0 }), answer),
    "counters-reset",
  );
  assert.deepEqual(shown, [machine]);
  // An earlier start may still be executed: the incarnation number is the same, and any token is accepted.
  assert.equal(task.machine, machine);
  heartbeats.process(machine, report({ incarnation: 1, sequence: 4, token: TOKEN }), REPORT);
  assert.equal(task.machine, machine);
  heartbeats.process(
    machine,
    report({ incarnation: 1, sequence: 5, token: fencingTokenOf(context.lease, machine) }),
    REPORT,
  );
  assert.equal(task.startCommand.kind, "none");
});

test("a status reply overtaken by a newer heartbeat is not taken for reset counters", () => {
  const { machine, heartbeats, world, context } = scene();
  const requestedAt = context.clock.now();
  world.now += 1_000;
  heartbeats.process(machine, report({ sequence: 9 }), REPORT);
  assert.equal(heartbeats.process(machine, report({ sequence: 8 }), { kind: "status-reply", requestedAt }), "stale");
  assert.equal(machine.counters.sequence, 9);
});

test("an older message, a lower token, or a heartbeat instead of a status reply never supports a stronger conclusion", () => {
  const rank = {
    stale: 0,
    suspect: 0,
    unverified: 0,
    "counters-reset": 1,
    verified: 2,
    "new-incarnation": 2,
    fenced: 3,
  } as const;
  const values = [1, 2, 3];
  let weighed = 0;
  for (const session of [null, ...values])
    for (const seenToken of [0, 5, 10])
      for (const timely of [false, true])
        for (const staleSession of [null, 1])
          for (const heartbeat of values.flatMap((s) =>
            values.flatMap((q) =>
              [0, 5, 10, 15].map((t): HeartbeatCounters => ({ incarnation: s, sequence: q, token: t })),
            ),
          )) {
            const known: KnownCounters = {
              incarnation: session,
              sequence: 2,
              highestToken: seenToken,
              expiredIncarnation: staleSession,
              learnedAt: 100 as Micros,
              verified: timely,
            };
            const asReport = classifyHeartbeat(known, heartbeat, REPORT, 10);
            const asAnswer = classifyHeartbeat(
              known,
              heartbeat,
              { kind: "status-reply", requestedAt: 100 as Micros },
              10,
            );
            const asOldAnswer = classifyHeartbeat(
              known,
              heartbeat,
              { kind: "status-reply", requestedAt: 99 as Micros },
              10,
            );
            weighed += 1;
            assert.ok(rank[asAnswer] >= rank[asReport], JSON.stringify({ known, heartbeat }));
            assert.ok(rank[asAnswer] >= rank[asOldAnswer]);
            assert.notEqual(asReport, "counters-reset");
            assert.notEqual(asOldAnswer, "counters-reset");
            if (asReport === "fenced")
              assert.ok(heartbeat.token >= 10 && (session === null || heartbeat.incarnation >= session));
            if (asReport === "new-incarnation")
              assert.ok(timely && session !== null && heartbeat.incarnation > session);
          }
  assert.ok(weighed > 1_500);
});

/** Events per order; RAINRIDGE_DEPTH=4 explores deeper in a manual run (docs/results.md). */
const DEPTH = Number(process.env.RAINRIDGE_DEPTH ?? 3);

for (const [suffix, directStarts] of [
  ["", "none"],
  [", after a leader of the previous version", "first leader"],
] as const) {
  test(`in every order of ${DEPTH} events, no task is released that runs or may still run on its machine${suffix}`, {
    timeout: 3_600_000,
  }, async () => {
    const { plays, broken } = await explore(DEPTH, () => new Play(undefined, undefined, undefined, directStarts));
    assert.equal(broken, null);
    assert.equal(plays, BEGINNINGS.length * ACTIONS.length ** DEPTH);
  });
}

// Once a task is released, a start command that is delivered after a reset of the worker's counters runs it a second
// time. The first two guard against a new leader that releases a task whose start, sent by its predecessor, had no
// response; the third against direct starts: an answered one counts as delivered, but there is no bound on when a copy
// of it may arrive.
for (const [name, delivers, onRecord] of [
  ["a start of an earlier leader", { inherited: true, answered: false }, "up to date"],
  ["a start of an earlier leader of an older version", { inherited: true, answered: false }, "none"],
  ["a copy of an answered start", { inherited: false, answered: true }, "up to date"],
] as const) {
  test(`in every order of events, ${name} delivered after a reset of the worker's counters runs no task twice`, async () => {
    const { broken } = await explore(4, () => new Play(undefined, delivers, onRecord));
    assert.equal(broken, null);
  });
}
