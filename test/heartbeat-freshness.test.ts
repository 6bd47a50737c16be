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

test("what may be a late copy is no sign of life, no room and no notice to a new leader", () => {
  const { machine, heartbeats, world, context } = scene();
  unknown(machine);
  const before = machine.reachability.lastHeartbeatAt;
  world.now += 20_000_000;
  // From before the takeover: it was `up`, it was heard, and its notice drained a machine that had none any more.
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

test("a worker first reached in an incarnation that heartbeats had named before has a whole lease from then on", () => {
  // Heard and not reached for most of a lease, its incarnation had changed; the incarnation was known from what proved nothing, and
  // what had been started in it was called lost a second later and started elsewhere.
  const { machine, heartbeats, world, context } = scene();
  unknown(machine);
  heartbeats.process(machine, report({ incarnation: 2, sequence: 5, token: 7 }), REPORT);
  world.now += 19_000_000;
  const answer = { kind: "status-reply", requestedAt: context.clock.now() } as const;
  assert.equal(heartbeats.process(machine, report({ incarnation: 2, sequence: 9, token: 7 }), answer), "verified");
  assert.equal(machine.lease.renewedAt, context.clock.now());
});

test("what was missed while nothing got to a machine is not held against it once it answers again", () => {
  const { machine } = scene();
  const { reachability } = machine;
  Object.assign(reachability, { consecutiveTimeouts: 3, probeToken: TOKEN + 1, probeSentAt: 5 as Micros });
  for (let lost = 0; lost < 3; lost += 1) recordHeartbeat(reachability, TOKEN, true);
  assert.equal(isOneWay(reachability), true);
  recordResponse(reachability, 10 as Micros);
  // Its answers have yet to be seen, but it is neither unreachable nor to be given up: it was, ten seconds after a cut.
  assert.equal(isOneWay(reachability), false);
  assert.equal(responsesArrive(reachability), true);
  // Where questions are answered all the time, reports without the token go on counting.
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

test("a late copy that finds newer evidence changes nothing", () => {
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

test("a job is not bound for ever to a machine whose incarnation changed while a start for it was lost", () => {
  const { shard, machine, heartbeats } = scene();
  heartbeats.process(machine, report({ sequence: 1 }), REPORT);
  const task = placedTask(shard, machine);
  task.startCommand = { kind: "uncertain", token: TOKEN };
  // No answer gets there, so its token never rises; it was waited for for ever.
  for (let sequence = 2; sequence < 5; sequence += 1) heartbeats.process(machine, report({ sequence }), REPORT);
  assert.equal(task.machine, machine);
  heartbeats.process(machine, report({ incarnation: 2, sequence: 5 }), REPORT);
  assert.equal(task.machine, null);
});

test("a start that commands cannot bring is given to another machine once it cannot arrive any more", () => {
  const { shard, machine, heartbeats } = scene();
  heartbeats.process(machine, report({ sequence: 1 }), REPORT);
  const task = placedTask(shard, machine);
  task.startCommand = { kind: "uncertain", token: TOKEN };
  machine.reachability.consecutiveTimeouts = 2;
  // Answers to reports get there: the token rises. It was tried again on the same machine, for as long as that lasted.
  heartbeats.process(machine, report({ sequence: 2, token: TOKEN + 1 }), REPORT);
  assert.equal(task.machine, null);
});

test("a worker whose counters are reset is queried, fenced, and only then believed", () => {
  const { shard, context, machine, asked, shown, heartbeats, world } = scene();
  heartbeats.process(machine, report({ incarnation: 3, sequence: 80 }), REPORT);
  const task = placedTask(shard, machine);
  task.startCommand = { kind: "observed" };
  // Two reports that look old; they were dropped for ever.
  for (const sequence of [1, 2]) heartbeats.process(machine, report({ incarnation: 1, sequence, token: 0 }), REPORT);
  assert.deepEqual(asked, [machine]);
  world.now += 10;
  const answer = { kind: "status-reply", requestedAt: context.clock.now() } as const;
  assert.equal(
    heartbeats.process(machine, report({ incarnation: 1, sequence: 3, token: 0 }), answer),
    "counters-reset",
  );
  assert.deepEqual(shown, [machine]);
  // A start of before may land once more: the number of the incarnation is the same, and any token will do.
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

test("no message is believed more when it is older, shows a lower token, or is not a status reply", () => {
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
            assert.ok(rank[asAnswer] >= rank[asReport], JSON.stringify({ known, said: heartbeat }));
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

/** Deeper by hand: RAINRIDGE_DEPTH=4 (docs/results.md). */
const DEPTH = Number(process.env.RAINRIDGE_DEPTH ?? 3);

for (const [suffix, directStarts] of [
  ["", "none"],
  [", after a leader of the version before", "first leader"],
] as const) {
  test(`whatever comes in which order, no task is called gone that runs or may yet run there (${DEPTH} events)${suffix}`, {
    timeout: 3_600_000,
  }, async () => {
    const { plays, broken } = await explore(DEPTH, () => new Play(undefined, undefined, undefined, directStarts));
    assert.equal(broken, null);
    assert.equal(plays, BEGINNINGS.length * ACTIONS.length ** DEPTH);
  });
}

// Once a task is freed, a start of it that is delivered in a later life of the worker runs it a second time. The first two guard
// against a new leader that frees a task of which its predecessor had sent a start without a response, the third against a
// direct start: an answered one looks delivered, and nothing says how long after it a copy may come.
for (const [name, delivers, onRecord] of [
  ["a start of an earlier leader", { inherited: true, answered: false }, "up to date"],
  ["a start of an earlier leader of an older version", { inherited: true, answered: false }, "none"],
  ["a copy of an answered start", { inherited: false, answered: true }, "up to date"],
] as const) {
  test(`whatever comes in which order, ${name} delivered in a worker's next life runs nothing twice`, async () => {
    const { broken } = await explore(4, () => new Play(undefined, delivers, onRecord));
    assert.equal(broken, null);
  });
}
