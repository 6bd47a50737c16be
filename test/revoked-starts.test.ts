/**
 * Start commands that were sent and are not to be repeated, because the job is cancelled, the task is to be stopped, or
 * the machine is being emptied (docs/incidents/lost-start-of-cancelled-job.md).
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import type { Task } from "../src/cluster/task.js";
import { responseTokenOf } from "../src/coordination/fencing-token.js";
import { CommandDispatcher } from "../src/coordination/workers/command-dispatcher.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import { countUncertainStarts } from "../src/coordination/workers/start-commands.js";
import type { Micros } from "../src/transport/clock.js";
import { makeHeartbeat, makeShard, placeTask } from "./shard-fixtures.js";
import { ACTIONS, explore, PREFIXES, Scenario } from "./sim/event-orders.js";

const HEARTBEAT = { kind: "heartbeat" } as const;
const FIRST_TOKEN = 65_536;
/** Events per order; RAINRIDGE_DEPTH=4 explores deeper in a manual run. */
const DEPTH = Number(process.env.RAINRIDGE_DEPTH ?? 3);

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

/** A heartbeat that lists no task; the reclaim notice is one only while heartbeats carry it. */
const emptyHeartbeat = (machine: Machine, sequence: number, token = FIRST_TOKEN) =>
  makeHeartbeat({ sequence, token, reclaimNoticeS: machine.lifecycle.reclaimAt === null ? null : 60 });

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

for (const [way, revoke] of Object.entries(REVOCATIONS)) {
  // Guards against a lost start that holds its machine's capacity and its team's limit until the leader changes: no
  // response repeated it, and no token above its own was shown, which alone proves it lost.
  test(`a start that was lost with its response is resolved by the next two heartbeats if ${way}`, () => {
    const { shard, context, machine, heartbeats, dispatcher, task } = setUpSentStart();
    revoke(task, machine);
    heartbeats.process(machine, emptyHeartbeat(machine, 2), HEARTBEAT);
    assert.equal(task.machine, machine, "the start may still be executed");
    assert.deepEqual(dispatcher.startsForResponse(machine), []);
    const token = responseTokenOf(context.lease, machine);
    heartbeats.process(machine, emptyHeartbeat(machine, 3, token), HEARTBEAT);
    dispatcher.applyEvictions(machine);
    assert.equal(task.machine, null);
    assert.deepEqual(machine.load.used, { cpu: 0, gpu: 0, ram: 0 });
    assert.equal(shard.teamUsage(task.job.spec.team).cpu, 0);
  });

  // Guards against using up the tokens of a machine that no response reaches.
  test(`the token is raised once for a lost start, however many responses are lost, if ${way}`, () => {
    const { context, machine, heartbeats, dispatcher, task } = setUpSentStart();
    const startToken = responseTokenOf(context.lease, machine);
    revoke(task, machine);
    for (let sequence = 2; sequence < 9; sequence += 1) {
      heartbeats.process(machine, emptyHeartbeat(machine, sequence), HEARTBEAT);
      dispatcher.startsForResponse(machine);
    }
    assert.equal(responseTokenOf(context.lease, machine), startToken + 1);
    assert.equal(task.machine, machine, "nothing shows that the worker rejects the start");
  });

  // Guards against a leader that knows of no token above that of a lost start, whatever the messages before were.
  test(`after every order of ${DEPTH} events it is soon known whether a start was executed if ${way}`, async () => {
    const { runs, fault } = await explore(
      DEPTH,
      () => new Scenario(),
      (scenario) => scenario.settle(revoke),
    );
    assert.equal(fault, null);
    assert.equal(runs, PREFIXES.length * ACTIONS.length ** DEPTH);
  });
}

// Guards against a start whose response carried a probe token, one above the machine's own: a single raise equals it.
test("a start that was lost with a probe token is resolved under a token above the probe's", () => {
  const { context, machine, heartbeats, dispatcher, task } = setUpSentStart();
  machine.reachability.probeToken = responseTokenOf(context.lease, machine) + 1;
  dispatcher.startsForResponse(machine);
  const probeToken = responseTokenOf(context.lease, machine);
  task.job.cancelled = true;
  heartbeats.process(machine, emptyHeartbeat(machine, 2), HEARTBEAT);
  dispatcher.startsForResponse(machine);
  const token = responseTokenOf(context.lease, machine);
  assert.ok(token > probeToken, `${token} is not above ${probeToken}`);
  heartbeats.process(machine, emptyHeartbeat(machine, 3, token), HEARTBEAT);
  assert.equal(task.machine, null);
});

// Guards against taking a revoked start for lost that the worker has executed before it saw the raised token.
test("a revoked start that was executed after all is stopped", () => {
  const { machine, heartbeats, dispatcher, task } = setUpSentStart();
  task.job.cancelled = true;
  heartbeats.process(machine, emptyHeartbeat(machine, 2), HEARTBEAT);
  dispatcher.startsForResponse(machine);
  const listed = { task: task.name, attempt: 1, state: "running", reason: null } as const;
  heartbeats.process(machine, makeHeartbeat({ sequence: 3, tasks: [listed] }), HEARTBEAT);
  assert.equal(task.machine, machine);
  assert.deepEqual(dispatcher.repeatableCommands(machine), [{ op: "stop", task: task.name, attempt: 1, graceS: 0 }]);
});
