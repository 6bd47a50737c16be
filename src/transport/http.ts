/** HTTP types used by the layers above: requests, responses, and the client interface. */
import type { Micros } from "./clock.js";

/** A request, sent or received. */
export interface HttpRequest {
  readonly method: string;
  /** Path and query, as in the request line. */
  readonly target: string;
  readonly body: string;
}

/** A response sent by the HTTP server. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  /** Value of the `Retry-After` header, in seconds; no header if absent. */
  readonly retryAfterS?: number;
  /** Whether to close the connection after this response. */
  readonly close?: boolean;
}

/** Handles one request. A rejected promise becomes status 500. */
export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/**
 * Result of a call. `answer`: a response with any status; `retryAfterS` is null unless `Retry-After` is a whole number
 * of seconds. `unsent`: no part of the request can have reached the server. `lost`: the server may have executed the
 * request, or may still execute it.
 */
export type HttpOutcome =
  | { readonly kind: "answer"; readonly status: number; readonly body: string; readonly retryAfterS: number | null }
  | { readonly kind: "unsent" }
  | { readonly kind: "lost" };

/** Sends requests to other hosts. Tests implement it with a simulated network. */
export interface HttpClient {
  /** Sends a request to `address` ("host:port"). Never rejects: failures and timeouts are outcomes. */
  call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome>;
}
