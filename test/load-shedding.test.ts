import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import {
  LOAD_LEVELS,
  type LoadLevel,
  LoadShedder,
  type ProcessLoad,
} from "../src/coordination/overload/load-shedder.js";
import { ConcurrencyPools } from "../src/coordination/workers/concurrency-pools.js";
import { HostClock, Simulation } from "../src/model/index.js";
import { MalformedMessageError } from "../src/protocol/json.js";
import { decodeHeartbeatText } from "../src/protocol/worker.js";
import { type Micros, seconds, systemClock } from "../src/transport/clock.js";
import { HttpServer } from "../src/transport/http-server.js";
import { playLoad } from "../src/whatif/index.js";
import { forSeeds } from "./random.js";

const noop = (): undefined => undefined;

/**
 * A load shedder on a simulated clock whose timers fire `lateUs` late; `seen` lists the logged load levels in order.
 */
const makeLoadShedder = () => {
  const world = new Simulation();
  const state = { lateUs: 0, memory: 0.3, sockets: 0.3 };
  const clock = new HostClock(world, 1, 0, (delay, run) => world.after(delay + state.lateUs, run));
  const seen: LoadLevel[] = [];
  const log = {
    error: noop,
    debug: noop,
    info: (_: string, fields?: Record<string, unknown>) => seen.push(fields?.level as LoadLevel),
  };
  const loadShedder = new LoadShedder(clock, log, (): ProcessLoad => state);
  const advance = (s: number): Promise<void> => world.run(world.now + s * 1_000_000, noop);
  return { state, seen, loadShedder, advance };
};

test("load levels rise one after the other under load and fall slowly, one at a time", async () => {
  const { state, seen, loadShedder, advance } = makeLoadShedder();
  await advance(5);
  assert.equal(loadShedder.level, "normal");
  state.lateUs = 1_500_000;
  await advance(60);
  assert.equal(loadShedder.level, "saturated");
  assert.deepEqual(seen, ["reduced", "degraded", "saturated"]);
  assert.ok(loadShedder.atLeast("degraded") && loadShedder.atLeast("saturated"));
  state.lateUs = 0;
  await advance(4);
  assert.equal(loadShedder.level, "saturated", "the level must not fall after a short time without load");
  await advance(30);
  assert.equal(loadShedder.level, "normal");
  assert.deepEqual(seen, ["reduced", "degraded", "saturated", "degraded", "reduced", "normal"]);
});

test("a single stall of the process does not count as load, and the level does not flap at its threshold", async () => {
  const { state, seen, loadShedder, advance } = makeLoadShedder();
  await advance(5);
  state.lateUs = 30_000_000;
  await advance(0.2);
  state.lateUs = 0;
  await advance(40);
  assert.ok(!seen.includes("degraded"), seen.join());
  seen.length = 0;
  for (let at = 0; at < 60; at += 1) {
    // Alternately above and below the 60 ms threshold of `reduced`.
    state.lateUs = at % 2 === 0 ? 70_000 : 50_000;
    await advance(1);
  }
  assert.ok(seen.length <= 1, seen.join());
  assert.equal(loadShedder.level, "reduced");
});

test("memory usage alone raises the load level before the process runs out of memory", async () => {
  const { state, loadShedder, advance } = makeLoadShedder();
  for (const [memory, level] of [
    [0.79, "normal"],
    [0.81, "reduced"],
    [0.9, "degraded"],
    [0.95, "saturated"],
  ] as const) {
    state.memory = memory;
    await advance(1);
    assert.equal(loadShedder.level, level, String(memory));
  }
  assert.deepEqual(LOAD_LEVELS, ["normal", "reduced", "degraded", "saturated"]);
});

