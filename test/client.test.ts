import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { abortJob, ClientError, showJob, submitJob } from "../src/client.js";
import { linksText, linkTroubles } from "../src/commands/links-text.js";
import { type Micros, seconds, systemClock } from "../src/transport/clock.js";
import { HttpServer } from "../src/transport/http-server.js";

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });

test("the client sends requests over TCP and reports each failure in one line", async () => {
  const port = await freePort();
  const requests: string[] = [];
  const server = new HttpServer(
    systemClock,
    {
      maxConnections: 10,
      keepConnections: 10,
      requestTimeout: seconds(5),
      idleTimeout: seconds(5),
      maxConcurrentRequests: 10,
    },
    async (request) => {
      requests.push(`${request.method} ${request.target}`);
      if (request.target.endsWith("/abort")) return { status: 503, body: "{}", retryAfterS: 2 };
      return { status: 200, body: '{"ref":"wk-1","phase":"done"}' };
    },
    (error) => assert.fail(String(error)),
  );
  await server.listen("127.0.0.1", port);
  const address = `127.0.0.1:${port}`;
  const assertFails = (work: Promise<string>, text: RegExp): Promise<void> =>
    assert.rejects(
      work,
      (error) => error instanceof ClientError && text.test(error.message) && !/\n/.test(error.message),
    );
  assert.equal(await showJob(address, "wk-1"), '{"ref":"wk-1","phase":"done"}');
  await assertFails(abortJob(address, "wk-1"), /status 503.*2 s/);
  await assertFails(showJob(address, "a/b"), /not a job id/);
  await assertFails(showJob("nowhere", "wk-1"), /not an address/);
  await assertFails(submitJob(address, "/no/such/file"), /ENOENT/);
  await assertFails(showJob(`127.0.0.1:${await freePort()}`, "wk-1"), /cannot be reached/);
  assert.deepEqual(requests, ["GET /v2/runs/wk-1", "POST /v2/runs/wk-1/abort"]);
  await server.close();
});

/** All data that the server sends until the connection closes. */
const receiveUntilClosed = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    let text = "";
    socket.on("data", (data) => {
      text += data.toString();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(text));
  });

test("the server closes slow, idle, surplus and malformed connections, and sheds requests beyond its limit", async () => {
  const port = await freePort();
  let releaseHandler = (): void => undefined;
  const handlerReleased = new Promise<void>((resolve) => {
    releaseHandler = resolve;
  });
  let markEntered = (): void => undefined;
  const handlerEntered = new Promise<void>((resolve) => {
    markEntered = resolve;
  });
  const server = new HttpServer(
    systemClock,
    {
      maxConnections: 3,
      keepConnections: 3,
      requestTimeout: seconds(1),
      idleTimeout: seconds(0.2),
      maxConcurrentRequests: 1,
    },
    async (request) => {
      if (request.target === "/held") {
        markEntered();
        await handlerReleased;
      }
      return { status: 200, body: "{}" };
    },
    (error) => assert.fail(String(error)),
  );
  await server.listen("127.0.0.1", port);
  const open = (text: string): Socket => {
    const socket = connect(port, "127.0.0.1");
    socket.write(text);
    return socket;
  };
  // The client closes none of these connections, so the server must.
  assert.equal(await receiveUntilClosed(open("GET /slow HTTP/1.1\r\nHost")), "");
  assert.match(await receiveUntilClosed(open("GET /once HTTP/1.1\r\n\r\n")), /^HTTP\/1\.1 200 /);
  assert.match(await receiveUntilClosed(open("nonsense\r\n\r\n")), /^HTTP\/1\.1 400 [\s\S]*Connection: close/);
  const busy = receiveUntilClosed(open("GET /held HTTP/1.1\r\n\r\n"));
  await handlerEntered;
  assert.match(await receiveUntilClosed(open("GET /more HTTP/1.1\r\n\r\n")), /^HTTP\/1\.1 503 [\s\S]*Retry-After: 1/);
  const sockets = [open("G"), open("G")];
  const waiting = sockets.map(receiveUntilClosed);
  await Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once("connect", resolve))));
  assert.equal(await receiveUntilClosed(open("GET /surplus HTTP/1.1\r\n\r\n")), "");
  assert.deepEqual(await Promise.all(waiting), ["", ""]);
  releaseHandler();
  assert.match(await busy, /^HTTP\/1\.1 200 /);
  await server.close();
});

test("the request timeout runs from the first byte of a request, and later bytes do not restart it", async () => {
  // When each byte restarted the timeout, a slow client could hold its connection forever.
  const port = await freePort();
  const timers: { readonly run: () => void; readonly delay: number; cancelled: boolean }[] = [];
  const clock = {
    now: () => 0 as Micros,
    after: (delay: Micros, run: () => void) => {
      const timer = { run, delay, cancelled: false };
      timers.push(timer);
      return {
        cancel: () => {
          timer.cancelled = true;
        },
      };
    },
  };
  const server = new HttpServer(
    clock,
    {
      maxConnections: 3,
      keepConnections: 3,
      requestTimeout: seconds(10),
      idleTimeout: seconds(60),
      maxConcurrentRequests: 1,
    },
    async () => ({ status: 200, body: "{}" }),
    (error) => assert.fail(String(error)),
  );
  await server.listen("127.0.0.1", port);
  const socket = connect(port, "127.0.0.1");
  const ended = receiveUntilClosed(socket);
  const waitBetweenBytes = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 20));
  await new Promise((resolve) => socket.once("connect", resolve));
  const activeTimers = (): typeof timers => timers.filter(({ cancelled }) => !cancelled);
  // On a new connection, and on one that has already served a request.
  for (const text of ["GET /a HTTP/1.1\r\n\r", "\nGET /b HTTP/1.1\r\n"]) {
    for (const byte of text) {
      socket.write(byte);
      await waitBetweenBytes();
    }
  }
  const timerCount = timers.length;
  const requestTimer = activeTimers()[0];
  requestTimer?.run();
  const text = await Promise.race([ended, waitBetweenBytes().then(() => "still open")]);
  socket.destroy();
  await server.close();
  assert.equal(timerCount, 3, "one timer each for the new connection, its idle timeout and the second request");
  assert.equal(requestTimer?.delay, seconds(10));
  assert.match(text, /^HTTP\/1\.1 200 /);
});

test("links are shown as a table, followed by one line for each problem", () => {
  const healthy = {
    state: "reached",
    cloud: "reached",
    workers: "heard",
    siblings: { "ctl-1": "reached" },
    machines: { up: 7, heardNotReached: [], silent: [], zonesCut: [], mayAct: true, roomKeptFor: null },
  };
  assert.match(
    linksText(healthy),
    /state service +reached[\s\S]*ctl-1 +reached[\s\S]*7 up, held here[\s\S]*no troubles$/,
  );
  const machineNames = Array.from({ length: 7 }, (_, index) => `n-${index}`);
  const degraded = {
    ...healthy,
    state: "refused to me",
    siblings: { "ctl-1": "not reached" },
    machines: { ...healthy.machines, heardNotReached: machineNames, mayAct: false, roomKeptFor: "wk-1" },
  };
  assert.deepEqual(linkTroubles(degraded), [
    "state service: refused to me",
    "controller ctl-1: not reached",
    "holds the machines without the right to act: no word of the state service",
    "machines heard, but not reached: n-0, n-1, n-2, n-3, n-4 and 2 more",
    "room that comes free is kept for wk-1",
  ]);
  // The controller leads no shard, and there is no mesh.
  assert.deepEqual(linkTroubles({ machines: null }), []);
});
