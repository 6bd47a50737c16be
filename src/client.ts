import { readFileSync } from "node:fs";
import { seconds, systemClock } from "./transport/clock.js";
import type { HttpRequest } from "./transport/http.js";
import { NetHttpClient } from "./transport/http-client.js";

/** One line for a person. */
export class ClientError extends Error {}

const PATIENCE = seconds(5);

export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly retryAfterS: number | null;
}

/** Throws a `ClientError` where there was no answer. */
export const call = async (server: string, request: HttpRequest): Promise<Reply> => {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(server))
    throw new ClientError(`${server}: not an address like 10.0.0.1:8080`);
  const outcome = await new NetHttpClient(systemClock, 1).call(server, request, PATIENCE);
  if (outcome.kind === "unsent") throw new ClientError(`${server}: cannot be reached`);
  if (outcome.kind === "lost") throw new ClientError(`${server}: no answer; the request may have been carried out`);
  return outcome;
};

const ask = async (server: string, request: HttpRequest): Promise<string> => {
  const { status, body, retryAfterS } = await call(server, request);
  if (status === 200 || status === 201) return body;
  const later = retryAfterS === null ? "" : `, try again in ${retryAfterS} s`;
  throw new ClientError(`status ${status}: ${body}${later}`);
};

/** A request body holds 64 KiB; what JSON adds to a part's text stays within the rest. */
const MOST_BODY = 60_000;
const PART = 24_000;

/** The bodies that a graph is submitted with: one where it fits, else numbered parts. */
export const graphBodies = (ref: string, text: string): readonly string[] => {
  if (Buffer.byteLength(text) <= MOST_BODY) return [text];
  const parts = Math.ceil(text.length / PART);
  return Array.from({ length: parts }, (_, part) =>
    JSON.stringify({ ref, part, parts, text: text.slice(part * PART, (part + 1) * PART) }),
  );
};

const jobPath = (id: string, rest = ""): string => {
  if (!/^[\w.-]+$/.test(id)) throw new ClientError(`${id}: not a job id`);
  return `/v2/runs/${id}${rest}`;
};

export const submitJob = async (server: string, file: string): Promise<string> => {
  let body: string;
  try {
    body = readFileSync(file, "utf8");
  } catch (error) {
    throw new ClientError(`${file}: ${(error as NodeJS.ErrnoException).code ?? "cannot be read"}`);
  }
  return ask(server, { method: "POST", target: "/v2/runs", body });
};

export const showJob = async (server: string, id: string): Promise<string> =>
  ask(server, { method: "GET", target: jobPath(id), body: "" });

/** How things stand with this controller: its links, and its machines where it holds them. */
export const showLinks = async (server: string): Promise<string> =>
  ask(server, { method: "GET", target: "/links", body: "" });

export const abortJob = async (server: string, id: string): Promise<string> =>
  ask(server, { method: "POST", target: jobPath(id, "/abort"), body: "" });
