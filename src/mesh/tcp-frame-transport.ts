/** Connections between controllers over TCP. */
import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "../transport/http-client.js";
import type { Log } from "../transport/log.js";
import type { FrameConnection, FrameTransport } from "./frame-connection.js";
import { LogEvent } from "./log-events.js";

/** Above the possible number of peers: connections in excess of it cannot all come from peers. */
const MAX_INCOMING_CONNECTIONS = 64;
const KEEP_ALIVE_MS = 10_000;

const noop = (): void => undefined;

const connectionOf = (socket: Socket): FrameConnection => {
  const connection: FrameConnection = {
    write: (data) => socket.write(data),
    close: () => {
      socket.removeAllListeners();
      // A destroyed socket may still emit an error, which would terminate the process if there were no listener.
      socket.on("error", noop);
      socket.destroy();
    },
    onData: noop,
    onDrain: noop,
    onClosed: noop,
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

/** Opens and accepts TCP connections. */
export class TcpFrameTransport implements FrameTransport {
  private server: Server | null = null;

  /** `address`: `host:port` to listen on. */
  constructor(
    private readonly address: string,
    private readonly log: Log,
  ) {}

  /** Stops accepting connections; open connections are kept. */
  close(): void {
    this.server?.close();
  }

  connect(address: string): FrameConnection {
    return connectionOf(connect(splitAddress(address)));
  }

  listen(onConnection: (connection: FrameConnection) => void): void {
    const server = createServer((socket) => onConnection(connectionOf(socket)));
    this.server = server;
    server.maxConnections = MAX_INCOMING_CONNECTIONS;
    // The controller works without a mesh, so a failure to listen ends neither the process nor outgoing connections.
    server.on("error", (error) =>
      this.log.error(LogEvent.ListenFailed, { setting: "mesh_addr", error: String(error) }),
    );
    server.listen(splitAddress(this.address));
  }
}
