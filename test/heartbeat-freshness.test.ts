import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import { fencingTokenOf } from "../src/coordination/fencing-token.js";
import { unreadyReason } from "../src/coordination/scheduling/eligibility.js";
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
import { makeHeartbeat, makeShard, placeTask } from "./shard-fixtures.js";
import { ACTIONS, explore, PREFIXES, resetToUnknown, Scenario } from "./sim/event-orders.js";

const HEARTBEAT = { kind: "heartbeat" } as const;
const TOKEN = 65_536;

const setUp = () => {
  const { shard, context, taskStates, world } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const queried: Machine[] = [];
  const announced: Machine[] = [];
  Object.assign(context, {
    queryStatus: (m: Machine) => queried.push(m),
    announceFencingToken: (m: Machine) => announced.push(m),
  });
  return {
    shard,
    context,
    machine,
    queried,
    announced,
    world,
    heartbeats: new HeartbeatProcessor(context, taskStates),
  };
};

test("to a new leader, a heartbeat that may be a delayed copy proves neither liveness nor capacity nor a reclaim notice", () => {
  const { machine, heartbeats, world, context } = setUp();
  resetToUnknown(machine);
  const before = machine.reachability.lastHeartbeatAt;
  world.now += 20_000_000;
  // Sent before the failover. Taken as current, it marked the machine as up with a recent heartbeat, and its reclaim
  // notice drained a machine that no longer had one.
  assert.equal(heartbeats.process(machine, makeHeartbeat({ token: 7, reclaimNoticeS: 10 }), HEARTBEAT), "unverified");
  assert.equal(machine.state, "booting");
  assert.equal(machine.reachability.lastHeartbeatAt, before);
  assert.equal(machine.lifecycle.reclaimAt, null);
  const snapshot = {
    now: context.clock.now(),
    heartbeatTimeout: 1e9,
    minFencingToken: TOKEN,
  } as unknown as SchedulerSnapshot;
  assert.notEqual(unreadyReason(machine, snapshot), null);
});

test("a worker's lease counts in full from the first verified message of an incarnation known from unverified heartbeats", () => {
  // The worker's incarnation changed while it sent heartbeats and was unreachable for most of a lease. The new
  // incarnation was known from unverified heartbeats only, so its tasks were declared lost a second later and started
  // elsewhere.
  const { machine, heartbeats, world, context } = setUp();
  resetToUnknown(machine);
  heartbeats.process(machine, makeHeartbeat({ incarnation: 2, sequence: 5, token: 7 }), HEARTBEAT);
  world.now += 19_000_000;
  const reply = { kind: "status-reply", requestedAt: context.clock.now() } as const;
  assert.equal(
    heartbeats.process(machine, makeHeartbeat({ incarnation: 2, sequence: 9, token: 7 }), reply),
    "verified",
  );
  assert.equal(machine.lease.renewedAt, context.clock.now());
});

test("responses lost while requests failed do not count against a machine that answers again", () => {
  const { machine } = setUp();
  const { reachability } = machine;
  Object.assign(reachability, { consecutiveTimeouts: 3, probeToken: TOKEN + 1, probeSentAt: 5 as Micros });
  for (let lost = 0; lost < 3; lost += 1) recordHeartbeat(reachability, TOKEN, true);
  assert.equal(isOneWay(reachability), true);
  recordResponse(reachability, 10 as Micros);
  // Its responses are not confirmed yet, but it is neither unreachable nor due for deletion: it was deleted 10 s after
  // a partition had ended.
  assert.equal(isOneWay(reachability), false);
  assert.equal(responsesArrive(reachability), true);
  // If queries are answered all the time, heartbeats without the probe token keep counting.
  recordHeartbeat(reachability, TOKEN, true);
  reachability.probeSentAt = 11 as Micros;
  for (let lost = 0; lost < 2; lost += 1) recordHeartbeat(reachability, TOKEN, true);
  recordResponse(reachability, 20 as Micros);
  assert.equal(responsesArrive(reachability), false);
});

const withoutSuspectCounts = (machine: Machine) => ({
  ...machine,
  counters: { ...machine.counters, suspectHeartbeats: 0, suspectedAt: 0 },
});

test("a delayed copy of a heartbeat changes nothing once newer counters are known", () => {
  const { machine, heartbeats } = setUp();
  heartbeats.process(machine, makeHeartbeat({ incarnation: 2, sequence: 40 }), HEARTBEAT);
  const before = structuredClone(machine);
  for (const old of [
    { incarnation: 2, sequence: 39, reclaimNoticeS: 5 },
    { incarnation: 1, sequence: 90 },
    { incarnation: 2, sequence: 40 },
  ]) {
    const freshness = heartbeats.process(machine, makeHeartbeat(old), HEARTBEAT);
    assert.ok(freshness === "stale" || freshness === "suspect", freshness);
  }
  assert.deepEqual(withoutSuspectCounts(machine), withoutSuspectCounts(before));
});

test("a task is not tied forever to a machine whose incarnation changed after its start command was lost", () => {
  const { shard, machine, heartbeats } = setUp();
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  const task = placeTask(shard, machine);
  task.startCommand = { kind: "uncertain", token: TOKEN };
  // No response is delivered, so the worker's token never rises; the task waited for that forever.
  for (let sequence = 2; sequence < 5; sequence += 1)
    heartbeats.process(machine, makeHeartbeat({ sequence }), HEARTBEAT);
  assert.equal(task.machine, machine);
  heartbeats.process(machine, makeHeartbeat({ incarnation: 2, sequence: 5 }), HEARTBEAT);
  assert.equal(task.machine, null);
});