test("a thousand pending requests use a bounded number of slots, and slow machines use none of the others' slots", async () => {
  const world = new Simulation();
  const clock = new HostClock(world, 1, 0);
  const running = { responsive: 0, silent: 0, mostResponsive: 0, mostSilent: 0 };
  const runsByItem = new Map<number, number>();
  const poolOf = (item: number): "responsive" | "silent" => (item % 5 === 0 ? "silent" : "responsive");
  const pools = new ConcurrencyPools<number>(
    clock,
    async (item) => {
      const pool = poolOf(item);
      running[pool] += 1;
      running.mostResponsive = Math.max(running.mostResponsive, running.responsive);
      running.mostSilent = Math.max(running.mostSilent, running.silent);
      await new Promise<void>((resolve) => world.after(pool === "silent" ? 1_500_000 : 3_000, resolve));
      running[pool] -= 1;
      runsByItem.set(item, (runsByItem.get(item) ?? 0) + 1);
    },
    poolOf,
    { responsive: 8, silent: 2 },
  );
  for (let item = 0; item < 1_000; item += 1) {
    pools.add(item);
    pools.add(item);
  }
  await world.run(500_000, noop);
  // All responsive machines have been served, although a fifth of the machines does not respond.
  assert.equal([...runsByItem.keys()].filter((item) => item % 5 !== 0).length, 800);
  assert.deepEqual([running.mostResponsive, running.mostSilent], [8, 2]);
  await world.run(200_000_000, noop);
  assert.equal(runsByItem.size, 1_000);
  assert.ok([...runsByItem.values()].every((count) => count === 1));
});

const heartbeatText = (tick: number, shards: readonly object[], extra = ""): string =>
  `{"host":"n-1","addr":"10.1.0.1:9000","flavor":"big","area":"east","loaner":false,"tenure":1,"tick":${tick},"baton":65536,"warningS":null,"shards":${JSON.stringify(shards)}${extra}}`;

test("an unchanged task list of a heartbeat is not decoded again, and a changed one is", () => {
  const shards = [{ shard: "wk-1/0", try: 1, phase: "running" }];
  const first = decodeHeartbeatText(heartbeatText(1, shards), () => null);
  assert.equal(first.taskListUnchanged, false);
  assert.equal(first.tasks.length, 1);
  const knownTaskList = (machine: string): string | null => (machine === "n-1" ? first.taskListText : null);
  const second = decodeHeartbeatText(heartbeatText(2, shards), knownTaskList);
  assert.deepEqual([second.taskListUnchanged, second.sequence, second.tasks.length], [true, 2, 0]);
  const ended = [{ shard: "wk-1/0", try: 1, phase: "exited", cause: "done" }];
  assert.equal(decodeHeartbeatText(heartbeatText(3, ended), knownTaskList).taskListUnchanged, false);
  assert.equal(decodeHeartbeatText(heartbeatText(3, ended), knownTaskList).tasks[0]?.state, "exited");
  // The marker of the task list within a string, or in a nested object, does not start this heartbeat's task list.
  const inString = heartbeatText(4, shards).replace('"area":"east"', '"area":"x,\\"shards\\":[]}"');
  assert.deepEqual(
    [
      decodeHeartbeatText(inString, knownTaskList).taskListUnchanged,
      decodeHeartbeatText(inString, () => null).tasks.length,
    ],
    [true, 1],
  );
  const nested = heartbeatText(5, shards).replace(
    '"tick":5',
    `"more":{"a":1${first.taskListText?.slice(0, -1)}},"tick":5`,
  );
  assert.equal(decodeHeartbeatText(nested, knownTaskList).sequence, 5);
  assert.equal(decodeHeartbeatText(nested, knownTaskList).tasks.length, 1);
  assert.throws(
    () => decodeHeartbeatText(heartbeatText(6, shards).replace('"tick":6', '"tick":-6'), knownTaskList),
    MalformedMessageError,
  );
  assert.throws(() => decodeHeartbeatText(`${heartbeatText(7, shards)}]`, knownTaskList), SyntaxError);
});

