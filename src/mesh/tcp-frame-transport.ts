import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "../transport/http-client.js";
import type { Log } from "../transport/log.js";
import type { FrameConnection, FrameTransport } from "./frame-connection.js";

const ignore = (): void => undefined;
/** More than siblings there can be: somebody else knocks. */
const MAX_INCOMING_CONNECTIONS = 64;
const KEEP_ALIVE_MS = 10_000;

const connectionOf = (socket: Socket): FrameConnection => {
  const connection: FrameConnection = {
    write: (data) => socket.write(data),
    close: () => {
      socket.removeAllListeners();
      socket.on("error", ignore);
      socket.destroy();
    },
    onData: ignore,
    onDrain: ignore,
    onClosed: ignore,
  };
  const handleClose = (): void => {
    connection.close();
    connection.onClosed();
  };
  socket.setNoDelay(true);
  socket.setKeepAlive(true, KEEP_ALIVE_MS);
  socket.on("data", (data: Buffer) => connection.onData(data));
  socket.on("drain", () => connection.onDrain());
  socket.on("error", handleClose);
  socket.on("end", handleClose);
  socket.on("close", handleClose);
  return connection;
};

/** Connections over TCP. */
export class TcpFrameTransport implements FrameTransport {
  private server: Server | null = null;

  constructor(
    private readonly address: string,
    private readonly log: Log,
  ) {}

  /** Takes no more connections; those there are stay. */
  close(): void {
    this.server?.close();
  }

  connect(address: string): FrameConnection {
    return connectionOf(connect(splitAddress(address)));
  }

  listen(onConnection: (wire: FrameConnection) => void): void {
    const server = createServer((socket) => onConnection(connectionOf(socket)));
    this.server = server;
    server.maxConnections = MAX_INCOMING_CONNECTIONS;
    // Without the mesh the service goes on as it did before there was one.
    server.on("error", (error) => this.log.error("mesh_addr: cannot listen", { error: String(error) }));
    server.listen(splitAddress(this.address));
  }
}
