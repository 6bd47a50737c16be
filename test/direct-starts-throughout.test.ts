/** Direct start commands may be delivered late: leaders of the previous version only, which send them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/cluster/machine.js";
import type { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import type { Heartbeat } from "../src/protocol/worker.js";
import {
  ACTIONS,
  type Action,
  BEGINNINGS,
  explore,
  type HeartbeatWrapper,
  Play,
  playOrder,
} from "./sim/event-orders.js";

for (const [name, onRecord] of [
  ["a start of an earlier leader", "up to date"],
  ["a start of an earlier leader that is not on record", "none"],
] as const) {
  test(`in every order of events, ${name} runs no task twice after a reset of the worker's counters, under leaders of the previous version`, async () => {
    const delivers = { inherited: true, answered: false };
    const { broken } = await explore(4, () => new Play(undefined, delivers, onRecord, "all leaders"));
    assert.equal(broken, null);
  });
}

test("the exploration detects a copy of an answered direct start that is executed after a reset of the worker's counters", async () => {
  const delivers = { inherited: false, answered: true };
  const { broken } = await explore(4, () => new Play(undefined, delivers, "up to date", "all leaders"));
  assert.match(broken ?? "nothing found", /runs where it was called gone/);
});

test("in every order of events, no task is released that runs or may still run on its machine, under leaders of the previous version", async () => {
  const { plays, broken } = await explore(3, () => new Play(undefined, undefined, undefined, "all leaders"));
  assert.equal(broken, null);
  assert.equal(plays, BEGINNINGS.length * ACTIONS.length ** 3);
});

/** Alters machine state before each message is processed, under leaders that start tasks by direct commands. */
const variant =
  (alter: (machine: Machine, said: Heartbeat) => Parameters<HeartbeatProcessor["process"]>[2] | null) => (): Play => {
    const believe: HeartbeatWrapper = (heartbeats, known) => {
      const observe = heartbeats.process.bind(heartbeats);
      heartbeats.process = (machine, said, source) => observe(machine, said, alter(known, said) ?? source);
      return heartbeats;
    };
    return new Play(believe, undefined, undefined, "all leaders");
  };

const BROKEN: Readonly<Record<string, () => Play>> = {
  "an unanswered start counts as lost once a higher token is shown": variant((machine) => {
    for (const task of machine.tasks) task.unansweredStartAt = null;
    return null;
  }),
  "delayed copies of heartbeats count as current": variant((machine) => {
    machine.counters.verified = true;
    return null;
  }),
  "an unanswered start counts as lost at the next heartbeat": variant((machine) => {
    for (const task of machine.tasks)
      if (task.startCommand.kind === "uncertain")
        Object.assign(task, { startCommand: { kind: "uncertain", token: -1 }, unansweredStartAt: null });
    return null;
  }),
  "reset counters are trusted without fencing": variant((machine) => {
    machine.counters.resetToken = 0;
    for (const task of machine.tasks)
      if (task.startCommand.kind === "uncertain") task.startCommand = { kind: "uncertain", token: -1 };
    return null;
  }),
  "attempts are forgotten without a token above that of their start": () =>
    new Play(undefined, undefined, undefined, "all leaders", (dispatcher, machine) =>
      dispatcher.forgetTooEarly(machine),
    ),
};

for (const [name, make] of Object.entries(BROKEN)) {
  test(`the exploration detects the fault if ${name}`, async () => {
    const { broken } = await explore(4, make);
    assert.match(broken ?? "nothing found", /runs where it was called gone/);
  });
}

/** Sends direct starts regardless of the record, but still relies on the record at each failover. */
const startingDirectly = (): Play => {
  const believe: HeartbeatWrapper = (heartbeats, machine, shard) => {
    const process = heartbeats.process.bind(heartbeats);
    heartbeats.process = (...message) => {
      const freshness = process(...message);
      for (const task of machine.tasks) shard.unconfirmedStarts.add(task);
      return freshness;
    };
    return heartbeats;
  };
  return new Play(believe, undefined, undefined, "all leaders");
};

// Guards against a direct start of a task whose starts are on record as answered, which the next leader would not hold.
const STARTED_AGAIN: readonly Action[] = [
  ...["report", "report", "command", "counters reset", "ask", "report", "report", "command late"],
  ...["failover", "report", "to be stopped", "report", "counters reset", "late command lands"],
] as readonly Action[];

test("a task whose starts are on record as answered is started again by responses to heartbeats only", async () => {
  assert.equal(await playOrder(new Play(), STARTED_AGAIN), null);
  const underOlderLeaders = new Play(undefined, undefined, undefined, "all leaders");
  assert.equal(await playOrder(underOlderLeaders, STARTED_AGAIN), null);
  assert.match(
    (await playOrder(startingDirectly(), STARTED_AGAIN)) ?? "nothing found",
    /runs where it was called gone/,
  );
});
