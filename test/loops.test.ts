import assert from "node:assert/strict";
import { test } from "node:test";
import type { ShardContext } from "../src/coordination/context.js";
import type { TaskStateWriter } from "../src/coordination/jobs/task-state-writer.js";
import { Scheduler } from "../src/coordination/scheduling/scheduler.js";
import { CommandDispatcher } from "../src/coordination/workers/command-dispatcher.js";
import { HeartbeatProcessor } from "../src/coordination/workers/heartbeat-processor.js";
import { HostClock, World } from "../src/model/index.js";
import type { JobSpec } from "../src/protocol/job-spec.js";
import type { KeyValueStore } from "../src/storage/key-value-store.js";
import { TransactionBatcher } from "../src/storage/transaction-batcher.js";
import { WatchCache } from "../src/storage/watch-cache.js";
import type { Micros } from "../src/transport/clock.js";
import { makeBlock, nothing, placedTask, quiet, report, SPEC } from "./block-fixtures.js";

test("a start that got no answer still counts as under way when the next try never leaves", async () => {
  const { block, context, recorder } = makeBlock(1, [{ kind: "lost" }, { kind: "unsent" }]);
  const machine = [...block.machines.values()][0];
  assert.ok(machine !== undefined);
  const task = placedTask(block, machine);
  const heartbeats = new HeartbeatProcessor(context, recorder);
  const commands = new CommandDispatcher(context, heartbeats);
  await commands.send(machine);
  assert.equal(task.startCommand.kind, "uncertain");
  machine.commands.nextAt = 0 as Micros;
  await commands.send(machine);
  // Taken for gone, it was placed elsewhere while the first command could still land here.
  assert.equal(task.startCommand.kind, "uncertain");
});

test("a worker that answers before its first report was answered has a whole lease", async () => {
  const { world, block, context, recorder } = makeBlock(1);
  const machine = [...block.machines.values()][0];
  assert.ok(machine !== undefined);
  machine.state = "booting";
  machine.counters.incarnation = null;
  await world.run(20_000_000, nothing);
  new HeartbeatProcessor(context, recorder).process(machine, report(), { kind: "heartbeat" });
  // From when it was rented, its lease would be taken for over long before the worker ends anything.
  assert.equal(machine.lease.renewedAt, context.clock.now());
});

test("whoever is told of a key read in a list can see all the others", async () => {
  const world = new World();
  const clock = new HostClock(world, 1, 0);
  const keys = ["c/block/0", "c/job/wk-1", "c/range/wk-1/0"];
  const entries = keys.map((key) => ({ key, value: {}, version: 5 }));
  const store = {
    list: async () => ({ kind: "ok", value: { entries, revision: 5 } }),
    watch: () => new Promise(() => undefined),
  } as unknown as KeyValueStore;
  const cache = new WatchCache({
    store,
    prefix: "c/",
    clock,
    log: quiet,
    watchInterval: 1_000 as Micros,
    syncInterval: 1_000 as Micros,
  });
  const seen: number[] = [];
  cache.onChange(() => seen.push(cache.entries.size));
  void cache.run();
  await world.run(1_000, nothing);
  assert.deepEqual(seen, [3, 3, 3]);
});

test("three controllers whose batches are refused get through with all they have to write", async () => {
  const world = new World();
  let tokens = 30;
  let last = 0;
  let written = 0;
  // Refuses like a service that counts what it refuses, too: batches sent at once and again starved each other.
  const store = {
    budget: { requestsPerS: 100, writesPerS: 21, writesPerTransaction: 24 },
    transact: async (_: unknown, writes: readonly unknown[]) => {
      tokens = Math.min(30, tokens + ((world.now - last) / 1_000_000) * 30) - writes.length;
      last = world.now;
      if (tokens < 0) {
        tokens = Math.max(tokens, -60);
        return { kind: "busy" };
      }
      written += writes.length;
      return { kind: "ok", version: 1 };
    },
  } as unknown as KeyValueStore;
  const clock = new HostClock(world, 1, 0);
  const committers = [0, 1, 2].map((at) => new TransactionBatcher(store, clock, () => (at + 1) / 4));
  let refused = 0;
  for (let count = 0; count < 300; count += 1) {
    const send = (tries: number): void => {
      const key = `c/job/wk-${count}`;
      void committers[count % 3]?.submit(new Map([[key, 0]]), [{ kind: "put", key, value: {} }]).then((result) => {
        if (result.kind === "ok") return;
        refused += 1;
        if (tries > 0) clock.after(1_000_000 as Micros, () => send(tries - 1));
      });
    };
    send(10);
  }
  await world.run(30_000_000, nothing);
  assert.equal(written, 300, `${refused} refused`);
});

/** Ten writes a second, five a transaction, all of which succeed. */
const tightCommitter = () => {
  const world = new World();
  const store = {
    budget: { requestsPerS: 100, writesPerS: 10, writesPerTransaction: 5 },
    transact: async () => ({ kind: "ok", version: 1 }),
  } as unknown as KeyValueStore;
  return { world, committer: new TransactionBatcher(store, new HostClock(world, 1, 0), () => 0.5) };
};

test("a cancellation does not wait for the submissions that came before it", async () => {
  const { world, committer } = tightCommitter();
  const done: string[] = [];
  const write = (key: string, urgency: "cancellation" | "user"): void => {
    void committer.submit(new Map([[key, 0]]), [{ kind: "put", key, value: {} }], urgency).then(() => done.push(key));
  };
  for (let count = 0; count < 60; count += 1) write(`c/job/wk-${count}`, "user");
  write("c/job/wk-old", "cancellation");
  await world.run(500_000, nothing);
  assert.ok(done.includes("c/job/wk-old"));
  assert.ok(done.length < 40, `${done.length} written within the budget`);
});

