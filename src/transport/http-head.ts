/** Parses the head of an HTTP/1.1 message, and derives body framing and keep-alive from it. */
import { HttpError } from "./http-error.js";

/** Kind of message that a parser reads: requests in a server, responses in a client. */
export type HttpMessageKind = "request" | "response";

/** Request line `[method, target, version]` or status line `[version, status, reason]`. */
export type StartLine = readonly [string, string, string];

/** Start line and headers of a message. Header names are in lower case; values of repeated ones are joined by ", ". */
export interface HttpHead {
  readonly start: StartLine;
  readonly headers: ReadonlyMap<string, string>;
}

/** How the end of a body is determined. `bytes`: length of the body. */
export type BodyFraming = { readonly kind: "length"; readonly bytes: number } | { readonly kind: "chunked" };

/** Maximum number of header lines of a message. */
const MAX_HEADERS = 64;

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const REQUEST_TARGET = /^\/[\u0021-\u007e]*$/;
const ANY_VERSION = /^HTTP\/\d\.\d$/;
const SUPPORTED_VERSION = /^HTTP\/1\.[01]$/;
const STATUS_CODE = /^[1-5]\d\d$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
// biome-ignore lint/suspicious/noControlCharactersInRegex: matching control characters is the purpose
const CONTROL_CHARACTER = /[\u0000-\u0008\u000a-\u001f\u007f]/;

/** Headers that determine where a message ends. Repeated ones are rejected, as they allow request smuggling. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);
/** Status codes, besides 1xx, whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<string> = new Set(["204", "304"]);

/** Parses a head, given without its terminating empty line. Throws HttpError if it is malformed or unsupported. */
export const parseHead = (text: string, kind: HttpMessageKind): HttpHead => {
  const lines = text.split("\r\n");
  const startLine = lines[0] ?? "";
  const start = kind === "request" ? parseRequestLine(startLine) : parseStatusLine(startLine);
  if (lines.length - 1 > MAX_HEADERS) throw new HttpError(431, "header count exceeds the limit");
  return { start, headers: parseHeaders(lines.slice(1)) };
};

const parseRequestLine = (line: string): StartLine => {
  const parts = line.split(" ");
  const [method, target, version] = parts;
  if (parts.length !== 3 || method === undefined || target === undefined || version === undefined) {
    throw new HttpError(400, "malformed request line");
  }
  if (!TOKEN.test(method) || !REQUEST_TARGET.test(target)) throw new HttpError(400, "malformed request line");
  if (!ANY_VERSION.test(version)) throw new HttpError(400, "malformed HTTP version");
  if (!SUPPORTED_VERSION.test(version)) throw new HttpError(505, "unsupported HTTP version");
  return [method, target, version];
};

const parseStatusLine = (line: string): StartLine => {
  const first = line.indexOf(" ");
  const second = line.indexOf(" ", first + 1);
  const version = line.slice(0, Math.max(0, first));
  const status = second < 0 ? line.slice(first + 1) : line.slice(first + 1, second);
  if (!SUPPORTED_VERSION.test(version) || !STATUS_CODE.test(status)) throw new HttpError(400, "malformed status line");
  return [version, status, second < 0 ? "" : line.slice(second + 1)];
};

const parseHeaders = (lines: readonly string[]): ReadonlyMap<string, string> => {
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colon)).toLowerCase();
    const value = line.slice(colon + 1).trim();
    if (!TOKEN.test(name)) throw new HttpError(400, "malformed header name");
    if (CONTROL_CHARACTER.test(value)) throw new HttpError(400, "control character in header value");
    const previous = headers.get(name);
    if (previous !== undefined && FRAMING_HEADERS.has(name)) throw new HttpError(400, `repeated ${name} header`);
    headers.set(name, previous === undefined ? value : `${previous}, ${value}`);
  }
  return headers;
};

/** Body framing of this message. Throws HttpError if it is ambiguous, unsupported or longer than `maxBodyBytes`. */
export const bodyFramingOf = (head: HttpHead, kind: HttpMessageKind, maxBodyBytes: number): BodyFraming => {
  const contentLength = head.headers.get("content-length");
  const transferEncoding = head.headers.get("transfer-encoding");
  if (transferEncoding !== undefined) {
    if (contentLength !== undefined) throw new HttpError(400, "both content-length and transfer-encoding present");
    if (transferEncoding.toLowerCase() !== "chunked") throw new HttpError(501, "unsupported transfer coding");
    return { kind: "chunked" };
  }
  if (contentLength !== undefined) {
    if (!CONTENT_LENGTH.test(contentLength)) throw new HttpError(400, "malformed content-length");
    const bytes = Number(contentLength);
    if (bytes > maxBodyBytes) throw new HttpError(413, "body exceeds the size limit");
    return { kind: "length", bytes };
  }
  if (kind === "response" && !hasNoBody(head.start[1])) throw new HttpError(502, "response without body length");
  return { kind: "length", bytes: 0 };
};

const hasNoBody = (status: string): boolean => BODILESS_STATUSES.has(status) || status.startsWith("1");

/** Whether the sender of this message lets the connection carry another one. */
export const isKeptAlive = ({ start, headers }: HttpHead, kind: HttpMessageKind): boolean => {
  const version = kind === "request" ? start[2] : start[0];
  const connection = headers.get("connection")?.toLowerCase() ?? "";
  return version === "HTTP/1.1" ? !connection.includes("close") : connection.includes("keep-alive");
};
