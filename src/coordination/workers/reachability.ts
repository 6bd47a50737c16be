/** Two-way reachability of a worker: do commands arrive there, and responses to its heartbeats? */

import type { Reachability } from "../../cluster/machine.js";
import type { Uint64 } from "../../protocol/json.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** So many in a row without an effect; one may get lost on any network. */
const MAX_MISSES = 2;

/** Do requests to the worker arrive? */
export const commandsArrive = ({ consecutiveTimeouts }: Reachability): boolean => consecutiveTimeouts < MAX_MISSES;
/** Do responses to its heartbeats arrive, which renew its lease? */
export const responsesArrive = ({ heartbeatsWithoutProbe }: Reachability): boolean =>
  heartbeatsWithoutProbe < MAX_MISSES;
/** Capacity counts only where commands arrive and where leases are renewed. */
export const isReachable = (reachability: Reachability): boolean =>
  commandsArrive(reachability) && responsesArrive(reachability);
/** Nothing gets there: one heartbeat without an effect of the answer before is enough, where commands fail as well. */
export const isOneWay = (reachability: Reachability): boolean =>
  !commandsArrive(reachability) && reachability.heartbeatsWithoutProbe > 0;

/** A response that was on its way when the query left may get there a little later. */
const RESPONSE_IN_FLIGHT = seconds(0.7);
const RECENT_RESPONSE = seconds(2.5);

/** A query or command has been answered, at `now`. */
export const recordResponse = (reachability: Reachability, now: Micros): void => {
  // Whatever was missed while nothing got there says nothing of now: machines were given up for it once a cut was over.
  if (!commandsArrive(reachability)) {
    reachability.heartbeatsWithoutProbe = 0;
    reachability.probeSentAt = null;
  }
  reachability.consecutiveTimeouts = 0;
  reachability.lastResponseAt = now;
};

/** A reply to a query that left at `askedAt`: where it does not show the token of an earlier response, that was lost. */
export const recordStatusReply = (reachability: Reachability, token: Uint64, askedAt: Micros): void => {
  if (reachability.probeToken === null || reachability.probeSentAt === null) return;
  if (token >= reachability.probeToken) confirmProbe(reachability);
  // Of a response of long before it says nothing: that may have been lost in a cut that is over.
  else if (
    askedAt - reachability.probeSentAt > RESPONSE_IN_FLIGHT &&
    askedAt - reachability.probeSentAt < RECENT_RESPONSE
  )
    reachability.heartbeatsWithoutProbe = Math.max(reachability.heartbeatsWithoutProbe, MAX_MISSES);
};

const confirmProbe = (reachability: Reachability): void => {
  reachability.probeToken = null;
  reachability.probeSentAt = null;
  reachability.heartbeatsWithoutProbe = 0;
};

/** A query or command has had no answer in time. */
export const recordTimeout = (reachability: Reachability): void => {
  reachability.consecutiveTimeouts += 1;
};

/**
 * A heartbeat newer than all before. `skipped`: messages between it and the one before that never came here, mostly because
 * the worker had no answer here and tried elsewhere. Returns whether the next responses are to carry a token of their own.
 */
export const recordHeartbeat = (reachability: Reachability, token: Uint64, skipped: boolean): boolean => {
  if (reachability.probeToken === null) return skipped || reachability.consecutiveTimeouts > 0;
  if (token >= reachability.probeToken) {
    confirmProbe(reachability);
    return reachability.consecutiveTimeouts > 0;
  }
  if (reachability.probeSentAt !== null) reachability.heartbeatsWithoutProbe += 1;
  return true;
};
