import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureDetector } from "../src/coordination/workers/failure-detector.js";
import { S } from "../src/model/index.js";
import type { Micros } from "../src/transport/clock.js";
import { makeShard, noop } from "./shard-fixtures.js";

test("a zone that shrinks to one machine while queries to it are unanswered does not stay cut off for ever", () => {
  // Zones with fewer than three machines are not queried, so no reply could end an open query, and no machines were
  // provisioned in the zone for 370 s.
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
    unreachableZones: { markUnreachable: noop },
    guard: async () => undefined,
    onUnreachable: async () => undefined,
  });
  const [east, west] = ["east", "west"].map((zone) => [...shard.machines.values()].filter((m) => m.zone === zone));
  assert.ok(east?.length === 4 && west?.length === 3);
  /** Advances time: all machines send heartbeats, and those in the zone `west` do not answer queries. */
  const advance = (seconds: number): void => {
    for (let step = 0; step < seconds * 4; step += 1) {
      world.now += S / 4;
      const now = context.clock.now();
      for (const machine of shard.machines.values()) machine.reachability.lastHeartbeatAt = now;
      for (const machine of east) machine.reachability.lastResponseAt = now;
      failureDetector.checkSilence();
    }
  };
  for (const machine of west) machine.reachability.consecutiveTimeouts = 1;
  advance(12);
  assert.deepEqual([...autoscaler.unreachableZones], ["west"]);
  for (const { name } of west.slice(1)) shard.machines.delete(name);
  for (const machine of west)
    Object.assign(machine.reachability, { consecutiveTimeouts: 0, lastResponseAt: 0 as Micros });
  advance(5);
  assert.deepEqual([...autoscaler.unreachableZones], []);
});
