/** HTTP as the layers above see it: requests, responses, and the interface of a client. */
import type { Micros } from "./clock.js";

/** A request, sent or received. */
export interface HttpRequest {
  readonly method: string;
  /** Path with the query still attached, as it stood in the request line. */
  readonly target: string;
  readonly body: string;
}

/** A response of this program's server. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Value of `Retry-After`, in seconds; absent: no such header. */
  readonly retryAfterS?: number;
  /** Closes the connection once the response is out. */
  readonly close?: boolean;
}

/** Answers one request. A rejection becomes status 500. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/**
 * How a call ended. `answer`: with a response of any status; `retryAfterS` is null where the response names no whole
 * number of seconds. `unsent`: the other side cannot have seen any of it. `lost`: it may have been executed, or may yet be.
 */
export type HttpOutcome =
  | { readonly kind: "answer"; readonly status: number; readonly body: string; readonly retryAfterS: number | null }
  | { readonly kind: "unsent" }
  | { readonly kind: "lost" };

/** How the layers above reach other hosts; a simulated network implements it in the tests. */
export interface HttpClient {
  /** Sends a request to `address` ("host:port"). Never rejects: failures and the passing of `timeout` are outcomes. */
  call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome>;
}
