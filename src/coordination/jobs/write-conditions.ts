/**
 * Conditions common to all writes that concern a job.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import type { Uint64 } from "../../protocol/json.js";
import { jobKey } from "../../storage/keys.js";
import { type Micros, ms } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";

/** The versions of the shard lease and of the job record are unchanged. Returns a new map, to which callers may add. */
export const writeConditionsOf = ({ lease }: Pick<ShardContext, "lease">, job: Job): Map<string, Uint64> =>
  new Map([
    [lease.key, lease.version],
    [jobKey(job.spec.id), job.version],
  ]);

const MIN_RETRY_DELAY_MS = 50;
const RETRY_JITTER_MS = 100;

/** Delay before an unconfirmed write is retried; draws one random number. */
export const writeRetryDelay = ({ random }: Pick<ShardContext, "random">): Micros =>
  ms(MIN_RETRY_DELAY_MS + RETRY_JITTER_MS * random());
