/**
 * Fencing tokens: numbers that grow with each leader of a shard and, within its lease, with each raise for one machine.
 * A worker refuses what carries a lower token than the highest it has seen.
 */
import type { Machine } from "../cluster/machine.js";
import { RainridgeError } from "../transport/errors.js";
import type { ShardLease } from "./context.js";

/** The number of fencing sequences of a machine within one lease of its shard. */
export const FENCING_SEQUENCES = 65_536;

/** Above this epoch a token would no longer be exact as a plain number. */
const EPOCH_LIMIT = 2 ** 36;

/** Sequences kept back for lost start commands until the shard has been acquired under a fresh epoch. */
const RESERVED_SEQUENCES = 1_000;

/** The epoch or the fencing sequence is too large for a token that is exact as a plain number. */
export class FencingTokenRangeError extends RainridgeError {
  readonly code = "FENCING_TOKEN_OUT_OF_RANGE";
}

/**
 * The token of a command to the machine. Tokens stay exact as plain numbers: both parts are checked.
 *
 * @throws FencingTokenRangeError if the epoch or the sequence is out of range
 */
export const fencingTokenOf = (lease: ShardLease, machine: Machine): number => {
  if (machine.fencing.sequence >= FENCING_SEQUENCES - 1 || lease.epoch >= EPOCH_LIMIT)
    throw new FencingTokenRangeError("token out of range");
  return lease.epoch * FENCING_SEQUENCES + machine.fencing.sequence;
};

/**
 * The token of a response to a heartbeat. Where it is in doubt whether responses arrive, it is one that nothing else
 * carries, so that the worker's next status tells.
 *
 * @throws FencingTokenRangeError if the epoch or the sequence is out of range
 */
export const responseTokenOf = (lease: ShardLease, machine: Machine): number =>
  fencingTokenOf(lease, machine) + (machine.reachability.probeToken === null ? 0 : 1);

/** Whether the sequence may be raised further; if not, the shard has to be acquired under a fresh epoch. */
export const hasFencingSequencesLeft = (machine: Machine): boolean =>
  machine.fencing.sequence < FENCING_SEQUENCES - RESERVED_SEQUENCES;

/** The epoch of the lease under which the token was made; less than 1: it is no leader's token. */
export const epochOfToken = (token: number): number => Math.floor(token / FENCING_SEQUENCES);

/** The lowest token of the lease: a worker that has seen it, or a higher one, follows no earlier leader. */
export const firstFencingToken = (lease: ShardLease): number => lease.epoch * FENCING_SEQUENCES;
