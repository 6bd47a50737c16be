/** One connection of the HTTP server: one request at a time, with timeouts for receiving a request and for idling. */
import type { Socket } from "node:net";
import type { Clock, Micros, Timer } from "./clock.js";
import type { HttpHandler, HttpResponse } from "./http.js";
import { HttpError } from "./http-error.js";
import { type HttpMessage, HttpParser, type ParserLimits } from "./http-parser.js";
import { encodeResponse } from "./http-response.js";

/** Maximum sizes of a request's head and body, in bytes. */
const REQUEST_LIMITS: ParserLimits = { headBytes: 16_384, bodyBytes: 65_536 };
const MALFORMED_REQUEST = '{"error":"malformed request"}';
/** Status for errors other than HttpError. */
const DEFAULT_ERROR_STATUS = 400;

/** What the server provides to each of its connections. */
export interface ServerConnectionOptions {
  readonly clock: Clock;
  /** The connection is closed unless a request is complete within this time of its first byte. */
  readonly requestTimeout: Micros;
  /** The connection is closed after being idle for this time since its last response. */
  readonly idleTimeout: Micros;
  readonly handle: HttpHandler;
  /** Whether the server's limits let this connection stay open after the response. */
  readonly mayKeepOpen: () => boolean;
  readonly onClose: (socket: Socket) => void;
  readonly onError: (error: unknown) => void;
}

/** Handles the requests on a socket until it closes. */
export class ServerConnection {
  private readonly parser = new HttpParser("request", REQUEST_LIMITS);
  private handling = false;
  /** Whether a response has been sent; until then the request timeout runs from the start of the connection. */
  private responded = false;
  private timer: Timer | null = null;

  constructor(
    private readonly socket: Socket,
    private readonly options: ServerConnectionOptions,
  ) {
    socket.on("error", () => socket.destroy());
    socket.on("close", () => this.handleClose());
    this.closeAfter(options.requestTimeout);
    socket.on("data", (data: Buffer) => this.handleData(data));
  }

  private handleClose(): void {
    this.timer?.cancel();
    this.options.onClose(this.socket);
  }

  private handleData(data: Buffer): void {
    if (this.socket.writableEnded) return;
    try {
      const message = this.readRequest(data);
      if (message !== null) this.handleRequest(message);
    } catch (error) {
      this.refuse(error);
    }
  }

  /** The request completed by `data`; null if it is still incomplete. Throws HttpError if malformed or pipelined. */
  private readRequest(data: Buffer): HttpMessage | null {
    // One timeout for the whole request: restarted with each byte, it let a client that sent one byte every few
    // seconds hold its connection forever.
    if (!this.handling && this.parser.idle && this.responded) this.closeAfter(this.options.requestTimeout);
    const messages = this.parser.push(data);
    const message = messages[0];
    if (message === undefined) return null;
    // Pipelining is not supported; rejecting it is better than responding out of order.
    if (this.handling || messages.length > 1) throw new HttpError(400, "pipelined request");
    return message;
  }

  private handleRequest(message: HttpMessage): void {
    this.handling = true;
    this.timer?.cancel();
    const [method, target] = message.start;
    this.options
      .handle({ method, target, body: message.body.toString("utf8") })
      .then((response) => this.respond(response, message.keepAlive))
      .catch(this.options.onError);
  }

  private respond(response: HttpResponse, clientKeepsAlive: boolean): void {
    const { socket, options } = this;
    this.handling = false;
    this.responded = true;
    if (socket.destroyed || socket.writableEnded) return;
    const keepAlive = clientKeepsAlive && response.close !== true && options.mayKeepOpen();
    if (keepAlive) socket.write(encodeResponse(response, true));
    else socket.end(encodeResponse(response, false));
    this.closeAfter(keepAlive ? options.idleTimeout : options.requestTimeout);
  }

  private refuse(error: unknown): void {
    const status = error instanceof HttpError ? error.status : DEFAULT_ERROR_STATUS;
    this.socket.end(encodeResponse({ status, body: MALFORMED_REQUEST }, false));
    this.closeAfter(this.options.requestTimeout);
  }

  /** Closes the connection after `delay`; replaces any earlier timeout. */
  private closeAfter(delay: Micros): void {
    this.timer?.cancel();
    this.timer = this.options.clock.after(delay, () => this.socket.destroy());
  }
}
