/** Two-way reachability of a worker: whether commands and responses to its heartbeats are delivered. */

import type { Reachability } from "../../cluster/machine.js";
import type { Uint64 } from "../../protocol/json.js";
import { type Micros, seconds } from "../../transport/clock.js";

/** Consecutive lost requests or responses from which a worker counts as not reached; any network may lose one. */
const UNREACHABLE_THRESHOLD = 2;

/** Whether requests to the worker are delivered. */
export const commandsArrive = ({ consecutiveTimeouts }: Reachability): boolean =>
  consecutiveTimeouts < UNREACHABLE_THRESHOLD;
/** Whether responses to the worker's heartbeats, which renew its lease, are delivered. */
export const responsesArrive = ({ heartbeatsWithoutProbe }: Reachability): boolean =>
  heartbeatsWithoutProbe < UNREACHABLE_THRESHOLD;
/** Whether the machine's capacity counts: commands are delivered and its worker's lease is renewed. */
export const isReachable = (reachability: Reachability): boolean =>
  commandsArrive(reachability) && responsesArrive(reachability);
/**
 * Whether nothing sent to the worker is delivered. If commands fail, one heartbeat without the probe token suffices.
 */
export const isOneWay = (reachability: Reachability): boolean =>
  !commandsArrive(reachability) && reachability.heartbeatsWithoutProbe > 0;

/** A response in flight when a status query is sent may be delivered this much later. */
const MAX_RESPONSE_DELAY = seconds(0.7);
/** The loss of an older response may be due to a partition that has ended. */
const MAX_RESPONSE_AGE = seconds(2.5);

/** Records that the worker answered a status query or command at `now`. */
export const recordResponse = (reachability: Reachability, now: Micros): void => {
  // Responses lost while requests failed are no evidence of the present: counting them, machines were deleted after a
  // partition had ended.
  if (!commandsArrive(reachability)) {
    reachability.heartbeatsWithoutProbe = 0;
    reachability.probeSentAt = null;
  }
  reachability.consecutiveTimeouts = 0;
  reachability.lastResponseAt = now;
};

/**
 * Records the reply to a query sent at `requestedAt`. Unless it shows the token of an earlier response, that was lost.
 */
export const recordStatusReply = (reachability: Reachability, token: Uint64, requestedAt: Micros): void => {
  if (reachability.probeToken === null || reachability.probeSentAt === null) return;
  if (token >= reachability.probeToken) confirmProbe(reachability);
  // A much older response may have been lost in a partition that has ended.
  else if (
    requestedAt - reachability.probeSentAt > MAX_RESPONSE_DELAY &&
    requestedAt - reachability.probeSentAt < MAX_RESPONSE_AGE
  )
    reachability.heartbeatsWithoutProbe = Math.max(reachability.heartbeatsWithoutProbe, UNREACHABLE_THRESHOLD);
};

const confirmProbe = (reachability: Reachability): void => {
  reachability.probeToken = null;
  reachability.probeSentAt = null;
  reachability.heartbeatsWithoutProbe = 0;
};

/** Records that a status query or command was not answered in time. */
export const recordTimeout = (reachability: Reachability): void => {
  reachability.consecutiveTimeouts += 1;
};

/**
 * Records a heartbeat newer than all before. `missedHeartbeats`: messages between it and the one before were not
 * received here, mostly because the worker had no response and tried another controller. Returns whether the next
 * responses are to carry a probe token.
 */
export const recordHeartbeat = (reachability: Reachability, token: Uint64, missedHeartbeats: boolean): boolean => {
  if (reachability.probeToken === null) return missedHeartbeats || reachability.consecutiveTimeouts > 0;
  if (token >= reachability.probeToken) {
    confirmProbe(reachability);
    return reachability.consecutiveTimeouts > 0;
  }
  if (reachability.probeSentAt !== null) reachability.heartbeatsWithoutProbe += 1;
  return true;
};
