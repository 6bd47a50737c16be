/** HTTP/1.1 server with bounds on connections, on the time of a request, and on requests being handled at once. */
import { createServer, type Server, type Socket } from "node:net";
import type { Clock, Micros } from "./clock.js";
import type { HttpHandler, HttpRequest, HttpResponse } from "./http.js";
import { ServerConnection, type ServerConnectionOptions } from "./http-server-connection.js";

/** Bounds of a server. */
export interface ServerLimits {
  /** Connections open at once; a further one is closed as soon as it is accepted. */
  readonly maxConnections: number;
  /**
   * With more connections than this, each is closed with its next response. More hosts than the limit can then take
   * turns: with all connections kept open, whoever came late was refused time and again, and went round all
   * controllers once a second until its worker's lease had expired.
   */
  readonly keepConnections: number;
  /** A connection on which a begun request is not complete within this time, counted from its first byte, is closed. */
  readonly requestTimeout: Micros;
  /** A connection that waits for its next request for this time is closed. */
  readonly idleTimeout: Micros;
  /** Requests being handled at once, over all connections; beyond it load is shed. */
  readonly maxBusy: number;
}

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1_024;
const OVERLOADED: HttpResponse = { status: 503, body: '{"error":"overloaded"}', retryAfterS: 1 };
const INTERNAL_ERROR: HttpResponse = { status: 500, body: '{"error":"internal"}' };

/** A listening server. `onError` is told of handlers' rejections and of errors while listening. */
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

  /** Resolves once connections are accepted. Port 0: any free one. Rejects with the system's error. */
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

  /** Connections open now. */
  get connections(): number {
    return this.openSockets.size;
  }

  /** The port listened on, where any free one was asked for; 0 before. */
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
    if (this.requestsInProgress >= this.limits.maxBusy) return OVERLOADED;
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
