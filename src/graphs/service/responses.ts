/** Responses, limits and lookup results that the handlers of the graph API share. */

import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import { formatJson, type Uint64 } from "../../protocol/json.js";
import { ms } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/http.js";
import type { EndedRun, RunHeader } from "./records.js";

/** If user writes wait longer than this for the write budget, submissions are answered 503 with a Retry-After. */
export const MAX_WRITE_DELAY = ms(1_500);
export const BUSY_RETRY_AFTER_S = 5;
/** Maximum number of tries of a write whose conditions fail. */
export const MAX_WRITE_TRIES = 4;

export const jsonResponse = (status: number, body: unknown): HttpResponse => ({ status, body: formatJson(body) });
export const errorResponse = (status: number, error: string): HttpResponse => jsonResponse(status, { error });
/** A 503 response that asks the client to retry. */
export const retryLater = (error: string, retryAfterS = 1): HttpResponse => ({
  status: 503,
  body: formatJson({ error }),
  retryAfterS,
});

/** The first 128 bits of the text's SHA-256, in hex. */
export const digestOf = (text: string): string => bytesToHex(sha256(Buffer.from(text, "utf8"))).slice(0, 32);

/** Result of looking up a run's records. `missing`: no such run; `unavailable`: the state service did not answer. */
export type RunLookup =
  | { readonly kind: "current"; readonly header: RunHeader; readonly version: Uint64 }
  | { readonly kind: "ended"; readonly ended: EndedRun; readonly version: Uint64 }
  | FailedLookup;

export type FailedLookup = { readonly kind: "missing" } | { readonly kind: "unavailable" };

export const isFailedLookup = (found: RunLookup): found is FailedLookup =>
  found.kind === "missing" || found.kind === "unavailable";

/** Response for a run that does not exist (404) or whose record could not be read (503). */
export const failedLookupResponse = ({ kind }: FailedLookup): HttpResponse =>
  kind === "missing" ? errorResponse(404, "no such graph") : retryLater("state service unavailable");
