/** Pool of the HTTP client's idle keep-alive connections, limited per host and in total. */
import type { Socket } from "node:net";
import { type Clock, seconds, type Timer } from "./clock.js";

const MAX_IDLE_PER_HOST = 8;
/** Long enough for the next heartbeat to reuse a connection, short enough that inactive hosts do not hold sockets. */
const IDLE_TIMEOUT = seconds(20);

interface IdleConnection {
  readonly socket: Socket;
  readonly timer: Timer;
  readonly close: () => void;
}

/** Closes a connection that is no longer needed and ignores its later errors. */
export const discardSocket = (socket: Socket): void => {
  socket.removeAllListeners();
  socket.on("error", () => undefined);
  socket.destroy();
};

/** Pool of idle connections, keyed by address. */
export class IdleConnections {
  /** Connections by address, the least recently used address first. */
  private readonly byAddress = new Map<string, IdleConnection[]>();
  private count = 0;

  /** `maxIdle`: limit over all hosts; beyond that, the oldest connection of the least recently used host is closed. */
  constructor(
    private readonly clock: Clock,
    private readonly maxIdle: number,
  ) {}

  /** Number of idle connections over all hosts. */
  get size(): number {
    return this.count;
  }

  /** Removes and returns the most recently used open connection to this address; null if there is none. */
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

  /** Adds a connection whose last response has been read completely, or closes it if the host has enough of them. */
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
    if (this.count > this.maxIdle) this.closeLeastRecentlyUsed();
  }

  /** Closes the connection on idle timeout, and on any event from the other side, such as unsolicited data. */
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

  private closeLeastRecentlyUsed(): void {
    for (const [, [oldest]] of this.byAddress) {
      if (oldest === undefined) continue;
      oldest.close();
      return;
    }
  }
}
