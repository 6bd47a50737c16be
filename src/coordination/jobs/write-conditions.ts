/**
 * Conditions that every write about a job has.
 * @module
 */
import type { Job } from "../../cluster/job.js";
import type { Uint64 } from "../../protocol/json.js";
import { jobKey } from "../../storage/keys.js";
import { type Micros, ms } from "../../transport/clock.js";
import type { ShardContext } from "../context.js";

/** The shard lease and the job's record are as this leader knows them. A new map, to which a caller may add. */
export const writeConditionsOf = ({ lease }: Pick<ShardContext, "lease">, job: Job): Map<string, Uint64> =>
  new Map([
    [lease.key, lease.version],
    [jobKey(job.spec.id), job.version],
  ]);

const MIN_RETRY_DELAY_MS = 50;
const RETRY_JITTER_MS = 100;

/** Until a write that was not confirmed is tried again; draws one random number. */
export const writeRetryDelay = ({ random }: Pick<ShardContext, "random">): Micros =>
  ms(MIN_RETRY_DELAY_MS + RETRY_JITTER_MS * random());
