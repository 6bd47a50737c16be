// A TCP proxy on loopback that can pass, hold back (and deliver late, in order), reset, refuse or swallow.
import { connect, createServer } from "node:net";

export class Proxy {
  /** target: "host:port", or a function that returns it. */
  constructor(target) {
    this.target = typeof target === "function" ? target : () => target;
    this.mode = "pass";
    this.pairs = new Set();
  }

  listen() {
    return new Promise((resolve, reject) => {
      this.server = createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
      this.server.on("error", reject);
      this.server.listen(0, "127.0.0.1", () => {
        this.address = `127.0.0.1:${this.server.address().port}`;
        resolve(this);
      });
    });
  }

  accept(client) {
    client.setNoDelay(true);
    client.on("error", () => client.destroy());
    if (this.mode === "refuse" || this.mode === "reset") return client.resetAndDestroy();
    // A connection attempt during an interruption never completes: what is sent on it is never delivered.
    if (this.mode !== "pass") {
      client.on("data", () => undefined);
      client.on("end", () => client.destroy());
      return undefined;
    }
    const [host, port] = this.target().split(":");
    const server = connect({ host, port: Number(port), noDelay: true, allowHalfOpen: true });
    const pair = { client, server, queue: [] };
    this.pairs.add(pair);
    const pass = (to, what) => {
      if (this.mode === "pass" && pair.queue.length === 0) this.deliver(to, what);
      else pair.queue.push([to, what]);
    };
    client.on("data", (data) => pass(server, data));
    server.on("data", (data) => pass(client, data));
    client.on("end", () => pass(server, null));
    server.on("end", () => pass(client, null));
    client.on("error", () => pass(server, null));
    server.on("error", () => {
      client.destroy();
      this.pairs.delete(pair);
    });
    server.on("close", () => {
      if (this.mode === "pass") client.end();
      this.pairs.delete(pair);
    });
    return undefined;
  }

  deliver(to, what) {
    if (to.destroyed || to.writableEnded) return;
    if (what === null) to.end();
    else to.write(what);
  }

  /** mode: "pass", "hold", "reset", "refuse", "swallow". */
  set(mode) {
    this.mode = mode;
    if (mode === "reset") {
      for (const { client, server } of this.pairs) {
        client.resetAndDestroy();
        server.resetAndDestroy();
      }
      this.pairs.clear();
    }
    if (mode === "pass") {
      for (const pair of this.pairs) {
        const { queue } = pair;
        pair.queue = [];
        for (const [to, what] of queue) this.deliver(to, what);
      }
    }
  }
}
