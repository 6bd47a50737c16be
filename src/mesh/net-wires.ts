import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "../transport/http-client.js";
import type { Log } from "../transport/log.js";
import type { Wire, Wires } from "./wire.js";

const nothing = (): void => undefined;
/** More than siblings there can be: somebody else knocks. */
const MOST_INCOMING = 64;
const KEEP_ALIVE_MS = 10_000;

const wireOf = (socket: Socket): Wire => {
  const wire: Wire = {
    write: (data) => socket.write(data),
    close: () => {
      socket.removeAllListeners();
      socket.on("error", nothing);
      socket.destroy();
    },
    onData: nothing,
    onDrain: nothing,
    onEnd: nothing,
  };
  const end = (): void => {
    wire.close();
    wire.onEnd();
  };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  socket.on("data", (data: Buffer) => wire.onData(data));
  socket.on("drain", () => wire.onDrain());
  socket.on("error", end);
  socket.on("end", end);
  socket.on("close", end);
  return wire;
};

/** Connections over TCP. */
export class NetWires implements Wires {
  private server: Server | null = null;

  constructor(
    private readonly address: string,
    private readonly log: Log,
  ) {}

  /** Takes no more connections; those there are stay. */
  close(): void {
    this.server?.close();
  }

  connect(address: string): Wire {
    return wireOf(connect(splitAddress(address)));
  }

  listen(onWire: (wire: Wire) => void): void {
    const server = createServer((socket) => onWire(wireOf(socket)));
    this.server = server;
    server.maxConnections = MOST_INCOMING;
    // Without the mesh the service goes on as it did before there was one.
    server.on("error", (error) => this.log.error("mesh_addr: cannot listen", { error: String(error) }));
    server.listen(splitAddress(this.address));
  }
}
