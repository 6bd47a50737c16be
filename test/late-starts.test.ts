/**
 * Direct start commands without a response, as leaders of the previous version send them, may be delivered after a
 * reset of the worker's counters. When lease expiry, a higher token or a new incarnation released the task, it was
 * started elsewhere, and the start command that a partition had delayed ran it a second time on the machine that had
 * returned with its counters reset (docs/incidents/late-start.md).
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import { MAX_START_TRANSIT_TIME, startMayBeInTransit, type Task } from "../src/cluster/task.js";
import type { CloudClient } from "../src/coordination/autoscaling/cloud-client.js";
import { type DeletionPriority, MachineDeletionQueue } from "../src/coordination/autoscaling/machine-deletion-queue.js";
import { chooseScaleIn } from "../src/coordination/autoscaling/scale-in.js";
import type { SchedulerSnapshot } from "../src/coordination/scheduling/scheduler-snapshot.js";
import { CommandDispatcher } from "../src/coordination/workers/command-dispatcher.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import { UnreachableMachineRemoval } from "../src/coordination/workers/unreachable-machine-removal.js";
import type { TaskStatus } from "../src/protocol/worker.js";
import type { Micros } from "../src/transport/clock.js";
import type { HttpOutcome } from "../src/transport/http.js";
import { JOB_SPEC, makeHeartbeat, makeShard, placeTask } from "./shard-fixtures.js";
import { DirectStartDispatcher } from "./sim/direct-start-dispatcher.js";

const HEARTBEAT = { kind: "heartbeat" } as const;
const TOKEN = 65_536;
const NO_LONG_POLLS = { end: () => false };

/** A task whose start command had no response, and its machine. */
const setUpLostStart = async () => {
  const lost: HttpOutcome = { kind: "lost" };
  const { shard, context, taskStates, world } = makeShard(1, [lost, lost, lost]);
  const machine = [...shard.machines.values()][0] as Machine;
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  const dispatcher = new CommandDispatcher(context, heartbeats, NO_LONG_POLLS);
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  const task = placeTask(shard, machine);
  shard.unconfirmedStarts.add(task);
  await new DirectStartDispatcher(context, heartbeats).send(machine);
  return { shard, context, world, machine, heartbeats, dispatcher, task };
};

const assertHeld = (task: Task, machine: Machine): void => {
  assert.equal(task.machine, machine);
  assert.equal(task.desired.kind, "placed");
};

test("neither lease expiry nor a higher token nor a new incarnation releases a task whose start command had no response", async () => {
  const { machine, heartbeats, task } = await setUpLostStart();
  assert.deepEqual(task.startCommand, { kind: "uncertain", token: TOKEN });
  heartbeats.handleLeaseExpiry(machine, "worker lease over");
  assertHeld(task, machine);
  heartbeats.process(machine, makeHeartbeat({ sequence: 2, token: TOKEN + 1 }), HEARTBEAT);
  assertHeld(task, machine);
  heartbeats.process(machine, makeHeartbeat({ incarnation: 2, sequence: 3, token: TOKEN + 1 }), HEARTBEAT);
  assertHeld(task, machine);
  heartbeats.handleMachineLoss(machine, "deleted");
  assert.equal(task.machine, null);
  assert.equal(task.earliestStart, 0);
});

test("a task started by a response stays on its machine until the worker's lease has expired, and is released then", async () => {
  const { shard, context, taskStates } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  const dispatcher = new CommandDispatcher(context, heartbeats, NO_LONG_POLLS);
  const task = placeTask(shard, machine);
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  const start = [{ op: "start", task: task.name, attempt: 1 }];
  assert.deepEqual(dispatcher.startsForResponse(machine), start);
  // The response was lost: the next one repeats the start, and the task is neither released nor placed elsewhere.
  heartbeats.process(machine, makeHeartbeat({ sequence: 2 }), HEARTBEAT);
  assertHeld(task, machine);
  assert.deepEqual(dispatcher.startsForResponse(machine), start);
  assertHeld(task, machine);
  // A worker drops a late response, so none can take effect after a reset of its counters.
  heartbeats.handleLeaseExpiry(machine, "worker lease over");
  assert.equal(task.machine, null);
  assert.equal(task.earliestStart, 0);
});

test("no direct command starts a task, whatever other commands are sent", async () => {
  const { shard, context, taskStates, world } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const sent: string[] = [];
  const call = async (_: string, { body }: { body: string }): Promise<HttpOutcome> => {
    sent.push(body);
    return { kind: "lost" };
  };
  Object.assign(context, { http: { call } });
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  const dispatcher = new CommandDispatcher(context, heartbeats, NO_LONG_POLLS);
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  placeTask(shard, machine);
  machine.reported.unexpectedTasks = new Map([["wk-9/7", 1]]);
  for (let at = 0; at < 4; at += 1) {
    world.now += 60_000_000;
    await dispatcher.send(machine, at % 2 === 1);
  }
  assert.equal(sent.length, 4);
  for (const body of sent) assert.ok(body.includes("halt") && !body.includes("launch"), body);
});

