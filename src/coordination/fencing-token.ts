/**
 * Fencing tokens: numbers that increase with each leader of a shard and, within its lease, with each raise for a
 * machine. A worker rejects commands with a lower token than the highest it has seen.
 */
import type { Machine } from "../cluster/machine.js";
import { RainridgeError } from "../transport/errors.js";
import type { ShardLease } from "./context.js";

/** The number of fencing sequences of a machine within one lease of its shard. */
export const FENCING_SEQUENCES = 65_536;

/** From this epoch on, a token would no longer be exact as a plain number. */
const EPOCH_LIMIT = 2 ** 36;

/** Sequences reserved for lost start commands until the shard has been acquired under a new epoch. */
const RESERVED_SEQUENCES = 1_000;

/** Thrown if the epoch or the fencing sequence is too large for a token that is exact as a plain number. */
export class FencingTokenRangeError extends RainridgeError {
  readonly code = "FENCING_TOKEN_OUT_OF_RANGE";
}

/**
 * The token of a command to the machine. Both parts are range-checked so that the token is exact as a plain number.
 *
 * @throws FencingTokenRangeError if the epoch or the sequence is out of range
 */
export const fencingTokenOf = (lease: ShardLease, machine: Machine): number => {
  if (machine.fencing.sequence >= FENCING_SEQUENCES - 1 || lease.epoch >= EPOCH_LIMIT)
    throw new FencingTokenRangeError(
      `fencing token out of range: epoch ${lease.epoch}, sequence ${machine.fencing.sequence}`,
    );
  return lease.epoch * FENCING_SEQUENCES + machine.fencing.sequence;
};

/**
 * The token of a response to a heartbeat. While a probe checks whether responses reach the worker, it is one above the
 * machine's command token and carried by nothing else, so that the worker's next status shows whether it arrived.
 *
 * @throws FencingTokenRangeError if the epoch or the sequence is out of range
 */
export const responseTokenOf = (lease: ShardLease, machine: Machine): number =>
  fencingTokenOf(lease, machine) + (machine.reachability.probeToken === null ? 0 : 1);

/** Whether the sequence may be raised further; if not, the shard has to be acquired under a new epoch. */
export const hasFencingSequencesLeft = (machine: Machine): boolean =>
  machine.fencing.sequence < FENCING_SEQUENCES - RESERVED_SEQUENCES;

/** The epoch of the lease under which the token was issued; below 1: no leader issued it. */
export const epochOfToken = (token: number): number => Math.floor(token / FENCING_SEQUENCES);

/** The lowest token of the lease: a worker that has seen it, or a higher one, rejects all earlier leaders. */
export const firstFencingToken = (lease: ShardLease): number => lease.epoch * FENCING_SEQUENCES;
