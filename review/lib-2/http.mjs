// Small HTTP/1.1 server and client of the stand-ins, on loopback only.
import http from "node:http";

/** Starts a server; `handle` gets { method, target, body, socket } and resolves to { status, body } or null (no answer). */
export const serve = (handle, port = 0) =>
  new Promise((resolve, reject) => {
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => undefined);
      response.on("error", () => undefined);
      request.on("end", async () => {
        const body = Buffer.concat(chunks).toString("utf8");
        let reply;
        try {
          reply = await handle({ method: request.method, target: request.url, body, socket: request.socket });
        } catch (error) {
          reply = { status: 500, body: { error: String(error) } };
        }
        if (reply === null || response.destroyed) return;
        const text = typeof reply.body === "string" ? reply.body : JSON.stringify(reply.body);
        response.writeHead(reply.status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
        response.end(text);
      });
    });
    server.keepAliveTimeout = 0;
    server.requestTimeout = 0;
    server.headersTimeout = 0;
    server.timeout = 0;
    server.on("error", reject);
    server.listen(port, "127.0.0.1", () => resolve({ server, address: `127.0.0.1:${server.address().port}` }));
  });

/** One request on a connection of its own pool. Resolves to { status, body } or { status: 0, error }. Never rejects. */
export const call = (address, method, target, body = null, { timeoutMs = 5_000, agent } = {}) =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const text = body === null ? "" : typeof body === "string" ? body : JSON.stringify(body);
    let done = false;
    const finish = (result) => {
      if (done) return;
      done = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request(
      { host, port, method, path: target, agent, headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) } },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", (error) => finish({ status: 0, error: String(error) }));
        response.on("end", () => {
          const raw = Buffer.concat(chunks).toString("utf8");
          let parsed = null;
          try {
            parsed = JSON.parse(raw);
          } catch {}
          finish({ status: response.statusCode, body: parsed, headers: response.headers });
        });
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      finish({ status: 0, error: "timeout" });
    }, timeoutMs);
    request.on("error", (error) => finish({ status: 0, error: error.code ?? String(error) }));
    request.end(text);
  });

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
