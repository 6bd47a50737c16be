/**
 * Start commands that were sent and are not to be repeated, because the job is cancelled, the task is to be stopped, or
 * the machine is being emptied.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import type { Task } from "../src/cluster/task.js";
import { CommandDispatcher } from "../src/coordination/workers/command-dispatcher.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import { countUncertainStarts } from "../src/coordination/workers/start-commands.js";
import type { Micros } from "../src/transport/clock.js";
import { makeHeartbeat, makeShard, placeTask } from "./shard-fixtures.js";

const HEARTBEAT = { kind: "heartbeat" } as const;

/** The ways in which a start command that was sent comes not to be repeated. */
const REVOCATIONS: Readonly<Record<string, (task: Task, machine: Machine) => void>> = {
  "its job is cancelled": ({ job }) => {
    job.cancelled = true;
  },
  "it is to be stopped": (task) => {
    task.stopRequest = { graceS: 0 };
  },
  "its machine is emptied to be returned": (_, { lifecycle }) => {
    lifecycle.drainReason = "scale-in";
  },
  "its machine has a reclaim notice": (_, { lifecycle }) => {
    lifecycle.reclaimAt = 90_000_000 as Micros;
  },
};

/** A task whose start command was sent in the response to a heartbeat, and its machine. */
const setUpSentStart = () => {
  const { shard, context, taskStates } = makeShard(1);
  const machine = [...shard.machines.values()][0] as Machine;
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  const dispatcher = new CommandDispatcher(context, heartbeats, { end: () => false });
  heartbeats.process(machine, makeHeartbeat({ sequence: 1 }), HEARTBEAT);
  const task = placeTask(shard, machine);
  assert.deepEqual(dispatcher.startsForResponse(machine), [{ op: "start", task: task.name, attempt: 1 }]);
  return { shard, context, machine, heartbeats, dispatcher, task };
};

// Without these counts the log could not tell a task that runs from one whose start was lost and is not sent again.
test("the summary counts the tasks whose start is not known to be executed, and those whose start is not repeated", () => {
  for (const [way, revoke] of Object.entries(REVOCATIONS)) {
    const { shard, machine, heartbeats, task } = setUpSentStart();
    const machines = [...shard.machines.values()];
    assert.deepEqual(countUncertainStarts(machines), { uncertain: 1, revoked: 0 });
    revoke(task, machine);
    assert.deepEqual(countUncertainStarts(machines), { uncertain: 1, revoked: 1 }, way);
    const listed = { task: task.name, attempt: 1, state: "running", reason: null } as const;
    heartbeats.process(machine, makeHeartbeat({ sequence: 2, tasks: [listed] }), HEARTBEAT);
    assert.deepEqual(countUncertainStarts(machines), { uncertain: 0, revoked: 0 });
  }
});
