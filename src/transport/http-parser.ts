/**
 * Incremental HTTP/1.1 parser for both directions. Strict and bounded: the first thing that it does not
 * understand loses the framing, and the caller has to close the connection.
 */
export interface HttpMessage {
  /** Request line `[method, target, version]` or status line `[version, status, reason]`. */
  readonly start: readonly [string, string, string];
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly keepAlive: boolean;
}

export class HttpError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export interface ParserLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
}

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const MAX_HEADERS = 64;
const EMPTY = Buffer.alloc(0);

interface Head {
  readonly start: [string, string, string];
  readonly headers: Map<string, string>;
}

type Body = { kind: "length"; left: number } | { kind: "chunked"; parts: Buffer[]; size: number; trailer: boolean };

export class HttpParser {
  private pending: Buffer = EMPTY;
  private scanned = 0;
  private head: Head | null = null;
  private body: Body | null = null;

  constructor(
    private readonly kind: "request" | "response",
    private readonly limits: ParserLimits,
  ) {}

  /** True between messages: nothing of a next one has arrived. */
  get idle(): boolean {
    return this.head === null && this.pending.length === 0;
  }

  /** Takes bytes in; returns the messages that they complete. Throws HttpError when framing is lost. */
  push(data: Buffer): HttpMessage[] {
    this.pending = this.pending.length === 0 ? data : Buffer.concat([this.pending, data]);
    const out: HttpMessage[] = [];
    for (let message = this.next(); message !== null; message = this.next()) out.push(message);
    return out;
  }

  private next(): HttpMessage | null {
    if (this.head === null) {
      const head = this.readHead();
      if (head === null) return null;
      this.head = head;
      this.body = this.framing(head);
    }
    const body = this.body;
    if (body === null) throw new HttpError(400, "no framing");
    const bytes = body.kind === "length" ? this.readLength(body.left) : this.readChunked(body);
    if (bytes === null) return null;
    const { start, headers } = this.head;
    this.head = null;
    this.body = null;
    const version = this.kind === "request" ? start[2] : start[0];
    const connection = headers.get("connection")?.toLowerCase() ?? "";
    const keepAlive = version === "HTTP/1.1" ? !connection.includes("close") : connection.includes("keep-alive");
    return { start, headers, body: bytes, keepAlive };
  }

  private readHead(): Head | null {
    const end = this.pending.indexOf("\r\n\r\n", Math.max(0, this.scanned - 3), "latin1");
    if (end < 0) {
      this.scanned = this.pending.length;
      if (this.pending.length > this.limits.headBytes) throw new HttpError(431, "head too large");
      return null;
    }
    if (end > this.limits.headBytes) throw new HttpError(431, "head too large");
    const lines = this.pending.toString("latin1", 0, end).split("\r\n");
    this.consume(end + 4);
    const start = this.startLine(lines[0] ?? "");
    const headers = new Map<string, string>();
    if (lines.length - 1 > MAX_HEADERS) throw new HttpError(431, "too many headers");
    for (const line of lines.slice(1)) {
      const colon = line.indexOf(":");
      const name = line.slice(0, Math.max(0, colon)).toLowerCase();
      const value = line.slice(colon + 1).trim();
      if (!TOKEN.test(name)) throw new HttpError(400, "bad header name");
      // biome-ignore lint/suspicious/noControlCharactersInRegex: control characters are what is looked for
      if (/[\u0000-\u0008\u000a-\u001f\u007f]/.test(value)) throw new HttpError(400, "bad header value");
      const known = headers.get(name);
      // Two lengths are how requests get smuggled past a first reader.
      if (known !== undefined && (name === "content-length" || name === "transfer-encoding")) {
        throw new HttpError(400, `repeated ${name}`);
      }
      headers.set(name, known === undefined ? value : `${known}, ${value}`);
    }
    return { start, headers };
  }

  private startLine(line: string): [string, string, string] {
    const first = line.indexOf(" ");
    const second = line.indexOf(" ", first + 1);
    if (this.kind === "request") {
      const parts = line.split(" ");
      const [method, target, version] = parts;
      if (parts.length !== 3 || method === undefined || target === undefined || version === undefined) {
        throw new HttpError(400, "bad request line");
      }
      if (!TOKEN.test(method) || !/^\/[\u0021-\u007e]*$/.test(target)) throw new HttpError(400, "bad request line");
      if (!/^HTTP\/\d\.\d$/.test(version)) throw new HttpError(400, "bad version");
      if (version !== "HTTP/1.1" && version !== "HTTP/1.0") throw new HttpError(505, "unsupported version");
      return [method, target, version];
    }
    const version = line.slice(0, Math.max(0, first));
    const status = second < 0 ? line.slice(first + 1) : line.slice(first + 1, second);
    if (!/^HTTP\/1\.[01]$/.test(version) || !/^[1-5]\d\d$/.test(status)) throw new HttpError(400, "bad status line");
    return [version, status, second < 0 ? "" : line.slice(second + 1)];
  }

  private framing(head: Head): Body {
    const length = head.headers.get("content-length");
    const coding = head.headers.get("transfer-encoding");
    if (coding !== undefined) {
      if (length !== undefined) throw new HttpError(400, "both length and coding");
      if (coding.toLowerCase() !== "chunked") throw new HttpError(501, "unsupported transfer coding");
      return { kind: "chunked", parts: [], size: 0, trailer: false };
    }
    if (length !== undefined) {
      if (!/^\d{1,15}$/.test(length)) throw new HttpError(400, "bad content-length");
      const left = Number(length);
      if (left > this.limits.bodyBytes) throw new HttpError(413, "body too large");
      return { kind: "length", left };
    }
    if (this.kind === "response" && !["204", "304"].includes(head.start[1]) && !head.start[1].startsWith("1")) {
      throw new HttpError(502, "response without length");
    }
    return { kind: "length", left: 0 };
  }

  private readLength(size: number): Buffer | null {
    if (this.pending.length < size) return null;
    const bytes = this.pending.subarray(0, size);
    this.consume(size);
    return bytes;
  }

  private readChunked(body: { parts: Buffer[]; size: number; trailer: boolean }): Buffer | null {
    for (;;) {
      const end = this.pending.indexOf("\r\n", 0, "latin1");
      if (end < 0) {
        if (this.pending.length > 1_024) throw new HttpError(400, "chunk line too long");
        return null;
      }
      const line = this.pending.toString("latin1", 0, end);
      if (body.trailer) {
        this.consume(end + 2);
        if (line === "") return Buffer.concat(body.parts);
        continue;
      }
      const hex = (line.split(";")[0] ?? "").trim();
      if (!/^[0-9A-Fa-f]{1,8}$/.test(hex)) throw new HttpError(400, "bad chunk size");
      const size = Number.parseInt(hex, 16);
      if (body.size + size > this.limits.bodyBytes) throw new HttpError(413, "body too large");
      if (size === 0) {
        this.consume(end + 2);
        body.trailer = true;
        continue;
      }
      if (this.pending.length < end + 2 + size + 2) return null;
      if (this.pending.toString("latin1", end + 2 + size, end + 4 + size) !== "\r\n") {
        throw new HttpError(400, "bad chunk end");
      }
      body.parts.push(Buffer.from(this.pending.subarray(end + 2, end + 2 + size)));
      body.size += size;
      this.consume(end + 4 + size);
    }
  }

  private consume(bytes: number): void {
    this.pending = this.pending.length === bytes ? EMPTY : this.pending.subarray(bytes);
    this.scanned = 0;
  }
}
