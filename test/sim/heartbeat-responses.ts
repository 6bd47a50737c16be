/** Responses to heartbeats as they are on the wire, for faults that look into them. */
import type { HttpRequest, HttpResponse } from "../../src/transport/http.js";

/** One command on the wire; its verb is `launch`, `halt` or `forget`. */
export interface WireCommand {
  readonly verb: string;
  readonly shard: string;
}

/** The body of a response that renews the worker's lease. */
export interface HeartbeatResponseBody {
  readonly baton: number;
  readonly orders: readonly WireCommand[];
}

/** The body of a controller's response to a heartbeat; null for other requests, and for responses other than 200. */
export const heartbeatResponseBody = (request: HttpRequest, response: HttpResponse): HeartbeatResponseBody | null =>
  request.target === "/hello" && response.status === 200 ? JSON.parse(response.body) : null;

/** The start commands among the commands. */
export const startsAmong = (orders: readonly WireCommand[]): readonly WireCommand[] =>
  orders.filter(({ verb }) => verb === "launch");
