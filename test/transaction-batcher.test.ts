import assert from "node:assert/strict";
import { test } from "node:test";
import { HostClock, Simulation } from "../src/model/index.js";
import type { Uint64 } from "../src/protocol/json.js";
import type { WriteOperation } from "../src/protocol/key-value-store.js";
import type { KeyValueStore } from "../src/storage/key-value-store.js";
import type { TransactionResult } from "../src/storage/store-results.js";
import { TransactionBatcher } from "../src/storage/transaction-batcher.js";
import type { WritePriority } from "../src/storage/write-priority.js";
import type { Micros } from "../src/transport/clock.js";
import { noop } from "./shard-fixtures.js";

const put = (key: string, value: unknown = {}): WriteOperation => ({ kind: "put", key, value });
const absent = (key: string): ReadonlyMap<string, Uint64> => new Map([[key, 0]]);

test("three controllers sharing a rate limit complete all writes although batches are rejected as busy", async () => {
  const world = new Simulation();
  let tokens = 30;
  let last = 0;
  let written = 0;
  // A rate limiter that also charges rejected writes: controllers that retry immediately starve each other.
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
  const batchers = [0, 1, 2].map((index) => new TransactionBatcher(store, clock, () => (index + 1) / 4));
  let refused = 0;
  for (let count = 0; count < 300; count += 1) {
    const submitWithRetries = (retriesLeft: number): void => {
      const key = `c/job/wk-${count}`;
      void batchers[count % 3]?.submit(absent(key), [put(key)]).then((result) => {
        if (result.kind === "ok") return;
        refused += 1;
        if (retriesLeft > 0) clock.after(1_000_000 as Micros, () => submitWithRetries(retriesLeft - 1));
      });
    };
    submitWithRetries(10);
  }
  await world.run(30_000_000, noop);
  assert.equal(written, 300, `${refused} refused`);
});

/** A batcher with a budget of ten writes per second and five per transaction; every transaction succeeds. */
const makeTightBatcher = () => {
  const world = new Simulation();
  const store = {
    budget: { requestsPerS: 100, writesPerS: 10, writesPerTransaction: 5 },
    transact: async () => ({ kind: "ok", version: 1 }),
  } as unknown as KeyValueStore;
  return { world, batcher: new TransactionBatcher(store, new HostClock(world, 1, 0), () => 0.5) };
};

test("a cancellation is written before job submissions that were queued earlier", async () => {
  const { world, batcher } = makeTightBatcher();
  const done: string[] = [];
  const write = (key: string, priority: "cancellation" | "user"): void => {
    void batcher.submit(absent(key), [put(key)], priority).then(() => done.push(key));
  };
  for (let count = 0; count < 60; count += 1) write(`c/job/wk-${count}`, "user");
  write("c/job/wk-old", "cancellation");
  await world.run(500_000, noop);
  assert.ok(done.includes("c/job/wk-old"));
  assert.ok(done.length < 40, `${done.length} written within the budget`);
});

test("a task start is written before deferred ends of tasks, and a deferred write can be promoted", async () => {
  const { world, batcher } = makeTightBatcher();
  const done: string[] = [];
  const write = (key: string, priority: "deferred" | "normal"): void => {
    void batcher.submitDeferred(absent(key), [key], () => [put(key)], priority).then(() => done.push(key));
  };
  for (let count = 0; count < 200; count += 1) write(`c/range/wk-${count}/0`, "deferred");
  await world.run(100_000, noop);
  write("c/range/wk-new/0", "normal");
  // A placement is added to a range whose deferred write is still queued: one write contains both, so it is promoted.
  batcher.promote("c/range/wk-190/0", "normal");
  batcher.promote("c/range/wk-none/0", "normal");
  await world.run(900_000, noop);
  assert.ok(done.includes("c/range/wk-new/0"));
  assert.ok(done.includes("c/range/wk-190/0"));
  assert.ok(done.length < 40, `${done.length} written within the budget`);
  await world.run(40_000_000, noop);
  assert.equal(new Set(done).size, 201);
  assert.equal(done.length, 201);
});

test("urgent starts are written before a burst of normal ones, and overdue writes are not starved", async () => {
  const { world, batcher } = makeTightBatcher();
  const writtenAt = new Map<string, number>();
  const write = (key: string, priority: "user" | "urgent" | "normal" | "deferred"): void => {
    void batcher.submit(absent(key), [put(key)], priority).then(() => writtenAt.set(key, world.now));
  };
  for (let count = 0; count < 300; count += 1) write(`guest-${count}`, "normal");
  write("note", "deferred");
  await world.run(1_000_000, noop);
  write("urgent", "urgent");
  await world.run(2_000_000, noop);
  // In submission order, the urgent write would take half a minute.
  assert.ok((writtenAt.get("urgent") ?? Number.POSITIVE_INFINITY) < 1_500_000);
  // From here on, there are more user writes and urgent writes than the budget allows.
  for (let count = 0; count < 3_000; count += 1) write(`house-${count}`, count % 2 === 0 ? "user" : "urgent");
  const before = [...writtenAt.keys()].filter((key) => key.startsWith("guest")).length;
  await world.run(60_000_000, noop);
  const after = [...writtenAt.keys()].filter((key) => key.startsWith("guest")).length;
  assert.ok(after - before > 45, `${after - before} normal writes in one minute`);
  assert.ok(writtenAt.has("note"), "an overdue deferred write");
  const urgentCount = [...writtenAt.keys()].filter(
    (key) => key.startsWith("house") && Number(key.slice(6)) % 2 === 1,
  ).length;
  assert.ok(urgentCount > 80, `${urgentCount} urgent writes besides the users' writes`);
});

