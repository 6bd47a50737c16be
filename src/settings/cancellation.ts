/** How long the tasks of a cancelled job may still run, and of which parts that time consists. */
import { type Micros, seconds } from "../transport/clock.js";
import { RELAY_ALLOWANCE, WORKER_REQUEST_TIMEOUT } from "../transport/timeouts.js";
import type { WorkerSettings } from "./settings.js";

/**
 * Time from the sending of a start command to the moment from which answers show a fencing token that drops it if it
 * still arrives.
 */
export const START_COMMAND_IN_FLIGHT = (WORKER_REQUEST_TIMEOUT + RELAY_ALLOWANCE) as Micros;
/** A worker ends its tasks within this time after its lease. */
export const WORKER_KILL_DELAY = seconds(0.1);

/** A worker measures its lease by a clock of its own, which may be slower than true time by this factor. */
const MAX_CLOCK_DRIFT_FACTOR = 1.001;

/** The longest that a worker's lease may last by the clock of anybody else. */
export const maxWorkerLease = (lease: Micros): Micros => Math.ceil(lease * MAX_CLOCK_DRIFT_FACTOR) as Micros;

/** The longest time from a confirmed cancellation to the end of the job's last task, by its terms (docs/fault-combinations.md). */
export interface CancellationTerms {
  /** A leader that has not learnt of it may answer workers for so long. */
  readonly shardLease: Micros;
  /** A start command of its last moment may still arrive. */
  readonly startCommand: Micros;
  /** The worker that had the last answer ends its tasks by itself. */
  readonly workerLease: Micros;
  /** Sum of the three. */
  readonly total: Micros;
  /** What is left below `cancel_s`. */
  readonly left: Micros;
}

/** The terms for a shard lease of this duration. */
export const cancellationTerms = (workers: WorkerSettings, shardLease: Micros): CancellationTerms => {
  const workerLease = (maxWorkerLease(workers.lease) + WORKER_KILL_DELAY) as Micros;
  const total = (shardLease + START_COMMAND_IN_FLIGHT + workerLease) as Micros;
  return {
    shardLease,
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

/** Microseconds in a hundredth of a second. */
const MICROS_PER_HUNDREDTH = 10_000;

/** Converts the terms for operators. */
export const termsInSeconds = (terms: CancellationTerms): CancellationTermsInSeconds => {
  const inSeconds = (span: Micros): number => Math.round(span / MICROS_PER_HUNDREDTH) / 100;
  return {
    rightS: inSeconds(terms.shardLease),
    startS: inSeconds(terms.startCommand),
    workerLeaseS: inSeconds(terms.workerLease),
    totalS: inSeconds(terms.total),
    leftS: inSeconds(terms.left),
  };
};
