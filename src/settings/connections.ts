/** Divides the connections that a controller's process may open among their uses. */

/** Share for incoming connections; the rest is for the controller's own outgoing requests. */
const INCOMING_SHARE = 0.82;
/** Share for incoming keep-alive connections. Others are closed after a response, so there is room for new ones. */
const KEEP_ALIVE_SHARE = 0.66;
const IDLE_OUTGOING_SHARE = 0.08;
/** Share for long polls. Less than that of keep-alive connections, so that other hosts can take turns on the rest. */
const LONG_POLL_SHARE = 0.5;

const MIN_INCOMING = 16;
const MIN_KEEP_ALIVE = 12;
const MIN_IDLE_OUTGOING = 16;

/** Limits on the numbers of connections, by use. */
export interface ConnectionAllocation {
  /** Most incoming connections. */
  readonly incoming: number;
  /** Most incoming connections that are kept open between requests. */
  readonly keepAlive: number;
  /** Most incoming connections with a response held back by a long poll (coordination/workers/long-polls.ts). */
  readonly longPolls: number;
  /** Most outgoing connections that are kept open between requests. */
  readonly idleOutgoing: number;
}

/** Divides `limit` connections; each use but long polls has a minimum, also where `limit` is too small for all. */
export const allocateConnections = (limit: number): ConnectionAllocation => ({
  incoming: Math.max(MIN_INCOMING, Math.floor(limit * INCOMING_SHARE)),
  keepAlive: Math.max(MIN_KEEP_ALIVE, Math.floor(limit * KEEP_ALIVE_SHARE)),
  longPolls: Math.floor(limit * LONG_POLL_SHARE),
  idleOutgoing: Math.max(MIN_IDLE_OUTGOING, Math.floor(limit * IDLE_OUTGOING_SHARE)),
});
