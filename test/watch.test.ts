import assert from "node:assert/strict";
import { test } from "node:test";
import { Watch } from "../src/coordination/watch.js";
import { S } from "../src/model/index.js";
import type { Micros } from "../src/transport/clock.js";
import { makeBlock, nothing } from "./block-fixtures.js";

test("a zone that has come down to one machine while questions there were open does not count as cut off for ever", () => {
  // It was rented nothing for 370 s: of fewer than three machines nobody was asked again, so no answer could end it.
  const { world, block, context } = makeBlock(7);
  Object.assign(context, { view: { freshAt: null }, sink: null, deafChangedAt: () => null });
  const rental = { cutZones: new Set<string>() as ReadonlySet<string>, remove: async () => undefined };
  const watch = new Watch({
    context,
    rental,
    commander: { inquire: async () => undefined, send: async () => undefined },
    observer: { lost: nothing },
    silences: { answeredBefore: () => null, cut: nothing },
    guard: async () => undefined,
    onDeaf: async () => undefined,
  });
  const [east, west] = ["east", "west"].map((zone) => [...block.machines.values()].filter((m) => m.zone === zone));
  assert.ok(east?.length === 4 && west?.length === 3);
  /** All are heard; in the west nobody answers. */
  const pass = (seconds: number): void => {
    for (let tick = 0; tick < seconds * 4; tick += 1) {
      world.now += S / 4;
      const now = context.clock.now();
      for (const machine of block.machines.values()) machine.lastHeard = now;
      for (const machine of east) machine.reach.answeredAt = now;
      watch.silence();
    }
  };
  for (const machine of west) machine.reach.unanswered = 1;
  pass(12);
  assert.deepEqual([...rental.cutZones], ["west"]);
  for (const { name } of west.slice(1)) block.machines.delete(name);
  for (const machine of west) Object.assign(machine.reach, { unanswered: 0, answeredAt: 0 as Micros });
  pass(5);
  assert.deepEqual([...rental.cutZones], []);
});
