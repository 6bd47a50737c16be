/** Connections of the HTTP client that wait for their next request, bounded by host and in all. */
import type { Socket } from "node:net";
import { type Clock, seconds, type Timer } from "./clock.js";

const MAX_IDLE_PER_HOST = 8;
/** Long enough to serve the next heartbeat, short enough that silent hosts do not hold sockets. */
const IDLE_TIMEOUT = seconds(20);

interface IdleConnection {
  readonly socket: Socket;
  readonly timer: Timer;
  readonly close: () => void;
}

/** Closes a connection of which nothing is expected any more; later errors of it are ignored. */
export const discardSocket = (socket: Socket): void => {
  socket.removeAllListeners();
  socket.on("error", () => undefined);
  socket.destroy();
};

/** Pool of idle connections by address. */
export class IdleConnections {
  /** Addresses in the order in which they were last used. */
  private readonly byAddress = new Map<string, IdleConnection[]>();
  private count = 0;

  /** `maxIdle`: over all hosts; beyond it the connection that has been idle longest is closed. */
  constructor(
    private readonly clock: Clock,
    private readonly maxIdle: number,
  ) {}

  /** Idle connections over all hosts. */
  get size(): number {
    return this.count;
  }

  /** Removes and returns the connection to this address that was used last; null: there is none. */
  take(address: string): Socket | null {
    const connections = this.byAddress.get(address);
    if (connections === undefined) return null;
    for (let connection = connections.pop(); connection !== undefined; connection = connections.pop()) {
      const { socket, timer } = connection;
      this.count -= 1;
      timer.cancel();
      socket.removeAllListeners();
      if (connections.length === 0) this.byAddress.delete(address);
      if (!socket.destroyed && socket.writable) return socket;
      socket.destroy();
    }
    return null;
  }

  /** Takes over a connection whose last response has been read in full. */
  put(address: string, socket: Socket): void {
    const connections = this.byAddress.get(address) ?? [];
    if (connections.length >= MAX_IDLE_PER_HOST) {
      discardSocket(socket);
      return;
    }
    socket.removeAllListeners();
    connections.push(this.watch(address, socket, connections));
    this.count += 1;
    this.byAddress.delete(address);
    this.byAddress.set(address, connections);
    if (this.count > this.maxIdle) this.closeOldest();
  }

  /** Closes the connection when it is idle for too long, and when the other side does anything with it. */
  private watch(address: string, socket: Socket, connections: IdleConnection[]): IdleConnection {
    const close = (): void => {
      timer.cancel();
      socket.destroy();
      this.remove(address, socket, connections);
    };
    const timer = this.clock.after(IDLE_TIMEOUT, close);
    for (const event of ["error", "close", "end", "data"]) socket.on(event, close);
    return { socket, timer, close };
  }

  private remove(address: string, socket: Socket, connections: IdleConnection[]): void {
    const index = connections.findIndex((connection) => connection.socket === socket);
    if (index < 0) return;
    connections.splice(index, 1);
    this.count -= 1;
    if (connections.length === 0 && this.byAddress.get(address) === connections) this.byAddress.delete(address);
  }

  private closeOldest(): void {
    for (const [, [oldest]] of this.byAddress) {
      if (oldest === undefined) continue;
      oldest.close();
      return;
    }
  }
}
