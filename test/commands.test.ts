import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../src/bookkeeping/picture.js";
import { Commander } from "../src/coordination/commander.js";
import { Observer } from "../src/coordination/observer.js";
import { makeBlock, placedTask } from "./block-fixtures.js";

const scene = () => {
  const { block, context, recorder } = makeBlock(1);
  const machine = [...block.machines.values()][0] as Machine;
  const task = placedTask(block, machine);
  return { machine, task, commander: new Commander(context, new Observer(context, recorder)) };
};

test("an attempt that has ended is forgotten only once its end is on record", () => {
  // Forgotten before, its end would be known to nobody once the holder ends: the next one would start it again.
  const { machine, task, commander } = scene();
  machine.exited = new Map([[task.name, 1]]);
  machine.launchFence = -1;
  task.want = { kind: "done" };
  assert.deepEqual(commander.forgets(machine), []);
  task.durable = { kind: "done" };
  assert.deepEqual(commander.forgets(machine), [{ op: "forget", task: task.name, attempt: 1 }]);
});

test("stops owed go first, are never cut off, and are not said twice", () => {
  const { machine, task, commander } = scene();
  const owed = Array.from(
    { length: 300 },
    (_, at) => ({ op: "stop", task: `wk-9/${at}`, attempt: 1, graceS: 0 }) as const,
  );
  task.state = "running";
  task.job.cancelled = true;
  machine.strays = new Map([["wk-9/7", 1]]);
  const own = { op: "stop", task: task.name, attempt: 1, graceS: 0 } as const;
  assert.deepEqual(commander.standing(machine, owed), owed);
  assert.deepEqual(commander.standing(machine, [own]), [own, { op: "stop", task: "wk-9/7", attempt: 1, graceS: 0 }]);
  assert.deepEqual(commander.standing(machine, owed.slice(5, 10)), [...owed.slice(5, 10), own]);
});