test("decoding a heartbeat with and without the known task list gives the same result for any list", () => {
  forSeeds(200, (random) => {
    let last: string | null = null;
    for (let tick = 1; tick < 12; tick += 1) {
      const shards = Array.from({ length: random.int(0, 3) }, (_, at) => ({
        shard: `wk-${random.int(1, 2)}/${at}`,
        try: random.int(1, 2),
        phase: random.pick(["pulling", "running", "exited"]),
      }));
      const text = heartbeatText(tick, shards, random.chance(0.2) ? ',"later":1' : "");
      const incremental = decodeHeartbeatText(text, () => last);
      const complete = decodeHeartbeatText(text, () => null);
      assert.deepEqual({ ...incremental, tasks: [], taskListUnchanged: false }, { ...complete, tasks: [] });
      if (incremental.taskListUnchanged) assert.equal(complete.taskListText, last);
      else assert.deepEqual(incremental.tasks, complete.tasks);
      last = complete.taskListText;
    }
  });
});

const requestHealth = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    socket.once("data", (data) => resolve(data.toString()));
    socket.once("close", () => resolve("closed"));
    socket.write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
  });

test("beyond a number of open connections, the server closes each connection after its response so that all clients get served", async () => {
  const server = new HttpServer(
    systemClock,
    {
      maxConnections: 8,
      keepConnections: 4,
      requestTimeout: seconds(5),
      idleTimeout: seconds(5),
      maxConcurrentRequests: 8,
    },
    async () => ({ status: 200, body: "{}" }),
    noop,
  );
  await server.listen("127.0.0.1", 0);
  const open = (): Promise<Socket> =>
    new Promise((resolve, reject) => {
      const socket = connect({ host: "127.0.0.1", port: server.port });
      socket.once("connect", () => resolve(socket));
      socket.once("error", reject);
    });
  const sockets: Socket[] = [];
  const responses: string[] = [];
  // One after the other, three times as many connections as the server accepts at once.
  for (let at = 0; at < 24; at += 1) {
    const socket = await open();
    sockets.push(socket);
    responses.push(await requestHealth(socket));
  }
  assert.ok(
    responses.every((response) => response.startsWith("HTTP/1.1 200")),
    responses.join(),
  );
  assert.equal(responses.filter((response) => !response.includes("Connection: close")).length, 4);
  for (const socket of sockets) socket.destroy();
  await server.close();
});

test("a fleet larger than its controllers' connection limits loses tasks to expired leases without load limits, and none with them", async () => {
  const spec = {
    machines: 240,
    controller: { cpuShare: 0.2, memoryMb: 200, connections: 150 },
    reportUs: 4_000_000,
    leaseUs: 16_000_000,
    writesPerS: 30,
    endAllAtUs: 50_000_000,
    untilUs: 80_000_000,
    seed: 3,
  };
  const unbounded = await playLoad({ ...spec, bounded: false });
  const bounded = await playLoad({ ...spec, bounded: true });
  assert.equal(unbounded.firstLimit, "sockets");
  assert.ok(unbounded.refused > 1_000 && unbounded.killedByLease > 80, JSON.stringify(unbounded));
  assert.equal(bounded.killedByLease, 0, JSON.stringify(bounded));
  assert.ok(bounded.refused < unbounded.refused / 20, JSON.stringify(bounded));
  assert.equal(bounded.ended, 0);
  assert.ok(bounded.sockets < 1);
});

test("simulating the same load twice gives the same result", async () => {
  const spec = {
    machines: 60,
    bounded: true,
    controller: { cpuShare: 0.1, memoryMb: 200, connections: 60 },
    reportUs: 4_000_000,
    leaseUs: 16_000_000,
    writesPerS: 30,
    endAllAtUs: 20_000_000,
    untilUs: 40_000_000 as Micros,
    seed: 5,
  };
  assert.deepEqual(await playLoad(spec), await playLoad(spec));
});

test("a simulated load of many years starts without holding all of its future submissions in memory", async () => {
  const spec = {
    machines: 1_600,
    bounded: true,
    controller: { cpuShare: 1, memoryMb: 200, connections: 2_000 },
    reportUs: 5_000_000,
    leaseUs: 30_000_000,
    writesPerS: 30,
    endAllAtUs: null,
    untilUs: 1_000_000_000 * 1_000_000,
    seed: 1,
  };
  let reached = 0;
  const play = playLoad(spec, (now) => {
    reached = now;
    throw new Error("stopped at the first progress report");
  });
  await assert.rejects(play, /stopped at the first progress report/);
  assert.equal(reached, 500_000);
});
