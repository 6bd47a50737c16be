import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import { CommandDispatcher } from "../src/coordination/workers/command-dispatcher.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import { JOB_SPEC, makeHeartbeat, makeShard, placeTask } from "./shard-fixtures.js";

const setUp = () => {
  const { shard, context, taskStates } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const task = placeTask(shard, machine);
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  return { machine, task, dispatcher: new CommandDispatcher(context, heartbeats, { end: () => false }) };
};

test("an ended attempt is forgotten only once its end is on record", () => {
  // If it were forgotten sooner, its end would be lost with the leader, and the next leader would start it again.
  const { machine, task, dispatcher } = setUp();
  machine.reported.exitedTasks = new Map([[task.name, 1]]);
  task.desired = { kind: "done" };
  assert.deepEqual(dispatcher.forgetCommands(machine), []);
  task.recorded = { kind: "done" };
  assert.deepEqual(dispatcher.forgetCommands(machine), [{ op: "forget", task: task.name, attempt: 1 }]);
});

test("pending stops come first, are never cut off, and are not sent twice", () => {
  const { machine, task, dispatcher } = setUp();
  const pendingStops = Array.from(
    { length: 300 },
    (_, at) => ({ op: "stop", task: `wk-9/${at}`, attempt: 1, graceS: 0 }) as const,
  );
  task.state = "running";
  task.job.cancelled = true;
  machine.reported.unexpectedTasks = new Map([["wk-9/7", 1]]);
  const own = { op: "stop", task: task.name, attempt: 1, graceS: 0 } as const;
  assert.deepEqual(dispatcher.repeatableCommands(machine, pendingStops), pendingStops);
  assert.deepEqual(dispatcher.repeatableCommands(machine, [own]), [
    own,
    { op: "stop", task: "wk-9/7", attempt: 1, graceS: 0 },
  ]);
  assert.deepEqual(dispatcher.repeatableCommands(machine, pendingStops.slice(5, 10)), [
    ...pendingStops.slice(5, 10),
    own,
  ]);
});

test("a new leader does not restart restored tasks beyond their team's limit", () => {
  // The ends of one job's tasks were not on record yet, but the placements of the tasks that replaced them were: after
  // an outage and a failover all of them were started, and the team exceeded its limit (random day 2297).
  const { shard, context, taskStates } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const job = shard.addJob({ ...JOB_SPEC, team: "capped", tasks: 6 }, 1, false);
  const records = Array.from({ length: 6 }, () => [1, machine.name]);
  shard.restoreTaskRange(job, 0, 1, { t: records }, 65_535);
  // The limit allows four tasks of 4 CPUs.
  assert.equal(shard.teamUsage("capped").cpu, 24_000);
  new HeartbeatProcessor(context, taskStates).process(machine, makeHeartbeat({ sequence: 2 }), { kind: "heartbeat" });
  assert.equal(shard.teamUsage("capped").cpu, 16_000);
  assert.deepEqual([job.placedTasks.size, job.waitingTasks.size], [4, 2]);
});

test("a new leader does not restart a restored task in a zone that its job's other tasks rule out", () => {
  // Task ranges of a large job are written one by one, so a new leader may restore them from different times: from the
  // older range all tasks were in the east, from the newer one they are in the west.
  for (const rule of [{ singleZone: true }, { spread: true, shape: "service" as const }]) {
    const { shard, context, taskStates } = makeShard(2);
    const [east, west] = [...shard.machines.values()] as [Machine, Machine];
    const job = shard.addJob({ ...JOB_SPEC, ...rule, tasks: 130, demand: { cpu: 100, gpu: 0, ram: 1 } }, 1, false);
    const at = (machine: Machine, count: number) => ({ t: Array.from({ length: count }, () => [1, machine.name]) });
    // Spread evenly over both zones, except for the second range.
    const first = "singleZone" in rule ? at(west, 128) : { t: [...at(east, 65).t, ...at(west, 63).t] };
    shard.restoreTaskRange(job, 0, 1, first, 65_535);
    shard.restoreTaskRange(job, 1, 1, at(east, 2), 65_535);
    const heartbeats = new HeartbeatProcessor(context, taskStates);
    heartbeats.process(east, makeHeartbeat({ sequence: 2 }), { kind: "heartbeat" });
    const inEast = [...job.placedTasks].filter(({ machine }) => machine === east).length;
    assert.equal(inEast, "singleZone" in rule ? 0 : 65);
  }
});
