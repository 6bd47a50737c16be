/**
 * Results of requests to the key-value store, and how they follow from the responses. They tell apart what was surely
 * not executed from what may have been.
 * @module
 */
import { MalformedMessageError, parseJson, type Uint64 } from "../protocol/json.js";
import { decodeFailedKeys, decodeRevision } from "../protocol/key-value-store.js";
import type { HttpOutcome } from "../transport/http.js";
import type { Log } from "../transport/log.js";
import { LogEvent } from "./log-events.js";

/** `refused`: surely not executed. `lost`: may have been, or may yet be. `missing`: no such key or lease. */
export type StoreResult<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "refused" | "lost" | "missing" };

/**
 * What became of a compare-and-swap transaction. `version`: that of all keys that it wrote. `keys`: whose condition
 * failed.
 */
export type TransactionResult =
  | { readonly kind: "ok"; readonly version: Uint64 }
  | { readonly kind: "conflict"; readonly keys: readonly string[] }
  /**
   * Surely not executed, and never will be as it is: a value or the whole is larger than the key-value store takes by
   * now.
   */
  | { readonly kind: "too large" }
  /** `busy`: surely not executed, because a limit was passed; the same may be sent again a little later. */
  | { readonly kind: "refused" | "lost" }
  | { readonly kind: "busy" };

type HttpResponse = Extract<HttpOutcome, { readonly kind: "answer" }>;

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;
/** The key-value store's limit on requests or on writes is passed. */
export const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/** So much of a refusal's body is logged, in characters. */
const LOGGED_BODY_LENGTH = 200;
/** In the body of a refusal whose reason is a lease that has expired. */
const LEASE_EXPIRED_TEXT = "no such lease";

const decodeBody = <T>(response: HttpResponse, decode: (body: unknown) => T, log: Log): StoreResult<T> => {
  try {
    if (response.status !== STATUS_OK) throw new MalformedMessageError(`status ${response.status}`);
    return { kind: "ok", value: decode(parseJson(response.body)) };
  } catch (error) {
    log.error(LogEvent.StoreResponseMalformed, { error: String(error) });
    return { kind: "lost" };
  }
};

/** The result of any request but a transaction. What can't be read is logged and counts as lost. */
export const storeResultOf = <T>(outcome: HttpOutcome, decode: (body: unknown) => T, log: Log): StoreResult<T> => {
  if (outcome.kind === "unsent") return { kind: "refused" };
  if (outcome.kind === "lost") return { kind: "lost" };
  if (outcome.status === STATUS_NOT_FOUND) return { kind: "missing" };
  if (outcome.status === STATUS_TOO_MANY_REQUESTS || outcome.status === STATUS_UNAVAILABLE) return { kind: "refused" };
  return decodeBody(outcome, decode, log);
};

/** The result of a watch; `missing` where the revision to begin after is too old for the key-value store. */
export const watchResultOf = <T>(outcome: HttpOutcome, decode: (body: unknown) => T, log: Log): StoreResult<T> => {
  if (outcome.kind === "answer" && outcome.status === STATUS_GONE) return { kind: "missing" };
  return storeResultOf(outcome, decode, log);
};

const conflictOf = (response: HttpResponse, log: Log): TransactionResult => {
  const failed = decodeBody({ ...response, status: STATUS_OK }, decodeFailedKeys, log);
  return failed.kind === "ok" ? { kind: "conflict", keys: failed.value } : { kind: "lost" };
};

/** A lease that expired meanwhile is an ordinary response; anything else is larger than is taken by now. */
const refusalOf = (response: HttpResponse, writeCount: number, log: Log): TransactionResult => {
  if (response.body.includes(LEASE_EXPIRED_TEXT)) return { kind: "refused" };
  log.info(LogEvent.TransactionRefused, { writes: writeCount, body: response.body.slice(0, LOGGED_BODY_LENGTH) });
  return { kind: "too large" };
};

/** The result of a transaction with so many writes. What can't be read is logged and counts as lost. */
export const transactionResultOf = (outcome: HttpOutcome, writeCount: number, log: Log): TransactionResult => {
  if (outcome.kind === "answer") {
    if (outcome.status === STATUS_CONFLICT) return conflictOf(outcome, log);
    if (outcome.status === STATUS_BAD_REQUEST) return refusalOf(outcome, writeCount, log);
    if (outcome.status === STATUS_TOO_MANY_REQUESTS) return { kind: "busy" };
  }
  const result = storeResultOf(outcome, decodeRevision, log);
  if (result.kind === "ok") return { kind: "ok", version: result.value };
  return { kind: result.kind === "missing" ? "refused" : result.kind };
};
