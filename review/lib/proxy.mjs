// A TCP proxy on loopback whose connections can be reset and, for a while, refused, as by a cut that resets connections.
import { connect, createServer } from "node:net";
import { ownerOf } from "./owner.mjs";

export class ResettingProxy {
  pairs = new Set();
  cutUntil = 0;
  /** Called with each piece of an answer before it is passed on; true: the cut begins here, the piece is lost. */
  cutsAt = () => false;
  onCut = () => undefined;

  async start(target) {
    const [host, port] = target.split(":");
    this.server = createServer((near) => {
      if (performance.now() < this.cutUntil) {
        near.resetAndDestroy();
        return;
      }
      const far = connect({ host, port: Number(port) });
      const pair = { near, far };
      this.pairs.add(pair);
      const drop = () => {
        this.pairs.delete(pair);
        near.destroy();
        far.destroy();
      };
      for (const socket of [near, far]) {
        socket.setNoDelay(true);
        socket.on("error", drop);
        socket.on("close", drop);
      }
      near.on("data", (data) => far.write(data));
      far.on("data", (data) => {
        if (this.cutsAt(data)) this.onCut();
        else near.write(data);
      });
    });
    await new Promise((resolve, reject) => {
      this.server.on("error", reject);
      this.server.listen(0, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Resets all connections, and those that come within `ms`. */
  cut(ms) {
    this.cutUntil = performance.now() + ms;
    for (const { near, far } of [...this.pairs]) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
    this.pairs.clear();
  }

  close() {
    this.cut(0);
    return new Promise((resolve) => this.server.close(() => resolve()));
  }
}

/**
 * A proxy with one address for all controllers, as the state service has: passes each controller's connections on to
 * the address that `targets` has for it, and can cut off one controller.
 */
export class SharedProxy {
  pairs = new Set();
  cutUntil = [];

  /** `pids()`: the present processes of the controllers, null for those that are away. */
  async start(targets, pids) {
    this.server = createServer((near) => {
      near.on("error", () => near.destroy());
      const node = ownerOf(near.remotePort, this.port, pids());
      if (node < 0 || performance.now() < (this.cutUntil[node] ?? 0)) {
        near.resetAndDestroy();
        return;
      }
      const [host, port] = targets[node].split(":");
      const far = connect({ host, port: Number(port) });
      const pair = { near, far, node };
      this.pairs.add(pair);
      const drop = () => {
        this.pairs.delete(pair);
        near.destroy();
        far.destroy();
      };
      for (const socket of [near, far]) {
        socket.setNoDelay(true);
        socket.on("error", drop);
        socket.on("close", drop);
      }
      near.on("data", (data) => far.write(data));
      far.on("data", (data) => near.write(data));
    });
    await new Promise((resolve, reject) => {
      this.server.on("error", reject);
      this.server.listen(0, "127.0.0.1", resolve);
    });
    this.port = this.server.address().port;
    return `127.0.0.1:${this.port}`;
  }

  /** Resets the controller's connections, and those that come within `ms`. */
  cut(node, ms) {
    this.cutUntil[node] = performance.now() + ms;
    for (const pair of [...this.pairs]) {
      if (pair.node !== node) continue;
      this.pairs.delete(pair);
      pair.near.resetAndDestroy();
      pair.far.resetAndDestroy();
    }
  }

  close() {
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
    return new Promise((resolve) => this.server.close(() => resolve()));
  }
}
