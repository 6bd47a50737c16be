import type { Micros } from "./clock.js";

export interface HttpRequest {
  readonly method: string;
  /** Path with the query still attached, as it stood in the request line. */
  readonly target: string;
  readonly body: string;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: string;
  readonly retryAfterS?: number;
  /** Closes the connection once the response is out. */
  readonly close?: boolean;
}

export type HttpHandler = (request: HttpRequest) => Promise<HttpResponse>;

/**
 * `unsent`: the other side cannot have seen any of it.
 * `lost`: it may have been executed, or may yet be.
 */
export type HttpOutcome =
  | { readonly kind: "answer"; readonly status: number; readonly body: string; readonly retryAfterS: number | null }
  | { readonly kind: "unsent" }
  | { readonly kind: "lost" };

/** How the layers above reach other hosts; a simulated network implements it in the tests. */
export interface HttpClient {
  call(address: string, request: HttpRequest, timeout: Micros): Promise<HttpOutcome>;
}
