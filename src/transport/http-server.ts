/** HTTP/1.1 server that limits connections, the time to receive a request, and concurrent requests. */
import { createServer, type Server, type Socket } from "node:net";
import type { Clock, Micros } from "./clock.js";
import type { HttpHandler, HttpRequest, HttpResponse } from "./http.js";
import { ServerConnection, type ServerConnectionOptions } from "./http-server-connection.js";

/** Limits of a server. */
export interface ServerLimits {
  /** Most open connections; further ones are closed as soon as they are accepted. */
  readonly maxConnections: number;
  /**
   * While more connections than this are open, each is closed after its next response, so that more hosts than
   * `maxConnections` can take turns. With all connections kept open, late hosts were refused repeatedly and tried every
   * controller once a second until their workers' leases expired.
   */
  readonly keepConnections: number;
  /** A connection is closed if a request is incomplete for this time after its first byte. */
  readonly requestTimeout: Micros;
  /** A connection is closed after being idle for this time since its last response. */
  readonly idleTimeout: Micros;
  /** Most requests handled concurrently over all connections; further ones are shed with status 503. */
  readonly maxConcurrentRequests: number;
}

/** Length of the queue of connections waiting to be accepted. */
const LISTEN_BACKLOG = 1_024;
const OVERLOADED: HttpResponse = { status: 503, body: '{"error":"overloaded"}', retryAfterS: 1 };
const INTERNAL_ERROR: HttpResponse = { status: 500, body: '{"error":"internal"}' };

/** HTTP server. `onError` receives rejections of the handler, and socket errors after listening has begun. */
export class HttpServer {
  private readonly server: Server;
  private readonly connectionOptions: ServerConnectionOptions;
  private readonly openSockets = new Set<Socket>();
  private requestsInProgress = 0;

  constructor(
    clock: Clock,
    private readonly limits: ServerLimits,
    private readonly handler: HttpHandler,
    private readonly onError: (error: unknown) => void,
  ) {
    this.connectionOptions = {
      clock,
      requestTimeout: limits.requestTimeout,
      idleTimeout: limits.idleTimeout,
      handle: (request) => this.handle(request),
      mayKeepOpen: () => this.openSockets.size <= limits.keepConnections,
      onClose: (socket) => this.openSockets.delete(socket),
      onError,
    };
    this.server = createServer({ noDelay: true }, (socket) => this.accept(socket));
    this.server.maxConnections = limits.maxConnections;
  }

  /** Resolves once the server is listening. Port 0: any free port. Rejects with the system's error. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, LISTEN_BACKLOG, () => {
        this.server.removeListener("error", reject);
        this.server.on("error", this.onError);
        resolve();
      });
    });
  }

  /** Number of open connections. */
  get connections(): number {
    return this.openSockets.size;
  }

  /** The port listened on, assigned by the system if `listen` was called with port 0; 0 while not listening. */
  get port(): number {
    const address = this.server.address();
    return address === null || typeof address === "string" ? 0 : address.port;
  }

  /** Stops listening and closes all connections at once. */
  close(): Promise<void> {
    for (const socket of this.openSockets) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private accept(socket: Socket): void {
    this.openSockets.add(socket);
    new ServerConnection(socket, this.connectionOptions);
  }

  private async handle(request: HttpRequest): Promise<HttpResponse> {
    if (this.requestsInProgress >= this.limits.maxConcurrentRequests) return OVERLOADED;
    this.requestsInProgress += 1;
    try {
      return await this.handler(request);
    } catch (error) {
      this.onError(error);
      return INTERNAL_ERROR;
    } finally {
      this.requestsInProgress -= 1;
    }
  }
}
