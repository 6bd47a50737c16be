import { type Micros, seconds } from "../transport/clock.js";
import { RELAY_ALLOWANCE, WORKER_REQUEST_TIMEOUT } from "../transport/timeouts.js";
import type { Settings } from "./settings.js";

/** From a command's leaving to the moment from which answers show a token that drops it if it still comes. */
export const START_COMMAND_IN_FLIGHT = (WORKER_REQUEST_TIMEOUT + RELAY_ALLOWANCE) as Micros;
/** A worker ends its tasks a moment after its lease, by a clock of its own. */
export const WORKER_KILL_DELAY = seconds(0.1);

export const maxWorkerLease = (lease: Micros): Micros => Math.ceil(lease * 1.001) as Micros;

/** The longest time from a confirmed cancellation to the last of its tasks gone, by its terms (docs/meetings.md). */
export interface CancellationTerms {
  /** A holder that has not learnt of it may answer workers for so long. */
  readonly shardLease: Micros;
  /** A start of its last moment may still land. */
  readonly startCommand: Micros;
  /** The worker that had the last answer ends its tasks by itself. */
  readonly workerLease: Micros;
  readonly total: Micros;
  /** What is left below `cancel_s`. */
  readonly left: Micros;
}

export const cancellationTerms = (workers: Settings["workers"], right: Micros): CancellationTerms => {
  const workerLease = (maxWorkerLease(workers.lease) + WORKER_KILL_DELAY) as Micros;
  const total = (right + START_COMMAND_IN_FLIGHT + workerLease) as Micros;
  return {
    shardLease: right,
    startCommand: START_COMMAND_IN_FLIGHT,
    workerLease,
    total,
    left: (workers.cancellationBound - total) as Micros,
  };
};

/** The terms in seconds, rounded to hundredths, under the names that `check --json` prints. */
export interface CancellationTermsInSeconds {
  readonly rightS: number;
  readonly startS: number;
  readonly workerLeaseS: number;
  readonly totalS: number;
  readonly leftS: number;
}

/** Converts the terms for operators. */
export const termsInSeconds = (terms: CancellationTerms): CancellationTermsInSeconds => {
  const inSeconds = (span: Micros): number => Math.round(span / 10_000) / 100;
  return {
    rightS: inSeconds(terms.shardLease),
    startS: inSeconds(terms.startCommand),
    workerLeaseS: inSeconds(terms.workerLease),
    totalS: inSeconds(terms.total),
    leftS: inSeconds(terms.left),
  };
};
