/** Client of the users' HTTP interface of a controller: submits, shows and aborts jobs, and shows the links. */
import { readFileSync } from "node:fs";
import { seconds, systemClock } from "./transport/clock.js";
import type { HttpRequest } from "./transport/http.js";
import { NetHttpClient } from "./transport/http-client.js";

/** A request was rejected, was invalid or got no response. The message is one line for the terminal. */
export class ClientError extends Error {}

const REQUEST_TIMEOUT = seconds(5);

/** An HTTP response; `retryAfterS` is its `Retry-After` in seconds, or null if it has none. */
export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly retryAfterS: number | null;
}

/** Sends one request. Throws a `ClientError` if the address is invalid or no response arrives within 5 s. */
export const sendRequest = async (server: string, request: HttpRequest): Promise<Reply> => {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(server))
    throw new ClientError(`${server}: not an address like 10.0.0.1:8080`);
  const outcome = await new NetHttpClient(systemClock, 1).call(server, request, REQUEST_TIMEOUT);
  if (outcome.kind === "unsent") throw new ClientError(`${server}: cannot be reached`);
  if (outcome.kind === "lost") throw new ClientError(`${server}: no answer; the request may have been carried out`);
  return outcome;
};

const requestOrThrow = async (server: string, request: HttpRequest): Promise<string> => {
  const { status, body, retryAfterS } = await sendRequest(server, request);
  if (status === 200 || status === 201) return body;
  const retryHint = retryAfterS === null ? "" : `, try again in ${retryAfterS} s`;
  throw new ClientError(`status ${status}: ${body}${retryHint}`);
};

/** The server accepts bodies of up to 64 KiB; a part leaves room for the escaping that JSON adds to its text. */
const MAX_BODY_BYTES = 60_000;
const PART_LENGTH = 24_000;

/** Request bodies that submit a graph: a single one if the text fits into it, else numbered parts. */
export const graphRequestBodies = (ref: string, text: string): readonly string[] => {
  if (Buffer.byteLength(text) <= MAX_BODY_BYTES) return [text];
  const parts = Math.ceil(text.length / PART_LENGTH);
  return Array.from({ length: parts }, (_, part) =>
    JSON.stringify({ ref, part, parts, text: text.slice(part * PART_LENGTH, (part + 1) * PART_LENGTH) }),
  );
};

const jobPath = (id: string, rest = ""): string => {
  if (!/^[\w.-]+$/.test(id)) throw new ClientError(`${id}: not a job id`);
  return `/v2/runs/${id}${rest}`;
};

/** Submits the job that a JSON file describes. Returns the response body; throws a `ClientError` on any failure. */
export const submitJob = async (server: string, file: string): Promise<string> => {
  let body: string;
  try {
    body = readFileSync(file, "utf8");
  } catch (error) {
    throw new ClientError(`${file}: ${(error as NodeJS.ErrnoException).code ?? "cannot be read"}`);
  }
  return requestOrThrow(server, { method: "POST", target: "/v2/runs", body });
};

/** State of a job, as the JSON of the response. Throws a `ClientError` unless the status is 200 or 201. */
export const showJob = async (server: string, id: string): Promise<string> =>
  requestOrThrow(server, { method: "GET", target: jobPath(id), body: "" });

/** Links of a controller and, if it leads shards, the state of their machines, as the JSON of the response. */
export const showLinks = async (server: string): Promise<string> =>
  requestOrThrow(server, { method: "GET", target: "/links", body: "" });

/** Cancels a job. Returns the response body; throws a `ClientError` unless the status is 200 or 201. */
export const abortJob = async (server: string, id: string): Promise<string> =>
  requestOrThrow(server, { method: "POST", target: jobPath(id, "/abort"), body: "" });
