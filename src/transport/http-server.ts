import { createServer, type Server, type Socket } from "node:net";
import type { Clock, Micros, Timer } from "./clock.js";
import type { HttpHandler, HttpResponse } from "./http.js";
import { HttpError, HttpParser } from "./http-parser.js";

export interface ServerLimits {
  readonly maxConnections: number;
  /**
   * With more connections than this, each is closed with its next answer. More hosts than the limit can then take
   * turns: with all connections kept open, whoever came late was refused time and again, and went round all
   * controllers once a second until its worker's lease was over.
   */
  readonly keepConnections: number;
  /** A connection on which a begun request is not complete within this time, counted from its first byte, is closed. */
  readonly requestTimeout: Micros;
  readonly idleTimeout: Micros;
  /** Requests being worked on at once, over all connections; beyond it load is shed. */
  readonly maxBusy: number;
}

const REASONS: Readonly<Record<number, string>> = {
  200: "OK",
  201: "Created",
  400: "Bad Request",
  404: "Not Found",
  405: "Method Not Allowed",
  413: "Content Too Large",
  421: "Misdirected Request",
  422: "Unprocessable Content",
  431: "Request Header Fields Too Large",
  500: "Internal Server Error",
  501: "Not Implemented",
  503: "Service Unavailable",
  504: "Gateway Timeout",
  505: "HTTP Version Not Supported",
};

const render = (response: HttpResponse, keepAlive: boolean): string => {
  const retry = response.retryAfterS === undefined ? "" : `Retry-After: ${response.retryAfterS}\r\n`;
  const connection = keepAlive ? "" : "Connection: close\r\n";
  const length = Buffer.byteLength(response.body);
  return `HTTP/1.1 ${response.status} ${REASONS[response.status] ?? "Status"}\r\nContent-Type: application/json\r\nContent-Length: ${length}\r\n${retry}${connection}\r\n${response.body}`;
};

export class HttpServer {
  private readonly server: Server;
  private busy = 0;
  private readonly open = new Set<Socket>();

  constructor(
    private readonly clock: Clock,
    private readonly limits: ServerLimits,
    private readonly handler: HttpHandler,
    private readonly onError: (error: unknown) => void,
  ) {
    this.server = createServer({ noDelay: true }, (socket) => this.serve(socket));
    this.server.maxConnections = limits.maxConnections;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(port, host, 1_024, () => {
        this.server.removeListener("error", reject);
        this.server.on("error", this.onError);
        resolve();
      });
    });
  }

  /** Connections open now. */
  get connections(): number {
    return this.open.size;
  }

  /** The port listened on, where any free one was asked for; 0 before. */
  get port(): number {
    const address = this.server.address();
    return address === null || typeof address === "string" ? 0 : address.port;
  }

  /** Stops listening; what is open is cut. */
  close(): Promise<void> {
    for (const socket of this.open) socket.destroy();
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private serve(socket: Socket): void {
    this.open.add(socket);
    const parser = new HttpParser("request", { headBytes: 16_384, bodyBytes: 65_536 });
    let working = false;
    /** Until the first answer, the bound runs from the beginning of the connection. */
    let answered = false;
    let timer: Timer | null = null;
    const arm = (delay: Micros): void => {
      timer?.cancel();
      timer = this.clock.after(delay, () => socket.destroy());
    };
    const fail = (error: unknown): void => {
      const status = error instanceof HttpError ? error.status : 400;
      socket.end(render({ status, body: '{"error":"malformed request"}' }, false));
      arm(this.limits.requestTimeout);
    };
    socket.on("error", () => socket.destroy());
    socket.on("close", () => {
      timer?.cancel();
      this.open.delete(socket);
    });
    arm(this.limits.requestTimeout);
    socket.on("data", (data: Buffer) => {
      if (socket.writableEnded) return;
      try {
        // One bound for the whole request: started anew with each byte, it let a client that sent one every few
        // seconds keep its connection for ever.
        if (!working && parser.idle && answered) arm(this.limits.requestTimeout);
        const messages = parser.push(data);
        const message = messages[0];
        if (message === undefined) return;
        // The protocol has no pipelining; answering out of turn would be worse than refusing.
        if (working || messages.length > 1) throw new HttpError(400, "pipelined");
        working = true;
        timer?.cancel();
        const [method, target] = message.start;
        this.answer({ method, target, body: message.body.toString("utf8") })
          .then((response) => {
            working = false;
            answered = true;
            if (socket.destroyed || socket.writableEnded) return;
            const keep = message.keepAlive && response.close !== true && this.open.size <= this.limits.keepConnections;
            if (keep) socket.write(render(response, true));
            else socket.end(render(response, false));
            arm(keep ? this.limits.idleTimeout : this.limits.requestTimeout);
          })
          .catch(this.onError);
      } catch (error) {
        fail(error);
      }
    });
  }

  private async answer(request: Parameters<HttpHandler>[0]): Promise<HttpResponse> {
    if (this.busy >= this.limits.maxBusy) return { status: 503, body: '{"error":"overloaded"}', retryAfterS: 1 };
    this.busy += 1;
    try {
      return await this.handler(request);
    } catch (error) {
      this.onError(error);
      return { status: 500, body: '{"error":"internal"}' };
    } finally {
      this.busy -= 1;
    }
  }
}