test("a start does not wait for what has ended, unless both are in one record", async () => {
  const { world, committer } = tightCommitter();
  const done: string[] = [];
  const write = (key: string, urgency: "deferred" | "normal"): void => {
    void committer
      .submitDeferred(new Map([[key, 0]]), [key], () => [{ kind: "put", key, value: {} }], urgency)
      .then(() => done.push(key));
  };
  for (let count = 0; count < 200; count += 1) write(`c/range/wk-${count}/0`, "deferred");
  await world.run(100_000, nothing);
  write("c/range/wk-new/0", "normal");
  // The range of a note that still waits is to take a placement: one write carries both, and it is waited for now.
  committer.promote("c/range/wk-190/0", "normal");
  committer.promote("c/range/wk-none/0", "normal");
  await world.run(900_000, nothing);
  assert.ok(done.includes("c/range/wk-new/0"));
  assert.ok(done.includes("c/range/wk-190/0"));
  assert.ok(done.length < 40, `${done.length} written within the budget`);
  await world.run(40_000_000, nothing);
  assert.equal(new Set(done).size, 201);
  assert.equal(done.length, 201);
});

test("rounds place no further ahead than records can be written, whatever else waits for the same writes", () => {
  const { block, context, recorder } = makeBlock(200);
  const marked: string[] = [];
  const scheduler = new Scheduler(
    // Ten writes a second, and hundreds of ends of jobs waiting.
    {
      ...context,
      transactions: { ...context.transactions, writesPerSecond: 10, pendingCount: () => 500 },
    } as unknown as ShardContext,
    {
      ...recorder,
      recordPlacement: (range: { placementPendingSince: Micros | null; job: { spec: JobSpec } }) => {
        if (range.placementPendingSince === null) marked.push(range.job.spec.id);
        range.placementPendingSince = context.clock.now();
      },
    } as unknown as TaskStateWriter,
  );
  for (let at = 0; at < 60; at += 1) block.addJob({ ...SPEC, id: `wk-${at}`, tasks: 20 }, 1, false);
  scheduler.runRound();
  assert.equal(marked.length, 20, "two seconds' writes");
  // Each of them whole: the fewer writes, the more tasks they carry.
  assert.ok(marked.every((id) => block.jobs.get(id)?.placedTasks.size === 20));
  scheduler.runRound();
  assert.equal(marked.length, 20, "nothing more until some are written");
  for (const id of marked.slice(0, 5))
    for (const range of block.jobs.get(id)?.ranges ?? []) range.placementPendingSince = null;
  scheduler.runRound();
  assert.equal(marked.length, 25);
});

test("what a round looks at grows with machines and tasks, not with their product", () => {
  const { block, context, recorder } = makeBlock(1_500);
  for (let at = 0; at < 100; at += 1) {
    const service = at % 4 === 0;
    block.addJob(
      {
        ...SPEC,
        id: `wk-${at}`,
        tasks: service ? 9 : 150,
        image: `img-${at % 5}`,
        ...(service ? { shape: "service", spot: false, spread: true, demand: { cpu: 1_000, gpu: 0, ram: 2_000 } } : {}),
      },
      1,
      false,
    );
  }
  const scheduler = new Scheduler(context, recorder);
  scheduler.runRound();
  const placed = [...block.jobs.values()].reduce((sum, job) => sum + job.placedTasks.size, 0);
  assert.ok(placed > 10_000, `${placed} placed`);
  // Each task on each machine would be 17 million.
  assert.ok(scheduler.inspection.count < 1_500_000, `${scheduler.inspection.count} looked at`);
  const before = scheduler.inspection.count;
  scheduler.runRound();
  const idle = scheduler.inspection.count - before;
  assert.ok(idle < 100_000, `${idle} looked at in a round with nothing to place`);
});

test("urgent starts go before a swarm's, and whatever waits too long gets a turn", async () => {
  const { world, committer } = tightCommitter();
  const at = new Map<string, number>();
  const write = (key: string, urgency: "user" | "urgent" | "normal" | "deferred"): void => {
    void committer
      .submit(new Map([[key, 0]]), [{ kind: "put", key, value: {} }], urgency)
      .then(() => at.set(key, world.now));
  };
  for (let count = 0; count < 300; count += 1) write(`guest-${count}`, "normal");
  write("note", "deferred");
  await world.run(1_000_000, nothing);
  write("urgent", "urgent");
  await world.run(2_000_000, nothing);
  // In the order in which they came it took half a minute.
  assert.ok((at.get("urgent") ?? Number.POSITIVE_INFINITY) < 1_500_000);
  // From now on more is urgent than can be written at all.
  for (let count = 0; count < 3_000; count += 1) write(`house-${count}`, count % 2 === 0 ? "user" : "urgent");
  const before = [...at.keys()].filter((key) => key.startsWith("guest")).length;
  await world.run(60_000_000, nothing);
  const after = [...at.keys()].filter((key) => key.startsWith("guest")).length;
  assert.ok(after - before > 45, `${after - before} of the swarm in a minute`);
  assert.ok(at.has("note"), "a note older than its time");
  const prompt = [...at.keys()].filter((key) => key.startsWith("house") && Number(key.slice(6)) % 2 === 1).length;
  assert.ok(prompt > 80, `${prompt} urgent starts beside the users' writes`);
});
