import { type Micros, seconds } from "../transport/clock.js";
import { cancellationTerms, maxWorkerLease, START_COMMAND_IN_FLIGHT, WORKER_KILL_DELAY } from "./cancellation.js";
import { SettingsError } from "./errors.js";
import type { Settings } from "./settings.js";

const MIN_LEASE_MARGIN = seconds(4);
const SHORTEST_SHARD_LEASE = seconds(1);
/**
 * A holder that is cut off keeps its block from the others for so long. Through an outage of the state service a
 * longer one helps little: nothing can be placed then, and workers keep what they run for a lease of their own.
 */
const LONGEST_SHARD_LEASE = seconds(10);

/**
 * A controller cut off from the state service cannot learn of a cancellation. It may answer its workers until
 * its lease is over, a start of its last moment may land after that, and workers may run tasks for a lease of their own
 * longer: all together stay below `cancel_s`.
 */
export const shardLeaseDuration = ({ workers }: Pick<Settings, "workers">): Micros => {
  const left = workers.cancellationBound - maxWorkerLease(workers.lease);
  const longest = Math.floor(
    left - Math.max(2 * WORKER_KILL_DELAY + START_COMMAND_IN_FLIGHT, Math.min(MIN_LEASE_MARGIN, left / 4)),
  );
  const lease = Math.min(longest, LONGEST_SHARD_LEASE) as Micros;
  if (longest < SHORTEST_SHARD_LEASE || cancellationTerms(workers, lease).left <= 0) {
    throw new SettingsError(
      `deployment.workers.cancel_s: leaves ${left / 1_000_000} s beyond lease_s, too little for a lease`,
    );
  }
  return lease;
};
