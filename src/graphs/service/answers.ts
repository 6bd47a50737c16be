/** Responses, limits and lookup results that the handlers of the graph API share. */

import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import { formatJson, type Uint64 } from "../../protocol/json.js";
import { ms } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Ended, Header } from "./records.js";

/** If user writes wait longer than this for the write budget, submissions are answered 503 with a Retry-After. */
export const MOST_BACKLOG = ms(1_500);
export const BUSY_S = 5;
/** Maximum number of tries of a write whose conditions fail. */
export const TRIES = 4;

export const answer = (status: number, body: unknown): HttpResponse => ({ status, body: formatJson(body) });
export const refuse = (status: number, error: string): HttpResponse => answer(status, { error });
/** A 503 response that asks the client to retry. */
export const comeBack = (error: string, retryAfterS = 1): HttpResponse => ({
  status: 503,
  body: formatJson({ error }),
  retryAfterS,
});

/** The first 128 bits of the text's SHA-256, in hex. */
export const digestOf = (text: string): string => bytesToHex(sha256(Buffer.from(text, "utf8"))).slice(0, 32);

/** Result of looking up a run's records. `never`: no such run; `unknown`: the state service did not answer. */
export type Found =
  | { readonly kind: "current"; readonly header: Header; readonly version: Uint64 }
  | { readonly kind: "ended"; readonly ended: Ended; readonly version: Uint64 }
  | Absent;

export type Absent = { readonly kind: "never" } | { readonly kind: "unknown" };

export const isAbsent = (found: Found): found is Absent => found.kind === "never" || found.kind === "unknown";

/** Response for a run that does not exist (404) or whose record could not be read (503). */
export const absent = ({ kind }: Absent): HttpResponse =>
  kind === "never" ? refuse(404, "no such graph") : comeBack("state service unavailable");
