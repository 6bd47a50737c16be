import assert from "node:assert/strict";
import { test } from "node:test";
import { HostClock, Simulation } from "../src/model/index.js";
import { KeyValueStore, type StoreBudget } from "../src/storage/key-value-store.js";
import type { Micros } from "../src/transport/clock.js";
import type { HttpClient, HttpOutcome } from "../src/transport/http.js";
import type { Log, LogFields } from "../src/transport/log.js";
import { noop } from "./shard-fixtures.js";

const answer = (status: number, body: string): HttpOutcome => ({ kind: "answer", status, body, retryAfterS: null });

/** A store whose requests get these outcomes in turn, the last one repeatedly; requests and log lines are recorded. */
const makeStore = (outcomes: readonly HttpOutcome[], budget: Partial<StoreBudget> = {}) => {
  const world = new Simulation();
  const requests: { readonly target: string; readonly at: number }[] = [];
  const logged: [string, LogFields | undefined][] = [];
  const http: HttpClient = {
    call: async (_, { target }) => {
      requests.push({ target, at: world.now });
      return outcomes[Math.min(requests.length, outcomes.length) - 1] ?? { kind: "lost" };
    },
  };
  const record = (event: string, fields?: LogFields): void => {
    logged.push([event, fields]);
  };
  const log: Log = { error: record, info: record, debug: record };
  const store = new KeyValueStore({
    http,
    address: "state:1",
    clock: new HostClock(world, 1, 0),
    log,
    budget: { requestsPerS: 10, writesPerS: 10, writesPerTransaction: 5, ...budget },
    random: () => 0.5,
  });
  return { world, store, requests, logged };
};

test("results distinguish requests that were not executed from those that may have been", async () => {
  const cases: readonly [HttpOutcome, string][] = [
    [{ kind: "unsent" }, "refused"],
    [{ kind: "lost" }, "lost"],
    [answer(404, ""), "missing"],
    [answer(429, ""), "refused"],
    [answer(503, ""), "refused"],
    [answer(500, ""), "lost"],
    [answer(200, "{"), "lost"],
    [answer(200, '{"k":"c/a","value":1,"stamp":2}'), "ok"],
  ];
  for (const [outcome, kind] of cases) assert.equal((await makeStore([outcome]).store.get("c/a")).kind, kind);
});

test("a watch from a revision that is too old has the result missing", async () => {
  const { store } = makeStore([answer(410, "")]);
  assert.deepEqual(await store.watch("c/", 1, 0 as Micros), { kind: "missing" });
});

test("the result of a transaction is derived from status and body of the response", async () => {
  const cases: readonly [HttpOutcome, object][] = [
    [answer(200, '{"epoch":7}'), { kind: "ok", version: 7 }],
    [answer(409, '{"failed":["c/a"]}'), { kind: "conflict", keys: ["c/a"] }],
    [answer(409, "{"), { kind: "lost" }],
    [answer(400, '{"error":"no such lease"}'), { kind: "refused" }],
    [answer(400, '{"error":"value too large"}'), { kind: "too large" }],
    [answer(404, ""), { kind: "refused" }],
    [answer(429, ""), { kind: "busy" }],
    [answer(503, ""), { kind: "refused" }],
    [answer(500, ""), { kind: "lost" }],
    [{ kind: "unsent" }, { kind: "refused" }],
  ];
  for (const [outcome, result] of cases)
    assert.deepEqual(await makeStore([outcome]).store.transact(new Map(), []), result);
});

test("malformed responses and refused transactions are logged", async () => {
  const malformed = makeStore([answer(500, "")]);
  await malformed.store.get("c/a");
  assert.deepEqual(
    malformed.logged.map(([event]) => event),
    ["store response malformed"],
  );
  const refused = makeStore([answer(400, "x".repeat(300))]);
  await refused.store.transact(new Map(), [{ kind: "delete", key: "c/a" }]);
  assert.deepEqual(refused.logged, [["transaction refused", { writes: 1, body: "x".repeat(200) }]]);
});

test("a list reads all pages and returns the revision of the first", async () => {
  const { store, requests } = makeStore([
    answer(200, '{"entries":[{"k":"c/a","value":1,"stamp":2}],"more":true,"epoch":5}'),
    answer(200, '{"entries":[{"k":"c/b","value":1,"stamp":6}],"more":false,"epoch":7}'),
  ]);
  const list = await store.list("c/");
  assert.ok(list.kind === "ok");
  assert.deepEqual([list.value.revision, list.value.entries.map(({ key }) => key)], [5, ["c/a", "c/b"]]);
  assert.deepEqual(
    requests.map(({ target }) => target),
    ["/kv?under=c/&page=500", "/kv?under=c/&from=c/a&page=500"],
  );
});

test("reads are limited to the request rate, and lease renewals are sent without waiting", async () => {
  const { world, store, requests } = makeStore([answer(404, "")]);
  for (let count = 0; count < 30; count += 1) void store.get(`c/${count}`);
  world.after(0, noop);
  await world.run(1, noop);
  assert.equal(requests.length, 10, "a burst of one second's budget");
  void store.renewLease(1);
  assert.equal(requests.at(-1)?.target, "/grants/1/touch");
  world.after(0, noop);
  await world.run(1_000_000, noop);
  assert.ok(requests.length <= 21, `${requests.length} in the first second`);
  await world.run(3_000_000, noop);
  assert.equal(requests.length, 31);
});

test("after a too-many-requests response the next read is delayed", async () => {
  const { world, store, requests } = makeStore([answer(429, ""), answer(404, "")]);
  assert.deepEqual(await store.get("c/a"), { kind: "refused" });
  void store.get("c/b");
  world.after(0, noop);
  await world.run(100_000, noop);
  assert.equal(requests.length, 1);
  await world.run(1_000_000, noop);
  assert.equal(requests.length, 2);
  assert.ok((requests[1]?.at ?? 0) >= 125_000);
});
