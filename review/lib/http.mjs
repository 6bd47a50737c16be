// HTTP helpers of the stand-ins: a server that answers JSON, and a client with keep-alive connections.
import http from "node:http";

/** Reads a request's body as text. */
const bodyOf = (request) =>
  new Promise((resolve, reject) => {
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
    request.on("error", reject);
  });

/**
 * Serves on a free loopback port. `handle` returns `{ status, body }`, or null for no response at all.
 * Resolves to `{ address, close }`.
 */
export const serveJson = (handle) =>
  new Promise((resolve, reject) => {
    const server = http.createServer({ keepAliveTimeout: 120_000 }, async (request, response) => {
      try {
        const body = await bodyOf(request);
        const reply = await handle({ method: request.method, target: request.url, body });
        if (reply === null || response.destroyed) return;
        const text = JSON.stringify(reply.body);
        response.writeHead(reply.status, {
          "Content-Type": "application/json",
          "Content-Length": Buffer.byteLength(text),
        });
        response.end(text);
      } catch (error) {
        response.destroy(error);
      }
    });
    server.on("error", reject);
    server.listen(0, "127.0.0.1", () =>
      resolve({
        address: `127.0.0.1:${server.address().port}`,
        close: () =>
          new Promise((closed) => {
            server.closeAllConnections();
            server.close(() => closed());
          }),
      }),
    );
  });

/**
 * Sends one request. Resolves to `{ status, body }`, with the body parsed, or `{ status: 0, error }` where there was no
 * response within `timeoutMs`.
 */
export const call = (agent, address, method, target, body, timeoutMs) =>
  new Promise((resolve) => {
    const [host, port] = address.split(":");
    const text = body === null ? "" : JSON.stringify(body);
    const headers = { "Content-Length": Buffer.byteLength(text) };
    let settled = false;
    const settle = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request({ host, port, method, path: target, headers, agent }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("end", () => {
        const received = Buffer.concat(chunks).toString("utf8");
        let parsed = null;
        try {
          parsed = JSON.parse(received);
        } catch {
          parsed = null;
        }
        settle({ status: response.statusCode, body: parsed });
      });
      response.on("error", (error) => settle({ status: 0, error: String(error) }));
      response.on("close", () => settle({ status: 0, error: "closed" }));
    });
    const timer = setTimeout(() => {
      settle({ status: 0, error: "no response in time" });
      request.destroy();
    }, timeoutMs);
    request.on("error", (error) => settle({ status: 0, error: error.code ?? String(error) }));
    request.end(text);
  });

export const newAgent = () => new http.Agent({ keepAlive: true, maxSockets: 64 });

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
