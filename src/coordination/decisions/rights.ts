import type { Job } from "../../bookkeeping/picture.js";
import type { Command, Report } from "../../protocol/worker.js";
import type { Micros } from "../../transport/clock.js";
import type { Evidence } from "./evidence.js";

/** What a controller's right to act for a block rests on, by its own steady clock (docs/meetings.md). */
export interface Right {
  /** It is the holder on record, under the grant that it renews, as far as it knows. */
  readonly held: boolean;
  /** From before the request left that last renewed the grant. */
  readonly renewed: Micros;
  /** All that was decided before this moment is known here; null: nothing has been read yet. */
  readonly viewed: Micros | null;
  /** For how long either is good. */
  readonly span: Micros;
}

/** A view that has stopped moving hides cancellations, so it ends the right like the grant does. */
export const mayAct = ({ held, renewed, viewed, span }: Right, now: Micros): boolean =>
  held && viewed !== null && now < Math.min(renewed, viewed) + span;

/** What is known of a worker once its report has been weighed. */
export interface Weighed {
  readonly learnt: Evidence;
  /** It has shown a token of this holder. */
  readonly tokenSeen: boolean;
  /** Neither commands nor answers get there. */
  readonly deaf: boolean;
  /** For how long all its reports may have been from before this holder's time. */
  readonly unprovenFor: Micros;
  readonly workerLease: Micros;
}

export interface Allowed {
  /** To answer, which renews the worker's lease. Every such answer carries the stops owed (`stopsOwed`). */
  readonly renew: boolean;
  /** To give commands that follow from what is believed of the machine. */
  readonly command: boolean;
}

/**
 * A worker whose reports come while nothing gets there might take any answer of ours: so that its lease, and with it what it
 * runs, is surely over some day, it gets none until a question has been answered.
 */
export const allowedTo = ({ learnt, tokenSeen, deaf, unprovenFor, workerLease }: Weighed): Allowed => {
  const proven = learnt !== "unproven";
  return { renew: !deaf && (proven || unprovenFor < workerLease / 2), command: tokenSeen && proven };
};

/**
 * Stops for all on the worker's list whose job is withdrawn or over, whatever else is known of the machine. A worker takes an
 * answer as a whole or not at all, so that no lease is renewed past a withdrawal that the answerer knows of. Each new
 * holder used to renew once without them, before its token had been seen: with a holder a lease, tasks of withdrawn jobs ran on for
 * ever. A job unknown here has ended: whoever may answer has read all that was accepted before anything of it was started.
 */
export const stopsOwed = (
  tasks: Report["tasks"],
  jobs: ReadonlyMap<string, Pick<Job, "cancelled">>,
): readonly Command[] =>
  tasks.flatMap(({ task, attempt, state }): Command[] => {
    if (state === "exited") return [];
    const job = jobs.get(task.slice(0, task.lastIndexOf("/")));
    return job === undefined || job.cancelled ? [{ op: "stop", task, attempt, graceS: 0 }] : [];
  });
