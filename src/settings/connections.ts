/** Divides the connections that a controller's process may open among their uses. */

/** Share for incoming connections; the rest is for the controller's own outgoing requests. */
const INCOMING_SHARE = 0.82;
/** Share for incoming keep-alive connections. Others are closed after a response, so there is room for new ones. */
const KEPT_SHARE = 0.66;
const IDLE_SHARE = 0.08;
/** Share for long polls. Less than that of keep-alive connections, so that other hosts can take turns on the rest. */
const WAITING_SHARE = 0.5;

const MIN_INCOMING = 16;
const MIN_KEPT = 12;
const MIN_IDLE = 16;

/** Limits on the numbers of connections, by use. */
export interface ConnectionAllocation {
  /** Most incoming connections. */
  readonly incoming: number;
  /** Most incoming connections that are kept open between requests. */
  readonly kept: number;
  /** Most incoming connections with a response held back by a long poll (coordination/workers/long-polls.ts). */
  readonly waiting: number;
  /** Most outgoing connections that are kept open between requests. */
  readonly idle: number;
}

/** Divides `limit` connections; each use but long polls has a minimum, also where `limit` is too small for all. */
export const allocateConnections = (limit: number): ConnectionAllocation => ({
  incoming: Math.max(MIN_INCOMING, Math.floor(limit * INCOMING_SHARE)),
  kept: Math.max(MIN_KEPT, Math.floor(limit * KEPT_SHARE)),
  waiting: Math.floor(limit * WAITING_SHARE),
  idle: Math.max(MIN_IDLE, Math.floor(limit * IDLE_SHARE)),
});
