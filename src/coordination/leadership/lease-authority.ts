/** Whether a shard lease is valid, and which responses and commands it permits. Pure functions. */

import type { Job } from "../../cluster/job.js";
import type { Command, Heartbeat } from "../../protocol/worker.js";
import type { Micros } from "../../transport/clock.js";
import type { HeartbeatFreshness } from "../workers/heartbeat-freshness.js";

/** The inputs to a shard lease's validity; times by the controller's monotonic clock (docs/fault-combinations.md). */
export interface LeaseState {
  /** According to the watch cache, this controller is the recorded leader, under the lease that it renews. */
  readonly isHolder: boolean;
  /** When the last successful renewal request was sent, not when it was answered. */
  readonly renewedAt: Micros;
  /** The watch cache contains all writes committed before this time; null: not loaded yet. */
  readonly cacheFreshAsOf: Micros | null;
  /** How long a renewal, and a view of the cache, keeps the lease valid. */
  readonly duration: Micros;
}

/** A stale cache may lack cancellations, so it invalidates the lease as expiry does. */
export const isLeaseValid = ({ isHolder, renewedAt, cacheFreshAsOf, duration }: LeaseState, now: Micros): boolean =>
  isHolder && cacheFreshAsOf !== null && now < Math.min(renewedAt, cacheFreshAsOf) + duration;

/** State of a worker after its heartbeat has been classified. */
export interface WorkerStatus {
  readonly freshness: HeartbeatFreshness;
  /** A message of the worker carried a fencing token of this leader. */
  readonly tokenSeen: boolean;
  /** Heartbeats arrive, but neither commands nor responses are delivered. */
  readonly oneWay: boolean;
  /** How long all its heartbeats have been unverified: they may predate this leader. */
  readonly unverifiedFor: Micros;
  readonly workerLease: Micros;
}

/** Messages that a leader may send to a worker now. */
export interface PermittedReplies {
  /** Respond to the heartbeat, which renews the worker's lease. Each response carries the `pendingStops`. */
  readonly renew: boolean;
  /** Send commands that follow from the leader's state of the machine. */
  readonly command: boolean;
}

/**
 * A one-way worker gets no response until it has answered a status query: any response that did arrive would renew its
 * lease, while the leader counts on that lease, and the tasks under it, to end.
 */
export const permittedReplies = ({
  freshness,
  tokenSeen,
  oneWay,
  unverifiedFor,
  workerLease,
}: WorkerStatus): PermittedReplies => {
  const proven = freshness !== "unverified";
  return { renew: !oneWay && (proven || unverifiedFor < workerLease / 2), command: tokenSeen && proven };
};

/**
 * Stop commands for all reported tasks whose job is cancelled or has ended, regardless of the machine's state. A worker
 * applies a response as a whole or not at all, so no lease is renewed past a cancellation that the sender has read.
 * Without this, each new leader renewed the lease once without stops, before its token had been seen: with a failover
 * in every lease period, tasks of cancelled jobs never ended. A job not in memory has ended: a leader reads every
 * accepted job before it starts any of its tasks.
 */
export const pendingStops = (
  tasks: Heartbeat["tasks"],
  jobs: ReadonlyMap<string, Pick<Job, "cancelled">>,
): readonly Command[] =>
  tasks.flatMap(({ task, attempt, state }): Command[] => {
    if (state === "exited") return [];
    const job = jobs.get(task.slice(0, task.lastIndexOf("/")));
    return job === undefined || job.cancelled ? [{ op: "stop", task, attempt, graceS: 0 }] : [];
  });
