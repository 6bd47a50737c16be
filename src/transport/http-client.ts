/** HTTP/1.1 client over TCP with a pool of keep-alive connections. */
import { connect, type Socket } from "node:net";
import { type Clock, type Micros, ms } from "./clock.js";
import type { HttpClient, HttpOutcome, HttpRequest } from "./http.js";
import { type HttpMessage, HttpParser, type ParserLimits } from "./http-parser.js";
import { discardSocket, IdleConnections } from "./idle-connections.js";

const CONNECT_TIMEOUT = ms(1_000);
/** Least time for sending the request and reading the response, even if connecting has used up the call's timeout. */
const MIN_EXCHANGE_TIMEOUT = ms(1);
/** Maximum sizes of a response's head and body, in bytes. */
const RESPONSE_LIMITS: ParserLimits = { headBytes: 16_384, bodyBytes: 64 * 1024 * 1024 };
const RETRY_AFTER_SECONDS = /^\d{1,6}$/;

/** Splits an address "host:port" at its last colon. The port is NaN if it is not a number. */
export const splitAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(":");
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/** Keep-alive client with one request at a time on each connection. */
export class NetHttpClient implements HttpClient {
  private readonly idle: IdleConnections;
  private callsInProgress = 0;

  /** `maxIdle`: limit on idle connections in total; beyond it, one of the least recently used host is closed. */
  constructor(
    private readonly clock: Clock,
    maxIdle: number,
  ) {
    this.idle = new IdleConnections(clock, maxIdle);
  }

  /** Number of connections that are open or being opened. */
  get connections(): number {
    return this.idle.size + this.callsInProgress;
  }

  async call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    const deadline = this.clock.now() + timeout;
    this.callsInProgress += 1;
    try {
      const connectTimeout = Math.min(timeout, CONNECT_TIMEOUT) as Micros;
      const socket = this.idle.take(address) ?? (await this.connect(address, connectTimeout));
      if (socket === null) return { kind: "unsent" };
      const exchangeTimeout = Math.max(MIN_EXCHANGE_TIMEOUT, deadline - this.clock.now()) as Micros;
      return await this.exchange(address, socket, request, exchangeTimeout);
    } finally {
      this.callsInProgress -= 1;
    }
  }

  /** Opens a connection; null if it fails or is not established within `timeout`. */
  private connect(address: string, timeout: Micros): Promise<Socket | null> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port, noDelay: true });
      const succeed = (): void => {
        timer.cancel();
        socket.removeAllListeners();
        resolve(socket);
      };
      const fail = (): void => {
        timer.cancel();
        discardSocket(socket);
        resolve(null);
      };
      const timer = this.clock.after(timeout, fail);
      socket.on("connect", succeed);
      socket.on("error", fail);
    });
  }

  /** Sends a request and reads its response; the connection is pooled afterwards if it can carry another request. */
  private exchange(address: string, socket: Socket, request: HttpRequest, timeout: Micros): Promise<HttpOutcome> {
    return new Promise((resolve) => {
      const parser = new HttpParser("response", RESPONSE_LIMITS);
      const settleAsLost = (): void => {
        timer.cancel();
        discardSocket(socket);
        resolve({ kind: "lost" });
      };
      const timer = this.clock.after(timeout, settleAsLost);
      for (const event of ["error", "close", "end"]) socket.on(event, settleAsLost);
      socket.on("data", (data: Buffer) => {
        const messages = parseResponses(parser, data);
        if (messages === null) return settleAsLost();
        const [message] = messages;
        if (message === undefined) return;
        timer.cancel();
        if (message.keepAlive && messages.length === 1 && parser.idle) this.idle.put(address, socket);
        else discardSocket(socket);
        resolve(outcomeOf(message));
      });
      socket.write(encodeRequest(address, request));
    });
  }
}

/** The responses completed by `data`; null if the data is malformed. */
const parseResponses = (parser: HttpParser, data: Buffer): readonly HttpMessage[] | null => {
  try {
    return parser.push(data);
  } catch {
    return null;
  }
};

const outcomeOf = (message: HttpMessage): HttpOutcome => {
  const retryAfter = message.headers.get("retry-after");
  return {
    kind: "answer",
    status: Number(message.start[1]),
    body: message.body.toString("utf8"),
    retryAfterS: retryAfter !== undefined && RETRY_AFTER_SECONDS.test(retryAfter) ? Number(retryAfter) : null,
  };
};

const encodeRequest = (address: string, { method, target, body }: HttpRequest): string => {
  const contentType = body === "" ? "" : "Content-Type: application/json\r\n";
  const length = Buffer.byteLength(body);
  return `${method} ${target} HTTP/1.1\r\nHost: ${address}\r\n${contentType}Content-Length: ${length}\r\n\r\n${body}`;
};
