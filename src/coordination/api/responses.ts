/** Responses of the job API. */
import { formatJson } from "../../protocol/json.js";
import type { HttpResponse } from "../../transport/http.js";

/** A response with a JSON body. */
export const jsonResponse = (status: number, body: unknown): HttpResponse => ({ status, body: formatJson(body) });

/** Status 503: the same request may succeed after `retryAfterS` seconds. */
export const retryLater = (reason: string, retryAfterS = 1): HttpResponse => ({
  status: 503,
  body: formatJson({ error: reason }),
  retryAfterS,
});
