/** How long a controller may lead a shard without renewing its lease. */
import { MICROS_PER_SECOND, type Micros, seconds } from "../transport/clock.js";
import { cancellationTerms, maxWorkerLease, START_COMMAND_IN_FLIGHT, WORKER_KILL_DELAY } from "./cancellation.js";
import { SettingsError } from "./errors.js";
import type { Settings } from "./settings.js";

/** What stays unused of the time for a cancellation: this much, or less where that time is short. */
const USUAL_MARGIN = seconds(4);
/** The margin never takes more than this share of the time. */
const MAX_MARGIN_SHARE = 1 / 4;
const MIN_SHARD_LEASE = seconds(1);
/**
 * A leader that is cut off keeps its shard from the others for so long. Through an outage of the key-value store a
 * longer lease helps little: nothing can be placed then, and workers keep what they run for a lease of their own.
 */
const MAX_SHARD_LEASE = seconds(10);

/**
 * The duration of a shard's lease. A controller cut off from the key-value store cannot learn of a cancellation. It may
 * answer its workers until its lease expires, a start command of its last moment may land after that, and workers may
 * run tasks for a lease of their own longer: all together stay below `cancel_s`. Throws SettingsError where that leaves
 * too little for a lease.
 */
export const shardLeaseDuration = ({ workers }: Pick<Settings, "workers">): Micros => {
  const left = workers.cancellationBound - maxWorkerLease(workers.lease);
  const margin = Math.max(
    2 * WORKER_KILL_DELAY + START_COMMAND_IN_FLIGHT,
    Math.min(USUAL_MARGIN, left * MAX_MARGIN_SHARE),
  );
  const longest = Math.floor(left - margin);
  const lease = Math.min(longest, MAX_SHARD_LEASE) as Micros;
  if (longest < MIN_SHARD_LEASE || cancellationTerms(workers, lease).left <= 0) {
    const leftSeconds = left / MICROS_PER_SECOND;
    throw new SettingsError(
      `deployment.workers.cancel_s: leaves ${leftSeconds} s beyond lease_s, too little for a lease`,
    );
  }
  return lease;
};
