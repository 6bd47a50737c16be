import assert from "node:assert/strict";
import { test } from "node:test";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import type { Micros } from "../src/transport/clock.js";
import { makeHeartbeat, makeShard, noop, placeTask } from "./shard-fixtures.js";
import { DirectStartDispatcher } from "./sim/direct-start-dispatcher.js";

test("a start command without a response still counts as in flight when its retry is not sent", async () => {
  const { shard, context, taskStates } = makeShard(1, [{ kind: "lost" }, { kind: "unsent" }]);
  const machine = [...shard.machines.values()][0];
  assert.ok(machine !== undefined);
  const task = placeTask(shard, machine);
  const heartbeats = new HeartbeatProcessor(context, taskStates);
  shard.unconfirmedStarts.add(task);
  const commands = new DirectStartDispatcher(context, heartbeats);
  await commands.send(machine);
  assert.equal(task.startCommand.kind, "uncertain");
  machine.commands.nextRequestAt = 0 as Micros;
  await commands.send(machine);
  // When it counted as not sent, the task was placed elsewhere while the first command could still be delivered here.
  assert.equal(task.startCommand.kind, "uncertain");
});

test("a worker's lease counts in full from its first heartbeat", async () => {
  const { world, shard, context, taskStates } = makeShard(1);
  const machine = [...shard.machines.values()][0];
  assert.ok(machine !== undefined);
  machine.state = "booting";
  machine.counters.incarnation = null;
  await world.run(20_000_000, noop);
  new HeartbeatProcessor(context, taskStates).process(machine, makeHeartbeat(), { kind: "heartbeat" });
  // Counted from its provisioning, the lease would count as expired long before the worker stops its tasks.
  assert.equal(machine.lease.renewedAt, context.clock.now());
});
