/**
 * Starts by responses to heartbeats: which responses are held back, and how the next heartbeat is triggered if none is.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import { CommandDispatcher } from "../src/coordination/workers/command-dispatcher.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import { LongPolls, longPollTime } from "../src/coordination/workers/long-polls.js";
import type { TaskStatus } from "../src/protocol/worker.js";
import type { Micros } from "../src/transport/clock.js";
import type { HttpOutcome } from "../src/transport/http.js";
import { makeHeartbeat, makeShard, noop, placeTask } from "./shard-fixtures.js";

const HEARTBEAT = { kind: "heartbeat" } as const;
const MAX_WAIT = 3_000_000;

/** A machine that has shown this leader's token, and the commands that are sent to it. */
const setUp = () => {
  const { shard, context, taskStates, world } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const sent: { readonly baton: number; readonly orders: readonly unknown[] }[] = [];
  const call = async (_: string, { body }: { body: string }): Promise<HttpOutcome> => {
    sent.push(JSON.parse(body));
    return { kind: "lost" };
  };
  Object.assign(context, { http: { call } });
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  const longPolls = new LongPolls(context.clock, 2);
  const dispatcher = new CommandDispatcher(context, heartbeats, longPolls);
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  return { shard, context, world, machine, heartbeats, longPolls, dispatcher, sent };
};

test("a response waits only for a machine on which a start is likely", () => {
  const { shard, context, machine } = setUp();
  const now = context.clock.now();
  const time = (backlog: boolean): number => longPollTime(machine, now, backlog);
  assert.equal(time(true), MAX_WAIT, "an idle machine has nothing to report");
  const task = placeTask(shard, machine);
  assert.equal(time(true), MAX_WAIT, "its placement is about to be on record");
  task.startCommand = { kind: "observed" };
  assert.equal(time(false), MAX_WAIT, "the next job may be placed in its free capacity");
  assert.equal(time(true), 1_500_000, "waiting tasks do not fit: the next exit is to be reported sooner");
  machine.load.used = { ...machine.load.used, cpu: machine.type?.capacity.cpu ?? 0 };
  assert.equal(time(false), 0, "it has no free capacity");
  assert.equal(time(true), 0);
});

test("no response waits for a machine that takes no tasks or may be unreachable", () => {
  const changes: readonly ((machine: Machine) => void)[] = [
    (machine) => Object.assign(machine, { state: "unconfirmed" }),
    ({ lifecycle }) => Object.assign(lifecycle, { fault: { retryAt: 0, failedTrials: 0, trialTask: null } }),
    ({ lifecycle }) => Object.assign(lifecycle, { drainReason: "scale-in" }),
    ({ lifecycle }) => Object.assign(lifecycle, { reclaimAt: 1 }),
    ({ lifecycle }) => Object.assign(lifecycle, { quarantinedUntil: 1e15 }),
    ({ reachability }) => Object.assign(reachability, { consecutiveTimeouts: 2 }),
    ({ reachability }) => Object.assign(reachability, { probeToken: 65_537 }),
  ];
  for (const change of changes) {
    const { machine, context } = setUp();
    change(machine);
    assert.equal(longPollTime(machine, context.clock.now(), false), 0);
  }
});

test("a wait ends when its time has passed, when it is ended or when a newer one starts; beyond the maximum none starts", async () => {
  const { context, world, machine, longPolls } = setUp();
  const ends: string[] = [];
  const wait = (name: string, target: Machine, time: number): void => {
    void longPolls.wait(target, time as Micros).then((end) => ends.push(`${name}: ${end}`));
  };
  const others = [...makeShard(3).shard.machines.values()];
  wait("first", machine, MAX_WAIT);
  wait("newer", machine, 1_000_000);
  wait("other", others[1] as Machine, MAX_WAIT);
  wait("beyond", others[2] as Machine, MAX_WAIT);
  await world.run(world.now + 10, noop);
  assert.deepEqual(ends.splice(0), ["first: ended", "beyond: ended"]);
  await world.run(world.now + 1_100_000, noop);
  assert.deepEqual(ends.splice(0), ["newer: time passed"]);
  assert.equal(longPolls.end(machine), false);
  longPolls.endAll();
  await world.run(world.now + 10, noop);
  assert.deepEqual(ends, ["other: ended"]);
  assert.ok(context.clock.now() > 0);
});

test("a start is sent with the held response, without a command", async () => {
  const { shard, machine, longPolls, dispatcher, sent, world } = setUp();
  let ended = false;
  void longPolls.wait(machine, MAX_WAIT as Micros).then(() => {
    ended = true;
  });
  const task = placeTask(shard, machine);
  world.now += 60_000_000;
  await dispatcher.send(machine);
  await Promise.resolve();
  assert.ok(ended);
  assert.deepEqual(sent, []);
  assert.deepEqual(dispatcher.startsForResponse(machine), [{ op: "start", task: task.name, attempt: 1 }]);
});

test("if no response is held, a raised token triggers a heartbeat, once per half of a lease", async () => {
  const { shard, machine, heartbeats, dispatcher, sent, world, context } = setUp();
  placeTask(shard, machine);
  await dispatcher.send(machine);
  assert.deepEqual(sent, [], "the worker has just reported a higher token");
  world.now += context.settings.workers.lease / 2 + 200_000;
  await dispatcher.send(machine);
  assert.deepEqual(sent, [{ baton: 65_537, tenure: 1, orders: [] }]);
  world.now += 5_000_000;
  await dispatcher.send(machine);
  assert.equal(sent.length, 1, "the worker would not report another raise yet");
  heartbeats.process(machine, makeHeartbeat({ sequence: 2, token: 65_537 }), HEARTBEAT);
  const [start] = dispatcher.startsForResponse(machine);
  assert.ok(start?.op === "start");
  world.now += 60_000_000;
  await dispatcher.send(machine);
  assert.equal(sent.length, 1, "a start sent in a response is repeated by the next response");
  const tasks: TaskStatus[] = [{ task: start.task, attempt: 1, state: "running", reason: null }];
  heartbeats.process(machine, makeHeartbeat({ sequence: 3, token: 65_537, tasks }), HEARTBEAT);
  assert.deepEqual(dispatcher.startsForResponse(machine), []);
});
