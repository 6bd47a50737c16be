/**
 * Late delivery of direct start commands, which only leaders of the previous version send. In the explorations here,
 * all leaders run that version.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import type { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import type { Heartbeat } from "../src/protocol/worker.js";
import {
  ACTIONS,
  type Action,
  explore,
  type HeartbeatWrapper,
  PREFIXES,
  runOrder,
  Scenario,
} from "./sim/event-orders.js";

for (const [name, onRecord] of [
  ["a start of an earlier leader", "up to date"],
  ["a start of an earlier leader that is not on record", "none"],
] as const) {
  test(`in every order of events, ${name} runs no task twice after a reset of the worker's counters, under leaders of the previous version`, async () => {
    const lateStarts = { inherited: true, answered: false };
    const { fault } = await explore(4, () => new Scenario(undefined, lateStarts, onRecord, "all leaders"));
    assert.equal(fault, null);
  });
}

test("the exploration detects a copy of an answered direct start that is executed after a reset of the worker's counters", async () => {
  const lateStarts = { inherited: false, answered: true };
  const { fault } = await explore(4, () => new Scenario(undefined, lateStarts, "up to date", "all leaders"));
  assert.match(fault ?? "nothing found", /runs on a machine that it was released from/);
});

test("in every order of events, no task is released that runs or may still run on its machine, under leaders of the previous version", async () => {
  const { runs, fault } = await explore(3, () => new Scenario(undefined, undefined, undefined, "all leaders"));
  assert.equal(fault, null);
  assert.equal(runs, PREFIXES.length * ACTIONS.length ** 3);
});

/**
 * Creates scenarios in which `alter` may change the machine's state before each message is processed. All leaders start
 * tasks by direct commands. If `alter` returns null, the source of the message stays as it is.
 */
const variantWith =
  (alter: (machine: Machine, heartbeat: Heartbeat) => Parameters<HeartbeatProcessor["process"]>[2] | null) =>
  (): Scenario => {
    const wrapHeartbeats: HeartbeatWrapper = (heartbeats, knownMachine) => {
      const process = heartbeats.process.bind(heartbeats);
      heartbeats.process = (machine, heartbeat, source) =>
        process(machine, heartbeat, alter(knownMachine, heartbeat) ?? source);
      return heartbeats;
    };
    return new Scenario(wrapHeartbeats, undefined, undefined, "all leaders");
  };

const FAULTY_VARIANTS: Readonly<Record<string, () => Scenario>> = {
  "an unanswered start counts as lost once a higher token is shown": variantWith((machine) => {
    for (const task of machine.tasks) task.unansweredStartAt = null;
    return null;
  }),
  "delayed copies of heartbeats count as current": variantWith((machine) => {
    machine.counters.verified = true;
    return null;
  }),
  "an unanswered start counts as lost at the next heartbeat": variantWith((machine) => {
    for (const task of machine.tasks)
      if (task.startCommand.kind === "uncertain")
        Object.assign(task, { startCommand: { kind: "uncertain", token: -1 }, unansweredStartAt: null });
    return null;
  }),
  "reset counters are trusted without fencing": variantWith((machine) => {
    machine.counters.resetToken = 0;
    for (const task of machine.tasks)
      if (task.startCommand.kind === "uncertain") task.startCommand = { kind: "uncertain", token: -1 };
    return null;
  }),
  "attempts are forgotten without a token above that of their start": () =>
    new Scenario(undefined, undefined, undefined, "all leaders", (dispatcher, machine) =>
      dispatcher.forgetTooEarly(machine),
    ),
};

for (const [name, createScenario] of Object.entries(FAULTY_VARIANTS)) {
  test(`the exploration detects the fault if ${name}`, async () => {
    const { fault } = await explore(4, createScenario);
    assert.match(fault ?? "nothing found", /runs on a machine that it was released from/);
  });
}

/**
 * A faulty variant: the leader sends direct starts even for tasks whose starts are on record as answered, while the
 * next leader still relies on that record after a failover.
 */
const startingDirectlyDespiteRecord = (): Scenario => {
  const wrapHeartbeats: HeartbeatWrapper = (heartbeats, machine, shard) => {
    const process = heartbeats.process.bind(heartbeats);
    heartbeats.process = (...message) => {
      const freshness = process(...message);
      for (const task of machine.tasks) shard.unconfirmedStarts.add(task);
      return freshness;
    };
    return heartbeats;
  };
  return new Scenario(wrapHeartbeats, undefined, undefined, "all leaders");
};

// Shows why a task whose starts are on record as answered must not be started directly: the next leader would release
// it although a delayed start command may still run it.
const RESTART_ORDER: readonly Action[] = [
  ...[
    "heartbeat",
    "heartbeat",
    "command",
    "counters reset",
    "status query",
    "heartbeat",
    "heartbeat",
    "command delayed",
  ],
  ...["failover", "heartbeat", "stop requested", "heartbeat", "counters reset", "delayed command delivered"],
] as readonly Action[];

test("a task whose starts are on record as answered is started again by responses to heartbeats only", async () => {
  assert.equal(await runOrder(new Scenario(), RESTART_ORDER), null);
  const underPreviousVersion = new Scenario(undefined, undefined, undefined, "all leaders");
  assert.equal(await runOrder(underPreviousVersion, RESTART_ORDER), null);
  assert.match(
    (await runOrder(startingDirectlyDespiteRecord(), RESTART_ORDER)) ?? "nothing found",
    /runs on a machine that it was released from/,
  );
});
