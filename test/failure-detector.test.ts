import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureDetector } from "../src/coordination/workers/failure-detector.js";
import { S } from "../src/model/index.js";
import type { Micros } from "../src/transport/clock.js";
import { makeShard, nothing } from "./shard-fixtures.js";

test("a zone that has come down to one machine while questions there were open does not count as cut off for ever", () => {
  // It was rented nothing for 370 s: of fewer than three machines nobody was asked again, so no answer could end it.
  const { world, shard, context } = makeShard(7);
  Object.assign(context, { cache: { freshAsOf: null }, eventListener: null, workerPathChangedAt: () => null });
  const autoscaler = {
    unreachableZones: new Set<string>() as ReadonlySet<string>,
    deleteMachines: async () => undefined,
  };
  const failureDetector = new FailureDetector({
    context,
    autoscaler,
    commands: { queryStatus: async () => undefined, send: async () => undefined },
    heartbeats: { leaseExpired: nothing },
    unreachableZones: { unansweredSince: () => null, markUnreachable: nothing },
    guard: async () => undefined,
    onUnreachable: async () => undefined,
  });
  const [east, west] = ["east", "west"].map((zone) => [...shard.machines.values()].filter((m) => m.zone === zone));
  assert.ok(east?.length === 4 && west?.length === 3);
  /** All are heard; in the west nobody answers. */
  const pass = (seconds: number): void => {
    for (let step = 0; step < seconds * 4; step += 1) {
      world.now += S / 4;
      const now = context.clock.now();
      for (const machine of shard.machines.values()) machine.reachability.lastHeartbeatAt = now;
      for (const machine of east) machine.reachability.lastResponseAt = now;
      failureDetector.checkSilence();
    }
  };
  for (const machine of west) machine.reachability.consecutiveTimeouts = 1;
  pass(12);
  assert.deepEqual([...autoscaler.unreachableZones], ["west"]);
  for (const { name } of west.slice(1)) shard.machines.delete(name);
  for (const machine of west)
    Object.assign(machine.reachability, { consecutiveTimeouts: 0, lastResponseAt: 0 as Micros });
  pass(5);
  assert.deepEqual([...autoscaler.unreachableZones], []);
});
