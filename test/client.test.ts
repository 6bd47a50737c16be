import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { abortJob, ClientError, showJob, submitJob } from "../src/client.js";
import { seconds, systemClock } from "../src/transport/clock.js";
import { HttpServer } from "../src/transport/http-server.js";

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });

test("client and server speak over real sockets, and errors are one line", async () => {
  const port = await freePort();
  const seen: string[] = [];
  const server = new HttpServer(
    systemClock,
    { maxConnections: 10, requestTimeout: seconds(5), idleTimeout: seconds(5), maxBusy: 10 },
    async (request) => {
      seen.push(`${request.method} ${request.target}`);
      if (request.target.endsWith("/abort")) return { status: 503, body: "{}", retryAfterS: 2 };
      return { status: 200, body: '{"ref":"wk-1","phase":"done"}' };
    },
    (error) => assert.fail(String(error)),
  );
  await server.listen("127.0.0.1", port);
  const address = `127.0.0.1:${port}`;
  const failing = (work: Promise<string>, text: RegExp): Promise<void> =>
    assert.rejects(
      work,
      (error) => error instanceof ClientError && text.test(error.message) && !/\n/.test(error.message),
    );
  assert.equal(await showJob(address, "wk-1"), '{"ref":"wk-1","phase":"done"}');
  await failing(abortJob(address, "wk-1"), /status 503.*2 s/);
  await failing(showJob(address, "a/b"), /not a job id/);
  await failing(showJob("nowhere", "wk-1"), /not an address/);
  await failing(submitJob(address, "/no/such/file"), /ENOENT/);
  await failing(showJob(`127.0.0.1:${await freePort()}`, "wk-1"), /cannot be reached/);
  assert.deepEqual(seen, ["GET /v2/runs/wk-1", "POST /v2/runs/wk-1/abort"]);
  await server.close();
});