test("on a machine that commands do not reach, a held task is started by the response to a heartbeat and by no command", async () => {
  const { machine, heartbeats, dispatcher, task } = await setUpLostStart();
  const start = [{ op: "start", task: task.name, attempt: 1 }];
  assert.deepEqual(dispatcher.startsForResponse(machine), start, "a repeated start is harmless on the same machine");
  machine.reachability.consecutiveTimeouts = 2;
  heartbeats.process(machine, makeHeartbeat({ sequence: 2, token: TOKEN + 1 }), HEARTBEAT);
  assert.deepEqual(dispatcher.startsForResponse(machine), start);
  // The worker did not execute that response's start: the next one repeats it.
  heartbeats.process(machine, makeHeartbeat({ sequence: 3, token: TOKEN + 1 }), HEARTBEAT);
  assert.deepEqual(dispatcher.startsForResponse(machine), start);
  const sent: string[] = [];
  const call = async (_: string, { body }: { body: string }): Promise<HttpOutcome> => {
    sent.push(body);
    return { kind: "lost" };
  };
  Object.assign((dispatcher as unknown as { context: object }).context, { http: { call } });
  await dispatcher.send(machine, true);
  assert.ok(sent.length === 1 && !sent[0]?.includes("launch"), sent[0]);
  const tasks: TaskStatus[] = [{ task: task.name, attempt: 1, state: "running", reason: null }];
  heartbeats.process(machine, makeHeartbeat({ sequence: 4, token: TOKEN + 1, tasks }), HEARTBEAT);
  assert.equal(task.startCommand.kind, "observed");
  assert.deepEqual(dispatcher.startsForResponse(machine), []);
});

test("a task that exits while an earlier start may still be delivered starts again only after the maximum start delay", async () => {
  const { shard, world, machine, heartbeats, task } = await setUpLostStart();
  const sentAt = task.unansweredStartAt as Micros;
  world.now += 5_000_000;
  const exited: TaskStatus[] = [{ task: task.name, attempt: 1, state: "exited", reason: "stopped" }];
  heartbeats.process(machine, makeHeartbeat({ sequence: 2, token: TOKEN + 1, tasks: exited }), HEARTBEAT);
  assert.equal(task.machine, null);
  assert.equal(task.earliestStart, sentAt + MAX_START_TRANSIT_TIME);
  // The exited task no longer counts against its team's limit.
  assert.equal(shard.teamUsage(JOB_SPEC.team).cpu, 0);
});

test("silent machines with an expired lease and held tasks are deleted first, at most a tenth of the fleet within a lease", () => {
  const { shard, context, world } = makeShard(40);
  Object.assign(context, { eventListener: null });
  const deleted: { names: string[]; priority: DeletionPriority | undefined }[] = [];
  const removal = new UnreachableMachineRemoval({
    context,
    autoscaler: {
      deleteMachines: async (machines, priority) => {
        for (const machine of machines) machine.lifecycle.deleting = true;
        deleted.push({ names: machines.map(({ name }) => name), priority });
      },
    },
    guard: async () => undefined,
    onUnreachable: async () => undefined,
  });
  const machines = [...shard.machines.values()];
  // Half of the fleet is partitioned; ten of its machines have a start command in flight.
  const silent = machines.slice(0, 20);
  for (const [at, machine] of silent.entries()) {
    machine.lease.expired = true;
    if (at % 2 === 0) Object.assign(placeTask(shard, machine), { unansweredStartAt: context.clock.now() });
    shard.jobs.clear();
  }
  const check = (): number => {
    const before = deleted.length;
    removal.removeExpired(silent, machines.length);
    return deleted.slice(before).flatMap(({ names }) => names).length;
  };
  assert.equal(check(), 4);
  assert.equal(check(), 0);
  world.now += context.settings.workers.lease + 1;
  assert.equal(check(), 4);
  world.now += context.settings.workers.lease + 1;
  assert.equal(check(), 2);
  assert.ok(deleted.every(({ priority }) => priority === "urgent"));
  const names = new Set(deleted.flatMap((batch) => batch.names));
  assert.equal(names.size, 10);
  for (const machine of silent)
    assert.equal(
      names.has(machine.name),
      [...machine.tasks].some((task) => startMayBeInTransit(task, context.clock.now())),
    );
});