test("a task on a machine that commands do not reach is released once its lost start can no longer be delivered", () => {
  const { shard, machine, heartbeats } = setUp();
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  const task = placeTask(shard, machine);
  task.startCommand = { kind: "uncertain", token: TOKEN };
  machine.reachability.consecutiveTimeouts = 2;
  // Responses to heartbeats are delivered, so the token rises. The start was retried on the same machine while commands
  // failed.
  heartbeats.process(machine, makeHeartbeat({ sequence: 2, token: TOKEN + 1 }), HEARTBEAT);
  assert.equal(task.machine, null);
});

test("a worker whose counters are reset is queried and fenced before its task list is trusted", () => {
  const { shard, context, machine, queried, announced, heartbeats, world } = setUp();
  heartbeats.process(machine, makeHeartbeat({ incarnation: 3, sequence: 80 }), HEARTBEAT);
  const task = placeTask(shard, machine);
  task.startCommand = { kind: "observed" };
  // Two heartbeats that look old; without a status query, all later ones were dropped as well.
  for (const sequence of [1, 2])
    heartbeats.process(machine, makeHeartbeat({ incarnation: 1, sequence, token: 0 }), HEARTBEAT);
  assert.deepEqual(queried, [machine]);
  world.now += 10;
  const reply = { kind: "status-reply", requestedAt: context.clock.now() } as const;
  assert.equal(
    heartbeats.process(machine, makeHeartbeat({ incarnation: 1, sequence: 3, token: 0 }), reply),
    "counters-reset",
  );
  assert.deepEqual(announced, [machine]);
  // An earlier start may still be executed: the incarnation number is the same, and any token is accepted.
  assert.equal(task.machine, machine);
  heartbeats.process(machine, makeHeartbeat({ incarnation: 1, sequence: 4, token: TOKEN }), HEARTBEAT);
  assert.equal(task.machine, machine);
  heartbeats.process(
    machine,
    makeHeartbeat({ incarnation: 1, sequence: 5, token: fencingTokenOf(context.lease, machine) }),
    HEARTBEAT,
  );
  assert.equal(task.startCommand.kind, "none");
});

test("a status reply overtaken by a newer heartbeat is not taken for reset counters", () => {
  const { machine, heartbeats, world, context } = setUp();
  const requestedAt = context.clock.now();
  world.now += 1_000;
  heartbeats.process(machine, makeHeartbeat({ sequence: 9 }), HEARTBEAT);
  assert.equal(
    heartbeats.process(machine, makeHeartbeat({ sequence: 8 }), { kind: "status-reply", requestedAt }),
    "stale",
  );
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
  let classified = 0;
  for (const knownIncarnation of [null, ...values])
    for (const knownToken of [0, 5, 10])
      for (const verified of [false, true])
        for (const expiredIncarnation of [null, 1])
          for (const heartbeat of values.flatMap((s) =>
            values.flatMap((q) =>
              [0, 5, 10, 15].map((t): HeartbeatCounters => ({ incarnation: s, sequence: q, token: t })),
            ),
          )) {
            const known: KnownCounters = {
              incarnation: knownIncarnation,
              sequence: 2,
              highestToken: knownToken,
              expiredIncarnation,
              learnedAt: 100 as Micros,
              verified,
            };
            const fromHeartbeat = classifyHeartbeat(known, heartbeat, HEARTBEAT, 10);
            const fromReply = classifyHeartbeat(
              known,
              heartbeat,
              { kind: "status-reply", requestedAt: 100 as Micros },
              10,
            );
            const fromOlderReply = classifyHeartbeat(
              known,
              heartbeat,
              { kind: "status-reply", requestedAt: 99 as Micros },
              10,
            );
            classified += 1;
            assert.ok(rank[fromReply] >= rank[fromHeartbeat], JSON.stringify({ known, heartbeat }));
            assert.ok(rank[fromReply] >= rank[fromOlderReply]);
            assert.notEqual(fromHeartbeat, "counters-reset");
            assert.notEqual(fromOlderReply, "counters-reset");
            if (fromHeartbeat === "fenced")
              assert.ok(
                heartbeat.token >= 10 && (knownIncarnation === null || heartbeat.incarnation >= knownIncarnation),
              );
            if (fromHeartbeat === "new-incarnation")
              assert.ok(verified && knownIncarnation !== null && heartbeat.incarnation > knownIncarnation);
          }
  assert.ok(classified > 1_500);
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
    const { runs, fault } = await explore(DEPTH, () => new Scenario(undefined, undefined, undefined, directStarts));
    assert.equal(fault, null);
    assert.equal(runs, PREFIXES.length * ACTIONS.length ** DEPTH);
  });
}

// Once a task is released, a start command that is delivered after a reset of the worker's counters runs it a second
// time. The first two guard against a new leader that releases a task whose start, sent by its predecessor, had no
// response; the third against direct starts: an answered one counts as delivered, but there is no bound on when a copy
// of it may arrive.
for (const [name, lateStarts, onRecord] of [
  ["a start of an earlier leader", { inherited: true, answered: false }, "up to date"],
  ["a start of an earlier leader of an older version", { inherited: true, answered: false }, "none"],
  ["a copy of an answered start", { inherited: false, answered: true }, "up to date"],
] as const) {
  test(`in every order of events, ${name} delivered after a reset of the worker's counters runs no task twice`, async () => {
    const { fault } = await explore(4, () => new Scenario(undefined, lateStarts, onRecord));
    assert.equal(fault, null);
  });
}
