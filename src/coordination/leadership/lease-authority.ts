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
  /** For how long all its reports may have been from before this holder's time. */
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
 * A worker whose reports come while nothing gets there might take any answer of ours: so that its lease, and with it what it
 * runs, is surely over some day, it gets none until a question has been answered.
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
 * Stops for all on the worker's list whose job is withdrawn or over, whatever else is known of the machine. A worker takes an
 * answer as a whole or not at all, so that no lease is renewed past a withdrawal that the answerer knows of. Each new
 * holder used to renew once without them, before its token had been seen: with a holder a lease, tasks of withdrawn jobs ran on for
 * ever. A job unknown here has ended: whoever may answer has read all that was accepted before anything of it was started.
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
