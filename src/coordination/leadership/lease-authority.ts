import type { Job } from "../../cluster/job.js";
import type { Command, Heartbeat } from "../../protocol/worker.js";
import type { Micros } from "../../transport/clock.js";
import type { HeartbeatFreshness } from "../workers/heartbeat-freshness.js";

/** What a controller's right to act for a block rests on, by its own steady clock (docs/fault-combinations.md). */
export interface LeaseState {
  /** It is the holder on record, under the grant that it renews, as far as it knows. */
  readonly isHolder: boolean;
  /** From before the request left that last renewed the grant. */
  readonly renewedAt: Micros;
  /** All that was decided before this moment is known here; null: nothing has been read yet. */
  readonly cacheFreshAsOf: Micros | null;
  /** For how long either is good. */
  readonly duration: Micros;
}

/** A view that has stopped moving hides cancellations, so it ends the right like the grant does. */
export const isLeaseValid = ({ isHolder, renewedAt, cacheFreshAsOf, duration }: LeaseState, now: Micros): boolean =>
  isHolder && cacheFreshAsOf !== null && now < Math.min(renewedAt, cacheFreshAsOf) + duration;

/** What is known of a worker once its report has been weighed. */
export interface WorkerStanding {
  readonly freshness: HeartbeatFreshness;
  /** It has shown a token of this holder. */
  readonly tokenSeen: boolean;
  /** Neither commands nor answers get there. */
  readonly oneWay: boolean;
  /** For how long all its reports may have been from before this holder's time. */
  readonly unverifiedFor: Micros;
  readonly workerLease: Micros;
}

export interface PermittedReplies {
  /** To answer, which renews the worker's lease. Every such answer carries the stops owed (`stopsOwed`). */
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
