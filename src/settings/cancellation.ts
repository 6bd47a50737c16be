/** Upper bound on how long the tasks of a cancelled job may still run, and the intervals that it consists of. */
import { type Micros, seconds } from "../transport/clock.js";
import { RELAY_ALLOWANCE, WORKER_REQUEST_TIMEOUT } from "../transport/timeouts.js";
import type { WorkerSettings } from "./settings.js";

/**
 * Time after sending a start command from which responses carry a newer fencing token, by which the worker rejects the
 * command if it still arrives.
 */
export const START_COMMAND_FENCING_DELAY = (WORKER_REQUEST_TIMEOUT + RELAY_ALLOWANCE) as Micros;
/** A worker kills its tasks within this time after its lease has expired. */
export const WORKER_KILL_DELAY = seconds(0.1);

/** A worker measures its lease by its own clock, which may run slower than true time by this factor. */
const MAX_CLOCK_DRIFT_FACTOR = 1.001;

/** Upper bound on the duration of a worker's lease as measured by any other clock. */
export const maxWorkerLease = (lease: Micros): Micros => Math.ceil(lease * MAX_CLOCK_DRIFT_FACTOR) as Micros;

/**
 * Parts of the upper bound on the time from a confirmed cancellation to the end of the job's last task
 * (docs/fault-combinations.md).
 */
export interface CancellationTerms {
  /** A shard leader that is unaware of the cancellation may respond to workers until its shard lease expires. */
  readonly shardLease: Micros;
  /** A start command sent just before that expiry may still be in flight. */
  readonly startCommand: Micros;
  /** The worker that received the last response kills its tasks when its own lease expires. */
  readonly workerLease: Micros;
  /** Sum of the three intervals. */
  readonly total: Micros;
  /** `cancel_s` minus `total`. */
  readonly margin: Micros;
}

/** Computes the terms for a shard lease of this duration. */
export const cancellationTerms = (workers: WorkerSettings, shardLease: Micros): CancellationTerms => {
  const workerLease = (maxWorkerLease(workers.lease) + WORKER_KILL_DELAY) as Micros;
  const total = (shardLease + START_COMMAND_FENCING_DELAY + workerLease) as Micros;
  return {
    shardLease,
    startCommand: START_COMMAND_FENCING_DELAY,
    workerLease,
    total,
    margin: (workers.cancellationBound - total) as Micros,
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

/** Microseconds in a hundredth of a second. */
const MICROS_PER_HUNDREDTH = 10_000;

/** Converts the terms to the form that operators are shown. */
export const termsInSeconds = (terms: CancellationTerms): CancellationTermsInSeconds => {
  const inSeconds = (span: Micros): number => Math.round(span / MICROS_PER_HUNDREDTH) / 100;
  return {
    rightS: inSeconds(terms.shardLease),
    startS: inSeconds(terms.startCommand),
    workerLeaseS: inSeconds(terms.workerLease),
    totalS: inSeconds(terms.total),
    leftS: inSeconds(terms.margin),
  };
};