interface SentBatch {
  readonly keys: readonly string[];
  readonly conditions: ReadonlyMap<string, Uint64>;
}

/** A batcher with an ample budget, for which `resultOf` gives the result of each batch. */
const makeBatcher = (resultOf: (batch: SentBatch) => TransactionResult) => {
  const world = new Simulation();
  const sent: SentBatch[] = [];
  const store = {
    budget: { requestsPerS: 1_000, writesPerS: 1_000, writesPerTransaction: 8, valueBytes: 4_096 },
    transact: async (conditions: ReadonlyMap<string, Uint64>, writes: readonly WriteOperation[]) => {
      const batch = { keys: writes.map(({ key }) => key), conditions };
      sent.push(batch);
      return resultOf(batch);
    },
  } as unknown as KeyValueStore;
  const batcher = new TransactionBatcher(store, new HostClock(world, 1, 0), () => 0.5);
  const results = new Map<string, string>();
  const submit = (key: string, priority: WritePriority = "normal", value: unknown = {}): void => {
    void batcher.submit(absent(key), [put(key, value)], priority).then(({ kind }) => results.set(key, kind));
  };
  return { world, sent, batcher, results, submit };
};

const OK: TransactionResult = { kind: "ok", version: 1 };

test("a transaction whose condition fails is resolved as a conflict, and the rest of its batch is sent again", async () => {
  const { world, sent, results, submit } = makeBatcher(({ keys }) =>
    keys.includes("b") ? { kind: "conflict", keys: ["b"] } : OK,
  );
  for (const key of ["a", "b", "c"]) submit(key);
  await world.run(100_000, noop);
  assert.deepEqual(Object.fromEntries(results), { a: "ok", b: "conflict", c: "ok" });
  assert.deepEqual(
    sent.map(({ keys }) => keys),
    [
      ["a", "b", "c"],
      ["a", "c"],
    ],
  );
});

test("transactions that conflict on a key do not share a batch", async () => {
  const { world, sent, batcher, results, submit } = makeBatcher(() => OK);
  submit("a");
  void batcher.submit(new Map([["a", 1]]), [put("b")]).then(({ kind }) => results.set("b", kind));
  submit("c");
  await world.run(100_000, noop);
  assert.deepEqual(
    sent.map(({ keys }) => keys),
    [["a", "c"], ["b"]],
  );
});

test("a batch that is too large is split, and a single transaction that is too large lowers the limits", async () => {
  const tooLarge: TransactionResult = { kind: "too large" };
  const { world, batcher, results, submit } = makeBatcher(({ keys }) => (keys.includes("large") ? tooLarge : OK));
  for (const key of ["a", "b", "c"]) submit(key);
  submit("large", "normal", "x".repeat(998));
  await world.run(1_000_000, noop);
  assert.deepEqual(Object.fromEntries(results), { a: "ok", b: "ok", c: "ok", large: "too large" });
  assert.equal(batcher.maxValueBytes, 999);
  assert.ok(batcher.maxWritesPerTransaction <= 2);
});

test("a transaction is resolved as refused after eight retries against a busy key-value store", async () => {
  const { world, sent, results, submit } = makeBatcher(() => ({ kind: "busy" }));
  submit("a");
  await world.run(60_000_000, noop);
  assert.equal(results.get("a"), "refused");
  assert.equal(sent.length, 9);
});

test("transactions of a refused or lost batch are resolved without a retry", async () => {
  for (const kind of ["refused", "lost"] as const) {
    const { world, sent, results, submit } = makeBatcher(() => ({ kind }));
    submit("a");
    submit("b");
    await world.run(1_000_000, noop);
    assert.deepEqual(Object.fromEntries(results), { a: kind, b: kind });
    assert.equal(sent.length, 1);
  }
});

test("a deferred transaction that is cancelled while queued is resolved as refused and never sent", async () => {
  const { world, sent, batcher, results, submit } = makeBatcher(() => OK);
  submit("a", "deferred");
  submit("b", "deferred");
  assert.equal(batcher.pendingCount("deferred"), 2);
  batcher.cancelDeferred("a");
  batcher.cancelDeferred("none");
  await world.run(100_000, noop);
  assert.deepEqual(Object.fromEntries(results), { a: "refused", b: "ok" });
  assert.deepEqual(
    sent.map(({ keys }) => keys),
    [["b"]],
  );
});

test("the summary counts the writes by priority since the previous summary", async () => {
  const { world, batcher, submit } = makeBatcher(() => OK);
  submit("a");
  submit("b", "user");
  submit("c", "user");
  const none = { cancellation: 0, user: 0, urgent: 0, normal: 0, deferred: 0, maintenance: 0 };
  assert.deepEqual(batcher.takeSummary(), { sent: none, pendingCount: 3, perS: 1_000 });
  await world.run(100_000, noop);
  assert.deepEqual(batcher.takeSummary(), { sent: { ...none, user: 2, normal: 1 }, pendingCount: 0, perS: 1_000 });
  assert.deepEqual(batcher.takeSummary().sent, none);
});
