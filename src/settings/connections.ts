/** How a controller divides the connections that its process may have. */

/** Share for connections let in; the rest is for requests of the controller itself under way. */
const INCOMING_SHARE = 0.82;
/** So many are kept open; what comes beyond is answered and closed, so there is always room for the next one. */
const KEPT_SHARE = 0.66;
const IDLE_SHARE = 0.08;
/** Less than what is kept open: others can take turns on the rest. */
const WAITING_SHARE = 0.5;

const MIN_INCOMING = 16;
const MIN_KEPT = 12;
const MIN_IDLE = 16;

/** Numbers of connections. */
export interface ConnectionAllocation {
  /** Let in at most. */
  readonly incoming: number;
  /** Of those let in, kept open between requests. */
  readonly kept: number;
  /** Of those let in, on which a response may wait (coordination/workers/long-polls.ts). */
  readonly waiting: number;
  /** Of the controller's own, kept open between requests. */
  readonly idle: number;
}

/** Divides `limit` connections. */
export const allocateConnections = (limit: number): ConnectionAllocation => ({
  incoming: Math.max(MIN_INCOMING, Math.floor(limit * INCOMING_SHARE)),
  kept: Math.max(MIN_KEPT, Math.floor(limit * KEPT_SHARE)),
  waiting: Math.floor(limit * WAITING_SHARE),
  idle: Math.max(MIN_IDLE, Math.floor(limit * IDLE_SHARE)),
});
