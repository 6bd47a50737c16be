/** Constructors for HTTP responses of the job API. */
import { formatJson } from "../../protocol/json.js";
import type { HttpResponse } from "../../transport/http.js";

/** A response with the given HTTP status and `body` encoded as JSON. */
export const jsonResponse = (status: number, body: unknown): HttpResponse => ({ status, body: formatJson(body) });

/** A 503 response: the same request may succeed after `retryAfterS` seconds. */
export const retryLater = (reason: string, retryAfterS = 1): HttpResponse => ({
  status: 503,
  body: formatJson({ error: reason }),
  retryAfterS,
});