test("machines with held tasks are deleted before all others in the deletion queue", async () => {
  const { shard, context, taskStates } = makeShard(250);
  Object.assign(context, { eventListener: null });
  const batches: (readonly string[])[] = [];
  const cloud = {
    deleteMachines: async (names: readonly string[]) => {
      batches.push(names);
      return { kind: "ok", value: null };
    },
  } as unknown as CloudClient;
  const queue = new MachineDeletionQueue(context, cloud, new HeartbeatProcessor(context, taskStates));
  const machines = [...shard.machines.values()];
  const all = queue.delete(machines.slice(0, 249));
  await queue.delete(machines.slice(249), "urgent");
  await all;
  assert.equal(batches.flat().length, 250);
  assert.equal(batches[1]?.[0], "n-249");
});

type LostStartFixture = Awaited<ReturnType<typeof setUpLostStart>>;

/** The worker shows a token above the start's, and does not list the task. */
const showHigherToken = ({ machine, heartbeats }: LostStartFixture): void => {
  const reclaimNoticeS = machine.lifecycle.reclaimAt === null ? null : 20;
  heartbeats.process(machine, makeHeartbeat({ sequence: 2, token: TOKEN + 1, reclaimNoticeS }), HEARTBEAT);
};

const scaleInCandidates = ({ shard, context }: LostStartFixture): readonly Machine[] => {
  const snapshot = { shard, now: context.clock.now(), options: context.options } as unknown as SchedulerSnapshot;
  return chooseScaleIn(snapshot, []).map(({ machine }) => machine);
};

// These tests guard against a held task that was placed elsewhere a minute after its start, without the machine's
// deletion.
for (const [name, drain] of [
  ["for scale-in", ({ machine }) => Object.assign(machine.lifecycle, { drainReason: "scale-in" })],
  [
    "for its reclaim notice",
    ({ machine, context }) => Object.assign(machine.lifecycle, { reclaimAt: context.clock.now() + 20_000_000 }),
  ],
] satisfies readonly [string, (fixture: LostStartFixture) => void][]) {
  for (const order of ["before", "after"] as const) {
    test(`a machine that is emptied ${name} ${order} its held task is found not running keeps the task until it is deleted`, async () => {
      const fixture = await setUpLostStart();
      const { machine, heartbeats, dispatcher, task } = fixture;
      if (order === "before") drain(fixture);
      showHigherToken(fixture);
      if (order === "after") drain(fixture);
      dispatcher.applyEvictions(machine);
      assertHeld(task, machine);
      machine.reachability.consecutiveTimeouts = 2;
      assert.deepEqual(dispatcher.startsForResponse(machine), [], "nothing more is started there");
      assert.deepEqual(scaleInCandidates(fixture), [machine], "only the machine's deletion releases the task");
      heartbeats.handleMachineLoss(machine, "deleted");
      assert.equal(task.machine, null);
      assert.equal(task.earliestStart, 0);
    });
  }
}

test("a machine with a running task is not returned to the cloud because of a held task", async () => {
  const fixture = await setUpLostStart();
  const { machine, shard, task } = fixture;
  machine.lifecycle.drainReason = "scale-in";
  showHigherToken(fixture);
  const other = [...task.job.waitingTasks][0] as Task;
  shard.assignTask(other, machine);
  other.startCommand = { kind: "observed" };
  assert.deepEqual(scaleInCandidates(fixture), []);
});

for (const order of ["before", "after"] as const) {
  test(`a held task with a stop request made ${order} it was found not running is started again on its machine`, async () => {
    const fixture = await setUpLostStart();
    const { machine, dispatcher, task } = fixture;
    if (order === "before") task.stopRequest = { graceS: 0 };
    showHigherToken(fixture);
    if (order === "after") task.stopRequest = { graceS: 0 };
    dispatcher.applyEvictions(machine);
    assertHeld(task, machine);
    assert.equal(task.stopRequest, null);
    machine.reachability.consecutiveTimeouts = 2;
    assert.deepEqual(dispatcher.startsForResponse(machine), [{ op: "start", task: task.name, attempt: 1 }]);
  });
}

test("a held task beyond its team's limit stays placed, and is started again on its machine once the limit allows it", async () => {
  const fixture = await setUpLostStart();
  const { machine, dispatcher, shard, task } = fixture;
  let withinLimit = false;
  shard.withinLimit = () => withinLimit;
  showHigherToken(fixture);
  assertHeld(task, machine);
  machine.reachability.consecutiveTimeouts = 2;
  assert.deepEqual(dispatcher.startsForResponse(machine), []);
  withinLimit = true;
  assert.deepEqual(dispatcher.startsForResponse(machine), [{ op: "start", task: task.name, attempt: 1 }]);
});
