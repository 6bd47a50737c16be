import { sha256 } from "@noble/hashes/sha2.js";
import { bytesToHex } from "@noble/hashes/utils.js";
import { formatJson, type Uint64 } from "../../protocol/json.js";
import { ms } from "../../transport/clock.js";
import type { HttpResponse } from "../../transport/http.js";
import type { Ended, Header } from "./records.js";

/** Beyond this wait for the write budget a submission is better told to come back. */
export const MOST_BACKLOG = ms(1_500);
export const BUSY_S = 5;
/** So often a write is tried whose condition fails. */
export const TRIES = 4;

export const answer = (status: number, body: unknown): HttpResponse => ({ status, body: formatJson(body) });
export const refuse = (status: number, error: string): HttpResponse => answer(status, { error });
export const comeBack = (error: string, retryAfterS = 1): HttpResponse => ({
  status: 503,
  body: formatJson({ error }),
  retryAfterS,
});

export const digestOf = (text: string): string => bytesToHex(sha256(Buffer.from(text, "utf8"))).slice(0, 32);

/** What is on record of a run. */
export type Found =
  | { readonly kind: "current"; readonly header: Header; readonly version: Uint64 }
  | { readonly kind: "ended"; readonly ended: Ended; readonly version: Uint64 }
  | Absent;

export type Absent = { readonly kind: "never" } | { readonly kind: "unknown" };

export const isAbsent = (found: Found): found is Absent => found.kind === "never" || found.kind === "unknown";

/** What is said of a run that is not there, or can't be told to be. */
export const absent = ({ kind }: Absent): HttpResponse =>
  kind === "never" ? refuse(404, "no such graph") : comeBack("state service unavailable");
