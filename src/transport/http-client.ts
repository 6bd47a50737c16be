import { connect, type Socket } from "node:net";
import type { Clock, Micros, Timer } from "./clock.js";
import { ms } from "./clock.js";
import type { HttpClient, HttpOutcome, HttpRequest } from "./http.js";
import { HttpParser } from "./http-parser.js";

const MAX_IDLE_PER_HOST = 8;
const CONNECT_TIMEOUT = ms(1_000);
/** Long enough to serve the next report, short enough that silent hosts do not hold sockets. */
const IDLE_TIMEOUT = ms(20_000);

export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

interface Idle {
  readonly socket: Socket;
  readonly timer: Timer;
  readonly drop: () => void;
}

/** Keep-alive client with one request at a time on each connection. */
export class NetHttpClient implements HttpClient {
  private readonly idle = new Map<string, Idle[]>();
  private idleCount = 0;
  private underWay = 0;

  /** `maxIdle`: over all hosts; beyond it the connection that has been idle longest is closed. */
  constructor(
    private readonly clock: Clock,
    private readonly maxIdle: number,
  ) {}

  /** Connections open or being opened now. */
  get connections(): number {
    return this.idleCount + this.underWay;
  }

  async call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    const deadline = this.clock.now() + timeout;
    this.underWay += 1;
    try {
      const pooled = this.take(address);
      const socket = pooled ?? (await this.open(address, Math.min(timeout, CONNECT_TIMEOUT) as Micros));
      if (socket === null) return { kind: "unsent" };
      return await this.exchange(address, socket, request, Math.max(1_000, deadline - this.clock.now()) as Micros);
    } finally {
      this.underWay -= 1;
    }
  }

  private take(address: string): Socket | null {
    const list = this.idle.get(address);
    for (let entry = list?.pop(); entry !== undefined; entry = list?.pop()) {
      this.idleCount -= 1;
      entry.timer.cancel();
      entry.socket.removeAllListeners();
      if (list?.length === 0) this.idle.delete(address);
      if (!entry.socket.destroyed && entry.socket.writable) return entry.socket;
      entry.socket.destroy();
    }
    return null;
  }

  private give(address: string, socket: Socket): void {
    const list = this.idle.get(address) ?? [];
    this.idle.set(address, list);
    socket.removeAllListeners();
    if (list.length >= MAX_IDLE_PER_HOST) {
      socket.on("error", () => undefined);
      socket.destroy();
      return;
    }
    const drop = (): void => {
      timer.cancel();
      socket.destroy();
      const at = list.findIndex((entry) => entry.socket === socket);
      if (at < 0) return;
      list.splice(at, 1);
      this.idleCount -= 1;
      if (list.length === 0 && this.idle.get(address) === list) this.idle.delete(address);
    };
    const timer = this.clock.after(IDLE_TIMEOUT, drop);
    socket.on("error", drop);
    socket.on("close", drop);
    socket.on("end", drop);
    socket.on("data", drop);
    list.push({ socket, timer, drop });
    this.idleCount += 1;
    // Hosts are kept in the order in which they were last used.
    this.idle.delete(address);
    this.idle.set(address, list);
    if (this.idleCount <= this.maxIdle) return;
    for (const [, [oldest]] of this.idle) {
      if (oldest === undefined) continue;
      oldest.drop();
      return;
    }
  }

  private open(address: string, timeout: Micros): Promise<Socket | null> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true });
      const done = (result: Socket | null): void => {
        timer.cancel();
        socket.removeAllListeners();
        if (result === null) {
          socket.on("error", () => undefined);
          socket.destroy();
        }
        resolve(result);
      };
      const timer = this.clock.after(timeout, () => done(null));
      socket.on("connect", () => done(socket));
      socket.on("error", () => done(null));
    });
  }

  private exchange(address: string, socket: Socket, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    return new Promise((resolve) => {
      const parser = new HttpParser("response", { headBytes: 16_384, bodyBytes: 64 * 1024 * 1024 });
      const lost = (): void => {
        timer.cancel();
        socket.removeAllListeners();
        socket.on("error", () => undefined);
        socket.destroy();
        resolve({ kind: "lost" });
      };
      const timer = this.clock.after(timeout, lost);
      socket.on("error", lost);
      socket.on("close", lost);
      socket.on("end", lost);
      socket.on("data", (data: Buffer) => {
        try {
          const messages = parser.push(data);
          const message = messages[0];
          if (message === undefined) return;
          timer.cancel();
          if (message.keepAlive && messages.length === 1 && parser.idle) this.give(address, socket);
          else {
            socket.removeAllListeners();
            socket.on("error", () => undefined);
            socket.destroy();
          }
          const retry = message.headers.get("retry-after");
          resolve({
            kind: "answer",
            status: Number(message.start[1]),
            body: message.body.toString("utf8"),
            retryAfterS: retry !== undefined && /^\d{1,6}$/.test(retry) ? Number(retry) : null,
          });
        } catch {
          lost();
        }
      });
      const head = `${request.method} ${request.target} HTTP/1.1\r\nHost: ${address}\r\n`;
      const content =
        request.body === ""
          ? "Content-Length: 0\r\n\r\n"
          : `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(request.body)}\r\n\r\n${request.body}`;
      socket.write(head + content);
    });
  }
}
