/** Encodes responses of the HTTP server. */
import type { HttpResponse } from "./http.js";

const REASON_PHRASES: Readonly<Record<number, string>> = {
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
const OTHER_REASON_PHRASE = "Status";

/** Encodes a response as HTTP/1.1. Without `keepAlive` it carries `Connection: close`. */
export const encodeResponse = (response: HttpResponse, keepAlive: boolean): string => {
  const reason = REASON_PHRASES[response.status] ?? OTHER_REASON_PHRASE;
  const length = Buffer.byteLength(response.body);
  const retryAfter = response.retryAfterS === undefined ? "" : `Retry-After: ${response.retryAfterS}\r\n`;
  const connection = keepAlive ? "" : "Connection: close\r\n";
  return (
    `HTTP/1.1 ${response.status} ${reason}\r\nContent-Type: application/json\r\nContent-Length: ${length}\r\n` +
    `${retryAfter}${connection}\r\n${response.body}`
  );
};
