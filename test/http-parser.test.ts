import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpError } from "../src/transport/http-error.js";
import { type HttpMessage, HttpParser } from "../src/transport/http-parser.js";

const LIMITS = { headBytes: 1_024, bodyBytes: 4_096 };
const parse = (text: string, kind: "request" | "response" = "request"): HttpMessage[] =>
  new HttpParser(kind, LIMITS).push(Buffer.from(text));
const contentOf = (message: HttpMessage | undefined): unknown =>
  message && [message.start, [...message.headers], message.body.toString(), message.keepAlive];

const assertRefused = (text: string, status: number, kind: "request" | "response" = "request"): void => {
  assert.throws(
    () => parse(text, kind),
    (error) => error instanceof HttpError && error.status === status && error.code === "HTTP_MESSAGE_MALFORMED",
    JSON.stringify(text),
  );
};

test("a request is parsed into the same message however its bytes are split", () => {
  const texts = [
    'POST /v2/runs HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n{"a":1}',
    "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: u\r\n\r\n",
    "GET /up HTTP/1.1\r\nConnection: close\r\n\r\n",
  ];
  for (const text of texts) {
    const expected = contentOf(parse(text)[0]);
    assert.ok(expected);
    for (let first = 0; first <= text.length; first += 1) {
      for (let second = first; second <= text.length; second += 1) {
        const parser = new HttpParser("request", LIMITS);
        const messages = [text.slice(0, first), text.slice(first, second), text.slice(second)].flatMap((part) =>
          part === "" ? [] : parser.push(Buffer.from(part)),
        );
        assert.equal(messages.length, 1);
        assert.deepEqual(contentOf(messages[0]), expected);
        assert.ok(parser.idle);
      }
    }
  }
});

test("keep-alive is derived from the HTTP version and the Connection header", () => {
  assert.equal(parse("GET / HTTP/1.1\r\n\r\n")[0]?.keepAlive, true);
  assert.equal(parse("GET / HTTP/1.1\r\nConnection: Close\r\n\r\n")[0]?.keepAlive, false);
  assert.equal(parse("GET / HTTP/1.0\r\n\r\n")[0]?.keepAlive, false);
});

test("malformed messages are rejected with the status for their error", () => {
  assertRefused("GET\r\n\r\n", 400);
  assertRefused("GET / HTTP/2.0\r\n\r\n", 505);
  assertRefused("GET x HTTP/1.1\r\n\r\n", 400);
  assertRefused("G T / HTTP/1.1\r\n\r\n", 400);
  assertRefused("GET / HTTP/1.1\r\nbad header\r\n\r\n", 400);
  assertRefused("GET / HTTP/1.1\r\nA : b\r\n\r\n", 400);
  assertRefused("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400);
  assertRefused("GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400);
  assertRefused("GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400);
  assertRefused("GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501);
  assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
  assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc", 400);
  assertRefused("HTTP/1.1 2000 x\r\n\r\n", 400, "response");
  assertRefused("HTTP/1.1 200 OK\r\n\r\n", 502, "response");
});

test("heads and bodies beyond the size limits are rejected", () => {
  assertRefused("POST / HTTP/1.1\r\nContent-Length: 4097\r\n\r\n", 413);
  assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n".replace("fff", "1001"), 413);
  assertRefused(`GET /${"a".repeat(2_000)}`, 431);
  assertRefused(`GET / HTTP/1.1\r\n${"A: b\r\n".repeat(65)}\r\n`, 431);
});
