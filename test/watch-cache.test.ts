import assert from "node:assert/strict";
import { test } from "node:test";
import { HostClock, Simulation } from "../src/model/index.js";
import type { KeyChange, KeyValueEntry } from "../src/protocol/key-value-store.js";
import type { EntryList, KeyValueStore } from "../src/storage/key-value-store.js";
import type { StoreResult } from "../src/storage/store-results.js";
import { WatchCache } from "../src/storage/watch-cache.js";
import { ms, seconds } from "../src/transport/clock.js";
import { noop, silentLog } from "./shard-fixtures.js";

const entryOf = (key: string, version = 5): KeyValueEntry => ({ key, value: {}, version });

/**
 * A cache of a store that returns these lists in turn, the last one repeatedly, and the results of `watch` to watches.
 */
const cacheOf = (
  lists: readonly StoreResult<EntryList>[],
  watch: (from: unknown, wait: number) => Promise<unknown>,
) => {
  const world = new Simulation();
  const clock = new HostClock(world, 1, 0);
  let listCount = 0;
  const store = {
    list: async () => {
      listCount += 1;
      return lists[Math.min(listCount, lists.length) - 1];
    },
    watch: (_: string, from: unknown, wait: number) => watch(from, wait),
  } as unknown as KeyValueStore;
  const cache = new WatchCache({
    store,
    prefix: "c/",
    clock,
    log: silentLog,
    watchInterval: ms(1),
    syncInterval: ms(1),
  });
  return { world, cache, listCount: () => listCount };
};

/** Advances the simulation by `micros` microseconds, including all promises that resolve at its start or end. */
const advance = async (world: Simulation, micros: number): Promise<void> => {
  world.after(0, noop);
  world.after(micros, noop);
  await world.run(world.now + micros, noop);
};

const unanswered = (): Promise<never> => new Promise(() => undefined);
const listOf = (entries: readonly KeyValueEntry[], revision = 5): StoreResult<EntryList> => ({
  kind: "ok",
  value: { entries, revision },
});

test("a listener called with one listed key finds all other listed keys in the cache", async () => {
  const entries = ["c/block/0", "c/job/wk-1", "c/range/wk-1/0"].map((key) => entryOf(key));
  const { world, cache } = cacheOf([listOf(entries)], unanswered);
  const seen: number[] = [];
  cache.onChange(() => seen.push(cache.entries.size));
  void cache.run();
  await advance(world, 1_000);
  assert.deepEqual(seen, [3, 3, 3]);
});

test("first listeners receive all changes before any other listener receives one", async () => {
  const { world, cache } = cacheOf([listOf([entryOf("c/a"), entryOf("c/b")])], unanswered);
  const calls: string[] = [];
  cache.onChange(({ key }) => calls.push(`other ${key}`));
  cache.onChangeBeforeOthers(({ key }) => calls.push(`first ${key}`));
  void cache.run();
  await advance(world, 1_000);
  assert.deepEqual(calls, ["first c/a", "first c/b", "other c/a", "other c/b"]);
});

test("after a watch from a revision that is too old, the cache lists again and reports only the differences", async () => {
  const lists = [listOf([entryOf("c/a"), entryOf("c/b")]), listOf([entryOf("c/b"), entryOf("c/c", 9)], 9)];
  let watchCount = 0;
  const { world, cache, listCount } = cacheOf(lists, () => {
    watchCount += 1;
    return watchCount === 1 ? Promise.resolve({ kind: "missing" }) : unanswered();
  });
  const changes: KeyChange[] = [];
  cache.onChange((change) => changes.push(change));
  void cache.run();
  await advance(world, 1_000_000);
  assert.equal(listCount(), 2);
  assert.equal(cache.loaded, true);
  assert.deepEqual([...cache.entries.keys()], ["c/b", "c/c"]);
  assert.deepEqual(
    changes.slice(2).map(({ kind, key, version }) => [kind, key, version]),
    [
      ["delete", "c/a", 9],
      ["put", "c/c", 9],
    ],
  );
});

test("a list without a response is retried, and the cache has no freshness until a list succeeds", async () => {
  const { world, cache, listCount } = cacheOf([{ kind: "lost" }, listOf([entryOf("c/a")])], unanswered);
  void cache.run();
  await advance(world, 100_000);
  assert.deepEqual([listCount(), cache.loaded, cache.freshAsOf], [1, false, null]);
  await advance(world, 200_000);
  assert.deepEqual([listCount(), cache.loaded, cache.entries.size], [2, true, 1]);
});

test("an older change in one of two overlapping requests does not overwrite a newer one", async () => {
  const change = (version: number): KeyChange => ({ kind: "put", key: "c/a", value: { version }, version });
  const resolvers: ((reply: unknown) => void)[] = [];
  const { world, cache } = cacheOf([listOf([])], () => new Promise((resolve) => resolvers.push(resolve)));
  void cache.run();
  await advance(world, 2_000);
  const synced = cache.sync();
  await advance(world, 2_000);
  assert.equal(resolvers.length, 2);
  resolvers[1]?.({ kind: "ok", value: { changes: [change(6), change(7)], revision: 7 } });
  assert.equal(await synced, true);
  resolvers[0]?.({ kind: "ok", value: { changes: [change(6)], revision: 6 } });
  await advance(world, 2_000);
  assert.equal(resolvers.length, 3, "the older response has been processed");
  assert.equal(cache.entries.get("c/a")?.version, 7);
});

test("calls of sync made while a request is in flight share the next request", async () => {
  const waits: number[] = [];
  const resolvers: ((reply: unknown) => void)[] = [];
  const { world, cache } = cacheOf([listOf([])], (_, wait) => {
    waits.push(wait);
    return wait > 0 ? unanswered() : new Promise((resolve) => resolvers.push(resolve));
  });
  const early = cache.sync();
  await advance(world, 2_000);
  assert.equal(await early, false, "the entries have not been listed yet");
  void cache.run();
  await advance(world, 2_000);
  const first = cache.sync();
  await advance(world, 2_000);
  const others = [cache.sync(), cache.sync(), cache.sync()];
  await advance(world, 2_000);
  assert.deepEqual(waits, [seconds(1), 0]);
  const unchanged = { kind: "ok", value: { changes: [], revision: 5 } };
  resolvers[0]?.(unchanged);
  assert.equal(await first, true);
  await advance(world, 2_000);
  assert.deepEqual(waits, [seconds(1), 0, 0]);
  resolvers[1]?.(unchanged);
  assert.deepEqual(await Promise.all(others), [true, true, true]);
});
