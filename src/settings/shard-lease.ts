/** Computes how long a controller may lead a shard without renewing its lease. */
import { MICROS_PER_SECOND, type Micros, seconds } from "../transport/clock.js";
import { cancellationTerms, maxWorkerLease, START_COMMAND_FENCING_DELAY, WORKER_KILL_DELAY } from "./cancellation.js";
import { SettingsError } from "./errors.js";
import type { Settings } from "./settings.js";

/** Safety margin within the time for a cancellation, less if that time is short. */
const USUAL_MARGIN = seconds(4);
/** Limits `USUAL_MARGIN` to this share of the time that remains after a worker's lease. */
const MAX_MARGIN_SHARE = 1 / 4;
const MIN_SHARD_LEASE = seconds(1);
/**
 * A partitioned shard leader blocks failover of its shard until its lease expires. A longer lease helps little during
 * an outage of the key-value store: nothing can be placed then, and workers keep running tasks for their own lease.
 */
const MAX_SHARD_LEASE = seconds(10);

/**
 * Duration of a shard's lease. A shard leader partitioned from the key-value store does not see cancellations. It may
 * respond to its workers until its lease expires, a start command sent just before may still be in flight, and workers
 * may then run tasks until their own lease expires: the sum stays below `cancel_s`. Throws SettingsError if that leaves
 * too little time for a lease.
 */
export const shardLeaseDuration = ({ workers }: Pick<Settings, "workers">): Micros => {
  const remaining = workers.cancellationBound - maxWorkerLease(workers.lease);
  const margin = Math.max(
    2 * WORKER_KILL_DELAY + START_COMMAND_FENCING_DELAY,
    Math.min(USUAL_MARGIN, remaining * MAX_MARGIN_SHARE),
  );
  const longestLease = Math.floor(remaining - margin);
  const lease = Math.min(longestLease, MAX_SHARD_LEASE) as Micros;
  if (longestLease < MIN_SHARD_LEASE || cancellationTerms(workers, lease).margin <= 0) {
    const remainingSeconds = remaining / MICROS_PER_SECOND;
    throw new SettingsError(
      `deployment.workers.cancel_s: leaves ${remainingSeconds} s beyond lease_s, too little for a lease`,
    );
  }
  return lease;
};
