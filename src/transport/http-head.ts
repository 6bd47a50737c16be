/** The head of an HTTP/1.1 message: its first line, its headers, and what they say about the body and the connection. */
import { HttpError } from "./http-error.js";

/** Which messages a parser reads: a server's are requests, a client's are responses. */
export type HttpMessageKind = "request" | "response";

/** Request line `[method, target, version]` or status line `[version, status, reason]`. */
export type StartLine = readonly [string, string, string];

/** What precedes the body of a message. Names of headers are in lower case; values of repeated ones are joined by ", ". */
export interface HttpHead {
  readonly start: StartLine;
  readonly headers: ReadonlyMap<string, string>;
}

/** How the end of a body is found. `bytes`: its length. */
export type BodyFraming = { readonly kind: "length"; readonly bytes: number } | { readonly kind: "chunked" };

/** A message may not have more header lines than this. */
const MAX_HEADERS = 64;

const TOKEN = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;
const REQUEST_TARGET = /^\/[\u0021-\u007e]*$/;
const ANY_VERSION = /^HTTP\/\d\.\d$/;
const SUPPORTED_VERSION = /^HTTP\/1\.[01]$/;
const STATUS_CODE = /^[1-5]\d\d$/;
const CONTENT_LENGTH = /^\d{1,15}$/;
// biome-ignore lint/suspicious/noControlCharactersInRegex: control characters are what is looked for
const CONTROL_CHARACTER = /[\u0000-\u0008\u000a-\u001f\u007f]/;

/** Headers that decide where a message ends. A second one is how requests get smuggled past a first reader. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(["content-length", "transfer-encoding"]);
/** Statuses, besides those of class 1, whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<string> = new Set(["204", "304"]);

/** Parses a head without its closing empty line. Throws HttpError. */
export const parseHead = (text: string, kind: HttpMessageKind): HttpHead => {
  const lines = text.split("\r\n");
  const startLine = lines[0] ?? "";
  const start = kind === "request" ? parseRequestLine(startLine) : parseStatusLine(startLine);
  if (lines.length - 1 > MAX_HEADERS) throw new HttpError(431, "too many headers");
  return { start, headers: parseHeaders(lines.slice(1)) };
};

const parseRequestLine = (line: string): StartLine => {
  const parts = line.split(" ");
  const [method, target, version] = parts;
  if (parts.length !== 3 || method === undefined || target === undefined || version === undefined) {
    throw new HttpError(400, "bad request line");
  }
  if (!TOKEN.test(method) || !REQUEST_TARGET.test(target)) throw new HttpError(400, "bad request line");
  if (!ANY_VERSION.test(version)) throw new HttpError(400, "bad version");
  if (!SUPPORTED_VERSION.test(version)) throw new HttpError(505, "unsupported version");
  return [method, target, version];
};

const parseStatusLine = (line: string): StartLine => {
  const first = line.indexOf(" ");
  const second = line.indexOf(" ", first + 1);
  const version = line.slice(0, Math.max(0, first));
  const status = second < 0 ? line.slice(first + 1) : line.slice(first + 1, second);
  if (!SUPPORTED_VERSION.test(version) || !STATUS_CODE.test(status)) throw new HttpError(400, "bad status line");
  return [version, status, second < 0 ? "" : line.slice(second + 1)];
};

const parseHeaders = (lines: readonly string[]): ReadonlyMap<string, string> => {
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colon)).toLowerCase();
    const value = line.slice(colon + 1).trim();
    if (!TOKEN.test(name)) throw new HttpError(400, "bad header name");
    if (CONTROL_CHARACTER.test(value)) throw new HttpError(400, "bad header value");
    const previous = headers.get(name);
    if (previous !== undefined && FRAMING_HEADERS.has(name)) throw new HttpError(400, `repeated ${name}`);
    headers.set(name, previous === undefined ? value : `${previous}, ${value}`);
  }
  return headers;
};

/** How the body of this message ends. Throws HttpError where that is ambiguous, unsupported or over `maxBodyBytes`. */
export const bodyFramingOf = (head: HttpHead, kind: HttpMessageKind, maxBodyBytes: number): BodyFraming => {
  const length = head.headers.get("content-length");
  const coding = head.headers.get("transfer-encoding");
  if (coding !== undefined) {
    if (length !== undefined) throw new HttpError(400, "both length and coding");
    if (coding.toLowerCase() !== "chunked") throw new HttpError(501, "unsupported transfer coding");
    return { kind: "chunked" };
  }
  if (length !== undefined) {
    if (!CONTENT_LENGTH.test(length)) throw new HttpError(400, "bad content-length");
    const bytes = Number(length);
    if (bytes > maxBodyBytes) throw new HttpError(413, "body too large");
    return { kind: "length", bytes };
  }
  if (kind === "response" && !hasNoBody(head.start[1])) throw new HttpError(502, "response without length");
  return { kind: "length", bytes: 0 };
};

const hasNoBody = (status: string): boolean => BODILESS_STATUSES.has(status) || status.startsWith("1");

/** Whether the connection may carry another message after this one. */
export const isKeptAlive = ({ start, headers }: HttpHead, kind: HttpMessageKind): boolean => {
  const version = kind === "request" ? start[2] : start[0];
  const connection = headers.get("connection")?.toLowerCase() ?? "";
  return version === "HTTP/1.1" ? !connection.includes("close") : connection.includes("keep-alive");
};
