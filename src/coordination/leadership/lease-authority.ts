/** What a lease permits now: whether a shard may be acted for, and what a worker may be sent. Pure functions. */

import type { Job } from "../../cluster/job.js";
import type { Command, Heartbeat } from "../../protocol/worker.js";
import type { Micros } from "../../transport/clock.js";
import type { HeartbeatFreshness } from "../workers/heartbeat-freshness.js";

/** What a controller's authority over a shard rests on, by its own steady clock (docs/fault-combinations.md). */
export interface LeaseState {
  /** It is the leader on record, under the lease that it renews, as far as it knows. */
  readonly isHolder: boolean;
  /** From before the request was sent that last renewed the lease. */
  readonly renewedAt: Micros;
  /** All that was decided before this moment is known here; null: nothing has been read yet. */
  readonly cacheFreshAsOf: Micros | null;
  /** For how long either is good. */
  readonly duration: Micros;
}

/** A cache that is no longer fresh hides cancellations, so it ends the authority as lease expiry does. */
export const isLeaseValid = ({ isHolder, renewedAt, cacheFreshAsOf, duration }: LeaseState, now: Micros): boolean =>
  isHolder && cacheFreshAsOf !== null && now < Math.min(renewedAt, cacheFreshAsOf) + duration;

/** What is known of a worker once its heartbeat has been classified. */
export interface WorkerStanding {
  readonly freshness: HeartbeatFreshness;
  /** It has shown a fencing token of this leader. */
  readonly tokenSeen: boolean;
  /** Neither commands nor answers get there. */
  readonly oneWay: boolean;
  /** For how long all its heartbeats may have been from before this leader's time. */
  readonly unverifiedFor: Micros;
  readonly workerLease: Micros;
}

/** What a leader may send to a worker now. */
export interface PermittedReplies {
  /** To answer, which renews the worker's lease. Every such response carries the pending stops (`pendingStops`). */
  readonly renew: boolean;
  /** To give commands that follow from what is believed of the machine. */
  readonly command: boolean;
}

/**
 * A worker whose heartbeats arrive while nothing gets there might accept any response: so that its lease, and with it what it
 * runs, is sure to end, it gets none until it has answered a status query.
 */
export const permittedReplies = ({
  freshness,
  tokenSeen,
  oneWay,
  unverifiedFor,
  workerLease,
}: WorkerStanding): PermittedReplies => {
  const proven = freshness !== "unverified";
  return { renew: !oneWay && (proven || unverifiedFor < workerLease / 2), command: tokenSeen && proven };
};

/**
 * Stops for all listed tasks whose job is cancelled or has ended, whatever else is known of the machine. A worker accepts a
 * response as a whole or not at all, so that no lease is renewed past a cancellation that the sender knows of. Each new
 * leader used to renew once without them, before its token had been seen: with a new leader in every lease, tasks of cancelled
 * jobs ran on for ever. An unknown job has ended: a leader has read every accepted job before it starts anything of it.
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
