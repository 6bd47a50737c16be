/** Of the limit on connections; the rest is for requests of our own under way. */
const INCOMING_SHARE = 0.82;
/** So many are kept open; what comes beyond is answered and closed, so there is always room for whoever comes next. */
const KEEP_SHARE = 0.66;
const IDLE_SHARE = 0.08;

/** How a controller shares out the connections that it may have: let in, kept open, and idle ones of its own. */
export const allocateConnections = (
  most: number,
): { readonly incoming: number; readonly kept: number; readonly idle: number } => ({
  incoming: Math.max(16, Math.floor(most * INCOMING_SHARE)),
  kept: Math.max(12, Math.floor(most * KEEP_SHARE)),
  idle: Math.max(16, Math.floor(most * IDLE_SHARE)),
});
