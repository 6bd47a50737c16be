/**
 * Incremental HTTP/1.1 parser for requests and responses, strict and with bounded sizes. The first error loses the
 * message framing, so the caller has to close the connection.
 */
import { HttpError } from "./http-error.js";
import {
  bodyFramingOf,
  type HttpHead,
  type HttpMessageKind,
  isKeptAlive,
  parseHead,
  type StartLine,
} from "./http-head.js";

/** A complete message. */
export interface HttpMessage {
  readonly start: StartLine;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  /** Whether the sender lets the connection carry another message. */
  readonly keepAlive: boolean;
}

/** Maximum sizes of one message, in bytes. */
export interface ParserLimits {
  readonly headBytes: number;
  readonly bodyBytes: number;
}

/** Maximum length of a chunk's size line, with its extensions, and of a trailer line. */
const MAX_CHUNK_LINE_BYTES = 1_024;
const CHUNK_SIZE = /^[0-9A-Fa-f]{1,8}$/;

const LINE_END = "\r\n";
const HEAD_END = "\r\n\r\n";
const EMPTY = Buffer.alloc(0);

/** A body that has not been read completely. */
type PendingBody = LengthBody | ChunkedBody;

interface LengthBody {
  readonly kind: "length";
  readonly bytes: number;
}

interface ChunkedBody {
  readonly kind: "chunked";
  readonly chunks: Buffer[];
  /** Total bytes of `chunks`. */
  size: number;
  /** Whether the last chunk has been read, so that only trailer lines follow. */
  inTrailer: boolean;
}

/** Parser of one direction of one connection. */
export class HttpParser {
  /** Bytes received but not parsed yet. */
  private pending: Buffer = EMPTY;
  /** Leading bytes of `pending` already searched for the end of the head. */
  private scannedBytes = 0;
  private head: HttpHead | null = null;
  private body: PendingBody | null = null;

  constructor(
    private readonly kind: HttpMessageKind,
    private readonly limits: ParserLimits,
  ) {}

  /** True between messages: no byte of the next one has arrived. */
  get idle(): boolean {
    return this.head === null && this.pending.length === 0;
  }

  /** Appends received bytes and returns the messages completed by them. Throws HttpError if the data is malformed. */
  push(data: Buffer): HttpMessage[] {
    this.pending = this.pending.length === 0 ? data : Buffer.concat([this.pending, data]);
    const messages: HttpMessage[] = [];
    for (let message = this.next(); message !== null; message = this.next()) messages.push(message);
    return messages;
  }

  private next(): HttpMessage | null {
    this.head ??= this.readHead();
    if (this.head === null) return null;
    this.body ??= this.beginBody(this.head);
    const body = this.body.kind === "length" ? this.readBytes(this.body.bytes) : this.readChunkedBody(this.body);
    if (body === null) return null;
    const head = this.head;
    this.head = null;
    this.body = null;
    return { start: head.start, headers: head.headers, body, keepAlive: isKeptAlive(head, this.kind) };
  }

  private readHead(): HttpHead | null {
    const end = this.pending.indexOf(HEAD_END, Math.max(0, this.scannedBytes - HEAD_END.length + 1), "latin1");
    const headBytes = end < 0 ? this.pending.length : end;
    if (headBytes > this.limits.headBytes) throw new HttpError(431, "head exceeds the size limit");
    if (end < 0) {
      this.scannedBytes = this.pending.length;
      return null;
    }
    const text = this.pending.toString("latin1", 0, end);
    this.consume(end + HEAD_END.length);
    return parseHead(text, this.kind);
  }

  private beginBody(head: HttpHead): PendingBody {
    const framing = bodyFramingOf(head, this.kind, this.limits.bodyBytes);
    return framing.kind === "length" ? framing : { kind: "chunked", chunks: [], size: 0, inTrailer: false };
  }

  private readBytes(count: number): Buffer | null {
    if (this.pending.length < count) return null;
    const bytes = this.pending.subarray(0, count);
    this.consume(count);
    return bytes;
  }

  private readChunkedBody(body: ChunkedBody): Buffer | null {
    for (;;) {
      const lineEnd = this.findChunkLineEnd();
      if (lineEnd < 0) return null;
      const line = this.pending.toString("latin1", 0, lineEnd);
      const dataStart = lineEnd + LINE_END.length;
      if (body.inTrailer) {
        this.consume(dataStart);
        if (line === "") return Buffer.concat(body.chunks);
        continue;
      }
      const size = parseChunkSize(line);
      if (body.size + size > this.limits.bodyBytes) throw new HttpError(413, "body exceeds the size limit");
      if (size === 0) {
        this.consume(dataStart);
        body.inTrailer = true;
        continue;
      }
      if (!this.readChunk(body, dataStart, size)) return null;
    }
  }

  private findChunkLineEnd(): number {
    const end = this.pending.indexOf(LINE_END, 0, "latin1");
    if (end < 0 && this.pending.length > MAX_CHUNK_LINE_BYTES) throw new HttpError(400, "chunk line too long");
    return end;
  }

  /** Moves a chunk's data into `body`; false if the chunk is still incomplete. */
  private readChunk(body: ChunkedBody, dataStart: number, size: number): boolean {
    const dataEnd = dataStart + size;
    const chunkEnd = dataEnd + LINE_END.length;
    if (this.pending.length < chunkEnd) return false;
    if (this.pending.toString("latin1", dataEnd, chunkEnd) !== LINE_END) throw new HttpError(400, "chunk without CRLF");
    body.chunks.push(Buffer.from(this.pending.subarray(dataStart, dataEnd)));
    body.size += size;
    this.consume(chunkEnd);
    return true;
  }

  private consume(bytes: number): void {
    this.pending = this.pending.length === bytes ? EMPTY : this.pending.subarray(bytes);
    this.scannedBytes = 0;
  }
}

/** Parses the size in a chunk's size line, ignoring extensions. */
const parseChunkSize = (line: string): number => {
  const digits = (line.split(";")[0] ?? "").trim();
  if (!CHUNK_SIZE.test(digits)) throw new HttpError(400, "malformed chunk size");
  return Number.parseInt(digits, 16);
};
